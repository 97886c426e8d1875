"""gRPC server: methods by path, calls with deadlines, graceful drain. Knows nothing of what it serves."""

from collections import Counter
from collections.abc import Callable, Iterable

from h2.errors import ErrorCodes
from h2.events import RequestReceived
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.protocol import Factory
from twisted.logger import Logger
from twisted.python.failure import Failure

from myrtlehub.rpc import framing, metadata
from myrtlehub.rpc.guards import TransportBounds
from myrtlehub.rpc.http2 import EVERY_STREAM, Http2Protocol, Stream
from myrtlehub.rpc.status import Code, Metadata, RpcError, decode_timeout, encode_message

log = Logger()
CONTENT_TYPES = ("application/grpc", "application/grpc+proto")


class Receiver:
    """What a method's handler returns: it is told of messages and of the end. All may be left out."""

    def message(self, data: bytes) -> None:
        """One request message."""

    def finished(self) -> None:
        """The client has sent its last message."""

    def lost(self, code: Code) -> None:
        """The call ended without our doing: cancelled, past its deadline, or its connection broke."""


class ServerCall:
    """One call being served. `deadline` is on the server's clock, None where the client set none."""

    def __init__(
        self,
        server: "Server",
        stream: Stream,
        path: str,
        meta: Metadata,
        encoding: str,
        accepts: tuple[str, ...],
    ) -> None:
        self.server, self.stream, self.path, self.metadata = server, stream, path, meta
        self.deadline: float | None = None
        self.receiver = Receiver()
        self.over = False
        self._timer = None
        self._reader = framing.MessageReader(server.bounds.message, encoding)
        self._begun = False
        self._encoding = "gzip" if server.compress and "gzip" in accepts else "identity"
        self._first: list = []
        stream.on_data, stream.on_end, stream.on_lost = self._data, self._end, self._lost

    @property
    def peer(self) -> str:
        """Address of the client, and which of its connections."""
        return self.stream.protocol.peer

    @property
    def buffered(self) -> int:
        """Bytes that wait here for the client."""
        return self.stream.buffered

    def time_left(self) -> float:
        """Seconds until the deadline; infinite without one."""
        return float("inf") if self.deadline is None else self.deadline - self.server.clock.seconds()

    def set_initial(self, meta: Iterable[tuple[str, str | bytes]]) -> None:
        """Metadata to send ahead of the first message."""
        self._first.extend(metadata.encode(meta))

    def begin(self) -> None:
        """Send the initial metadata now, and not with the first message."""
        if not self.over and not self._begun:
            self._begin()

    def send(self, message: bytes) -> None:
        """Send one message; after the end of the call it is dropped."""
        if self.over:
            return
        if not self._begun:
            self._begin()
        self.stream.write(framing.frame(message, self._encoding))

    def _begin(self) -> None:
        self._begun = True
        headers = [(":status", "200"), ("content-type", "application/grpc+proto")]
        if self._encoding != "identity":
            headers.append(("grpc-encoding", self._encoding))
        headers.append(("grpc-accept-encoding", "identity,gzip"))
        self.stream.protocol.conn.send_headers(self.stream.id, headers + self._first)
        self.stream.protocol.soon()

    def finish(
        self, code: Code = Code.OK, message: str = "", trailers: Iterable[tuple[str, str | bytes]] = ()
    ) -> None:
        """End the call; trailers-only where nothing was sent."""
        if self.over:
            return
        self._close()
        end = [("grpc-status", str(int(code)))]
        if message:
            end.append(("grpc-message", encode_message(message)))
        end += metadata.encode(trailers)
        stream = self.stream
        if self._begun:
            stream.end(end)
        else:
            stream.end([(":status", "200"), ("content-type", "application/grpc+proto"), *self._first, *end])
        if not stream.received_end:
            # The client may still be sending: it is told to stop, once the trailers are out.
            stream.on_data = stream.on_end = lambda *ignored: None
            self.server.clock.callLater(0, self._stop_peer, 20)

    def _stop_peer(self, tries: int) -> None:
        if self.stream.closed:
            return
        if self.stream.sent_end:
            self.stream.reset(ErrorCodes.NO_ERROR)
        elif tries:
            self.server.clock.callLater(0.05, self._stop_peer, tries - 1)
        else:
            self.stream.reset(ErrorCodes.CANCEL)

    def fail(self, fault: RpcError) -> None:
        """End the call with an error."""
        self.finish(fault.status.code, fault.status.message, fault.status.trailers)

    def _close(self) -> None:
        self.over = True
        if self._timer is not None:
            if self._timer.active():
                self._timer.cancel()
            self._timer = None
        self.server.calls.discard(self)

    def _expire(self) -> None:
        if not self.over:
            receiver = self.receiver
            self.finish(Code.DEADLINE_EXCEEDED, "deadline passed")
            receiver.lost(Code.DEADLINE_EXCEEDED)

    def _data(self, data: bytes) -> None:
        if self.over:
            return
        try:
            for message in self._reader.feed(data):
                self.receiver.message(message)
        except RpcError as fault:
            self._broke(fault)
        except Exception:
            self._crashed(Failure())

    def _end(self) -> None:
        if self.over:
            return
        try:
            self._reader.finish()
            self.receiver.finished()
        except RpcError as fault:
            self._broke(fault)
        except Exception:
            self._crashed(Failure())

    def _broke(self, fault: RpcError) -> None:
        receiver = self.receiver
        self.fail(fault)
        receiver.lost(fault.status.code)

    def _crashed(self, failure: Failure) -> None:
        log.failure("handler of {path} failed", failure, path=self.path)
        self._broke(RpcError(Code.INTERNAL, "the handler failed"))

    def _lost(self, error: int | None) -> None:
        if not self.over:
            self._close()
            self.receiver.lost(Code.UNAVAILABLE if error is None else Code.CANCELLED)


