"""Opens the TCP connections and ports of the programs."""

from typing import TYPE_CHECKING

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from myrtlehub.cli.event_loop import EventLoop, ListeningPort
from myrtlehub.cli.exits import exit_invalid

if TYPE_CHECKING:
    from myrtlehub.rpc.channel import Connect, Dialer

CONNECT_TIMEOUT_S = 30  # longer than the channels' own timeouts, so that those apply first
LISTEN_BACKLOG = 511  # maximum number of connections that the kernel queues before accept


def dialer(event_loop: EventLoop) -> "Dialer":
    """Return a function that returns the connect function of an address, `host:port`."""

    def dial(address: str) -> "Connect":
        host, port = address.rsplit(":", 1)
        endpoint = TCP4ClientEndpoint(event_loop, host, int(port), timeout=CONNECT_TIMEOUT_S)
        return endpoint.connect  # type: ignore[return-value] # mypy does not know zope interfaces

    return dial


def listen(event_loop: EventLoop, address: str, factory: Factory) -> ListeningPort:
    """Listen on an address, `host:port`; print one line and exit with EXIT_INVALID if that fails."""
    host, port = address.rsplit(":", 1)
    try:
        return event_loop.listenTCP(int(port), factory, LISTEN_BACKLOG, host)
    except CannotListenError as error:
        exit_invalid(f"cannot listen on {address}: {error.socketError}")
    except (OSError, OverflowError, ValueError) as error:  # no free descriptors; invalid host or port
        exit_invalid(f"cannot listen on {address}: {error}")
