"""What clients saw of one traffic type."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1e6  # in a second; histograms count whole microseconds
MAX_MICROSECONDS = 120_000_000
HISTOGRAM_DIGITS = 3
PERCENTILES = (50, 99)


class Tally:
    """Counts, latencies and utility."""

    def __init__(self) -> None:
        self.asked = 0
        self.calls = 0
        self.utility = 0.0  # asked for
        self.good_utility = 0.0  # of answers, less for late ones
        self.answers: Counter[str] = Counter()
        self._first_token = HdrHistogram(1, MAX_MICROSECONDS, HISTOGRAM_DIGITS)
        self._token_gap = HdrHistogram(1, MAX_MICROSECONDS, HISTOGRAM_DIGITS)

    def add_first_token(self, seconds: float) -> None:
        """Count the time from asking to the first token."""
        self._first_token.record_value(max(1, int(seconds * MICROSECONDS)))

    def add_token_gap(self, seconds: float) -> None:
        """Count the time from one token to the next."""
        self._token_gap.record_value(max(1, int(seconds * MICROSECONDS)))

    def figures(self) -> dict:
        """Return counts, seconds at percentiles, and goodput, for the verdict."""
        return {
            "sequences": self.asked,
            "tries": self.calls,
            "answers": dict(sorted(self.answers.items())),
            "first_token": _percentiles(self._first_token),
            "per_token": _percentiles(self._token_gap),
            "goodput": round(self.good_utility / self.utility, 4) if self.utility else None,
        }


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.total_count:
        return {}
    return {
        f"p{percentile}": round(histogram.get_value_at_percentile(percentile) / MICROSECONDS, 4)
        for percentile in PERCENTILES
    }
