"""What one engine gets at a time: a part of one batch, or parts of several that share an engine batch."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from myrtlehub.batching.result_merger import BatchAnswer, BatchOutcome
from myrtlehub.node.batch_fronts.batch_request import BatchRequest
from myrtlehub.node.request_decoder import DecodedRequest, InvalidRequestError
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.proto import engine_pb2

if TYPE_CHECKING:
    from myrtlehub.node.batch_fronts.dispatcher import BatchDispatcher
    from myrtlehub.node.batch_fronts.in_flight_batch import InFlightBatch

MIN_TIME_LEFT = 0.001  # seconds; no time left would stand for the traffic type's abandon time


class BatchPart(NamedTuple):
    """A part of a batch."""

    batch: "InFlightBatch"
    number: int
    indices: list[int]  # of its items


class EngineBatch:
    """Parts that run together, as one sequence of the router. The client of that sequence."""

    def __init__(self, dispatcher: "BatchDispatcher", request: BatchRequest, model: str) -> None:
        self.request = request  # of the first part; the others agree in all that is common
        self.model = model
        self.parts: list[BatchPart] = []
        self.wanted_by: set[InFlightBatch] = set()
        self.token_count = 0
        self.sequence: InFlightSequence | None = None
        self.is_over = False
        self._dispatcher = dispatcher

    def add(self, part: BatchPart) -> None:
        """Add a part."""
        batch = part.batch
        self.parts.append(part)
        self.wanted_by.add(batch)
        self.token_count += sum(batch.request.cost(index) for index in part.indices)
        batch.engine_batches[part.number] = self

    def start(self) -> None:
        """Run it as a sequence of its own."""
        self.parts = [part for part in self.parts if part.batch in self.wanted_by]
        executor = self._dispatcher.executor
        request = self._sequence_request()
        try:
            arrival = executor.decoder.arrival(request, self._dispatcher.clock.seconds())
        except (
            InvalidRequestError
        ) as error:  # the batches were accepted, so this is about a part: nothing ran
            self.rejected(0.0, str(error))
            return
        self.sequence = executor.accept(request, arrival, self)

    def _sequence_request(self) -> DecodedRequest:
        time_left = min(part.batch.abandon_at for part in self.parts) - self._dispatcher.clock.seconds()
        return self.request.terms._replace(
            prompt_tokens=max(1, self.token_count),
            max_output_tokens=1,
            time_left=max(MIN_TIME_LEFT, time_left),
            shared_tokens=self.request.shared_tokens,
            batch=self._task().SerializeToString(),
            deadline_in=float("inf"),
        )

    def _task(self) -> engine_pb2.BatchRequest:
        task = engine_pb2.BatchRequest()
        task.CopyFrom(self.request.task)
        task.model = self.model
        for part in self.parts:
            for index in part.indices:
                item = part.batch.request.items[index]
                task.items.add(text=item.text, tokens=item.tokens)
        return task

    def tokens(self, raw: tuple[str, Sequence[engine_pb2.ItemResult]]) -> None:
        """Hand the results of an engine, and its model version, to the batches that wait for them."""
        model, results = raw
        begin = 0
        for part in self.parts:
            end = begin + len(part.indices)
            part.batch.part_generated(part, results[begin:end], model)
            begin = end

    def generated(self, tokens: int) -> None:
        """Take note that the sequence is complete."""
        self._end()

    def rejected(self, retry_after: float, reason: str = "") -> None:
        """Take note that the sequence was rejected."""
        self._fail(BatchAnswer(BatchOutcome.REJECTED, retry_after, reason))

    def aborted(self, reason: str) -> None:
        """Take note that the sequence was aborted."""
        self._fail(BatchAnswer(BatchOutcome.ABORTED, 0.0, reason))

    def _fail(self, failure: BatchAnswer) -> None:
        self._end()
        for part in list(self.parts):
            part.batch.part_failed(part.number, failure)

    def _end(self) -> None:
        if not self.is_over:
            self.is_over = True
            self._dispatcher.ended(self)

    def batch_left(self, batch: "InFlightBatch") -> None:
        """Take note that a batch does not wait for it any more; with the last one it is stopped."""
        self.wanted_by.discard(batch)
        if self.wanted_by:
            return
        if self.sequence is None:
            self.is_over = True
            self._dispatcher.drop(self)
        elif not self.is_over:
            self._dispatcher.executor.client_left(self.sequence)
            self._end()
