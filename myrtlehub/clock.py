"""Interfaces of clocks and timers; Twisted's reactors and `twisted.internet.task.Clock` have them."""

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A scheduled call; Twisted's is `IDelayedCall`."""

    def active(self) -> bool:
        """Return whether the call is still scheduled."""

    def cancel(self) -> None:
        """Cancel the call."""

    def reset(self, delay: float, /) -> None:
        """Reschedule the call to `delay` seconds from now."""


class Clock(Protocol):
    """A monotonic clock with timers."""

    def seconds(self) -> float:
        """Return the present time in seconds; it never goes back."""

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, call: Callable[..., object], /, *args: object
    ) -> Timer:
        """Schedule a call `delay` seconds from now."""
