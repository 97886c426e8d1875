"""Mappings from the ids of the simulator's protocol to the indices and numbers that routers use."""

from myrtlehub.routing.contract import EngineState
from myrtlehub.simulator.wire import WireError


class EngineIds:
    """Maps the ids of engines to dense indices.

    The index of a removed engine is reused only when none of its attempts and probes are in flight. If it
    were reused earlier, a late response would be attributed to the new engine
    (`test_an_engines_index_is_reused_once_nothing_of_it_is_in_flight`).
    """

    def __init__(self) -> None:
        self._ids: list[str] = []  # by index
        self._in_flight: list[int] = []  # attempts and probes in flight, by index
        self._index_of: dict[str, int] = {}
        self._removed: set[int] = set()  # indices of removed engines that cannot be reused yet
        self._free: list[int] = []  # indices, in the order of their reuse

    def index(self, engine_id: str) -> int:
        """Return the index of a listed engine.

        Raises:
            WireError: The engine is not listed.
        """
        if engine_id not in self._index_of:
            raise WireError(f"engine {engine_id} is not listed")
        return self._index_of[engine_id]

    def id_of(self, index: int) -> str:
        """Return the id of the engine with an index."""
        return self._ids[index]

    def is_listed(self, engine_id: str) -> bool:
        """Return whether the engine is in the endpoint list, or was in it and its index is not free yet."""
        return engine_id in self._index_of

    def add_or_update(self, engine_id: str, state: EngineState) -> int:
        """Return the index of an engine in the endpoint list; assign one to a new engine."""
        if engine_id not in self._index_of:
            self._index_of[engine_id] = self._assign_index(engine_id)
        index = self._index_of[engine_id]
        if state == EngineState.REMOVED:
            self._removed.add(index)
        else:
            self._removed.discard(index)
        return index

    def _assign_index(self, engine_id: str) -> int:
        if self._free:
            index = self._free.pop(0)
            self._ids[index] = engine_id
            return index
        self._ids.append(engine_id)
        self._in_flight.append(0)
        return len(self._ids) - 1

    def remove_all_but(self, listed: set[int]) -> None:
        """Mark all engines as removed whose index is not in `listed`, the complete endpoint list."""
        self._removed.update(index for index in self._index_of.values() if index not in listed)

    def count_sent(self, index: int) -> None:
        """Count an attempt or probe sent to an engine."""
        self._in_flight[index] += 1

    def count_ended(self, index: int) -> None:
        """Count the end of an attempt or probe."""
        self._in_flight[index] = max(0, self._in_flight[index] - 1)

    def free_removed(self) -> None:
        """Free the indices of all removed engines that have nothing in flight."""
        for index in sorted(self._removed):
            self.free_if_removed(index)

    def free_if_removed(self, index: int) -> None:
        """Free the index of an engine that is removed and has nothing in flight."""
        if index in self._removed and not self._in_flight[index]:
            self._removed.discard(index)
            self._free.append(index)
            del self._index_of[self._ids[index]]


class SequenceIds:
    """Maps the ids of sequences to numbers, which are never reused."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._ids: dict[int, str] = {}
        self._next = 0

    def add(self, sequence_id: str) -> int:
        """Assign a number to an arriving sequence."""
        number = self._next
        self._next += 1
        self._numbers[sequence_id] = number
        self._ids[number] = sequence_id
        return number

    def number(self, sequence_id: str) -> int | None:
        """Return the number of a sequence, or None if it was removed."""
        return self._numbers.get(sequence_id)

    def id_of(self, number: int) -> str:
        """Return the id of a sequence."""
        return self._ids[number]

    def remove(self, number: int) -> None:
        """Remove a sequence."""
        del self._numbers[self._ids.pop(number)]
