"""A request whose body is still being received, and the checks of its head and size."""

from http import HTTPStatus

import h11

from myrtlehub.http1.bounds import MAX_BODY_BYTES, MAX_HEAD_BYTES
from myrtlehub.http1.headers import Header
from myrtlehub.http1.server_request import ServerRequest

MAX_LENGTH_DIGITS = 15  # of a Content-Length; a number with more digits exceeds MAX_BODY_BYTES


def head_error(head: h11.Request) -> HTTPStatus | None:
    """Return the status for rejecting a request head, or None if the head is valid."""
    if len(head.target) + sum(len(name) + len(value) for name, value in head.headers) > MAX_HEAD_BYTES:
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
    """The head of a request and the part of its body received so far."""

    __slots__ = ("_body_bytes", "_head", "_parts")

    def __init__(self, head: h11.Request) -> None:
        self._head = head
        self._parts: list[bytes] = []
        self._body_bytes = 0

    def add(self, data: bytes) -> HTTPStatus | None:
        """Append a part of the body; return the status for rejecting the request if the body is too large."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self._parts.append(bytes(data))
        return None

    def complete(self, received_at: float) -> ServerRequest:
        """Return the complete request.

        Args:
            received_at: Clock time in seconds at which its last byte arrived.
        """
        head = self._head
        headers = [Header(name, value) for name, value in head.headers]
        return ServerRequest(
            bytes(head.method), bytes(head.target), headers, b"".join(self._parts), received_at
        )

    def discard_body(self) -> None:
        """Free the body received so far, because the request will not be completed."""
        self._parts = []
