"""Execution of blocking work outside the event loop."""

from collections.abc import Callable
from typing import Protocol, TypeVar

Result = TypeVar("Result")


class RunInBackground(Protocol):
    """Runs work that may block, such as writing to a disk, without blocking the event loop."""

    def __call__(self, work: Callable[[], Result], callback: Callable[[Result], None], /) -> None:
        """Run `work`, and pass its result to `callback` in the event loop."""


def run_now(work: Callable[[], Result], callback: Callable[[Result], None], /) -> None:
    """Run `work` at once, in the event loop; for tests, and for programs whose work does not block."""
    callback(work())
