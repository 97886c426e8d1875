"""The ends of a stream that a takeover has attached to."""

import pytest

from myrtlehub.node.replication.attached_stream import AttachedStream
from myrtlehub.proto import chat_pb2, engine_pb2
from myrtlehub.rpc.status import Code, Status

TOKENS = engine_pb2.WriteReply(tokens=chat_pb2.Tokens(ids=[7])).SerializeToString()
ENDED = engine_pb2.WriteReply(ended=engine_pb2.Ended(tokens=1)).SerializeToString()
REFUSED = engine_pb2.WriteReply(refused=engine_pb2.Refused()).SerializeToString()


class RecordingObserver:
    """Records how a stream ended."""

    def __init__(self) -> None:
        self.ends: list[str] = []

    def tokens_received(self, data: bytes) -> None:
        """Ignore tokens."""

    def stream_completed(self, token_count: int) -> None:
        """Record a complete answer."""
        self.ends.append("completed")

    def stream_failed(self, reason: str) -> None:
        """Record a stream that broke."""
        self.ends.append("failed")

    def superseded(self, reason: str) -> None:
        """Record that another node owns the sequence."""
        self.ends.append("superseded")


@pytest.mark.parametrize(
    ("messages", "code", "end"),
    [
        ([TOKENS, ENDED], Code.OK, "completed"),
        ([TOKENS], Code.OK, "failed"),
        ([TOKENS], Code.UNAVAILABLE, "failed"),
        ([], Code.OK, "failed"),
        ([TOKENS, REFUSED], Code.OK, "failed"),
        ([TOKENS, b""], Code.OK, "failed"),
        ([TOKENS, b"\x12\xff"], Code.OK, "failed"),
        ([TOKENS, b"", ENDED], Code.OK, "failed"),
        ([], Code.FAILED_PRECONDITION, "superseded"),
    ],
)
def test_an_attached_stream_ends_once_and_is_complete_only_with_its_final_reply(
    messages: list[bytes], code: Code, end: str
) -> None:
    observer = RecordingObserver()
    stream = AttachedStream(observer)
    for message in messages:
        stream.message(message)
    stream.ended(Status(code, ""))
    assert observer.ends == [end]
