"""Merges the copies of a sequence record from the replies of several replicas."""

from typing import NamedTuple

from myrtlehub.node.replication.wire import decode_record
from myrtlehub.proto import peers_pb2 as pb
from myrtlehub.recovery.sequence_records import SequenceRecord, merge_copies


class FetchedRecord(NamedTuple):
    """A record that replicas have transferred to this node, and the state of these replicas."""

    record: SequenceRecord
    incarnations: dict[str, str | None]  # by replica; None: the replica did not reply
    unreached: frozenset[str]  # replicas that did not reply


def has_record(reply: pb.TakeReply | None) -> bool:
    """Return whether a replica has transferred a record."""
    return reply is not None and reply.HasField("record")


def merge_replies(
    replicas: list[str], replies: list[pb.TakeReply | None], now: float
) -> FetchedRecord | None:
    """Merge the replies of replicas; return None if none of them contains a record.

    Args:
        replicas: the nodes that were queried.
        replies: their replies, in the same order; None where no reply arrived.
        now: seconds on this node's clock.
    """
    copies = [
        decode_record(reply.record, now) for reply in replies if reply is not None and has_record(reply)
    ]
    if not copies:
        return None
    reply_by_replica = dict(zip(replicas, replies, strict=True))
    return FetchedRecord(
        merge_copies(copies),
        {name: reply.run or None if reply is not None else None for name, reply in reply_by_replica.items()},
        frozenset(name for name, reply in reply_by_replica.items() if reply is None),
    )
