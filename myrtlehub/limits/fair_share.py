"""Fair share: how fronts divide the engines that serve several of them, which are called common engines.

Engines have short queues, so a batch of thousands of items is not sent to them at once. The nodes together
have a few pieces in flight for each engine of a front. The other pieces are queued here, where they can be
cancelled at no cost.

The first token of a chat waits for all work that a common engine has. So the work that a batch front may have
in flight at common engines is bounded. The share of a front is its demand weighted by utility, relative to
that of all fronts with demand. A front without demand leaves its share to the others, and the only front with
demand has all of it. A front that has engines of its own in addition is excluded from the common ones while
it has more than its share in flight there; the pieces of a front that has none are queued here.
"""

from collections import deque
from collections.abc import Mapping
from typing import Generic, NamedTuple, TypeVar

Piece = TypeVar("Piece")  # a part of a batch, which the caller sends to an engine

DEMAND_HALF_LIFE = 5.0  # seconds
PIECES_PER_ENGINE = 4  # in flight for each engine of a front, over all nodes: one runs, the others are queued
IDLE_AFTER = 10.0  # seconds without a request after which a front has no demand
EVEN_SHARE = 0.5  # least share with which a front with engines of its own may use common ones too
MIN_SHARE = 0.02  # least share of any front, so that none starves
READMIT_SHARE = 0.5  # share of its bound below which an excluded front is readmitted
SHARE_TOLERANCE = 1e-9  # by which a share may be below EVEN_SHARE because of rounding


class Demand(NamedTuple):
    """The demand for a front's work as of a time: a decaying counter of tokens."""

    tokens: float
    at: float


class QueuedPiece(NamedTuple, Generic[Piece]):
    """A piece that waits to be sent."""

    piece: Piece
    tokens: float


class FairShare(Generic[Piece]):
    """The work that each front of a node has in flight, and its share of the common engines."""

    def __init__(self, utility: Mapping[str, float]) -> None:
        """Make the state of fronts without work; `utility` maps each front to the utility of one token."""
        self.utility = utility
        self.common_capacity = 0.0  # tokens that the common engines can run at once, divided by the nodes
        self.tokens_in_flight = dict.fromkeys(utility, 0.0)
        self.common_tokens = dict.fromkeys(utility, 0.0)  # tokens in flight at common engines
        self.has_own_engines = dict.fromkeys(utility, False)
        self.is_excluded = dict.fromkeys(utility, False)  # whether a front may not use the common engines
        self.pieces_in_flight = dict.fromkeys(utility, 0)
        self.max_pieces: dict[str, int | None] = dict.fromkeys(utility)  # in flight; None: no bound
        self._demand: dict[str, Demand] = {}
        self._queues: dict[str, deque[QueuedPiece[Piece]]] = {front: deque() for front in utility}

    def add_demand(self, now: float, front: str, tokens: float) -> None:
        """Add the tokens of a request to the demand of its front, whichever engines will run the request."""
        self._demand[front] = Demand(self._recent_demand(now, front) + tokens, now)

    def _recent_demand(self, now: float, front: str) -> float:
        demand = self._demand.get(front)
        if demand is None:
            return 0.0
        age = now - demand.at
        if age > IDLE_AFTER:
            # Demands decay at the same rate, so that of an idle front would keep its proportion to the others
            # and reserve a share that is not used.
            return 0.0
        remaining: float = 0.5 ** (age / DEMAND_HALF_LIFE)
        return demand.tokens * remaining

    def share(self, now: float, front: str) -> float:
        """Return a front's share of the common engines; 1 if no other front has demand."""
        demanded = {name: self.utility[name] * self._recent_demand(now, name) for name in self.utility}
        others = sum(utility for name, utility in demanded.items() if name != front)
        if others <= 0.0:
            return 1.0
        if not demanded[front]:
            return MIN_SHARE
        # The demand that counts is bounded by that of the others, weighted by utility: a flood of requests to
        # one front does not enlarge its share (tests/limits/test_front_shares.py).
        own = min(demanded[front], others * self.utility[front] / max(self.utility.values()))
        return max(MIN_SHARE, own / (own + others))

    def set_engine_count(self, front: str, engines: int, nodes: int) -> None:
        """Bound the pieces in flight by the engines of a front, and by the nodes that send to them."""
        self.max_pieces[front] = max(1, -(-PIECES_PER_ENGINE * engines // max(1, nodes)))

    def may_send(self, now: float, front: str, tokens: float) -> bool:
        """Return whether a front may send a piece of `tokens` tokens.

        A front with no piece in flight may always send one. Without this rule, a piece larger than
        the front's share would never be sent.
        """
        if not self.pieces_in_flight[front]:
            return True
        max_pieces = self.max_pieces[front]
        if max_pieces is not None and self.pieces_in_flight[front] >= max_pieces:
            return False
        if self.common_capacity <= 0.0 or self.has_own_engines[front]:
            return True
        return self.tokens_in_flight[front] + tokens <= self.share(now, front) * self.common_capacity

    def record_sent(self, front: str, tokens: float) -> None:
        """Record that a piece was sent."""
        self.tokens_in_flight[front] += tokens
        self.pieces_in_flight[front] += 1

    def record_done(self, front: str, tokens: float) -> None:
        """Record that a piece ended, whatever its outcome."""
        self.tokens_in_flight[front] = max(0.0, self.tokens_in_flight[front] - tokens)
        self.pieces_in_flight[front] = max(0, self.pieces_in_flight[front] - 1)

    def update_common_tokens(self, now: float, front: str, tokens: float) -> bool:
        """Record a change of a front's tokens at common engines; return whether `is_excluded` has changed.

        A front is excluded when it reaches its share, and readmitted at half of it, so that the state does
        not change with each piece. It is also excluded while the others' demand, weighted by utility, is
        larger than its own: it has engines of its own, and the others may have none.

        Args:
            now: seconds.
            front: the front; it is never excluded if it has no engines of its own.
            tokens: tokens that were sent to a common engine; negative if they ended there.
        """
        self.common_tokens[front] = max(0.0, self.common_tokens[front] + tokens)
        used = self.common_tokens[front]
        bound = self._common_bound(now, front)
        was_excluded = self.is_excluded[front]
        may_be_readmitted = bound > 0.0 and used <= READMIT_SHARE * bound
        if not self.has_own_engines[front] or may_be_readmitted:
            self.is_excluded[front] = False
        elif used >= bound:
            self.is_excluded[front] = True
        return self.is_excluded[front] != was_excluded

    def _common_bound(self, now: float, front: str) -> float:
        """Return the tokens that a front with engines of its own may have at common engines."""
        share = self.share(now, front)
        return share * self.common_capacity if share >= EVEN_SHARE - SHARE_TOLERANCE else 0.0

    def enqueue(self, front: str, piece: Piece, tokens: float) -> None:
        """Queue a piece that may not be sent yet."""
        self._queues[front].append(QueuedPiece(piece, tokens))

    def cancel(self, front: str, piece: Piece) -> None:
        """Remove a queued piece whose results are not needed any more."""
        self._queues[front] = deque(queued for queued in self._queues[front] if queued.piece is not piece)

    def next_piece(self, now: float, front: str) -> Piece | None:
        """Return the next queued piece and count it as sent; None if none may be sent now."""
        queue = self._queues[front]
        if not queue or not self.may_send(now, front, queue[0].tokens):
            return None
        piece, tokens = queue.popleft()
        self.record_sent(front, tokens)
        return piece

    def queue_length(self, front: str) -> int:
        """Return the number of queued pieces."""
        return len(self._queues[front])
