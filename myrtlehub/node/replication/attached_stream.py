"""The stream of a writer that a takeover has attached to."""

from typing import Protocol

from google.protobuf.message import DecodeError

from myrtlehub.node.engine_transport.transport import ENGINE_SERVICE, GrpcEngineTransport
from myrtlehub.node.engine_transport.write_attempt import TOKENS_PREFIX
from myrtlehub.node.replication.takeover_interfaces import TakeoverRequest
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.sequence_records import AttemptIntent, SequenceRecord
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.status import Code, Status


class StreamObserver(Protocol):
    """Receives the events of a stream.

    Exactly one of `stream_completed`, `stream_failed` and `superseded` is called, once.
    """

    def tokens_received(self, data: bytes) -> None:
        """Handle a token message, encoded as the engine sent it."""

    def stream_completed(self, token_count: int) -> None:
        """Handle the end of a complete answer."""

    def stream_failed(self, reason: str) -> None:
        """Handle a stream that ended before the answer was complete."""

    def superseded(self, reason: str) -> None:
        """Handle a rejection by the engine because another node owns the sequence."""


class AttachedStream(CallWatcher):
    """Passes the replies on a call to a `StreamObserver`."""

    def __init__(self, observer: StreamObserver) -> None:
        self.observer = observer
        self.is_finished = False

    def message(self, data: bytes) -> None:
        """Handle one message from the engine."""
        if self.is_finished:
            return
        if data[:1] == TOKENS_PREFIX:
            self.observer.tokens_received(data)
            return
        self.is_finished = True
        try:
            reply = pb.WriteReply.FromString(data)
        except DecodeError:
            self.observer.stream_failed("a reply of the engine is malformed")
            return
        if reply.WhichOneof("reply") == "ended":
            self.observer.stream_completed(reply.ended.tokens)
        else:
            self.observer.stream_failed("the stream is not there any more")

    def ended(self, status: Status) -> None:
        """Handle the end of the call."""
        if self.is_finished:
            return
        self.is_finished = True
        if status.code == Code.FAILED_PRECONDITION:
            self.observer.superseded(status.message)
        else:
            self.observer.stream_failed(f"the stream broke: {status.code.name}")


def attach_to_stream(
    transport: GrpcEngineTransport,
    record: SequenceRecord,
    target: AttemptIntent,
    request: TakeoverRequest,
    observer: StreamObserver,
) -> ClientCall:
    """Attach to the stream of an attempt, from the first token that the client has not received.

    Args:
        transport: provides the channel to the engine.
        record: the record of the sequence, with this node's ownership.
        target: the attempt to attach to.
        request: the client's request to resume.
        observer: receives the stream's events, never before this function returns.
    """
    work = pb.Work(
        sequence=record.sequence_id,
        attempt=target.attempt,
        epoch=record.ownership.epoch,
        owner=record.ownership.owner,
        traffic_type=request.request.traffic_type,
        mark=request.request.idempotency_key,
    )
    attach = pb.Attach(**{"from": request.client_token_count})  # `from` is a keyword of Python
    metadata = (
        ("myrtle-seq", record.sequence_id),
        ("myrtle-attempt", str(target.attempt)),
        ("myrtle-node", transport.name),
    )
    channel = transport.channel_to(target.engine)
    call = channel.call(ENGINE_SERVICE + "Write", AttachedStream(observer), metadata)
    call.send(pb.WriteRequest(work=work, attach=attach).SerializeToString())
    call.half_close()
    return call
