"""A queue of router calls, which also executes the actions that each call returns."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeAlias

from myrtlehub.clock import Clock
from myrtlehub.routing import contract

# A router call with all arguments bound except the current time. The time is passed when the call runs, which
# may be later than when it was submitted.
RouterCall: TypeAlias = Callable[[float], Iterable[contract.Action]]
# Executes actions of the type under which it is registered. `Mapping` cannot express that the argument's type
# depends on the key, so it is `Any`.
ActionHandler: TypeAlias = Callable[[Any], None]
ActionHandlers: TypeAlias = Mapping[type[contract.Action], ActionHandler]


class RouterCallQueue:
    """Runs router calls in order, and executes all actions of one call before it runs the next.

    Executing an action may submit another call, for example because an attempt could not be started. That
    call is queued, so router calls are never nested.
    """

    def __init__(
        self, clock: Clock, handlers: ActionHandlers, on_idle: Callable[[], None] = lambda: None
    ) -> None:
        """Create an empty queue.

        Args:
            clock: Gives the time of each call.
            handlers: The functions that execute actions, by type of action.
            on_idle: Called whenever the queue has become empty, unless a call or an action raised.
        """
        self._clock = clock
        self._handlers = handlers
        self._on_idle = on_idle
        self._pending: deque[RouterCall] = deque()
        self._is_running = False

    def submit(self, call: RouterCall) -> None:
        """Run a call now, or queue it if another one is running."""
        self._pending.append(call)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._pending:
                pending_call = self._pending.popleft()
                self._execute_actions(deque(pending_call(self._clock.seconds())))
        finally:
            self._is_running = False
            if self._pending:
                # A handler raised after further calls were queued; the router must still receive those.
                self._clock.callLater(0, self._run_pending)
        self._on_idle()

    def _run_pending(self) -> None:
        """Run the calls that were still queued when an exception ended `submit`."""
        if self._pending and not self._is_running:
            self.submit(self._pending.popleft())

    def _execute_actions(self, actions: deque[contract.Action]) -> None:
        """Execute the actions of one call in order.

        If a handler raises, the remaining actions are executed in the next iteration of the event loop. The
        last action of a call often schedules the router's next wake-up: without it, sequences would be
        neither retried nor answered at their deadline
        (`test_a_deadline_is_kept_although_an_action_before_its_wakeup_raised`).
        """
        while actions:
            action = actions.popleft()
            try:
                self._handlers[type(action)](action)
            except BaseException:
                self._clock.callLater(0, self._execute_actions, actions)
                raise
