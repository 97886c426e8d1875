"""Event loop lag: by how much this process reads and sends late, and how much time it has left for a request.

On a machine without a free core, one turn of the event loop can take tenths of a second. A request that
arrives at the start of such a turn is read only after it, and a response that becomes ready during a turn is
sent only after it. Both delays use up time before the client's deadline. The meter estimates them by a
periodic timer: if a tick that was scheduled `TICK_PERIOD` after the last one fires late, its lateness is the
lag. From the lags of recent ticks the meter derives upper bounds on the age of data that is read now, and on
the delay of data that is sent next.
"""

from collections import deque
from typing import NamedTuple

TICK_PERIOD = 0.02  # seconds between ticks
LAG_WINDOW = 2.0  # seconds for which an observed lag counts: it may recur within this time
NEGLIGIBLE_LAG = 0.005  # seconds; a lag that every node has, and for which each deadline has slack
MAX_MARGIN_SHARE = 0.5  # largest fraction of a request's stated time that is subtracted for lag


class LagSample(NamedTuple):
    """How late one tick was."""

    at: float
    lag: float  # seconds


class LagMeter:
    """Estimates the lag from the times of ticks. All times are seconds on the process's clock."""

    def __init__(self) -> None:
        self.worst = 0.0  # seconds: the largest lag since the process began
        self._next_tick_at: float | None = None  # None before the first tick
        self._samples: deque[LagSample] = deque()  # of decreasing lag: a sliding-window maximum

    def tick(self, now: float) -> float:
        """Record that the tick ran now; return when to run the next one."""
        self._record(now, self._overdue(now))
        self._next_tick_at = now + TICK_PERIOD
        return self._next_tick_at

    def _overdue(self, now: float) -> float:
        return max(0.0, now - self._next_tick_at) if self._next_tick_at is not None else 0.0

    def _record(self, now: float, lag: float) -> None:
        self.worst = max(self.worst, lag)
        while self._samples and self._samples[-1].lag <= lag:
            self._samples.pop()
        self._samples.append(LagSample(now, lag))
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        while self._samples and self._samples[0].at < now - LAG_WINDOW:
            self._samples.popleft()

    def age(self, now: float) -> float:
        """Return an upper bound on the age of the data that is read in this turn: seconds since its arrival.

        The bound is the lag of the last tick, or of the next one if that is overdue. If the last tick was
        late and the next one is overdue, the turn that began with the last tick is still running. Then the
        time that this turn has spent on other sockets is added.
        """
        overdue = self._overdue(now)
        if not self._samples:
            return overdue
        last = self._samples[-1]
        since_tick = now - last.at
        if since_tick < TICK_PERIOD:
            return max(overdue, last.lag)
        return max(overdue, last.lag + since_tick if last.lag > NEGLIGIBLE_LAG else 0.0)

    def delay(self, now: float) -> float:
        """Return how late a timer that is set now may fire, in seconds: the largest of the recent lags."""
        self._forget_old(now)
        return max(self.age(now), self._samples[0].lag if self._samples else 0.0)

    def time_left(self, now: float, stated: float) -> float:
        """Return the seconds that the node has for a request whose client allows `stated` seconds.

        The age of the request is subtracted, and twice the delay: the deadline's timer may fire late by the
        delay, and the response that it sends may leave late by the delay again. At most `MAX_MARGIN_SHARE`
        of the stated time is subtracted.
        """
        age = self.age(now)
        delay = self.delay(now)
        if age + delay <= NEGLIGIBLE_LAG:
            return stated
        return stated - min(age + 2.0 * delay, MAX_MARGIN_SHARE * max(0.0, stated))
