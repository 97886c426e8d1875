"""Types that the client's users and its connections exchange: requests, response handlers and failures."""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.http1.headers import Headers


class ClientRequest(NamedTuple):
    """A request to a peer; the connection adds Host and Content-Length to `headers`."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class RequestFailure(StrEnum):
    """How far a failed request had progressed, which determines whether the peer may have executed it."""

    NOT_SENT = "not_sent"  # no byte sent: request abandoned, or no local resource for a connection
    SEND_FAILED = "send_failed"  # peer unreachable, or connection lost before the last byte: not executed
    RESPONSE_FAILED = "response_failed"  # sent in full, but no complete response: may have been executed


class ResponseHandler:
    """Receives one response. The last call is `on_complete` or `on_failure`, unless it is cancelled."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Receive the status and the headers, with names in lower case."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_complete(self) -> None:
        """Handle the end of a complete response."""

    def on_failure(self, failure: RequestFailure) -> None:
        """Handle the failure of a request without a complete response."""
