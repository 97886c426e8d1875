"""Fair share: divides the capacity of common engines, which serve more than one front.

A front is the part of a node that serves one API: chat, embeddings or rerank. A batch request is split into
engine batches, each of which is sent to one engine. Engines have short queues, so the engine batches of a
large request are not sent all at once. All nodes together have a few engine batches in flight for each engine
of a front. The others are queued here, where cancelling them costs nothing.

At a common engine, the first token of a chat has to wait for all work that was sent there earlier. Therefore
the work that a batch front may have in flight at common engines is bounded. The share of a front is its
demand weighted by utility, divided by the sum over all fronts. Capacity that a front without demand does not
use goes to the others, and the only front with demand may use all common engines. A front that also has
engines of its own is excluded from the common ones while it exceeds its share there. A front without engines
of its own cannot be excluded; its engine batches are queued here instead.
"""

from collections import deque
from collections.abc import Mapping
from typing import Generic, NamedTuple, TypeVar

EngineBatchT = TypeVar("EngineBatchT")  # items of a batch request that the caller sends to one engine

DEMAND_HALF_LIFE = 5.0  # seconds
BATCHES_PER_ENGINE = 4  # in flight per engine, over all nodes: one runs, the others wait at the engine
IDLE_AFTER = 10.0  # seconds without a request after which the demand of a front counts as 0
MIN_COMMON_SHARE = 0.5  # a front with its own engines may use common ones only from this share on
MIN_SHARE = 0.02  # smallest share of any front, so that none starves
READMISSION_SHARE = 0.5  # an excluded front is readmitted once its usage falls to this fraction of its limit
SHARE_TOLERANCE = 1e-9  # by which rounding may reduce a share below MIN_COMMON_SHARE


class Demand(NamedTuple):
    """The demand for a front: a decaying counter of requested tokens, and when it was last updated."""

    tokens: float
    updated_at: float


class QueuedEngineBatch(NamedTuple, Generic[EngineBatchT]):
    """An engine batch that waits to be sent."""

    engine_batch: EngineBatchT
    tokens: float


