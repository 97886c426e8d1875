"""Graceful shutdown on SIGTERM: accept what still comes, close what is unused, respond to all requests."""

from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Clock

# After SIGTERM, for which connections are still accepted: the balancer in front needs as long to notice.
ACCEPT_PERIOD_S = 0.5
CHECK_INTERVAL_S = 0.1  # between looks at whether the node is still busy


class Drainable(Protocol):
    """What closes unused connections, and the others after their response."""

    def drain(self) -> None:
        """Begin, or look once more for connections that came meanwhile."""


class GracefulShutdown:
    """One graceful shutdown."""

    def __init__(
        self,
        clock: Clock,
        listener: Drainable,
        is_busy: Callable[[], bool],
        stop_listening: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.listener = listener
        self.is_busy = is_busy
        self.stop_listening = stop_listening
        self.end = end
        self.started = False

    def start(self) -> None:
        """Begin, once; further calls change nothing."""
        if self.started:
            return
        self.started = True
        self.clock.callLater(ACCEPT_PERIOD_S, self._close)
        self.listener.drain()

    def _close(self) -> None:
        self.clock.callLater(0, self._end_when_idle)  # first: whatever closing raises, the process ends
        try:
            self.stop_listening()
        finally:
            self.listener.drain()

    def _end_when_idle(self) -> None:
        """End once nothing is in flight any more.

        All that may be in flight has a bound of its own: a request its deadline, half of one
        REQUEST_TIMEOUT_S, a last response LINGER_TIMEOUT_S, a release its tries, a stream its engine's end or
        silence. So there is none here: who wants the process gone before that sends SIGKILL, as the platform
        does 3.7 s after SIGTERM at the soonest.
        """
        is_busy = True
        try:
            is_busy = self.is_busy()
        finally:  # where that raises, it is looked at again
            if is_busy:
                self.clock.callLater(CHECK_INTERVAL_S, self._end_when_idle)
        if not is_busy:
            self.end()