Handler = Callable[[ServerCall], Receiver]


class _OneRequest(Receiver):
    def __init__(self, call: ServerCall, run: Callable[[ServerCall, bytes], object], streams: bool) -> None:
        self.call, self.run, self.streams = call, run, streams
        self.request: bytes | None = None
        self.doing: object = None

    def message(self, data: bytes) -> None:
        if self.request is not None:
            raise RpcError(Code.UNIMPLEMENTED, "more than one request message on a call that takes one")
        self.request = data

    def finished(self) -> None:
        if self.request is None:
            raise RpcError(Code.UNIMPLEMENTED, "no request message on a call that takes one")
        if self.streams:
            self.doing = self.run(self.call, self.request)
            return
        self.doing = maybeDeferred(self.run, self.call, self.request)
        self.doing.addCallbacks(self._answer, self._failed)

    def _answer(self, reply: bytes) -> None:
        self.call.send(reply)
        self.call.finish()

    def _failed(self, failure: Failure) -> None:
        if self.call.over:
            return
        if failure.check(RpcError):
            self.call.fail(failure.value)
        else:
            self.call._crashed(failure)

    def lost(self, code: Code) -> None:
        if isinstance(self.doing, Deferred):
            self.doing.addErrback(lambda failure: None)
            self.doing.cancel()
        elif isinstance(self.doing, Receiver):
            self.doing.lost(code)


class _Gather(Receiver):
    def __init__(self, call: ServerCall, run: Callable[[ServerCall, list[bytes]], object]) -> None:
        self.parts: list[bytes] = []
        self.one = _OneRequest(call, lambda call, last: run(call, self.parts), False)

    def message(self, data: bytes) -> None:
        self.parts.append(data)

    def finished(self) -> None:
        self.one.request = b""
        self.one.finished()

    def lost(self, code: Code) -> None:
        self.one.lost(code)


def unary(run: Callable[[ServerCall, bytes], object]) -> Handler:
    """A method of one request and one reply; `run` returns bytes or a Deferred of them."""
    return lambda call: _OneRequest(call, run, False)


def server_stream(run: Callable[[ServerCall, bytes], Receiver | None]) -> Handler:
    """One request, many replies: `run` sends and finishes; the Receiver it returns is told of `lost`."""
    return lambda call: _OneRequest(call, run, True)


def client_stream(run: Callable[[ServerCall, list[bytes]], object]) -> Handler:
    """Many requests, gathered, and one reply."""
    return lambda call: _Gather(call, run)


class ServerProtocol(Http2Protocol):
    """One client's connection."""

    def __init__(self, server: "Server") -> None:
        super().__init__(server.clock, server.bounds)
        self.server = server
        self.peer = self.host = ""
        self._last_seen = 0

    def connectionMade(self) -> None:  # noqa: N802
        peer = self.transport.getPeer()
        self.host = getattr(peer, "host", str(peer))
        self.peer = f"{self.host}:{getattr(peer, 'port', '')}"
        self.server.connections.add(self)
        self.server.by_host[self.host] += 1
        super().connectionMade()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        if self in self.server.connections:
            self.server.connections.discard(self)
            self.server.by_host -= Counter((self.host,))  # drops the name with its last connection
        super().connectionLost(reason)
        self.server.maybe_drained()

    def drain(self) -> None:
        """Take no new stream; close once those that run are over.

        Two GOAWAYs with a ping between, so that a stream on its way when we say it is served, not lost.
        """
        if self.draining or self.lost:
            return
        self.draining = True
        self.conn.go_away(EVERY_STREAM)
        self.conn.ping(b"draining")
        self.clock.callLater(2.0, self.ping_answered, b"draining")
        self.soon()

    def ping_answered(self, data: bytes) -> None:
        if data == b"draining" and self.draining and not self._closing and not self.lost:
            self._closing = True
            self.conn.go_away(self._last_seen)
            self.soon()
            self.stream_gone()

    _closing = False

    def stream_gone(self) -> None:
        if self._closing and not self.streams and not self.lost:
            self.flush()
            self.transport.loseConnection()

    def _on_request(self, event: RequestReceived) -> None:
        self._last_seen = max(self._last_seen, event.stream_id)
        if self._closing or len(self.streams) >= self.bounds.streams:
            self.conn.reset_stream(event.stream_id, ErrorCodes.REFUSED_STREAM)
            self.conn.forget(event.stream_id)
            return
        stream = self.streams[event.stream_id] = Stream(self, event.stream_id)
        self.server.open(stream, event.headers)

    HANDLERS = {**Http2Protocol.HANDLERS, RequestReceived: _on_request}


