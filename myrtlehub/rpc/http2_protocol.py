"""An HTTP/2 connection as a Twisted protocol, based on h2."""

from contextlib import suppress
from typing import ClassVar

from h2.connection import ConnectionState
from h2.errors import ErrorCodes
from h2.events import Event
from h2.exceptions import H2Error
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from myrtlehub.clock import Clock
from myrtlehub.rpc.event_handler import EventHandler
from myrtlehub.rpc.frame_rate_limiter import FrameRateLimiter
from myrtlehub.rpc.frame_reader import FrameReader
from myrtlehub.rpc.frame_writer import FrameWriter
from myrtlehub.rpc.h2_connection import GracefulH2Connection
from myrtlehub.rpc.keepalive import Keepalive
from myrtlehub.rpc.stream_table import StreamTable
from myrtlehub.rpc.transport import Transport
from myrtlehub.rpc.transport_limits import TransportLimits

KEEPALIVE_PING_DATA = b"livetest"  # a PING frame carries eight bytes
MAX_GOAWAY_REASON_SIZE = 200  # bytes, so that a GOAWAY remains small with any error message
CLOSE_GRACE = 1.0  # seconds for sending queued bytes before the connection is aborted


class Http2Protocol(Protocol):
    """Base class of the client and server protocols."""

    is_client: ClassVar[bool] = False
    transport: Transport  # type: ignore[assignment]  # zope's ITransport declares methods without `self`

    def __init__(self, clock: Clock, limits: TransportLimits) -> None:
        self.clock = clock
        self.limits = limits
        self.h2_connection = GracefulH2Connection(self.is_client)
        self.is_established = False  # the peer's first SETTINGS frame was received
        self.is_lost = False
        self.is_draining = False
        self.close_reason: str | None = None  # set when this endpoint decides to close
        self.writer = FrameWriter(self, self.h2_connection, clock)
        self.streams = StreamTable(self.h2_connection, self.writer, limits, self.stream_closed)
        self._reader = FrameReader(self, self.h2_connection, self.streams.by_id, limits)
        self._events = EventHandler(
            self, clock, self.streams, self._reader, FrameRateLimiter(limits.frame_rates)
        )
        self._keepalive = Keepalive(
            clock, limits, self._send_keepalive_ping, self._settings_timed_out, self._ping_timed_out
        )

    # -- opening and closing ----------------------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        """Send the local SETTINGS."""
        if hasattr(self.transport, "setTcpNoDelay"):  # in-memory transports lack it
            self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.h2_connection.initiate(self.limits)
        self._keepalive.start()
        self.writer.flush()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Terminate all streams."""
        self.is_lost = True
        if not self.close_reason and not isinstance(reason.value, ConnectionDone | ConnectionAborted):
            self.close_reason = reason.getErrorMessage()
        self._keepalive.stop()
        self.writer.stop()
        self.streams.terminate_all()

    def fail(self, error: int, reason: str) -> None:
        """Send a GOAWAY with the reason and close, as the peer has violated the protocol or a limit."""
        if self.is_lost or self.close_reason:
            return
        self.close_reason = reason
        with suppress(H2Error):
            self.h2_connection.queue_goaway(
                self.h2_connection.highest_inbound_stream_id, error, reason.encode()[:MAX_GOAWAY_REASON_SIZE]
            )
            self.transport.write(self.h2_connection.data_to_send())
        self._close_within_grace()

    def _close_within_grace(self) -> None:
        """Close once queued bytes are sent, or after CLOSE_GRACE if the peer does not read them."""
        self.transport.loseConnection()
        self.clock.callLater(CLOSE_GRACE, self._abort_unless_lost)

    def _abort_unless_lost(self) -> None:
        if not self.is_lost:
            self.transport.abortConnection()

    def _close_if_drained(self) -> None:
        """Close the connection if no stream is open."""
        if not self.streams and not self.is_lost:
            self.writer.flush()
            self.transport.loseConnection()

    def _send_keepalive_ping(self) -> None:
        self.h2_connection.ping(KEEPALIVE_PING_DATA)
        self.writer.flush()

    def _settings_timed_out(self) -> None:
        self.fail(ErrorCodes.SETTINGS_TIMEOUT, "no SETTINGS in time")

    def _ping_timed_out(self) -> None:
        self.close_reason = "keepalive timeout"
        self.transport.abortConnection()

    # -- receiving --------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received bytes and send the resulting frames."""
        if self.close_reason:
            return
        self.writer.is_reading = True
        try:
            has_completed_frame = self._reader.read(data)
        finally:
            self.writer.is_reading = False
        if has_completed_frame:
            self._keepalive.frame_received()
        if not self.close_reason:
            self._reader.update_connection_window()
            self.writer.flush()

    def receive_through_h2(self, data: bytes) -> bool:
        """Pass frames to h2 and handle the resulting events; return False if the connection is closing."""
        try:
            events = self.h2_connection.receive_data(data)
        except (H2Error, ValueError, IndexError) as error:
            self._close_after_protocol_error(error)
            return False
        for event in events:
            self._events.handle(event)
            if self.close_reason:
                return False
        return True

    def _close_after_protocol_error(self, error: Exception) -> None:
        self.close_reason = f"{type(error).__name__}: {error}"
        if self.h2_connection.state_machine.state is not ConnectionState.CLOSED:
            # h2 queues a GOAWAY for an invalid frame, but not for an invalid preface.
            reason = self.close_reason.encode()[:MAX_GOAWAY_REASON_SIZE]
            self.h2_connection.queue_goaway(0, ErrorCodes.PROTOCOL_ERROR, reason)
        self.transport.write(self.h2_connection.data_to_send())
        self._close_within_grace()

    def settings_received(self) -> None:
        """Process a SETTINGS frame of the peer; the first one establishes the connection."""
        is_first = not self.is_established
        if is_first:
            self.is_established = True
            self._keepalive.settings_received()
        self.streams.schedule_all()
        self.settings_changed(is_first)

    # -- overridden by the client and server protocols --------------------------------------------

    def settings_changed(self, is_first: bool) -> None:
        """Called after each SETTINGS frame of the peer."""

    def ping_answered(self, data: bytes) -> None:
        """Called when the peer has acknowledged a PING."""

    def goaway_received(self, error: int, last_stream_id: int, reason: str) -> None:
        """Called after a GOAWAY: the peer will not process streams above `last_stream_id`."""

    def headers_received(self, event: Event) -> None:
        """Called with received headers or trailers, and with events that need no action."""

    def stream_closed(self) -> None:
        """Called after a stream was closed."""

    # -- backpressure of the transport ------------------------------------------------------------

    def pauseProducing(self) -> None:  # noqa: N802
        """Suspend sending while the transport's buffer is full."""
        self.writer.is_transport_full = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume sending."""
        self.writer.is_transport_full = False
        self.writer.schedule_flush()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop sending after the transport was closed."""
        self.writer.is_transport_full = True
