"""The result of an attempt, from its final reply or its status."""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.proto import chat_pb2 as pb


class Outcome(StrEnum):
    """The way in which one attempt ended."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    MOVED = "moved"  # its node is draining; another node continues the sequence
    INVALID = "invalid"
    LOST = "lost"  # no final answer was received


class AttemptResult(NamedTuple):
    """Outcome of one attempt, with details from the node or the transport."""

    outcome: Outcome
    retry_after: float | None = None  # seconds that a rejection asks the client to wait
    message: str = ""
    unprocessed: bool = False  # True: the request certainly did not reach the node's application
    item_count: int = 0  # tokens, or items of a batch, of a generated answer, as counted by the node


class Generated(NamedTuple):
    """The complete answer was received."""

    tokens: int
    attempts: int


def result_of(reply: pb.GenerateReply) -> AttemptResult | None:
    """Return the result in a final reply, or None for a reply with tokens."""
    field = reply.WhichOneof("reply")
    if field == "tokens":
        return None
    if field == "generated":
        return AttemptResult(Outcome.GENERATED, item_count=reply.generated.tokens)
    if field == "rejected":
        return result_of_rejection(reply.rejected)
    if field == "moved":
        return AttemptResult(Outcome.MOVED, message="its node is draining")
    return result_of_abort(reply.aborted)


def result_of_rejection(rejected: pb.Rejected) -> AttemptResult:
    """Return the result in a rejection; a wait of 0 on the wire means that no Retry-After is stated."""
    return AttemptResult(Outcome.REJECTED, rejected.wait_ms / 1000.0 or None, "rejected")


def result_of_abort(aborted: pb.Aborted) -> AttemptResult:
    """Return the result in an abort."""
    return AttemptResult(Outcome.ABORTED, message=aborted.reason or "aborted")
