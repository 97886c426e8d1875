"""What this package needs of a clock; Twisted's reactors have it."""

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A call that was scheduled."""

    def active(self) -> bool:
        """Whether the call is still to come."""

    def cancel(self) -> None:
        """Do not make the call."""


class Clock(Protocol):
    """Seconds that only advance, and timers by them."""

    def seconds(self) -> float:
        """Return the present time."""

    def callLater(self, delay: float, call: Callable[..., None], *args: object) -> Timer:  # noqa: N802
        """Make a call after so many seconds."""
