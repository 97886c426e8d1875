"""Arrival times of received bytes: the deadline of a request counts from the arrival of its last byte."""

from collections import deque
from typing import NamedTuple

# Data that arrives this soon after other data counts as part of it, so that small pieces need no memory each.
MERGE_INTERVAL_S = 0.01


class _Segment(NamedTuple):
    end: int  # position behind its last byte, counted from the first byte of the connection
    arrived_at: float  # clock time in seconds


class ByteArrivals:
    """Arrival times of the bytes of one connection that are not consumed yet."""

    __slots__ = ("_segments", "_total_bytes")

    def __init__(self) -> None:
        self._total_bytes = 0
        self._segments: deque[_Segment] = deque()

    def add(self, size: int, now: float) -> None:
        """Record that `size` bytes arrived at `now`, in seconds."""
        self._total_bytes += size
        if self._segments and now - self._segments[-1].arrived_at < MERGE_INTERVAL_S:
            now = self._segments.pop().arrived_at
        self._segments.append(_Segment(self._total_bytes, now))

    def consume(self, unread: int) -> float:
        """Consume all bytes but the last `unread`; return the arrival time of the last consumed byte."""
        position = self._total_bytes - unread
        while len(self._segments) > 1 and self._segments[0].end < position:
            self._segments.popleft()
        return self._segments[0].arrived_at
