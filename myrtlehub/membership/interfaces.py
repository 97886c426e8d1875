"""What the package needs of its surroundings: a clock with timers, a log, and work in the background."""

from collections.abc import Callable
from typing import Protocol, TypeVar

Result = TypeVar("Result")


class RunInBackground(Protocol):
    """Runs what may block where it does not hold up the event loop."""

    def __call__(self, work: Callable[[], Result], callback: Callable[[Result], None], /) -> None:
        """Run `work`, and pass its result to `callback` in the event loop."""


def run_now(work: Callable[[], Result], callback: Callable[[Result], None]) -> None:
    """Run `work` at once, in the event loop."""
    callback(work())
