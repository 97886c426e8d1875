"""A complete request of a client."""

from typing import NamedTuple

from myrtlehub.http1.headers import Headers


class ServerRequest(NamedTuple):
    """A complete request; header names are in lower case.

    Attributes:
        received_at: Clock time in seconds at which its last byte arrived. A pipelined request may be handled
            much later, because it waits for the end of the requests before it.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
