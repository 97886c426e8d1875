"""When an engine has sent content of a stream, as far as this process has read it."""

from myrtlehub.clock import Clock


class ContentActivity:
    """The time of the latest content of one stream, and the longest pause before it.

    Only the content counts. The framing around it, such as the size line of a chunk, can be written for ever
    without a byte of an event.

    Attributes:
        last_at: Clock time in seconds of the latest content, or of the start of the stream.
        longest_pause_s: The longest time between two of these times.
    """

    __slots__ = ("_clock", "last_at", "longest_pause_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.restart()

    def restart(self) -> None:
        """Forget the earlier content, because the stream begins or its client did not let it be read."""
        self.last_at = self._clock.seconds()
        self.longest_pause_s = 0.0

    def record(self) -> None:
        """Record content that was read now."""
        now = self._clock.seconds()
        self.longest_pause_s = max(self.longest_pause_s, now - self.last_at)
        self.last_at = now
