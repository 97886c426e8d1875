"""A restartable timeout on one timer that is rescheduled instead of replaced."""

from collections.abc import Callable

from myrtlehub.clock import Clock, Timer


class Timeout:
    """Calls a function after a delay, unless it is restarted or cancelled before.

    The function is passed at each start and not stored. It is usually a method of the object that owns the
    timeout, so a stored reference would form a cycle that only a full garbage collection frees.
    """

    __slots__ = ("_clock", "_timer")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._timer: Timer | None = None

    def restart(self, delay: float, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` in `delay` seconds; a running timer is rescheduled and keeps its function."""
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay)
        else:
            self._timer = self._clock.callLater(delay, on_timeout)

    def start_once(self, delay: float, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` in `delay` seconds; do nothing if a timer was started and not cleared yet."""
        if self._timer is None:
            self._timer = self._clock.callLater(delay, on_timeout)

    def cancel(self) -> None:
        """Stop the timer if it is running."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def clear(self) -> None:
        """Stop the timer and remove the reference to it: even a fired timer refers to its function."""
        self.cancel()
        self._timer = None
