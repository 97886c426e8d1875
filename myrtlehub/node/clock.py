"""The monotonic clock of a process, with the reactor's timers."""

import time
from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Timer


class ReactorClock(Protocol):
    """The part of a reactor that schedules calls; its timers read the time from `seconds`."""

    seconds: Callable[[], float]

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callback: Callable[..., object], *args: object, **kwargs: object
    ) -> Timer:
        """Schedule a call of `callback`, `delay` seconds from now."""


class MonotonicClock:
    """A clock that returns the machine's monotonic time, which all of its processes share.

    The reactor's timers are switched to it too. By default Twisted's timers use the wall clock: if that is
    set back by an hour, for example when a time server is reachable again, no timer fires for an hour
    (`test_timers_ignore_changes_of_the_wall_clock`).
    """

    def __init__(self, reactor: ReactorClock) -> None:
        self._reactor = reactor
        self.seconds = reactor.seconds = time.monotonic

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callback: Callable[..., object], *args: object, **kwargs: object
    ) -> Timer:
        """Schedule a call of `callback`, `delay` seconds from now."""
        return self._reactor.callLater(delay, callback, *args, **kwargs)
