"""Sequence records: what the replicas of a node know of its in-flight sequences, and the rules to merge them.

A record names every engine to which the sequence may have been sent: where a second execution could do
harm, the intent to send is at all replicas before the send. A takeover raises the record's epoch; from then
on the replica accepts no update from a former owner, so that an owner that was only paused adds no engine
that the new one does not know of.

That a sequence runs at most once rests on two statements that each hold for themselves: every engine that
any owner of a lower epoch may send to is in the record of every replica that may hand it out; and an engine
that has seen a higher fencing token refuses whatever comes with a lower one (`fencing`). So what former
owners did has shown itself in the engines' answers, or can't happen any more.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class RetrySemantics(StrEnum):
    """What a second execution of a sequence does; the values are those of the settings and of the protocol.

    The same as in `routing.contract`, which this package doesn't depend on.
    """

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "tokened"
    AT_MOST_ONCE = "once-only"


class ReplicaReply(StrEnum):
    """What a replica answers to an update of a record; the values are those of the protocol."""

    STORED = "kept"
    SUPERSEDED = "superseded"  # another node owns the sequence by a higher epoch
    FULL = "full"


class Ownership(NamedTuple):
    """Which node may act for a sequence: the higher one, by epoch and then by name.

    Owners are named by node and incarnation, so that a node that restarted is another owner than before.
    Engines take it as a fencing token.
    """

    epoch: int
    owner: str


UNOWNED = Ownership(0, "")
FIRST_EPOCH = 1  # of a sequence that nobody has taken over


class AttemptIntent(NamedTuple):
    """An attempt that may have been sent."""

    attempt: int
    engine: str
    reads: bool
    intended_at: float  # seconds on the clock of whoever holds the record


class SequenceRecord(NamedTuple):
    """An in-flight sequence, as a replica has it. Times are seconds on the replica's clock."""

    sequence_id: str
    ownership: Ownership
    retry_semantics: str  # a value of `RetrySemantics`
    expires_at: float  # abandon time; an answer that has begun may take longer
    intents: tuple[AttemptIntent, ...] = ()
    is_streaming: bool = False  # its answer has begun


class MergeResult(NamedTuple):
    """The record that a replica holds from now on, None if it holds none, and its reply to the owner."""

    record: SequenceRecord | None
    reply: ReplicaReply


def merge_update(stored: SequenceRecord | None, update: SequenceRecord) -> MergeResult:
    """Merge an owner's update, which is the whole record each time, into what the replica holds.

    An update that is late or comes twice removes nothing: intents are only ever added.
    """
    if stored is None:
        return MergeResult(update, ReplicaReply.STORED)
    if update.ownership < stored.ownership:
        return MergeResult(stored, ReplicaReply.SUPERSEDED)
    merged = update._replace(
        intents=_union_of_intents((update, stored)),
        is_streaming=stored.is_streaming or update.is_streaming,
    )
    return MergeResult(merged, ReplicaReply.STORED)


def merge_end(stored: SequenceRecord | None, ownership: Ownership) -> MergeResult:
    """Drop a record as its owner has given the final answer, unless the owner was superseded."""
    if stored is not None and ownership < stored.ownership:
        return MergeResult(stored, ReplicaReply.SUPERSEDED)
    return MergeResult(None, ReplicaReply.STORED)


def transfer(stored: SequenceRecord, new_owner: str, least_epoch: int = 0) -> SequenceRecord:
    """Give a record to another owner, by an epoch above its own and above `least_epoch`."""
    return stored._replace(ownership=Ownership(max(stored.ownership.epoch, least_epoch) + 1, new_owner))


def merge_copies(copies: list[SequenceRecord]) -> SequenceRecord:
    """Merge what several replicas hold of one sequence into one record with the highest ownership."""
    highest = max(copies, key=lambda copy: copy.ownership)
    return highest._replace(
        intents=_union_of_intents(copies), is_streaming=any(copy.is_streaming for copy in copies)
    )


def _union_of_intents(records: Iterable[SequenceRecord]) -> tuple[AttemptIntent, ...]:
    """Return all intents by attempt; of two of one attempt the one of the later record."""
    by_attempt = {intent.attempt: intent for record in records for intent in record.intents}
    return tuple(by_attempt[attempt] for attempt in sorted(by_attempt))
