"""Claims of sequences at engines: each raises the engine's fence and asks what is there."""

from twisted.internet.defer import Deferred

from myrtlehub.node.links import SERVICE, Links
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.sequence_records import SequenceRecord

CLAIM_TIMEOUT = 0.5  # seconds for an engine's reply to a claim; one that does not reply counts as unknown


def claim_at_engine(links: Links, engine: str, record: SequenceRecord, close: bool) -> Deferred:
    """Claim a sequence at an engine: fires with its `ClaimReply`, or with None if none came.

    `close`: nothing may run for the sequence any more, by any ownership.
    """
    request = pb.ClaimRequest(
        sequence=record.sequence_id,
        epoch=record.ownership.epoch,
        owner=record.ownership.owner,
        close=close,
    )
    done = links.to(engine).unary(SERVICE + "Claim", request.SerializeToString(), timeout=CLAIM_TIMEOUT)
    return done.addCallbacks(pb.ClaimReply.FromString, lambda failure: None)


def close_at_engines(links: Links, record: SequenceRecord) -> None:
    """Stop what runs and release what is held for a sequence that no client came back for."""
    for engine in dict.fromkeys(intent.engine for intent in record.intents):
        claim_at_engine(links, engine, record, close=True)
