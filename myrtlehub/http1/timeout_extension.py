"""Extends the timeout of an incomplete request while data of it waits to be parsed."""

from myrtlehub.clock import Clock
from myrtlehub.http1.bounds import MAX_LATE_DATA_EXTENSION_S


class TimeoutExtension:
    """Decides whether a request that has timed out gets more time.

    Data that was read in time is parsed first, however long that takes. Data that is read after the timeout
    extends it by MAX_LATE_DATA_EXTENSION_S at most, because a client can send such data for ever.
    Tests: `test_a_request_that_arrived_in_time_is_not_rejected_as_incomplete`,
    `test_a_body_without_end_that_takes_long_to_parse_is_rejected`.
    """

    __slots__ = ("_clock", "_has_timed_out", "_late_data_since")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.restart()

    def restart(self) -> None:
        """Begin with another request."""
        self._has_timed_out = False
        self._late_data_since: float | None = None

    def record_data(self) -> None:
        """Record that data of the request was read now."""
        if self._has_timed_out and self._late_data_since is None:
            self._late_data_since = self._clock.seconds()

    def may_extend(self) -> bool:
        """Return whether the request, which has timed out, gets more time."""
        self._has_timed_out = True
        if self._late_data_since is None:
            return True
        return self._clock.seconds() - self._late_data_since < MAX_LATE_DATA_EXTENSION_S
