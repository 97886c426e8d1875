"""The two fronts for batches: their requests, their replies, and the right value of each item.

What an emulated engine answers is a function of the input and the model's version, so a client knows the
right value.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from myrtlehub.emulator.vectors import score_of, vector_of
from myrtlehub.lab.simulated_clients.batch_plan import PlannedBatch
from myrtlehub.lab.simulated_clients.traffic import EMBED_FRONT, RANK_FRONT
from myrtlehub.proto import items_pb2 as pb

DIMENSIONS = 16  # of the vectors of emulated engines
QUERY_TOKENS = 12


@dataclass(frozen=True, slots=True)
class BatchItem:
    """The result for one input: a packed vector, or a score."""

    index: int
    value: bytes | float


class BatchReply(NamedTuple):
    """One reply message: items, the final answer, or both."""

    items: Sequence[BatchItem]
    final: pb.Final | None


class BatchFront(Protocol):
    """One front for batches, as its clients see it."""

    @property
    def method(self) -> str:
        """The gRPC method for a batch in one reply; "Stream" is appended for a streamed batch."""

    def request(self, plan: PlannedBatch, terms: pb.Terms) -> pb.EmbedRequest | pb.RankRequest:
        """Return the request for a batch."""

    def parse(self, data: bytes) -> BatchReply:
        """Parse a reply message."""

    def right_value(self, plan: PlannedBatch, index: int, model: str) -> bytes | float:
        """Return the value that a version of the model has for an input."""

    def expected_order(self, plan: PlannedBatch, model: str) -> list[int]:
        """Return the indices of the items of a complete answer, in their order."""


class EmbedFront:
    """Vectors of texts."""

    method = "/myrtlehub.v1.Embeddings/Embed"

    def request(self, plan: PlannedBatch, terms: pb.Terms) -> pb.EmbedRequest:
        """Return the request for a batch."""
        return pb.EmbedRequest(terms=terms, inputs=_inputs(plan))

    def parse(self, data: bytes) -> BatchReply:
        """Parse a reply message."""
        reply = pb.EmbedReply.FromString(data)
        items = [BatchItem(vector.index, vector.packed) for vector in reply.vectors]
        return BatchReply(items, reply.final if reply.HasField("final") else None)

    def right_value(self, plan: PlannedBatch, index: int, model: str) -> bytes:
        """Return the vector that a version of the model has for an input."""
        return vector_of(plan.inputs[index].text, model, DIMENSIONS, False)

    def expected_order(self, plan: PlannedBatch, model: str) -> list[int]:
        """Return the indices in the order of the inputs."""
        return list(range(len(plan.inputs)))


class RankFront:
    """Scores of documents; the query's text is the idempotency key."""

    method = "/myrtlehub.v1.Rerank/Rank"

    def request(self, plan: PlannedBatch, terms: pb.Terms) -> pb.RankRequest:
        """Return the request for a batch."""
        query = pb.Input(text=_query(plan), tokens=QUERY_TOKENS)
        return pb.RankRequest(terms=terms, documents=_inputs(plan), top=plan.top, query=query)

    def parse(self, data: bytes) -> BatchReply:
        """Parse a reply message."""
        reply = pb.RankReply.FromString(data)
        items = [BatchItem(score.index, score.score) for score in reply.scores]
        return BatchReply(items, reply.final if reply.HasField("final") else None)

    def right_value(self, plan: PlannedBatch, index: int, model: str) -> float:
        """Return the score that a version of the model has for a document."""
        return score_of(_query(plan), plan.inputs[index].text, model)

    def expected_order(self, plan: PlannedBatch, model: str) -> list[int]:
        """Return the indices in the order of the inputs, or those of the best documents, the best first."""
        indices = list(range(len(plan.inputs)))
        if plan.top is None:
            return indices
        scores = [self.right_value(plan, index, model) for index in indices]
        return sorted(indices, key=lambda index: (-scores[index], index))[: plan.top]


BATCH_FRONTS: dict[str, BatchFront] = {EMBED_FRONT: EmbedFront(), RANK_FRONT: RankFront()}


def _inputs(plan: PlannedBatch) -> list[pb.Input]:
    return [pb.Input(text=each.text, tokens=each.tokens) for each in plan.inputs]


def _query(plan: PlannedBatch) -> bytes:
    return plan.idempotency_key.encode()
