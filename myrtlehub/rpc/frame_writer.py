"""Sends the queued data of streams, as far as flow control and the transport allow.

Writes are collected and sent once per turn of the reactor: messages that were read together are sent
together. Each round sends one frame per stream, so that streams share the connection evenly.
"""

from typing import Protocol

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc.h2_connection import GracefulH2Connection
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport import Transport


class WrittenConnection(Protocol):
    """What a frame writer requires of its connection."""

    is_lost: bool
    close_reason: str | None
    transport: Transport


class FrameWriter:
    """The sending side of one connection."""

    def __init__(self, connection: WrittenConnection, conn: GracefulH2Connection, clock: Clock) -> None:
        self.is_reading = False  # no flush is scheduled: one follows once the received bytes are processed
        self.is_transport_full = False
        self._connection = connection
        self._conn = conn
        self._clock = clock
        self._pending: dict[Stream, None] = {}  # streams with data to send, in the order of sending
        self._flush_call: Timer | None = None

    def mark(self, stream: Stream) -> None:
        """Send the queued data of this stream at the end of this turn of the reactor."""
        self._pending[stream] = None
        if self._flush_call is None:
            self.schedule_flush()

    def mark_without_flush(self, stream: Stream) -> None:
        """Send the queued data of this stream with the next flush, without scheduling one."""
        if stream.buffered or stream.is_ending:
            self._pending[stream] = None

    def forget(self, stream: Stream) -> None:
        """Send nothing more for this stream."""
        self._pending.pop(stream, None)

    def schedule_flush(self) -> None:
        """Flush at the end of this turn of the reactor."""
        if self._flush_call is None and not self.is_reading and not self._connection.is_lost:
            self._flush_call = self._clock.callLater(0, self._flush_scheduled)

    def _flush_scheduled(self) -> None:
        self._flush_call = None
        self.flush()

    def flush(self) -> None:
        """Send queued data, as far as the flow-control windows and the transport allow."""
        connection = self._connection
        if connection.is_lost or connection.close_reason:
            return
        conn = self._conn
        pending = self._pending
        while pending and not self.is_transport_full:
            self._pending = {}
            for stream in pending:
                if not stream.closed and self._send_frame(stream):
                    self._pending[stream] = None
            pending = self._pending
            if conn._data_to_send:
                connection.transport.write(conn.data_to_send())
        data = conn.data_to_send()
        if data:
            connection.transport.write(data)

    def stop(self) -> None:
        """Send nothing more, after the connection was lost."""
        if self._flush_call is not None and self._flush_call.active():
            self._flush_call.cancel()
        self._pending.clear()

    def _send_frame(self, stream: Stream) -> bool:
        """Send one frame of a stream; return whether the stream has more to send now."""
        if stream.buffered:
            conn = self._conn
            max_size = conn.sendable_bytes(stream.id)
            if max_size <= 0:
                return False
            chunk = stream.take(max_size)
            is_last = stream.is_ending and not stream.buffered and stream.trailers is None
            if is_last or not conn.send_plain_data(stream.id, chunk):
                conn.send_data(stream.id, chunk, end_stream=is_last)
            if is_last:
                stream.end_sent()
                return False
            stream.resume_producer()
            if stream.buffered:
                return True
        if stream.is_ending and not stream.sent_end:
            self._send_end(stream)
        return False

    def _send_end(self, stream: Stream) -> None:
        if stream.trailers is None:
            self._conn.send_data(stream.id, b"", end_stream=True)
        else:
            self._conn.send_headers(stream.id, stream.trailers, end_stream=True)
        stream.end_sent()
