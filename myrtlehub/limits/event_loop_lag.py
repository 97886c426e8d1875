"""Event loop lag: how late a process hears and answers, and how much sooner it therefore has to give up.

On a machine without a free core one turn of the event loop can take tenths of a second. A request that
arrived at the start of such a turn has been waiting before the node first looks at it, and an answer that is
due leaves late by as much, while the client's clock runs on. A timer that is due every `TICK_PERIOD` fires
late by what the turn before it took. From these ticks alone the meter bounds the age of what is read now and
the delay of what is sent next.
"""

from collections import deque
from typing import NamedTuple

TICK_PERIOD = 0.02  # seconds between ticks
LAG_WINDOW = 2.0  # seconds for which a late tick is expected to occur again
NEGLIGIBLE_LAG = 0.005  # seconds that every node has: the slack of each answer allows for them
MAX_MARGIN_SHARE = 0.5  # of the time left that the margin may take: the rest is for doing the work


class LagSample(NamedTuple):
    """How late one tick was."""

    at: float
    lag: float


NO_SAMPLE = LagSample(0.0, 0.0)


class LagMeter:
    """Turns the times of ticks into bounds; all times in seconds of the process's clock."""

    def __init__(self) -> None:
        self.worst = 0.0  # since the process began
        self._due: float | None = None
        self._samples: deque[LagSample] = deque()  # decreasing lag: a running maximum

    def tick(self, now: float) -> float:
        """Record that the tick ran now; return when the next one is due."""
        self._record(now, self._overdue(now))
        self._due = now + TICK_PERIOD
        return self._due

    def _overdue(self, now: float) -> float:
        return max(0.0, now - self._due) if self._due is not None else 0.0

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
        """Return a bound on how long ago what is read in this turn arrived.

        It is as late as the tick that is overdue, or as the last one. Where that was late and no other has
        come since, the same turn goes on: what it reads last has waited for what it read before, too.
        """
        last = self._samples[-1] if self._samples else NO_SAMPLE
        since_tick = now - last.at
        if since_tick < TICK_PERIOD:
            return max(self._overdue(now), last.lag)
        return max(self._overdue(now), last.lag + since_tick if last.lag > NEGLIGIBLE_LAG else 0.0)

    def delay(self, now: float) -> float:
        """Return how late a timer that is set now may fire: the worst of the recent ticks."""
        self._forget_old(now)
        return max(self.age(now), self._samples[0].lag if self._samples else 0.0)

    def time_left(self, now: float, stated: float) -> float:
        """Return the seconds that a node really has for what a client gave `stated` seconds.

        Less by the age of the request, and by twice the delay, as a timer fires late and what it sends leaves
        a turn later.
        """
        age = self.age(now)
        delay = self.delay(now)
        if age + delay <= NEGLIGIBLE_LAG:
            return stated
        return stated - min(age + 2.0 * delay, MAX_MARGIN_SHARE * max(0.0, stated))