class Server(Factory):
    """Methods by path, over any number of connections."""

    noisy = False

    def __init__(
        self,
        clock: object,
        bounds: TransportBounds | None = None,
        compress: bool = False,
        most: int = 0,
        most_by_peer: int = 0,
    ) -> None:
        """`most` connections in all, and of one peer's address; 0: any number."""
        self.most, self.most_by_peer = most, most_by_peer
        self.clock, self.bounds, self.compress = clock, bounds or TransportBounds(), compress
        self.methods: dict[str, Handler] = {}
        self.connections: set[ServerProtocol] = set()
        self.by_host: Counter[str] = Counter()  # connections by peer's address
        self.calls: set[ServerCall] = set()
        self._draining: Deferred | None = None

    def add(self, path: str, handler: Handler) -> None:
        """Serve a method; the path is "/package.Service/Method"."""
        self.methods[path] = handler

    def buildProtocol(self, addr: object) -> ServerProtocol | None:  # noqa: N802
        if self.most and len(self.connections) >= self.most:
            return None  # closed at once: the peer backs off
        if self.most_by_peer and self.by_host[getattr(addr, "host", "")] >= self.most_by_peer:
            return None
        return ServerProtocol(self)

    def drain(self) -> Deferred:
        """GOAWAY on all connections; fires once the last is closed."""
        if self._draining is None:
            self._draining = Deferred()
            for connection in list(self.connections):
                connection.drain()
            self.maybe_drained()
        return self._draining

    def maybe_drained(self) -> None:
        """Called as connections go."""
        if self._draining is not None and not self.connections and not self._draining.called:
            self._draining.callback(None)

    def open(self, stream: Stream, headers: list[tuple[str, str]]) -> None:
        """A request's headers came: check them and start its handler."""
        known = dict(headers)
        content = known.get("content-type", "").split(";")[0].strip().lower()
        refuse = None
        if known.get(":method") != "POST":
            refuse = [(":status", "405"), ("allow", "POST")]
        elif not (content in CONTENT_TYPES or content.startswith("application/grpc+")):
            refuse = [(":status", "415")]
        if refuse:
            why = RpcError(Code.UNKNOWN, "not a gRPC request: POST and content-type application/grpc")
            self._refuse(
                stream,
                [*refuse, ("grpc-status", str(int(why.status.code))), ("grpc-message", why.status.message)],
            )
            return
        encoding = known.get("grpc-encoding", "identity")
        accepts = tuple(e.strip() for e in known.get("grpc-accept-encoding", "").split(","))
        path = known.get(":path", "")
        call = ServerCall(self, stream, path, (), encoding, accepts)
        self.calls.add(call)
        try:
            if known.get("te", "").lower() != "trailers":
                raise RpcError(Code.INTERNAL, "header te: trailers is required")
            if encoding not in framing.ENCODINGS:
                raise RpcError(Code.UNIMPLEMENTED, f"grpc-encoding {encoding} is not supported")
            call.metadata = metadata.decode(headers)
            if "grpc-timeout" in known:
                try:
                    left = decode_timeout(known["grpc-timeout"])
                except ValueError as fault:
                    raise RpcError(Code.INTERNAL, str(fault)) from fault
                call.deadline = self.clock.seconds() + left
                call._timer = self.clock.callLater(left, call._expire)
            handler = self.methods.get(path)
            if handler is None:
                raise RpcError(Code.UNIMPLEMENTED, f"unknown method {path}")
            call.receiver = handler(call)
        except RpcError as fault:
            if fault.status.code == Code.UNIMPLEMENTED and encoding not in framing.ENCODINGS:
                call._first.append(("grpc-accept-encoding", "identity,gzip"))
            call.fail(fault)
        except Exception:
            call._crashed(Failure())

    def _refuse(self, stream: Stream, headers: list[tuple[str, str]]) -> None:
        stream.end(headers)
        if not stream.received_end:
            self.clock.callLater(0.2, lambda: None if stream.closed else stream.reset(ErrorCodes.NO_ERROR))
