"""The interface for running blocking work outside the event loop."""

from collections.abc import Callable
from typing import Protocol, TypeVar

Result = TypeVar("Result")


class RunInBackground(Protocol):
    """Runs work that may block, such as disk writes, without blocking the event loop."""

    def __call__(self, work: Callable[[], Result], callback: Callable[[Result], None], /) -> None:
        """Run `work`, and call `callback` with its result in the event loop."""


def run_synchronously(work: Callable[[], Result], callback: Callable[[Result], None], /) -> None:
    """Run `work` synchronously in the event loop; for tests, and for programs whose work does not block."""
    callback(work())
