"""What this package needs of a transport; Twisted's connections have it."""

from typing import Protocol


class Producer(Protocol):
    """What makes bytes for a consumer, and is paused while that takes no more."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Make no more for now."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Make more; a pull producer makes one write each time."""

    def stopProducing(self) -> None:  # noqa: N802
        """Make no more at all."""


class PeerAddress(Protocol):
    """The address of a peer."""

    host: str


class Transport(Protocol):
    """One connection."""

    def write(self, data: bytes) -> None:
        """Send bytes."""

    def registerProducer(self, producer: Producer, streaming: bool) -> None:  # noqa: N802
        """Pause this producer while the peer does not read."""

    def getPeer(self) -> PeerAddress:  # noqa: N802
        """Return the address of the peer."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close once all is sent."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close now."""
