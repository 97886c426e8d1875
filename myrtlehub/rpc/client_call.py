"""A client call, from its request headers to its final status."""

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple, Protocol

from h2.errors import ErrorCodes

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc import framing, metadata
from myrtlehub.rpc.client_protocol import ClientProtocol
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.response_headers import read_header_error, read_status
from myrtlehub.rpc.status import (
    Code,
    Metadata,
    MetadataItem,
    RpcError,
    Status,
    code_from_reset_error,
    encode_timeout,
)
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport import Producer
from myrtlehub.rpc.transport_limits import TransportLimits


class CallWatcher:
    """Observer of a call's replies; `ended` is called exactly once, as the last callback."""

    def headers(self, meta: Metadata) -> None:
        """Called with the initial metadata."""

    def message(self, data: bytes) -> None:
        """Called with each reply message."""

    def ended(self, status: Status) -> None:
        """Called with the final status."""


class ClientCallOwner(Protocol):
    """The interface that a call requires of its channel."""

    clock: Clock
    limits: TransportLimits
    authority: str
    user_agent: str
    encoding: str

    def call_ended(self, call: "ClientCall", /) -> None:
        """Called when a call has ended, before its watcher's `ended`."""


class ProducerRegistration(NamedTuple):
    """A registered producer of request messages, and whether it is a push producer."""

    producer: Producer
    is_push_producer: bool


