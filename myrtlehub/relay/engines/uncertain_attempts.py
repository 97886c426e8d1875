"""Sequences with an attempt that has ended at this node, but may still be running at its engine."""

from myrtlehub.clock import Clock
from myrtlehub.relay.engines.recent_entries import RecentEntries

RETENTION_S = 60.0  # longer than any sequence is in flight
MAX_SEQUENCES = 100_000  # far more than a node has in this time


class UncertainAttempts:
    """A set of sequence ids that expire after RETENTION_S.

    An id is added when an attempt of the sequence is cancelled or fails, because the engine may not have
    noticed this yet.
    """

    def __init__(self, clock: Clock) -> None:
        self._sequence_ids: RecentEntries[bool] = RecentEntries(clock, RETENTION_S, MAX_SEQUENCES)

    def __contains__(self, sequence_id: str) -> bool:
        return sequence_id in self._sequence_ids

    def add(self, sequence_id: str) -> None:
        """Add an id or restart its retention time."""
        self._sequence_ids.add(sequence_id, True)
