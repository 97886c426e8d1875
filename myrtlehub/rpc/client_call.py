"""One call of a client, from its request to its status."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from h2.errors import ErrorCodes

from myrtlehub.clock import Timer
from myrtlehub.rpc import framing, metadata
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.status import (
    Code,
    Metadata,
    RpcError,
    Status,
    decode_message,
    encode_timeout,
    from_http,
    from_reset,
    parse_code,
)
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport import Producer

if TYPE_CHECKING:
    from myrtlehub.rpc.channel import Channel
    from myrtlehub.rpc.client_protocol import ClientProtocol


class CallWatcher:
    """What is told of a call's replies. `ended` is called once, always, and last."""

    def headers(self, meta: Metadata) -> None:
        """Take the initial metadata."""

    def message(self, data: bytes) -> None:
        """Take one reply message."""

    def ended(self, status: Status) -> None:
        """Take the status: the call is over."""


class ProducerRegistration(NamedTuple):
    """A producer of request messages."""

    producer: Producer
    is_push_producer: bool


class ClientCall:
    """One call. What is sent before the connection is established waits for it."""

    def __init__(
        self,
        channel: "Channel",
        path: str,
        meta: Iterable[tuple[str, str | bytes]],
        timeout: float | None,
        watcher: CallWatcher,
    ) -> None:
        self.channel = channel
        self.path = path
        self.watcher = watcher
        self.deadline = None if timeout is None else channel.clock.seconds() + timeout
        self.stream: Stream | None = None
        self.over = False
        self._meta = metadata.encode(meta)
        self._unsent: list[bytes] = []
        self._is_half_closed = False
        self._is_paused = False
        self._producer: ProducerRegistration | None = None
        self._reader: framing.MessageReader | None = None
        self._status: Status | None = None  # from the trailers
        self._header_fault: Status | None = None  # of headers that are no gRPC response
        self._timer: Timer | None = None
        if timeout is not None:
            self._timer = channel.clock.callLater(max(0.0, timeout), self._deadline_passed)

    # -- what the owner does ----------------------------------------------------------------------

    def send(self, message: bytes) -> None:
        """Send one request message."""
        data = framing.frame(message, self.channel.encoding)
        if self.stream is not None:
            self.stream.write(data)
        elif not self.over:
            self._unsent.append(data)

    def half_close(self) -> None:
        """End the request: nothing more will be sent."""
        self._is_half_closed = True
        if self.stream is not None:
            self.stream.end()

    def cancel(self) -> None:
        """Stop: the peer gets RST_STREAM, and the watcher CANCELLED."""
        self._stop(Status(Code.CANCELLED, "cancelled here", unprocessed=self.stream is None))

    def pauseProducing(self) -> None:  # noqa: N802
        """Take no more replies for now; flow control stops the peer."""
        self._is_paused = True
        if self.stream is not None:
            self.stream.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Take replies again."""
        self._is_paused = False
        if self.stream is not None:
            self.stream.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Cancel, as nobody wants the replies any more."""
        self.cancel()

    def registerProducer(self, producer: Producer, streaming: bool) -> None:  # noqa: N802
        """Pause this producer of request messages while the peer does not take them."""
        self._producer = ProducerRegistration(producer, streaming)
        if self.stream is not None:
            self.stream.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Take note that all request messages were made."""
        self._producer = None
        if self.stream is not None:
            self.stream.unregisterProducer()

    # -- what the channel does --------------------------------------------------------------------

    def start(self, protocol: "ClientProtocol") -> None:
        """Open a stream on an established connection, and send what waits."""
        stream = self.stream = Stream(protocol, protocol.conn.get_next_available_stream_id())
        protocol.streams[stream.id] = stream
        stream.on_headers = self._headers_received
        stream.on_data = self._data_received
        stream.on_end = self._end_received
        stream.on_lost = self._stream_lost
        stream.on_refused = self._refused
        protocol.conn.send_headers(stream.id, self._request_headers())
        protocol.writer.schedule_flush()
        if self._is_paused:
            stream.pauseProducing()
        for data in self._unsent:
            stream.write(data)
        self._unsent.clear()
        if self._producer is not None:
            stream.registerProducer(*self._producer)
        if self._is_half_closed:
            stream.end()

    def _request_headers(self) -> Headers:
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", self.path),
            (":authority", self.channel.authority),
            ("te", "trailers"),
            ("content-type", "application/grpc+proto"),
            ("user-agent", self.channel.user_agent),
        ]
        if self.deadline is not None:
            headers.append(("grpc-timeout", encode_timeout(self.deadline - self.channel.clock.seconds())))
        if self.channel.encoding != framing.IDENTITY:
            headers.append(("grpc-encoding", self.channel.encoding))
        headers.append(("grpc-accept-encoding", framing.ACCEPTED_ENCODINGS))
        return headers + self._meta

    def conclude(self, status: Status) -> None:
        """End the call with this status; nothing happens if it is over."""
        if self.over:
            return
        self.over = True
        self._unsent.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.channel.call_ended(self)
        self.watcher.ended(status)

    def _stop(self, status: Status) -> None:
        if self.over:
            return
        stream = self.stream
        self.conclude(status)
        if stream is not None and not stream.closed:
            stream.reset(ErrorCodes.CANCEL)

    def _deadline_passed(self) -> None:
        self._stop(Status(Code.DEADLINE_EXCEEDED, "deadline passed here", unprocessed=self.stream is None))

    # -- what the stream receives -----------------------------------------------------------------

    def _headers_received(self, headers: Headers, is_end: bool) -> None:
        values = dict(headers)
        try:
            meta = metadata.decode(headers)
        except RpcError as error:
            self._stop(error.status)
            return
        if "grpc-status" in values or is_end:
            self._status = _read_status(values, meta)
            return
        self._header_fault = _read_header_fault(values, meta)
        if self._header_fault is None:
            encoding = values.get("grpc-encoding", framing.IDENTITY)
            self._reader = framing.MessageReader(self.channel.limits.max_message, encoding)
            self.watcher.headers(meta)

    def _data_received(self, data: bytes) -> None:
        if self.over or self._header_fault is not None:
            return
        if self._reader is None:
            self._stop(Status(Code.INTERNAL, "data before headers"))
            return
        try:
            for message in self._reader.feed(data):
                self.watcher.message(message)
                if self.over:
                    return
        except RpcError as error:
            self._stop(error.status)

    def _end_received(self) -> None:
        status = self._status or self._header_fault
        if status is None:
            status = Status(Code.INTERNAL, "stream ended without trailers")
        elif status.code == Code.OK and self._reader is not None:
            try:
                self._reader.finish()
            except RpcError as error:
                status = error.status
        stream = self.stream
        self.conclude(status)
        if not stream.sent_end and not stream.closed:
            stream.reset(ErrorCodes.CANCEL)  # it answered before the request was complete

    def _stream_lost(self, error: int | None) -> None:
        if self._status is not None:  # trailers came, then a reset: the answer is valid
            self.conclude(self._status)
        elif error is None:
            reason = self.stream.protocol.loss_reason
            self.conclude(Status(Code.UNAVAILABLE, f"connection lost: {reason}", broken=True))
        else:
            is_refused = error == ErrorCodes.REFUSED_STREAM
            message = f"stream reset by peer, error {int(error)}"
            self.conclude(Status(from_reset(error), message, unprocessed=is_refused, broken=not is_refused))

    def _refused(self) -> None:
        """End the call: a GOAWAY says that the peer's application did not see it."""
        self._stop(Status(Code.UNAVAILABLE, "peer is going away; call was not processed", unprocessed=True))


def _http_code(text: str) -> Code:
    return from_http(int(text) if text.isdigit() else 0)


def _read_status(values: dict[str, str], meta: Metadata) -> Status:
    """Return the status that trailers give."""
    if "grpc-status" in values:
        message = decode_message(values.get("grpc-message", ""))
        return Status(parse_code(values["grpc-status"]), message, meta)
    http = values.get(":status", "")
    if http and http != "200":
        return Status(_http_code(http), f"HTTP status {http}", meta)
    return Status(Code.INTERNAL, "stream ended without grpc-status", meta)


def _read_header_fault(values: dict[str, str], meta: Metadata) -> Status | None:
    """Return why headers are no gRPC response, or None."""
    http = values.get(":status", "")
    if http != "200":
        return Status(_http_code(http), f"HTTP status {http} instead of a gRPC answer", meta)
    content_type = values.get("content-type", "")
    if not content_type.startswith("application/grpc"):
        return Status(Code.UNKNOWN, f"content-type {content_type!r} is not gRPC's", meta)
    return None
