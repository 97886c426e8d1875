"""Arrival times of received bytes: the deadline of a request is relative to the arrival of its last byte."""

from collections import deque
from typing import NamedTuple

# Data that arrives within this time, in seconds, is recorded as one segment with the arrival time of its
# first byte, to bound the memory for a client that sends many small segments.
MERGE_INTERVAL_S = 0.01
MAX_SEGMENTS = 128  # of one connection; beyond it, the interval is doubled and pairs are merged


class _Segment(NamedTuple):
    end: int  # offset just past its last byte, in the data received on the connection
    arrived_at: float  # clock time in seconds


class ByteArrivals:
    """Arrival times of the bytes on one connection that are not part of a complete request yet."""

    __slots__ = ("_merge_interval", "_segments", "_total_bytes", "_unread_segment")

    def __init__(self) -> None:
        self._total_bytes = 0
        self._merge_interval = MERGE_INTERVAL_S
        self._segments: deque[_Segment] = deque()
        self._unread_segment: _Segment | None = None  # bytes in the socket's receive buffer

    def add_unread(self, size: int, arrived_at: float) -> None:
        """Record that `size` further bytes have arrived by `arrived_at` and will be read later.

        Without this record they would get the time at which they are read. That may be many reactor turns
        later if each read returns few bytes.
        Test: `test_bytes_that_are_read_late_count_from_when_they_were_in_the_system`.

        Args:
            size: Number of bytes in the socket's receive buffer.
            arrived_at: Clock time in seconds.
        """
        end = self._total_bytes + size
        if size and (self._unread_segment is None or end > self._unread_segment.end):
            self._unread_segment = _Segment(end, arrived_at)

    def add(self, size: int, now: float) -> None:
        """Record that `size` bytes were read at clock time `now`, in seconds.

        They arrived at that time, unless `add_unread` has recorded an earlier one.
        """
        self._total_bytes += size
        unread = self._unread_segment
        if unread is not None and self._total_bytes <= unread.end:
            now = unread.arrived_at
        if self._segments and now - self._segments[-1].arrived_at < self._merge_interval:
            now = self._segments.pop().arrived_at
        self._segments.append(_Segment(self._total_bytes, now))
        if len(self._segments) > MAX_SEGMENTS:
            self._merge_pairs()

    def _merge_pairs(self) -> None:
        """Merge each two segments into one with the earlier arrival time, which is the safe one."""
        self._merge_interval *= 2
        segments = list(self._segments)
        merged = [
            _Segment(second.end, first.arrived_at)
            for first, second in zip(segments[::2], segments[1::2], strict=False)
        ]
        self._segments = deque(merged + segments[2 * len(merged) :])

    def consume(self, unread: int) -> float:
        """Remove all bytes except the last `unread` ones; return when the last removed byte arrived."""
        position = self._total_bytes - unread
        while len(self._segments) > 1 and self._segments[0].end < position:
            self._segments.popleft()
        if unread == 0:
            self._merge_interval = MERGE_INTERVAL_S
        return self._segments[0].arrived_at
