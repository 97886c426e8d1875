"""Ownerships of sequences that have ended at this node.

A read state may be released seconds after its sequence has ended. The release message still carries the
ownership as a fencing token, so the ownership is stored here.
"""

from myrtlehub.recovery.sequence_records import UNOWNED, Ownership

DEFAULT_CAPACITY = (
    20000  # sequences; enough for the seconds between a final answer and the release of the read state
)


class FormerOwnerships:
    """The last ownerships of ended sequences, bounded in number, and which of them have migrated."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self._ownerships: dict[str, Ownership] = {}  # by sequence id, oldest first
        self._migrated: set[str] = set()

    def last_ownership(self, sequence_id: str) -> Ownership:
        """Return this node's last ownership of a sequence; `UNOWNED` if it is not known."""
        return self._ownerships.get(sequence_id, UNOWNED)

    def add(self, sequence_id: str, ownership: Ownership) -> None:
        """Add a sequence that has ended here."""
        self._ownerships[sequence_id] = ownership
        if len(self._ownerships) > self.capacity:
            oldest = next(iter(self._ownerships))
            del self._ownerships[oldest]
            self._migrated.discard(oldest)

    def mark_migrated(self, sequence_id: str) -> None:
        """Record that another node continues a sequence."""
        self._migrated.add(sequence_id)

    def clear_migrated(self, sequence_id: str) -> None:
        """Record that this node owns a sequence again."""
        self._migrated.discard(sequence_id)

    def has_migrated(self, sequence_id: str) -> bool:
        """Return whether another node continues a sequence."""
        return sequence_id in self._migrated
