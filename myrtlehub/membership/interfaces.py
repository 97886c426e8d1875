"""What the package needs of its surroundings: a clock with timers, a log, and work in the background."""

from collections.abc import Callable
from typing import Protocol, TypeVar

Result = TypeVar("Result")


class DelayedCall(Protocol):
    """A timer that was set."""

    def active(self) -> bool:
        """Whether it has neither fired nor been cancelled."""

    def cancel(self) -> None:
        """Do not fire."""


class Clock(Protocol):
    """Time that only advances, and timers."""

    def seconds(self) -> float:
        """Return the time."""

    def callLater(self, delay: float, call: Callable[..., object], *args: object) -> DelayedCall:  # noqa: N802
        """Call after so many seconds; the name is Twisted's."""


class Log(Protocol):
    """A structured log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one event."""


class RunInBackground(Protocol):
    """Runs what may block where it does not hold up the event loop."""

    def __call__(self, work: Callable[[], Result], callback: Callable[[Result], None], /) -> None:
        """Run `work`, and pass its result to `callback` in the event loop."""


def no_log(event: str, **fields: object) -> None:
    """Discard the event."""


def run_now(work: Callable[[], Result], callback: Callable[[Result], None]) -> None:
    """Run `work` at once, in the event loop."""
    callback(work())
