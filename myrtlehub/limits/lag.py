"""How late a node hears and speaks, and by how much sooner it therefore gives up. Pure.

On a machine without a free core a node's turn can take tenths of a second. A request that came at the start
of such a turn has been waiting before the node first looks at it, and an answer that is due leaves late by as
much. The client's clock runs meanwhile. A beat, a timer that is due every `PERIOD`, comes late by what the
turn before it took; from beats alone the meter bounds the age of what is read now and the delay of what is
said next.
"""

from collections import deque

PERIOD = 0.02  # seconds between beats
WINDOW = 2.0  # seconds for which a late beat is taken to come again
FLOOR = 0.005  # seconds of lateness that every node has: the answer's own slack is for them
MOST = 0.5  # of the time left that the margin may take: the rest is for doing the work


class LagMeter:
    """Beats in, bounds out; all times in seconds of the node's clock."""

    def __init__(self) -> None:
        self._due: float | None = None
        self._late: deque[tuple[float, float]] = deque()  # when, and how late; falling: a running maximum
        self.worst = 0.0  # ever

    def beat(self, now: float) -> float:
        """A beat was carried out now; returns when the next one is due."""
        late = max(0.0, now - self._due) if self._due is not None else 0.0
        self._note(now, late)
        self._due = now + PERIOD
        return self._due

    def _note(self, now: float, late: float) -> None:
        self.worst = max(self.worst, late)
        while self._late and self._late[-1][1] <= late:
            self._late.pop()
        self._late.append((now, late))
        while self._late[0][0] < now - WINDOW:
            self._late.popleft()

    def age(self, now: float) -> float:
        """At most so long ago came what is read in this turn: as late as the beat overdue or the last one."""
        overdue = max(0.0, now - self._due) if self._due is not None else 0.0
        last = self._late[-1] if self._late else (0.0, 0.0)
        return max(overdue, last[1] if now - last[0] < PERIOD else 0.0)

    def delay(self, now: float) -> float:
        """So late may be what is due at a moment ahead: the worst of the last while."""
        while self._late and self._late[0][0] < now - WINDOW:
            self._late.popleft()
        return max(self.age(now), self._late[0][1] if self._late else 0.0)

    def left(self, now: float, stated: float) -> float:
        """Seconds that a node really has for what a client gave `stated` seconds: sooner by the age of the
        request, and by twice the delay, as a timer comes late and what it says leaves a turn later.
        """
        age, delay = self.age(now), self.delay(now)
        if age + delay <= FLOOR:
            return stated
        return stated - min(age + 2.0 * delay, MOST * max(0.0, stated))
