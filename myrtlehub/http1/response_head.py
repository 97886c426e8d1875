"""Heads of responses to clients."""

import h11

from myrtlehub.http1.headers import Header, Headers

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def response_head(status: int, headers: Headers, must_close: bool) -> h11.Response:
    """Return the head of a response.

    Args:
        status: Status code.
        headers: Header fields, without a Connection field.
        must_close: Whether to add `Connection: close`.
    """
    fields: list[tuple[bytes, bytes]] = [*headers]
    if must_close:
        fields.append(Header(b"Connection", b"close"))
    return h11.Response(status_code=status, headers=fields, reason=REASON_PHRASES.get(status, b""))
