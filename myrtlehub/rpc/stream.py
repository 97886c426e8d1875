"""An HTTP/2 stream with its send queue and flow control in both directions."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from h2.errors import ErrorCodes
from twisted.internet.interfaces import IConsumer, IPushProducer
from zope.interface import implementer  # type: ignore[import-untyped]  # zope publishes no types

from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.transport import Producer
from myrtlehub.rpc.transport_limits import TransportLimits


class SendQueue(Protocol):
    """The streams of a connection that have queued data to send."""

    def schedule(self, stream: "Stream", /) -> None:
        """Schedule sending of the queued data of this stream."""


class StreamConnection(Protocol):
    """The interface that a stream requires of its connection."""

    limits: TransportLimits

    @property
    def writer(self) -> SendQueue:
        """The queue to which a stream with data to send adds itself."""

    def send_headers(self, stream: "Stream", headers: Headers, /) -> None:
        """Send the initial headers of a stream."""

    def reset(self, stream: "Stream", error: int, /) -> None:
        """Send RST_STREAM and terminate the stream."""

    def send_window_update(self, stream: "Stream", size: int, /) -> None:
        """Send a WINDOW_UPDATE that returns `size` bytes of this stream's window to the peer."""

    def close_if_ended(self, stream: "Stream", /) -> None:
        """Remove a stream if both endpoints have ended it and its data was consumed."""


def _do_nothing(*arguments: object) -> None:
    """Default callback."""


