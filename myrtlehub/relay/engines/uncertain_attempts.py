"""Sequences with an attempt that has ended for this node, but that its engine may still be running."""

from myrtlehub.clock import Clock

RETENTION_S = 60.0  # longer than any sequence stays in flight


class UncertainAttempts:
    """A set of sequence ids, each of which expires after RETENTION_S.

    An id is added when an attempt of the sequence is cancelled or its connection fails, as the engine may not
    have noticed this yet.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._added_at: dict[str, float] = {}  # by id, in ascending order of time

    def __contains__(self, sequence_id: str) -> bool:
        return sequence_id in self._added_at

    def add(self, sequence_id: str) -> None:
        """Add a sequence or restart its retention time, and remove expired ones."""
        self._added_at.pop(sequence_id, None)
        self._added_at[sequence_id] = now = self.clock.seconds()
        while next(iter(self._added_at.values())) < now - RETENTION_S:
            del self._added_at[next(iter(self._added_at))]
