"""What the lab needs of Twisted's reactor."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import ClientFactory, Factory, ProcessProtocol

from myrtlehub.clock import Timer


class Reactor(Protocol):
    """Timers, TCP and child processes."""

    def callLater(self, delay: float, call: Callable[..., object], *args: object) -> Timer:  # noqa: N802
        """Make a call after so many seconds."""

    def listenTCP(self, port: int, factory: Factory, backlog: int, interface: str) -> IListeningPort:  # noqa: N802
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
