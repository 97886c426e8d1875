"""A gRPC server with a method registry, connection limits and graceful shutdown."""

from collections import Counter

from h2.errors import ErrorCodes
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from myrtlehub.clock import Clock
from myrtlehub.rpc import framing, metadata
from myrtlehub.rpc.metadata import Headers
from myrtlehub.rpc.method_handlers import Handler
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.server_protocol import ServerProtocol
from myrtlehub.rpc.status import Code, RpcError, decode_timeout
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport_limits import TransportLimits

CONTENT_TYPES = ("application/grpc", "application/grpc+proto")
REJECTION_GRACE = 0.2  # seconds before the stream of a rejected request is reset if its body is incomplete


class Server(Factory):
    """Factory of server connections, which dispatches calls to method handlers by path."""

    noisy = False

    def __init__(
        self,
        clock: Clock,
        limits: TransportLimits | None = None,
        compress: bool = False,
        max_connections: int = 0,
        max_connections_per_host: int = 0,
    ) -> None:
        """Create a server; 0 connections as a maximum means no limit."""
        self.clock = clock
        self.limits = limits or TransportLimits()
        self.compress = compress
        self.methods: dict[str, Handler] = {}
        self.connections: set[ServerProtocol] = set()
        self.connections_by_host: Counter[str] = Counter()
        self.calls: set[ServerCall] = set()
        self._max_connections = max_connections
        self._max_connections_per_host = max_connections_per_host
        self._drained: Deferred[None] | None = None

    def add(self, path: str, handler: Handler) -> None:
        """Register the handler of a method; the path has the form "/package.Service/Method"."""
        self.methods[path] = handler

    def buildProtocol(self, addr: IAddress | None) -> ServerProtocol | None:  # noqa: N802
        """Return the protocol of a new connection, or None to reject a connection above a limit."""
        if self._max_connections and len(self.connections) >= self._max_connections:
            return None
        host_limit = self._max_connections_per_host
        if host_limit and self.connections_by_host[getattr(addr, "host", "")] >= host_limit:
            return None
        return ServerProtocol(self)

    def drain(self) -> Deferred[None]:
        """Shut down all connections gracefully; the Deferred fires when the last one is closed."""
        if self._drained is None:
            self._drained = Deferred()
            for connection in list(self.connections):
                connection.drain()
            self.connection_lost()
        return self._drained

    def connection_made(self, connection: ServerProtocol) -> None:
        """Register a connection."""
        self.connections.add(connection)
        self.connections_by_host[connection.host] += 1

    def connection_closed(self, connection: ServerProtocol) -> None:
        """Unregister a connection."""
        if connection in self.connections:
            self.connections.discard(connection)
            # Counter subtraction removes a host whose count becomes 0.
            self.connections_by_host -= Counter((connection.host,))

    def connection_lost(self) -> None:
        """Complete a drain after the last connection."""
        if self._drained is not None and not self.connections and not self._drained.called:
            self._drained.callback(None)

    def open_call(self, stream: Stream, headers: Headers, peer: str) -> None:
        """Validate the headers of a request and start its handler."""
        values = dict(headers)
        rejection = _rejection_headers(values)
        if rejection:
            self._reject(stream, rejection)
            return
        encoding = values.get("grpc-encoding", framing.IDENTITY)
        accepted = tuple(name.strip() for name in values.get("grpc-accept-encoding", "").split(","))
        call = ServerCall(self, stream, peer, values.get(":path", ""), encoding, accepted)
        self.calls.add(call)
        try:
            self._start_handler(call, headers, values, encoding)
        except RpcError as error:
            if error.status.code == Code.UNIMPLEMENTED and encoding not in framing.ENCODINGS:
                call.announce_encodings()
            call.fail(error)
        except Exception:  # noqa: BLE001 - an error of a handler ends only its own call
            call.fail_with_internal_error()

    def _start_handler(
        self, call: ServerCall, headers: Headers, values: dict[str, str], encoding: str
    ) -> None:
        if values.get("te", "").lower() != "trailers":
            raise RpcError(Code.INTERNAL, "header te: trailers is required")
        if encoding not in framing.ENCODINGS:
            raise RpcError(Code.UNIMPLEMENTED, f"grpc-encoding {encoding} is not supported")
        call.metadata = metadata.decode(headers)
        if "grpc-timeout" in values:
            call.set_deadline(_parse_timeout(values["grpc-timeout"]))
        handler = self.methods.get(call.path)
        if handler is None:
            raise RpcError(Code.UNIMPLEMENTED, f"unknown method {call.path}")
        call.receiver = handler(call)

    def call_ended(self, call: ServerCall) -> None:
        """Unregister a call that has ended."""
        self.calls.discard(call)

    def _reject(self, stream: Stream, headers: Headers) -> None:
        error = RpcError(Code.UNKNOWN, "not a gRPC request: POST and content-type application/grpc")
        status = [("grpc-status", str(int(error.status.code))), ("grpc-message", error.status.message)]
        stream.end([*headers, *status])
        if not stream.is_end_received:
            self.clock.callLater(REJECTION_GRACE, _reset_unless_closed, stream)


def _rejection_headers(values: dict[str, str]) -> Headers:
    """Return the response headers that reject a request other than gRPC; empty for a gRPC request."""
    if values.get(":method") != "POST":
        return [(":status", "405"), ("allow", "POST")]
    content_type = values.get("content-type", "").split(";")[0].strip().lower()
    if content_type in CONTENT_TYPES or content_type.startswith("application/grpc+"):
        return []
    return [(":status", "415")]


def _parse_timeout(text: str) -> float:
    try:
        return decode_timeout(text)
    except ValueError as error:
        raise RpcError(Code.INTERNAL, str(error)) from error


def _reset_unless_closed(stream: Stream) -> None:
    if not stream.closed:
        stream.reset(ErrorCodes.NO_ERROR)
