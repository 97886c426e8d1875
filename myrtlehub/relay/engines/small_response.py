"""Handler for the short responses to releases and probes."""

from collections.abc import Callable

from myrtlehub.http1.body_buffer import BodyBuffer
from myrtlehub.http1.bounds import MAX_SMALL_RESPONSE_BYTES
from myrtlehub.http1.client_request import RequestFailure, ResponseHandler
from myrtlehub.http1.headers import Headers

SUCCESS_STATUS_CLASS = 2  # status codes 200 to 299


class SmallResponseHandler(ResponseHandler):
    """Collects a short response.

    Args:
        on_end: Called once with whether the request succeeded, and the body of the response.
    """

    def __init__(self, on_end: Callable[[bool, bytes], None]) -> None:
        self.on_end = on_end
        self._body = BodyBuffer(MAX_SMALL_RESPONSE_BYTES)
        self.status = 0

    def on_head(self, status: int, headers: Headers) -> None:
        """Store the status."""
        self.status = status

    def on_data(self, data: bytes) -> None:
        """Append to the body; a body over MAX_SMALL_RESPONSE_BYTES counts as empty."""
        self._body.append(data)

    def on_complete(self) -> None:
        """Report success if the status is 2xx."""
        self.on_end(self.status // 100 == SUCCESS_STATUS_CLASS, bytes(self._body))

    def on_failure(self, failure: RequestFailure) -> None:
        """Report a failure."""
        self.on_end(False, b"")
