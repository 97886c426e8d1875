"""Graceful shutdown on SIGTERM: accept late connections, close unused ones, answer all requests."""

from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Clock

# Time after SIGTERM during which connections are still accepted, because the load balancer may need this long
# to stop sending new ones.
ACCEPT_PERIOD_S = 0.5
# Time from the report of what is still pending to the earliest SIGKILL, as the process may be delayed.
REPORT_MARGIN_S = 0.15
ACCEPT_RETRY_INTERVAL_S = 0.02  # while clients cannot be accepted, and the port cannot be closed
IDLE_CHECK_INTERVAL_S = 0.1  # between checks of whether the node is still busy


class Drainable(Protocol):
    """A set of connections that can be drained."""

    def drain(self) -> None:
        """Close unused connections now, and the others after their response; may be called repeatedly."""


class GracefulShutdown:
    """The graceful shutdown of a process.

    Args:
        clock: Schedules the steps.
        listener: The connections of clients.
        is_busy: Returns whether anything in flight still needs the process; see `RelayNode.is_busy`.
        stop_listening: Closes the port for clients. Returns True if it has to be called again, as clients
            that wait to be accepted cannot be accepted at present.
        end: Called once, when the node is no longer busy.
        report_delay: Seconds after the start at which `report` is called, unless the shutdown has ended.
        report: Reports what is still pending.
    """

    def __init__(
        self,
        clock: Clock,
        listener: Drainable,
        is_busy: Callable[[], bool],
        stop_listening: Callable[[], bool],
        end: Callable[[], None],
        report_delay: float = 0.0,
        report: Callable[[], None] | None = None,
    ) -> None:
        self.clock = clock
        self.listener = listener
        self.is_busy = is_busy
        self.stop_listening = stop_listening
        self.end = end
        self.report_delay = report_delay
        self.report = report
        self._is_started = False

    def start(self) -> None:
        """Start the shutdown. Further calls have no effect."""
        if self._is_started:
            return
        self._is_started = True
        self.clock.callLater(ACCEPT_PERIOD_S, self._close)
        if self.report is not None:
            self.clock.callLater(self.report_delay, self.report)
        self.listener.drain()

    def _close(self) -> None:
        """Close the port, or try again soon; the process ends even if a step raises.

        Clients in the accept queue need a response, so the port is not closed over them
        (`test_a_client_that_cannot_be_accepted_as_the_port_closes_is_answered_later`).
        """
        must_retry = False
        try:
            must_retry = self.stop_listening()
        finally:
            if must_retry:
                self.clock.callLater(ACCEPT_RETRY_INTERVAL_S, self._close)
            else:
                self.clock.callLater(0, self._end_when_idle)
            self.listener.drain()

    def _end_when_idle(self) -> None:
        """End the process once nothing is in flight.

        No timeout is needed here, because everything in flight has its own time limit: sequences have their
        deadlines, partial requests REQUEST_TIMEOUT_S, last responses LINGER_TIMEOUT_S, and releases
        RELEASE_TIMEOUT_S. A stream ends when the engine ends it, or after SILENCE_TIMEOUT_S without an event.
        The platform sends SIGKILL no earlier than `PlatformLimits.earliest_kill` after SIGTERM; a process
        that is still busy shortly before that reports what is pending, and goes on.
        """
        is_busy = True
        try:
            is_busy = self.is_busy()
        finally:  # if is_busy() raised, the check is repeated
            if is_busy:
                self.clock.callLater(IDLE_CHECK_INTERVAL_S, self._end_when_idle)
        if not is_busy:
            self.end()
