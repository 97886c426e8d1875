"""Time and timers as the packages see them; Twisted's reactors and `twisted.internet.task.Clock` fit."""

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A call that was scheduled; `IDelayedCall` of Twisted."""

    def active(self) -> bool:
        """Return whether the call is still to be made."""

    def cancel(self) -> None:
        """Do not make the call."""

    def reset(self, delay: float, /) -> None:
        """Make the call `delay` seconds from now instead."""


class Clock(Protocol):
    """A monotonic clock with timers."""

    def seconds(self) -> float:
        """Return the present time in seconds; it never goes back."""

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, call: Callable[..., object], /, *args: object
    ) -> Timer:
        """Schedule a call `delay` seconds from now."""
