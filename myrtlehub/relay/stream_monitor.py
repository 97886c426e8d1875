"""Looks at engines' streams from time to time, and ends those that make no progress."""

from typing import Protocol

from myrtlehub.clock import Clock

CHECK_INTERVAL_S = 0.25


class Stream(Protocol):
    """A stream of an engine."""

    def check_progress(self, now: float) -> None:
        """End it if it makes none."""


class StreamMonitor:
    """All streams that are open at present, in the order of their beginning."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.streams: dict[Stream, None] = {}
        self._timer = clock.callLater(CHECK_INTERVAL_S, self._check)

    def is_armed(self) -> bool:
        """Return whether the next look is due."""
        return self._timer.active()

    def add(self, stream: Stream) -> None:
        """Look at this stream from now on."""
        self.streams[stream] = None

    def remove(self, stream: Stream) -> None:
        """Look at it no more, if it is there."""
        self.streams.pop(stream, None)

    def _check(self) -> None:
        self._timer = self.clock.callLater(CHECK_INTERVAL_S, self._check)
        self._check_each(list(self.streams), self.clock.seconds())

    def _check_each(self, streams: list[Stream], now: float) -> None:
        """Look at all of them, whatever a look at one of them raises."""
        while streams:
            stream = streams.pop(0)
            try:
                stream.check_progress(now)
            except BaseException:
                self.clock.callLater(0, self._check_each, streams, now)
                raise
