"""Admission control: how many sequences may wait for their first token, which are queued, and which are shed.

The concurrency limit follows measured latency as TCP Vegas does; `docs/design/limits.md` compares it with
other algorithms. Sequences above the limit are queued here, highest utility first. A sequence is shed once
its wait exceeds a fixed fraction of its latency objective. If the queue is too long, the entry of lowest
utility is shed at once, even if it is not the latest arrival. Shedding rejects a sequence before any of it
has run.

Admission control decides neither which engine runs a sequence nor whether its deadline can still be met. Both
are decisions of the router, which sees only admitted sequences.
"""

from bisect import insort
from random import Random
from typing import Generic, NamedTuple, Protocol, TypeVar

Item = TypeVar("Item")  # the object that the caller queues for a sequence

NEVER = float("inf")
MIN_LIMIT = 4.0  # admitted sequences without a first token; the unit of all limits
INITIAL_LIMIT = 10.0
MAX_LIMIT = 20000.0
MAX_WAIT_SHARE = 0.4  # longest time in the queue, as a fraction of the sequence's latency objective
QUEUE_SHARE = 0.5  # queue length, as a fraction of the limit, above which sequences are shed at once
SMOOTHING = 0.1  # weight of a new sample in the mean latency
BASELINE_LIFETIME = 20.0  # seconds until the minimum latency is measured afresh: the fleet may have changed
GROW_BELOW = 0.5  # the limit grows while queueing delay is a smaller fraction of the latency
SHRINK_ABOVE = 0.7  # the limit falls while queueing delay is a larger fraction of the latency
TIMEOUT_PENALTY = 0.5  # subtracted from the limit when a sequence gets no first token in time
# Fraction of the limit that must be in use for it to grow: below that, latency says nothing about the limit.
UTILIZED_SHARE = 0.8
MIN_RETRY_SHARE = 0.5  # shortest Retry-After of a shed sequence, as a fraction of the longest
MIN_MEAN = 1e-6  # keeps the division by the mean latency defined while all samples are 0


class ConcurrencyLimiter(Protocol):
    """An algorithm that sets the concurrency limit."""

    limit: float  # sequences without a first token

    def sample(self, now: float, latency_share: float | None, in_flight: int) -> None:
        """Adjust the limit by one measured latency; see `VegasLimiter.sample`."""


class VegasLimiter:
    """The algorithm of TCP Vegas (Brakmo and Peterson 1995).

    The mean latency minus the minimum of recent latencies is taken as queueing delay. The limit grows while
    queueing delay is a small fraction of the mean latency, and falls while it is a large one. Latencies are
    divided by the latency objective, so that samples of all traffic types are comparable.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._least = NEVER  # minimum of recent samples; NEVER: no sample yet
        self._least_at = 0.0
        self._mean = 0.0  # 0 before the first sample, and as long as all samples are 0

    def sample(self, now: float, latency_share: float | None, in_flight: int) -> None:
        """Adjust the limit by one sample.

        Args:
            now: seconds.
            latency_share: the time to first token, divided by the latency objective; None if the sequence
                produced no first token although its deadline left enough time.
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
    """One queued sequence. Entries sort by descending utility, then by shed time, then by arrival."""

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
            random: randomizes the Retry-After of shed sequences.
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
            self._shed.append(self._queue.pop().item)  # lowest utility; among equals, the latest shed time

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
            had_time: whether the time to its deadline was at least its latency objective. If not, the failure
                is no evidence of overload and the limit stays as it is.
        """
        self.in_flight -= 1
        if had_time:
            self.limiter.sample(now, None, self.in_flight + 1)

    def retry_after(self, longest: float) -> float:
        """Return a random Retry-After of at most `longest` seconds, so that retries are spread over time."""
        return longest * (MIN_RETRY_SHARE + (1.0 - MIN_RETRY_SHARE) * self._draw())
