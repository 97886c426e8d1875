"""Small requests that arrive together may share one engine batch. Pure: driven by the times handed in.

A request waits only where company is likely: where the pace of its like lately makes another one within the
window at least as likely as not. It never waits past `least_left` of its own deadline, never longer than
the window, and shares only with the same key, in which the tenant stands.
"""

from collections.abc import Hashable
from typing import NamedTuple

NEVER = float("inf")


class Window(NamedTuple):
    """What the operators state."""

    wait: float  # seconds at most; 0: nothing is gathered
    tokens: float  # at which a group goes at once
    items: int
    least_left: float  # share of a request's time left that must still be there when it goes


class Gatherer:
    """Requests in, groups out."""

    def __init__(self, window: Window) -> None:
        self.w = window
        self._groups: dict[Hashable, list[tuple[object, float, int]]] = {}
        self._due: dict[Hashable, float] = {}
        self._gap: dict[Hashable, tuple[float, float]] = {}  # by key: mean seconds between, last

    def add(
        self, now: float, key: Hashable, request: object, tokens: float, items: int, time_left: float
    ) -> list[list[object]]:
        """A request; the groups to send now. If it is in none of them it waits, `next_at` says until when."""
        likely = self._pace(now, key) <= self.w.wait
        group, out = self._groups.get(key, ()), []
        if group and (
            sum(t for _, t, _ in group) + tokens > self.w.tokens
            or sum(n for _, _, n in group) + items > self.w.items
        ):
            out.append(self._take(key))  # what waits goes without it
        wait = min(self.w.wait, time_left * (1.0 - self.w.least_left)) if likely else 0.0
        if tokens >= self.w.tokens or items >= self.w.items or (wait <= 0.0 and key not in self._groups):
            return [*out, [request]]
        self._groups.setdefault(key, []).append((request, tokens, items))
        self._due[key] = min(self._due.get(key, NEVER), now + wait)
        return out

    def _pace(self, now: float, key: Hashable) -> float:
        """Seconds between requests of this key, of late; the present one counts."""
        gap, last = self._gap.get(key, (1.0, NEVER))
        if last != NEVER:
            gap += 0.2 * (min(1.0, now - last) - gap)
        self._gap[key] = (gap, now)
        if len(self._gap) > 4096:
            # Guards against keys without end: the stalest half is forgotten.
            for old in sorted(self._gap, key=lambda k: self._gap[k][1])[:2048]:
                del self._gap[old]
        return gap

    def _take(self, key: Hashable) -> list[object]:
        self._due.pop(key, None)
        return [r for r, _, _ in self._groups.pop(key, ())]

    def drop(self, key: Hashable, request: object) -> bool:
        """Its client left; whether it still waited here."""
        group = self._groups.get(key, [])
        left = [g for g in group if g[0] is not request]
        if len(left) == len(group):
            return False
        if left:
            self._groups[key] = left
        else:
            self._take(key)
        return True

    def next_at(self) -> float:
        """When `due` has something."""
        return min(self._due.values(), default=NEVER)

    def due(self, now: float) -> list[list[object]]:
        """Groups whose wait is over."""
        keys = [k for k, at in self._due.items() if at <= now + 1e-9]
        return [self._take(k) for k in keys]
