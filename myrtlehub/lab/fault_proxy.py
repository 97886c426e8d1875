"""A loopback proxy of TCP connections between processes; each direction can be cut, delayed or stalled."""

from collections.abc import Callable
from enum import StrEnum

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from myrtlehub.lab.interfaces import Reactor

HOST = "127.0.0.1"


class Direction(StrEnum):
    """A direction of a proxy's connections."""

    FORWARD = "there"  # from who dials to who listens
    BACKWARD = "back"


class DirectionState:
    """What happens to bytes in one direction."""

    def __init__(self) -> None:
        self.delay = 0.0  # seconds
        self.is_stalled = False  # bytes wait until the proxy is restored


class _ProxiedConnection(Protocol):
    """One of the two connections of a proxied one; `peer` is the other."""

    def __init__(self, proxy: "FaultProxy", direction: DirectionState) -> None:
        self.proxy = proxy
        self.direction = direction  # of what is received here
        self.peer: _ProxiedConnection | None = None
        self.buffered: list[bytes] = []
        self.is_lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connect onwards, or begin to forward where this is the onward connection."""
        self.transport.setTcpNoDelay(True)
        self.proxy.connections.append(self)
        if self.peer is None:
            self.proxy.connect_onwards(self)
        else:
            self.peer.join(self)

    def join(self, peer: "_ProxiedConnection") -> None:
        """Take the onward connection that was made."""
        self.peer = peer
        self.flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward bytes, at once or delayed."""
        self.buffered.append(data)
        if self.direction.delay:
            self.proxy.reactor.callLater(self.direction.delay, self.flush, 1)
        else:
            self.flush()

    def flush(self, max_pieces: int = 0) -> None:
        """Forward what is buffered: all of it, or so many pieces."""
        if self.direction.is_stalled or self.peer is None or self.peer.is_lost:
            return
        pieces = max_pieces or len(self.buffered)
        self.peer.transport.write(b"".join(self.buffered[:pieces]))
        del self.buffered[:pieces]

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Close the other connection too, unless this direction is stalled, as if a machine were cut off."""
        self.is_lost = True
        if self in self.proxy.connections:
            self.proxy.connections.remove(self)
        if self.peer is not None and not self.peer.is_lost and not self.direction.is_stalled:
            self.peer.transport.loseConnection()


class FaultProxy(Factory):
    """Listens at `address` and forwards to `target`, host:port."""

    noisy = False

    def __init__(
        self, reactor: Reactor, target: str, report: Callable[[str], None] = lambda line: None
    ) -> None:
        self.reactor = reactor
        self.target = target
        self.connections: list[_ProxiedConnection] = []
        self.is_cut = False
        self.address = ""
        self._report = report
        self._directions = {direction: DirectionState() for direction in Direction}
        self._port: IListeningPort | None = None

    def listen(self) -> "FaultProxy":
        """Begin; `address` is known from then on."""
        ports: list[IListeningPort] = []
        TCP4ServerEndpoint(self.reactor, 0, interface=HOST).listen(self).addCallback(ports.append)
        self._port = ports[0]
        self.address = f"{HOST}:{self._port.getHost().port}"
        return self

    def buildProtocol(self, addr: IPv4Address) -> _ProxiedConnection | None:  # noqa: N802
        """Accept a connection, unless the proxy is cut."""
        return None if self.is_cut else _ProxiedConnection(self, self._directions[Direction.FORWARD])

    def connect_onwards(self, accepted: _ProxiedConnection) -> None:
        """Connect an accepted connection to the target."""
        host, port = self.target.rsplit(":", 1)
        onward = _ProxiedConnection(self, self._directions[Direction.BACKWARD])
        onward.peer = accepted
        factory = Factory.forProtocol(lambda: onward)
        factory.noisy = False
        TCP4ClientEndpoint(self.reactor, host, int(port)).connect(factory).addErrback(
            lambda failure: accepted.transport.abortConnection()
        )

    def cut(self) -> None:
        """Reset all connections, and close new ones as they come, until `restore`."""
        self.is_cut = True
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self._report(f"cut to {self.target}")

    def stall(self, *directions: Direction) -> None:
        """Have bytes wait in these directions (both where none is named); neither end is told."""
        stalled = directions or tuple(Direction)
        for direction in stalled:
            self._directions[direction].is_stalled = True
        self._report(f"stalled {' and '.join(stalled)} to {self.target}")

    def delay(self, seconds: float, *directions: Direction) -> None:
        """Delay bytes in these directions."""
        for direction in directions or tuple(Direction):
            self._directions[direction].delay = seconds

    def restore(self) -> None:
        """End all faults; what waited is forwarded."""
        self.is_cut = False
        for direction in self._directions.values():
            direction.is_stalled = False
            direction.delay = 0.0
        for connection in list(self.connections):
            connection.flush()
        self._report(f"mended to {self.target}")

    def close(self) -> Deferred:
        """Stop listening and drop all connections."""
        self.cut()
        return self._port.stopListening()
