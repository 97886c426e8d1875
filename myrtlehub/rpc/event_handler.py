"""Acts on the events that h2 reports, and limits the rate of frames that carry no data."""

from typing import Protocol

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

from myrtlehub.clock import Clock
from myrtlehub.rpc.frame_rate_limiter import FrameRateLimiter
from myrtlehub.rpc.frame_reader import FrameReader
from myrtlehub.rpc.stream_table import StreamTable
from myrtlehub.rpc.transport_limits import FrameKind


class EventObserver(Protocol):
    """What the event handler requires of a connection: methods for events that concern no single stream."""

    is_established: bool

    def fail(self, error: int, reason: str) -> None:
        """Close the connection with a GOAWAY: the peer has violated a limit."""

    def settings_received(self) -> None:
        """Process a SETTINGS frame of the peer."""

    def ping_answered(self, data: bytes) -> None:
        """Process the peer's acknowledgement of a ping that this side has sent."""

    def goaway_received(self, error: int, last_stream_id: int, reason: str) -> None:
        """Process a GOAWAY: the peer will process no stream above `last_stream_id`."""

    def headers_event(self, event: Event) -> None:
        """Process received headers or trailers: of requests on a server, of responses on a client."""


class EventHandler:
    """Passes h2's events to the streams and the connection that they concern."""

    def __init__(
        self,
        observer: EventObserver,
        clock: Clock,
        streams: StreamTable,
        reader: FrameReader,
        rate_limiter: FrameRateLimiter,
    ) -> None:
        self._observer = observer
        self._clock = clock
        self._streams = streams
        self._reader = reader
        self._rate_limiter = rate_limiter

    def handle(self, event: Event) -> None:
        """Process one event."""
        match event:
            case DataReceived():
                self._data_received(event)
            case WindowUpdated():
                if not self._exceeds_rate(FrameKind.WINDOW_UPDATE):
                    self._streams.window_enlarged(event.stream_id)
            case StreamEnded():
                self._end_received(event)
            case StreamReset():
                self._reset_received(event)
            case _:
                self._handle_connection_event(event)

    def _handle_connection_event(self, event: Event) -> None:
        match event:
            case RemoteSettingsChanged():
                self._settings_received()
            case PingReceived():
                self._exceeds_rate(FrameKind.PING)
            case PingAckReceived():
                self._observer.ping_answered(event.ping_data)
            case PriorityUpdated():
                self._exceeds_rate(FrameKind.PRIORITY)
            case ConnectionTerminated():
                reason = (event.additional_data or b"").decode(errors="replace")
                self._observer.goaway_received(int(event.error_code or 0), event.last_stream_id or 0, reason)
            case _:
                self._observer.headers_event(event)

    def _exceeds_rate(self, kind: FrameKind) -> bool:
        """Count a frame; close the connection and return True if the peer has sent too many."""
        if self._rate_limiter.allow(kind, self._clock.seconds()):
            return False
        self._observer.fail(ErrorCodes.ENHANCE_YOUR_CALM, f"too many {kind} frames")
        return True

    def _data_received(self, event: DataReceived) -> None:
        size = event.flow_controlled_length
        self._reader.count_data(size)
        if not size and event.stream_ended is None and self._exceeds_rate(FrameKind.EMPTY_DATA):
            return
        stream = self._streams.find_open(event.stream_id)
        if stream is not None and event.data:
            stream.receive(event.data, size)

    def _end_received(self, event: StreamEnded) -> None:
        stream = self._streams.find_open(event.stream_id)
        if stream is not None:
            stream.received_end = True
            stream.receive_end()
            self._streams.close_if_ended(stream)

    def _reset_received(self, event: StreamReset) -> None:
        if event.remote_reset and self._exceeds_rate(FrameKind.RST_STREAM):
            return
        self._streams.reset_received(event.stream_id, event.error_code)

    def _settings_received(self) -> None:
        if self._observer.is_established and self._exceeds_rate(FrameKind.SETTINGS):
            return
        self._observer.settings_received()
