"""h2's connection with fast paths for DATA frames, and a GOAWAY that does not close the connection."""

from collections.abc import Iterable
from struct import Struct

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import ConnectionTerminated, Event
from h2.settings import SettingCodes, Settings
from h2.stream import StreamState
from hpack.struct import Header
from hyperframe.frame import Frame, GoAwayFrame

from myrtlehub.rpc.header_encoder import StatelessHeaderEncoder
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.transport_limits import TransportLimits

FRAME_HEADER_SIZE = 9  # bytes
INITIAL_CONNECTION_WINDOW = 65535  # bytes, by RFC 9113
HEADER_CHARSET = "latin-1"  # decodes any byte; each consumer of a header checks for values outside ASCII
_FRAME_HEADER = Struct(">HBBBI")  # 24-bit length as 16 and 8 bits, type, flags, stream id
_RECEIVING_STATES = (StreamState.OPEN, StreamState.HALF_CLOSED_LOCAL)
_SENDING_STATES = (StreamState.OPEN, StreamState.HALF_CLOSED_REMOTE)

# h2 formats every frame for its trace log even when the log is disabled: a tenth of a node's CPU time.
Frame.__repr__ = object.__repr__  # type: ignore[method-assign]  # replaced intentionally


def decode_headers(headers: Iterable[Header]) -> Headers:
    """Decode received headers to text."""
    return [(name.decode(HEADER_CHARSET), value.decode(HEADER_CHARSET)) for name, value in headers]


class GracefulH2Connection(H2Connection):
    """A connection that stays usable after a GOAWAY, as a graceful shutdown requires.

    h2 closes the connection on a GOAWAY, although by RFC 9113 section 6.8 streams up to its last stream id
    are still processed. `StreamTable` counts the open streams, so that a stream above the limit is refused
    instead of causing a connection error.
    """

    def __init__(self, is_client: bool) -> None:
        super().__init__(
            H2Configuration(
                client_side=is_client,
                header_encoding=None,
                validate_outbound_headers=False,
                # A client trusts the servers that its program chose; a server has to validate all clients.
                validate_inbound_headers=not is_client,
                normalize_outbound_headers=False,
            )
        )
        self.encoder = StatelessHeaderEncoder()  # type: ignore[assignment]  # implements the methods that h2 calls

    def initiate(self, limits: TransportLimits) -> None:
        """Queue the preface, the local SETTINGS and the enlargement of the connection window."""
        # Set as initial values, as h2 applies later changes only after the peer has acknowledged them.
        self.local_settings = Settings(self.config.client_side, self._initial_settings(limits))
        self.max_inbound_frame_size = limits.max_frame
        self.initiate_connection()
        self.decoder.max_header_list_size = limits.max_header_list
        self.increment_flow_control_window(limits.connection_window - INITIAL_CONNECTION_WINDOW)

    def _initial_settings(self, limits: TransportLimits) -> dict[SettingCodes, int]:
        settings = {
            SettingCodes.INITIAL_WINDOW_SIZE: limits.stream_window,
            SettingCodes.MAX_FRAME_SIZE: limits.max_frame,
            SettingCodes.MAX_HEADER_LIST_SIZE: limits.max_header_list,
            SettingCodes.MAX_CONCURRENT_STREAMS: limits.max_streams,
        }
        if self.config.client_side:
            settings[SettingCodes.ENABLE_PUSH] = 0
        return settings

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[Event]]:
        event = ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]

    def _open_streams(self, remainder: int) -> int:
        return 0

    def queue_goaway(self, last_stream_id: int, error: int = 0, reason: bytes = b"") -> None:
        """Queue a GOAWAY without closing the connection."""
        frame = GoAwayFrame(0, last_stream_id=last_stream_id, error_code=error, additional_data=reason)
        self._prepare_for_sending([frame])

    def sendable_bytes(self, stream_id: int) -> int:
        """Return the maximum payload size of the next DATA frame on this stream."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return 0
        return min(
            stream.outbound_flow_control_window,
            self.outbound_flow_control_window,
            self.max_outbound_frame_size,
        )

    def receive_plain_data(self, stream_id: int, size: int) -> bool:
        """Update the windows for a DATA frame without flags; return False if h2 has to process the frame.

        Nearly all frames of token streams are of this kind, and h2 takes ten times as long to process them.
        """
        stream = self.streams.get(stream_id)
        if stream is None or stream._expected_content_length is not None:
            return False
        machine = stream.state_machine
        if (
            machine.state not in _RECEIVING_STATES
            or not machine.headers_received
            or machine.trailers_received
        ):
            return False
        stream_window = stream._inbound_window_manager
        connection_window = self._inbound_flow_control_window_manager
        if size > stream_window.current_window_size or size > connection_window.current_window_size:
            return False
        stream_window.window_consumed(size)
        connection_window.window_consumed(size)
        return True

    def send_plain_data(self, stream_id: int, data: bytes) -> bool:
        """Queue a DATA frame without flags that fits the windows; return False if h2 has to send it."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.state_machine.state not in _SENDING_STATES:
            return False
        size = len(data)
        self._data_to_send += _FRAME_HEADER.pack(size >> 8, size & 255, 0, 0, stream_id) + data
        stream.outbound_flow_control_window -= size
        self.outbound_flow_control_window -= size
        return True

    def remove_closed_stream(self, stream_id: int) -> None:
        """Remove a closed stream from h2, and retain only how it was closed."""
        stream = self.streams.pop(stream_id, None)
        if stream is not None:
            self._closed_streams[stream_id] = stream.closed_by
