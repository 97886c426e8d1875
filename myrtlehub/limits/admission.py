"""Admission control: limits the sequences that wait for their first token, and queues or sheds the others.

The concurrency limit adapts to measured latency as in TCP Vegas; `docs/design/limits.md` compares it with
other algorithms. Sequences above the limit are queued by descending utility. A sequence is shed once its
queueing time exceeds a fixed fraction of its latency SLO. If the queue is too long, the entry of lowest
utility is shed at once, even if it is not the latest arrival. Shedding rejects a sequence before any of it
has run.

Admission control decides neither which engine runs a sequence nor whether its deadline can still be met. The
router, which sees only admitted sequences, decides both.
"""

from bisect import insort
from random import Random
from typing import Generic, NamedTuple, Protocol, TypeVar

Item = TypeVar("Item")  # the object that the caller queues for a sequence

NEVER = float("inf")  # a minimum latency that any sample lowers
MIN_LIMIT = 4.0  # admitted sequences without a first token, as for all limits
INITIAL_LIMIT = 10.0
MAX_LIMIT = 20000.0
MAX_WAIT_SHARE = 0.4  # longest queueing time, as a fraction of the sequence's latency SLO
QUEUE_SHARE = 0.5  # queue length, as a fraction of the limit, above which sequences are shed at once
SMOOTHING_FACTOR = 0.1  # weight of a new sample in the mean latency
BASELINE_LIFETIME = 20.0  # seconds until the minimum latency is measured again: the fleet may have changed
GROWTH_THRESHOLD = 0.5  # the limit grows while queueing delay is a smaller fraction of the mean latency
SHRINK_THRESHOLD = 0.7  # the limit shrinks while queueing delay is a larger fraction of the mean latency
TIMEOUT_PENALTY = 0.5  # subtracted from the limit when a sequence gets no first token in time
# Fraction of the limit that must be in use for it to grow. Below it, latency is no evidence about the limit.
MIN_UTILIZATION = 0.8
MIN_RETRY_AFTER_SHARE = 0.5  # shortest Retry-After of a shed sequence, as a fraction of the longest
MIN_MEAN_LATENCY = 1e-6  # avoids a division by zero while all latency samples are 0


class ConcurrencyLimiter(Protocol):
    """An algorithm that sets the concurrency limit."""

    limit: float  # admitted sequences without a first token

    def sample(self, now: float, latency_ratio: float | None, in_flight: int) -> None:
        """Adjust the limit for one latency sample; see `VegasLimiter.sample`."""


