"""Sequence records as protobuf messages between nodes."""

from myrtlehub.proto import peers_pb2 as pb
from myrtlehub.recovery.sequence_records import AttemptIntent, Ownership, SequenceRecord

PEERS_SERVICE = "/myrtlehub.v1.Peers/"
FORMAT_VERSION = 1  # of messages between nodes; a later one is refused with an error
CALL_TIMEOUT = 0.5  # seconds for a peer's reply


def encode_record(record: SequenceRecord, now: float, is_ended: bool = False) -> pb.Record:
    """Return a record as it is sent: its times are distances from now."""
    return pb.Record(
        sequence=record.sequence_id,
        epoch=record.ownership.epoch,
        owner=record.ownership.owner,
        repeats=record.retry_semantics,
        left_ms=max(0, int((record.expires_at - now) * 1000)),
        streams=record.is_streaming,
        ended=is_ended,
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
    """Return a record as it was received, with times of this node's clock."""
    return SequenceRecord(
        message.sequence,
        Ownership(message.epoch, message.owner),
        message.repeats,
        now + message.left_ms / 1000.0,
        tuple(
            AttemptIntent(intent.number, intent.engine, intent.is_read, now - intent.age_ms / 1000.0)
            for intent in message.intents
        ),
        message.streams,
    )
