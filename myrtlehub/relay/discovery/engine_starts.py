"""When engines started, by this node's clock, however far the wall clock is off."""

from typing import NamedTuple

# Seconds after which a node is told at the latest what discovery knows.
NOTICE_S = 6.0


class KnownStart(NamedTuple):
    """A start: as discovery states it, in Unix milliseconds, and by this node's clock, in seconds."""

    born_ms: float
    started_at: float


class EngineStarts:
    """Turns Unix times of engines' starts into times of this node's clock.

    The wall clock may be off by an hour, by a step just before this process started. So it is believed only
    within what is known without it: nobody starts in the future, and an engine that appears or restarts
    between two answers of discovery has started since the first of them, less the time that a notice takes.

    `epoch` is the Unix time when the node's clock showed 0.
    """

    def __init__(self, epoch: float) -> None:
        self.epoch = epoch
        self._known: dict[str, KnownStart] = {}
        self._updated_at: float | None = None  # when discovery last answered

    def started_at(self, name: str, born_ms: float, now: float) -> float:
        """Return when an engine started; the same moment each time, as long as it states the same."""
        known = self._known.get(name)
        if known is not None and known.born_ms == born_ms:
            return known.started_at
        started_at = min(born_ms / 1e3 - self.epoch, now)
        if self._updated_at is not None:
            started_at = max(started_at, self._updated_at - NOTICE_S)
        self._known[name] = KnownStart(born_ms, started_at)
        return started_at

    def correct(self, newest_born_ms: float, now: float) -> None:
        """Move the epoch on if an engine seems to have started in the future: the wall clock was set back."""
        self.epoch = max(self.epoch, newest_born_ms / 1e3 - now)

    def discovery_answered(self, now: float) -> None:
        """Take note that an answer of discovery was read: what appears later is new."""
        self._updated_at = now

    def forget(self, name: str) -> None:
        """Forget an engine that is gone."""
        self._known.pop(name, None)
