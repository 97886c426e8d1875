"""Event loop lag: how late this process reads and sends data, and how much time it leaves for a request.

On a machine without a free core, one iteration of the event loop can take tenths of a second. A request that
arrives at the start of such an iteration is read only after it, and a response that becomes ready during an
iteration is sent only after it. Both delays reduce the time until the client's deadline. The meter estimates
them with a periodic timer: each tick is scheduled `TICK_PERIOD` after the last one, and the time by which it
fires late is the lag. From the lags of recent ticks the meter derives upper bounds for the age of data that
is read now, and for the delay of data that is sent next.
"""

from collections import deque
from typing import NamedTuple

TICK_PERIOD = 0.02  # seconds between ticks
LAG_WINDOW = 2.0  # seconds for which a measured lag is considered, since it may recur
NEGLIGIBLE_LAG = 0.005  # seconds; every node has such lag, and each deadline has slack for it
MAX_MARGIN_SHARE = 0.5  # largest fraction of a request's timeout that is subtracted for lag


class LagSample(NamedTuple):
    """The lag of one tick."""

    measured_at: float
    lag: float  # seconds


class LagMeter:
    """Estimates the lag from the times of periodic ticks. All times are seconds on the process's clock."""

    def __init__(self) -> None:
        self.max_lag = 0.0  # seconds; the largest lag since the process started
        self._next_tick_at: float | None = None  # None before the first tick
        self._samples: deque[LagSample] = deque()  # by decreasing lag, for the maximum of a sliding window

    def tick(self, now: float) -> float:
        """Record a tick at `now`, and return the time at which to schedule the next one."""
        self._record(now, self._overdue(now))
        self._next_tick_at = now + TICK_PERIOD
        return self._next_tick_at

    def _overdue(self, now: float) -> float:
        return max(0.0, now - self._next_tick_at) if self._next_tick_at is not None else 0.0

    def _record(self, now: float, lag: float) -> None:
        self.max_lag = max(self.max_lag, lag)
        while self._samples and self._samples[-1].lag <= lag:
            self._samples.pop()
        self._samples.append(LagSample(now, lag))
        self._discard_expired(now)

    def _discard_expired(self, now: float) -> None:
        while self._samples and self._samples[0].measured_at < now - LAG_WINDOW:
            self._samples.popleft()

    def max_data_age(self, now: float) -> float:
        """Return an upper bound for the time since the arrival of data that is read now, in seconds.

        The bound is the lag of the last tick, or of the next one if that is overdue. If the last tick was
        late and the next one is overdue, the iteration that began with the last tick is still running. Then
        the time that this iteration has spent on other sockets is added.
        """
        overdue = self._overdue(now)
        if not self._samples:
            return overdue
        last = self._samples[-1]
        since_tick = now - last.measured_at
        if since_tick < TICK_PERIOD:
            return max(overdue, last.lag)
        return max(overdue, last.lag + since_tick if last.lag > NEGLIGIBLE_LAG else 0.0)

    def delay(self, now: float) -> float:
        """Return the seconds by which a timer that is set now may fire late: the largest recent lag."""
        self._discard_expired(now)
        return max(self.max_data_age(now), self._samples[0].lag if self._samples else 0.0)

    def time_left(self, now: float, client_timeout: float) -> float:
        """Return the seconds that the node has for a request whose client allows `client_timeout` seconds.

        The age of the request is subtracted, and twice the delay: the deadline timer may fire late by the
        delay, and the response that it triggers may be sent late by the delay as well. At most
        `MAX_MARGIN_SHARE` of the client's timeout is subtracted.
        """
        max_data_age = self.max_data_age(now)
        delay = self.delay(now)
        if max_data_age + delay <= NEGLIGIBLE_LAG:
            return client_timeout
        return client_timeout - min(max_data_age + 2.0 * delay, MAX_MARGIN_SHARE * max(0.0, client_timeout))
