"""The server side of an HTTP/2 connection."""

from typing import Protocol

from h2.events import Event, RequestReceived
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from myrtlehub.clock import Clock
from myrtlehub.rpc.frame_reader import MAX_STREAM_ID
from myrtlehub.rpc.h2_connection import decode_headers
from myrtlehub.rpc.http2_protocol import Http2Protocol
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport_limits import TransportLimits

DRAIN_PING_DATA = b"draining"  # a PING frame carries eight bytes
DRAIN_PING_TIMEOUT = 2.0  # seconds; then the final GOAWAY is sent without the acknowledgement


class ServerConnectionOwner(Protocol):
    """The interface that a server connection requires of its server."""

    clock: Clock
    limits: TransportLimits

    def connection_made(self, connection: "ServerProtocol", /) -> None:
        """Called when the connection was opened, before any call."""

    def connection_closed(self, connection: "ServerProtocol", /) -> None:
        """Called when the connection was lost, before its calls are ended."""

    def connection_lost(self) -> None:
        """Called after the connection was lost and its calls were ended."""

    def open_call(self, stream: Stream, headers: Headers, peer: str, /) -> None:
        """Called with the headers of each request."""


class ServerProtocol(Http2Protocol):
    """The connection of one client; `peer` is its address and port, `host` the address alone."""

    host: str
    peer: str

    def __init__(self, owner: ServerConnectionOwner) -> None:
        super().__init__(owner.clock, owner.limits)
        self._owner = owner
        self._last_stream_id = 0  # highest id of the streams opened by the client
        self._is_closing = False  # the final GOAWAY was sent

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the server and send the local SETTINGS."""
        address = self.transport.getPeer()
        self.host = getattr(address, "host", str(address))  # Unix sockets have no host
        self.peer = f"{self.host}:{getattr(address, 'port', '')}"
        self._owner.connection_made(self)
        super().connectionMade()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End all calls and notify the server."""
        self._owner.connection_closed(self)
        super().connectionLost(reason)
        self._owner.connection_lost()

    def drain(self) -> None:
        """Refuse new streams, and close the connection after the last open stream.

        Two GOAWAYs are sent (RFC 9113 section 6.8): the first has the maximum stream id, and the final one
        follows the acknowledgement of a PING. Streams that the client opened before it received the first one
        are still processed.
        """
        if self.is_draining or self.is_lost:
            return
        self.is_draining = True
        self.h2_connection.queue_goaway(MAX_STREAM_ID)
        self.h2_connection.ping(DRAIN_PING_DATA)
        self.clock.callLater(DRAIN_PING_TIMEOUT, self.ping_answered, DRAIN_PING_DATA)
        self.writer.schedule_flush()

    def ping_answered(self, data: bytes) -> None:
        """Send the final GOAWAY if this acknowledges the PING of a drain."""
        if data == DRAIN_PING_DATA and self.is_draining and not self._is_closing and not self.is_lost:
            self._is_closing = True
            self.h2_connection.queue_goaway(self._last_stream_id)
            self.writer.schedule_flush()
            self.stream_closed()

    def stream_closed(self) -> None:
        """Close a draining connection after its last stream."""
        if self._is_closing:
            self._close_if_drained()

    def headers_received(self, event: Event) -> None:
        """Open a call for a request; refuse its stream after the final GOAWAY or above the stream limit."""
        if not isinstance(event, RequestReceived):
            return
        stream_id = event.stream_id
        self._last_stream_id = max(self._last_stream_id, stream_id)
        if self._is_closing or len(self.streams) >= self.limits.max_streams:
            self.streams.reject(stream_id)
            return
        self._owner.open_call(self.streams.open(stream_id), decode_headers(event.headers), self.peer)
