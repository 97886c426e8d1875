"""Replica store: the sequence records that one replica stores for other nodes, bounded in count."""

from typing import NamedTuple

from myrtlehub.recovery.sequence_records import (
    FIRST_EPOCH,
    Ownership,
    ReplicaReply,
    RetrySemantics,
    SequenceRecord,
    merge_completion,
    merge_update,
    transfer_ownership,
)

# The semantics whose records cost least to lose come first.
EVICTION_ORDER = (RetrySemantics.IDEMPOTENT, RetrySemantics.IDEMPOTENCY_KEY, RetrySemantics.AT_MOST_ONCE)


class EvictionRank(NamedTuple):
    """The cost of losing a record; records with a low rank are evicted first."""

    semantics_rank: int  # index in `EVICTION_ORDER`
    is_streaming: bool  # with equal semantics, records that do not stream yet are evicted first


class ReplicaStore:
    """All records that one replica stores for other nodes.

    A full store evicts the record with the lowest `EvictionRank`, and among equal ranks the oldest. Records
    of idempotent sequences that do not stream yet are evicted first, because their clients can simply send
    the request again. A record that was transferred to a new owner is never evicted: without it, this replica
    would accept updates of the former owner again.
    """

    def __init__(self, capacity: int) -> None:
        """Make an empty store for `capacity` records."""
        self.capacity = capacity
        self.records: dict[str, SequenceRecord] = {}  # by sequence id, the oldest first
        self.eviction_count = 0  # since the start

    def store(self, update: SequenceRecord) -> ReplicaReply:
        """Merge an update that the record's owner sent."""
        stored = self.records.get(update.sequence_id)
        if stored is None and len(self.records) >= self.capacity and not self._evict_for(update):
            return ReplicaReply.FULL
        record, reply = merge_update(stored, update)
        if record is not None:
            self.records[update.sequence_id] = record
        return reply

    def complete(self, sequence_id: str, ownership: Ownership) -> ReplicaReply:
        """Remove the record of a sequence whose owner has given the final answer."""
        record, reply = merge_completion(self.records.get(sequence_id), ownership)
        if record is None:
            self.records.pop(sequence_id, None)
        return reply

    def hand_out(self, sequence_id: str, new_owner: str, min_epoch: int = 0) -> SequenceRecord | None:
        """Transfer a record to the node that takes over its sequence.

        Returns:
            The record with its new ownership; None if there is no record.
        """
        stored = self.records.get(sequence_id)
        if stored is None:
            return None
        transferred = transfer_ownership(stored, new_owner, min_epoch)
        self.records[sequence_id] = transferred
        return transferred

    def records_of(self, owner: str) -> list[SequenceRecord]:
        """Return the records of one owner, sorted by their time of expiry."""
        records = (record for record in self.records.values() if record.ownership.owner == owner)
        return sorted(records, key=lambda record: record.expires_at)

    def remove_expired(self, now: float) -> list[str]:
        """Remove the expired records, whose clients can no longer resume.

        Returns:
            The ids of their sequences.
        """
        expired = [record.sequence_id for record in self.records.values() if now >= record.expires_at]
        for sequence_id in expired:
            del self.records[sequence_id]
        return expired

    def _evict_for(self, update: SequenceRecord) -> bool:
        """Evict a record that ranks no higher than the update; return False if there is no such record."""
        candidates = [
            (_eviction_rank(record), age_rank, record.sequence_id)
            for age_rank, record in enumerate(self.records.values())
            if record.ownership.epoch <= FIRST_EPOCH
        ]
        if not candidates:
            return False
        rank, _, sequence_id = min(candidates)
        if rank > _eviction_rank(update):
            return False
        del self.records[sequence_id]
        self.eviction_count += 1
        return True


def _eviction_rank(record: SequenceRecord) -> EvictionRank:
    return EvictionRank(EVICTION_ORDER.index(record.retry_semantics), record.is_streaming)
