"""Graceful shutdown on SIGTERM: accept late connections briefly, close unused ones, answer all requests."""

from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Clock

# Time after SIGTERM during which connections are still accepted: the load balancer in front needs as long to
# stop sending new ones.
ACCEPT_PERIOD_S = 0.5
IDLE_CHECK_INTERVAL_S = 0.1  # between checks whether the node is still busy


class Drainable(Protocol):
    """A set of connections that can be drained."""

    def drain(self) -> None:
        """Close unused connections now and the others after their response; may be called again."""


class GracefulShutdown:
    """The graceful shutdown of a process.

    Args:
        clock: Schedules the steps.
        listener: The connections of clients.
        is_busy: Returns whether a client, an engine or a connection still needs the process.
        stop_listening: Closes the port for clients.
        end: Called once, when the node is no longer busy.
    """

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
        self._is_started = False

    def start(self) -> None:
        """Start the shutdown. Further calls have no effect."""
        if self._is_started:
            return
        self._is_started = True
        self.clock.callLater(ACCEPT_PERIOD_S, self._close)
        self.listener.drain()

    def _close(self) -> None:
        # Scheduled first, so that the process also ends if a step below raises.
        self.clock.callLater(0, self._end_when_idle)
        try:
            self.stop_listening()
        finally:
            self.listener.drain()

    def _end_when_idle(self) -> None:
        """End the process once nothing is in flight.

        There is no timeout here, because each thing in flight has its own: a sequence its deadline, a partial
        request REQUEST_TIMEOUT_S, a last response LINGER_TIMEOUT_S, a release RELEASE_TIMEOUT_S, a stream
        the engine's end or SILENCE_TIMEOUT_S. The platform sends SIGKILL 3.7 s after SIGTERM or later.
        """
        is_busy = True
        try:
            is_busy = self.is_busy()
        finally:  # if is_busy() raised, the check is repeated
            if is_busy:
                self.clock.callLater(IDLE_CHECK_INTERVAL_S, self._end_when_idle)
        if not is_busy:
            self.end()
