"""What this package needs of the reactor: a clock with timers, and connection attempts."""

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A call that is due later."""

    def active(self) -> bool:
        """Whether it is still due."""

    def cancel(self) -> None:
        """Do not make the call."""

    def reset(self, delay: float, /) -> None:
        """Make the call so many seconds from now."""


class Clock(Protocol):
    """Time in seconds, and timers."""

    def seconds(self) -> float:
        """Return the time now; it never goes back."""

    def callLater(self, delay: float, call: Callable, /, *args: Any) -> Timer:  # noqa: ANN401, N802
        """Make a call `delay` seconds from now."""


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
