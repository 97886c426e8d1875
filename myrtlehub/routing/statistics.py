"""Moving averages, decaying counters, running medians and rendezvous hashing.

The module has no tuned values: `routing.policy` passes the weights, half-lives and sample counts.
"""

from collections import deque
from statistics import median_high
from typing import NamedTuple

MIN_ESTIMATE = 0.001  # in the unit of the estimates; prevents a division by zero
LN_2_ROUNDED = 0.69  # two digits; a more exact value would change every decision that compares rates
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2**64 / golden ratio: Fibonacci hashing spreads adjacent keys
WEIGHT_SHIFT = 20  # discards the low bits of the product, which are mixed least
WEIGHT_MASK = 0xFFFFFFF  # 28 bits


class Observation(NamedTuple):
    """A value and the time in seconds at which it was observed."""

    value: float
    at: float


UNOBSERVED = Observation(0.0, float("-inf"))


class MovingAverage:
    """An exponential moving average, initialized with the first observed value."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: float | None = None

    def get(self, default: float) -> float:
        """Return the average, or the default before the first observation."""
        return default if self.value is None else self.value

    def observe(self, value: float, weight: float) -> None:
        """Update the average with a value, which has a weight from 0 to 1."""
        average = value if self.value is None else self.value
        self.value = average + weight * (value - average)


class MovingAverages(dict[int, float]):
    """Exponential moving averages by key, each initialized with the first value of its key."""

    def observe(self, key: int, value: float, weight: float) -> float:
        """Update the average of a key with a value, which has a weight from 0 to 1.

        Returns:
            The average before this update.
        """
        average = self.get(key, value)
        self[key] = average + weight * (value - average)
        return average


class DecayingCounters:
    """Estimates event rates by key from counters that decay exponentially."""

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life
        self._counts: dict[int, Observation] = {}

    def rate(self, key: int, now: float) -> float:
        """Return the estimated rate of a key in events per second."""
        count, updated_at = self._counts.get(key, (0.0, now))
        decay: float = 0.5 ** ((now - updated_at) / self.half_life)
        return count * decay * LN_2_ROUNDED / self.half_life

    def add(self, key: int, now: float) -> None:
        """Count an event of a key."""
        count = self.rate(key, now) * self.half_life / LN_2_ROUNDED + 1.0
        self._counts[key] = Observation(count, now)


def rendezvous_weight(key: int, hash_seed: int) -> int:
    """Return the weight of an engine for a key in rendezvous hashing; the highest weight is selected.

    The weight is the same on every node, so all nodes order the engines alike without communication.
    """
    return (key ^ hash_seed) * GOLDEN_RATIO_64 >> WEIGHT_SHIFT & WEIGHT_MASK


class RunningMedians:
    """Running medians by key, over the most recent samples of each key."""

    def __init__(self, max_samples: int, initial: float) -> None:
        self.max_samples = max_samples
        self.initial = initial
        self._recent_samples: dict[int, deque[float]] = {}
        self._medians: dict[int, float] = {}

    def get(self, key: int) -> float:
        """Return the median of a key, or the initial value if it has no samples."""
        return self._medians.get(key, self.initial)

    def add(self, key: int, sample: float) -> float:
        """Add a sample to a key and return its new median.

        The initial value counts as a sample until newer samples replace it.
        """
        recent = self._recent_samples.setdefault(key, deque((self.initial,), maxlen=self.max_samples))
        recent.append(sample)
        median = self._medians[key] = median_high(recent)
        return median


class EstimateCorrection:
    """A correction factor for estimates: the average ratio of actual to estimated values.

    Without observations, the factor decays exponentially to a default.
    """

    def __init__(self, default_factor: float, half_life: float) -> None:
        self.default_factor = default_factor
        self.half_life = half_life
        self.updated_at = 0.0
        self._average_estimate = MovingAverage()
        self._average_actual = MovingAverage()

    def factor(self, now: float) -> float:
        """Return the factor that corrects an estimate made now."""
        estimated = max(MIN_ESTIMATE, self._average_estimate.get(1.0))
        deviation = self._average_actual.get(self.default_factor) / estimated - self.default_factor
        decay: float = 0.5 ** ((now - self.updated_at) / self.half_life)
        return self.default_factor + deviation * decay

    def observe(self, estimated: float, actual: float, max_weight: float, now: float) -> None:
        """Update the factor with an estimate and the actual value.

        The weight of the pair grows with the time since the last one, up to `max_weight`.
        """
        weight = min(max_weight, 1.0 - 0.5 ** ((now - self.updated_at) / self.half_life))
        self._average_estimate.observe(estimated, weight)
        self._average_actual.observe(actual, weight)
        self.updated_at = now
