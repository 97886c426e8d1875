"""Received data that is passed to the parser in pieces of limited cost."""

import re

# Line ends in a piece. The cost of parsing grows with the lines of heads and trailers, and with the chunks of
# bodies, each of which has two line ends; a piece of this size costs well under a millisecond.
MAX_PIECE_LINES = 64
_LONGEST_PIECE = re.compile(rb"(?:[^\n]*+\n){%d}" % MAX_PIECE_LINES)


class InputBuffer:
    """Received data that the parser has not got yet."""

    __slots__ = ("_data",)

    def __init__(self) -> None:
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: bytes) -> None:
        """Add received data."""
        self._data += data

    def take_piece(self) -> bytes:
        """Remove and return the next piece, which has at most MAX_PIECE_LINES line ends."""
        longest = _LONGEST_PIECE.match(self._data)
        if longest is None:
            piece = bytes(self._data)
            self.clear()
            return piece
        piece = longest[0]
        del longest  # it exports the buffer, which could not be changed in size
        del self._data[: len(piece)]
        return piece

    def clear(self) -> None:
        """Discard all data."""
        self._data = bytearray()
