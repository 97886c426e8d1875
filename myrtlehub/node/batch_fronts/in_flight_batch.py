"""One batch, from its acceptance to its final answer."""

from collections.abc import Hashable, Sequence
from typing import NamedTuple

import xxhash

from myrtlehub.batching.batch_split import split_batch
from myrtlehub.batching.result_merger import BatchAnswer, BatchOutcome, MergeVerdict, ResultMerger
from myrtlehub.clock import Timer
from myrtlehub.log_events import LogEvent
from myrtlehub.node.batch_fronts.batch_request import BatchRequest, BatchSummary, IndexedResult
from myrtlehub.node.batch_fronts.interfaces import BatchClient, BatchPart, BatchRegistry, RunningEngineBatch
from myrtlehub.proto.engine_pb2 import ItemResult

CACHE_ENTRY_OVERHEAD = 400  # bytes of memory per cached result, in addition to the encoded size


class ItemKey(NamedTuple):
    """Everything but the model that a result depends on; the key for the cache and for duplicate items."""

    text_digest: bytes
    tokens: int
    group_key: Hashable


class InFlightBatch:
    """A batch with its items, the running parts and their results."""

    def __init__(
        self,
        coordinator: "BatchRegistry[InFlightBatch]",
        request: BatchRequest,
        client: BatchClient,
        abandon_at: float,
        is_idempotent: bool,
    ) -> None:
        self.request = request
        self.client = client
        self.abandon_at = abandon_at
        self.is_idempotent = is_idempotent
        self.engine_batches: dict[int, RunningEngineBatch] = {}  # by part number
        self.is_finished = False
        self.timer: Timer | None = None
        # Set while the batch waits for others to share an engine batch: item indices, and key of the group.
        self.waiting_items: list[int] = []
        self.waiting_key: Hashable | None = None
        self._coordinator = coordinator
        model = coordinator.capacity.model(request.front)
        self._merger: ResultMerger[ItemResult] = ResultMerger(len(request.items), request.is_stream, model)
        self._keys: list[ItemKey] = []  # by item; set when the batch begins
        self._duplicates: dict[int, list[int]] = {}  # later indices, by the first index with the same key
        self._cached_count = 0
        self._error_count = 0
        self._part_count = 0

    @property
    def model(self) -> str:
        """The model version that all results need to have; empty if it is not known yet."""
        return self._merger.model

    def begin(self) -> None:
        """Look up the items in the result cache, and send those without a cached result to engines."""
        if not self._keys:
            self._keys = self._item_keys()
        cached, uncached = self._look_up(self._find_duplicates())
        self._cached_count = 0
        for index, result in cached:
            self._set_cached(index, result)
        if self._merger.answer_if_complete():
            self._finish()
        elif not self.is_idempotent:
            self._coordinator.send_parts(self, [uncached])
        elif not self._coordinator.share_engine_batch(self, uncached):
            self._coordinator.send_parts(self, self._split(uncached))

    def _item_keys(self) -> list[ItemKey]:
        digest = xxhash.xxh3_128_digest
        group_key = self.request.group_key
        return [ItemKey(digest(item.text), item.tokens, group_key) for item in self.request.items]

    def _find_duplicates(self) -> list[int]:
        """Record the items with the same key as an earlier item, and return all others."""
        self._duplicates.clear()
        first_index: dict[ItemKey, int] = {}
        for index, key in enumerate(self._keys):
            if key in first_index:
                self._duplicates.setdefault(first_index[key], []).append(index)
            else:
                first_index[key] = index
        return list(first_index.values())

    def _look_up(self, indices: list[int]) -> tuple[list[IndexedResult], list[int]]:
        """Return the cached results, and the indices of items without one."""
        if not (self.request.is_cacheable and self.is_idempotent and self.model):
            return [], indices
        cache = self._coordinator.cache.cache_of(self.request.terms.tenant, self.model)
        if cache is None:
            return [], indices
        cached = []
        uncached = []
        for index in indices:
            result = cache.get(self._keys[index])
            if result is None:
                uncached.append(index)
            else:
                cached.append(IndexedResult(index, result))
        return cached, uncached

    def _set_cached(self, index: int, result: ItemResult) -> None:
        for same in (index, *self._duplicates.get(index, ())):
            self._cached_count += 1
            self._merger.set_result(same, result)
            if self.request.is_stream:
                self.client.send_results([IndexedResult(same, result)])

    def _split(self, indices: Sequence[int]) -> list[list[int]]:
        capacity = self._coordinator.capacity
        front = self.request.front
        costs = [self.request.cost(index) for index in indices]
        parts = split_batch(costs, capacity.part_limits(front), capacity.engine_count(front))
        return [[indices[position] for position in part] for part in parts]

    def create_part(self, indices: list[int]) -> BatchPart:
        """Create a part with these items."""
        self._part_count += 1
        self._merger.begin_part(self._part_count, indices)
        return BatchPart(self, self._part_count, indices)

    def part_assigned(self, number: int, engine_batch: RunningEngineBatch) -> None:
        """Record the engine batch that runs a part."""
        self.engine_batches[number] = engine_batch

    def part_generated(self, part: BatchPart, results: Sequence[ItemResult], model: str) -> None:
        """Handle the results of a part; `model` is the model version that computed them."""
        engine_batch = self.engine_batches.pop(part.number, None)
        if self.is_finished or engine_batch is None:
            return
        if len(results) != len(part.indices):
            self._fail(
                part.number,
                BatchAnswer(BatchOutcome.ABORTED, 0.0, "an engine left out items"),
            )
            return
        verdict = self._merger.part_generated(part.number, results, model)
        if verdict == MergeVerdict.RETRY_PART:
            self._retry(part, model)
            return
        for index, result in zip(part.indices, results, strict=True):
            self._store_result(index, result, model)
        if verdict == MergeVerdict.ANSWERED or self._merger.answer_if_complete():
            self._finish()

    def _retry(self, part: BatchPart, model: str) -> None:
        if self._merger.may_restart():
            self._restart(model)
        else:
            self._coordinator.send_parts(self, [part.indices])

    def _store_result(self, index: int, result: ItemResult, model: str) -> None:
        if self.request.is_cacheable and self.is_idempotent and not _is_error(result):
            size = result.ByteSize() + CACHE_ENTRY_OVERHEAD
            self._coordinator.cache.add(self.request.terms.tenant, model, self._keys[index], result, size)
        duplicates = self._duplicates.get(index, ())
        if self.request.is_stream:
            self.client.send_results([IndexedResult(same, result) for same in (index, *duplicates)])
        for same in duplicates:
            self._merger.set_result(same, result)

    def part_failed(self, number: int, failure: BatchAnswer) -> None:
        """Handle the end of a part without results."""
        if self.is_finished or self.engine_batches.pop(number, None) is None:
            return
        if failure.outcome == BatchOutcome.REJECTED:
            served_model = self._coordinator.capacity.model(self.request.front)
            is_model_replaced = served_model not in ("", self.model)
            if is_model_replaced and self._merger.may_restart():
                self._restart(served_model)
                return
        self._fail(number, failure)

    def _fail(self, number: int, failure: BatchAnswer) -> None:
        if self._merger.part_failed(number, failure) == MergeVerdict.ANSWERED:
            self._finish()

    def _restart(self, model: str) -> None:
        self._leave_engine_batches()
        self._merger.restart(model)
        self.begin()

    def client_disconnected(self) -> None:
        """End without an answer, because the client disconnected."""
        if not self.is_finished:
            self._stop()

    def deadline_passed(self) -> None:
        """Answer that the deadline has passed; the router ends the parts at engines by the same deadline."""
        is_sent = any(engine_batch.is_started for engine_batch in self.engine_batches.values())
        may_have_run = is_sent and not self.is_idempotent
        outcome = BatchOutcome.ABORTED if may_have_run else BatchOutcome.REJECTED
        self.answer(BatchAnswer(outcome, self._coordinator.retry_after, "its time was over"))

    def limit_exceeded(self, reason: str) -> None:
        """Abort, because the client reads too slowly or uses too much memory."""
        self.answer(BatchAnswer(BatchOutcome.ABORTED, 0.0, reason))

    def answer(self, answer: BatchAnswer) -> None:
        """Answer without waiting for parts; do nothing if the batch has already ended."""
        if not self.is_finished:
            self._merger.answer = answer
            self._finish()

    def _finish(self) -> None:
        answer = self._merger.answer
        if self.is_finished or answer is None:
            return
        self._stop()
        if answer.outcome == BatchOutcome.GENERATED:
            results = [
                IndexedResult(index, result)
                for index, result in enumerate(self._merger.results)
                if result is not None
            ]
            self._error_count = sum(_is_error(result) for _, result in results)
            if not self.request.is_stream:
                self.client.send_results(results)
        self._log_answer(answer.outcome)
        self.client.send_answer(answer, BatchSummary(self.model, self._error_count, self._cached_count))

    def _log_answer(self, outcome: BatchOutcome) -> None:
        self._coordinator.log(
            LogEvent.BATCH_ANSWERED,
            answer=outcome.value,
            traffic_type=self.request.terms.traffic_type,
            items=len(self.request.items),
            parts=self._part_count,
            cached=self._cached_count,
            errors=self._error_count,
        )

    def _stop(self) -> None:
        self.is_finished = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self._coordinator.batch_finished(self)
        self._leave_engine_batches()

    def _leave_engine_batches(self) -> None:
        engine_batches = self.engine_batches
        self.engine_batches = {}
        for engine_batch in engine_batches.values():
            engine_batch.remove_batch(self)


def _is_error(result: ItemResult) -> bool:
    return result.HasField("error")
