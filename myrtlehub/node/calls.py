"""A batch front's calls: one request, one reply or a stream of them, in front of the desk."""

from collections.abc import Callable
from typing import NamedTuple

from myrtlehub.batching.join import Answer
from myrtlehub.node.batches import Batch, BatchDesk, Want
from myrtlehub.node.client_limits import ClientLimits, LimitedCall
from myrtlehub.node.request_decoder import DecodedRequest, InvalidRequestError
from myrtlehub.proto import engine_pb2
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.proto.chat_pb2 import Aborted, Rejected
from myrtlehub.rpc.server import Receiver, ServerCall, server_stream
from myrtlehub.rpc.status import Code, RpcError

QUARTER = 4  # bytes a token, where a client states no tokens
PIECE = 256  # results in one message of a stream


class Front(NamedTuple):
    """What makes a front: one file, one of these, one row of `FRONTS` in `node`."""

    name: str
    unary: str  # paths
    stream: str
    request: type  # message
    want: Callable[[object, bool], Want]  # request and whether it streams; ValueError names the field
    reply: Callable[[list[tuple[int, engine_pb2.ItemResult]], object], object]  # results of one message


def asked_of(terms: pb.Terms, deadline_in: float) -> DecodedRequest:
    """What all batches have in common with chat."""
    return DecodedRequest(
        terms.traffic_type,
        terms.tenant,
        prompt_tokens=1,
        max_output_tokens=1,
        time_left=terms.time_left_ms / 1000.0,
        deadline_in=deadline_in,
        mark=terms.mark,
        is_retry=terms.repeated,
    )


def tokens_of(item: pb.Input) -> int:
    """As stated, else by its length."""
    return item.tokens or max(1, len(item.text) // QUARTER)


class BatchCall(Receiver):
    """One client's call."""

    def __init__(self, front: Front, call: ServerCall, request: object, streams: bool) -> None:
        self.front, self.call, self.request, self.streams = front, call, request, streams
        self.batch: Batch | None = None
        self._got: list[tuple[int, engine_pb2.ItemResult]] = []

    def taken(self, batch: Batch) -> None:
        self.batch = batch

    def results(self, results: list[tuple[int, engine_pb2.ItemResult]]) -> None:
        self._got.extend(results)
        while self.streams and len(self._got) >= PIECE:
            self._send(self._got[:PIECE])
            del self._got[:PIECE]
        if self.streams and self._got:
            # What is ready in this turn goes in one message.
            self.call.server.clock.callLater(0, self._rest)

    def _rest(self) -> None:
        if self._got and not self.call.over:
            self._send(self._got)
            self._got = []

    def _send(self, results: list) -> None:
        self.call.send(self.front.reply(results, self.request).SerializeToString())

    def final(self, answer: Answer, model: str, errors: int, kept: int) -> None:
        if answer.kind == "generated":
            items = len(self.batch.want.items) if self.batch is not None else 0
            final = pb.Final(generated=pb.Done(model=model, items=items, errors=errors, kept=kept))
        elif answer.kind == "rejected":
            final = pb.Final(rejected=Rejected(wait_ms=round(answer.wait * 1000)))
        else:
            final = pb.Final(aborted=Aborted(reason=answer.reason))
        if self.streams:
            self._rest()
            last = self.front.reply([], self.request)
        else:
            last = self.front.reply(self._got, self.request)
        last.final.CopyFrom(final)
        self.call.send(last.SerializeToString())
        self.call.finish()

    def lost(self, code: Code) -> None:
        if self.batch is not None:
            self.batch.left()


def serve(
    front: Front, desk: BatchDesk, server: object, closed: Callable[[], bool], client_limits: ClientLimits
) -> None:
    """Add both forms of a front's method."""

    def method(streams: bool) -> Callable[[ServerCall, bytes], Receiver]:
        def run(call: ServerCall, data: bytes) -> Receiver:
            try:
                request = front.request.FromString(data)
            except ValueError as fault:
                raise RpcError(Code.INVALID_ARGUMENT, f"not a {front.request.__name__}: {fault}") from fault
            mine = BatchCall(front, call, request, streams)
            terms = request.terms
            wait = client_limits.retry_after(call, terms.tenant, terms.repeated, len(data), closed())
            if wait is not None:
                mine.final(Answer("rejected", wait), "", 0, 0)  # not taken: nothing ran
                return mine
            try:
                want = front.want(request, streams)
                want = want._replace(asked=asked_of(terms, call.time_left()))
                batch = desk.take(want, mine)
                utility = desk.utility(terms.traffic_type)
                client_limits.track(LimitedCall(call, "batch", terms.tenant, utility, len(data), batch.cut))
            except (InvalidRequestError, ValueError) as fault:
                raise RpcError(Code.INVALID_ARGUMENT, str(fault)) from fault
            return mine

        return run

    server.add(front.unary, server_stream(method(False)))
    server.add(front.stream, server_stream(method(True)))
