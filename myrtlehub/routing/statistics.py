"""Moving averages, rates, medians and rendezvous hashing, independent of the routing policy.

Weights, half-lives and sample counts are parameters, because every tuned value belongs to `routing.policy`.
"""

from collections import deque
from statistics import median_high
from typing import NamedTuple

MIN_ESTIMATE = 0.001  # lower bound of divisors, in the unit of the estimates
LN_2 = 0.69  # rounded to two digits; a more exact value would change every decision that compares rates
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2**64 / golden ratio: Fibonacci hashing spreads neighbouring keys
RANK_SHIFT = 20  # drops the low bits of the product, which mix least
RANK_MASK = 0xFFFFFFF  # keeps 28 bits


class Observation(NamedTuple):
    """An observed value, and the time of its observation in seconds."""

    value: float
    at: float


UNOBSERVED = Observation(0.0, float("-inf"))


class MovingAverage:
    """An exponential moving average, which starts at the first value observed."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: float | None = None

    def get(self, default: float) -> float:
        """Return the average, or the default before the first observation."""
        return default if self.value is None else self.value

    def observe(self, value: float, weight: float) -> None:
        """Move the average towards a value, by the fraction `weight` of their distance."""
        average = value if self.value is None else self.value
        self.value = average + weight * (value - average)


class MovingAverages(dict[int, float]):
    """Exponential moving averages by key, each of which starts at the first value of its key."""

    def observe(self, key: int, value: float, weight: float) -> float:
        """Move the average of a key towards a value, by the fraction `weight` of their distance.

        Returns:
            The average before this observation.
        """
        average = self.get(key, value)
        self[key] = average + weight * (value - average)
        return average


class DecayingCounters:
    """Recent event rates by key, computed from counts that decay exponentially with time."""

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life
        self._counts: dict[int, Observation] = {}

    def rate(self, key: int, now: float) -> float:
        """Return the recent rate of a key in events per second."""
        count, counted_at = self._counts.get(key, (0.0, now))
        decay: float = 0.5 ** ((now - counted_at) / self.half_life)
        return count * decay * LN_2 / self.half_life

    def add(self, key: int, now: float) -> None:
        """Count one event."""
        count = self.rate(key, now) * self.half_life / LN_2 + 1.0
        self._counts[key] = Observation(count, now)


def rendezvous_weight(key: int, hash_seed: int) -> int:
    """Return the rank of an engine for a key in rendezvous hashing; the highest rank wins.

    Every node computes the same rank, so nodes agree on an order of engines without exchanging messages.
    """
    return (key ^ hash_seed) * GOLDEN_RATIO_64 >> RANK_SHIFT & RANK_MASK


class RecentMedians:
    """The median of the most recent samples of each key."""

    def __init__(self, max_samples: int, initial: float) -> None:
        self.max_samples = max_samples
        self.initial = initial
        self._recent: dict[int, deque[float]] = {}
        self._medians: dict[int, float] = {}

    def get(self, key: int) -> float:
        """Return the median of a key, or the initial value before its first sample."""
        return self._medians.get(key, self.initial)

    def add(self, key: int, sample: float) -> float:
        """Add a sample and return the new median.

        The initial value counts as a sample until newer ones displace it.
        """
        recent = self._recent.setdefault(key, deque((self.initial,), maxlen=self.max_samples))
        recent.append(sample)
        median = self._medians[key] = median_high(recent)
        return median


class EstimateError:
    """The average ratio of actual to estimated values; without observations it decays to a default."""

    def __init__(self, default_factor: float, half_life: float) -> None:
        self.default_factor = default_factor
        self.half_life = half_life
        self.observed_at = 0.0
        self._estimated = MovingAverage()
        self._actual = MovingAverage()

    def factor(self, now: float) -> float:
        """Return the factor by which an estimate should be multiplied."""
        estimated = max(MIN_ESTIMATE, self._estimated.get(1.0))
        deviation = self._actual.get(self.default_factor) / estimated - self.default_factor
        decay: float = 0.5 ** ((now - self.observed_at) / self.half_life)
        return self.default_factor + deviation * decay

    def observe(self, estimated: float, actual: float, max_weight: float, now: float) -> None:
        """Record an estimate and the actual value; the weight is greater, the longer ago the last one was."""
        weight = min(max_weight, 1.0 - 0.5 ** ((now - self.observed_at) / self.half_life))
        self._estimated.observe(estimated, weight)
        self._actual.observe(actual, weight)
        self.observed_at = now
