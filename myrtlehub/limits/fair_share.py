"""Fair share: division of common engines, which are the engines that serve more than one front.

A front is the part of a node that serves one API: chat, embeddings or rerank. Batches are split into pieces.
Engines have short queues, so the pieces of a large batch are not sent to them all at once. All nodes together
have a few pieces in flight for each engine of a front. The other pieces are queued here, where cancelling
them costs nothing.

At a common engine, the first token of a chat has to wait for all work that was sent there earlier. Therefore
the work that a batch front may have in flight at common engines is bounded. The share of a front is its
demand weighted by utility, divided by the sum over all fronts. Capacity that a front without demand does not
use goes to the others, and a front that alone has demand may use all common engines. A front that also has
engines of its own is excluded from the common ones while it exceeds its share there. A front that has no
engines of its own cannot be excluded; its pieces are queued here instead.
"""

from collections import deque
from collections.abc import Mapping
from typing import Generic, NamedTuple, TypeVar

Piece = TypeVar("Piece")  # a part of a batch, which the caller sends to an engine

DEMAND_HALF_LIFE = 5.0  # seconds
PIECES_PER_ENGINE = 4  # pieces in flight per engine, over all nodes: one runs, the others wait there
IDLE_AFTER = 10.0  # seconds without a request after which a front has no demand
EVEN_SHARE = 0.5  # smallest share with which a front that has its own engines may also use common ones
MIN_SHARE = 0.02  # smallest share of any front, so that none starves
READMIT_SHARE = 0.5  # an excluded front is readmitted once its use falls to this fraction of its bound
SHARE_TOLERANCE = 1e-9  # by which a share may be below EVEN_SHARE because of rounding


class Demand(NamedTuple):
    """The demand for a front: the value of a decaying counter of requested tokens, and the time it is for."""

    tokens: float
    at: float


class QueuedPiece(NamedTuple, Generic[Piece]):
    """A piece that waits to be sent."""

    piece: Piece
    tokens: float


class FairShare(Generic[Piece]):
    """Each front's work in flight, its queued pieces, and its share of the common engines; one per node."""

    def __init__(self, utility: Mapping[str, float]) -> None:
        """Begin with no work in flight; `utility` maps each front to the utility of one token."""
        self.utility = utility
        self.common_capacity = 0.0  # this node's part of the tokens that common engines can run at once
        self.tokens_in_flight = dict.fromkeys(utility, 0.0)
        self.common_tokens = dict.fromkeys(utility, 0.0)  # tokens in flight at common engines
        self.has_own_engines = dict.fromkeys(utility, False)
        self.is_excluded = dict.fromkeys(utility, False)  # whether a front may not use the common engines
        self.pieces_in_flight = dict.fromkeys(utility, 0)
        self.max_pieces: dict[str, int | None] = dict.fromkeys(utility)  # in flight; None: unbounded
        self._demand: dict[str, Demand] = {}
        self._queues: dict[str, deque[QueuedPiece[Piece]]] = {front: deque() for front in utility}

    def add_demand(self, now: float, front: str, tokens: float) -> None:
        """Add the tokens of a request to the demand of its front, even if no common engine will run it."""
        self._demand[front] = Demand(self._recent_demand(now, front) + tokens, now)

    def _recent_demand(self, now: float, front: str) -> float:
        demand = self._demand.get(front)
        if demand is None:
            return 0.0
        age = now - demand.at
        if age > IDLE_AFTER:
            # All counters decay at the same rate. Without this limit, the counter of an idle front would keep
            # its ratio to those of other fronts without new requests, and reserve a share that is not used.
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
        # The front's own demand is capped at that of the others, scaled by the front's utility relative to
        # the highest one. Otherwise a flood of requests to one front would enlarge its share
        # (tests/limits/test_front_shares.py).
        own = min(demanded[front], others * self.utility[front] / max(self.utility.values()))
        return max(MIN_SHARE, own / (own + others))

    def set_engine_count(self, front: str, engines: int, nodes: int) -> None:
        """Set the bound of a front's pieces in flight, given its engines and the nodes that send to them."""
        self.max_pieces[front] = max(1, -(-PIECES_PER_ENGINE * engines // max(1, nodes)))

    def may_send(self, now: float, front: str, tokens: float) -> bool:
        """Return whether a front may now send a piece of `tokens` tokens.

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
        """Record that a piece ended, with any outcome."""
        self.tokens_in_flight[front] = max(0.0, self.tokens_in_flight[front] - tokens)
        self.pieces_in_flight[front] = max(0, self.pieces_in_flight[front] - 1)

    def update_common_tokens(self, now: float, front: str, tokens: float) -> bool:
        """Record a change of a front's tokens at common engines; return whether `is_excluded` has changed.

        A front with engines of its own is excluded once it reaches its share, and readmitted when it falls
        to half of it; this hysteresis keeps the state from changing with each piece. It is also excluded
        while its share is below `EVEN_SHARE`, because the other fronts may have only the common engines.

        Args:
            now: seconds.
            front: the front; it is never excluded if it has no engines of its own.
            tokens: the tokens of a piece that was sent to a common engine; negative for one that ended.
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
        """Return the tokens that a front with its own engines may have in flight at common ones."""
        share = self.share(now, front)
        return share * self.common_capacity if share >= EVEN_SHARE - SHARE_TOLERANCE else 0.0

    def enqueue(self, front: str, piece: Piece, tokens: float) -> None:
        """Queue a piece that may not be sent yet."""
        self._queues[front].append(QueuedPiece(piece, tokens))

    def cancel(self, front: str, piece: Piece) -> None:
        """Remove a queued piece whose results are no longer needed."""
        self._queues[front] = deque(queued for queued in self._queues[front] if queued.piece is not piece)

    def next_piece(self, now: float, front: str) -> Piece | None:
        """Dequeue the next piece, count it as sent and return it; None if none may be sent now."""
        queue = self._queues[front]
        if not queue or not self.may_send(now, front, queue[0].tokens):
            return None
        piece, tokens = queue.popleft()
        self.record_sent(front, tokens)
        return piece

    def queue_length(self, front: str) -> int:
        """Return the number of queued pieces."""
        return len(self._queues[front])
