"""Interfaces of the transports and producers that this package uses; Twisted's connections implement them."""

from typing import Protocol


class Producer(Protocol):
    """A source of bytes for a consumer, which suspends it while it cannot accept more."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Suspend production."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume production; a pull producer makes one write per call."""

    def stopProducing(self) -> None:  # noqa: N802
        """Stop production for good."""


class PeerAddress(Protocol):
    """The address of a peer."""

    host: str


class Transport(Protocol):
    """A connection to a peer."""

    def write(self, data: bytes, /) -> None:
        """Queue bytes to be sent."""

    def registerProducer(self, producer: Producer, streaming: bool, /) -> None:  # noqa: N802
        """Suspend this producer while the peer does not read."""

    def getPeer(self) -> PeerAddress:  # noqa: N802
        """Return the address of the peer."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once all queued bytes are sent."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection at once and discard queued bytes."""
