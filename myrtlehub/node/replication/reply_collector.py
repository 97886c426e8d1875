"""Collects the replies of several calls."""

from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent

Reply = TypeVar("Reply")


class ReplyCollector(Generic[Reply]):
    """Calls `on_done` once with the replies of all calls, in their order; None where no reply arrived."""

    def __init__(
        self,
        calls: Sequence["Deferred[Reply | None]"],
        is_sufficient: Callable[[Reply | None], bool],
        on_done: Callable[[list[Reply | None]], None],
        straggler_timeout: float,
        clock: Clock,
        log: Log,
    ) -> None:
        """Start collecting; if all calls have already replied, `on_done` is called at once.

        Args:
            calls: each fires with a reply, or with None if there is none.
            is_sufficient: returns whether a reply makes the other replies optional.
            on_done: receives the replies.
            straggler_timeout: seconds to wait for the other calls after a sufficient reply.
            clock: time and timers.
            log: the operators' log.
        """
        self.is_sufficient = is_sufficient
        self.on_done = on_done
        self.straggler_timeout = straggler_timeout
        self.clock = clock
        self.replies: list[Reply | None] = [None] * len(calls)
        self.outstanding = len(calls)
        self.is_done = False
        for index, call in enumerate(calls):
            call.addCallback(self._replied, index)
            call.addErrback(lambda failure: log(LogEvent.UNEXPECTED_ERROR, traceback=failure.getTraceback()))

    def _replied(self, reply: Reply | None, index: int) -> None:
        self.replies[index] = reply
        self.outstanding -= 1
        if not self.outstanding:
            self._finish()
        elif self.is_sufficient(reply):
            self.clock.callLater(self.straggler_timeout, self._finish)

    def _finish(self) -> None:
        if not self.is_done:
            self.is_done = True
            self.on_done(list(self.replies))
