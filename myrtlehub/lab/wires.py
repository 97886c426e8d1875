"""A loopback relay between two processes, of which each direction can be cut, delayed or stalled."""

from collections.abc import Callable

from twisted.internet.address import IPv4Address
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

HOST = "127.0.0.1"
THERE, BACK = "there", "back"  # from who dials to who listens, and the other way


class Way:
    """What becomes of bytes in one direction."""

    def __init__(self) -> None:
        self.delay, self.stalled = 0.0, False  # seconds; whether bytes wait until it is mended


class _End(Protocol):
    """One end of one connection; `far` is the other."""

    def __init__(self, wire: "Wire", way: Way) -> None:
        self.wire, self.way = wire, way
        self.far: _End | None = None
        self.held: list[bytes] = []
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.wire.ends.append(self)
        if self.far is None:
            self.wire.onward(self)
        else:
            self.far.join(self)

    def join(self, far: "_End") -> None:
        """The onward connection stands."""
        self.far = far
        self.flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.held.append(data)
        if self.way.delay:
            self.wire.reactor.callLater(self.way.delay, self.flush, 1)
        else:
            self.flush()

    def flush(self, most: int = 0) -> None:
        """Hand on what is held: all of it, or so many pieces."""
        if self.way.stalled or self.far is None or self.far.lost:
            return
        pieces = most or len(self.held)
        self.far.transport.write(b"".join(self.held[:pieces]))
        del self.held[:pieces]

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.lost = True
        if self in self.wire.ends:
            self.wire.ends.remove(self)
        if self.far is not None and not self.far.lost and not self.way.stalled:
            # An end that is stalled tells nobody, as a machine that is cut off does.
            self.far.transport.loseConnection()


class Wire(Factory):
    """Listens at `address` and hands on to `to`, host:port."""

    noisy = False

    def __init__(self, reactor: object, to: str, said: Callable[[str], None] = lambda text: None) -> None:
        self.reactor, self.to, self.said = reactor, to, said
        self.ways = {THERE: Way(), BACK: Way()}
        self.ends: list[_End] = []
        self.is_cut = False
        self.address, self._port = "", None

    def listen(self) -> "Wire":
        """Begin; `address` is known from then on."""
        made: list = []
        TCP4ServerEndpoint(self.reactor, 0, interface=HOST).listen(self).addCallback(made.append)
        self._port = made[0]
        self.address = f"{HOST}:{self._port.getHost().port}"
        return self

    def buildProtocol(self, addr: IPv4Address) -> _End | None:  # noqa: N802
        return None if self.is_cut else _End(self, self.ways[THERE])

    def onward(self, near: _End) -> None:
        """Connect a new one to where this leads."""
        host, port = self.to.rsplit(":", 1)
        far = _End(self, self.ways[BACK])
        far.far = near
        factory = Factory.forProtocol(lambda: far)
        factory.noisy = False
        TCP4ClientEndpoint(self.reactor, host, int(port)).connect(factory).addErrback(
            lambda failure: near.transport.abortConnection()
        )

    def cut(self) -> None:
        """Connections reset, and new ones are closed as they come, until it is mended."""
        self.is_cut = True
        for end in list(self.ends):
            end.transport.abortConnection()
        self.said(f"cut to {self.to}")

    def stall(self, *ways: str) -> None:
        """Bytes in these directions (both where none is named) wait; nobody is told of anything."""
        for name in ways or (THERE, BACK):
            self.ways[name].stalled = True
        self.said(f"stalled {' and '.join(ways or (THERE, BACK))} to {self.to}")

    def slow(self, seconds: float, *ways: str) -> None:
        """Bytes in these directions come so much later."""
        for name in ways or (THERE, BACK):
            self.ways[name].delay = seconds

    def mend(self) -> None:
        """As it was at first; what waited goes on."""
        self.is_cut = False
        for way in self.ways.values():
            way.stalled, way.delay = False, 0.0
        for end in list(self.ends):
            end.flush()
        self.said(f"mended to {self.to}")

    def close(self) -> object:
        """Stop listening and drop all connections; a Deferred."""
        self.cut()
        return self._port.stopListening()
