"""Detects unresponsive peers: no SETTINGS in time, or no complete frame after a keepalive ping."""

from collections.abc import Callable

from myrtlehub.clock import TIMER_TOLERANCE_S, Clock, Timer
from myrtlehub.rpc.transport_limits import TransportLimits

MIN_CHECK_DELAY = 0.01  # seconds between checks, so that rounding cannot cause a busy loop


class Keepalive:
    """Monitor of one connection, which reports each complete frame.

    Bytes of a frame that is not complete do not count: a peer could send them for ever.
    Test: `test_a_connection_whose_frame_never_ends_is_closed`.
    """

    def __init__(
        self,
        clock: Clock,
        limits: TransportLimits,
        send_ping: Callable[[], None],
        on_settings_timeout: Callable[[], None],
        on_ping_timeout: Callable[[], None],
    ) -> None:
        self._received_at = 0.0
        self._is_ping_unanswered = False
        self._clock = clock
        self._limits = limits
        self._send_ping = send_ping
        self._on_settings_timeout = on_settings_timeout
        self._on_ping_timeout = on_ping_timeout
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start the timeout for the peer's first SETTINGS frame."""
        self._received_at = self._clock.seconds()
        self._timer = self._clock.callLater(self._limits.settings_timeout, self._settings_timed_out)

    def frame_received(self) -> None:
        """Record a complete frame, which shows that the peer is alive."""
        self._received_at = self._clock.seconds()
        self._is_ping_unanswered = False

    def settings_received(self) -> None:
        """Start the keepalive checks, as the connection is established."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._limits.keepalive_interval:
            self._timer = self._clock.callLater(self._limits.keepalive_interval, self._check)

    def stop(self) -> None:
        """Stop the timer, after the connection was lost."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _settings_timed_out(self) -> None:
        self._timer = None
        self._on_settings_timeout()

    def _check(self) -> None:
        self._timer = None
        limits = self._limits
        time_since_received = self._clock.seconds() - self._received_at
        if self._is_ping_unanswered and time_since_received >= limits.keepalive_timeout:
            self._on_ping_timeout()
            return
        is_silent = time_since_received >= limits.keepalive_interval - TIMER_TOLERANCE_S
        if is_silent and not self._is_ping_unanswered:
            self._is_ping_unanswered = True
            self._send_ping()
        time_until_ping = limits.keepalive_interval - time_since_received
        delay = limits.keepalive_timeout if self._is_ping_unanswered else time_until_ping
        self._timer = self._clock.callLater(max(MIN_CHECK_DELAY, delay), self._check)
