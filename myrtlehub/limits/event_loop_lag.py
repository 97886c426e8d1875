"""Event loop lag: how late this process reads and sends, and how much less time it therefore has.

On a machine without a free core, one turn of the event loop can take tenths of a second. A request that
arrived at the start of such a turn has waited before the node reads it, and a response that is ready leaves
late by as much, while the client's deadline comes closer. A timer that is set for every `TICK_PERIOD` fires
late by the length of the turn before it. From these ticks alone the meter bounds the age of what is read now
and the delay of what is sent next.
"""

from collections import deque
from typing import NamedTuple

TICK_PERIOD = 0.02  # seconds between ticks
LAG_WINDOW = 2.0  # seconds for which a late tick is expected to occur again
NEGLIGIBLE_LAG = 0.005  # seconds of lag that every node has, and that the slack of each deadline allows for
MAX_MARGIN_SHARE = 0.5  # share of the time left that the margin may take, so that the rest is left for work


class LagSample(NamedTuple):
    """How late one tick was."""

    at: float
    lag: float  # seconds


class LagMeter:
    """Bounds the lag by the times of ticks; all times are seconds on the process's clock."""

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
        """Return a bound on how long ago the data that is read in this turn arrived, in seconds.

        It is the lag of the tick that is overdue, or of the last one. If the last tick was late and no other
        has run for a period, the turn that it began still runs. Then the data has also waited for the time
        that this turn has taken to read from other sockets.
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
        """Return the seconds that the node has for a request to which its client gave `stated` seconds.

        The request's age is subtracted, and twice the delay: a timer fires late, and what it sends leaves one
        turn later. At most `MAX_MARGIN_SHARE` of the stated time is subtracted.
        """
        age = self.age(now)
        delay = self.delay(now)
        if age + delay <= NEGLIGIBLE_LAG:
            return stated
        return stated - min(age + 2.0 * delay, MAX_MARGIN_SHARE * max(0.0, stated))
