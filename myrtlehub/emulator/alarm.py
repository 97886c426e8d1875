"""The timer of an engine's model, whatever carries its events."""

from collections.abc import Callable

from myrtlehub.emulator.model import NEVER


class Alarm:
    """Calls `ring` at the moment last set; setting the same moment again costs nothing."""

    def __init__(self, clock: object, ring: Callable[[], None]) -> None:
        self.clock, self.ring = clock, ring
        self._timer = None
        self._at = NEVER

    def set(self, at: float) -> None:
        """Ring then, and not when it was to ring before; NEVER: not at all."""
        running = self._timer is not None and self._timer.active()
        if at == self._at and running:
            return
        if running:
            self._timer.cancel()
        self._timer, self._at = None, at
        if at != NEVER:
            self._timer = self.clock.callLater(max(0.0, at - self.clock.seconds()), self.ring)
