"""Start times of engines by the node's clock, corrected for errors of the wall clock."""

from typing import NamedTuple

# Longest time in seconds from a change at the discovery service until a node is notified of it.
MAX_NOTIFICATION_DELAY_S = 6.0


class KnownStart(NamedTuple):
    """A start of an engine.

    Attributes:
        stated_ms: The start as discovery states it, in Unix milliseconds.
        started_at: The start in seconds of the node's clock.
    """

    stated_ms: float
    started_at: float


class EngineStartTimes:
    """Converts the Unix times at which engines started into times of the node's clock.

    The wall clock may be wrong by an hour, if it was stepped just before this process started. A converted
    time is therefore kept within bounds known without it: no engine starts in the future, and an engine that
    appears or restarts between two responses of discovery started after the first of them, less the delay of
    a notification.

    Args:
        epoch: The Unix time in seconds at which the node's clock showed 0.
    """

    def __init__(self, epoch: float) -> None:
        self.epoch = epoch
        self._known: dict[str, KnownStart] = {}
        self._last_response_at: float | None = None  # when discovery last responded

    def started_at(self, name: str, stated_ms: float, now: float) -> float:
        """Return when an engine started, in seconds of the node's clock.

        The result is the same at each call until discovery states another start: if it varied, the engine
        would seem to have restarted with an empty prefix cache.
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
        """Advance the epoch if the latest stated start would otherwise be in the future.

        Such a start indicates that the wall clock was set back.
        """
        self.epoch = max(self.epoch, latest_stated_ms / 1e3 - now)

    def discovery_responded(self, now: float) -> None:
        """Record that discovery responded: engines that first appear later are new."""
        self._last_response_at = now

    def forget(self, name: str) -> None:
        """Remove an engine that has left the endpoint list."""
        self._known.pop(name, None)
