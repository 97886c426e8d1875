"""Sequences with an attempt that may still be running at its engine although it has ended here."""

from myrtlehub.clock import Clock

RETENTION_S = 60.0  # longer than any sequence is in flight


class UncertainAttempts:
    """A set of sequence ids, each of which expires after RETENTION_S.

    An id is added when an attempt of the sequence is cancelled or its connection fails: the engine may not
    have noticed yet.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._added_at: dict[str, float] = {}  # in ascending order of time

    def __contains__(self, sequence_id: str) -> bool:
        return sequence_id in self._added_at

    def add(self, sequence_id: str) -> None:
        """Add a sequence, or renew it, and remove the expired ones."""
        self._added_at.pop(sequence_id, None)
        self._added_at[sequence_id] = now = self.clock.seconds()
        while next(iter(self._added_at.values())) < now - RETENTION_S:
            del self._added_at[next(iter(self._added_at))]
