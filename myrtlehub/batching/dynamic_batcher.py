"""Dynamic batching: small requests that arrive at about the same time share one engine batch.

A request waits only if another one is likely to join it: the moving average of the interval between requests
of the same key must not exceed the window. The wait is limited to the window, and to a fraction of the time
left to the request's deadline. Only requests of the same key share a batch; the key includes the tenant.
"""

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

INTERVAL_WEIGHT = 0.2  # weight of the latest interval in the moving average
INITIAL_INTERVAL = 1.0  # seconds; initial value of the moving average for a new key
MAX_INTERVAL = 1.0  # seconds; cap on one interval, so that a new burst lowers the average quickly
MAX_KEYS = 4096  # keys with a stored average; beyond that, the least recently seen half is evicted
TIME_TOLERANCE = 1e-9  # seconds by which a timer may fire early because of rounding

Request = TypeVar("Request")


class BatchingWindow(NamedTuple):
    """The settings of dynamic batching.

    Attributes:
        max_wait: the window, which is the maximum wait of a request in seconds; 0: no request waits.
        max_tokens: maximum tokens per group; a request of this size or larger is sent alone, without a wait.
        max_items: maximum items per group; a request of this size or larger is sent alone, without a wait.
        min_time_left: fraction of the time to a request's deadline that must remain when it is sent.
    """

    max_wait: float
    max_tokens: float
    max_items: int
    min_time_left: float


class WaitingRequest(NamedTuple, Generic[Request]):
    """A request in a group that has not been sent."""

    request: Request
    tokens: float
    items: int


class ArrivalInterval(NamedTuple):
    """The moving average of the interval between requests of a key, in seconds, and the last arrival time."""

    average: float
    last_at: float


class DynamicBatcher(Generic[Request]):
    """Groups requests by key, and returns each group when it is due."""

    def __init__(self, window: BatchingWindow) -> None:
        self.window = window
        self._groups: dict[Hashable, list[WaitingRequest[Request]]] = {}
        self._send_at: dict[Hashable, float] = {}  # send time of each group
        self._intervals: dict[Hashable, ArrivalInterval] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request is waiting."""
        return not self._groups

    def add(
        self, now: float, key: Hashable, request: Request, tokens: float, items: int, time_left: float
    ) -> list[list[Request]]:
        """Add a request, and return the groups to send now.

        If none of them contains the request, it waits in a group that `pop_due` will return.

        Args:
            now: the current time in seconds.
            key: what requests must have in common to share an engine batch.
            request: the request.
            tokens: the request's tokens.
            items: the request's items.
            time_left: seconds until the request's deadline.
        """
        is_next_request_likely = self._average_interval(now, key) <= self.window.max_wait
        groups_to_send = []
        if self._would_exceed(key, tokens, items):
            groups_to_send.append(self._pop_group(key))  # the new request starts a new group
        wait = min(self.window.max_wait, time_left * (1.0 - self.window.min_time_left))
        if not is_next_request_likely:
            wait = 0.0
        is_large = tokens >= self.window.max_tokens or items >= self.window.max_items
        if is_large or (wait <= 0.0 and key not in self._groups):
            return [*groups_to_send, [request]]
        self._groups.setdefault(key, []).append(WaitingRequest(request, tokens, items))
        send_at = now + wait
        self._send_at[key] = min(self._send_at.get(key, send_at), send_at)
        return groups_to_send

    def remove(self, key: Hashable, request: Request) -> bool:
        """Remove a request whose client disconnected; return whether it was still waiting."""
        group = self._groups.get(key, [])
        remaining = [waiting for waiting in group if waiting.request is not request]
        if len(remaining) == len(group):
            return False
        if remaining:
            self._groups[key] = remaining
        else:
            self._pop_group(key)
        return True

    def next_at(self) -> float | None:
        """Return the time at which `pop_due` will return the next group; None if no request waits."""
        return min(self._send_at.values(), default=None)

    def pop_due(self, now: float) -> list[list[Request]]:
        """Remove and return the groups whose send time has been reached."""
        keys = [key for key, send_at in self._send_at.items() if send_at <= now + TIME_TOLERANCE]
        return [self._pop_group(key) for key in keys]

    def _would_exceed(self, key: Hashable, tokens: float, items: int) -> bool:
        group = self._groups.get(key)
        if not group:
            return False
        group_tokens = sum(waiting.tokens for waiting in group)
        group_items = sum(waiting.items for waiting in group)
        return group_tokens + tokens > self.window.max_tokens or group_items + items > self.window.max_items

    def _average_interval(self, now: float, key: Hashable) -> float:
        """Update the moving average for a request that arrives now; return the average in seconds."""
        previous = self._intervals.get(key)
        average = INITIAL_INTERVAL
        if previous is not None:
            average = previous.average
            average += INTERVAL_WEIGHT * (min(MAX_INTERVAL, now - previous.last_at) - average)
        self._intervals[key] = ArrivalInterval(average, now)
        if len(self._intervals) > MAX_KEYS:
            self._evict_oldest_intervals()
        return average

    def _evict_oldest_intervals(self) -> None:
        """Evict the least recently seen half of the keys, as clients can create any number of keys."""
        oldest_first = sorted(self._intervals, key=lambda key: self._intervals[key].last_at)
        for key in oldest_first[: MAX_KEYS // 2]:
            del self._intervals[key]

    def _pop_group(self, key: Hashable) -> list[Request]:
        self._send_at.pop(key, None)
        return [waiting.request for waiting in self._groups.pop(key, ())]
