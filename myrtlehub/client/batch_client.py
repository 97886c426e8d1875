"""Client for embeddings and rerank, for programs without an event loop, over grpcio."""

import random
import time
from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeAlias, TypeVar

import grpc  # type: ignore[import-untyped]  # grpcio publishes no types

from myrtlehub.client.grpcio_calls import result_of_error
from myrtlehub.client.requests import RetrySemantics
from myrtlehub.client.results import AttemptResult, Generated, Outcome, result_of_abort, result_of_rejection
from myrtlehub.client.retries import RetryState
from myrtlehub.client.sync_client import ChannelOwner
from myrtlehub.proto import items_pb2 as pb

BatchMessage = pb.EmbedRequest | pb.RankRequest
BatchReply = pb.EmbedReply | pb.RankReply
ReplyT = TypeVar("ReplyT", pb.EmbedReply, pb.RankReply)


class BatchMethod(NamedTuple, Generic[ReplyT]):
    """A gRPC method of the embeddings or rerank service."""

    path: str
    reply_type: type[ReplyT]
    is_stream: bool = False


EMBED = BatchMethod("/myrtlehub.v1.Embeddings/Embed", pb.EmbedReply)
EMBED_STREAM = BatchMethod("/myrtlehub.v1.Embeddings/EmbedStream", pb.EmbedReply, is_stream=True)
RANK = BatchMethod("/myrtlehub.v1.Rerank/Rank", pb.RankReply)
RANK_STREAM = BatchMethod("/myrtlehub.v1.Rerank/RankStream", pb.RankReply, is_stream=True)


class InputError(NamedTuple):
    """Replaces the vector or score of an input that cannot be processed; other inputs are not affected."""

    reason: str


# A string, as Python 3.11 cannot subscript `array` at run time.
VectorOrError: TypeAlias = "array[float] | InputError"


class IndexedVector(NamedTuple):
    """The vector of one input, with the index of the input in the request."""

    index: int  # type: ignore[assignment]  # hides tuple.index; clients' programs use this name
    vector: VectorOrError


class RankedDocument(NamedTuple):
    """The score of one document, with the index of the document in the request."""

    index: int  # type: ignore[assignment]  # hides tuple.index; clients' programs use this name
    score: float | InputError


@dataclass(frozen=True)
class BatchOptions:
    """Options that all kinds of batches have in common.

    `attempt_timeout` limits one attempt (0: the traffic type's limit), `timeout` all attempts together,
    both in seconds.
    """

    traffic_type: str
    retry_semantics: RetrySemantics = RetrySemantics.IDEMPOTENT
    idempotency_key: str = ""
    tenant: str = ""
    attempt_timeout: float = 0.0
    timeout: float = 60.0
    max_attempts: int = 3

    def terms(self, attempt: int) -> pb.Terms:
        """Make the message part that all batch requests share; `attempt` is counted from 0."""
        return pb.Terms(
            traffic_type=self.traffic_type,
            tenant=self.tenant,
            mark=self.idempotency_key,
            repeated=attempt > 0,
            time_left_ms=int(self.attempt_timeout * 1000),
        )


def _make_inputs(texts: Sequence[bytes], tokens: Sequence[int] | None) -> list[pb.Input]:
    """Return the inputs of a request; the node estimates token counts that are not given."""
    counts = tokens or [0] * len(texts)
    return [pb.Input(text=text, tokens=counts[index]) for index, text in enumerate(texts)]


def _result_of(final: pb.Final) -> AttemptResult:
    """Return the result in a final answer."""
    field = final.WhichOneof("answer")
    if field == "generated":
        return AttemptResult(Outcome.GENERATED, item_count=final.generated.items)
    if field == "rejected":
        return result_of_rejection(final.rejected)
    return result_of_abort(final.aborted)


def _decode_vector(vector: pb.Vector) -> VectorOrError:
    """Return the numbers of a vector, or the error that the node states for this input."""
    if vector.error:
        return InputError(vector.error)
    numbers = array("f", vector.packed)
    if array("H", b"\x01\x00")[0] != 1:  # this machine is big-endian, the wire format little-endian
        numbers.byteswap()
    return numbers


def _decode_score(score: pb.Score) -> RankedDocument:
    """Return the score of a document, or the error that the node states for this document."""
    return RankedDocument(score.index, InputError(score.error) if score.error else score.score)


def _item_count(reply: BatchReply) -> int:
    """Return the number of items in a reply."""
    return len(reply.vectors if isinstance(reply, pb.EmbedReply) else reply.scores)


