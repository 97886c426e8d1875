"""A loopback proxy of TCP connections between processes; each direction can be cut, delayed or stalled."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from myrtlehub.http1.tcp_transport import TcpProtocol, Transport, is_orderly_close
from myrtlehub.lab.interfaces import ListeningPort, Reactor
from myrtlehub.lab.receive_time import kernel_receive_time

HOST = "127.0.0.1"
LISTEN_BACKLOG = 50  # connections in the accept queue


class NotListeningError(Exception):
    """The address of a proxy was used before it listened."""

    def __init__(self, target: str) -> None:
        super().__init__(f"the proxy of {target} has no address before it listens")


class Direction(StrEnum):
    """A direction of a proxy's connections; the values stand in progress lines."""

    FORWARD = "there"  # from the process that connects to the target
    BACKWARD = "back"


class DirectionState:
    """The faults of one direction."""

    def __init__(self) -> None:
        self.delay = 0.0  # seconds
        self.is_stalled = False  # bytes wait until the proxy is restored


class SocketAddress(Protocol):
    """The address of one end of a TCP connection."""

    @property
    def port(self) -> int:
        """The port."""


class _ClosableTransport(Transport, Protocol):
    """TCP transport that can also be closed gracefully."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once all queued data has been sent."""

    def getHost(self) -> SocketAddress:  # noqa: N802
        """Return the local address."""


class _ProxiedConnection(TcpProtocol):
    """One side of a proxied connection; `peer` is the other side."""

    transport: _ClosableTransport

    def __init__(self, proxy: "FaultProxy", direction: DirectionState) -> None:
        self.proxy = proxy
        self.direction = direction  # of the bytes that are received here
        self.local_port = 0
        self.peer: _ProxiedConnection | None = None
        self.buffered: list[bytes] = []
        self.received_at = 0.0
        self.is_lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target, or begin to forward if this is the connection to the target."""
        super().connectionMade()
        self.local_port = self.transport.getHost().port
        self.proxy.connections.append(self)
        if self.peer is None:
            self.proxy.connect_to_target(self)
        else:
            self.peer.join(self)

    def join(self, peer: "_ProxiedConnection") -> None:
        """Begin to forward to the connection to the target, which is now established."""
        self.peer = peer
        self.flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward bytes, at once or delayed."""
        self.received_at = kernel_receive_time(self.transport)
        self.buffered.append(data)
        if self.direction.delay:
            self.proxy.reactor.callLater(self.direction.delay, self.flush, 1)
        else:
            self.flush()

    def flush(self, max_pieces: int | None = None) -> None:
        """Forward buffered data: all of it, or at most the given number of received chunks."""
        if self.direction.is_stalled or self.peer is None or self.peer.is_lost:
            return
        self.proxy.received_at[self.peer.local_port] = self.received_at
        self.peer.transport.write(b"".join(self.buffered[:max_pieces]))
        del self.buffered[:max_pieces]

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the other connection in the same way, unless this direction is stalled."""
        self.is_lost = True
        if self in self.proxy.connections:
            self.proxy.connections.remove(self)
        if self.peer is None or self.peer.is_lost or self.direction.is_stalled:
            return
        if is_orderly_close(reason):
            self.peer.transport.loseConnection()
        else:
            self.peer.transport.abortConnection()


class FaultProxy(Factory):
    """Listens at `address` and forwards connections to `target`, host:port."""

    noisy = False

    def __init__(
        self, reactor: Reactor, target: str, report: Callable[[str], None] = lambda line: None
    ) -> None:
        self.reactor = reactor
        self.target = target
        self.connections: list[_ProxiedConnection] = []
        self.is_cut = False
        # When the kernel received the latest bytes that were forwarded on a connection, by its local port.
        # Kept after its end, since the target may read the bytes later.
        self.received_at: dict[int, float] = {}
        self._report = report
        self._directions = {direction: DirectionState() for direction in Direction}
        self._port: ListeningPort | None = None

    @property
    def address(self) -> str:
        """The address at which it listens, host:port.

        Raises:
            NotListeningError: it does not listen yet.
        """
        if self._port is None:
            raise NotListeningError(self.target)
        return f"{HOST}:{self._port.getHost().port}"

    def listen(self) -> "FaultProxy":
        """Listen on a free port; return the proxy."""
        self._port = self.reactor.listenTCP(0, self, LISTEN_BACKLOG, HOST)
        return self

    def buildProtocol(self, addr: object) -> _ProxiedConnection | None:  # noqa: N802
        """Accept a connection, unless the proxy is cut."""
        return None if self.is_cut else _ProxiedConnection(self, self._directions[Direction.FORWARD])

    def connect_to_target(self, accepted: _ProxiedConnection) -> None:
        """Connect an accepted connection to the target."""
        host, port = self.target.rsplit(":", 1)
        connection = _ProxiedConnection(self, self._directions[Direction.BACKWARD])
        connection.peer = accepted
        factory = Factory.forProtocol(lambda: connection)
        factory.noisy = False

        def abort(failure: Failure) -> None:
            accepted.transport.abortConnection()

        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port))
        endpoint.connect(factory).addErrback(abort)  # type: ignore[arg-type] # zope interfaces are unknown to mypy

    def cut(self) -> None:
        """Reset all connections, and close new ones at once, until `restore`."""
        self.is_cut = True
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self._report(f"cut to {self.target}")

    def stall(self, *directions: Direction) -> None:
        """Hold back bytes in these directions, or in both if none is named; connections stay open."""
        stalled = directions or tuple(Direction)
        for direction in stalled:
            self._directions[direction].is_stalled = True
        self._report(f"stalled {' and '.join(stalled)} to {self.target}")

    def delay(self, seconds: float, *directions: Direction) -> None:
        """Delay bytes in these directions, or in both if none is named."""
        for direction in directions or tuple(Direction):
            self._directions[direction].delay = seconds

    def restore(self) -> None:
        """End all faults, and forward the bytes that were held back."""
        self.is_cut = False
        for direction in self._directions.values():
            direction.is_stalled = False
            direction.delay = 0.0
        for connection in list(self.connections):
            connection.flush()
        self._report(f"mended to {self.target}")

    def close(self) -> Deferred[None]:
        """Stop listening and reset all connections."""
        self.cut()
        closed = None if self._port is None else self._port.stopListening()
        return succeed(None) if closed is None else closed
