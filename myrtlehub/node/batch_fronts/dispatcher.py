"""Sends engine batches, as far as each front's share of common engines allows; the others wait here."""

from collections.abc import Sequence

from myrtlehub.clock import Clock
from myrtlehub.config.node import NodeConfig
from myrtlehub.limits.fair_share import FairShare
from myrtlehub.membership.endpoint import Endpoint
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.batch_fronts.engine_batch import EngineBatch
from myrtlehub.node.batch_fronts.front_capacity import FrontCapacity
from myrtlehub.node.sequences import Attempt

CHAT_FRONT = "chat"
BATCH_FRONTS = ("embed", "rank")


class BatchDispatcher:
    """The engine batches of a node, and what its fronts have at common engines."""

    def __init__(self, executor: ActionExecutor, sheet: NodeConfig, clock: Clock) -> None:
        self.executor = executor
        self.clock = clock
        self.shares = FairShare(_utility_by_front(sheet))
        self.fronts = [front for front in BATCH_FRONTS if front in self.shares.utility]
        self.pooled_fronts: list[str] = []  # in the order of the engine pools; empty: there is one router
        self._sheet = sheet
        self._common_kinds: set[str] = set()  # kinds of engines that serve several fronts
        executor.on_attempt_sent = lambda attempt: self._attempt_moved(attempt, 1)
        executor.on_attempt_ended = lambda attempt: self._attempt_moved(attempt, -1)

    def send(self, engine_batch: EngineBatch) -> None:
        """Send an engine batch now, or once the front's share allows it."""
        now = self.clock.seconds()
        front = engine_batch.request.front
        size = engine_batch.token_count
        self._update_share(front, 0.0)
        if self.shares.queue_length(front) or not self.shares.may_send(now, front, size):
            self.shares.enqueue(front, engine_batch, size)
            return
        self.shares.record_sent(front, size)
        engine_batch.start()

    def drop(self, engine_batch: EngineBatch) -> None:
        """Remove an engine batch that waits, and that nobody wants any more."""
        self.shares.cancel(engine_batch.request.front, engine_batch)

    def ended(self, engine_batch: EngineBatch) -> None:
        """Take note that an engine batch ended; another one may be sent."""
        front = engine_batch.request.front
        self.shares.record_done(front, engine_batch.token_count)
        self._update_share(front, 0.0)
        self.clock.callLater(0, self._send_waiting_of, front)

    def send_waiting(self) -> None:
        """Send what waits, as far as capacity has grown."""
        for front in self.fronts:
            self._send_waiting_of(front)

    def _send_waiting_of(self, front: str) -> None:
        while (engine_batch := self.shares.next_piece(self.clock.seconds(), front)) is not None:
            if engine_batch.wanted_by:
                engine_batch.start()
            else:
                self.shares.record_done(front, engine_batch.token_count)

    def update_shares(self, serving: Sequence[Endpoint], capacity: FrontCapacity) -> None:
        """Take the engines that serve, by the endpoint list: the shares are of the common ones."""
        kinds = {kind.name: kind for kind in self._sheet.kinds}
        node_count = self._sheet.node.nodes
        for front in self.fronts:
            self.shares.set_engine_count(front, capacity.engine_count(front), node_count)
        fronts = self.shares.utility
        self._common_kinds = {
            kind.name for kind in kinds.values() if sum(kind.serves(front) for front in fronts) > 1
        }
        for front in fronts:
            self.shares.has_own_engines[front] = any(
                kinds[row.kind].serves(front) and row.kind not in self._common_kinds for row in serving
            )
        common = [kinds[row.kind] for row in serving if row.kind in self._common_kinds]
        self.shares.common_capacity = sum(kind.batch for kind in common) / node_count

    def _attempt_moved(self, attempt: Attempt, sign: int) -> None:
        """Take note that an attempt was sent to an engine, or has ended there."""
        request = attempt.sequence.request
        if self.pooled_fronts and request.front != CHAT_FRONT and attempt.kind in self._common_kinds:
            self._update_share(request.front, sign * request.prompt_tokens)

    def _update_share(self, front: str, tokens: float) -> None:
        """Open or close common engines to a front, after it has so many more or fewer tokens there."""
        if not (self.pooled_fronts and self.shares.common_capacity):
            return
        if self.shares.update_common_tokens(self.clock.seconds(), front, tokens):
            pool = self.pooled_fronts.index(front)
            self.clock.callLater(0, self.executor.set_pool_closed, pool, self.shares.excluded[front])


def _utility_by_front(sheet: NodeConfig) -> dict[str, float]:
    return {
        front: max(traffic.utility for traffic in sheet.traffic if traffic.front == front)
        for front in {traffic.front for traffic in sheet.traffic}
    }
