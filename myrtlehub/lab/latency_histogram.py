"""Histograms of durations, for the percentiles of a verdict."""

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1e6  # the histograms count whole microseconds
HISTOGRAM_DIGITS = 3  # significant digits to which a duration is counted
PERCENTILES = (50, 99)
DECIMALS = 4  # digits after the decimal point of a verdict's seconds


class LatencyHistogram:
    """Counts durations from one microsecond to a maximum; longer ones are left out."""

    def __init__(self, max_seconds: float) -> None:
        self._histogram = HdrHistogram(1, int(max_seconds * MICROSECONDS_PER_SECOND), HISTOGRAM_DIGITS)

    @property
    def count(self) -> int:
        """How many durations were recorded."""
        count: int = self._histogram.total_count
        return count

    def record(self, seconds: float) -> None:
        """Record one duration."""
        self._histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))

    def figures(self) -> dict[str, float]:
        """Return the count, and seconds at percentiles if there are any durations."""
        return {"count": self.count, **self.percentiles()}

    def percentiles(self) -> dict[str, float]:
        """Return seconds by percentile; nothing if there are no durations."""
        if not self.count:
            return {}
        return {f"p{percentile}": self._seconds_at(percentile) for percentile in PERCENTILES}

    def _seconds_at(self, percentile: int) -> float:
        microseconds: int = self._histogram.get_value_at_percentile(percentile)
        return round(microseconds / MICROSECONDS_PER_SECOND, DECIMALS)
