"""Periodic check that ends engines' response streams without progress."""

from typing import Protocol

from myrtlehub.clock import Clock

CHECK_INTERVAL_S = 0.25


class Stream(Protocol):
    """The response stream of an attempt."""

    def check_progress(self, now: float) -> None:
        """End the stream if it has made no progress for too long."""


class StreamMonitor:
    """Checks the progress of all open streams periodically.

    Attributes:
        streams: The open streams, in the order in which they were added.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.streams: dict[Stream, None] = {}
        self._timer = clock.callLater(CHECK_INTERVAL_S, self._check)

    def is_armed(self) -> bool:
        """Return whether the next check is scheduled."""
        return self._timer.active()

    def add(self, stream: Stream) -> None:
        """Add a stream to the periodic check."""
        self.streams[stream] = None

    def remove(self, stream: Stream) -> None:
        """Remove a stream from the periodic check, if it was added."""
        self.streams.pop(stream, None)

    def _check(self) -> None:
        self._timer = self.clock.callLater(CHECK_INTERVAL_S, self._check)
        self._check_each(list(self.streams), self.clock.seconds())

    def _check_each(self, streams: list[Stream], now: float) -> None:
        """Check the streams; if a check raises, check the remaining ones in the next reactor turn."""
        while streams:
            stream = streams.pop(0)
            try:
                stream.check_progress(now)
            except BaseException:
                self.clock.callLater(0, self._check_each, streams, now)
                raise
