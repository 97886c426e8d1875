"""Messages between the users of the client and its connections: requests, responses and failures."""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.http1.headers import Headers


class ClientRequest(NamedTuple):
    """Request to a peer; the connection adds Host and Content-Length to `headers`."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class RequestFailure(StrEnum):
    """How far a request had got when it failed, which says whether the peer may have run it."""

    NOT_SENT = "not_sent"  # abandoned, or no local resource for a connection: no byte was sent
    SEND_FAILED = "send_failed"  # peer unreachable, or connection lost before the last byte: it has not run
    RESPONSE_FAILED = "response_failed"  # no complete response to a request sent in full: it may have run


class ResponseHandler:
    """Receives one response; either `on_complete` or `on_failure` is called last, and only once."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Receive the status and the headers, with names in lower case."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_complete(self) -> None:
        """Handle the end of a response that is complete by its own framing."""

    def on_failure(self, failure: RequestFailure) -> None:
        """Handle the end of a request that gets no complete response."""
