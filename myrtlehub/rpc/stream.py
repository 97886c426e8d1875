"""One HTTP/2 stream: its send queue, flow control in both directions, and how it ends."""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from h2.errors import ErrorCodes
from twisted.internet.interfaces import IConsumer, IPushProducer
from zope.interface import implementer

from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.transport import Producer

if TYPE_CHECKING:
    from myrtlehub.rpc.http2_protocol import Http2Protocol


def _ignore(*arguments: object) -> None:
    """Stand for a callback that nobody has set."""


@implementer(IConsumer, IPushProducer)
class Stream:
    """An IConsumer of what we send, and an IPushProducer of what we receive.

    The owner of the stream sets the callbacks. `on_lost(error code or None)` is called once if the stream
    ends other than by END_STREAM of both sides; `on_refused()` ahead of that, if a GOAWAY says that the peer
    did not process it. While paused, received data stays in a queue here and no window is given back, so
    that the peer stops sending on this stream and on no other.
    """

    def __init__(self, protocol: "Http2Protocol", stream_id: int) -> None:
        self.protocol = protocol
        self.id = stream_id
        self.on_headers: Callable[[Headers, bool], None] = _ignore
        self.on_data: Callable[[bytes], None] = _ignore
        self.on_end: Callable[[], None] = _ignore
        self.on_lost: Callable[[int | None], None] = _ignore
        self.on_refused: Callable[[], None] = _ignore
        self.buffered = 0  # bytes that wait to be sent
        self.bytes_queued = 0  # since the stream began, as the next two
        self.bytes_sent = 0
        self.bytes_dropped = 0
        self.trailers: Headers | None = None
        self.is_ending = False  # END_STREAM is queued
        self.sent_end = False
        self.received_end = False
        self.closed = False
        self.paused = False
        self._writer = protocol.writer
        self._send_buffer = protocol.limits.send_buffer
        self._window = protocol.limits.stream_window
        self._send_queue: deque[bytes] = deque()
        self._is_partly_sent = False  # the first write in the queue
        self._producer: Producer | None = None
        self._is_push_producer = False
        self._is_producer_paused = False
        self._received: deque[bytes] = deque()  # while paused
        self._is_end_delayed = False  # END_STREAM was received, and `on_end` not yet called
        self._unacknowledged = 0  # bytes taken, for which the peer's window was not enlarged yet

    @property
    def is_end_delayed(self) -> bool:
        """Whether the peer's END_STREAM waits for received data to be taken."""
        return self._is_end_delayed

    @property
    def has_delayed_data(self) -> bool:
        """Whether the stream is paused and has data that was not taken."""
        return self.paused and bool(self._received)

    # -- sending ----------------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Queue bytes; beyond the send buffer the registered producer is paused."""
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
        """Queue END_STREAM, with trailers if given."""
        if not (self.closed or self.is_ending):
            self.is_ending = True
            self.trailers = trailers
            self._writer.mark(self)

    def take(self, max_size: int) -> bytes:
        """Remove and return the next bytes to send: whole writes, or a part of one that is too large."""
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
        """Drop what waits, except the rest of a write that is partly sent; return the bytes dropped."""
        rest = self._send_queue.popleft() if self._is_partly_sent and self._send_queue else b""
        dropped = self.buffered - len(rest)
        self._send_queue.clear()
        if rest:
            self._send_queue.append(rest)
        self.buffered = len(rest)
        self.bytes_dropped += dropped
        return dropped

    def reset(self, error: int = ErrorCodes.CANCEL) -> None:
        """Send RST_STREAM now; what was queued is dropped."""
        if not self.closed:
            self.protocol.reset(self, error)

    def registerProducer(self, producer: Producer, streaming: bool) -> None:  # noqa: N802
        """Pause this producer while the peer does not take what we send."""
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
        """Take note that nothing more comes from the producer."""
        self._producer = None

    def drained(self) -> None:
        """Let the producer continue, if enough bytes were sent."""
        if self._producer is None or self.buffered > self._send_buffer // 2:
            return
        if self._is_producer_paused or not self._is_push_producer:
            self._is_producer_paused = False
            self._producer.resumeProducing()

    # -- receiving --------------------------------------------------------------------------------

    def receive(self, data: bytes, flow_controlled_size: int) -> None:
        """Take received data, or queue it while paused."""
        self._unacknowledged += flow_controlled_size
        if self.paused:
            self._received.append(data)
        else:
            self.on_data(data)
            self._enlarge_window()

    def _enlarge_window(self) -> None:
        if self._unacknowledged * 2 >= self._window and not self.received_end:
            self.protocol.enlarge_window(self, self._unacknowledged)
            self._unacknowledged = 0

    def receive_end(self) -> None:
        """Take the peer's END_STREAM."""
        if self._received or self.paused:
            self._is_end_delayed = True
        else:
            self.on_end()

    def pauseProducing(self) -> None:  # noqa: N802
        """Take nothing more: the peer may send what the window still allows."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Take what was queued, and continue."""
        self.paused = False
        while self._received and not self.paused and not self.closed:
            self.on_data(self._received.popleft())
        if self.paused or self.closed:
            return
        self._enlarge_window()
        if self._is_end_delayed:
            self._is_end_delayed = False
            self.on_end()
            self.protocol.close_if_ended(self)

    def stopProducing(self) -> None:  # noqa: N802
        """Reset the stream, as nobody wants it."""
        self.reset(ErrorCodes.CANCEL)

    def lose(self, error: int | None) -> None:
        """End the stream, and tell its owner and the producer."""
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