@implementer(IConsumer, IPushProducer)
class Stream:
    """A consumer of the bytes to send, and a push producer of the received bytes.

    The owner of the stream sets the callbacks. `on_lost` is called once if the stream ends otherwise than by
    END_STREAM from both endpoints, with the error code of the reset, or None if the connection was lost.
    `on_unprocessed` is called before it if a GOAWAY indicates that the peer did not process the stream. While
    the stream is paused, received data is queued and no WINDOW_UPDATE is sent, so that flow control suspends
    this stream and no other.
    """

    def __init__(self, connection: StreamConnection, stream_id: int) -> None:
        self.connection = connection
        self.id = stream_id
        self.on_headers: Callable[[Headers, bool], None] = _do_nothing
        self.on_data: Callable[[bytes], None] = _do_nothing
        self.on_end: Callable[[], None] = _do_nothing
        self.on_lost: Callable[[int | None], None] = _do_nothing
        self.on_unprocessed: Callable[[], None] = _do_nothing
        self.buffered = 0  # bytes in the send queue
        self.bytes_queued = 0  # total since the stream was opened, as in the next two counters
        self.bytes_sent = 0
        self.bytes_dropped = 0
        self.trailers: Headers | None = None
        self.is_ending = False  # END_STREAM is queued
        self.is_end_sent = False
        self.is_end_received = False
        self.closed = False
        self.paused = False
        self._writer = connection.writer
        self._send_buffer = connection.limits.send_buffer
        self._window = connection.limits.stream_window
        self._send_queue: deque[bytes] = deque()
        self._is_first_partly_sent = False  # a part of the first entry in the send queue was sent
        self._producer: Producer | None = None
        self._is_push_producer = False
        self._is_producer_paused = False
        self._max_part = connection.limits.max_frame
        # Data received while the stream is paused; it is joined, because peers choose the size of frames.
        self._received: deque[bytearray] = deque()
        self._is_end_delayed = False  # `on_end` is delayed until the received data is consumed
        self._unacknowledged_bytes = 0  # received, and not yet returned to the peer by WINDOW_UPDATE

    @property
    def is_end_delayed(self) -> bool:
        """Whether the handling of END_STREAM is delayed until the received data is consumed."""
        return self._is_end_delayed

    @property
    def has_delayed_data(self) -> bool:
        """Whether the stream is paused and has received data that is not consumed."""
        return self.paused and bool(self._received)

    # -- sending ----------------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Queue bytes; suspend the producer while more than `send_buffer` bytes are queued."""
        if self.closed or self.is_ending:
            return
        size = len(data)
        self._send_queue.append(data)
        self.buffered += size
        self.bytes_queued += size
        self._writer.schedule(self)
        if self.buffered > self._send_buffer and self._producer and not self._is_producer_paused:
            self._is_producer_paused = True
            if self._is_push_producer:
                self._producer.pauseProducing()

    def end(self, trailers: Headers | None = None) -> None:
        """Queue END_STREAM, with trailers if any; later writes are ignored."""
        if not (self.closed or self.is_ending):
            self.is_ending = True
            self.trailers = trailers
            self._writer.schedule(self)

    def dequeue(self, max_size: int) -> bytes:
        """Remove the next bytes to send: complete writes, or a part of a write larger than `max_size`."""
        queue = self._send_queue
        chunk = queue.popleft()
        size = len(chunk)
        if queue and size < max_size:
            parts = [chunk]
            while queue and size + len(queue[0]) <= max_size:
                part = queue.popleft()
                parts.append(part)
                size += len(part)
            chunk = b"".join(parts)
        self._is_first_partly_sent = size > max_size
        if self._is_first_partly_sent:
            queue.appendleft(chunk[max_size:])
            chunk = chunk[:max_size]
            size = max_size
        self.buffered -= size
        self.bytes_sent += size
        return chunk

    def drop(self) -> int:
        """Drop queued writes, except the remainder of a partly sent one; return the dropped bytes."""
        unsent_part = self._send_queue.popleft() if self._is_first_partly_sent and self._send_queue else b""
        dropped = self.buffered - len(unsent_part)
        self._send_queue.clear()
        if unsent_part:
            self._send_queue.append(unsent_part)
        self.buffered = len(unsent_part)
        self.bytes_dropped += dropped
        return dropped

    def reset(self, error: int = ErrorCodes.CANCEL) -> None:
        """Close the stream with RST_STREAM and drop queued data."""
        if not self.closed:
            self.connection.reset(self, error)

    def registerProducer(self, producer: Producer, streaming: bool) -> None:  # noqa: N802
        """Register a producer, which is suspended while the send queue is full."""
        if self._producer is not None:
            raise RuntimeError("a producer is already registered")
        if self.closed:
            producer.stopProducing()
            return
        self._producer = producer
        self._is_push_producer = streaming
        self._is_producer_paused = False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Detach the producer after its last write."""
        self._producer = None

    def end_sent(self) -> None:
        """Record that END_STREAM was sent."""
        self.is_end_sent = True
        self.connection.close_if_ended(self)

    def resume_producer(self) -> None:
        """Resume the producer if the queue is at most half of the send buffer."""
        if self._producer is None or self.buffered > self._send_buffer // 2:
            return
        if self._is_producer_paused or not self._is_push_producer:
            self._is_producer_paused = False
            self._producer.resumeProducing()

    # -- receiving --------------------------------------------------------------------------------

    def receive(self, data: bytes, flow_controlled_size: int) -> None:
        """Deliver received data, or queue it while paused."""
        self._unacknowledged_bytes += flow_controlled_size
        if self.paused:
            self._append_received(data)
        else:
            self.on_data(data)
            self._update_window()

    def _append_received(self, data: bytes) -> None:
        if self._received and len(self._received[-1]) + len(data) <= self._max_part:
            self._received[-1] += data
        else:
            self._received.append(bytearray(data))

    def _update_window(self) -> None:
        if self._unacknowledged_bytes * 2 >= self._window and not self.is_end_received:
            self.connection.send_window_update(self, self._unacknowledged_bytes)
            self._unacknowledged_bytes = 0

    def receive_end(self) -> None:
        """Process END_STREAM; if the stream is paused, after its queued data."""
        if self._received or self.paused:
            self._is_end_delayed = True
        else:
            self.on_end()

    def pauseProducing(self) -> None:  # noqa: N802
        """Suspend delivery; the peer may still send until its window is exhausted."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Deliver queued data and resume delivery."""
        self.paused = False
        while self._received and not self.paused and not self.closed:
            self.on_data(bytes(self._received.popleft()))
        if self.paused or self.closed:
            return
        self._update_window()
        if self._is_end_delayed:
            self._is_end_delayed = False
            self.on_end()
            self.connection.close_if_ended(self)

    def stopProducing(self) -> None:  # noqa: N802
        """Reset the stream: its consumer needs no further data."""
        self.reset(ErrorCodes.CANCEL)

    def terminate(self, error: int | None) -> None:
        """Close the stream without END_STREAM, stop its producer and notify its owner."""
        if self.closed:
            return
        self.closed = True
        self._send_queue.clear()
        self.bytes_dropped += self.buffered
        self.buffered = 0
        self._received.clear()
        producer = self._producer
        self._producer = None
        if producer is not None:
            producer.stopProducing()
        self.on_lost(error)
