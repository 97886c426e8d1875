"""The server's side of a connection."""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar

from h2.errors import ErrorCodes
from h2.events import Event, RequestReceived
from twisted.python.failure import Failure

from myrtlehub.rpc.frame_reader import MAX_STREAM_ID
from myrtlehub.rpc.http2_protocol import Http2Protocol
from myrtlehub.rpc.stream import Stream

if TYPE_CHECKING:
    from myrtlehub.rpc.server import Server

DRAIN_PING = b"draining"  # eight bytes, as any ping has
DRAIN_PING_TIMEOUT = 2.0  # seconds


class ServerProtocol(Http2Protocol):
    """One client's connection."""

    def __init__(self, server: "Server") -> None:
        super().__init__(server.clock, server.limits)
        self.host = ""  # address of the client,
        self.peer = ""  # with the port
        self._server = server
        self._last_stream_id = 0
        self._is_closing = False  # the last GOAWAY is sent

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection, and announce our settings."""
        peer = self.transport.getPeer()
        self.host = getattr(peer, "host", str(peer))
        self.peer = f"{self.host}:{getattr(peer, 'port', '')}"
        self._server.connections.add(self)
        self._server.connections_by_host[self.host] += 1
        super().connectionMade()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Forget the connection, and end all streams."""
        if self in self._server.connections:
            self._server.connections.discard(self)
            # Subtraction drops the host with its last connection.
            self._server.connections_by_host -= Counter((self.host,))
        super().connectionLost(reason)
        self._server.connection_lost()

    def drain(self) -> None:
        """Take no new stream, and close once those that run are over.

        Two GOAWAYs with a ping between (RFC 9113 section 6.8): a stream that the client opened before it saw
        the first one is served.
        """
        if self.is_draining or self.is_lost:
            return
        self.is_draining = True
        self.conn.go_away(MAX_STREAM_ID)
        self.conn.ping(DRAIN_PING)
        self.clock.callLater(DRAIN_PING_TIMEOUT, self.ping_answered, DRAIN_PING)
        self.writer.schedule_flush()

    def ping_answered(self, data: bytes) -> None:
        """Send the second GOAWAY."""
        if data == DRAIN_PING and self.is_draining and not self._is_closing and not self.is_lost:
            self._is_closing = True
            self.conn.go_away(self._last_stream_id)
            self.writer.schedule_flush()
            self.stream_closed()

    def stream_closed(self) -> None:
        """Close a drained connection after its last stream."""
        if self._is_closing and not self.streams and not self.is_lost:
            self.writer.flush()
            self.transport.loseConnection()

    def _on_request(self, event: RequestReceived) -> None:
        stream_id = event.stream_id
        self._last_stream_id = max(self._last_stream_id, stream_id)
        if self._is_closing or len(self.streams) >= self.limits.max_streams:
            self.conn.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
            self.conn.forget_stream(stream_id)
            return
        stream = self.streams[stream_id] = Stream(self, stream_id)
        self._server.open_call(stream, event.headers)

    HANDLERS: ClassVar[dict[type[Event], Callable[[Any, Any], None]]] = {
        **Http2Protocol.HANDLERS,
        RequestReceived: _on_request,
    }
