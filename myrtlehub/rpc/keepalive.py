"""Detects peers that do not respond: no SETTINGS in time, or no bytes after a keepalive ping."""

from collections.abc import Callable

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc.transport_limits import TransportLimits

TIMER_TOLERANCE = 0.001  # seconds by which a timer may fire early
MIN_DELAY = 0.01  # seconds between checks, so that rounding cannot make the timer spin


class Keepalive:
    """Monitors one connection, which updates the public attributes whenever it receives bytes."""

    def __init__(
        self,
        clock: Clock,
        limits: TransportLimits,
        send_ping: Callable[[], None],
        on_settings_timeout: Callable[[], None],
        on_ping_timeout: Callable[[], None],
    ) -> None:
        self.received_at = 0.0
        self.is_ping_unanswered = False
        self._clock = clock
        self._limits = limits
        self._send_ping = send_ping
        self._on_settings_timeout = on_settings_timeout
        self._on_ping_timeout = on_ping_timeout
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start the timeout of the peer's SETTINGS."""
        self.received_at = self._clock.seconds()
        self._timer = self._clock.callLater(self._limits.settings_timeout, self._settings_timed_out)

    def settings_received(self) -> None:
        """Start the checks for silence, once the connection is established."""
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
        silence = self._clock.seconds() - self.received_at
        if self.is_ping_unanswered and silence >= limits.keepalive_timeout:
            self._on_ping_timeout()
            return
        if silence >= limits.keepalive_interval - TIMER_TOLERANCE and not self.is_ping_unanswered:
            self.is_ping_unanswered = True
            self._send_ping()
        until_ping = limits.keepalive_interval - silence
        delay = limits.keepalive_timeout if self.is_ping_unanswered else until_ping
        self._timer = self._clock.callLater(max(MIN_DELAY, delay), self._check)
