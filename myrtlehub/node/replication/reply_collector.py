"""Collects the replies of several calls."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent


class ReplyCollector:
    """Calls `on_done` once with all replies, in the order of the calls.

    Once a reply is sufficient, those that don't come within `patience` count as None.
    """

    def __init__(
        self,
        calls: list[Deferred],
        is_sufficient: Callable[[object], bool],
        on_done: Callable[[list], None],
        patience: float,
        clock: Clock,
        log: Log,
    ) -> None:
        self.is_sufficient = is_sufficient
        self.on_done = on_done
        self.patience = patience
        self.clock = clock
        self.replies: list = [None] * len(calls)
        self.outstanding = len(calls)
        self.is_done = False
        for index, call in enumerate(calls):
            call.addCallback(self._replied, index)
            call.addErrback(lambda failure: log(LogEvent.UNEXPECTED_ERROR, traceback=failure.getTraceback()))

    def _replied(self, reply: object, index: int) -> None:
        self.replies[index] = reply
        self.outstanding -= 1
        if not self.outstanding:
            self._finish()
        elif self.is_sufficient(reply):
            self.clock.callLater(self.patience, self._finish)

    def _finish(self) -> None:
        if not self.is_done:
            self.is_done = True
            self.on_done(list(self.replies))
