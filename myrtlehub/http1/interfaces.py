"""What this package needs of the reactor: a clock with timers, and transports."""

from collections.abc import Callable
from typing import Protocol

Headers = list[tuple[bytes, bytes]]


class Transport(Protocol):
    """As much of a TCP transport as an abortive close needs."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection at once; what was written may be lost."""


class Connecting(Protocol):
    """A connection that is being made: a deferred that fires with its protocol."""

    def addCallbacks(  # noqa: N802
        self,
        callback: Callable,
        errback: Callable,
        *,
        callbackArgs: tuple,  # noqa: N803
        errbackArgs: tuple,  # noqa: N803
    ) -> object:
        """Say what to call when it is made, or when it fails."""

    def cancel(self) -> None:
        """Give it up."""
