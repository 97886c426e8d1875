"""Requests to peers, handlers of their responses, and kinds of failures."""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.http1.bounds import MAX_SMALL_RESPONSE_BYTES
from myrtlehub.http1.headers import Headers


class ClientRequest(NamedTuple):
    """A request to a peer; its connection adds Host and Content-Length to the headers."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class RequestFailure(StrEnum):
    """How a request failed, which determines whether the peer may have executed it."""

    NOT_SENT = "not_sent"  # no byte sent: abandoned by the sender, or no local resource for a connection
    SEND_FAILED = "send_failed"  # peer unreachable, or connection lost before the last byte: not executed
    # Sent completely, so that it may have been executed, but without a complete response:
    RESPONSE_FAILED = "response_failed"  # the connection was lost
    MALFORMED_RESPONSE = "malformed_response"  # the response is not HTTP, or an element is over its limit
    OVERSIZED_RESPONSE = "oversized_response"  # it announces more content than the handler accepts

    @property
    def may_have_run(self) -> bool:
        """Whether the peer may have executed the request."""
        return self not in (RequestFailure.NOT_SENT, RequestFailure.SEND_FAILED)


class ResponseHandler:
    """Handler of one response.

    The last call is `on_complete` or `on_failure`; there is none of them if the request is cancelled.

    Attributes:
        max_announced_bytes: Limit for the content that a chunk or the length of the response announces. A
            response that announces more fails at once, as the content may go on for ever.
    """

    max_announced_bytes = MAX_SMALL_RESPONSE_BYTES

    def on_head(self, status: int, headers: Headers) -> None:
        """Handle the status and the headers, whose names are in lower case."""

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_complete(self) -> None:
        """Handle the end of a complete response."""

    def on_failure(self, failure: RequestFailure) -> None:
        """Handle a failure before the response was complete."""
