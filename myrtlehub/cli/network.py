"""TCP connections and ports of the programs."""

from typing import TYPE_CHECKING

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from myrtlehub.cli.event_loop import EventLoop, ListeningPort
from myrtlehub.cli.exits import fail

if TYPE_CHECKING:
    from myrtlehub.rpc.channel import Connect, Dialer

CONNECT_TIMEOUT_S = 30  # longer than the timeouts of channels, which therefore take effect first
LISTEN_BACKLOG = 511  # largest number of connections that the kernel queues until the program accepts them


def dialer(event_loop: EventLoop) -> "Dialer":
    """Return `dial`, which returns the connect function of an address, `host:port`."""

    def dial(address: str) -> "Connect":
        host, port = address.rsplit(":", 1)
        endpoint = TCP4ClientEndpoint(event_loop, host, int(port), timeout=CONNECT_TIMEOUT_S)
        return endpoint.connect  # type: ignore[return-value] # zope interfaces are unknown to mypy

    return dial


def listen(event_loop: EventLoop, address: str, factory: Factory) -> ListeningPort:
    """Listen on an address, `host:port`; print one line and exit with INVALID if that fails."""
    host, port = address.rsplit(":", 1)
    try:
        return event_loop.listenTCP(int(port), factory, LISTEN_BACKLOG, host)
    except CannotListenError as error:
        fail(f"cannot listen on {address}: {error.socketError}")
    except (OSError, OverflowError, ValueError) as error:  # out of descriptors; port or host out of range
        fail(f"cannot listen on {address}: {error}")
