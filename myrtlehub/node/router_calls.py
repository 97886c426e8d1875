"""Calls of a router, made one after another, and the execution of the actions that they return."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeAlias

from myrtlehub.clock import Clock
from myrtlehub.routing import contract

# A router call with all arguments bound except the current time, which is passed when the call is made: that
# may be later than when it was queued.
RouterCall: TypeAlias = Callable[[float], Iterable[contract.Action]]
# Executes actions of the type under which it is registered; `Mapping` cannot express that dependency, so the
# argument is `Any`.
ActionHandler: TypeAlias = Callable[[Any], None]
ActionHandlers: TypeAlias = Mapping[type[contract.Action], ActionHandler]


class RouterCallQueue:
    """Makes router calls in their order and executes all actions of one before it makes the next.

    Executing an action may cause another call, for example because an attempt that could not be started has
    ended. That call is queued, so calls of a router never nest.
    """

    def __init__(
        self, clock: Clock, handlers: ActionHandlers, after_calls: Callable[[], None] = lambda: None
    ) -> None:
        """Make an empty queue.

        Args:
            clock: gives the time of each call.
            handlers: execute the actions, by their type.
            after_calls: called whenever the queue is empty again and nothing was raised.
        """
        self._clock = clock
        self._handlers = handlers
        self._after_calls = after_calls
        self._pending: deque[RouterCall] = deque()
        self._is_calling = False

    def make(self, call: RouterCall) -> None:
        """Make a call now, or queue it if another one is being made."""
        self._pending.append(call)
        if self._is_calling:
            return
        self._is_calling = True
        try:
            while self._pending:
                pending_call = self._pending.popleft()
                self._execute(deque(pending_call(self._clock.seconds())))
        finally:
            self._is_calling = False
            if self._pending:
                # A handler raised after it had queued further calls: the router still has to get those.
                self._clock.callLater(0, self._make_pending)
        self._after_calls()

    def _make_pending(self) -> None:
        """Make the calls that were queued when an exception ended `make`."""
        if self._pending and not self._is_calling:
            self.make(self._pending.popleft())

    def _execute(self, actions: deque[contract.Action]) -> None:
        """Execute the actions of one call in their order.

        If a handler raises, the actions after it are executed in the next turn of the event loop. The last
        action of a call often schedules the router's next wake-up: without it, sequences would be neither
        retried nor answered at their deadline
        (`test_a_deadline_is_kept_although_an_action_before_its_wakeup_raised`).
        """
        while actions:
            action = actions.popleft()
            try:
                self._handlers[type(action)](action)
            except BaseException:
                self._clock.callLater(0, self._execute, actions)
                raise
