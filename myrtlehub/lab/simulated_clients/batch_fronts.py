"""The two fronts for batches: their requests, their replies, and the expected value of each item.

An emulated engine computes each value from the input and the model's version, so a client can compute the
expected value itself.
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
    """The interface of a batch front that clients need."""

    @property
    def method(self) -> str:
        """The gRPC method for a batch in one reply; "Stream" is appended for a streamed batch."""

    def request(self, plan: PlannedBatch, terms: pb.Terms) -> pb.EmbedRequest | pb.RankRequest:
        """Return the request for a batch."""

    def parse(self, data: bytes) -> BatchReply:
        """Parse a reply message."""

    def right_value(self, plan: PlannedBatch, index: int, model: str) -> bytes | float:
        """Return the value that a version of the model must give for an input."""

    def expected_order(self, plan: PlannedBatch, model: str) -> list[int]:
        """Return the indices that the items of a complete answer must have, in order."""


class EmbedFront:
    """The front for embeddings: a vector for each text."""

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
        """Return the embedding vector that a version of the model must give for an input."""
        return vector_of(plan.inputs[index].text, model, DIMENSIONS, False)

    def expected_order(self, plan: PlannedBatch, model: str) -> list[int]:
        """Return the indices of all inputs, in the order of the request."""
        return list(range(len(plan.inputs)))


class RankFront:
    """The front for reranking: a score for each document; the query's text is the idempotency key."""

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
        """Return the score that a version of the model must give to a document."""
        return score_of(_query(plan), plan.inputs[index].text, model)

    def expected_order(self, plan: PlannedBatch, model: str) -> list[int]:
        """Return the indices of all documents as requested; with `top`, those of the best, the best first."""
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
