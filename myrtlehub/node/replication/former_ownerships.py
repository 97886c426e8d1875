"""Ownerships of sequences that are over at this node: messages that come late still carry them."""

from myrtlehub.recovery.sequence_records import UNOWNED, Ownership

CAPACITY = 20000  # releases follow answers within seconds


class FormerOwnerships:
    """The last ownerships by sequence, bounded in count, and which sequences another node continues."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self.capacity = capacity
        self._ownerships: dict[str, Ownership] = {}
        self._moved: set[str] = set()

    def of(self, sequence_id: str) -> Ownership:
        """Return by which ownership this node had a sequence."""
        return self._ownerships.get(sequence_id, UNOWNED)

    def add(self, sequence_id: str, ownership: Ownership) -> None:
        """Remember the ownership of a sequence that is over here."""
        self._ownerships[sequence_id] = ownership
        if len(self._ownerships) > self.capacity:
            oldest = next(iter(self._ownerships))
            del self._ownerships[oldest]
            self._moved.discard(oldest)

    def set_moved(self, sequence_id: str) -> None:
        """Note that another node continues a sequence."""
        self._moved.add(sequence_id)

    def clear_moved(self, sequence_id: str) -> None:
        """Note that this node continues a sequence again."""
        self._moved.discard(sequence_id)

    def has_moved(self, sequence_id: str) -> bool:
        """Return whether another node continues a sequence."""
        return sequence_id in self._moved
