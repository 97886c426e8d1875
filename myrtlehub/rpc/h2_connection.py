"""h2's connection with fast paths for DATA frames, and one that stays open after GOAWAY."""

from struct import Struct

from h2.connection import H2Connection
from h2.events import ConnectionTerminated, Event
from h2.stream import StreamState
from hyperframe.frame import Frame, GoAwayFrame

FRAME_HEADER_SIZE = 9
_FRAME_HEADER = Struct(">HBBBI")  # length in 24 bits, type, flags, stream
_RECEIVING = (StreamState.OPEN, StreamState.HALF_CLOSED_LOCAL)
_SENDING = (StreamState.OPEN, StreamState.HALF_CLOSED_REMOTE)

# h2 formats each frame for a trace log even where nobody reads that; it came to a tenth of a node's work.
Frame.__repr__ = object.__repr__


class GracefulH2Connection(H2Connection):
    """A connection that outlives GOAWAY, as graceful shutdown needs.

    h2 takes a GOAWAY for the end of the connection; by RFC 9113 section 6.8, streams below the named one
    finish. Streams are counted by our protocol, so that one too many is refused and is no connection error.
    """

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[Event]]:
        event = ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]

    def _open_streams(self, remainder: int) -> int:
        return 0

    def go_away(self, last_stream_id: int, error: int = 0, reason: bytes = b"") -> None:
        """Announce GOAWAY and leave the connection open."""
        frame = GoAwayFrame(0, last_stream_id=last_stream_id, error_code=error, additional_data=reason)
        self._prepare_for_sending([frame])

    def sendable_bytes(self, stream_id: int) -> int:
        """Return the bytes that one DATA frame on this stream may carry now."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return 0
        return min(
            stream.outbound_flow_control_window,
            self.outbound_flow_control_window,
            self.max_outbound_frame_size,
        )

    def receive_plain_data(self, stream_id: int, size: int) -> bool:
        """Account for a plain DATA frame on an open stream; return False where h2 has to decide on it.

        h2's own way takes ten times as long, and nearly all frames of token streams are of this kind.
        """
        stream = self.streams.get(stream_id)
        if stream is None or stream._expected_content_length is not None:
            return False
        machine = stream.state_machine
        if machine.state not in _RECEIVING or not machine.headers_received or machine.trailers_received:
            return False
        stream_window = stream._inbound_window_manager
        connection_window = self._inbound_flow_control_window_manager
        if size > stream_window.current_window_size or size > connection_window.current_window_size:
            return False
        stream_window.window_consumed(size)
        connection_window.window_consumed(size)
        return True

    def send_plain_data(self, stream_id: int, data: bytes) -> bool:
        """Send a plain DATA frame that the windows allow; return False where h2 has to decide on it."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.state_machine.state not in _SENDING:
            return False
        size = len(data)
        self._data_to_send += _FRAME_HEADER.pack(size >> 8, size & 255, 0, 0, stream_id) + data
        stream.outbound_flow_control_window -= size
        self.outbound_flow_control_window -= size
        return True

    def forget_stream(self, stream_id: int) -> None:
        """Drop a closed stream, except for how it was closed."""
        stream = self.streams.pop(stream_id, None)
        if stream is not None:
            self._closed_streams[stream_id] = stream.closed_by