class FairShare(Generic[EngineBatchT]):
    """The work in flight, the queued engine batches and the share of each front of a node."""

    def __init__(self, utility: Mapping[str, float]) -> None:
        """Start with no work in flight; `utility` maps each front to the utility of one token."""
        self.utility = utility
        self.common_capacity = 0.0  # this node's part of the tokens that common engines can process at once
        self.tokens_in_flight = dict.fromkeys(utility, 0.0)
        self.common_tokens = dict.fromkeys(utility, 0.0)  # tokens in flight at common engines
        self.has_own_engines = dict.fromkeys(utility, False)
        self.is_excluded = dict.fromkeys(utility, False)  # whether a front may not use the common engines
        self.batches_in_flight = dict.fromkeys(utility, 0)
        self.max_batches: dict[str, int | None] = dict.fromkeys(utility)  # in flight; None: no limit
        self._demand: dict[str, Demand] = {}
        self._queues: dict[str, deque[QueuedEngineBatch[EngineBatchT]]] = {
            front: deque() for front in utility
        }

    def add_demand(self, now: float, front: str, tokens: float) -> None:
        """Add the tokens of a request to the demand for its front, whichever engines will run it."""
        self._demand[front] = Demand(self._recent_demand(now, front) + tokens, now)

    def _recent_demand(self, now: float, front: str) -> float:
        demand = self._demand.get(front)
        if demand is None:
            return 0.0
        age = now - demand.updated_at
        if age > IDLE_AFTER:
            # All counters decay at the same rate. Without this limit, the counter of an idle front would keep
            # its ratio to those of other fronts without new requests and reserve a share that is not used.
            return 0.0
        remaining: float = 0.5 ** (age / DEMAND_HALF_LIFE)
        return demand.tokens * remaining

    def share(self, now: float, front: str) -> float:
        """Return a front's share of the common engines; 1 if no other front has demand."""
        weighted_demand = {name: self.utility[name] * self._recent_demand(now, name) for name in self.utility}
        other_demand = sum(utility for name, utility in weighted_demand.items() if name != front)
        if other_demand <= 0.0:
            return 1.0
        if not weighted_demand[front]:
            return MIN_SHARE
        # The front's demand is capped at that of the other fronts, scaled by its utility relative to the
        # highest one. Otherwise a flood of requests to one front would increase its share
        # (tests/limits/test_front_shares.py).
        capped_demand = min(
            weighted_demand[front], other_demand * self.utility[front] / max(self.utility.values())
        )
        return max(MIN_SHARE, capped_demand / (capped_demand + other_demand))

    def set_engine_count(self, front: str, engines: int, nodes: int) -> None:
        """Set the maximum of a front's engine batches in flight from the numbers of engines and nodes."""
        self.max_batches[front] = max(1, -(-BATCHES_PER_ENGINE * engines // max(1, nodes)))

    def may_send(self, now: float, front: str, tokens: float) -> bool:
        """Return whether a front may now send an engine batch of `tokens` tokens.

        A front without engine batches in flight may always send one. Otherwise an engine batch larger than
        the front's share would never be sent.
        """
        if not self.batches_in_flight[front]:
            return True
        max_batches = self.max_batches[front]
        if max_batches is not None and self.batches_in_flight[front] >= max_batches:
            return False
        if self.common_capacity <= 0.0 or self.has_own_engines[front]:
            return True
        return self.tokens_in_flight[front] + tokens <= self.share(now, front) * self.common_capacity

    def record_sent(self, front: str, tokens: float) -> None:
        """Record that an engine batch was sent."""
        self.tokens_in_flight[front] += tokens
        self.batches_in_flight[front] += 1

    def record_done(self, front: str, tokens: float) -> None:
        """Record that an engine batch ended, with any outcome."""
        self.tokens_in_flight[front] = max(0.0, self.tokens_in_flight[front] - tokens)
        self.batches_in_flight[front] = max(0, self.batches_in_flight[front] - 1)

    def update_common_tokens(self, now: float, front: str, tokens: float) -> bool:
        """Record a change of a front's tokens at common engines; return whether `is_excluded` changed.

        A front with engines of its own is excluded once it reaches its share, and readmitted when its usage
        falls to half of it. This hysteresis keeps the state from changing with each engine batch. A front is
        also excluded while its share is below `MIN_COMMON_SHARE`, because the other fronts may have only the
        common engines.

        Args:
            now: seconds.
            front: the front; it is never excluded if it has no engines of its own.
            tokens: the tokens of an engine batch sent to a common engine; negative for one that ended.
        """
        self.common_tokens[front] = max(0.0, self.common_tokens[front] + tokens)
        used_tokens = self.common_tokens[front]
        max_common_tokens = self._max_common_tokens(now, front)
        was_excluded = self.is_excluded[front]
        can_be_readmitted = max_common_tokens > 0.0 and used_tokens <= READMISSION_SHARE * max_common_tokens
        if not self.has_own_engines[front] or can_be_readmitted:
            self.is_excluded[front] = False
        elif used_tokens >= max_common_tokens:
            self.is_excluded[front] = True
        return self.is_excluded[front] != was_excluded

    def _max_common_tokens(self, now: float, front: str) -> float:
        """Return the maximum of tokens in flight at common engines, for a front with its own engines."""
        share = self.share(now, front)
        return share * self.common_capacity if share >= MIN_COMMON_SHARE - SHARE_TOLERANCE else 0.0

    def enqueue(self, front: str, engine_batch: EngineBatchT, tokens: float) -> None:
        """Queue an engine batch that may not be sent yet."""
        self._queues[front].append(QueuedEngineBatch(engine_batch, tokens))

    def cancel(self, front: str, engine_batch: EngineBatchT) -> None:
        """Remove a queued engine batch whose results are no longer needed."""
        self._queues[front] = deque(
            queued for queued in self._queues[front] if queued.engine_batch is not engine_batch
        )

    def next_batch(self, now: float, front: str) -> EngineBatchT | None:
        """Dequeue the next engine batch, record it as sent and return it; None if none may be sent now."""
        queue = self._queues[front]
        if not queue or not self.may_send(now, front, queue[0].tokens):
            return None
        engine_batch, tokens = queue.popleft()
        self.record_sent(front, tokens)
        return engine_batch

    def queue_length(self, front: str) -> int:
        """Return the number of queued engine batches."""
        return len(self._queues[front])