class BatchClient(ChannelOwner):
    """Sends batches to one node; methods raise an `AnswerError` unless the answer is complete."""

    def __init__(self, address: str = "", channel: grpc.Channel | None = None) -> None:
        super().__init__(address, channel)
        self.model = ""  # version of the model that made the last generated answer
        self.answer: Generated | None = None

    def _replies(
        self, method: BatchMethod[ReplyT], message: BatchMessage, options: BatchOptions
    ) -> Iterator[ReplyT]:
        """Yield the replies of a request, with as many attempts as its retry semantics allow."""
        retries = RetryState(options, time.monotonic(), random.random)
        while True:
            message.terms.CopyFrom(options.terms(retries.attempts))
            result = AttemptResult(Outcome.LOST, message="there was no final answer")
            try:
                for reply in self._call(method, message, retries.call_timeout(time.monotonic())):
                    if reply.HasField("final"):
                        result = _result_of(reply.final)
                        self.model = reply.final.generated.model or self.model
                    if result.outcome in (Outcome.LOST, Outcome.GENERATED):
                        retries.tokens += _item_count(reply) if method.is_stream else 0
                        yield reply
            except grpc.RpcError as error:
                if result.outcome is Outcome.LOST:
                    result = result_of_error(error)
            delay = retries.next_delay(result, time.monotonic())
            if delay is None:
                self.answer = retries.final_answer(result)
                return
            time.sleep(delay)

    def _call(self, method: BatchMethod[ReplyT], message: BatchMessage, timeout: float) -> Iterator[ReplyT]:
        """Yield the replies of one call."""
        make_method = self._channel.unary_stream if method.is_stream else self._channel.unary_unary
        call = make_method(
            method.path,
            request_serializer=type(message).SerializeToString,
            response_deserializer=method.reply_type.FromString,
        )
        if method.is_stream:
            yield from call(message, timeout=timeout)
        else:
            yield call(message, timeout=timeout)

    def embed(
        self,
        texts: Sequence[bytes],
        options: BatchOptions,
        tokens: Sequence[int] | None = None,
        dimensions: int = 0,
        normalise: bool = False,
    ) -> list["VectorOrError | None"]:
        """Return one vector per input, in the order of the inputs, all of one model version (`self.model`).

        An element is None only if the node has violated the protocol and left an input out of its answer.
        """
        message = pb.EmbedRequest(
            inputs=_make_inputs(texts, tokens), dimensions=dimensions, normalise=normalise
        )
        vectors: list[VectorOrError | None] = [None] * len(texts)
        for reply in self._replies(EMBED, message, options):
            for vector in reply.vectors:
                vectors[vector.index] = _decode_vector(vector)
        return vectors

    def embed_stream(
        self,
        texts: Sequence[bytes],
        options: BatchOptions,
        tokens: Sequence[int] | None = None,
        dimensions: int = 0,
        normalise: bool = False,
    ) -> Iterator[IndexedVector]:
        """Yield vectors as they are ready.

        Yielded vectors stay valid if an error is raised later. After the first one the request is not
        retried, as another attempt may be processed by another version of the model.
        """
        message = pb.EmbedRequest(
            inputs=_make_inputs(texts, tokens), dimensions=dimensions, normalise=normalise
        )
        for reply in self._replies(EMBED_STREAM, message, options):
            for vector in reply.vectors:
                yield IndexedVector(vector.index, _decode_vector(vector))

    def rank(
        self,
        query: bytes,
        documents: Sequence[bytes],
        options: BatchOptions,
        top: int = 0,
        tokens: Sequence[int] | None = None,
    ) -> list[RankedDocument]:
        """Return scores in the order of the documents, or the best `top` of them in descending order."""
        message = pb.RankRequest(
            query=pb.Input(text=query), documents=_make_inputs(documents, tokens), top=top
        )
        replies = self._replies(RANK, message, options)
        return [_decode_score(score) for reply in replies for score in reply.scores]

    def rank_stream(
        self,
        query: bytes,
        documents: Sequence[bytes],
        options: BatchOptions,
        tokens: Sequence[int] | None = None,
    ) -> Iterator[RankedDocument]:
        """Yield scores as they are ready; see `embed_stream`."""
        message = pb.RankRequest(query=pb.Input(text=query), documents=_make_inputs(documents, tokens))
        for reply in self._replies(RANK_STREAM, message, options):
            yield from map(_decode_score, reply.scores)
