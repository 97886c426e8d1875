"""Requests to peers, handlers of their responses, and kinds of failures."""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.http1.headers import Headers


class ClientRequest(NamedTuple):
    """A request to a peer; its connection adds Host and Content-Length to the headers."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class RequestFailure(StrEnum):
    """Progress of a failed request, which determines whether the peer may have executed it."""

    NOT_SENT = "not_sent"  # no byte sent: abandoned by the sender, or no local resource for a connection
    SEND_FAILED = "send_failed"  # peer unreachable, or connection lost before the last byte: not executed
    RESPONSE_FAILED = "response_failed"  # sent completely, no complete response: may have been executed


class ResponseHandler:
    """Handler of one response.

    The last call is `on_complete` or `on_failure`; there is none of them if the request is cancelled.
    """

    def on_head(self, status: int, headers: Headers) -> None:
        """Handle the status and the headers, whose names are in lower case."""

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_complete(self) -> None:
        """Handle the end of a complete response."""

    def on_failure(self, failure: RequestFailure) -> None:
        """Handle a failure before the response was complete."""
