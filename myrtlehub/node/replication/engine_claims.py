"""Claims of sequences at engines: each raises the engine's fence and asks what is there."""

from collections.abc import Iterable

from twisted.internet.defer import Deferred, succeed

from myrtlehub.node.engine_transport.transport import SERVICE, GrpcEngineTransport
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.recovery_decision import STREAMING_STATES, AttemptReport
from myrtlehub.recovery.sequence_records import AttemptIntent, SequenceRecord

CLAIM_TIMEOUT = 0.5  # seconds for an engine's reply to a claim; one that does not reply counts as unknown
CLOCK_SLACK = 0.5  # seconds by which two machines may differ on how long ago an attempt was sent


class EngineClaims:
    """The claims of one sequence at all engines in its record, and what they report of its attempts."""

    def __init__(self, transport: GrpcEngineTransport, record: SequenceRecord) -> None:
        self.transport = transport
        self.record = record
        self.engines = _engines_of(record)
        self.read_states: dict[str, pb.State] = {}  # by engine that holds one

    def send(self, engines_answer_claims: bool) -> list[Deferred]:
        """Claim the sequence at each engine; each Deferred fires with a `ClaimReply` or None."""
        if not engines_answer_claims:
            return [succeed(None) for _ in self.engines]
        return [claim_at_engine(self.transport, engine, self.record, close=False) for engine in self.engines]

    def reports(self, replies: Iterable[pb.ClaimReply | None], now: float) -> list[AttemptReport]:
        """Return what the engines reported of each attempt; `replies` in the order of `engines`."""
        by_engine = dict(zip(self.engines, replies, strict=True))
        return [self._report(intent, by_engine[intent.engine], now) for intent in self.record.intents]

    def _report(self, intent: AttemptIntent, reply: pb.ClaimReply | None, now: float) -> AttemptReport:
        if reply is None:
            return AttemptReport(intent, AttemptState.UNKNOWN)
        row = next((row for row in reply.attempts if row.number == intent.attempt), None)
        if row is None:
            # Of an attempt from before the time that the engine remembers, no report proves nothing.
            is_forgotten = now - intent.intended_at + CLOCK_SLACK > reply.age
            return AttemptReport(intent, AttemptState.UNKNOWN if is_forgotten else AttemptState.NEVER_RAN)
        state = AttemptState(row.says)
        if state == AttemptState.HOLDS_READ_STATE and row.HasField("state"):
            self.read_states[intent.engine] = row.state
        return AttemptReport(intent, state, row.tokens, row.first)


def is_refused(reply: pb.ClaimReply | None) -> bool:
    """Return whether another node has a higher claim at the engine."""
    return reply is not None and not reply.granted


def has_stream(reply: pb.ClaimReply | None) -> bool:
    """Return whether an engine has a stream to go on with: no other one matters much then."""
    return reply is not None and any(row.says in STREAMING_STATES for row in reply.attempts)


def claim_at_engine(
    transport: GrpcEngineTransport, engine: str, record: SequenceRecord, close: bool
) -> Deferred:
    """Claim a sequence at an engine: fires with its `ClaimReply`, or with None if none came.

    `close`: nothing may run for the sequence any more, by any ownership.
    """
    request = pb.ClaimRequest(
        sequence=record.sequence_id,
        epoch=record.ownership.epoch,
        owner=record.ownership.owner,
        close=close,
    )
    done = transport.channel_to(engine).unary(
        SERVICE + "Claim", request.SerializeToString(), timeout=CLAIM_TIMEOUT
    )
    return done.addCallbacks(pb.ClaimReply.FromString, lambda failure: None)


def close_at_engines(transport: GrpcEngineTransport, record: SequenceRecord) -> None:
    """Stop what runs and release what is held for a sequence that no client came back for."""
    for engine in _engines_of(record):
        claim_at_engine(transport, engine, record, close=True)


def _engines_of(record: SequenceRecord) -> list[str]:
    """Return each engine of the record's intents once, in their order."""
    return list(dict.fromkeys(intent.engine for intent in record.intents))
