"""The body of a message while it is being received."""


class BodyBuffer:
    """The parts of a body that were received so far, up to a limit.

    The parts are joined as they arrive. A list of them would take some 50 bytes of memory for a part of one
    byte, and a peer chooses the size of the parts.

    Attributes:
        max_bytes: Limit for the size of the body.
        is_too_large: Whether more than `max_bytes` were received; the body is discarded then.
    """

    __slots__ = ("_data", "is_too_large", "max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.is_too_large = False
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def append(self, part: bytes) -> None:
        """Add a part, unless the body is or becomes too large."""
        if self.is_too_large or len(self._data) + len(part) > self.max_bytes:
            self.is_too_large = True
            self.clear()
        else:
            self._data += part

    def clear(self) -> None:
        """Free the memory of the body."""
        self._data = bytearray()

    def __bytes__(self) -> bytes:
        return bytes(self._data)
