"""A batch request as a front decoded it, and the client that waits for its answer."""

from collections.abc import Hashable, Sequence
from typing import TYPE_CHECKING, NamedTuple, Protocol

from myrtlehub.batching.result_merger import BatchAnswer
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.proto import engine_pb2

if TYPE_CHECKING:
    from myrtlehub.node.batch_fronts.in_flight_batch import InFlightBatch


class BatchItem(NamedTuple):
    """One input."""

    text: bytes
    tokens: int


class BatchRequest(NamedTuple):
    """A client's request."""

    front: str
    terms: (
        DecodedRequest  # of the whole batch; the coordinator fills in `prompt_tokens` and `max_output_tokens`
    )
    items: Sequence[BatchItem]
    shared_tokens: int  # tokens that each item costs beside its own
    is_stream: bool
    task: engine_pb2.BatchRequest  # what all parts have in common; items and model are filled in later
    group_key: Hashable  # equal in requests that may share an engine batch, as tenant and traffic type are
    is_cacheable: bool  # a result depends on the input and the model alone

    def cost(self, index: int) -> int:
        """Return the tokens that an engine reads for an item."""
        return self.items[index].tokens + self.shared_tokens


class IndexedResult(NamedTuple):
    """The result of an item, with its place in the request."""

    index: int
    result: engine_pb2.ItemResult


class BatchSummary(NamedTuple):
    """What a client gets with the final answer."""

    model: str
    error_count: int
    cached_count: int  # items that were answered from the cache


class BatchClient(Protocol):
    """Who waits for the answer of a batch."""

    def accepted(self, batch: "InFlightBatch") -> None:
        """Take the batch; called before all else."""

    def send_results(self, results: list[IndexedResult]) -> None:
        """Take results: of a stream as they are ready, else all at once before the final answer."""

    def send_answer(self, answer: BatchAnswer, summary: BatchSummary) -> None:
        """Take the final answer; called once."""
