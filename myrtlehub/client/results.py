"""How an attempt ended, as its transport saw it."""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.proto import chat_pb2 as pb


class Outcome(StrEnum):
    """How one attempt ended."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    MOVED = "moved"  # its node is draining: another node continues the sequence
    INVALID = "invalid"
    LOST = "lost"  # ended without a final answer


class AttemptResult(NamedTuple):
    """Outcome of one attempt, with what the node or the transport said about it."""

    outcome: Outcome
    retry_after: float = 0.0
    message: str = ""
    unprocessed: bool = False  # known never to have reached the node's program
    count: int = 0  # tokens or items of a generated answer, as the node counted


class Generated(NamedTuple):
    """The whole answer came."""

    tokens: int
    attempts: int


def result_of(reply: pb.GenerateReply) -> AttemptResult | None:
    """Return the result that a final reply states, or None for a reply with tokens."""
    field = reply.WhichOneof("reply")
    if field == "tokens":
        return None
    if field == "generated":
        return AttemptResult(Outcome.GENERATED, count=reply.generated.tokens)
    if field == "rejected":
        return AttemptResult(Outcome.REJECTED, reply.rejected.wait_ms / 1000.0, "rejected")
    if field == "moved":
        return AttemptResult(Outcome.MOVED, message="its node is draining")
    return AttemptResult(Outcome.ABORTED, message=reply.aborted.reason or "aborted")
