"""The timer of an engine model, whatever transports its events."""

from collections.abc import Callable

from myrtlehub.clock import Clock, Timer
from myrtlehub.emulator.machine import NEVER


class ModelTimer:
    """Calls `callback` at the time last set; setting the same time again costs nothing."""

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._callback = callback
        self._delayed_call: Timer | None = None
        self._due_at = NEVER

    def set(self, due_at: float) -> None:
        """Call at this time instead of the one set before; NEVER: not at all."""
        is_pending = self._delayed_call is not None and self._delayed_call.active()
        if due_at == self._due_at and is_pending:
            return
        if is_pending:
            self._delayed_call.cancel()
        self._delayed_call = None
        self._due_at = due_at
        if due_at != NEVER:
            delay = max(0.0, due_at - self._clock.seconds())
            self._delayed_call = self._clock.callLater(delay, self._callback)
