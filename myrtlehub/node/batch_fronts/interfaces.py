"""Interfaces between the modules of the batch fronts."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol, TypeVar

from myrtlehub.batching.result_cache import ResultCache
from myrtlehub.batching.result_merger import BatchAnswer
from myrtlehub.clock import Clock
from myrtlehub.log_events import Log
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.batch_fronts.batch_request import BatchRequest, BatchSummary, IndexedResult
from myrtlehub.node.batch_fronts.front_capacity import FrontCapacity
from myrtlehub.node.request_decoder import RequestDecoder
from myrtlehub.proto.engine_pb2 import ItemResult

BatchT_contra = TypeVar("BatchT_contra", contravariant=True)


class AcceptedBatch(Protocol):
    """The interface of a batch for its client's call."""

    @property
    def request(self) -> BatchRequest:
        """The client's request."""

    def client_disconnected(self) -> None:
        """End without an answer, because the client disconnected."""


class BatchClient(Protocol):
    """Receives the answer of a batch."""

    def accepted(self, batch: AcceptedBatch) -> None:
        """Receive the batch; called before the other methods."""

    def send_results(self, results: list[IndexedResult]) -> None:
        """Receive results: in a stream as they become ready, otherwise all together before the answer."""

    def send_answer(self, answer: BatchAnswer, summary: BatchSummary) -> None:
        """Receive the final answer; called once."""


class RunningEngineBatch(Protocol):
    """The interface of an engine batch for the batches whose parts it runs."""

    @property
    def is_started(self) -> bool:
        """Whether the action executor has accepted it as a sequence."""

    def remove_batch(self, batch: "PartOwner") -> None:
        """Record that a batch no longer needs the results; stop the sequence once no batch needs them."""


class BatchPart(NamedTuple):
    """A part of a batch."""

    batch: "PartOwner"
    number: int
    indices: list[int]  # of the items in the batch


class PartOwner(Protocol):
    """The interface of a batch for the engine batches that run its parts."""

    @property
    def request(self) -> BatchRequest:
        """The client's request."""

    @property
    def abandon_at(self) -> float:
        """The time on the node's clock by which the batch needs its answer."""

    def part_assigned(self, number: int, engine_batch: RunningEngineBatch) -> None:
        """Record the engine batch that runs a part."""

    def part_generated(self, part: BatchPart, results: Sequence[ItemResult], model: str) -> None:
        """Handle the results of a part; `model` is the model version that computed them."""

    def part_failed(self, number: int, failure: BatchAnswer) -> None:
        """Handle the end of a part without results."""


class EngineBatchRunner(Protocol[BatchT_contra]):
    """The interface of the dispatcher for engine batches."""

    clock: Clock
    executor: ActionExecutor
    decoder: RequestDecoder

    def ended(self, engine_batch: BatchT_contra) -> None:
        """Handle the end of an engine batch, after which another one may be sent."""

    def drop(self, engine_batch: BatchT_contra) -> None:
        """Remove an unsent engine batch that no batch waits for any more."""


class BatchRegistry(Protocol[BatchT_contra]):
    """The interface of the coordinator for batches."""

    capacity: FrontCapacity
    cache: ResultCache[ItemResult]
    retry_after: float
    log: Log

    def share_engine_batch(self, batch: BatchT_contra, indices: list[int]) -> bool:
        """Queue a small batch to share an engine batch with others; return False if it has to run alone."""

    def send_parts(self, batch: BatchT_contra, parts: list[list[int]]) -> None:
        """Send each part in a separate engine batch."""

    def batch_finished(self, batch: BatchT_contra) -> None:
        """Remove a batch that has ended."""
