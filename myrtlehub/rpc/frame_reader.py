"""Splits received bytes into frames; DATA without flags goes to its stream directly, other frames to h2."""

from collections.abc import Mapping
from typing import Protocol

from h2.errors import ErrorCodes

from myrtlehub.rpc.h2_connection import FRAME_HEADER_SIZE, GracefulH2Connection
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport_limits import TransportLimits

CLIENT_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # precedes the first frame of a client
MAX_STREAM_ID = 2**31 - 1


class FrameReaderConnection(Protocol):
    """The interface that a frame reader requires of its connection."""

    close_reason: str | None

    def receive_through_h2(self, data: bytes) -> bool:
        """Pass frames to h2 and handle the resulting events; return False if the connection is closing."""

    def fail(self, error: int, reason: str) -> None:
        """Close the connection with a GOAWAY, as the peer has violated a limit."""


class FrameReader:
    """The receive path of one connection."""

    def __init__(
        self,
        connection: FrameReaderConnection,
        h2_connection: GracefulH2Connection,
        streams: Mapping[int, Stream],
        limits: TransportLimits,
    ) -> None:
        self._connection = connection
        self._h2_connection = h2_connection
        self._streams = streams
        self._max_frame = limits.max_frame
        self._connection_window = limits.connection_window
        self._is_preface_expected = not h2_connection.config.client_side
        self._incomplete_data = b""  # start of an incomplete frame or preface
        self._unacknowledged_bytes = 0  # received, and not yet returned to the peer by WINDOW_UPDATE

    def read(self, data: bytes) -> bool:
        """Process received bytes; an incomplete frame is buffered until the remainder arrives.

        Returns:
            Whether a frame or the preface was completed.
        """
        if self._incomplete_data:
            data = self._incomplete_data + data
        if not self._is_preface_expected:
            self._read_frames(data, 0)
        elif len(data) < len(CLIENT_PREFACE) and CLIENT_PREFACE.startswith(data):
            self._incomplete_data = data
        else:
            self._is_preface_expected = False
            self._read_frames(data, len(CLIENT_PREFACE))
        return len(self._incomplete_data) < len(data)

    def _read_frames(self, data: bytes, position: int) -> None:
        unprocessed_start = 0  # offset of the first byte not yet passed to h2 or a stream
        size = len(data)
        while size - position >= FRAME_HEADER_SIZE:
            length = data[position] << 16 | data[position + 1] << 8 | data[position + 2]
            if length > self._max_frame:
                self._reject_large_frame(data[unprocessed_start:position])
                return
            end = position + FRAME_HEADER_SIZE + length
            if end > size:
                break
            if length and not data[position + 3] and not data[position + 4]:  # a DATA frame without flags
                if unprocessed_start < position and not self._connection.receive_through_h2(
                    data[unprocessed_start:position]
                ):
                    return
                unprocessed_start = position
                stream_id = int.from_bytes(data[position + 5 : position + 9]) & MAX_STREAM_ID
                is_in_headers = self._h2_connection.incoming_buffer._headers_buffer
                if not is_in_headers and self._h2_connection.receive_plain_data(stream_id, length):
                    unprocessed_start = end
                    self._unacknowledged_bytes += length
                    stream = self._streams.get(stream_id)
                    if stream is not None and not stream.closed:
                        stream.receive(data[position + FRAME_HEADER_SIZE : end], length)
                    if self._connection.close_reason:
                        return
            position = end
        self._incomplete_data = data[position:]
        if unprocessed_start < position:
            self._connection.receive_through_h2(data[unprocessed_start:position])

    def _reject_large_frame(self, frames_before: bytes) -> None:
        """Close the connection at the header of a frame that is too large.

        h2 would first buffer the complete frame.
        """
        if not frames_before or self._connection.receive_through_h2(frames_before):
            self._connection.fail(ErrorCodes.FRAME_SIZE_ERROR, "frame over the announced size")

    def count_data(self, size: int) -> None:
        """Count the flow-controlled bytes of a DATA frame that h2 has processed.

        They are credited to the connection window on receipt, even if the stream has not consumed them: a
        stream that is not read does not block the others.
        """
        self._unacknowledged_bytes += size

    def update_connection_window(self) -> None:
        """Send a WINDOW_UPDATE for the connection once the peer has used half of its window."""
        if self._unacknowledged_bytes * 2 >= self._connection_window:
            self._h2_connection.increment_flow_control_window(self._unacknowledged_bytes)
            self._unacknowledged_bytes = 0
