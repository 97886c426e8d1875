"""Interfaces of clocks and timers, implemented by Twisted's reactors and `twisted.internet.task.Clock`."""

from collections.abc import Callable
from typing import Protocol

TIMER_TOLERANCE_S = 0.001  # a timer may fire early by this much


class Timer(Protocol):
    """A scheduled call, such as Twisted's `IDelayedCall`."""

    def active(self) -> bool:
        """Return whether the call is still scheduled."""

    def cancel(self) -> None:
        """Cancel the call."""

    def reset(self, delay: float, /) -> None:
        """Reschedule the call to `delay` seconds from now."""


class Clock(Protocol):
    """A monotonic clock with timers."""

    def seconds(self) -> float:
        """Return the current time in seconds; it never decreases."""

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callback: Callable[..., object], /, *args: object
    ) -> Timer:
        """Schedule a call of `callback` with `args`, `delay` seconds from now."""
