"""Sends what streams have queued, as flow control and the transport allow.

Writes are collected and sent once a turn of the reactor, so messages that were read together are sent
together. Streams take turns by frames.
"""

from typing import TYPE_CHECKING

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc.stream import Stream

if TYPE_CHECKING:
    from myrtlehub.rpc.http2_protocol import Http2Protocol


class FrameWriter:
    """The sending side of one connection."""

    def __init__(self, protocol: "Http2Protocol", clock: Clock) -> None:
        self.is_reading = False  # a flush follows once all that was received is processed
        self.is_transport_full = False
        self._protocol = protocol
        self._conn = protocol.conn
        self._clock = clock
        self._pending: dict[Stream, None] = {}  # streams that have something to send, in their order
        self._flush_call: Timer | None = None

    def mark(self, stream: Stream) -> None:
        """Send what this stream has queued, with the rest of this turn."""
        self._pending[stream] = None
        if self._flush_call is None:
            self.schedule_flush()

    def mark_without_flush(self, stream: Stream) -> None:
        """Send what this stream has queued with the next flush."""
        if stream.buffered or stream.is_ending:
            self._pending[stream] = None

    def forget(self, stream: Stream) -> None:
        """Send nothing more of this stream."""
        self._pending.pop(stream, None)

    def schedule_flush(self) -> None:
        """Flush once this turn is over."""
        if self._flush_call is None and not self.is_reading and not self._protocol.is_lost:
            self._flush_call = self._clock.callLater(0, self._flush_scheduled)

    def _flush_scheduled(self) -> None:
        self._flush_call = None
        self.flush()

    def flush(self) -> None:
        """Send what windows and the transport allow."""
        protocol = self._protocol
        if protocol.is_lost or protocol.close_reason:
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
                protocol.transport.write(conn.data_to_send())
        data = conn.data_to_send()
        if data:
            protocol.transport.write(data)

    def stop(self) -> None:
        """Send nothing more, as the connection is lost."""
        if self._flush_call is not None and self._flush_call.active():
            self._flush_call.cancel()
        self._pending.clear()

    def _send_frame(self, stream: Stream) -> bool:
        """Send one frame of a stream; return whether more could be sent now."""
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
                self._end_sent(stream)
                return False
            stream.drained()
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
        self._end_sent(stream)

    def _end_sent(self, stream: Stream) -> None:
        stream.sent_end = True
        self._protocol.close_if_ended(stream)
