"""The timer for the wake-ups of an engine model, on sockets and in in-process experiments."""

from collections.abc import Callable

from myrtlehub.clock import Clock, Timer
from myrtlehub.emulator.machine import NEVER


class ModelTimer:
    """Calls `callback` at the latest time that was set."""

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._callback = callback
        self._delayed_call: Timer | None = None
        self._due_at = NEVER

    def set(self, due_at: float) -> None:
        """Reschedule the callback; NEVER cancels it. Setting the pending time again has no effect."""
        pending_call = self._delayed_call
        if pending_call is not None and pending_call.active():
            if due_at == self._due_at:
                return
            pending_call.cancel()
        self._delayed_call = None
        self._due_at = due_at
        if due_at != NEVER:
            delay = max(0.0, due_at - self._clock.seconds())
            self._delayed_call = self._clock.callLater(delay, self._callback)
