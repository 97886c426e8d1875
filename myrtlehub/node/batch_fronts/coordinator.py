"""All batches of a node: their acceptance, the result cache, and dynamic batching of small requests."""

from collections.abc import Hashable
from typing import NamedTuple

from myrtlehub.batching.dynamic_batcher import NEVER, BatchingWindow, DynamicBatcher
from myrtlehub.batching.result_cache import ResultCache
from myrtlehub.batching.result_merger import BatchAnswer, BatchOutcome
from myrtlehub.clock import Clock, Timer
from myrtlehub.config.node import NodeConfig
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.batch_fronts.batch_request import BatchClient, BatchRequest
from myrtlehub.node.batch_fronts.dispatcher import BatchDispatcher
from myrtlehub.node.batch_fronts.engine_batch import EngineBatch
from myrtlehub.node.batch_fronts.front_capacity import FrontCapacity
from myrtlehub.node.batch_fronts.in_flight_batch import InFlightBatch
from myrtlehub.node.request_decoder import InvalidRequestError
from myrtlehub.proto.engine_pb2 import ItemResult


class GroupKey(NamedTuple):
    """What requests that share an engine batch have in common."""

    front: str
    traffic_type: str
    tenant: str
    model: str
    group_key: Hashable


class BatchCoordinator:
    """The batches of a node."""

    def __init__(self, executor: ActionExecutor, sheet: NodeConfig, clock: Clock) -> None:
        settings = sheet.batches
        self.executor = executor
        self.clock = clock
        self.retry_after = sheet.node.max_wait
        self.in_flight: set[InFlightBatch] = set()
        self.cache: ResultCache[ItemResult] = ResultCache(settings.keep)
        self.batcher: DynamicBatcher[InFlightBatch] = DynamicBatcher(
            BatchingWindow(
                settings.gather, settings.gather_tokens, settings.gather_items, settings.gather_left
            )
        )
        self.dispatcher = BatchDispatcher(executor, sheet, clock)
        self.shares = self.dispatcher.shares
        self.capacity = FrontCapacity(sheet, self.dispatcher.fronts)
        self._sheet = sheet
        self._timer: Timer | None = None  # of the batcher

    def endpoints_changed(self) -> None:
        """Take note that the endpoint list has changed."""
        if not self.dispatcher.fronts:
            return  # a node that serves chat alone has no use for it
        engines = self.executor.decoder.engines
        serving = [engines.rows[index] for index in engines.index_of.values()]
        serving = [row for row in serving if row.state == "serving"]
        self.capacity.update(serving)
        self.dispatcher.update_shares(serving, self.capacity)
        self.cache.set_models(frozenset(row.model for row in serving if row.model))
        self.clock.callLater(0, self.dispatcher.send_waiting)

    def utility(self, traffic_type: str) -> float:
        """Return the utility of one batch."""
        decoder = self.executor.decoder
        return decoder.rows[decoder.traffic[traffic_type]].utility

    def accept(self, request: BatchRequest, client: BatchClient) -> InFlightBatch:
        """Take a request.

        Raises:
            InvalidRequestError: the request is malformed; the text names the field.
        """
        self._check_items(request)
        total_tokens = sum(item.tokens + request.shared_tokens for item in request.items)
        terms = request.terms._replace(
            prompt_tokens=max(1, total_tokens), max_output_tokens=1, front=request.front
        )
        now = self.clock.seconds()
        arrival = self.executor.decoder.arrival(terms, now)
        traffic = self.executor.decoder.rows[arrival.traffic]
        is_repeatable = traffic.repeats == "repeatable"
        if not is_repeatable:
            self._check_fits_one_engine(request, traffic.name, total_tokens)
        abandon_at = now + arrival.time_left
        batch = InFlightBatch(self, request._replace(terms=terms), client, abandon_at, is_repeatable)
        client.accepted(batch)
        if self._is_full():
            batch.answer(BatchAnswer(BatchOutcome.REJECTED, self.retry_after, "the node is full"))
            return batch
        self.in_flight.add(batch)
        # What waits here, and not at an engine, is answered by the same moment.
        batch.timer = self.clock.callLater(max(0.0, arrival.time_left), batch.deadline_passed)
        self.shares.add_demand(now, request.front, total_tokens)
        batch.begin()
        return batch

    def _check_items(self, request: BatchRequest) -> None:
        limit = self._sheet.batches.most_items
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
        return len(self.executor.in_flight) + len(self.in_flight) >= self._sheet.node.most_sequences

    def closed(self, batch: InFlightBatch) -> None:
        """Take note that a batch is over."""
        self.in_flight.discard(batch)
        if batch.waiting_key is not None:
            self.batcher.remove(batch.waiting_key, batch)

    def share_engine_batch(self, batch: InFlightBatch, indices: list[int]) -> bool:
        """Let a small request share an engine batch; return False if it is not to."""
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

    def _send_group(self, group: list[InFlightBatch]) -> None:
        group = [batch for batch in group if not batch.is_over]
        if not group:
            return
        engine_batch = EngineBatch(self.dispatcher, group[0].request, group[0].model)
        for batch in group:
            batch.waiting_key = None
            engine_batch.add(batch.new_part(batch.waiting_items))
        self.dispatcher.send(engine_batch)

    def _arm_timer(self) -> None:
        due = self.batcher.next_at()
        if due == NEVER:
            return
        if self._timer is None or not self._timer.active():
            self._timer = self.clock.callLater(max(0.0, due - self.clock.seconds()), self._send_due_groups)

    def _send_due_groups(self) -> None:
        for group in self.batcher.pop_due(self.clock.seconds()):
            self._send_group(group)
        self._arm_timer()
