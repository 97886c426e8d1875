"""One clock for a process: seconds that only advance, timers of the reactor."""

import time


class SteadyClock:
    """`seconds` is the machine's monotonic clock, the same for all processes on it.

    The reactor's timers go by it too. Twisted's own go by the wall clock: set back by an hour, as after a
    long time without contact to a time server, no timer would come for an hour, and no answer in its time.
    """

    def __init__(self, reactor: object) -> None:
        self._reactor = reactor
        self.seconds = reactor.seconds = time.monotonic

    def callLater(self, delay: float, call: object, *args: object, **more: object) -> object:  # noqa: N802
        """As the reactor's."""
        return self._reactor.callLater(delay, call, *args, **more)
