"""Least rate of a peer that is being sent to. Pure.

Judged on what the peer could take, not on what there was to send: only a span in which something waited for
it all the time counts. A peer that stalls and catches up within the window is not slow.
"""

from collections import deque

STEP = 0.25  # seconds between looks


class Pace:
    """One stream."""

    __slots__ = ("_seen", "least", "stalled_since", "window")

    def __init__(self, window: float, least: float) -> None:
        """`least` bytes a second, over `window` seconds; 0: no peer is too slow."""
        self.window, self.least = window, least
        self._seen: deque[tuple[float, int]] = deque()  # when, and bytes taken by then
        self.stalled_since: float | None = None

    def look(self, now: float, taken: int, waiting: int) -> bool:
        """What it has taken in all, and what waits for it. True: it is too slow."""
        if not waiting:
            self._seen.clear()
            self.stalled_since = None
            return False
        if not self._seen or self._seen[-1][1] != taken:
            self.stalled_since = now
        self._seen.append((now, taken))
        while len(self._seen) > 2 and self._seen[1][0] <= now - self.window:
            self._seen.popleft()
        since, before = self._seen[0]
        if not self.least or now - since < self.window - 1e-9:
            return False
        return taken - before < self.least * (now - since)

    def stalled(self, now: float) -> float:
        """Seconds for which it has taken nothing of what waits."""
        return 0.0 if self.stalled_since is None else now - self.stalled_since
