"""One request of a client and the response to it, as whoever responds sees them."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from myrtlehub.http1.headers import Header, Headers


class ServerRequest(NamedTuple):
    """A complete request; header names are in lower case.

    Attributes:
        received_at: When its last byte came, by the connection's clock; it may have waited since.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float


class ResponseWriter(Protocol):
    """The connection of a request, as its exchange writes to it."""

    def respond(self, status: int, headers: Headers, body: bytes, close: bool) -> None:
        """Write a complete response."""

    def start_stream(self, exchange: "ServerExchange", status: int, headers: Headers) -> None:
        """Write the head of a streamed response."""

    def write(self, data: bytes) -> None:
        """Write a part of a streamed response."""

    def finish(self) -> None:
        """End the response."""

    def abort_response(self) -> None:
        """Close the connection without the end of the response."""

    def set_stalled(self, stalled: bool) -> None:
        """Note that the client takes nothing of its stream, or takes it again."""


def _ignore() -> None:
    """Nobody listens."""


class ServerExchange:
    """One request and its response. Whoever responds sets `on_lost`, `on_pause` and `on_resume`."""

    __slots__ = ("_connection", "finished", "on_lost", "on_pause", "on_resume", "request", "started")

    def __init__(self, connection: ResponseWriter, request: ServerRequest) -> None:
        self._connection = connection
        self.request = request
        self.started = False
        self.finished = False
        self.clear_callbacks()

    def clear_callbacks(self) -> None:
        """Call nobody any more, and refer to nobody."""
        self.on_lost: Callable[[], None] = _ignore
        self.on_pause: Callable[[], None] = _ignore
        self.on_resume: Callable[[], None] = _ignore

    def respond(
        self,
        status: int,
        headers: Iterable[Header] = (),
        body: bytes = b"",
        close: bool = False,
    ) -> None:
        """Send a complete response."""
        if self.finished or self.started:
            return
        self.started = True
        self.finished = True
        all_headers = [*headers, Header(b"Content-Length", b"%d" % len(body))]
        self._connection.respond(status, all_headers, body, close)

    def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of a streamed response."""
        self.started = True
        self._connection.start_stream(self, status, [*headers, Header(b"Transfer-Encoding", b"chunked")])

    def write(self, data: bytes) -> None:
        """Send a part of the stream."""
        if not self.finished:
            self._connection.write(data)

    def finish(self) -> None:
        """Send the last chunk."""
        if not self.finished:
            self.finished = True
            self._connection.finish()

    def abort(self) -> None:
        """End the connection without a last chunk: the response is not complete."""
        if not self.finished:
            self.finished = True
            self._connection.abort_response()

    # As producer of the transport: the client's connection asks to wait.

    def pauseProducing(self) -> None:  # noqa: N802
        """The client takes nothing at present."""
        self._connection.set_stalled(True)
        self.on_pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """The client takes data again."""
        self._connection.set_stalled(False)
        self.on_resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `on_lost` is called as well."""
