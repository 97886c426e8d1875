"""Sequence records as protobuf messages between nodes.

The clocks of two nodes differ, so a message contains durations where a record contains times.
"""

from myrtlehub.proto import peers_pb2 as pb
from myrtlehub.recovery.sequence_records import AttemptIntent, Ownership, SequenceRecord

PEERS_SERVICE = "/myrtlehub.v1.Peers/"
FORMAT_VERSION = 1  # format of the messages between nodes; later formats are rejected
CALL_TIMEOUT = 0.5  # seconds


def encode_record(record: SequenceRecord, now: float, is_completed: bool = False) -> pb.Record:
    """Encode a record as a message.

    Args:
        record: the record.
        now: seconds on this node's clock.
        is_completed: whether the final answer was sent, so that the replica may remove the record.
    """
    return pb.Record(
        sequence=record.sequence_id,
        epoch=record.ownership.epoch,
        owner=record.ownership.owner,
        repeats=record.retry_semantics,
        left_ms=max(0, int((record.expires_at - now) * 1000)),
        streams=record.is_streaming,
        ended=is_completed,
        intents=[
            pb.Intent(
                number=intent.attempt,
                engine=intent.engine,
                reads=intent.is_read,
                age_ms=max(0, int((now - intent.intended_at) * 1000)),
            )
            for intent in record.intents
        ],
    )


def decode_record(message: pb.Record, now: float) -> SequenceRecord:
    """Decode a record from a message received at `now`, in seconds on this node's clock."""
    return SequenceRecord(
        message.sequence,
        Ownership(message.epoch, message.owner),
        message.repeats,
        now + message.left_ms / 1000.0,
        tuple(
            AttemptIntent(intent.number, intent.engine, intent.reads, now - intent.age_ms / 1000.0)
            for intent in message.intents
        ),
        message.streams,
    )
