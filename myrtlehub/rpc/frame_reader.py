"""Splits received bytes into frames: plain DATA goes to its stream at once, all others through h2."""

from typing import TYPE_CHECKING

from h2.errors import ErrorCodes

from myrtlehub.rpc.h2_connection import FRAME_HEADER_SIZE

if TYPE_CHECKING:
    from myrtlehub.rpc.http2_protocol import Http2Protocol

CLIENT_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # what a client sends ahead of its first frame
MAX_STREAM_ID = 2**31 - 1


class FrameReader:
    """The receiving side of one connection."""

    def __init__(self, protocol: "Http2Protocol", is_preface_expected: bool) -> None:
        self._protocol = protocol
        self._conn = protocol.conn
        self._streams = protocol.streams
        self._max_frame = protocol.limits.max_frame
        self._is_preface_expected = is_preface_expected
        self._rest = b""  # of a frame that is not complete
        self._unacknowledged = 0  # bytes received, for which the peer's window was not enlarged yet

    def read(self, data: bytes) -> None:
        """Take received bytes."""
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
        unread = 0  # from here on h2 has not read
        size = len(data)
        while size - position >= FRAME_HEADER_SIZE:
            length = data[position] << 16 | data[position + 1] << 8 | data[position + 2]
            if length > self._max_frame:
                self._refuse_large_frame(data[unread:position])
                return
            end = position + FRAME_HEADER_SIZE + length
            if end > size:
                break
            if length and not data[position + 3] and not data[position + 4]:  # DATA, without any flag
                if unread < position and not self._protocol.receive_through_h2(data[unread:position]):
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
                    if self._protocol.close_reason:
                        return
            position = end
        self._rest = data[position:]
        if unread < position:
            self._protocol.receive_through_h2(data[unread:position])

    def _refuse_large_frame(self, frames_before: bytes) -> None:
        """Fail at the header of a frame that is too large: h2 would read all of it first."""
        if not frames_before or self._protocol.receive_through_h2(frames_before):
            self._protocol.fail(ErrorCodes.FRAME_SIZE_ERROR, "frame over the announced size")

    def count_data(self, size: int) -> None:
        """Count data that h2 has read.

        The connection's window is enlarged at once, so that a stream that is not read blocks only itself.
        """
        self._unacknowledged += size

    def enlarge_connection_window(self) -> None:
        """Let the peer send more, once it has used half of the connection's window."""
        if self._unacknowledged * 2 >= self._protocol.limits.connection_window:
            self._conn.increment_flow_control_window(self._unacknowledged)
            self._unacknowledged = 0
