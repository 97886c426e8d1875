"""Engine batches: the parts of one or several batches that one engine runs together."""

from myrtlehub.batching.result_merger import BatchAnswer, BatchOutcome
from myrtlehub.node.batch_fronts.batch_request import BatchRequest
from myrtlehub.node.batch_fronts.interfaces import BatchPart, EngineBatchRunner, PartOwner
from myrtlehub.node.engine_transport.batch_attempt import EngineResults
from myrtlehub.node.request_decoder import DecodedRequest, InvalidRequestError
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.proto import engine_pb2

MIN_TIME_LEFT = 0.001  # seconds; not 0, because a time_left of 0 stands for the traffic type's abandon time


class EngineBatch:
    """Parts that the router runs together as one sequence.

    Implements `response_sink.ResponseSink` for that sequence.
    """

    def __init__(self, runner: "EngineBatchRunner[EngineBatch]", request: BatchRequest, model: str) -> None:
        """Create an engine batch without parts.

        Args:
            runner: the dispatcher that will run it.
            request: the request of the first part; the other parts have an equal `coordinator.GroupKey`.
            model: the required model version; empty: any.
        """
        self.request = request
        self.model = model
        self.parts: list[BatchPart] = []
        self.waiting_batches: set[PartOwner] = set()  # batches that wait for its results
        self.token_count = 0
        self.sequence: InFlightSequence | None = None
        self.is_finished = False
        self._runner = runner

    def add(self, part: BatchPart) -> None:
        """Add a part."""
        batch = part.batch
        self.parts.append(part)
        self.waiting_batches.add(batch)
        self.token_count += sum(batch.request.cost(index) for index in part.indices)
        batch.part_assigned(part.number, self)

    def start(self) -> None:
        """Submit the engine batch to the executor as one sequence."""
        self.parts = [part for part in self.parts if part.batch in self.waiting_batches]
        executor = self._runner.executor
        request = self._sequence_request()
        try:
            arrival = self._runner.decoder.arrival(request, self._runner.clock.seconds())
        except InvalidRequestError as error:
            self.rejected(0.0, str(error))  # not accepted, so no attempt was sent
            return
        self.sequence = executor.accept(request, arrival, self)

    def _sequence_request(self) -> DecodedRequest:
        time_left = min(part.batch.abandon_at for part in self.parts) - self._runner.clock.seconds()
        return self.request.terms._replace(
            prompt_tokens=max(1, self.token_count),
            max_output_tokens=1,
            time_left=max(MIN_TIME_LEFT, time_left),
            shared_tokens=self.request.shared_tokens,
            batch_request=self._task().SerializeToString(),
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

    def tokens(self, message: EngineResults) -> None:
        """Pass the results from an engine to the batches that wait for them."""
        model, results = message
        start = 0
        for part in self.parts:
            end = start + len(part.indices)
            part.batch.part_generated(part, results[start:end], model)
            start = end

    def generated(self, tokens: int) -> None:
        """Handle the end of the sequence."""
        self._end()

    def rejected(self, retry_after: float, reason: str = "") -> None:
        """Handle a rejection of the sequence."""
        self._fail(BatchAnswer(BatchOutcome.REJECTED, retry_after, reason))

    def aborted(self, reason: str) -> None:
        """Handle an abort of the sequence."""
        self._fail(BatchAnswer(BatchOutcome.ABORTED, 0.0, reason))

    def _fail(self, failure: BatchAnswer) -> None:
        self._end()
        for part in list(self.parts):
            part.batch.part_failed(part.number, failure)

    def _end(self) -> None:
        if not self.is_finished:
            self.is_finished = True
            self._runner.ended(self)

    @property
    def is_started(self) -> bool:
        """Whether the action executor has accepted the engine batch as a sequence."""
        return self.sequence is not None

    def remove_batch(self, batch: PartOwner) -> None:
        """Record that a batch no longer needs the results; stop the sequence once no batch needs them."""
        self.waiting_batches.discard(batch)
        if self.waiting_batches:
            return
        if self.sequence is None:
            self.is_finished = True
            self._runner.drop(self)
        elif not self.is_finished:
            self._runner.executor.client_disconnected(self.sequence)
            self._end()
