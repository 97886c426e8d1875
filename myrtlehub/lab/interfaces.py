"""What the lab needs of Twisted's reactor."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory, ProcessProtocol

from myrtlehub.clock import Timer


class PortAddress(Protocol):
    """The address of a listening port."""

    @property
    def port(self) -> int:
        """The port's number."""


class ListeningPort(Protocol):
    """A port that accepts connections; `IListeningPort` of Twisted."""

    def getHost(self) -> PortAddress:  # noqa: N802
        """Return the address at which it listens."""

    def stopListening(self) -> Deferred[None] | None:  # noqa: N802
        """Stop accepting connections; fires once the port is closed."""


class ProcessTransport(Protocol):
    """A child process; `IProcessTransport` of Twisted."""

    @property
    def pid(self) -> int | None:
        """The process id, None once the process has ended."""

    def signalProcess(self, signal: int, /) -> None:  # noqa: N802
        """Send a signal.

        Raises:
            ProcessExitedAlready: the process has ended.
        """


class Reactor(Protocol):
    """Timers, TCP and child processes."""

    seconds: Callable[[], float]

    def callLater(  # noqa: N802
        self, delay: float, callback: Callable[..., object], *args: object, **more: object
    ) -> Timer:
        """Schedule a call `delay` seconds from now."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: Factory, backlog: int = 50, interface: str = ""
    ) -> ListeningPort:
        """Listen on a port."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory) -> object:  # noqa: N802
        """Connect to a port."""

    def spawnProcess(  # noqa: N802
        self,
        protocol: ProcessProtocol,
        executable: str,
        args: Sequence[str],
        env: Mapping[str, str],
        path: str | None,
    ) -> object:
        """Start a child process."""
