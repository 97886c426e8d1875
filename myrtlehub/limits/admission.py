"""Admission control: how many sequences may wait for their first token, which are queued, and which are shed.

The concurrency limit follows measured latency as TCP Vegas does; `docs/design/limits.md` compares it with
other algorithms. Sequences above the limit are queued here, highest utility first, and are shed once they
have waited for a certain share of their latency objective. When the queue grows long, its entry of lowest
utility is shed at once, even if that is not the latest arrival. A shed sequence is rejected, so nothing of it
has run.

Admission control does not decide where a sequence runs, nor whether its deadline can still be met. That is
the task of the router, which sees only admitted sequences.
"""

from bisect import insort
from random import Random
from typing import Generic, NamedTuple, Protocol, TypeVar

Item = TypeVar("Item")  # what the caller queues for a sequence

NEVER = float("inf")
MIN_LIMIT = 4.0  # sequences without a first token
INITIAL_LIMIT = 10.0
MAX_LIMIT = 20000.0
MAX_WAIT_SHARE = 0.4  # share of its latency objective for which a sequence may be queued
QUEUE_SHARE = 0.5  # share of the limit that may be queued before sequences are shed at once
SMOOTHING = 0.1  # weight of a new sample in the mean latency
BASELINE_LIFETIME = 20.0  # seconds after which a new minimum latency is taken: the fleet may have changed
GROW_BELOW = 0.5  # queueing share of the latency below which the limit grows
SHRINK_ABOVE = 0.7  # queueing share of the latency above which the limit falls
TIMEOUT_PENALTY = 0.5  # subtracted from the limit when a sequence gets no first token in time
UTILIZED_SHARE = 0.8  # least used share of the limit for growth: below it, latency does not test the limit
MIN_RETRY_SHARE = 0.5  # least Retry-After of a shed sequence, as a share of the longest
MIN_MEAN = 1e-6  # keeps the division by the mean latency defined while all samples are 0


class ConcurrencyLimiter(Protocol):
    """An algorithm that sets the concurrency limit."""

    limit: float  # sequences without a first token

    def sample(self, now: float, latency_share: float | None, in_flight: int) -> None:
        """Adjust the limit by one measured latency; see `VegasLimiter.sample`."""


class VegasLimiter:
    """The algorithm of TCP Vegas (Brakmo and Peterson 1995).

    The part of the mean latency that exceeds the minimum of recent latencies is queueing delay. The limit
    grows while that part is small, and falls while it is large. Latencies are measured as shares of the
    latency objective, so that samples of all traffic types are comparable.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._least = NEVER  # the minimum of recent latency shares; NEVER: no sample yet
        self._least_at = 0.0
        self._mean = 0.0  # 0 before the first sample, and as long as all samples are 0

    def sample(self, now: float, latency_share: float | None, in_flight: int) -> None:
        """Adjust the limit by one sample.

        Args:
            now: seconds.
            latency_share: the latency of a first token, as a share of its objective; None if the sequence
                got no first token though it had the time.
            in_flight: admitted sequences without a first token, the sampled one included.
        """
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
    """One queued sequence; entries sort by utility, then by the time they are shed at, then by arrival."""

    negative_utility: float
    shed_at: float
    order: int
    item: Item


class AdmissionController(Generic[Item]):
    """The queue, the concurrency limit, and the count of admitted sequences of one node."""

    def __init__(
        self, random: Random, utility: dict[str, float], limiter: ConcurrencyLimiter | None = None
    ) -> None:
        """Make a controller with an empty queue.

        Args:
            random: spreads the Retry-After of shed sequences.
            utility: the utility of a sequence by traffic type.
            limiter: sets the concurrency limit; None: a `VegasLimiter`.
        """
        self.limiter = limiter or VegasLimiter()
        self.utility = utility
        self.in_flight = 0  # admitted sequences without a first token
        self._draw = random.random
        self._queue: list[QueueEntry[Item]] = []
        self._arrivals = 0
        self._shed: list[Item] = []

    def enqueue(self, now: float, traffic_type: str, latency_objective: float, item: Item) -> None:
        """Queue a sequence, until `admit_next` or `take_shed` returns it."""
        self._arrivals += 1
        shed_at = now + MAX_WAIT_SHARE * latency_objective
        insort(self._queue, QueueEntry(-self.utility[traffic_type], shed_at, self._arrivals, item))
        max_queued = 1 + QUEUE_SHARE * self.limiter.limit
        if len(self._queue) > max_queued and self.in_flight >= self.limiter.limit:
            self._shed.append(self._queue.pop().item)  # of the lowest utility, the one to be shed last

    def admit_next(self) -> Item | None:
        """Admit and return the sequence of highest utility, or None if no sequence can be admitted.

        Among sequences of equal utility, the one that would be shed first is admitted.
        """
        if not self._queue or self.in_flight >= self.limiter.limit:
            return None
        self.in_flight += 1
        return self._queue.pop(0).item

    def take_shed(self, now: float) -> list[Item]:
        """Return the sequences that were shed since the last call; each is returned once."""
        late = [entry for entry in self._queue if entry.shed_at <= now]
        self._queue = [entry for entry in self._queue if entry.shed_at > now]
        shed = [*self._shed, *(entry.item for entry in late)]
        self._shed = []
        return shed

    def next_shed_at(self) -> float | None:
        """Return when the next queued sequence will have waited too long; None if none is queued."""
        return min((entry.shed_at for entry in self._queue), default=None)

    def cancel(self, item: Item) -> bool:
        """Remove a sequence whose client disconnected; return whether it was still queued."""
        remaining = [entry for entry in self._queue if entry.item is not item]
        removed = len(remaining) < len(self._queue)
        self._queue = remaining
        return removed

    def record_first_token(self, now: float, latency: float, latency_objective: float) -> None:
        """Record the first token of an admitted sequence, `latency` seconds after its arrival."""
        self.in_flight -= 1
        self.limiter.sample(now, latency / latency_objective, self.in_flight + 1)

    def record_failure(self, now: float, had_time: bool) -> None:
        """Record that an admitted sequence ended without a first token.

        Args:
            now: seconds.
            had_time: whether its deadline left it the time of its latency objective. If not, the failure
                says nothing about load.
        """
        self.in_flight -= 1
        if had_time:
            self.limiter.sample(now, None, self.in_flight + 1)

    def retry_after(self, longest: float) -> float:
        """Return a random Retry-After of at most `longest` seconds; clients must not return together."""
        return longest * (MIN_RETRY_SHARE + (1.0 - MIN_RETRY_SHARE) * self._draw())
