"""The open streams of one connection, and the frames that open, reset and close them."""

from collections.abc import Callable
from contextlib import suppress

from h2.errors import ErrorCodes
from h2.exceptions import H2Error, StreamClosedError

from myrtlehub.rpc.frame_writer import FrameWriter
from myrtlehub.rpc.h2_connection import GracefulH2Connection
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport_limits import TransportLimits


class StreamTable:
    """The open streams of one connection; `on_closed` is called after each stream that ends.

    h2 retains closed streams and counts open ones by iterating over all of them. This table removes closed
    streams from h2, and its length is the number of open ones.
    """

    def __init__(
        self,
        conn: GracefulH2Connection,
        writer: FrameWriter,
        limits: TransportLimits,
        on_closed: Callable[[], None],
    ) -> None:
        self.by_id: dict[int, Stream] = {}
        self.writer = writer
        self.limits = limits
        self._conn = conn
        self._on_closed = on_closed

    def __len__(self) -> int:
        return len(self.by_id)

    def open(self, stream_id: int) -> Stream:
        """Add a stream and return it."""
        stream = self.by_id[stream_id] = Stream(self, stream_id)
        return stream

    def find_open(self, stream_id: int) -> Stream | None:
        """Return a stream unless it is unknown or closed."""
        stream = self.by_id.get(stream_id)
        return None if stream is None or stream.closed else stream

    def send_headers(self, stream: Stream, headers: Headers) -> None:
        """Send the first headers of a stream, with the next flush."""
        self._conn.send_headers(stream.id, headers)
        self.writer.schedule_flush()

    def close_if_ended(self, stream: Stream) -> None:
        """Remove a stream if both sides have ended it and its data was consumed."""
        if stream.sent_end and stream.received_end and not stream.closed and not stream.is_end_delayed:
            stream.closed = True
            self._remove(stream.id)
            self._on_closed()

    def reset(self, stream: Stream, error: int) -> None:
        """Send RST_STREAM, and end the stream."""
        with suppress(StreamClosedError):
            self._conn.reset_stream(stream.id, error)
        self._remove(stream.id)
        self.writer.forget(stream)
        self.writer.schedule_flush()
        stream.lose(error)
        self._on_closed()

    def reset_received(self, stream_id: int, error: int) -> None:
        """End a stream that the peer has reset."""
        stream = self.by_id.pop(stream_id, None)
        if stream is not None:
            self.writer.forget(stream)
            stream.lose(error)
        self._conn.forget_stream(stream_id)
        self._on_closed()

    def reject(self, stream_id: int) -> None:
        """Reset a stream that the peer opened, with the assurance that nothing of it was processed."""
        self._conn.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
        self._conn.forget_stream(stream_id)

    def enlarge_window(self, stream: Stream, size: int) -> None:
        """Allow the peer to send `size` more bytes on this stream."""
        try:
            self._conn.increment_flow_control_window(size, stream.id)
        except H2Error:
            return
        self.writer.schedule_flush()

    def window_enlarged(self, stream_id: int) -> None:
        """Send queued data of a stream, or of all for stream 0: the peer has enlarged the window."""
        if stream_id:
            stream = self.by_id.get(stream_id)
            if stream is not None:
                self.writer.mark_without_flush(stream)
        else:
            self.mark_all()

    def mark_all(self) -> None:
        """Send queued data of all streams with the next flush."""
        for stream in self.by_id.values():
            self.writer.mark_without_flush(stream)

    def lose_all(self) -> None:
        """End all streams, after the connection was lost."""
        for stream in list(self.by_id.values()):
            stream.lose(None)
        self.by_id.clear()

    def _remove(self, stream_id: int) -> None:
        self.by_id.pop(stream_id, None)
        self._conn.forget_stream(stream_id)
