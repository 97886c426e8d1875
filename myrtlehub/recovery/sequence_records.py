"""Sequence records: what a node replicates about its in-flight sequences, and how replicas merge updates.

A record lists every engine to which an attempt of the sequence may have been sent. Where a second execution
could do harm, the owner sends an attempt only after its replicas have stored the intent to send it. A
takeover raises the record's epoch. From then on the replica rejects updates of the former owner, so an owner
that was only paused cannot add an engine that the new owner does not know of.

Two invariants together ensure that a sequence runs at most once:

1. Every engine to which an owner of a lower epoch may send is in the record of every replica from which a
   successor may fetch it.
2. An engine that has received a higher fencing token rejects all messages with a lower one (`fencing`).

After a takeover has claimed every engine in the record, each attempt of a former owner is either included in
an engine's report or rejected from then on.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class RetrySemantics(StrEnum):
    """Whether a sequence may be executed twice; the values are those of the settings and of the protocol.

    `routing.contract` defines the same values, but this package does not depend on it.
    """

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "tokened"
    AT_MOST_ONCE = "once-only"


class ReplicaReply(StrEnum):
    """A replica's reply to an update of a record; the values are those of the protocol."""

    STORED = "kept"
    SUPERSEDED = "superseded"  # another node owns the sequence, by a higher epoch
    FULL = "full"


class Ownership(NamedTuple):
    """Which node may act for a sequence. Ownerships are ordered by epoch, then by owner; the higher one wins.

    The owner is a node with its incarnation, so a node that restarted is a different owner. Engines use the
    ownership as a fencing token.
    """

    epoch: int
    owner: str  # NODE.INCARNATION


UNOWNED = Ownership(0, "")  # lower than any ownership with an owner
FIRST_EPOCH = 1  # epoch of a sequence that was never taken over


class AttemptIntent(NamedTuple):
    """An attempt that may have been sent."""

    attempt: int  # number of the attempt; attempts of former owners count too
    engine: str  # address
    is_read: bool
    intended_at: float  # seconds on the clock of the node that stores the record


class SequenceRecord(NamedTuple):
    """An in-flight sequence as a replica stores it."""

    sequence_id: str
    ownership: Ownership
    retry_semantics: str  # a value of `RetrySemantics`, or one that a later version of a peer defines
    expires_at: float  # seconds on the clock of the node that stores the record
    intents: tuple[AttemptIntent, ...] = ()
    is_streaming: bool = False  # the client may have received tokens


class MergeResult(NamedTuple):
    """The record that a replica stores after a message (None if it has none), and its reply to the owner."""

    record: SequenceRecord | None
    reply: ReplicaReply


def merge_update(stored: SequenceRecord | None, update: SequenceRecord) -> MergeResult:
    """Merge an owner's update, which always contains the complete record, into the stored record.

    Intents are only added, so an update that arrives late or twice removes none.
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
    """Remove a record whose owner has given the final answer, unless the owner was superseded."""
    if stored is not None and ownership < stored.ownership:
        return MergeResult(stored, ReplicaReply.SUPERSEDED)
    return MergeResult(None, ReplicaReply.STORED)


def transfer_ownership(stored: SequenceRecord, new_owner: str, min_epoch: int = 0) -> SequenceRecord:
    """Return the record with a new owner, and an epoch above both the stored one and `min_epoch`."""
    return stored._replace(ownership=Ownership(max(stored.ownership.epoch, min_epoch) + 1, new_owner))


def merge_copies(copies: list[SequenceRecord]) -> SequenceRecord:
    """Merge the copies of one record from several replicas; the highest ownership wins."""
    highest = max(copies, key=lambda copy: copy.ownership)
    return highest._replace(
        intents=_union_of_intents(copies), is_streaming=any(copy.is_streaming for copy in copies)
    )


def _union_of_intents(records: Iterable[SequenceRecord]) -> tuple[AttemptIntent, ...]:
    """Return all intents in the order of their attempts; the last record wins for each attempt."""
    by_attempt = {intent.attempt: intent for record in records for intent in record.intents}
    return tuple(by_attempt[attempt] for attempt in sorted(by_attempt))
