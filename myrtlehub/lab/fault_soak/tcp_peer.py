"""TCP peers of the nodes: the types of their transports, and listening on loopback."""

from typing import Protocol

from twisted.internet import protocol

from myrtlehub.lab.fault_proxy import HOST, SocketAddress
from myrtlehub.lab.interfaces import Reactor

LISTEN_BACKLOG = 50  # connections; Twisted's default


class TcpTransport(Protocol):
    """TCP transport, as far as the soak uses it; see `twisted.internet.interfaces.ITCPTransport`."""

    def write(self, data: bytes, /) -> None:
        """Queue data to be sent."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close once all queued data has been sent."""

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""

    def getPeer(self) -> SocketAddress:  # noqa: N802
        """Return the address of the other end."""

    def setTcpNoDelay(self, is_enabled: bool, /) -> None:  # noqa: N802
        """Disable or enable Nagle's algorithm."""


class TcpPeer(protocol.Protocol):
    """Protocol on a TCP transport that sends small writes without delay."""

    transport: TcpTransport  # type: ignore[assignment]  # zope's ITransport declares methods without `self`

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)


def listen_on_loopback(reactor: Reactor, factory: protocol.Factory) -> str:
    """Listen on a free port; return the address, HOST:PORT."""
    port = reactor.listenTCP(0, factory, LISTEN_BACKLOG, HOST)
    host = port.getHost()
    return f"{HOST}:{host.port}"
