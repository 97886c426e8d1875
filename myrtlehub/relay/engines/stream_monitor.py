"""Ends engines' response streams that make no progress, or whose incomplete events take too much memory."""

from typing import Protocol

from myrtlehub.clock import Clock

CHECK_INTERVAL_S = 0.25  # longest time between two checks
MIN_CHECK_INTERVAL_S = 0.005  # for streams that are due at different times


class Stream(Protocol):
    """The response stream of an attempt."""

    @property
    def due_at(self) -> float:
        """Clock time in seconds at which the stream ends unless an event is received."""

    def check_progress(self, now: float) -> None:
        """End the stream if it has made no progress for too long."""

    def fail_for_memory(self) -> None:
        """End the stream, because the incomplete events of all streams take too much memory."""


class StreamMonitor:
    """Checks the progress of all open streams, and limits their incomplete events together.

    A check takes place every CHECK_INTERVAL_S, and when a stream is due.

    Attributes:
        streams: Bytes of the incomplete event of each open stream, in the order in which they were added.
        incomplete_bytes: Bytes of the incomplete events of all streams.
        max_incomplete_bytes: Limit of `incomplete_bytes`.
    """

    def __init__(self, clock: Clock, max_incomplete_bytes: int) -> None:
        self.clock = clock
        self.streams: dict[Stream, int] = {}
        self.incomplete_bytes = 0
        self.max_incomplete_bytes = max_incomplete_bytes
        self._timer = clock.callLater(CHECK_INTERVAL_S, self._check)

    def is_armed(self) -> bool:
        """Return whether the next check is scheduled."""
        return self._timer.active()

    def add(self, stream: Stream) -> None:
        """Add a stream to the periodic check."""
        self.streams[stream] = 0

    def remove(self, stream: Stream) -> None:
        """Remove a stream from the periodic check, if it was added."""
        self.incomplete_bytes -= self.streams.pop(stream, 0)

    def record_incomplete(self, stream: Stream, size: int) -> None:
        """Record the bytes of a stream's incomplete event; over the limit, end the streams with the largest.

        Events are small, and engines write each in one piece, so usual streams are not the largest ones.
        """
        if stream not in self.streams:
            return
        self.incomplete_bytes += size - self.streams[stream]
        self.streams[stream] = size
        while self.incomplete_bytes > self.max_incomplete_bytes:
            max(self.streams, key=lambda other: self.streams[other]).fail_for_memory()

    def _check(self) -> None:
        now = self.clock.seconds()
        due_times = [stream.due_at for stream in self.streams]
        next_due_at = min((due_at for due_at in due_times if due_at > now), default=now)
        delay = min(max(next_due_at - now, MIN_CHECK_INTERVAL_S), CHECK_INTERVAL_S)
        self._timer = self.clock.callLater(delay if next_due_at > now else CHECK_INTERVAL_S, self._check)
        self._check_each(list(self.streams), now)

    def _check_each(self, streams: list[Stream], now: float) -> None:
        """Check the streams; if a check raises, check the remaining ones in the next reactor turn."""
        while streams:
            stream = streams.pop(0)
            try:
                stream.check_progress(now)
            except BaseException:
                self.clock.callLater(0, self._check_each, streams, now)
                raise
