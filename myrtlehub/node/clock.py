"""The clock of a process: monotonic time, with the reactor's timers."""

import time
from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Timer


class ReactorTime(Protocol):
    """The part of a reactor that schedules calls; `seconds` is the time that its timers use."""

    seconds: Callable[[], float]

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, call: Callable[..., object], *args: object, **more: object
    ) -> Timer:
        """Schedule a call `delay` seconds from now."""


class SteadyClock:
    """A clock whose `seconds` is the machine's monotonic clock, which all processes on it share.

    The reactor's timers use it too. By default Twisted's timers use the wall clock: if that is set back by an
    hour, for example when a time server is reached again, no timer fires for an hour
    (`test_timers_do_not_go_by_the_wall_clock`).
    """

    def __init__(self, reactor: ReactorTime) -> None:
        self._reactor = reactor
        self.seconds = reactor.seconds = time.monotonic

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, call: Callable[..., object], *args: object, **more: object
    ) -> Timer:
        """Schedule a call `delay` seconds from now."""
        return self._reactor.callLater(delay, call, *args, **more)
