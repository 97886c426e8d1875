"""A request from a client and its response, for the code that handles requests."""

from collections.abc import Callable, Iterable
from typing import Protocol

from myrtlehub.http1.headers import Header, Headers
from myrtlehub.http1.server_request import ServerRequest


class ResponseWriter(Protocol):
    """The part of a client connection that an exchange uses."""

    def respond(self, status: int, headers: Headers, body: bytes, must_close: bool) -> None:
        """Write a complete response."""

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a streamed response."""

    def write(self, data: bytes) -> None:
        """Write a part of a streamed response."""

    def finish(self) -> None:
        """End the response."""

    def abort_response(self) -> None:
        """Close the connection without the end of the response."""

    def is_client_certain(self) -> bool:
        """Return whether nothing of the client is unread that may end its connection."""


def _do_nothing() -> None:
    """Do nothing: no callback is set."""


class ServerExchange:
    """A request and its response.

    Attributes:
        request: The request.
        is_started: Whether the head of the response has been written.
        is_finished: Whether the response is complete or aborted, or the connection is lost.
        on_lost: Called when the connection is lost before the response is finished.
        on_pause: Called when the client has stopped reading the stream.
        on_resume: Called when the client reads the stream again.
    """

    __slots__ = ("_connection", "is_finished", "is_started", "on_lost", "on_pause", "on_resume", "request")

    def __init__(self, connection: ResponseWriter, request: ServerRequest) -> None:
        self._connection = connection
        self.request = request
        self.is_started = False
        self.is_finished = False
        self.clear_callbacks()

    def is_client_certain(self) -> bool:
        """Return whether nothing of the client is unread that may end its connection."""
        return self._connection.is_client_certain()

    def clear_callbacks(self) -> None:
        """Remove all callbacks, so that the objects they refer to can be freed."""
        self.on_lost: Callable[[], None] = _do_nothing
        self.on_pause: Callable[[], None] = _do_nothing
        self.on_resume: Callable[[], None] = _do_nothing

    def respond(
        self, status: int, headers: Iterable[Header] = (), body: bytes = b"", close: bool = False
    ) -> None:
        """Send a complete response; do nothing if a response was started already.

        Args:
            status: Status code.
            headers: Header fields, without Connection and Content-Length.
            body: Body of the response.
            close: Whether to close the connection after the response.
        """
        if self.is_finished or self.is_started:
            return
        self.is_started = True
        self.is_finished = True
        all_headers = [*headers, Header(b"Content-Length", b"%d" % len(body))]
        self._connection.respond(status, all_headers, body, close)

    def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of a streamed response."""
        self.is_started = True
        all_headers = [*headers, Header(b"Transfer-Encoding", b"chunked")]
        self._connection.start_stream(status, all_headers)

    def write(self, data: bytes) -> None:
        """Send a part of the stream."""
        if not self.is_finished:
            self._connection.write(data)

    def finish(self) -> None:
        """Send the last chunk."""
        if not self.is_finished:
            self.is_finished = True
            self._connection.finish()

    def abort(self) -> None:
        """Close the connection without the last chunk, which marks the response as incomplete."""
        if not self.is_finished:
            self.is_finished = True
            self._connection.abort_response()
