"""Up to what time everything that clients had sent was read."""

from collections.abc import Callable
from math import inf

from myrtlehub.clock import Clock


class ReadProgress:
    """Finds times before which all data that had arrived on open connections was read.

    A reactor turn runs the due timers and then polls the sockets. A timer without delay that is started by
    another one runs a turn later, so a complete poll lies between the two. The age of a connection proves
    less: a turn on a loaded machine may last longer than any age that a listener waits for.

    Attributes:
        read_until: Clock time in seconds before which all data that had arrived was read; -inf at first.
    """

    def __init__(self, clock: Clock) -> None:
        self.read_until = -inf
        self._clock = clock
        self._is_advancing = False

    def advance(self, then: Callable[[], None] | None = None) -> None:
        """Set `read_until` to the present time once the sockets were polled, then call `then`, if given.

        Without `then`, does nothing if an earlier call has still to take effect.
        """
        if then is None and self._is_advancing:
            return
        self._is_advancing = True
        # This may be called while sockets are polled: the first timer runs before the next complete poll.
        self._clock.callLater(0.0, self._wait_for_poll, self._clock.seconds(), then)

    def _wait_for_poll(self, since: float, then: Callable[[], None] | None) -> None:
        self._clock.callLater(0.0, self._polled, since, then)

    def _polled(self, since: float, then: Callable[[], None] | None) -> None:
        self._is_advancing = False
        self.read_until = max(self.read_until, since)
        if then is not None:
            then()
