"""Admission control: how many sequences may wait for their first token, which queue here, which are shed.

The concurrency limit follows measured latency as TCP Vegas does; `docs/design/limits.md` compares it with
others. Sequences above the limit are queued here, highest utility first, and are shed once they have waited
for a share of their latency objective. When the queue grows long, the entry of the lowest utility is shed at
once, whoever arrived last. A shed sequence is rejected: nothing ran.

Admission control does not decide where a sequence runs, nor whether its deadline can still be met: that stays
with the router, which sees only admitted sequences.
"""

from bisect import insort
from collections.abc import Iterable
from random import Random
from typing import Generic, NamedTuple, Protocol, TypeVar

Item = TypeVar("Item")  # what the caller queues

NEVER = float("inf")
MIN_LIMIT = 4.0  # sequences without a first token
INITIAL_LIMIT = 10.0
MAX_LIMIT = 20000.0
MAX_WAIT_SHARE = 0.4  # share of the latency objective for which a sequence may be queued
QUEUE_SHARE = 0.5  # of the limit, that may be queued
SMOOTHING = 0.1  # weight of a new sample in the mean latency
BASELINE_LIFETIME = 20.0  # seconds after which the least latency is measured anew: the fleet may have changed
GROW_BELOW = 0.5  # share of the latency that is queueing, below which the limit grows
SHRINK_ABOVE = 0.7  # and above which it falls
TIMEOUT_PENALTY = 0.5  # by which the limit falls for a sequence that had time enough and got no first token
UTILIZED_SHARE = 0.8  # of the limit in use, above which it may grow
MIN_RETRY_SHARE = 0.5  # of the longest Retry-After, that a shed sequence is asked to wait at least
MIN_MEAN = 1e-6  # guards a division


class ConcurrencyLimiter(Protocol):
    """What moves the concurrency limit."""

    limit: float

    def sample(self, now: float, latency_share: float | None, in_flight: int) -> None:
        """Take in one measured latency; see `VegasLimiter`."""


class VegasLimiter:
    """Brakmo and Peterson 1995: the queue is what the limit admits beyond the least recent latency.

    Latencies are shares of the latency objective, so that one figure serves all traffic types.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._least = NEVER
        self._least_at = 0.0
        self._mean = 0.0

    def sample(self, now: float, latency_share: float | None, in_flight: int) -> None:
        """Take in the share of its latency objective that a first token took; None: none came in time."""
        if latency_share is None:
            self.limit = max(MIN_LIMIT, self.limit - TIMEOUT_PENALTY)
            return
        if latency_share < self._least or now > self._least_at + BASELINE_LIFETIME:
            self._least = latency_share
            self._least_at = now
        if self._mean:
            self._mean += SMOOTHING * (latency_share - self._mean)
        else:
            self._mean = latency_share
        queueing = 1.0 - self._least / max(self._mean, MIN_MEAN)
        if queueing > SHRINK_ABOVE:
            self.limit = max(MIN_LIMIT, self.limit - 1.0 / self.limit**0.5)
        elif queueing < GROW_BELOW and in_flight >= UTILIZED_SHARE * self.limit:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit**0.5)


class QueueEntry(NamedTuple, Generic[Item]):
    """One queued sequence; entries sort by utility, then by when they are shed, then by arrival."""

    negative_utility: float
    shed_at: float
    order: int
    item: Item


class AdmissionController(Generic[Item]):
    """Admission control of one node."""

    def __init__(
        self, random: Random, utility: dict[str, float], limiter: ConcurrencyLimiter | None = None
    ) -> None:
        """`utility` is by traffic type."""
        self.limiter = limiter or VegasLimiter()
        self.utility = utility
        self.in_flight = 0
        self._draw = random.random
        self._queue: list[QueueEntry[Item]] = []
        self._arrivals = 0
        self._shed: list[Item] = []

    def enqueue(self, now: float, traffic_type: str, latency_objective: float, item: Item) -> None:
        """Queue a sequence, until `admit_next` or `take_shed` returns it."""
        self._arrivals += 1
        shed_at = now + MAX_WAIT_SHARE * latency_objective
        insort(self._queue, QueueEntry(-self.utility[traffic_type], shed_at, self._arrivals, item))
        most_queued = 1 + QUEUE_SHARE * self.limiter.limit
        if len(self._queue) > most_queued and self.in_flight >= self.limiter.limit:
            self._shed.append(self._queue.pop().item)  # the lowest utility; of these the last to be shed

    def admit_next(self, now: float) -> Item | None:
        """Return what is admitted now: the highest utility first, of equals the first that would be shed."""
        if not self._queue or self.in_flight >= self.limiter.limit:
            return None
        self.in_flight += 1
        return self._queue.pop(0).item

    def take_shed(self, now: float) -> Iterable[Item]:
        """Return what was shed: waited too long, or of the lowest utility; each once."""
        late = [entry for entry in self._queue if entry.shed_at <= now]
        self._queue = [entry for entry in self._queue if entry.shed_at > now]
        shed = [*self._shed, *(entry.item for entry in late)]
        self._shed = []
        return shed

    def next_shed_at(self) -> float:
        """Return when the first queued sequence will have waited too long."""
        return min((entry.shed_at for entry in self._queue), default=NEVER)

    def cancel(self, item: Item) -> bool:
        """Remove a sequence whose client left; return whether it was still queued."""
        remaining = [entry for entry in self._queue if entry.item is not item]
        removed = len(remaining) < len(self._queue)
        self._queue = remaining
        return removed

    def started(self, now: float, seconds: float, latency_objective: float) -> None:
        """Record that an admitted sequence got its first token, so many seconds after it arrived."""
        self.in_flight -= 1
        self.limiter.sample(now, seconds / latency_objective, self.in_flight + 1)

    def failed(self, now: float, had_time: bool) -> None:
        """Record that an admitted sequence ended without a first token.

        It says something about load only if it had time enough.
        """
        self.in_flight -= 1
        if had_time:
            self.limiter.sample(now, None, self.in_flight + 1)

    def retry_after(self, longest: float) -> float:
        """Return a Retry-After in seconds, drawn at random so that shed clients do not return together."""
        return longest * (MIN_RETRY_SHARE + (1.0 - MIN_RETRY_SHARE) * self._draw())
