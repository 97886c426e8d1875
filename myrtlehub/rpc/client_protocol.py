"""The client's side of a connection."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar

from h2.events import Event, ResponseReceived, TrailersReceived
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from myrtlehub.rpc.http2_protocol import Http2Protocol
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport import PeerAddress

if TYPE_CHECKING:
    from myrtlehub.rpc.channel import Channel


class ClientProtocol(Http2Protocol):
    """A connection of a channel."""

    is_client = True

    def __init__(self, channel: "Channel") -> None:
        super().__init__(channel.clock, channel.limits)
        self.goaway_reason = ""
        self._channel = channel

    @property
    def loss_reason(self) -> str:
        """Why the connection was lost."""
        return self.goaway_reason or self.close_reason or "closed by peer"

    def settings_changed(self, is_first: bool) -> None:
        """Let the channel open streams."""
        self._channel.settings_received(self, is_first)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """End all streams, and tell the channel."""
        super().connectionLost(reason)
        self._channel.connection_lost(self)

    def goaway_received(self, error: int, last_stream_id: int, reason: str) -> None:
        """End the calls that the peer did not process; the others may finish."""
        self.is_draining = True
        if error:
            self.goaway_reason = f"GOAWAY {error} {reason}"
        self._channel.connection_draining(self)
        for stream in sorted(self.streams.values(), key=lambda stream: stream.id):
            if stream.id > last_stream_id:
                stream.on_refused()
        self.stream_closed()

    def stream_closed(self) -> None:
        """Open streams for calls that wait; close a draining connection after its last stream."""
        if self.is_draining and not self.streams and not self.is_lost:
            self.writer.flush()
            self.transport.loseConnection()
        self._channel.start_calls(self)

    def _on_response(self, event: ResponseReceived | TrailersReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is None or stream.closed:
            return
        is_end = event.stream_ended is not None
        if stream.has_delayed_data:
            _delay_headers(stream, event.headers, is_end)
        else:
            stream.on_headers(event.headers, is_end)

    HANDLERS: ClassVar[dict[type[Event], Callable[[Any, Any], None]]] = {
        **Http2Protocol.HANDLERS,
        ResponseReceived: _on_response,
        TrailersReceived: _on_response,
    }


def _delay_headers(stream: Stream, headers: Headers, is_end: bool) -> None:
    """Deliver trailers at the end of the stream: they must not overtake data that is delayed."""
    on_end = stream.on_end

    def deliver() -> None:
        stream.on_headers(headers, is_end)
        on_end()

    stream.on_end = deliver


class ClientProtocolFactory(Factory):
    """Makes the protocol of a channel's next connection."""

    noisy = False

    def __init__(self, channel: "Channel") -> None:
        self._channel = channel

    def buildProtocol(self, addr: PeerAddress) -> ClientProtocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return ClientProtocol(self._channel)
