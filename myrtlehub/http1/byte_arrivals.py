"""Arrival times of received bytes, because the deadline of a request counts from its last byte's arrival."""

from collections import deque
from typing import NamedTuple

# Data that arrives within this time, in seconds, is recorded with the arrival time of the first piece. This
# bounds the memory for a client that sends many small pieces.
MERGE_INTERVAL_S = 0.01


class _Segment(NamedTuple):
    end: int  # offset behind its last byte, from the start of the connection's data
    arrived_at: float  # clock time in seconds


class ByteArrivals:
    """Arrival times of the bytes of one connection that are not part of a complete request yet."""

    __slots__ = ("_segments", "_total_bytes", "_unread_segment")

    def __init__(self) -> None:
        self._total_bytes = 0
        self._segments: deque[_Segment] = deque()
        self._unread_segment: _Segment | None = None  # bytes that have arrived and are not read yet

    def add_unread(self, size: int, arrived_at: float) -> None:
        """Record that `size` further bytes have arrived at a time in seconds, and will be read later.

        Otherwise they would count as arriving when they are read, which may be many event loop turns later if
        each read returns few bytes.
        Test: `test_bytes_that_are_read_late_count_from_when_they_were_in_the_system`.
        """
        end = self._total_bytes + size
        if size and (self._unread_segment is None or end > self._unread_segment.end):
            self._unread_segment = _Segment(end, arrived_at)

    def add(self, size: int, now: float) -> None:
        """Record that `size` bytes arrived at `now`, in seconds, unless `add_unread` has counted them."""
        self._total_bytes += size
        unread = self._unread_segment
        if unread is not None and self._total_bytes <= unread.end:
            now = unread.arrived_at
        if self._segments and now - self._segments[-1].arrived_at < MERGE_INTERVAL_S:
            now = self._segments.pop().arrived_at
        self._segments.append(_Segment(self._total_bytes, now))

    def consume(self, unread: int) -> float:
        """Consume all bytes except the last `unread` ones; return when the last consumed byte arrived."""
        position = self._total_bytes - unread
        while len(self._segments) > 1 and self._segments[0].end < position:
            self._segments.popleft()
        return self._segments[0].arrived_at
