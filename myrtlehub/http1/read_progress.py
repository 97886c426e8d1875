"""The time up to which all data that arrived from clients has been read."""

from collections.abc import Callable
from math import inf

from myrtlehub.clock import Clock


class ReadProgress:
    """Determines a time before which all data that arrived on open connections has been read.

    A reactor turn runs the due timers and then polls the sockets. A timer without delay that is started by
    another timer runs one turn later, so there is a complete poll between the two. The age of a connection
    doesn't show that it was polled: on a loaded machine, one turn may last longer than any grace period of
    the listener.

    Attributes:
        read_until: Clock time in seconds before which all data that arrived has been read; initially -inf.
    """

    def __init__(self, clock: Clock) -> None:
        self.read_until = -inf
        self._clock = clock
        self._is_advancing = False

    def advance(self, on_polled: Callable[[], None] | None = None) -> None:
        """Set `read_until` to the present time once the sockets have been polled, then call `on_polled`.

        Without `on_polled`, the call has no effect while an earlier one is still waiting for a poll.
        """
        if on_polled is None and self._is_advancing:
            return
        self._is_advancing = True
        # This may be called during a poll: the first timer runs just before the next complete poll, and the
        # second one after it.
        self._clock.callLater(0.0, self._wait_for_poll, self._clock.seconds(), on_polled)

    def _wait_for_poll(self, since: float, on_polled: Callable[[], None] | None) -> None:
        self._clock.callLater(0.0, self._finish_advance, since, on_polled)

    def _finish_advance(self, since: float, on_polled: Callable[[], None] | None) -> None:
        self._is_advancing = False
        self.read_until = max(self.read_until, since)
        if on_polled is not None:
            on_polled()
