"""A decoded batch request, and the parts of its answer."""

from collections.abc import Hashable, Sequence
from typing import NamedTuple

from myrtlehub.config.traffic import Front
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.proto import engine_pb2


class BatchItem(NamedTuple):
    """One input of a batch."""

    text: bytes
    tokens: int


class BatchRequest(NamedTuple):
    """A decoded batch request of a client."""

    front: Front
    terms: DecodedRequest  # of the complete batch; the coordinator sets its token counts
    items: Sequence[BatchItem]
    shared_tokens: int  # tokens that each item costs in addition to its own
    is_stream: bool
    task: engine_pb2.BatchRequest  # common part of all requests to engines, without items and model
    group_key: Hashable  # only requests with equal keys may share an engine batch
    is_cacheable: bool  # whether results depend on the input and the model only

    def cost(self, index: int) -> int:
        """Return the tokens that an engine reads for an item."""
        return self.items[index].tokens + self.shared_tokens


class IndexedResult(NamedTuple):
    """The result of an item."""

    item: int  # index of the item in the request
    result: engine_pb2.ItemResult


class BatchSummary(NamedTuple):
    """Information that a client receives with the final answer."""

    model: str
    error_count: int
    cached_count: int  # items whose results came from the cache
