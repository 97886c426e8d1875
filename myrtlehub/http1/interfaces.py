"""What this package needs of the reactor: a clock with timers, and connection attempts."""

from collections.abc import Callable
from typing import Protocol


class Connecting(Protocol):
    """Connection attempt: a Deferred that fires with the protocol of the connection."""

    def addCallbacks(  # noqa: N802
        self,
        callback: Callable[..., None],
        errback: Callable[..., None],
        *,
        callbackArgs: tuple[object, ...],  # noqa: N803
        errbackArgs: tuple[object, ...],  # noqa: N803
    ) -> object:
        """Register what to call when the connection is made, and when the attempt fails."""

    def cancel(self) -> None:
        """Abandon the attempt."""
