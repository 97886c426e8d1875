"""Start times of engines on the node's clock, corrected for errors of the wall clock."""

from typing import NamedTuple

# Longest time in seconds until a node learns of a change at the discovery service.
MAX_NOTIFICATION_DELAY_S = 6.0


class KnownStart(NamedTuple):
    """The start time of an engine.

    Attributes:
        stated_ms: The start time as discovery states it, in Unix milliseconds.
        started_at: The start time in seconds on the node's clock.
    """

    stated_ms: float
    started_at: float


class EngineStartTimes:
    """Converts the Unix times at which engines started into times on the node's clock.

    The conversion uses the wall clock as it was when this process started. It may have been wrong by an hour,
    if it was stepped shortly before. A converted time is therefore limited to a range that does not depend on
    the wall clock. Its upper end is now. Its lower end is MAX_NOTIFICATION_DELAY_S before the last response
    of discovery, because that response would have shown an earlier start.

    Args:
        epoch: The Unix time in seconds at which the node's clock showed 0.
    """

    def __init__(self, epoch: float) -> None:
        self.epoch = epoch
        self._known: dict[str, KnownStart] = {}
        self._last_response_at: float | None = None  # when discovery last responded

    def started_at(self, name: str, stated_ms: float, now: float) -> float:
        """Return when an engine started, in seconds of the node's clock.

        The result does not change until discovery states another start time. If it varied, the engine would
        appear to have restarted with an empty prefix cache.
        """
        known = self._known.get(name)
        if known is not None and known.stated_ms == stated_ms:
            return known.started_at
        started_at = min(stated_ms / 1e3 - self.epoch, now)
        if self._last_response_at is not None:
            started_at = max(started_at, self._last_response_at - MAX_NOTIFICATION_DELAY_S)
        self._known[name] = KnownStart(stated_ms, started_at)
        return started_at

    def correct_epoch(self, latest_stated_ms: float, now: float) -> None:
        """Advance the epoch if the latest stated start time would otherwise be in the future.

        Such a time indicates that the wall clock was behind when this process started.
        """
        self.epoch = max(self.epoch, latest_stated_ms / 1e3 - now)

    def discovery_responded(self, now: float) -> None:
        """Record that discovery responded: an engine that first appears after now is new."""
        self._last_response_at = now

    def forget(self, name: str) -> None:
        """Remove an engine that has left the endpoint list."""
        self._known.pop(name, None)
