"""The store of one replica: the sequence records that it holds for other nodes, bounded in count."""

from myrtlehub.recovery.sequence_records import (
    FIRST_EPOCH,
    Ownership,
    ReplicaReply,
    RetrySemantics,
    SequenceRecord,
    merge_end,
    merge_update,
    transfer,
)

# Records are evicted in this order, and of one kind those first whose answer has not begun.
EVICTION_ORDER = (RetrySemantics.IDEMPOTENT, RetrySemantics.IDEMPOTENCY_KEY, RetrySemantics.AT_MOST_ONCE)


class ReplicaStore:
    """All records that one replica holds for other nodes.

    When it is full, the record that helps least is evicted: idempotent sequences without a streaming answer
    (their clients ask again), then other idempotent ones, those with an idempotency key, at-most-once ones;
    the oldest first. A record that was handed out is never evicted: this replica would accept updates of
    its former owner.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.records: dict[str, SequenceRecord] = {}
        self.evicted = 0  # since the start

    def store(self, update: SequenceRecord) -> ReplicaReply:
        """Take an update from a record's owner."""
        stored = self.records.get(update.sequence_id)
        if stored is None and len(self.records) >= self.capacity and not self._evict_for(update):
            return ReplicaReply.FULL
        self.records[update.sequence_id], reply = merge_update(stored, update)
        return reply

    def end(self, sequence_id: str, ownership: Ownership) -> ReplicaReply:
        """Drop a record: its owner has given the final answer."""
        record, reply = merge_end(self.records.get(sequence_id), ownership)
        if record is None:
            self.records.pop(sequence_id, None)
        return reply

    def hand_out(self, sequence_id: str, new_owner: str, least_epoch: int = 0) -> SequenceRecord | None:
        """Transfer a record to a node that takes its sequence over; None if there is none."""
        stored = self.records.get(sequence_id)
        if stored is None:
            return None
        transferred = transfer(stored, new_owner, least_epoch)
        self.records[sequence_id] = transferred
        return transferred

    def records_of(self, owner: str) -> list[SequenceRecord]:
        """List the records of one owner, the one that expires next first."""
        records = (record for record in self.records.values() if record.ownership.owner == owner)
        return sorted(records, key=lambda record: record.expires_at)

    def remove_expired(self, now: float) -> list[str]:
        """Remove the records that nobody can be asking for any more; return their sequences."""
        expired = [record.sequence_id for record in self.records.values() if now >= record.expires_at]
        for sequence_id in expired:
            del self.records[sequence_id]
        return expired

    def _evict_for(self, update: SequenceRecord) -> bool:
        """Make room for a record by evicting one that ranks no higher; False if there is none."""
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
        self.evicted += 1
        return True


def _eviction_rank(record: SequenceRecord) -> tuple[int, bool]:
    return EVICTION_ORDER.index(record.retry_semantics), record.is_streaming
