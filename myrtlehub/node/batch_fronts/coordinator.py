"""All batches of a node: their admission, the result cache, and dynamic batching of small requests."""

from collections.abc import Hashable
from typing import NamedTuple

from myrtlehub.batching.dynamic_batcher import BatchingWindow, DynamicBatcher
from myrtlehub.batching.result_cache import ResultCache
from myrtlehub.batching.result_merger import BatchAnswer, BatchOutcome
from myrtlehub.clock import Clock, Timer
from myrtlehub.config.node import NodeConfig
from myrtlehub.membership.endpoint import is_serving
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.batch_fronts.batch_request import BatchRequest
from myrtlehub.node.batch_fronts.dispatcher import BatchDispatcher
from myrtlehub.node.batch_fronts.engine_batch import EngineBatch
from myrtlehub.node.batch_fronts.front_capacity import FrontCapacity
from myrtlehub.node.batch_fronts.in_flight_batch import InFlightBatch
from myrtlehub.node.batch_fronts.interfaces import BatchClient
from myrtlehub.node.request_decoder import InvalidRequestError, RequestDecoder
from myrtlehub.proto.engine_pb2 import ItemResult
from myrtlehub.routing.contract import RetrySemantics


class GroupKey(NamedTuple):
    """The properties that requests need to have in common to share an engine batch."""

    front: str
    traffic_type: str
    tenant: str
    model: str
    group_key: Hashable


