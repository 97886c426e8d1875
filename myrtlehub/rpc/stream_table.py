"""The open streams of one connection, with operations that open, reset and close them."""

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
    """The open streams of one connection; `on_closed` is called after each closed stream.

    h2 retains closed streams, and iterates over all streams to count the open ones. This table removes closed
    streams from h2, and its length is the number of open streams.
    """

    def __init__(
        self,
        h2_connection: GracefulH2Connection,
        writer: FrameWriter,
        limits: TransportLimits,
        on_closed: Callable[[], None],
    ) -> None:
        self.by_id: dict[int, Stream] = {}
        self.writer = writer
        self.limits = limits
        self._h2_connection = h2_connection
        self._on_closed = on_closed

    def __len__(self) -> int:
        return len(self.by_id)

    def open(self, stream_id: int) -> Stream:
        """Add a stream."""
        stream = self.by_id[stream_id] = Stream(self, stream_id)
        return stream

    def find_open(self, stream_id: int) -> Stream | None:
        """Return a stream, or None if it is unknown or closed."""
        stream = self.by_id.get(stream_id)
        return None if stream is None or stream.closed else stream

    def send_headers(self, stream: Stream, headers: Headers) -> None:
        """Queue the initial headers of a stream for the next flush."""
        self._h2_connection.send_headers(stream.id, headers)
        self.writer.schedule_flush()

    def close_if_ended(self, stream: Stream) -> None:
        """Remove a stream if both endpoints have ended it and its data was consumed."""
        if stream.is_end_sent and stream.is_end_received and not stream.closed and not stream.is_end_delayed:
            stream.closed = True
            self._remove(stream.id)
            self._on_closed()

    def reset(self, stream: Stream, error: int) -> None:
        """Send RST_STREAM and terminate the stream."""
        with suppress(StreamClosedError):
            self._h2_connection.reset_stream(stream.id, error)
        self._remove(stream.id)
        self.writer.unschedule(stream)
        self.writer.schedule_flush()
        stream.terminate(error)
        self._on_closed()

    def reset_received(self, stream_id: int, error: int) -> None:
        """Terminate a stream that the peer has reset."""
        stream = self.by_id.pop(stream_id, None)
        if stream is not None:
            self.writer.unschedule(stream)
            stream.terminate(error)
        self._h2_connection.remove_closed_stream(stream_id)
        self._on_closed()

    def reject(self, stream_id: int) -> None:
        """Refuse a stream that the peer opened; REFUSED_STREAM guarantees that it was not processed."""
        self._h2_connection.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
        self._h2_connection.remove_closed_stream(stream_id)

    def send_window_update(self, stream: Stream, size: int) -> None:
        """Send a WINDOW_UPDATE that returns `size` bytes of this stream's window to the peer."""
        try:
            self._h2_connection.increment_flow_control_window(size, stream.id)
        except H2Error:
            return
        self.writer.schedule_flush()

    def window_update_received(self, stream_id: int) -> None:
        """Schedule the stream whose window was enlarged, or all streams for the connection window, id 0."""
        if stream_id:
            stream = self.by_id.get(stream_id)
            if stream is not None:
                self.writer.schedule_without_flush(stream)
        else:
            self.schedule_all()

    def schedule_all(self) -> None:
        """Send the queued data of all streams with the next flush."""
        for stream in self.by_id.values():
            self.writer.schedule_without_flush(stream)

    def terminate_all(self) -> None:
        """Terminate all streams after the connection was lost."""
        for stream in list(self.by_id.values()):
            stream.terminate(None)
        self.by_id.clear()

    def _remove(self, stream_id: int) -> None:
        self.by_id.pop(stream_id, None)
        self._h2_connection.remove_closed_stream(stream_id)
