"""Dispatches the events that h2 reports, and limits the rate of frames that carry no data."""

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
    """The interface that the event handler requires of a connection, for events of the whole connection."""

    is_established: bool

    def fail(self, error: int, reason: str) -> None:
        """Close the connection with a GOAWAY, as the peer has violated a limit."""

    def settings_received(self) -> None:
        """Process a SETTINGS frame of the peer."""

    def ping_answered(self, data: bytes) -> None:
        """Process the acknowledgement of a PING that this endpoint sent."""

    def goaway_received(self, error: int, last_stream_id: int, reason: str) -> None:
        """Process a GOAWAY: the peer will not process streams above `last_stream_id`."""

    def headers_received(self, event: Event) -> None:
        """Process received headers or trailers: of requests on a server, of responses on a client.

        Also called with events that need no action.
        """


class EventHandler:
    """Dispatches the events of h2 to the streams and the connection."""

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
        """Dispatch one event."""
        match event:
            case DataReceived():
                self._data_received(event)
            case WindowUpdated():
                if not self._exceeds_rate(FrameKind.WINDOW_UPDATE):
                    self._streams.window_update_received(event.stream_id)
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
                self._observer.headers_received(event)

    def _exceeds_rate(self, kind: FrameKind) -> bool:
        """Count a frame; if the peer has exceeded its rate, close the connection and return True."""
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
            stream.is_end_received = True
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
