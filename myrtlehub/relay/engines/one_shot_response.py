"""The response to a small request: a release or a probe."""

from collections.abc import Callable

from myrtlehub.http1.bounds import MAX_SMALL_RESPONSE_BYTES
from myrtlehub.http1.client_connection import ResponseHandler
from myrtlehub.http1.interfaces import Headers


class OneShotResponse(ResponseHandler):
    """Collects a small response; `on_end(succeeded, body)` is called once."""

    def __init__(self, on_end: Callable[[bool, bytes], None]) -> None:
        self.on_end = on_end
        self.body = b""
        self.status = 0

    def on_head(self, status: int, headers: Headers) -> None:
        """Keep the status."""
        self.status = status

    def on_data(self, data: bytes) -> None:
        """Keep the body, up to its bound."""
        if len(self.body) < MAX_SMALL_RESPONSE_BYTES:
            self.body += data

    def on_complete(self) -> None:
        """Pass on whether the status is one of success."""
        self.on_end(self.status // 100 == 2, self.body)

    def on_failure(self, request_sent: bool) -> None:
        """Pass on that no response came."""
        self.on_end(False, b"")
