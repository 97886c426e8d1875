"""Start times of engines in terms of the node's clock, corrected for wall clock errors."""

from typing import NamedTuple

# Longest time in seconds until a node has received a change of discovery's list.
MAX_NOTIFICATION_DELAY_S = 6.0


class KnownStart(NamedTuple):
    """The start time of an engine.

    Attributes:
        stated_ms: The start time that discovery states, in Unix milliseconds.
        started_at: The start time in seconds of the node's clock.
    """

    stated_ms: float
    started_at: float


class EngineStartTimes:
    """Converts the Unix times at which engines started to times of the node's clock.

    The conversion uses the wall clock as it was when this process started. That clock may have been wrong by
    an hour, if it was stepped shortly before. A converted time is therefore clamped to a range that does not
    depend on the wall clock. The upper bound is the current time. The lower bound is MAX_NOTIFICATION_DELAY_S
    before the last response of discovery, because that response would have shown an earlier start.

    Args:
        clock_epoch: The Unix time in seconds at which the node's clock was 0.
    """

    def __init__(self, clock_epoch: float) -> None:
        self.clock_epoch = clock_epoch
        self._known_starts: dict[str, KnownStart] = {}
        self._last_response_at: float | None = None  # when discovery last responded

    def started_at(self, name: str, stated_ms: float, now: float) -> float:
        """Return when an engine started, in seconds of the node's clock.

        The result stays the same until discovery states another start time. A different result would make the
        engine appear to have restarted with an empty prefix cache.
        """
        known = self._known_starts.get(name)
        if known is not None and known.stated_ms == stated_ms:
            return known.started_at
        started_at = min(stated_ms / 1e3 - self.clock_epoch, now)
        if self._last_response_at is not None:
            started_at = max(started_at, self._last_response_at - MAX_NOTIFICATION_DELAY_S)
        self._known_starts[name] = KnownStart(stated_ms, started_at)
        return started_at

    def advance_clock_epoch(self, latest_stated_ms: float, now: float) -> None:
        """Advance the clock epoch if the latest stated start time would otherwise be in the future.

        Such a start time shows that the wall clock was slow when this process started.
        """
        self.clock_epoch = max(self.clock_epoch, latest_stated_ms / 1e3 - now)

    def record_discovery_response(self, now: float) -> None:
        """Record a response of discovery: an engine that first appears in a later one is new."""
        self._last_response_at = now

    def forget(self, name: str) -> None:
        """Remove an engine that has left the endpoint list."""
        self._known_starts.pop(name, None)
