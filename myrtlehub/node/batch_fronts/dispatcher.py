"""Sends engine batches within their front's share of the engines, and queues the others.

Common engines are engines of a kind that serves several fronts.
"""

from collections.abc import Sequence

from myrtlehub.clock import Clock
from myrtlehub.config.node import NodeConfig
from myrtlehub.config.traffic import Front
from myrtlehub.limits.fair_share import FairShare
from myrtlehub.membership.endpoint import Endpoint
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.batch_fronts.engine_batch import EngineBatch
from myrtlehub.node.batch_fronts.front_capacity import FrontCapacity
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.request_decoder import RequestDecoder, decoded_request_of
from myrtlehub.node.sequences import Attempt

CHAT_FRONT = "chat"
BATCH_FRONTS: tuple[Front, ...] = ("embed", "rank")


class BatchDispatcher(ExecutorObserver):
    """Sends the engine batches of a node, and counts each front's tokens in flight at common engines.

    Attributes:
        fair_share: the shares of the fronts, and the queued engine batches.
        fronts: the batch fronts for which the settings have a traffic type.
        pooled_fronts: the fronts in the order of the engine pools; empty if there is only one router.
    """

    def __init__(
        self, executor: ActionExecutor, decoder: RequestDecoder, config: NodeConfig, clock: Clock
    ) -> None:
        self.executor = executor
        self.decoder = decoder
        self.clock = clock
        self._utility = _utility_by_front(config)
        self.fair_share: FairShare[EngineBatch] = FairShare(
            {str(front): utility for front, utility in self._utility.items()}
        )
        self.fronts: list[Front] = [front for front in BATCH_FRONTS if front in self._utility]
        self.pooled_fronts: Sequence[Front] = ()
        self._config = config
        self._common_kinds: set[str] = set()  # kinds of engines that serve several fronts
        executor.add_observer(self)

    def send(self, engine_batch: EngineBatch) -> None:
        """Send an engine batch now, or queue it until the front's share allows it."""
        now = self.clock.seconds()
        front = engine_batch.request.front
        size = engine_batch.token_count
        self._update_share(front, 0.0)
        if self.fair_share.queue_length(front) or not self.fair_share.may_send(now, front, size):
            self.fair_share.enqueue(front, engine_batch, size)
            return
        self.fair_share.record_sent(front, size)
        engine_batch.start()

    def drop(self, engine_batch: EngineBatch) -> None:
        """Remove a queued engine batch that no batch waits for any more."""
        self.fair_share.cancel(engine_batch.request.front, engine_batch)

    def ended(self, engine_batch: EngineBatch) -> None:
        """Handle the end of an engine batch, after which another one may be sent."""
        front = engine_batch.request.front
        self.fair_share.record_done(front, engine_batch.token_count)
        self._update_share(front, 0.0)
        self.clock.callLater(0, self._send_waiting_of, front)

    def send_waiting(self) -> None:
        """Send queued engine batches as far as the current shares allow."""
        for front in self.fronts:
            self._send_waiting_of(front)

    def _send_waiting_of(self, front: str) -> None:
        while (engine_batch := self.fair_share.next_batch(self.clock.seconds(), front)) is not None:
            if engine_batch.waiting_batches:
                engine_batch.start()
            else:
                self.fair_share.record_done(front, engine_batch.token_count)

    def update_shares(self, serving: Sequence[Endpoint], capacity: FrontCapacity) -> None:
        """Update the shares after a change of the endpoint list; `serving`: the engines in state serving."""
        kinds = {kind.name: kind for kind in self._config.kinds}
        node_count = self._config.node.nodes
        for front in self.fronts:
            self.fair_share.set_engine_count(front, capacity.engine_count(front), node_count)
        fronts = self._utility
        self._common_kinds = {
            kind.name for kind in kinds.values() if sum(kind.serves(front) for front in fronts) > 1
        }
        for front in fronts:
            self.fair_share.has_own_engines[front] = any(
                kinds[endpoint.kind].serves(front) and endpoint.kind not in self._common_kinds
                for endpoint in serving
            )
        common = [kinds[endpoint.kind] for endpoint in serving if endpoint.kind in self._common_kinds]
        self.fair_share.common_capacity = sum(kind.batch for kind in common) / node_count

    def attempt_started(self, attempt: Attempt) -> None:
        """Add an attempt's tokens to those of its front at common engines."""
        self._add_attempt_tokens(attempt, 1)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Subtract an attempt's tokens from those of its front at common engines."""
        self._add_attempt_tokens(attempt, -1)

    def _add_attempt_tokens(self, attempt: Attempt, sign: int) -> None:
        if not self.pooled_fronts:
            return
        request = decoded_request_of(attempt.sequence)
        if request.front != CHAT_FRONT and attempt.engine_kind in self._common_kinds:
            self._update_share(request.front, sign * request.prompt_tokens)

    def _update_share(self, front: str, tokens: float) -> None:
        """Add to a front's tokens at common engines, and exclude or readmit the front there by its share."""
        if not (self.pooled_fronts and self.fair_share.common_capacity):
            return
        if self.fair_share.update_common_tokens(self.clock.seconds(), front, tokens):
            pool = self.pooled_fronts.index(front)
            self.clock.callLater(0, self.executor.set_pool_closed, pool, self.fair_share.is_excluded[front])


def _utility_by_front(config: NodeConfig) -> dict[Front, float]:
    return {
        front: max(traffic.utility for traffic in config.traffic if traffic.front == front)
        for front in {traffic.front for traffic in config.traffic}
    }
