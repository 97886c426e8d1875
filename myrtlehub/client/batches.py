"""Embeddings and rerank, for programs without an event loop, over grpcio."""

import random
import time
from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import grpc

from myrtlehub.client.promise import REPEATABLE, End, Generated, Tries
from myrtlehub.client.sync import Connected, lost_end
from myrtlehub.proto import items_pb2 as pb

EMBED, RANK = "/myrtlehub.v1.Embeddings/Embed", "/myrtlehub.v1.Rerank/Rank"


class BadInput(NamedTuple):
    """In place of a vector or score: this input alone cannot be done. `said` is for people."""

    said: str


class Ranked(NamedTuple):
    """One document by its place among those given."""

    index: int
    score: float | BadInput


@dataclass(frozen=True)
class BatchAsk:
    """What all batches have in common; `tokens` of each input where they are known, else the node guesses.

    `first_within` bounds one try, `within` all of them, in seconds.
    """

    traffic_type: str
    repeats: str = REPEATABLE
    mark: str = ""
    tenant: str = ""
    first_within: float = 0.0
    within: float = 60.0
    tries: int = 3

    def terms(self, attempt: int) -> pb.Terms:
        """The terms of a try, counted from 0."""
        return pb.Terms(
            traffic_type=self.traffic_type,
            tenant=self.tenant,
            mark=self.mark,
            repeated=attempt > 0,
            time_left_ms=int(self.first_within * 1000),
        )


def inputs_of(texts: Sequence[bytes], tokens: Sequence[int] | None) -> list[pb.Input]:
    """Inputs as they go over the wire."""
    return [pb.Input(text=t, tokens=tokens[i] if tokens else 0) for i, t in enumerate(texts)]


def final_of(final: pb.Final) -> End:
    """A final answer as the end of a try."""
    which = final.WhichOneof("answer")
    if which == "generated":
        return End("generated", count=final.generated.items)
    if which == "rejected":
        return End("rejected", final.rejected.wait_ms / 1000.0, "rejected")
    return End("aborted", said=final.aborted.reason or "aborted")


def vector_of(vector: pb.Vector) -> array | BadInput:
    """Numbers, or why there are none."""
    if vector.error:
        return BadInput(vector.error)
    numbers = array("f", vector.packed)
    if array("H", b"\x01\x00")[0] != 1:  # this machine is big-endian, the wire is not
        numbers.byteswap()
    return numbers


def ranked_of(score: pb.Score) -> Ranked:
    """A document's score, or why there is none."""
    return Ranked(score.index, BadInput(score.error) if score.error else score.score)


class Batches(Connected):
    """Batches at one node; raises Rejected, Aborted or InvalidRequestError, as `sync.Client` does."""

    def __init__(self, address: str = "", channel: grpc.Channel | None = None) -> None:
        super().__init__(address, channel)
        self.model = ""  # of the last answer that was generated
        self.answer: Generated | None = None

    def _call(self, path: str, request: object, reply: type, ask: BatchAsk) -> Iterator[object]:
        """Replies of the try that was generated; whatever may not be tried again is raised."""
        form = self._channel.unary_stream if path.endswith("Stream") else self._channel.unary_unary
        call = form(
            path, request_serializer=type(request).SerializeToString, response_deserializer=reply.FromString
        )
        tries = Tries(ask, time.monotonic(), random.random)
        while True:
            request.terms.CopyFrom(ask.terms(tries.count))
            end = End("lost", said="there was no final answer")
            try:
                got = call(request, timeout=max(0.001, tries.until - time.monotonic()))
                for message in got if path.endswith("Stream") else [got]:
                    if message.HasField("final"):
                        end = final_of(message.final)
                        self.model = message.final.generated.model or self.model
                    if end.answer in ("lost", "generated"):
                        items = len(getattr(message, "vectors", None) or getattr(message, "scores", ()))
                        tries.tokens += items if path.endswith("Stream") else 0
                        yield message
            except grpc.RpcError as fault:
                if end.answer == "lost":
                    end = lost_end(fault)
            wait = tries.again(end, time.monotonic())
            if wait is None:
                self.answer = tries.result(end)
                return
            time.sleep(wait)

    def embed(
        self,
        texts: Sequence[bytes],
        ask: BatchAsk,
        tokens: Sequence[int] | None = None,
        dimensions: int = 0,
        normalise: bool = False,
    ) -> list[array | BadInput]:
        """A vector an input, in their order, all of one version of the model (`self.model`)."""
        request = pb.EmbedRequest(inputs=inputs_of(texts, tokens), dimensions=dimensions, normalise=normalise)
        out: list[array | BadInput | None] = [None] * len(texts)
        for reply in self._call(EMBED, request, pb.EmbedReply, ask):
            for vector in reply.vectors:
                out[vector.index] = vector_of(vector)
        return out

    def embed_stream(
        self,
        texts: Sequence[bytes],
        ask: BatchAsk,
        tokens: Sequence[int] | None = None,
        dimensions: int = 0,
        normalise: bool = False,
    ) -> Iterator[tuple[int, array | BadInput]]:
        """Yield index and vector as they are ready.

        What came stands, whatever is raised at the end; once something came it is not retried, as another
        attempt may find another version of the model.
        """
        request = pb.EmbedRequest(inputs=inputs_of(texts, tokens), dimensions=dimensions, normalise=normalise)
        for reply in self._call(EMBED + "Stream", request, pb.EmbedReply, ask):
            yield from ((v.index, vector_of(v)) for v in reply.vectors)

    def rank(
        self,
        query: bytes,
        documents: Sequence[bytes],
        ask: BatchAsk,
        top: int = 0,
        tokens: Sequence[int] | None = None,
    ) -> list[Ranked]:
        """Scores in the order of the documents, or the best `top` in falling order."""
        request = pb.RankRequest(query=pb.Input(text=query), documents=inputs_of(documents, tokens), top=top)
        return [ranked_of(s) for reply in self._call(RANK, request, pb.RankReply, ask) for s in reply.scores]

    def rank_stream(
        self, query: bytes, documents: Sequence[bytes], ask: BatchAsk, tokens: Sequence[int] | None = None
    ) -> Iterator[Ranked]:
        """Scores as they are ready; see `embed_stream`."""
        request = pb.RankRequest(query=pb.Input(text=query), documents=inputs_of(documents, tokens))
        for reply in self._call(RANK + "Stream", request, pb.RankReply, ask):
            yield from map(ranked_of, reply.scores)
