"""A mapping of ids whose entries expire."""

from typing import Generic, NamedTuple, TypeVar

from myrtlehub.clock import Clock

Value = TypeVar("Value")


class _Entry(NamedTuple, Generic[Value]):
    added_at: float  # clock time in seconds
    value: Value


class RecentEntries(Generic[Value]):
    """Values by id, each for a limited time, and at most a number of them: the oldest ones are removed.

    Args:
        clock: The clock of the node.
        max_age: Seconds for which an entry is kept.
        max_count: Largest number of entries.
    """

    def __init__(self, clock: Clock, max_age: float, max_count: int) -> None:
        self._clock = clock
        self._max_age = max_age
        self._max_count = max_count
        self._entries: dict[str, _Entry[Value]] = {}  # in the order in which they were added

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, entry_id: str) -> bool:
        return self.get(entry_id) is not None

    def get(self, entry_id: str) -> Value | None:
        """Return the value of an id; None if there is none, or it has expired."""
        entry = self._entries.get(entry_id)
        return None if entry is None or self._is_expired(entry) else entry.value

    def add(self, entry_id: str, value: Value) -> None:
        """Add a value or replace that of the same id, and remove those that are too old or too many."""
        self._entries.pop(entry_id, None)
        self._entries[entry_id] = _Entry(self._clock.seconds(), value)
        while len(self._entries) > self._max_count or self._is_expired(next(iter(self._entries.values()))):
            del self._entries[next(iter(self._entries))]

    def _is_expired(self, entry: _Entry[Value]) -> bool:
        return entry.added_at < self._clock.seconds() - self._max_age
