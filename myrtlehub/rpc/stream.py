"""One HTTP/2 stream: its send queue, flow control in both directions, and how it ends."""

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
    """The set of a connection's streams that have queued data to send."""

    def mark(self, stream: "Stream", /) -> None:
        """Send the queued data of this stream at the end of this turn of the reactor."""


class StreamConnection(Protocol):
    """What a stream requires of its connection."""

    limits: TransportLimits

    @property
    def writer(self) -> SendQueue:
        """The queue to which the stream adds itself when it has data to send."""

    def send_headers(self, stream: "Stream", headers: Headers, /) -> None:
        """Send the first headers of a stream."""

    def reset(self, stream: "Stream", error: int, /) -> None:
        """Send RST_STREAM, and end the stream."""

    def enlarge_window(self, stream: "Stream", size: int, /) -> None:
        """Allow the peer to send `size` more bytes on this stream."""

    def close_if_ended(self, stream: "Stream", /) -> None:
        """Remove a stream if both sides have ended it and its data was consumed."""


def _ignore(*arguments: object) -> None:
    """Do nothing: the default of callbacks that the owner does not set."""


@implementer(IConsumer, IPushProducer)
class Stream:
    """A consumer of the bytes to be sent, and a push producer of the bytes received.

    The owner of the stream sets the callbacks. `on_lost` is called once if the stream ends in another way
    than by END_STREAM of both sides, with the error code of the reset, or None if the connection was lost.
    `on_unprocessed` is called before it if a GOAWAY says that the peer did not process the stream. While the
    stream is paused, received data is queued here and no window is returned, so that the peer stops sending
    on this stream and on no other.
    """

    def __init__(self, connection: StreamConnection, stream_id: int) -> None:
        self.connection = connection
        self.id = stream_id
        self.on_headers: Callable[[Headers, bool], None] = _ignore
        self.on_data: Callable[[bytes], None] = _ignore
        self.on_end: Callable[[], None] = _ignore
        self.on_lost: Callable[[int | None], None] = _ignore
        self.on_unprocessed: Callable[[], None] = _ignore
        self.buffered = 0  # bytes queued now
        self.bytes_queued = 0  # since the stream was opened, like the next two
        self.bytes_sent = 0
        self.bytes_dropped = 0
        self.trailers: Headers | None = None
        self.is_ending = False  # END_STREAM is queued
        self.sent_end = False
        self.received_end = False
        self.closed = False
        self.paused = False
        self._writer = connection.writer
        self._send_buffer = connection.limits.send_buffer
        self._window = connection.limits.stream_window
        self._send_queue: deque[bytes] = deque()
        self._is_partly_sent = False  # a part of the first write in the queue was sent
        self._producer: Producer | None = None
        self._is_push_producer = False
        self._is_producer_paused = False
        self._received: deque[bytes] = deque()  # data that was received while the stream is paused
        self._is_end_delayed = False  # END_STREAM was received, but `on_end` waits for paused data
        self._unacknowledged = 0  # bytes received that no WINDOW_UPDATE has returned to the peer yet

    @property
    def is_end_delayed(self) -> bool:
        """Whether the peer's END_STREAM waits until received data is consumed."""
        return self._is_end_delayed

    @property
    def has_delayed_data(self) -> bool:
        """Whether the stream is paused and holds data that was not consumed."""
        return self.paused and bool(self._received)

    # -- sending ----------------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Queue bytes; suspend the registered producer if more than `send_buffer` bytes are queued."""
        if self.closed or self.is_ending:
            return
        size = len(data)
        self._send_queue.append(data)
        self.buffered += size
        self.bytes_queued += size
        self._writer.mark(self)
        if self.buffered > self._send_buffer and self._producer and not self._is_producer_paused:
            self._is_producer_paused = True
            if self._is_push_producer:
                self._producer.pauseProducing()

    def end(self, trailers: Headers | None = None) -> None:
        """Queue END_STREAM, with trailers if given; later writes are ignored."""
        if not (self.closed or self.is_ending):
            self.is_ending = True
            self.trailers = trailers
            self._writer.mark(self)

    def take(self, max_size: int) -> bytes:
        """Remove and return the next bytes to send: complete writes, or a part of one above `max_size`."""
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
        self._is_partly_sent = size > max_size
        if self._is_partly_sent:
            queue.appendleft(chunk[max_size:])
            chunk = chunk[:max_size]
            size = max_size
        self.buffered -= size
        self.bytes_sent += size
        return chunk

    def drop(self) -> int:
        """Drop queued writes except the rest of one that is partly sent; return the bytes dropped."""
        rest = self._send_queue.popleft() if self._is_partly_sent and self._send_queue else b""
        dropped = self.buffered - len(rest)
        self._send_queue.clear()
        if rest:
            self._send_queue.append(rest)
        self.buffered = len(rest)
        self.bytes_dropped += dropped
        return dropped

    def reset(self, error: int = ErrorCodes.CANCEL) -> None:
        """Send RST_STREAM and drop queued data; the stream is closed."""
        if not self.closed:
            self.connection.reset(self, error)

    def registerProducer(self, producer: Producer, streaming: bool) -> None:  # noqa: N802
        """Suspend this producer while the peer does not accept our data."""
        if self._producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.closed:
            producer.stopProducing()
            return
        self._producer = producer
        self._is_push_producer = streaming
        self._is_producer_paused = False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Detach the producer: it has produced everything."""
        self._producer = None

    def end_sent(self) -> None:
        """Record that END_STREAM was sent."""
        self.sent_end = True
        self.connection.close_if_ended(self)

    def resume_producer(self) -> None:
        """Resume the producer if the queue has shrunk to half of the send buffer."""
        if self._producer is None or self.buffered > self._send_buffer // 2:
            return
        if self._is_producer_paused or not self._is_push_producer:
            self._is_producer_paused = False
            self._producer.resumeProducing()

    # -- receiving --------------------------------------------------------------------------------

    def receive(self, data: bytes, flow_controlled_size: int) -> None:
        """Pass received data to the owner, or queue it while paused."""
        self._unacknowledged += flow_controlled_size
        if self.paused:
            self._received.append(data)
        else:
            self.on_data(data)
            self._enlarge_window()

    def _enlarge_window(self) -> None:
        if self._unacknowledged * 2 >= self._window and not self.received_end:
            self.connection.enlarge_window(self, self._unacknowledged)
            self._unacknowledged = 0

    def receive_end(self) -> None:
        """Process the peer's END_STREAM, after queued data if the stream is paused."""
        if self._received or self.paused:
            self._is_end_delayed = True
        else:
            self.on_end()

    def pauseProducing(self) -> None:  # noqa: N802
        """Suspend delivery: the peer may still send as much as the window allows."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Deliver queued data, and resume delivery."""
        self.paused = False
        while self._received and not self.paused and not self.closed:
            self.on_data(self._received.popleft())
        if self.paused or self.closed:
            return
        self._enlarge_window()
        if self._is_end_delayed:
            self._is_end_delayed = False
            self.on_end()
            self.connection.close_if_ended(self)

    def stopProducing(self) -> None:  # noqa: N802
        """Reset the stream, as its consumer needs no more data."""
        self.reset(ErrorCodes.CANCEL)

    def lose(self, error: int | None) -> None:
        """Close the stream, stop its producer and notify its owner."""
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