class ClientCall:
    """One call; messages sent before its stream is open are queued."""

    def __init__(
        self,
        owner: ClientCallOwner,
        path: str,
        request_metadata: Iterable[MetadataItem],
        timeout: float | None,
        watcher: CallWatcher,
    ) -> None:
        self._owner = owner
        self.path = path
        self.watcher = watcher
        self.deadline = None if timeout is None else owner.clock.seconds() + timeout
        self.stream: Stream | None = None
        self.over = False
        self._metadata_headers = metadata.encode(request_metadata)
        self._unsent: list[bytes] = []  # encoded messages, queued until the stream is open
        self._is_half_closed = False
        self._is_paused = False
        self._producer: ProducerRegistration | None = None
        self._reader: framing.MessageReader | None = None
        self._status: Status | None = None  # from the trailers
        self._header_error: Status | None = None  # set if the response headers are not valid for gRPC
        self._timer: Timer | None = None
        if timeout is not None:
            self._timer = owner.clock.callLater(max(0.0, timeout), self._deadline_passed)

    # -- for the caller ---------------------------------------------------------------------------

    def send(self, message: bytes) -> None:
        """Send a request message."""
        data = framing.frame(message, self._owner.encoding)
        if self.stream is not None:
            self.stream.write(data)
        elif not self.over:
            self._unsent.append(data)

    def half_close(self) -> None:
        """End the request stream; no further messages may be sent."""
        self._is_half_closed = True
        if self.stream is not None:
            self.stream.end()

    def cancel(self) -> None:
        """Reset the stream and end the call with CANCELLED."""
        self._end_and_reset(
            Status(Code.CANCELLED, "cancelled by the caller", unprocessed=self.stream is None)
        )

    def pauseProducing(self) -> None:  # noqa: N802
        """Suspend the delivery of replies; HTTP/2 flow control then suspends the peer."""
        self._is_paused = True
        if self.stream is not None:
            self.stream.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the delivery of replies."""
        self._is_paused = False
        if self.stream is not None:
            self.stream.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Cancel the call: its consumer needs no further replies."""
        self.cancel()

    def registerProducer(self, producer: Producer, streaming: bool) -> None:  # noqa: N802
        """Register a producer of request messages, which is suspended while the send buffer is full."""
        self._producer = ProducerRegistration(producer, streaming)
        if self.stream is not None:
            self.stream.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Detach the producer after its last request message."""
        self._producer = None
        if self.stream is not None:
            self.stream.unregisterProducer()

    # -- for the channel --------------------------------------------------------------------------

    def start(self, protocol: ClientProtocol) -> None:
        """Open a stream on an established connection and send the queued messages."""
        stream = self.stream = protocol.open_stream()
        stream.on_headers = self._headers_received
        stream.on_data = self._data_received
        stream.on_end = partial(self._end_received, stream)
        stream.on_lost = partial(self._stream_lost, protocol)
        stream.on_unprocessed = self._stream_unprocessed
        stream.connection.send_headers(stream, self._request_headers())
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
            (":authority", self._owner.authority),
            ("te", "trailers"),
            ("content-type", "application/grpc+proto"),
            ("user-agent", self._owner.user_agent),
        ]
        if self.deadline is not None:
            headers.append(("grpc-timeout", encode_timeout(self.deadline - self._owner.clock.seconds())))
        if self._owner.encoding != framing.IDENTITY:
            headers.append(("grpc-encoding", self._owner.encoding))
        headers.append(("grpc-accept-encoding", framing.ACCEPTED_ENCODINGS))
        return headers + self._metadata_headers

    def end(self, status: Status) -> None:
        """End the call with this status, unless it has already ended."""
        if self.over:
            return
        self.over = True
        self._unsent.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._owner.call_ended(self)
        self.watcher.ended(status)

    def _end_and_reset(self, status: Status) -> None:
        if self.over:
            return
        stream = self.stream
        self.end(status)
        if stream is not None and not stream.closed:
            stream.reset(ErrorCodes.CANCEL)

    def _deadline_passed(self) -> None:
        self._end_and_reset(
            Status(Code.DEADLINE_EXCEEDED, "deadline exceeded", unprocessed=self.stream is None)
        )

    # -- callbacks of the stream ------------------------------------------------------------------

    def _headers_received(self, headers: Headers, is_end: bool) -> None:
        values = dict(headers)
        try:
            response_metadata = metadata.decode(headers)
        except RpcError as error:
            self._end_and_reset(error.status)
            return
        if "grpc-status" in values or is_end:
            self._status = read_status(values, response_metadata)
            return
        self._header_error = read_header_error(values, response_metadata)
        if self._header_error is None:
            encoding = values.get("grpc-encoding", framing.IDENTITY)
            self._reader = framing.MessageReader(self._owner.limits.max_message, encoding)
            self.watcher.headers(response_metadata)

    def _data_received(self, data: bytes) -> None:
        if self.over or self._header_error is not None:
            return
        if self._reader is None:
            self._end_and_reset(Status(Code.INTERNAL, "DATA frame received before the response headers"))
            return
        try:
            self._deliver(self._reader.feed(data))
        except RpcError as error:
            self._end_and_reset(error.status)

    def _deliver(self, messages: list[bytes]) -> None:
        for message in messages:
            if self.over:  # the watcher may cancel the call in any callback
                return
            self.watcher.message(message)

    def _end_received(self, stream: Stream) -> None:
        status = self._status or self._header_error
        if status is None:
            status = Status(Code.INTERNAL, "response ended without trailers")
        elif status.code == Code.OK and self._reader is not None:
            try:
                self._reader.finish()
            except RpcError as error:
                status = error.status
        self.end(status)
        if not stream.is_end_sent and not stream.closed:
            stream.reset(ErrorCodes.CANCEL)  # the peer responded before the request was complete

    def _stream_lost(self, protocol: ClientProtocol, error: int | None) -> None:
        if self._status is not None:  # a reset after the trailers does not change the status
            self.end(self._status)
        elif error is None:
            message = f"connection lost: {protocol.loss_reason}"
            self.end(Status(Code.UNAVAILABLE, message, broken=True))
        else:
            is_refused = error == ErrorCodes.REFUSED_STREAM
            message = f"stream reset by the peer with error code {int(error)}"
            self.end(
                Status(code_from_reset_error(error), message, unprocessed=is_refused, broken=not is_refused)
            )

    def _stream_unprocessed(self) -> None:
        """End the call: by its GOAWAY, the peer did not process the stream."""
        self._end_and_reset(
            Status(Code.UNAVAILABLE, "peer sent GOAWAY before processing the call", unprocessed=True)
        )