class BatchCoordinator:
    """Accepts the batches of a node, and sends their parts to engines."""

    def __init__(
        self, executor: ActionExecutor, decoder: RequestDecoder, config: NodeConfig, clock: Clock
    ) -> None:
        batching = config.batches
        self.executor = executor
        self.decoder = decoder
        self.log = executor.log
        self.clock = clock
        self.retry_after = config.node.max_wait
        self.in_flight: set[InFlightBatch] = set()
        self.cache: ResultCache[ItemResult] = ResultCache(batching.keep)
        self.batcher: DynamicBatcher[InFlightBatch] = DynamicBatcher(
            BatchingWindow(
                batching.gather, batching.gather_tokens, batching.gather_items, batching.gather_left
            )
        )
        self.dispatcher = BatchDispatcher(executor, decoder, config, clock)
        self.fair_share = self.dispatcher.fair_share
        self.capacity = FrontCapacity(config, self.dispatcher.fronts)
        self._config = config
        self._timer: Timer | None = None  # fires when the next group of the batcher is due

    def endpoints_changed(self) -> None:
        """Update capacity, shares and cached model versions after a change of the endpoint list."""
        if not self.dispatcher.fronts:
            return  # the node serves chat only
        engines = self.executor.decoder.engines
        listed = [engines.endpoints[index] for index in engines.index_by_address.values()]
        serving = [endpoint for endpoint in listed if is_serving(endpoint)]
        self.capacity.update(serving)
        self.dispatcher.update_shares(serving, self.capacity)
        self.cache.set_models(frozenset(endpoint.model for endpoint in serving if endpoint.model))
        self.clock.callLater(0, self.dispatcher.send_waiting)

    def utility(self, traffic_type: str) -> float:
        """Return the utility of one batch."""
        decoder = self.decoder
        return decoder.traffic_types[decoder.traffic_type_indices[traffic_type]].utility

    def accept(self, request: BatchRequest, client: BatchClient) -> InFlightBatch:
        """Accept a request, or reject it if the node has its maximum of sequences.

        Raises:
            InvalidRequestError: the request is malformed; the message names the field.
        """
        self._check_items(request)
        total_tokens = sum(item.tokens + request.shared_tokens for item in request.items)
        terms = request.terms._replace(
            prompt_tokens=max(1, total_tokens), max_output_tokens=1, front=request.front
        )
        now = self.clock.seconds()
        arrival = self.decoder.arrival(terms, now)
        traffic = self.decoder.traffic_types[arrival.traffic]
        is_idempotent = RetrySemantics(traffic.repeats) is RetrySemantics.IDEMPOTENT
        if not is_idempotent:
            self._check_fits_one_engine(request, traffic.name, total_tokens)
        abandon_at = now + arrival.time_left
        batch = InFlightBatch(self, request._replace(terms=terms), client, abandon_at, is_idempotent)
        client.accepted(batch)
        if self._is_full():
            batch.answer(BatchAnswer(BatchOutcome.REJECTED, self.retry_after, "the node is full"))
            return batch
        self.in_flight.add(batch)
        # Parts that are still queued here have to be answered by the same deadline as those at engines.
        batch.timer = self.clock.callLater(max(0.0, arrival.time_left), batch.deadline_passed)
        self.fair_share.add_demand(now, request.front, total_tokens)
        batch.begin()
        return batch

    def _check_items(self, request: BatchRequest) -> None:
        limit = self._config.batches.most_items
        count = len(request.items)
        if not count:
            raise InvalidRequestError("inputs: there is none")
        if count > limit:
            raise InvalidRequestError(f"inputs: {count} are more than the {limit} of one request")

    def _check_fits_one_engine(self, request: BatchRequest, traffic_type: str, total_tokens: int) -> None:
        limits = self.capacity.part_limits(request.front)
        if total_tokens > limits.max_tokens or len(request.items) > limits.max_items:
            raise InvalidRequestError(
                f"inputs: traffic type {traffic_type!r} is not repeatable, so its batches go whole to "
                f"one engine: at most {limits.max_items} items and {limits.max_tokens:g} tokens"
            )

    def _is_full(self) -> bool:
        return len(self.executor.in_flight) + len(self.in_flight) >= self._config.node.most_sequences

    def batch_finished(self, batch: InFlightBatch) -> None:
        """Remove a batch that has ended."""
        self.in_flight.discard(batch)
        if batch.waiting_key is not None:
            self.batcher.remove(batch.waiting_key, batch)

    def share_engine_batch(self, batch: InFlightBatch, indices: list[int]) -> bool:
        """Queue a small batch to share an engine batch with others; return False if it has to run alone."""
        window = self.batcher.window
        tokens = sum(batch.request.cost(index) for index in indices)
        if not window.max_wait or tokens >= window.max_tokens or len(indices) >= window.max_items:
            return False
        request = batch.request
        key = GroupKey(
            request.front, request.terms.traffic_type, request.terms.tenant, batch.model, request.group_key
        )
        now = self.clock.seconds()
        batch.waiting_items = indices
        batch.waiting_key = key
        for group in self.batcher.add(now, key, batch, tokens, len(indices), batch.abandon_at - now):
            self._send_group(group)
        self._arm_timer()
        return True

    def send_parts(self, batch: InFlightBatch, parts: list[list[int]]) -> None:
        """Send each part in a separate engine batch; stop if the batch ends in the meantime."""
        engine_batches = []
        for indices in parts:
            engine_batch = EngineBatch(self.dispatcher, batch.request, batch.model)
            engine_batch.add(batch.create_part(indices))
            engine_batches.append(engine_batch)
        for engine_batch in engine_batches:
            if not batch.is_finished:
                self.dispatcher.send(engine_batch)

    def _send_group(self, group: list[InFlightBatch]) -> None:
        group = [batch for batch in group if not batch.is_finished]
        if not group:
            return
        engine_batch = EngineBatch(self.dispatcher, group[0].request, group[0].model)
        for batch in group:
            batch.waiting_key = None
            engine_batch.add(batch.create_part(batch.waiting_items))
        self.dispatcher.send(engine_batch)

    def _arm_timer(self) -> None:
        due_at = self.batcher.next_at()
        if due_at is None:
            return
        if self._timer is None or not self._timer.active():
            self._timer = self.clock.callLater(max(0.0, due_at - self.clock.seconds()), self._send_due_groups)

    def _send_due_groups(self) -> None:
        for group in self.batcher.pop_due(self.clock.seconds()):
            self._send_group(group)
        self._arm_timer()
