"""The gRPC methods of batch fronts, with one reply or a stream of replies."""

from collections.abc import Callable
from typing import Generic, NamedTuple, TypeAlias, TypeVar

from google.protobuf.message import DecodeError

from myrtlehub.batching.result_merger import BatchAnswer, BatchOutcome
from myrtlehub.config.traffic import Front
from myrtlehub.node.batch_fronts.batch_request import BatchRequest, BatchSummary, IndexedResult
from myrtlehub.node.batch_fronts.coordinator import BatchCoordinator
from myrtlehub.node.batch_fronts.interfaces import AcceptedBatch
from myrtlehub.node.client_limits import ClientLimits, LimitedCall
from myrtlehub.node.request_decoder import DecodedRequest, InvalidRequestError
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.proto.chat_pb2 import Aborted, Rejected
from myrtlehub.rpc.method_handlers import server_stream
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

BYTES_PER_TOKEN = 4  # estimate for inputs without a token count
MAX_RESULTS_PER_MESSAGE = 256  # in a stream, which keeps messages small

RequestT = TypeVar("RequestT", pb.EmbedRequest, pb.RankRequest)
ReplyMessage: TypeAlias = pb.EmbedReply | pb.RankReply


class BatchFront(NamedTuple, Generic[RequestT]):
    """The methods and messages of a front."""

    name: Front
    unary_path: str
    stream_path: str
    request_type: type[RequestT]
    decode_request: Callable[[RequestT, bool], BatchRequest]  # raises ValueError that names the field
    encode_reply: Callable[[list[IndexedResult], RequestT], ReplyMessage]


def decode_terms(terms: pb.Terms, deadline_in: float) -> DecodedRequest:
    """Decode the fields that batch requests have in common with chat requests."""
    return DecodedRequest(
        terms.traffic_type,
        terms.tenant,
        prompt_tokens=1,
        max_output_tokens=1,
        time_left=terms.time_left_ms / 1000.0,
        deadline_in=deadline_in,
        idempotency_key=terms.mark,
        is_retry=terms.repeated,
    )


def item_tokens(item: pb.Input) -> int:
    """Return the token count of an input as stated, or else estimated from its length."""
    return item.tokens or max(1, len(item.text) // BYTES_PER_TOKEN)


class BatchCall(Receiver, Generic[RequestT]):
    """One client's call; implements `BatchClient`."""

    def __init__(
        self, front: BatchFront[RequestT], call: ServerCall, request: RequestT, is_stream: bool
    ) -> None:
        self._front: BatchFront[RequestT] = front
        self._call = call
        self._request: RequestT = request
        self._is_stream = is_stream
        self._batch: AcceptedBatch | None = None
        self._unsent: list[IndexedResult] = []

    def accepted(self, batch: AcceptedBatch) -> None:
        """Store the batch, so that it is stopped if the client disconnects."""
        self._batch = batch

    def send_results(self, results: list[IndexedResult]) -> None:
        """Send results if the call is a stream; otherwise collect them for the reply."""
        self._unsent.extend(results)
        if not self._is_stream:
            return
        while len(self._unsent) >= MAX_RESULTS_PER_MESSAGE:
            self._send(self._unsent[:MAX_RESULTS_PER_MESSAGE])
            del self._unsent[:MAX_RESULTS_PER_MESSAGE]
        if self._unsent:
            # Results that become ready in the same iteration of the event loop share one message.
            self._call.clock.callLater(0, self._send_unsent)

    def _send_unsent(self) -> None:
        if self._unsent and not self._call.over:
            self._send(self._unsent)
            self._unsent = []

    def _send(self, results: list[IndexedResult]) -> None:
        self._call.send(self._front.encode_reply(results, self._request).SerializeToString())

    def send_answer(self, answer: BatchAnswer, summary: BatchSummary) -> None:
        """Send the final answer, with all results if the call is unary."""
        if self._is_stream:
            self._send_unsent()
            reply = self._front.encode_reply([], self._request)
        else:
            reply = self._front.encode_reply(self._unsent, self._request)
        reply.final.CopyFrom(self._encode_final(answer, summary))
        self._call.send(reply.SerializeToString())
        self._call.finish()

    def _encode_final(self, answer: BatchAnswer, summary: BatchSummary) -> pb.Final:
        if answer.outcome == BatchOutcome.REJECTED:
            return pb.Final(rejected=Rejected(wait_ms=round(answer.retry_after * 1000)))
        if answer.outcome == BatchOutcome.ABORTED:
            return pb.Final(aborted=Aborted(reason=answer.reason))
        item_count = len(self._batch.request.items) if self._batch is not None else 0
        return pb.Final(
            generated=pb.Done(
                model=summary.model,
                items=item_count,
                errors=summary.error_count,
                kept=summary.cached_count,
            )
        )

    def lost(self, code: Code) -> None:
        """Handle the disconnect of the client."""
        if self._batch is not None:
            self._batch.client_disconnected()


class BatchMethod(Generic[RequestT]):
    """One method of a front."""

    def __init__(
        self,
        front: BatchFront[RequestT],
        coordinator: BatchCoordinator,
        is_closed: Callable[[], bool],
        client_limits: ClientLimits,
        is_stream: bool,
    ) -> None:
        self._front: BatchFront[RequestT] = front
        self._coordinator = coordinator
        self._is_closed = is_closed
        self._client_limits = client_limits
        self._is_stream = is_stream

    def accept(self, call: ServerCall, data: bytes) -> Receiver:
        """Handle a call and its request."""
        request = self._parse(data)
        batch_call = BatchCall(self._front, call, request, self._is_stream)
        terms = request.terms
        retry_after = self._client_limits.retry_after(
            call, terms.tenant, terms.repeated, len(data), self._is_closed()
        )
        if retry_after is not None:
            rejection = BatchAnswer(BatchOutcome.REJECTED, retry_after)
            batch_call.send_answer(rejection, BatchSummary("", 0, 0))
            return batch_call
        try:
            batch_request = self._front.decode_request(request, self._is_stream)
            batch_request = batch_request._replace(terms=decode_terms(terms, call.time_left()))
            batch = self._coordinator.accept(batch_request, batch_call)
            utility = self._coordinator.utility(terms.traffic_type)
            self._client_limits.track(
                LimitedCall(call, "batch", terms.tenant, utility, len(data), batch.limit_exceeded)
            )
        except (InvalidRequestError, ValueError) as error:
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from error
        return batch_call

    def _parse(self, data: bytes) -> RequestT:
        try:
            request: RequestT = self._front.request_type.FromString(data)
        except DecodeError as error:
            name = self._front.request_type.__name__
            raise RpcError(Code.INVALID_ARGUMENT, f"not a {name}: {error}") from error
        return request


def serve_front(
    front: BatchFront[RequestT],
    coordinator: BatchCoordinator,
    server: Server,
    is_closed: Callable[[], bool],
    client_limits: ClientLimits,
) -> None:
    """Serve the unary and the streaming method of a front."""
    unary = BatchMethod(front, coordinator, is_closed, client_limits, False)
    stream = BatchMethod(front, coordinator, is_closed, client_limits, True)
    server.add(front.unary_path, server_stream(unary.accept))
    server.add(front.stream_path, server_stream(stream.accept))
