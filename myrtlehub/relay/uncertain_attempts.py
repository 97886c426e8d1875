"""Sequences of which an attempt may go on unseen: it was cancelled, or its connection broke."""

from myrtlehub.clock import Clock

REMEMBERED_S = 60.0  # no sequence waits longer


class UncertainAttempts:
    """Sequence ids, each remembered for a while."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._noted_at: dict[str, float] = {}  # the longest ago first

    def __contains__(self, sequence_id: str) -> bool:
        return sequence_id in self._noted_at

    def note(self, sequence_id: str) -> None:
        """Note that an attempt of it may go on unseen, or end well."""
        self._noted_at.pop(sequence_id, None)
        self._noted_at[sequence_id] = now = self.clock.seconds()
        while next(iter(self._noted_at.values())) < now - REMEMBERED_S:
            del self._noted_at[next(iter(self._noted_at))]
