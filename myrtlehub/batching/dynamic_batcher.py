"""Dynamic batching: small requests that arrive at about the same time share one engine batch.

A request waits only where another one is likely to join it: where the recent rate of requests with the same
key makes one within the window at least as likely as not. It waits neither longer than the window nor past
the share of its deadline that has to be left, and shares a batch only with requests of the same key, which
includes the tenant.
"""

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

NEVER = float("inf")
INTERVAL_WEIGHT = 0.2  # of the latest interval in the moving average
INITIAL_INTERVAL = 1.0  # seconds between requests of a key that has not been seen
MAX_INTERVAL = 1.0  # seconds; a longer pause counts as this
MAX_KEYS = 4096  # whose rate is remembered; beyond it the stalest half is forgotten
TIMER_TOLERANCE = 1e-9  # seconds that a timer may be early by rounding

Request = TypeVar("Request")


class BatchingWindow(NamedTuple):
    """The settings of dynamic batching."""

    max_wait: float  # seconds; 0: no request waits
    max_tokens: float  # from which a group is sent at once
    max_items: int
    min_time_left: float  # share of a request's time left that must remain when it is sent


class Waiting(NamedTuple, Generic[Request]):
    """A request in a group that is not sent yet."""

    request: Request
    tokens: float
    items: int


class Interval(NamedTuple):
    """Seconds between requests of one key."""

    average: float
    last_at: float


class DynamicBatcher(Generic[Request]):
    """Collects requests in groups by key, and returns the groups that are to be sent."""

    def __init__(self, window: BatchingWindow) -> None:
        self.window = window
        self._groups: dict[Hashable, list[Waiting[Request]]] = {}
        self._due: dict[Hashable, float] = {}
        self._intervals: dict[Hashable, Interval] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request waits."""
        return not self._groups

    def add(
        self, now: float, key: Hashable, request: Request, tokens: float, items: int, time_left: float
    ) -> list[list[Request]]:
        """Take a request and return the groups to send now.

        If the request is in none of them it waits, and `next_at` says until when.
        """
        is_joined_soon = self._average_interval(now, key) <= self.window.max_wait
        ready = []
        if self._would_exceed(key, tokens, items):
            ready.append(self._pop_group(key))  # what waits is sent without it
        wait = min(self.window.max_wait, time_left * (1.0 - self.window.min_time_left))
        if not is_joined_soon:
            wait = 0.0
        is_large = tokens >= self.window.max_tokens or items >= self.window.max_items
        if is_large or (wait <= 0.0 and key not in self._groups):
            return [*ready, [request]]
        self._groups.setdefault(key, []).append(Waiting(request, tokens, items))
        self._due[key] = min(self._due.get(key, NEVER), now + wait)
        return ready

    def remove(self, key: Hashable, request: Request) -> bool:
        """Remove a request whose client left; return whether it still waited."""
        group = self._groups.get(key, [])
        rest = [waiting for waiting in group if waiting.request is not request]
        if len(rest) == len(group):
            return False
        if rest:
            self._groups[key] = rest
        else:
            self._pop_group(key)
        return True

    def next_at(self) -> float:
        """Return the time at which `pop_due` has a group."""
        return min(self._due.values(), default=NEVER)

    def pop_due(self, now: float) -> list[list[Request]]:
        """Remove and return the groups whose wait is over."""
        keys = [key for key, due in self._due.items() if due <= now + TIMER_TOLERANCE]
        return [self._pop_group(key) for key in keys]

    def _would_exceed(self, key: Hashable, tokens: float, items: int) -> bool:
        group = self._groups.get(key)
        if not group:
            return False
        group_tokens = sum(waiting.tokens for waiting in group)
        group_items = sum(waiting.items for waiting in group)
        return group_tokens + tokens > self.window.max_tokens or group_items + items > self.window.max_items

    def _average_interval(self, now: float, key: Hashable) -> float:
        """Return the recent seconds between requests of this key, with the present one counted."""
        average, last_at = self._intervals.get(key, Interval(INITIAL_INTERVAL, NEVER))
        if last_at != NEVER:
            average += INTERVAL_WEIGHT * (min(MAX_INTERVAL, now - last_at) - average)
        self._intervals[key] = Interval(average, now)
        if len(self._intervals) > MAX_KEYS:
            self._forget_stalest()
        return average

    def _forget_stalest(self) -> None:
        """Bound the memory for keys, of which clients can make any number."""
        by_age = sorted(self._intervals, key=lambda key: self._intervals[key].last_at)
        for key in by_age[: MAX_KEYS // 2]:
            del self._intervals[key]

    def _pop_group(self, key: Hashable) -> list[Request]:
        self._due.pop(key, None)
        return [waiting.request for waiting in self._groups.pop(key, ())]
