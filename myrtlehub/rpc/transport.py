"""Typed interfaces of the Twisted transports and producers that this package uses."""

from typing import Protocol


class Producer(Protocol):
    """A source of data, which its consumer can suspend."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Suspend production."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume production; a pull producer writes once per call."""

    def stopProducing(self) -> None:  # noqa: N802
        """Stop production permanently."""


class PeerAddress(Protocol):
    """The address of a peer."""

    host: str


class Transport(Protocol):
    """A connection to a peer."""

    def write(self, data: bytes, /) -> None:
        """Queue bytes for sending."""

    def registerProducer(self, producer: Producer, streaming: bool, /) -> None:  # noqa: N802
        """Register a producer, which is suspended while the send buffer is full."""

    def getPeer(self) -> PeerAddress:  # noqa: N802
        """Return the address of the peer."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection after all queued bytes are sent."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection immediately and discard queued bytes."""
