"""Complete request of a client."""

from typing import NamedTuple

from myrtlehub.http1.headers import Headers


class ServerRequest(NamedTuple):
    """Complete request; header names are in lower case.

    Attributes:
        received_at: Clock time in seconds of the arrival of its last byte; it may be read much later.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
