"""When a peer has sent data, as far as this process has read it."""

from myrtlehub.clock import Clock


class ReceiveActivity:
    """The time of the latest data of one message, and the longest pause before it.

    Attributes:
        last_at: Clock time in seconds of the latest data, or of the start of the message.
        longest_pause_s: The longest time between two of these times.
    """

    __slots__ = ("_clock", "last_at", "longest_pause_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.restart()

    def restart(self) -> None:
        """Forget the earlier data, because another message begins or reading was paused."""
        self.last_at = self._clock.seconds()
        self.longest_pause_s = 0.0

    def record(self) -> None:
        """Record data that was read now."""
        now = self._clock.seconds()
        self.longest_pause_s = max(self.longest_pause_s, now - self.last_at)
        self.last_at = now
