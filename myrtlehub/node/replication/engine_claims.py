"""Claims of sequences at engines.

A claim raises the fencing token that the engine requires, and returns the states of the sequence's attempts
at that engine.
"""

from collections.abc import Iterable

from twisted.internet.defer import Deferred, succeed

from myrtlehub.node.engine_transport.transport import ENGINE_SERVICE, GrpcEngineTransport
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.recovery_decision import STREAMING_STATES, AttemptReport
from myrtlehub.recovery.sequence_records import AttemptIntent, SequenceRecord

CLAIM_TIMEOUT = 0.5  # seconds; the attempts at an engine that has not replied by then count as unknown
MAX_CLOCK_ERROR = (
    0.5  # seconds; bounds the error of an attempt's age, which is measured on the clocks of several machines
)


class EngineClaims:
    """The claims of one sequence at all engines in its record, and the attempt states that they report."""

    def __init__(self, transport: GrpcEngineTransport, record: SequenceRecord) -> None:
        self.transport = transport
        self.record = record
        self.engines = _engines_of(record)
        self.read_states: dict[str, pb.State] = {}  # by engine, for engines that have one

    def send(self, engines_answer_claims: bool) -> "list[Deferred[pb.ClaimReply | None]]":
        """Claim the sequence at each engine.

        Args:
            engines_answer_claims: if False, nothing is sent, and no engine replies.

        Returns:
            For each of `engines`, a Deferred that fires with the reply, or with None if there is none.
        """
        if not engines_answer_claims:
            return [succeed(None) for _ in self.engines]
        return [claim_at_engine(self.transport, engine, self.record, close=False) for engine in self.engines]

    def reports(self, replies: Iterable[pb.ClaimReply | None], now: float) -> list[AttemptReport]:
        """Return the reported state of each attempt in the record.

        Args:
            replies: in the order of `engines`.
            now: seconds on this node's clock.
        """
        by_engine = dict(zip(self.engines, replies, strict=True))
        return [self._report(intent, by_engine[intent.engine], now) for intent in self.record.intents]

    def _report(self, intent: AttemptIntent, reply: pb.ClaimReply | None, now: float) -> AttemptReport:
        if reply is None:
            return AttemptReport(intent, AttemptState.UNKNOWN)
        reported = next((reported for reported in reply.attempts if reported.number == intent.attempt), None)
        if reported is None:
            # `age` is the length of the engine's attempt history. An older attempt may have run and been
            # removed from it (`test_an_engine_that_has_forgotten_an_attempt_is_no_proof_that_it_never_ran`).
            may_be_forgotten = now - intent.intended_at + MAX_CLOCK_ERROR > reply.age
            return AttemptReport(intent, AttemptState.UNKNOWN if may_be_forgotten else AttemptState.NEVER_RAN)
        state = AttemptState(reported.says)
        if state == AttemptState.HAS_READ_STATE and reported.HasField("state"):
            self.read_states[intent.engine] = reported.state
        return AttemptReport(intent, state, reported.tokens, reported.first)


def is_rejected(reply: pb.ClaimReply | None) -> bool:
    """Return whether the engine rejected the claim, because a higher ownership has claimed the sequence."""
    return reply is not None and not reply.granted


def has_stream(reply: pb.ClaimReply | None) -> bool:
    """Return whether the engine has a stream to attach to; if so, the other reports are optional."""
    return reply is not None and any(attempt.says in STREAMING_STATES for attempt in reply.attempts)


def claim_at_engine(
    transport: GrpcEngineTransport, engine: str, record: SequenceRecord, close: bool
) -> "Deferred[pb.ClaimReply | None]":
    """Claim a sequence at one engine.

    Args:
        transport: provides the channel to the engine.
        engine: the engine's address.
        record: contains the sequence id and the ownership that claims the sequence.
        close: whether the engine also stops the sequence's attempts, releases its read state, and
            rejects further work for the sequence.

    Returns:
        A Deferred that fires with the reply, or with None if there is none.
    """
    request = pb.ClaimRequest(
        sequence=record.sequence_id,
        epoch=record.ownership.epoch,
        owner=record.ownership.owner,
        close=close,
    )
    reply = transport.channel_to(engine).unary(
        ENGINE_SERVICE + "Claim", request.SerializeToString(), timeout=CLAIM_TIMEOUT
    )
    return reply.addCallbacks(pb.ClaimReply.FromString, lambda failure: None)


def close_at_engines(transport: GrpcEngineTransport, record: SequenceRecord) -> None:
    """Stop the attempts and release the read state of a sequence whose client did not resume."""
    for engine in _engines_of(record):
        claim_at_engine(transport, engine, record, close=True)


def _engines_of(record: SequenceRecord) -> list[str]:
    """Return the distinct engines of the record's intents, in the order of the intents."""
    return list(dict.fromkeys(intent.engine for intent in record.intents))
