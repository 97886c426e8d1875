"""One clock for a process: seconds that only advance, timers of the reactor."""

import time
from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Timer


class ReactorTime(Protocol):
    """What is needed of a reactor."""

    seconds: Callable[[], float]

    def callLater(self, delay: float, call: Callable[..., object], *args: object, **more: object) -> Timer:  # noqa: N802
        """Schedule a call."""


class SteadyClock:
    """`seconds` is the machine's monotonic clock, the same for all processes on it.

    The reactor's timers go by it too. Twisted's own go by the wall clock: set back by an hour, as after a
    long time without contact to a time server, no timer would fire for an hour, and no answer in its time.
    """

    def __init__(self, reactor: ReactorTime) -> None:
        self._reactor = reactor
        self.seconds = reactor.seconds = time.monotonic

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., object], *args: object, **more: object
    ) -> Timer:
        """Schedule a call, as the reactor does."""
        return self._reactor.callLater(delay, call, *args, **more)
