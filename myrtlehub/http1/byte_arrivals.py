"""When the bytes of a connection came: a request counts from its last byte, however late it is read."""

from collections import deque
from typing import NamedTuple

MERGED_WITHIN_S = 0.01  # what comes that soon after other bytes counts as having come with them


class _Piece(NamedTuple):
    end: int  # position behind its last byte, in all that came
    at: float


class ByteArrivals:
    """Positions of bytes in what came, and when each came."""

    __slots__ = ("_pieces", "_total")

    def __init__(self) -> None:
        self._total = 0
        self._pieces: deque[_Piece] = deque()

    def add(self, size: int, now: float) -> None:
        """Take note that so many bytes came."""
        self._total += size
        if self._pieces and now - self._pieces[-1].at < MERGED_WITHIN_S:
            now = self._pieces.pop().at
        self._pieces.append(_Piece(self._total, now))

    def consume(self, unread: int) -> float:
        """Return when the last byte came before the last `unread` ones; those before it are forgotten."""
        position = self._total - unread
        while len(self._pieces) > 1 and self._pieces[0].end < position:
            self._pieces.popleft()
        return self._pieces[0].at
