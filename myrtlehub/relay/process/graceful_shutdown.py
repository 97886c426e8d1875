"""Graceful shutdown on SIGTERM: accepts late connections, closes unused ones, answers all requests."""

from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Clock

# Time after SIGTERM during which connections are still accepted: the load balancer may take this long to stop
# opening new ones.
ACCEPT_PERIOD_S = 0.5
# Time between the report of pending work and the earliest SIGKILL, because the process may be delayed.
REPORT_MARGIN_S = 0.15
ACCEPT_RETRY_INTERVAL_S = 0.02  # while accept() fails, so that the port cannot be closed
IDLE_CHECK_INTERVAL_S = 0.1  # between checks of whether the node is still busy


class DrainableListener(Protocol):
    """A listener whose connections can be drained."""

    def drain(self) -> None:
        """Close unused connections now and the others after their response; may be called repeatedly."""


class GracefulShutdown:
    """Graceful shutdown of a process.

    Args:
        clock: Schedules the steps.
        listener: Listener for client connections.
        is_busy: Returns whether work in flight still needs the process; see `RelayNode.is_busy`.
        stop_listening: Closes the port for clients. Returns True if it has to be called again, because
            connections in the accept queue currently cannot be accepted.
        end: Called once, when the node is no longer busy, to end the process.
        report_delay: Seconds after the start at which `report` is called, unless the process has ended.
        report: Logs the pending work.
    """

    def __init__(
        self,
        clock: Clock,
        listener: DrainableListener,
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
        """Start the shutdown. Further calls do nothing."""
        if self._is_started:
            return
        self._is_started = True
        self.clock.callLater(ACCEPT_PERIOD_S, self._close_port)
        if self.report is not None:
            self.clock.callLater(self.report_delay, self.report)
        self.listener.drain()

    def _close_port(self) -> None:
        """Close the port, or retry soon; the process ends even if a step raises.

        Closing the port would reset connections in the accept queue, whose clients need a response
        (`test_a_client_that_cannot_be_accepted_as_the_port_closes_is_answered_later`).
        """
        must_retry = False
        try:
            must_retry = self.stop_listening()
        finally:
            if must_retry:
                self.clock.callLater(ACCEPT_RETRY_INTERVAL_S, self._close_port)
            else:
                self.clock.callLater(0, self._end_when_idle)
            self.listener.drain()

    def _end_when_idle(self) -> None:
        """End the process once the node is no longer busy.

        This needs no timeout, because all work in flight has its own: sequences have their deadlines,
        partial requests REQUEST_TIMEOUT_S, last responses LINGER_TIMEOUT_S, and releases RELEASE_TIMEOUT_S.
        A stream ends when the engine ends it, or after SILENCE_TIMEOUT_S without an event. The platform sends
        SIGKILL no earlier than `PlatformLimits.earliest_kill_delay` after SIGTERM. A process that is still
        busy shortly before that reports the pending work and continues.
        """
        is_busy = True
        try:
            is_busy = self.is_busy()
        finally:  # the check is repeated if is_busy() raised
            if is_busy:
                self.clock.callLater(IDLE_CHECK_INTERVAL_S, self._end_when_idle)
        if not is_busy:
            self.end()
