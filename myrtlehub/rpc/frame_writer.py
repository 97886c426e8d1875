"""Sends the queued data of streams, as far as flow control and the transport allow.

Writes are batched and flushed once per reactor iteration, so that messages received together are also sent
together. Streams are served round-robin, one frame each, so that they share the connection evenly.
"""

from typing import Protocol

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc.h2_connection import GracefulH2Connection
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport import Transport


class FrameWriterConnection(Protocol):
    """The interface that a frame writer requires of its connection."""

    is_lost: bool
    close_reason: str | None
    transport: Transport


class FrameWriter:
    """The send path of one connection."""

    def __init__(
        self, connection: FrameWriterConnection, h2_connection: GracefulH2Connection, clock: Clock
    ) -> None:
        self.is_reading = False  # received bytes are being processed; a flush follows, so none is scheduled
        self.is_transport_full = False
        self._connection = connection
        self._h2_connection = h2_connection
        self._clock = clock
        self._pending: dict[Stream, None] = {}  # an ordered set of the streams with data to send
        self._flush_call: Timer | None = None

    def schedule(self, stream: Stream) -> None:
        """Add a stream to the pending ones and schedule a flush."""
        self._pending[stream] = None
        if self._flush_call is None:
            self.schedule_flush()

    def schedule_without_flush(self, stream: Stream) -> None:
        """Add a stream to the pending ones if it has data to send; no flush is scheduled."""
        if stream.buffered or stream.is_ending:
            self._pending[stream] = None

    def unschedule(self, stream: Stream) -> None:
        """Remove a stream from the pending ones."""
        self._pending.pop(stream, None)

    def schedule_flush(self) -> None:
        """Flush in the next reactor iteration."""
        if self._flush_call is None and not self.is_reading and not self._connection.is_lost:
            self._flush_call = self._clock.callLater(0, self._flush_scheduled)

    def _flush_scheduled(self) -> None:
        self._flush_call = None
        self.flush()

    def flush(self) -> None:
        """Send queued data up to the limits of the flow-control windows and the transport."""
        connection = self._connection
        if connection.is_lost or connection.close_reason:
            return
        h2_connection = self._h2_connection
        pending = self._pending
        while pending and not self.is_transport_full:
            self._pending = {}
            for stream in pending:
                if not stream.closed and self._send_frame(stream):
                    self._pending[stream] = None
            pending = self._pending
            if h2_connection._data_to_send:
                connection.transport.write(h2_connection.data_to_send())
        data = h2_connection.data_to_send()
        if data:
            connection.transport.write(data)

    def stop(self) -> None:
        """Cancel the scheduled flush and discard the pending streams, after the connection was lost."""
        if self._flush_call is not None and self._flush_call.active():
            self._flush_call.cancel()
        self._pending.clear()

    def _send_frame(self, stream: Stream) -> bool:
        """Send one frame of a stream; return whether the stream can send another frame now."""
        if stream.buffered:
            h2_connection = self._h2_connection
            max_size = h2_connection.sendable_bytes(stream.id)
            if max_size <= 0:
                return False
            chunk = stream.dequeue(max_size)
            is_last = stream.is_ending and not stream.buffered and stream.trailers is None
            if is_last or not h2_connection.send_plain_data(stream.id, chunk):
                h2_connection.send_data(stream.id, chunk, end_stream=is_last)
            if is_last:
                stream.end_sent()
                return False
            stream.resume_producer()
            if stream.buffered:
                return True
        if stream.is_ending and not stream.is_end_sent:
            self._send_end(stream)
        return False

    def _send_end(self, stream: Stream) -> None:
        if stream.trailers is None:
            self._h2_connection.send_data(stream.id, b"", end_stream=True)
        else:
            self._h2_connection.send_headers(stream.id, stream.trailers, end_stream=True)
        stream.end_sent()
