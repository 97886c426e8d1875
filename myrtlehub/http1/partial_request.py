"""A request whose body is still being received, and the checks of its head and size."""

import re
from http import HTTPStatus

import h11

from myrtlehub.http1.body_buffer import BodyBuffer
from myrtlehub.http1.bounds import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS
from myrtlehub.http1.framing_progress import FramingProgress
from myrtlehub.http1.headers import Header
from myrtlehub.http1.server_request import ServerRequest

MAX_LENGTH_DIGITS = 15  # of a Content-Length; a number with more digits exceeds MAX_BODY_BYTES
# The line end of a chunk, and the size line of a next one below 64 KiB that is not the last.
_SMALL_SIZE_LINE = re.compile(rb"\r\n[1-9A-Fa-f][0-9A-Fa-f]{0,3}\r\n")


def head_error(head: h11.Request) -> HTTPStatus | None:
    """Return the status for rejecting a request head, or None if the head is valid."""
    if len(head.target) + sum(len(name) + len(value) for name, value in head.headers) > MAX_HEAD_BYTES:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    if len(head.headers) > MAX_HEADERS:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    names = [name for name, _ in head.headers]
    lengths = names.count(b"content-length")
    if lengths > 1 or (lengths and b"transfer-encoding" in names):
        return HTTPStatus.BAD_REQUEST  # ambiguous framing allows request smuggling (RFC 9112, section 6.3)
    if lengths:
        length = dict(head.headers)[b"content-length"]
        if len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return None


class PartialRequest:
    """The head of a request and the part of its body received so far.

    Attributes:
        framing_progress: What the framing has announced; while it expects a size line, see `read_size_line`.
    """

    __slots__ = ("_body", "_head", "framing_progress")

    def __init__(self, head: h11.Request) -> None:
        self._head = head
        self.framing_progress = FramingProgress()
        self.framing_progress.begin(dict(head.headers))
        self._body = BodyBuffer(MAX_BODY_BYTES)

    @property
    def body_bytes(self) -> int:
        """Number of bytes of the body received so far."""
        return len(self._body)

    def read_size_line(self, unparsed: bytes) -> HTTPStatus | None:
        """Read a size line, complete or not; return the status for rejecting what it announces, if any.

        Args:
            unparsed: The data that the parser has not consumed, which starts with the line.
        """
        # Clients choose how many small chunks they send, so their size lines have to cost little.
        if _SMALL_SIZE_LINE.match(unparsed):
            self.framing_progress.expects_size_line = False
            return None
        self.framing_progress.read_size_line(unparsed)
        is_too_large = self.framing_progress.announced_bytes > MAX_BODY_BYTES
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE if is_too_large else None

    def add(self, data: bytes, is_chunk_end: bool) -> HTTPStatus | None:
        """Append a part of the body; return the status for rejecting the request if the body is too large.

        Args:
            data: The part.
            is_chunk_end: Whether a chunk ends with it.
        """
        self.framing_progress.expects_size_line = is_chunk_end
        self._body.append(data)
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE if self._body.is_too_large else None

    def complete(self, received_at: float) -> ServerRequest:
        """Return the complete request.

        Args:
            received_at: Clock time in seconds at which its last byte arrived.
        """
        head = self._head
        headers = [Header(name, value) for name, value in head.headers]
        return ServerRequest(bytes(head.method), bytes(head.target), headers, bytes(self._body), received_at)

    def discard_body(self) -> None:
        """Free the body received so far, because the request will not be completed."""
        self._body.clear()
