"""What the framing of one message has announced and begun. No I/O.

A parser reports the content of a chunk as it comes, but neither the size that its size line claims nor a size
line that is not complete. Both are read here from the data that the parser has not consumed.
"""

import re
from collections.abc import Mapping

from myrtlehub.http1.framing import Framing, framing_of

# The size of a chunk, after the line end of the chunk before it or the rest of that line end.
_CHUNK_SIZE = re.compile(rb"\r?\n?([0-9A-Fa-f]+)")
_LINE_END = b"\n"
_HEXADECIMAL = 16


class FramingProgress:
    """What the framing of one message has announced and begun.

    Attributes:
        framing: What shows the end of the content; None before the head.
        announced_bytes: Bytes that are still to come of the present chunk, or of the length; 0 if the content
            ends with the connection. While a size line is not complete, what it claims so far.
        incomplete_bytes: Bytes received of an element that is not complete: a head, a size line, the line end
            after a chunk, or a trailer.
        expects_size_line: Whether the next data belongs to a size line, or to the line end before it.
    """

    __slots__ = ("announced_bytes", "expects_size_line", "framing", "incomplete_bytes")

    def __init__(self) -> None:
        self.framing: Framing | None = None
        self.announced_bytes = 0
        self.incomplete_bytes = 0
        self.expects_size_line = False

    def begin(self, fields: Mapping[bytes, bytes]) -> None:
        """Begin the content; the names of the header fields are in lower case."""
        self.framing = framing_of(fields)
        self.expects_size_line = self.framing is Framing.CHUNKED
        self.announced_bytes = int(fields[b"content-length"]) if self.framing is Framing.LENGTH else 0

    def read_size_line(self, unparsed: bytes) -> None:
        """Read a size line, complete or not, from the start of the data that the parser has not consumed."""
        size = _CHUNK_SIZE.match(unparsed)
        if size is None:
            return
        self.announced_bytes = int(size[1], _HEXADECIMAL)
        if _LINE_END in unparsed[size.end() :]:
            self.expects_size_line = False  # the content of the chunk follows, or a trailer

    def content_received(self, size: int, is_chunk_end: bool) -> None:
        """Record content.

        Args:
            size: Number of bytes.
            is_chunk_end: Whether a chunk ends with it.
        """
        if self.framing is not Framing.CONNECTION:
            self.announced_bytes -= size
        self.expects_size_line = is_chunk_end