class VegasLimiter:
    """The algorithm of TCP Vegas (Brakmo and Peterson 1995).

    Queueing delay is estimated as the mean latency minus the minimum of recent latencies. The limit grows
    while queueing delay is a small fraction of the mean latency, and shrinks while it is a large one.
    Latencies are divided by the latency SLO, so that samples of all traffic types are comparable.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._min_ratio = NEVER  # minimum of recent samples; NEVER before the first one
        self._min_ratio_at = 0.0
        self._mean = 0.0  # 0 before the first sample and while all samples are 0

    def sample(self, now: float, latency_ratio: float | None, in_flight: int) -> None:
        """Adjust the limit for one latency sample.

        Args:
            now: seconds.
            latency_ratio: the time to first token divided by the latency SLO; None if the sequence produced
                no first token although its deadline left enough time.
            in_flight: admitted sequences without a first token, including the sampled one.
        """
        if latency_ratio is None:
            self.limit = max(MIN_LIMIT, self.limit - TIMEOUT_PENALTY)
            return
        if latency_ratio < self._min_ratio or now > self._min_ratio_at + BASELINE_LIFETIME:
            self._min_ratio = latency_ratio
            self._min_ratio_at = now
        if self._mean:
            self._mean += SMOOTHING_FACTOR * (latency_ratio - self._mean)
        else:
            self._mean = latency_ratio
        queueing_share = 1.0 - self._min_ratio / max(self._mean, MIN_MEAN_LATENCY)
        if queueing_share > SHRINK_THRESHOLD:
            self.limit = max(MIN_LIMIT, self.limit - 1.0 / self.limit**0.5)
        elif queueing_share < GROWTH_THRESHOLD and in_flight >= MIN_UTILIZATION * self.limit:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit**0.5)


class QueueEntry(NamedTuple, Generic[Item]):
    """A queued sequence. Entries sort by descending utility, then by shed time, then by arrival."""

    negative_utility: float
    shed_at: float
    arrival_number: int
    item: Item


class AdmissionController(Generic[Item]):
    """The queue, the concurrency limit, and the count of admitted sequences of one node."""

    def __init__(
        self, random: Random, utility: dict[str, float], limiter: ConcurrencyLimiter | None = None
    ) -> None:
        """Create a controller with an empty queue.

        Args:
            random: randomizes the Retry-After of shed sequences.
            utility: the utility of a sequence, by traffic type.
            limiter: sets the concurrency limit; a `VegasLimiter` if None.
        """
        self.limiter = limiter or VegasLimiter()
        self.utility = utility
        self.in_flight = 0  # admitted sequences without a first token
        self._uniform = random.random
        self._queue: list[QueueEntry[Item]] = []
        self._arrival_count = 0
        self._shed: list[Item] = []

    def enqueue(self, now: float, traffic_type: str, latency_slo: float, item: Item) -> None:
        """Queue a sequence until `admit_next` or `take_shed` returns it or `cancel` removes it."""
        self._arrival_count += 1
        shed_at = now + MAX_WAIT_SHARE * latency_slo
        insort(self._queue, QueueEntry(-self.utility[traffic_type], shed_at, self._arrival_count, item))
        max_queued = 1 + QUEUE_SHARE * self.limiter.limit
        if len(self._queue) > max_queued and self.in_flight >= self.limiter.limit:
            self._shed.append(self._queue.pop().item)  # of lowest utility and latest shed time

    def admit_next(self) -> Item | None:
        """Admit the sequence of highest utility and return it, or None if no sequence can be admitted.

        Of several sequences of equal utility, the one with the earliest shed time is admitted.
        """
        if not self._queue or self.in_flight >= self.limiter.limit:
            return None
        self.in_flight += 1
        return self._queue.pop(0).item

    def take_shed(self, now: float) -> list[Item]:
        """Return the sequences that were shed since the last call; each is returned only once."""
        expired = [entry for entry in self._queue if entry.shed_at <= now]
        self._queue = [entry for entry in self._queue if entry.shed_at > now]
        shed = [*self._shed, *(entry.item for entry in expired)]
        self._shed = []
        return shed

    def next_shed_at(self) -> float | None:
        """Return the earliest shed time of the queued sequences, or None if none is queued."""
        return min((entry.shed_at for entry in self._queue), default=None)

    def cancel(self, item: Item) -> bool:
        """Remove a sequence whose client disconnected; return whether it was still queued."""
        remaining = [entry for entry in self._queue if entry.item is not item]
        removed = len(remaining) < len(self._queue)
        self._queue = remaining
        return removed

    def record_first_token(self, now: float, latency: float, latency_slo: float) -> None:
        """Record the first token of an admitted sequence, `latency` seconds after its arrival."""
        self.in_flight -= 1
        self.limiter.sample(now, latency / latency_slo, self.in_flight + 1)

    def record_failure(self, now: float, had_sufficient_time: bool) -> None:
        """Record that an admitted sequence ended without a first token.

        Args:
            now: seconds.
            had_sufficient_time: whether the time to its deadline was at least its latency SLO. If not, the
                failure is no evidence of overload, and the limit is not changed.
        """
        self.in_flight -= 1
        if had_sufficient_time:
            self.limiter.sample(now, None, self.in_flight + 1)

    def retry_after(self, max_retry_after: float) -> float:
        """Return a random Retry-After of at most `max_retry_after` seconds, to spread retries over time."""
        return max_retry_after * (MIN_RETRY_AFTER_SHARE + (1.0 - MIN_RETRY_AFTER_SHARE) * self._uniform())
