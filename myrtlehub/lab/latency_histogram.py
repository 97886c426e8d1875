"""Histograms of durations, for the percentiles of a verdict."""

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1e6  # in a second; histograms count whole microseconds
HISTOGRAM_DIGITS = 3
PERCENTILES = (50, 99)
DECIMALS = 4  # of the seconds in a verdict


class LatencyHistogram:
    """Counts durations from one microsecond to a maximum; longer ones are left out."""

    def __init__(self, max_seconds: float) -> None:
        self._histogram = HdrHistogram(1, int(max_seconds * MICROSECONDS), HISTOGRAM_DIGITS)

    @property
    def count(self) -> int:
        """How many durations were recorded."""
        count: int = self._histogram.total_count
        return count

    def record(self, seconds: float) -> None:
        """Record one duration."""
        self._histogram.record_value(max(1, int(seconds * MICROSECONDS)))

    def figures(self) -> dict[str, float]:
        """Return the count, and seconds at percentiles if there are any durations."""
        figures: dict[str, float] = {"count": self.count}
        if self.count:
            for percentile in PERCENTILES:
                seconds = self._histogram.get_value_at_percentile(percentile) / MICROSECONDS
                figures[f"p{percentile}"] = round(seconds, DECIMALS)
        return figures
