"""One clock for a process: seconds that only advance, timers of the reactor."""

import time


class SteadyClock:
    """`seconds` is the machine's monotonic clock, the same for all processes on it."""

    def __init__(self, reactor: object) -> None:
        self._reactor = reactor
        self.seconds = time.monotonic

    def callLater(self, delay: float, call: object, *args: object, **more: object) -> object:  # noqa: N802
        """As the reactor's."""
        return self._reactor.callLater(delay, call, *args, **more)
