"""Minimum rate: detects clients that read too slowly.

The rate is measured only while data is queued for the client, because a stream without data to send gives no
information about its client. A client that stalls and catches up within the window is not too slow.
"""

from collections import deque
from typing import NamedTuple

CHECK_INTERVAL = 0.25  # seconds between checks
TIME_TOLERANCE = 1e-9  # seconds by which rounding may make a time span shorter than the window


class RateSample(NamedTuple):
    """The number of bytes sent to the client up to a point in time."""

    sampled_at: float
    sent: int


class MinimumRateMonitor:
    """Measures the rate at which the client of a stream reads."""

    __slots__ = ("_samples", "least_rate", "stalled_since", "window")

    def __init__(self, window: float, least_rate: float) -> None:
        """Create a monitor without samples.

        Args:
            window: seconds over which the rate is measured.
            least_rate: bytes per second below which a client is too slow; 0 disables the check.
        """
        self.window = window
        self.least_rate = least_rate
        self.stalled_since: float | None = None  # time of the last progress; None if no data is queued
        self._samples: deque[RateSample] = deque()

    def is_too_slow(self, now: float, sent: int, queued: int) -> bool:
        """Record the stream's counters and return whether its client is too slow.

        Args:
            now: seconds.
            sent: bytes sent since the start of the stream.
            queued: bytes queued for the client.
        """
        if not queued:
            self._samples.clear()
            self.stalled_since = None
            return False
        if not self._samples or self._samples[-1].sent != sent:
            self.stalled_since = now
        self._samples.append(RateSample(now, sent))
        while len(self._samples) > 2 and self._samples[1].sampled_at <= now - self.window:
            self._samples.popleft()
        first = self._samples[0]
        span = now - first.sampled_at
        if not self.least_rate or span < self.window - TIME_TOLERANCE:
            return False
        return sent - first.sent < self.least_rate * span

    def stalled_seconds(self, now: float) -> float:
        """Return the seconds since the last progress of the queued data; 0 if no data is queued."""
        return 0.0 if self.stalled_since is None else now - self.stalled_since
