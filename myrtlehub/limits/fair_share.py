"""Fair share: how fronts divide the engines that serve several of them.

Engines have short queues. A batch of thousands of items is not sent to them at once: a front has a few pieces
in flight for each of its engines, all nodes together, and the rest is queued here, where it can still be
cancelled at no cost.

First tokens of chat wait behind whatever a common engine does. So what a batch front may have in flight at
common engines is bounded by utility: the share of each front is the utility that is demanded of it against
that of all fronts with demand. A front without demand leaves its share to the others, and a front that is
alone has all of it. A front that has engines of its own beside the common ones is excluded from these while
it has more in flight there than its share; one that has none waits here.
"""

from collections import deque
from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

Piece = TypeVar("Piece")  # what the caller sends to an engine

DEMAND_HALF_LIFE = 5.0  # seconds
PIECES_PER_ENGINE = 4  # in flight for each engine of a front, over all nodes: one runs, the others wait there
IDLE_AFTER = 10.0  # seconds without a request after which a front has no demand
EVEN_SHARE = 0.5  # from which a front with engines of its own may use common ones too
MIN_SHARE = 0.02  # that a front with any utility keeps, so that it is never shut out for good
READMIT_SHARE = 0.5  # of its bound, below which an excluded front is readmitted
ROUNDING = 1e-9


class Demand(NamedTuple):
    """Tokens that were demanded of a front, decayed up to a time."""

    tokens: float
    at: float


class QueuedPiece(NamedTuple, Generic[Piece]):
    """A piece that may not be sent yet."""

    piece: Piece
    tokens: float


class FairShare(Generic[Piece]):
    """What each front has in flight at common engines, in tokens, against its share of their capacity."""

    def __init__(self, utility: dict[Hashable, float]) -> None:
        """`utility` of a token, by front."""
        self.utility = utility
        self.common_capacity = 0.0  # tokens that common engines take at once, this node's part of them
        self.tokens_in_flight = dict.fromkeys(utility, 0.0)
        self.common_tokens = dict.fromkeys(utility, 0.0)  # of these, at common engines
        self.has_own_engines = dict.fromkeys(utility, False)
        self.excluded = dict.fromkeys(utility, False)  # from the common engines
        self.pieces_in_flight = dict.fromkeys(utility, 0)
        self.max_pieces = dict.fromkeys(utility, 0)  # that may be in flight; 0: any number
        self._demand: dict[Hashable, Demand] = {}
        self._queues: dict[Hashable, deque[QueuedPiece[Piece]]] = {front: deque() for front in utility}

    def add_demand(self, now: float, front: Hashable, tokens: float) -> None:
        """Record that a front is asked for so much work, wherever it will run."""
        self._demand[front] = Demand(self._recent_demand(now, front) + tokens, now)

    def _recent_demand(self, now: float, front: Hashable) -> float:
        demand = self._demand.get(front)
        if demand is None:
            return 0.0
        age = now - demand.at
        if age > IDLE_AFTER:
            return 0.0  # guards against a share that nobody uses: what decays alike stays in proportion
        return demand.tokens * 0.5 ** (age / DEMAND_HALF_LIFE)

    def share(self, now: float, front: Hashable) -> float:
        """Return a front's share of the common engines, by demanded utility; 1 where nobody else asks."""
        demanded = {name: self.utility[name] * self._recent_demand(now, name) for name in self.utility}
        others = sum(utility for name, utility in demanded.items() if name != front)
        if others <= 0.0:
            return 1.0
        if not demanded[front]:
            return MIN_SHARE
        # The demand of others bounds what ours counts for, however much it is: a flood gains nothing.
        own = min(demanded[front], others * self.utility[front] / max(self.utility.values()))
        return max(MIN_SHARE, own / (own + others))

    def set_engine_count(self, front: Hashable, engines: int, nodes: int) -> None:
        """Set how many engines a front has, and how many nodes like this one send to them."""
        self.max_pieces[front] = max(1, -(-PIECES_PER_ENGINE * engines // max(1, nodes)))

    def may_send(self, now: float, front: Hashable, tokens: float) -> bool:
        """Return whether so much more may be sent; one piece always may, so that nothing waits for ever."""
        if not self.pieces_in_flight[front]:
            return True
        if 0 < self.max_pieces[front] <= self.pieces_in_flight[front]:
            return False
        if self.common_capacity <= 0.0 or self.has_own_engines[front]:
            return True
        return self.tokens_in_flight[front] + tokens <= self.share(now, front) * self.common_capacity

    def record_sent(self, front: Hashable, tokens: float) -> None:
        """Record that a piece was sent."""
        self.tokens_in_flight[front] += tokens
        self.pieces_in_flight[front] += 1

    def record_done(self, front: Hashable, tokens: float) -> None:
        """Record that a piece is back, however it ended."""
        self.tokens_in_flight[front] = max(0.0, self.tokens_in_flight[front] - tokens)
        self.pieces_in_flight[front] = max(0, self.pieces_in_flight[front] - 1)

    def update_common_tokens(self, now: float, front: Hashable, tokens: float) -> bool:
        """Record tokens sent to a common engine, or back (negative); return whether `excluded` has changed.

        A front is excluded at its share and readmitted at half of it, lest each piece changes it; and for as
        long as the others demand more utility than it does: it has engines of its own, they may have none.
        """
        self.common_tokens[front] = max(0.0, self.common_tokens[front] + tokens)
        share = self.share(now, front)
        before = self.excluded[front]
        bound = share * self.common_capacity if share >= EVEN_SHARE - ROUNDING else 0.0
        readmitted = bound and self.common_tokens[front] <= READMIT_SHARE * bound
        if not self.has_own_engines[front] or readmitted:
            self.excluded[front] = False
        elif self.common_tokens[front] >= bound or not bound:
            self.excluded[front] = True
        return self.excluded[front] != before

    def enqueue(self, front: Hashable, piece: Piece, tokens: float) -> None:
        """Queue a piece that may not be sent yet."""
        self._queues[front].append(QueuedPiece(piece, tokens))

    def cancel(self, front: Hashable, piece: Piece) -> None:
        """Remove a piece that nobody wants any more."""
        self._queues[front] = deque(queued for queued in self._queues[front] if queued.piece is not piece)

    def next_piece(self, now: float, front: Hashable) -> Piece | None:
        """Return a queued piece that may be sent now, and count it as sent."""
        queue = self._queues[front]
        if not queue or not self.may_send(now, front, queue[0].tokens):
            return None
        piece, tokens = queue.popleft()
        self.record_sent(front, tokens)
        return piece

    def queue_length(self, front: Hashable) -> int:
        """Return the number of queued pieces."""
        return len(self._queues[front])
