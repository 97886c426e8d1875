"""Received data that is passed to the parser in pieces of limited cost."""

# Line ends in a piece. The cost of parsing grows with the lines of heads and trailers, and with the chunks of
# bodies, each of which has two line ends; a piece of this size costs well under a millisecond.
MAX_PIECE_LINES = 64


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
        end = 0
        for _ in range(MAX_PIECE_LINES):
            end = self._data.find(b"\n", end) + 1
            if not end:
                end = len(self._data)
                break
        piece = bytes(self._data[:end])
        del self._data[:end]
        return piece

    def clear(self) -> None:
        """Discard all data."""
        self._data = bytearray()
