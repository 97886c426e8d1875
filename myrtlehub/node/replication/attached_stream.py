"""A writer's stream that a takeover has attached to."""

from typing import Protocol

from myrtlehub.node.engine_transport.write_attempt import TOKENS_TAG
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Code, Status


class StreamObserver(Protocol):
    """Who hears what comes on the stream."""

    def tokens_received(self, data: bytes) -> None:
        """Take a token message, as the engine sent it."""

    def stream_completed(self, token_count: int) -> None:
        """Note that the answer is complete."""

    def stream_broke(self, reason: str) -> None:
        """Note that no more of the answer comes."""

    def superseded(self, reason: str) -> None:
        """Note that another node owns the sequence."""


class AttachedStream(CallWatcher):
    """Turns what comes back on the call into events of a `StreamObserver`; exactly one of them is final."""

    def __init__(self, observer: StreamObserver) -> None:
        self.observer = observer
        self.is_final = False

    def message(self, data: bytes) -> None:
        """Take one message of the engine."""
        if self.is_final:
            return
        if data[0] == TOKENS_TAG:
            self.observer.tokens_received(data)
            return
        self.is_final = True
        reply = pb.WriteReply.FromString(data)
        if reply.WhichOneof("reply") == "ended":
            self.observer.stream_completed(reply.ended.tokens)
        else:
            self.observer.stream_broke("the stream is not there any more")

    def ended(self, status: Status) -> None:
        """Take the end of the call."""
        if self.is_final:
            return
        self.is_final = True
        if status.code == Code.FAILED_PRECONDITION:
            self.observer.superseded(status.message)
        else:
            self.observer.stream_broke(f"the stream broke: {status.code.name}")
