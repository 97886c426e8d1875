"""One call that a server processes, from its headers to its trailers."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from h2.errors import ErrorCodes
from twisted.logger import Logger
from twisted.python.failure import Failure

from myrtlehub.clock import Timer
from myrtlehub.rpc import framing, metadata
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.status import Code, Metadata, RpcError, encode_message
from myrtlehub.rpc.stream import Stream

if TYPE_CHECKING:
    from myrtlehub.rpc.server import Server

RESET_DELAY = 0.05  # seconds between looks whether the trailers are sent
RESET_TRIES = 20

log = Logger()


class Receiver:
    """What a method's handler returns: it is told of messages and of the end. All may be left out."""

    def message(self, data: bytes) -> None:
        """Take one request message."""

    def finished(self) -> None:
        """Take note that the client has sent its last message."""

    def lost(self, code: Code) -> None:
        """Take note that the call is over: cancelled, past its deadline, or its connection broke."""


class ServerCall:
    """One call. `deadline` is on the server's clock, None where the client set none."""

    def __init__(
        self,
        server: "Server",
        stream: Stream,
        path: str,
        meta: Metadata,
        encoding: str,
        accepted_encodings: Iterable[str],
    ) -> None:
        self.server = server
        self.stream = stream
        self.path = path
        self.metadata = meta
        self.deadline: float | None = None
        self.receiver = Receiver()
        self.over = False
        self._timer: Timer | None = None
        self._reader = framing.MessageReader(server.limits.max_message, encoding)
        self._is_begun = False  # the initial metadata is sent
        self._encoding = framing.IDENTITY
        if server.compress and framing.GZIP in accepted_encodings:
            self._encoding = framing.GZIP
        self._initial_metadata: Headers = []
        stream.on_data = self._data_received
        stream.on_end = self._end_received
        stream.on_lost = self._stream_lost

    @property
    def peer(self) -> str:
        """Address of the client, with the port of its connection."""
        return self.stream.protocol.peer

    @property
    def buffered(self) -> int:
        """Bytes that wait here for the client."""
        return self.stream.buffered

    def set_deadline(self, time_left: float) -> None:
        """End the call with DEADLINE_EXCEEDED after so many seconds."""
        clock = self.server.clock
        self.deadline = clock.seconds() + time_left
        self._timer = clock.callLater(time_left, self._deadline_passed)

    def time_left(self) -> float:
        """Return the seconds until the deadline; infinite without one."""
        return float("inf") if self.deadline is None else self.deadline - self.server.clock.seconds()

    def set_initial(self, meta: Iterable[tuple[str, str | bytes]]) -> None:
        """Set metadata to be sent ahead of the first message."""
        self._initial_metadata.extend(metadata.encode(meta))

    def announce_encodings(self) -> None:
        """Tell the client which encodings are accepted, ahead of an error."""
        self._initial_metadata.append(("grpc-accept-encoding", framing.ACCEPTED_ENCODINGS))

    def begin(self) -> None:
        """Send the initial metadata now, and not with the first message."""
        if not self.over and not self._is_begun:
            self._send_initial_metadata()

    def send(self, message: bytes) -> None:
        """Send one message; after the end of the call it is dropped."""
        if self.over:
            return
        if not self._is_begun:
            self._send_initial_metadata()
        self.stream.write(framing.frame(message, self._encoding))

    def _send_initial_metadata(self) -> None:
        self._is_begun = True
        headers = [(":status", "200"), ("content-type", "application/grpc+proto")]
        if self._encoding != framing.IDENTITY:
            headers.append(("grpc-encoding", self._encoding))
        headers.append(("grpc-accept-encoding", framing.ACCEPTED_ENCODINGS))
        protocol = self.stream.protocol
        protocol.conn.send_headers(self.stream.id, headers + self._initial_metadata)
        protocol.writer.schedule_flush()

    def finish(
        self, code: Code = Code.OK, message: str = "", trailers: Iterable[tuple[str, str | bytes]] = ()
    ) -> None:
        """End the call, by trailers alone where nothing was sent."""
        if self.over:
            return
        self._close()
        status = [("grpc-status", str(int(code)))]
        if message:
            status.append(("grpc-message", encode_message(message)))
        status += metadata.encode(trailers)
        stream = self.stream
        if self._is_begun:
            stream.end(status)
        else:
            headers = [(":status", "200"), ("content-type", "application/grpc+proto")]
            stream.end([*headers, *self._initial_metadata, *status])
        if not stream.received_end:
            # The client may still be sending: it is told to stop, once the trailers are sent.
            stream.on_data = _ignore_data
            stream.on_end = _ignore_end
            self.server.clock.callLater(0, self._stop_client, RESET_TRIES)

    def _stop_client(self, tries_left: int) -> None:
        if self.stream.closed:
            return
        if self.stream.sent_end:
            self.stream.reset(ErrorCodes.NO_ERROR)
        elif tries_left:
            self.server.clock.callLater(RESET_DELAY, self._stop_client, tries_left - 1)
        else:
            self.stream.reset(ErrorCodes.CANCEL)

    def fail(self, error: RpcError) -> None:
        """End the call with an error."""
        self.finish(error.status.code, error.status.message, error.status.trailers)

    def crash(self, failure: Failure) -> None:
        """End the call, as its handler failed by an error of its own."""
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
        self.server.calls.discard(self)

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
        except Exception:  # noqa: BLE001 - whatever a handler raises ends its call and no other
            self.crash(Failure())

    def _end_received(self) -> None:
        if self.over:
            return
        try:
            self._reader.finish()
            self.receiver.finished()
        except RpcError as error:
            self._abort(error)
        except Exception:  # noqa: BLE001 - whatever a handler raises ends its call and no other
            self.crash(Failure())

    def _stream_lost(self, error: int | None) -> None:
        if not self.over:
            self._close()
            self.receiver.lost(Code.UNAVAILABLE if error is None else Code.CANCELLED)


def _ignore_data(data: bytes) -> None:
    """Drop what a client sends after its call is over."""


def _ignore_end() -> None:
    """Drop the end of a request whose call is over."""
