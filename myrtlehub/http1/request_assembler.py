"""Assembles a request from its parts, and finds what a request may not have."""

from http import HTTPStatus

import h11

from myrtlehub.http1.bounds import MAX_BODY_BYTES, MAX_HEAD_BYTES
from myrtlehub.http1.headers import Header
from myrtlehub.http1.server_exchange import ServerRequest

MAX_LENGTH_DIGITS = 15  # of a Content-Length: beyond any body


def head_error(head: h11.Request) -> HTTPStatus | None:
    """Return the status with which to reject a head, or None if it is valid."""
    if len(head.target) + sum(len(name) + len(value) for name, value in head.headers) > MAX_HEAD_BYTES:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    names = [name for name, _ in head.headers]
    lengths = names.count(b"content-length")
    if lengths > 1 or (lengths and b"transfer-encoding" in names):
        return HTTPStatus.BAD_REQUEST  # where it ends could be read in two ways
    if lengths:
        length = dict(head.headers)[b"content-length"]
        if len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return None


class RequestAssembler:
    """Collects the head and the body of one request at a time."""

    __slots__ = ("_body_bytes", "_head", "_parts")

    def __init__(self) -> None:
        self._head: h11.Request | None = None
        self._parts: list[bytes] = []
        self._body_bytes = 0

    @property
    def started(self) -> bool:
        """Whether a head has come whose request is not complete yet."""
        return self._head is not None

    def start(self, head: h11.Request) -> HTTPStatus | None:
        """Begin with a head; returns the status with which to reject it, if any."""
        self._head = head
        self._parts = []
        self._body_bytes = 0
        return head_error(head)

    def add(self, data: bytes) -> HTTPStatus | None:
        """Add a part of the body; returns the status with which to reject it, if any."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self._parts.append(bytes(data))
        return None

    def finish(self, received_at: float) -> ServerRequest:
        """Return the complete request, whose last byte came then, and be free for the next one."""
        head = self._head
        body = b"".join(self._parts)
        self._head = None
        self._parts = []
        return ServerRequest(
            bytes(head.method),
            bytes(head.target),
            [Header(name, value) for name, value in head.headers],
            body,
            received_at,
        )

    def discard_body(self) -> None:
        """Free what has come of a body: its request is not read any further."""
        self._parts = []
