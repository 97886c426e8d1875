"""Splits received bytes into frames: plain DATA is passed to its stream directly, all others to h2."""

from collections.abc import Mapping
from typing import Protocol

from h2.errors import ErrorCodes

from myrtlehub.rpc.h2_connection import FRAME_HEADER_SIZE, GracefulH2Connection
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport_limits import TransportLimits

CLIENT_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # sent by a client before its first frame
MAX_STREAM_ID = 2**31 - 1


class ReadConnection(Protocol):
    """What a frame reader requires of its connection."""

    close_reason: str | None

    def receive_through_h2(self, data: bytes) -> bool:
        """Pass frames to h2 and process its events; return False if the connection is being closed."""

    def fail(self, error: int, reason: str) -> None:
        """Close the connection with a GOAWAY: the peer has violated a limit."""


class FrameReader:
    """The receiving side of one connection."""

    def __init__(
        self,
        connection: ReadConnection,
        conn: GracefulH2Connection,
        streams: Mapping[int, Stream],
        limits: TransportLimits,
    ) -> None:
        self._connection = connection
        self._conn = conn
        self._streams = streams
        self._max_frame = limits.max_frame
        self._connection_window = limits.connection_window
        self._is_preface_expected = not conn.config.client_side
        self._rest = b""  # bytes of an incomplete frame, or of an incomplete preface
        self._unacknowledged = 0  # bytes received that no WINDOW_UPDATE has returned to the peer yet

    def read(self, data: bytes) -> None:
        """Process received bytes; an incomplete frame is retained until its rest arrives."""
        if self._rest:
            data = self._rest + data
        if not self._is_preface_expected:
            self._read_frames(data, 0)
        elif len(data) < len(CLIENT_PREFACE) and CLIENT_PREFACE.startswith(data):
            self._rest = data
        else:
            self._is_preface_expected = False
            self._read_frames(data, len(CLIENT_PREFACE))

    def _read_frames(self, data: bytes, position: int) -> None:
        unread = 0  # offset of the first byte that was not passed to h2 or a stream
        size = len(data)
        while size - position >= FRAME_HEADER_SIZE:
            length = data[position] << 16 | data[position + 1] << 8 | data[position + 2]
            if length > self._max_frame:
                self._reject_large_frame(data[unread:position])
                return
            end = position + FRAME_HEADER_SIZE + length
            if end > size:
                break
            if length and not data[position + 3] and not data[position + 4]:  # DATA, without any flag
                if unread < position and not self._connection.receive_through_h2(data[unread:position]):
                    return
                unread = position
                stream_id = int.from_bytes(data[position + 5 : position + 9]) & MAX_STREAM_ID
                is_in_headers = self._conn.incoming_buffer._headers_buffer
                if not is_in_headers and self._conn.receive_plain_data(stream_id, length):
                    unread = end
                    self._unacknowledged += length
                    stream = self._streams.get(stream_id)
                    if stream is not None and not stream.closed:
                        stream.receive(data[position + FRAME_HEADER_SIZE : end], length)
                    if self._connection.close_reason:
                        return
            position = end
        self._rest = data[position:]
        if unread < position:
            self._connection.receive_through_h2(data[unread:position])

    def _reject_large_frame(self, frames_before: bytes) -> None:
        """Fail at the header of a frame that is too large: h2 would first buffer all of its bytes."""
        if not frames_before or self._connection.receive_through_h2(frames_before):
            self._connection.fail(ErrorCodes.FRAME_SIZE_ERROR, "frame over the announced size")

    def count_data(self, size: int) -> None:
        """Count the bytes of a DATA frame that h2 has read.

        They are credited to the connection's window on receipt, even if their stream does not consume them:
        a stream that is not read must block only itself.
        """
        self._unacknowledged += size

    def enlarge_connection_window(self) -> None:
        """Allow the peer to send more, once it has used half of the connection's window."""
        if self._unacknowledged * 2 >= self._connection_window:
            self._conn.increment_flow_control_window(self._unacknowledged)
            self._unacknowledged = 0
