"""Statistics of what is observed, and other general helpers of routing.

Nothing here decides anything, or holds a tuned value: weights, spans and bounds are passed in.
"""

from collections import deque
from statistics import median_high
from typing import NamedTuple

MIN_ESTIMATE = 0.001  # less is not divided by
LN_2 = 0.69  # to two digits, as all rates have been reckoned so far
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio: spreads neighbouring keys


class Observation(NamedTuple):
    """A value that was observed, and when."""

    value: float
    at: float


UNOBSERVED = Observation(0.0, float("-inf"))


class MovingAverage:
    """An exponential moving average; the first value starts it."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: float | None = None

    def get(self, default: float) -> float:
        """Return the average, or the default where nothing was observed."""
        return default if self.value is None else self.value

    def observe(self, value: float, weight: float) -> None:
        """Move the average towards a value by this weight."""
        known = value if self.value is None else self.value
        self.value = known + weight * (value - known)


class MovingAverages(dict[int, float]):
    """Exponential moving averages by key; the first value of a key starts its average."""

    def observe(self, key: int, value: float, weight: float) -> float:
        """Move the average of a key towards a value by this weight, and return what it was before."""
        known = self.get(key, value)
        self[key] = known + weight * (value - known)
        return known


class DecayingCounters:
    """Counts by key that halve with time, as rates."""

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life
        self._counts: dict[int, Observation] = {}

    def rate(self, key: int, now: float) -> float:
        """Return how many there have lately been a second."""
        count, at = self._counts.get(key, (0.0, now))
        return count * 0.5 ** ((now - at) / self.half_life) * LN_2 / self.half_life

    def add(self, key: int, now: float) -> None:
        """Count one."""
        count = self.rate(key, now) * self.half_life / LN_2 + 1.0
        self._counts[key] = Observation(count, now)


def rendezvous_weight(key: int, hash_seed: int) -> int:
    """Rank an engine for a key, the same at every node; the highest comes first."""
    return (key ^ hash_seed) * GOLDEN_RATIO_64 >> 20 & 0xFFFFFFF


class RecentMedians:
    """Medians by key of the last samples."""

    def __init__(self, samples: int, initial: float) -> None:
        self.samples = samples
        self.initial = initial
        self._recent: dict[int, deque[float]] = {}
        self._medians: dict[int, float] = {}

    def get(self, key: int) -> float:
        """Return the median of a key, or the initial value where there is no sample."""
        return self._medians.get(key, self.initial)

    def add(self, key: int, sample: float) -> float:
        """Add a sample, beside the initial value where it is an early one; return the median."""
        recent = self._recent.setdefault(key, deque((self.initial,), maxlen=self.samples))
        recent.append(sample)
        median = self._medians[key] = median_high(recent)
        return median


class EstimateError:
    """By which factor actual values were lately off from their estimates, fading to a usual factor."""

    def __init__(self, usual: float, half_life: float) -> None:
        self.usual = usual
        self.half_life = half_life
        self.seen_at = 0.0
        self._estimated = MovingAverage()
        self._actual = MovingAverage()

    def factor(self, now: float) -> float:
        """Return the factor."""
        estimated = max(MIN_ESTIMATE, self._estimated.get(1.0))
        off = self._actual.get(self.usual) / estimated - self.usual
        return self.usual + off * 0.5 ** ((now - self.seen_at) / self.half_life)

    def observe(self, estimated: float, actual: float, max_weight: float, now: float) -> None:
        """Learn from one case, with the more weight the longer ago the last one was."""
        weight = min(max_weight, 1.0 - 0.5 ** ((now - self.seen_at) / self.half_life))
        self._estimated.observe(estimated, weight)
        self._actual.observe(actual, weight)
        self.seen_at = now
