"""Finds peers that do not respond: no SETTINGS in time, or no answer to a keep-alive ping."""

from collections.abc import Callable

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc.transport_limits import TransportLimits

TIMER_TOLERANCE = 0.001  # seconds that a timer may be early
MIN_WAIT = 0.01  # seconds


class Keepalive:
    """Watches one connection; whoever reads from it sets `received_at` and `is_ping_unanswered`."""

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
        """Begin to wait for the peer's SETTINGS."""
        self.received_at = self._clock.seconds()
        self._timer = self._clock.callLater(self._limits.settings_timeout, self._settings_missing)

    def settings_received(self) -> None:
        """Begin to ping, as the connection is established."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._limits.keepalive_interval:
            self._timer = self._clock.callLater(self._limits.keepalive_interval, self._check)

    def stop(self) -> None:
        """End, as the connection is lost."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _settings_missing(self) -> None:
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
        wait = limits.keepalive_timeout if self.is_ping_unanswered else until_ping
        self._timer = self._clock.callLater(max(MIN_WAIT, wait), self._check)
