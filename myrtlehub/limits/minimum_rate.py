"""Minimum rate of a client that is being sent to.

It is judged on what the client could take, not on what there was to send: only a time span in which something
waited for it throughout counts. A client that stalls and catches up within the window is not too slow.
"""

from collections import deque
from typing import NamedTuple

CHECK_INTERVAL = 0.25  # seconds between checks
ROUNDING = 1e-9  # seconds by which a span may miss the window


class TakenSample(NamedTuple):
    """How many bytes the client had taken by a time."""

    at: float
    taken: int


class MinimumRateMonitor:
    """The rate of one stream's client."""

    __slots__ = ("_samples", "least_rate", "stalled_since", "window")

    def __init__(self, window: float, least_rate: float) -> None:
        """`least_rate` bytes a second, over `window` seconds; 0: no client is too slow."""
        self.window = window
        self.least_rate = least_rate
        self.stalled_since: float | None = None
        self._samples: deque[TakenSample] = deque()

    def is_too_slow(self, now: float, taken: int, waiting: int) -> bool:
        """Take in the bytes taken in all and those that wait; return whether the client is too slow."""
        if not waiting:
            self._samples.clear()
            self.stalled_since = None
            return False
        if not self._samples or self._samples[-1].taken != taken:
            self.stalled_since = now
        self._samples.append(TakenSample(now, taken))
        while len(self._samples) > 2 and self._samples[1].at <= now - self.window:
            self._samples.popleft()
        first = self._samples[0]
        span = now - first.at
        if not self.least_rate or span < self.window - ROUNDING:
            return False
        return taken - first.taken < self.least_rate * span

    def stalled_seconds(self, now: float) -> float:
        """Return for how long the client has taken nothing of what waits."""
        return 0.0 if self.stalled_since is None else now - self.stalled_since
