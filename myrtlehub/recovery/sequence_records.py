"""Sequence records: what the replicas of a node know of its in-flight sequences, and how they are merged.

A record lists every engine to which an attempt of the sequence may have been sent. Where a second execution
could do harm, the owner sends an attempt only after its replicas have stored the intent to send it. A
takeover raises the record's epoch; from then on the replica refuses updates of the former owner, so an
owner that was only paused cannot add an engine that the new owner does not know.

Two invariants together make a sequence run at most once:

1. Every engine to which an owner of a lower epoch may send is in the record of every replica that may hand
   the record out.
2. An engine that has seen a higher fencing token refuses all messages with a lower one (`fencing`).

After a takeover has claimed every engine in the record, each attempt of a former owner either shows in an
engine's report or is refused from then on.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class RetrySemantics(StrEnum):
    """What a second execution of a sequence does; the values are those of the settings and of the protocol.

    `routing.contract` defines the same values; this package does not depend on it.
    """

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "tokened"
    AT_MOST_ONCE = "once-only"


class ReplicaReply(StrEnum):
    """A replica's reply to an update of a record; the values are those of the protocol."""

    STORED = "kept"
    SUPERSEDED = "superseded"  # another node owns the sequence by a higher epoch
    FULL = "full"


class Ownership(NamedTuple):
    """Which node may act for a sequence. The higher ownership wins: by epoch, then by owner.

    The owner is a node and its incarnation, so a node that restarted is a different owner. Engines use the
    ownership as a fencing token.
    """

    epoch: int
    owner: str  # NODE.INCARNATION


UNOWNED = Ownership(0, "")  # lower than the ownership of any owner
FIRST_EPOCH = 1  # of a sequence that has not been taken over


class AttemptIntent(NamedTuple):
    """An attempt that may have been sent."""

    attempt: int  # number among all attempts of the sequence, those of former owners included
    engine: str  # address
    is_read: bool
    intended_at: float  # seconds on the clock of the node that holds the record


class SequenceRecord(NamedTuple):
    """An in-flight sequence as a replica stores it."""

    sequence_id: str
    ownership: Ownership
    retry_semantics: str  # of `RetrySemantics`, or a value that only a later version of a peer knows
    expires_at: float  # seconds on the clock of the node that holds the record
    intents: tuple[AttemptIntent, ...] = ()
    is_streaming: bool = False  # the client may have received tokens


class MergeResult(NamedTuple):
    """The record that a replica holds after a message, None if it holds none, and its reply to the owner."""

    record: SequenceRecord | None
    reply: ReplicaReply


def merge_update(stored: SequenceRecord | None, update: SequenceRecord) -> MergeResult:
    """Merge an owner's update, which always has the complete record, into the stored record.

    Intents are only ever added, so an update that arrives late or twice removes none.
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


def merge_completion(stored: SequenceRecord | None, ownership: Ownership) -> MergeResult:
    """Drop a record whose owner has given the final answer, unless the owner was superseded."""
    if stored is not None and ownership < stored.ownership:
        return MergeResult(stored, ReplicaReply.SUPERSEDED)
    return MergeResult(None, ReplicaReply.STORED)


def transfer(stored: SequenceRecord, new_owner: str, min_epoch: int = 0) -> SequenceRecord:
    """Return the record with a new owner, whose epoch is above the stored one and above `min_epoch`."""
    return stored._replace(ownership=Ownership(max(stored.ownership.epoch, min_epoch) + 1, new_owner))


def merge_copies(copies: list[SequenceRecord]) -> SequenceRecord:
    """Merge the copies that several replicas hold of one record; the highest ownership wins."""
    highest = max(copies, key=lambda copy: copy.ownership)
    return highest._replace(
        intents=_union_of_intents(copies), is_streaming=any(copy.is_streaming for copy in copies)
    )


def _union_of_intents(records: Iterable[SequenceRecord]) -> tuple[AttemptIntent, ...]:
    """Return all intents in the order of their attempts; for the same attempt the last record wins."""
    by_attempt = {intent.attempt: intent for record in records for intent in record.intents}
    return tuple(by_attempt[attempt] for attempt in sorted(by_attempt))
