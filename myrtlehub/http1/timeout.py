"""Timeout of a connection, on one timer that is used again and again."""

from collections.abc import Callable

from myrtlehub.clock import Clock, Timer


class Timeout:
    """Calls a function once a time has passed, unless it is restarted or cancelled before.

    The function is passed to each start and not kept here: it is usually a method of the object that holds
    the timeout, and a permanent reference cycle would keep that object alive until a full garbage collection.
    """

    __slots__ = ("_clock", "_timer")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._timer: Timer | None = None

    def restart(self, delay: float, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` in `delay` seconds; a timer that is running is moved and keeps its function."""
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay)
        else:
            self._timer = self._clock.callLater(delay, on_timeout)

    def start_once(self, delay: float, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` in `delay` seconds; do nothing if it was started and not cleared since."""
        if self._timer is None:
            self._timer = self._clock.callLater(delay, on_timeout)

    def cancel(self) -> None:
        """Stop the timer if it is running."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def clear(self) -> None:
        """Stop the timer and forget it; one that has fired still refers to its function."""
        self.cancel()
        self._timer = None
