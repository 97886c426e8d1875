"""Admission at the door: how many sequences may wait for their beginning, who waits here, who is shed. Pure.

The limit follows measured latency as TCP Vegas does; `docs/design/limits.md` weighs it against others. What
comes above it waits here, the most utility first, and is shed once it has waited for a share of its latency
SLO; beyond a short queue the least worth is shed at once, whoever comes.
Shedding is a rejection: nothing ran.

It does not decide where work goes, nor whether a sequence can still be done in time: that stays with the
module, which sees only what was let in.
"""

from bisect import insort
from collections.abc import Iterable
from random import Random
from typing import Protocol

NEVER = float("inf")
LEAST, FIRST, MOST = 4.0, 10.0, 20000.0  # bounds and start of a limit, sequences not begun
PATIENCE = 0.4  # share of the latency SLO for which a sequence waits at the door
QUEUE = 0.5  # of the limit, that may wait
FRESH = 0.1  # weight of a new sample
FORGET = 20.0  # seconds after which the least latency is measured anew, as the fleet may have changed
SHORT, LONG = 0.5, 0.7  # share of the latency that is queue, below which a limit grows, or falls above
LOST = 0.5  # by which the limit falls for one that had time enough and did not begin
NEAR = 0.8  # of the limit in hand, above which it may grow


class Control(Protocol):
    """What moves the limit."""

    limit: float

    def sample(self, now: float, share: float | None, in_hand: int) -> None:
        """See `Vegas`."""


class Vegas:
    """Brakmo and Peterson 1995: the queue is what the limit holds beyond the least latency of late.

    Latencies are shares of the latency SLO, so that traffic types can be told by one figure.
    """

    def __init__(self) -> None:
        self.limit, self._least, self._least_at, self._mean = FIRST, NEVER, 0.0, 0.0

    def sample(self, now: float, share: float | None, in_hand: int) -> None:
        """`share`: of its latency SLO that a beginning took; None: there was none in time."""
        if share is None:
            self.limit = max(LEAST, self.limit - LOST)
            return
        if share < self._least or now > self._least_at + FORGET:
            self._least, self._least_at = share, now
        self._mean = share if not self._mean else self._mean + FRESH * (share - self._mean)
        queue = 1.0 - self._least / max(self._mean, 1e-6)
        if queue > LONG:
            self.limit = max(LEAST, self.limit - 1.0 / self.limit**0.5)
        elif queue < SHORT and in_hand >= NEAR * self.limit:
            self.limit = min(MOST, self.limit + 1.0 / self.limit**0.5)


class Admission:
    """One node's. `utility` by traffic type."""

    def __init__(self, random: Random, utility: dict[str, float], control: Control | None = None) -> None:
        self.control, self.utility, self._draw = control or Vegas(), utility, random.random
        self.in_hand = 0
        self._queue: list[tuple[float, float, int, float, object]] = []  # -utility, due, order, came, item
        self._count = 0
        self._shed: list[object] = []

    def ask(self, now: float, name: str, slo: float, item: object) -> None:
        """A sequence came; it waits until `next` gives it back or `shed` does."""
        self._count += 1
        insort(self._queue, (-self.utility[name], now + PATIENCE * slo, self._count, now, item))
        if len(self._queue) > 1 + QUEUE * self.control.limit and self.in_hand >= self.control.limit:
            self._shed.append(self._queue.pop()[4])  # the least worth; of these the last to be due

    def next(self, now: float) -> object | None:
        """What may go on now: the most utility first, of equals the first to be due."""
        if not self._queue or self.in_hand >= self.control.limit:
            return None
        self.in_hand += 1
        return self._queue.pop(0)[4]

    def shed(self, now: float) -> Iterable[object]:
        """What has waited long enough, and what was least worth; each once."""
        late = [q for q in self._queue if q[1] <= now]
        self._queue = [q for q in self._queue if q[1] > now]
        out, self._shed = [*self._shed, *(q[4] for q in late)], []
        return out

    def due_at(self) -> float:
        """When something has waited long enough."""
        return min((q[1] for q in self._queue), default=NEVER)

    def drop(self, item: object) -> bool:
        """Its client left; whether it still waited here."""
        left = [q for q in self._queue if q[4] is not item]
        gone = len(left) < len(self._queue)
        self._queue = left
        return gone

    def begun(self, now: float, took: float, slo: float) -> None:
        """One that was let in has begun, `took` seconds after it came."""
        self.in_hand -= 1
        self.control.sample(now, took / slo, self.in_hand + 1)

    def failed(self, now: float, had_time: bool) -> None:
        """One that was let in ended without a beginning. It tells of load only if it had time enough."""
        self.in_hand -= 1
        if had_time:
            self.control.sample(now, None, self.in_hand + 1)

    def wait_hint(self, most: float) -> float:
        """Seconds after which a shed one should come again, spread so that they don't come together."""
        return most * (0.5 + 0.5 * self._draw())
