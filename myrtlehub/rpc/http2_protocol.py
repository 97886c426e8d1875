"""One HTTP/2 connection under Twisted: h2 speaks the protocol; windows, limits and streams are ours."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any, ClassVar

from h2.config import H2Configuration
from h2.connection import ConnectionState
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    PingAckReceived,
    PingReceived,
    PriorityUpdated,
    RemoteSettingsChanged,
    StreamEnded,
    StreamReset,
    WindowUpdated,
)
from h2.exceptions import H2Error, StreamClosedError
from h2.settings import SettingCodes, Settings
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from myrtlehub.clock import Clock
from myrtlehub.rpc.frame_rate_limiter import FrameRateLimiter
from myrtlehub.rpc.frame_reader import FrameReader
from myrtlehub.rpc.frame_writer import FrameWriter
from myrtlehub.rpc.h2_connection import GracefulH2Connection
from myrtlehub.rpc.header_encoder import StatelessHeaderEncoder
from myrtlehub.rpc.keepalive import Keepalive
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport import Transport
from myrtlehub.rpc.transport_limits import FrameKind, TransportLimits

INITIAL_CONNECTION_WINDOW = 65535  # bytes, by RFC 9113
KEEPALIVE_PING = b"livetest"  # eight bytes, as any ping has
MAX_GOAWAY_REASON = 200  # bytes
CLOSE_GRACE = 1.0  # seconds in which queued bytes may still be sent


class Http2Protocol(Protocol):
    """What the protocols of client and server have in common."""

    is_client = False
    transport: Transport

    def __init__(self, clock: Clock, limits: TransportLimits) -> None:
        self.clock = clock
        self.limits = limits
        self.conn = GracefulH2Connection(
            H2Configuration(
                client_side=self.is_client,
                header_encoding="latin-1",
                validate_outbound_headers=False,
                # A node chose the engines that it calls; a server checks whoever comes.
                validate_inbound_headers=not self.is_client,
                normalize_outbound_headers=False,
            )
        )
        self.conn.encoder = StatelessHeaderEncoder()
        self.streams: dict[int, Stream] = {}
        self.is_established = False  # the peer's SETTINGS were received
        self.is_lost = False
        self.is_draining = False
        self.close_reason = ""
        self.writer = FrameWriter(self, clock)
        self._reader = FrameReader(self, is_preface_expected=not self.is_client)
        self._keepalive = Keepalive(
            clock, limits, self._send_keepalive_ping, self._settings_missing, self._ping_unanswered
        )
        self._frame_rate_limiter = FrameRateLimiter(limits.frame_rates)

    # -- the connection ---------------------------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        """Announce our settings."""
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        limits = self.limits
        # As initial values: h2 applies later changes only once the peer has acknowledged them.
        self.conn.local_settings = Settings(self.is_client, self._initial_settings())
        self.conn.max_inbound_frame_size = limits.max_frame
        self.conn.initiate_connection()
        self.conn.decoder.max_header_list_size = limits.max_header_list
        self.conn.increment_flow_control_window(limits.connection_window - INITIAL_CONNECTION_WINDOW)
        self._keepalive.start()
        self.writer.flush()

    def _initial_settings(self) -> dict[SettingCodes, int]:
        settings = {
            SettingCodes.INITIAL_WINDOW_SIZE: self.limits.stream_window,
            SettingCodes.MAX_FRAME_SIZE: self.limits.max_frame,
            SettingCodes.MAX_HEADER_LIST_SIZE: self.limits.max_header_list,
            SettingCodes.MAX_CONCURRENT_STREAMS: self.limits.max_streams,
        }
        if self.is_client:
            settings[SettingCodes.ENABLE_PUSH] = 0
        return settings

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End all streams."""
        self.is_lost = True
        if not self.close_reason and not reason.check(ConnectionDone, ConnectionAborted):
            self.close_reason = reason.getErrorMessage()
        self._keepalive.stop()
        self.writer.stop()
        for stream in list(self.streams.values()):
            stream.lose(None)
        self.streams.clear()

    def fail(self, error: int, reason: str) -> None:
        """Give the reason by GOAWAY and close, as the peer broke the protocol or a limit."""
        if self.is_lost or self.close_reason:
            return
        self.close_reason = reason
        with suppress(H2Error):
            self.conn.go_away(self.conn.highest_inbound_stream_id, error, reason.encode()[:MAX_GOAWAY_REASON])
            self.transport.write(self.conn.data_to_send())
        self._close_soon()

    def _close_soon(self) -> None:
        """Close, but only for a time of grace: a peer that floods us may read nothing of what is queued."""
        self.transport.loseConnection()
        self.clock.callLater(CLOSE_GRACE, self._abort_unless_lost)

    def _abort_unless_lost(self) -> None:
        if not self.is_lost:
            self.transport.abortConnection()

    def _send_keepalive_ping(self) -> None:
        self.conn.ping(KEEPALIVE_PING)
        self.writer.flush()

    def _settings_missing(self) -> None:
        self.fail(ErrorCodes.SETTINGS_TIMEOUT, "no SETTINGS in time")

    def _ping_unanswered(self) -> None:
        self.close_reason = "keep-alive ping not answered"
        self.transport.abortConnection()

    # -- receiving --------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take received bytes, and send what follows from them."""
        if self.close_reason:
            return
        self._keepalive.received_at = self.clock.seconds()
        self._keepalive.is_ping_unanswered = False
        self.writer.is_reading = True
        try:
            self._reader.read(data)
        finally:
            self.writer.is_reading = False
        if not self.close_reason:
            self._reader.enlarge_connection_window()
            self.writer.flush()

    def receive_through_h2(self, data: bytes) -> bool:
        """Let h2 read frames, and handle its events; return False if nothing more is to be read."""
        try:
            events = self.conn.receive_data(data)
        except (H2Error, ValueError, IndexError) as error:
            self._protocol_broken(error)
            return False
        for event in events:
            handler = self.HANDLERS.get(type(event))
            if handler is not None:
                handler(self, event)
            if self.close_reason:
                return False
        return True

    def _protocol_broken(self, error: Exception) -> None:
        self.close_reason = f"{type(error).__name__}: {error}"
        if self.conn.state_machine.state is not ConnectionState.CLOSED:
            # h2 queues the GOAWAY for faults in frames, not for a bad preface.
            reason = self.close_reason.encode()[:MAX_GOAWAY_REASON]
            self.conn.go_away(0, ErrorCodes.PROTOCOL_ERROR, reason)
        self.transport.write(self.conn.data_to_send())
        self._close_soon()

    def _is_flooded(self, kind: FrameKind) -> bool:
        """Count a frame; close the connection and return True if the peer has sent too many."""
        if self._frame_rate_limiter.allow(kind, self.clock.seconds()):
            return False
        self.fail(ErrorCodes.ENHANCE_YOUR_CALM, f"too many {kind} frames")
        return True

    def _on_data(self, event: DataReceived) -> None:
        size = event.flow_controlled_length
        self._reader.count_data(size)
        if not size and event.stream_ended is None and self._is_flooded(FrameKind.EMPTY_DATA):
            return
        stream = self.streams.get(event.stream_id)
        if stream is not None and not stream.closed and event.data:
            stream.receive(event.data, size)

    def _on_end(self, event: StreamEnded) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None and not stream.closed:
            stream.received_end = True
            stream.receive_end()
            self.close_if_ended(stream)

    def _on_reset(self, event: StreamReset) -> None:
        if event.remote_reset and self._is_flooded(FrameKind.RST_STREAM):
            return
        stream = self.streams.pop(event.stream_id, None)
        if stream is not None:
            self.writer.forget(stream)
            stream.lose(event.error_code)
        self.conn.forget_stream(event.stream_id)
        self.stream_closed()

    def _on_window(self, event: WindowUpdated) -> None:
        if self._is_flooded(FrameKind.WINDOW_UPDATE):
            return
        if event.stream_id:
            stream = self.streams.get(event.stream_id)
            if stream is not None:
                self.writer.mark_without_flush(stream)
        else:
            self._mark_all()

    def _mark_all(self) -> None:
        for stream in self.streams.values():
            self.writer.mark_without_flush(stream)

    def _on_settings(self, event: RemoteSettingsChanged) -> None:
        is_first = not self.is_established
        if not is_first and self._is_flooded(FrameKind.SETTINGS):
            return
        if is_first:
            self.is_established = True
            self._keepalive.settings_received()
        self._mark_all()
        self.settings_changed(is_first)

    def _on_ping(self, event: PingReceived) -> None:
        self._is_flooded(FrameKind.PING)

    def _on_ping_answer(self, event: PingAckReceived) -> None:
        self.ping_answered(event.ping_data)

    def _on_priority(self, event: PriorityUpdated) -> None:
        self._is_flooded(FrameKind.PRIORITY)

    def _on_goaway(self, event: ConnectionTerminated) -> None:
        reason = (event.additional_data or b"").decode(errors="replace")
        self.goaway_received(int(event.error_code), event.last_stream_id, reason)

    # What each side adds.

    def settings_changed(self, is_first: bool) -> None:
        """Take note that the peer's settings came."""

    def ping_answered(self, data: bytes) -> None:
        """Take note that a ping of ours was answered."""

    def goaway_received(self, error: int, last_stream_id: int, reason: str) -> None:
        """Take note that the peer will process no stream above `last_stream_id`."""

    def stream_closed(self) -> None:
        """Take note that a stream ended."""

    # -- streams ----------------------------------------------------------------------------------

    def close_if_ended(self, stream: Stream) -> None:
        """Forget a stream that both sides have ended."""
        if stream.sent_end and stream.received_end and not stream.closed and not stream.is_end_delayed:
            stream.closed = True
            self.streams.pop(stream.id, None)
            self.conn.forget_stream(stream.id)
            self.stream_closed()

    def reset(self, stream: Stream, error: int) -> None:
        """Send RST_STREAM, and end the stream."""
        with suppress(StreamClosedError):
            self.conn.reset_stream(stream.id, error)
        self.streams.pop(stream.id, None)
        self.conn.forget_stream(stream.id)
        self.writer.forget(stream)
        self.writer.schedule_flush()
        stream.lose(error)
        self.stream_closed()

    def enlarge_window(self, stream: Stream, size: int) -> None:
        """Let the peer send that much more on this stream."""
        try:
            self.conn.increment_flow_control_window(size, stream.id)
        except H2Error:
            return
        self.writer.schedule_flush()

    # -- back-pressure of the transport -----------------------------------------------------------

    def pauseProducing(self) -> None:  # noqa: N802
        """Send nothing for now, as the transport is full."""
        self.writer.is_transport_full = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send again."""
        self.writer.is_transport_full = False
        self.writer.schedule_flush()

    def stopProducing(self) -> None:  # noqa: N802
        """Send nothing more."""
        self.writer.is_transport_full = True

    HANDLERS: ClassVar[dict[type[Event], Callable[[Any, Any], None]]] = {
        DataReceived: _on_data,
        StreamEnded: _on_end,
        StreamReset: _on_reset,
        WindowUpdated: _on_window,
        RemoteSettingsChanged: _on_settings,
        PingReceived: _on_ping,
        PingAckReceived: _on_ping_answer,
        PriorityUpdated: _on_priority,
        ConnectionTerminated: _on_goaway,
    }
