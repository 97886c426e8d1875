"""Sequences with an attempt that has ended at this node, but may still be running at its engine."""

from myrtlehub.clock import Clock

RETENTION_S = 60.0  # longer than any sequence is in flight


class UncertainAttempts:
    """A set of sequence ids that expire after RETENTION_S.

    An id is added when an attempt of the sequence is cancelled or its connection fails, because the engine
    may not have noticed this yet.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._added_at: dict[str, float] = {}  # clock time by id, in ascending order

    def __contains__(self, sequence_id: str) -> bool:
        return sequence_id in self._added_at

    def add(self, sequence_id: str) -> None:
        """Add an id or restart its retention time, and remove expired ids."""
        self._added_at.pop(sequence_id, None)
        self._added_at[sequence_id] = now = self.clock.seconds()
        while next(iter(self._added_at.values())) < now - RETENTION_S:
            del self._added_at[next(iter(self._added_at))]
