"""A server call, from its request headers to its trailers."""

from collections.abc import Iterable
from typing import Protocol

from h2.errors import ErrorCodes
from twisted.logger import Logger
from twisted.python.failure import Failure

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc import framing, metadata
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.status import Code, Metadata, MetadataItem, RpcError, encode_message
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport_limits import TransportLimits

RESET_CHECK_INTERVAL = 0.05  # seconds between checks whether the trailers were sent
MAX_RESET_CHECKS = 20  # then the stream is reset although flow control still delays the trailers

log = Logger()


class Receiver:
    """Observer of a call's requests, which a method handler returns; the defaults do nothing."""

    def message(self, data: bytes) -> None:
        """Called with each request message."""

    def finished(self) -> None:
        """Called when the client has half-closed the call."""

    def lost(self, code: Code) -> None:
        """Called when the call was cancelled, exceeded its deadline, failed or lost its connection."""


class ServerCallOwner(Protocol):
    """The interface that a call requires of its server."""

    clock: Clock
    limits: TransportLimits
    compress: bool

    def call_ended(self, call: "ServerCall", /) -> None:
        """Called when a call has ended."""


class ServerCall:
    """One call.

    Attributes:
        peer: The client's address, HOST:PORT.
        deadline: Time of the server's clock; None if the client set no deadline.
    """

    def __init__(
        self,
        owner: ServerCallOwner,
        stream: Stream,
        peer: str,
        path: str,
        encoding: str,
        accepted_encodings: Iterable[str],
    ) -> None:
        self.clock = owner.clock
        self.stream = stream
        self.peer = peer
        self.path = path
        self.metadata: Metadata = ()
        self.deadline: float | None = None
        self.receiver = Receiver()
        self.over = False
        self._owner = owner
        self._timer: Timer | None = None
        self._reader = framing.MessageReader(owner.limits.max_message, encoding)
        self._is_initial_metadata_sent = False
        self._encoding = framing.IDENTITY
        if owner.compress and framing.GZIP in accepted_encodings:
            self._encoding = framing.GZIP
        self._initial_metadata: Headers = []
        stream.on_data = self._data_received
        stream.on_end = self._end_received
        stream.on_lost = self._stream_lost

    @property
    def request_timeout(self) -> float:
        """Seconds that the client has for the message of a call that takes one."""
        return self._owner.limits.request_timeout

    @property
    def buffered(self) -> int:
        """Number of bytes queued for the client."""
        return self.stream.buffered

    def set_deadline(self, time_left: float) -> None:
        """Set the deadline `time_left` seconds from now, at which the call ends with DEADLINE_EXCEEDED."""
        self.deadline = self.clock.seconds() + time_left
        self._timer = self.clock.callLater(time_left, self._deadline_passed)

    def time_left(self) -> float:
        """Return the seconds until the deadline; infinite without a deadline."""
        return float("inf") if self.deadline is None else self.deadline - self.clock.seconds()

    def set_initial(self, entries: Iterable[MetadataItem]) -> None:
        """Add entries to the initial metadata."""
        self._initial_metadata.extend(metadata.encode(entries))

    def announce_encodings(self) -> None:
        """Add the accepted encodings to the headers of an error response."""
        self._initial_metadata.append(("grpc-accept-encoding", framing.ACCEPTED_ENCODINGS))

    def begin(self) -> None:
        """Send the initial metadata before the first message is available."""
        if not self.over and not self._is_initial_metadata_sent:
            self._send_initial_metadata()

    def send(self, message: bytes) -> None:
        """Send a message; it is dropped if the call has ended."""
        if self.over:
            return
        if not self._is_initial_metadata_sent:
            self._send_initial_metadata()
        self.stream.write(framing.frame(message, self._encoding))

    def _send_initial_metadata(self) -> None:
        self._is_initial_metadata_sent = True
        headers = [(":status", "200"), ("content-type", "application/grpc+proto")]
        if self._encoding != framing.IDENTITY:
            headers.append(("grpc-encoding", self._encoding))
        headers.append(("grpc-accept-encoding", framing.ACCEPTED_ENCODINGS))
        self.stream.connection.send_headers(self.stream, headers + self._initial_metadata)

    def finish(self, code: Code = Code.OK, message: str = "", trailers: Iterable[MetadataItem] = ()) -> None:
        """End the call; the response is trailers-only if no message or metadata was sent."""
        if self.over:
            return
        self._close()
        status = [("grpc-status", str(int(code)))]
        if message:
            status.append(("grpc-message", encode_message(message)))
        status += metadata.encode(trailers)
        stream = self.stream
        if self._is_initial_metadata_sent:
            stream.end(status)
        else:
            headers = [(":status", "200"), ("content-type", "application/grpc+proto")]
            stream.end([*headers, *self._initial_metadata, *status])
        if not stream.is_end_received:
            # The client may still be sending; a reset after the trailers stops it.
            stream.on_data = _ignore_data
            stream.on_end = _ignore_end
            self.clock.callLater(0, self._reset_after_trailers, MAX_RESET_CHECKS)

    def _reset_after_trailers(self, checks_left: int) -> None:
        if self.stream.closed:
            return
        if self.stream.is_end_sent:
            self.stream.reset(ErrorCodes.NO_ERROR)
        elif checks_left:
            self.clock.callLater(RESET_CHECK_INTERVAL, self._reset_after_trailers, checks_left - 1)
        else:
            self.stream.reset(ErrorCodes.CANCEL)

    def fail(self, error: RpcError) -> None:
        """End the call with an error."""
        self.finish(error.status.code, error.status.message, error.status.trailers)

    def fail_with_internal_error(self, failure: Failure | None = None) -> None:
        """Log an unexpected failure of the handler and end the call with INTERNAL.

        Without a failure, the exception that is being handled is logged.
        """
        log.failure("handler of {path} failed", failure, path=self.path)
        self._abort(RpcError(Code.INTERNAL, "the handler failed"))

    def _abort(self, error: RpcError) -> None:
        receiver = self.receiver
        self.fail(error)
        receiver.lost(error.status.code)

    def _close(self) -> None:
        self.over = True
        if self._timer is not None:
            if self._timer.active():
                self._timer.cancel()
            self._timer = None
        self._owner.call_ended(self)

    def _deadline_passed(self) -> None:
        if not self.over:
            self._abort(RpcError(Code.DEADLINE_EXCEEDED, "deadline passed"))

    def _data_received(self, data: bytes) -> None:
        if self.over:
            return
        try:
            for message in self._reader.feed(data):
                self.receiver.message(message)
        except RpcError as error:
            self._abort(error)
        except Exception:  # noqa: BLE001 - an error of a handler ends only its own call
            self.fail_with_internal_error()

    def _end_received(self) -> None:
        if self.over:
            return
        try:
            self._reader.finish()
            self.receiver.finished()
        except RpcError as error:
            self._abort(error)
        except Exception:  # noqa: BLE001 - an error of a handler ends only its own call
            self.fail_with_internal_error()

    def _stream_lost(self, error: int | None) -> None:
        if not self.over:
            self._close()
            self.receiver.lost(Code.UNAVAILABLE if error is None else Code.CANCELLED)


def _ignore_data(data: bytes) -> None:
    """Discard data that a client sends after the end of its call."""


def _ignore_end() -> None:
    """Ignore END_STREAM of a request after the end of its call."""
