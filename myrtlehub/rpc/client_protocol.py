"""The client side of an HTTP/2 connection."""

from typing import ClassVar, Protocol

from h2.events import Event, ResponseReceived, TrailersReceived
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from myrtlehub.clock import Clock
from myrtlehub.rpc.h2_connection import decode_headers
from myrtlehub.rpc.http2_protocol import Http2Protocol
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport_limits import TransportLimits


class ClientConnectionOwner(Protocol):
    """The interface that a client connection requires of its channel."""

    clock: Clock
    limits: TransportLimits

    def settings_received(self, protocol: "ClientProtocol", is_first: bool, /) -> None:
        """Called after each SETTINGS frame of the peer; the first one establishes the connection."""

    def connection_draining(self, protocol: "ClientProtocol", /) -> None:
        """Called after a GOAWAY: new calls need another connection."""

    def connection_lost(self, protocol: "ClientProtocol", /) -> None:
        """Called after the connection was lost and its streams were terminated."""

    def start_calls(self, protocol: "ClientProtocol", /) -> None:
        """Called after a stream was closed, when a queued call may open a new one."""


class ClientProtocol(Http2Protocol):
    """The connection of a channel to its peer."""

    is_client: ClassVar[bool] = True

    def __init__(self, owner: ClientConnectionOwner) -> None:
        super().__init__(owner.clock, owner.limits)
        self.goaway_reason: str | None = None  # error code and debug data of a received GOAWAY
        self._owner = owner

    @property
    def loss_reason(self) -> str:
        """The reason for the loss of the connection."""
        return self.goaway_reason or self.close_reason or "closed by the peer"

    def open_stream(self) -> Stream:
        """Open a stream with the next available id."""
        return self.streams.open(self.h2_connection.get_next_available_stream_id())

    def settings_changed(self, is_first: bool) -> None:
        """Notify the channel, which may then open streams."""
        self._owner.settings_received(self, is_first)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Terminate all streams and notify the channel."""
        super().connectionLost(reason)
        self._owner.connection_lost(self)

    def goaway_received(self, error: int, last_stream_id: int, reason: str) -> None:
        """End the calls that the peer will not process; streams with lower ids may complete."""
        self.is_draining = True
        if error:
            self.goaway_reason = f"GOAWAY {error} {reason}"
        self._owner.connection_draining(self)
        for stream in sorted(self.streams.by_id.values(), key=lambda stream: stream.id):
            if stream.id > last_stream_id:
                stream.on_unprocessed()
        self.stream_closed()

    def stream_closed(self) -> None:
        """Close a draining connection after its last stream; notify the channel of the free stream."""
        if self.is_draining:
            self._close_if_drained()
        self._owner.start_calls(self)

    def headers_received(self, event: Event) -> None:
        """Pass the headers or trailers of a response to their stream."""
        if not isinstance(event, ResponseReceived | TrailersReceived):
            return
        stream = self.streams.find_open(event.stream_id)
        if stream is None:
            return
        headers = decode_headers(event.headers)
        is_end = event.stream_ended is not None
        if stream.has_delayed_data:
            _delay_headers(stream, headers, is_end)
        else:
            stream.on_headers(headers, is_end)


def _delay_headers(stream: Stream, headers: Headers, is_end: bool) -> None:
    """Postpone trailers until the end of the stream, so that they do not overtake delayed data."""
    on_end = stream.on_end

    def deliver() -> None:
        stream.on_headers(headers, is_end)
        on_end()

    stream.on_end = deliver


class ClientProtocolFactory(Factory):
    """Creates the protocols of a channel's connections."""

    noisy = False

    def __init__(self, owner: ClientConnectionOwner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: IAddress | None) -> ClientProtocol:  # noqa: N802
        """Return a protocol for a new connection."""
        return ClientProtocol(self._owner)
