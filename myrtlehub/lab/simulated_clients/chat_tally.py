"""Counts, latencies and goodput of one traffic type of the chat front."""

from collections import Counter
from typing import TypedDict

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1e6  # in a second; histograms count whole microseconds
MAX_MICROSECONDS = 120_000_000
HISTOGRAM_DIGITS = 3  # significant decimal digits
PERCENTILES = (50, 99)


class ChatFigures(TypedDict):
    """The figures of one traffic type, as a verdict stores them."""

    sequences: int
    tries: int
    answers: dict[str, int]
    first_token: dict[str, float]  # seconds, by percentile
    per_token: dict[str, float]
    goodput: float | None  # None without any requested utility


class ChatTally:
    """Counts what clients requested and received."""

    def __init__(self) -> None:
        self.requests = 0
        self.calls = 0
        self.requested_utility = 0.0
        self.good_utility = 0.0  # of generated answers; less for those that miss the latency objective
        self.answers: Counter[str] = Counter()
        self._first_token = _new_histogram()
        self._token_gap = _new_histogram()

    def add_first_token(self, seconds: float) -> None:
        """Add the time from the request to the first token."""
        _add(self._first_token, seconds)

    def add_token_gap(self, seconds: float) -> None:
        """Add the time from one token to the next."""
        _add(self._token_gap, seconds)

    def figures(self) -> ChatFigures:
        """Return counts, seconds at percentiles, and goodput, for the verdict."""
        goodput = round(self.good_utility / self.requested_utility, 4) if self.requested_utility else None
        return {
            "sequences": self.requests,
            "tries": self.calls,
            "answers": dict(sorted(self.answers.items())),
            "first_token": _percentiles(self._first_token),
            "per_token": _percentiles(self._token_gap),
            "goodput": goodput,
        }


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, HISTOGRAM_DIGITS)


def _add(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(1, int(seconds * MICROSECONDS)))


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return seconds at percentiles; none for a histogram without values."""
    if not histogram.total_count:
        return {}
    return {
        f"p{percentile}": round(histogram.get_value_at_percentile(percentile) / MICROSECONDS, 4)
        for percentile in PERCENTILES
    }
