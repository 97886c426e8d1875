"""Ids of the simulator's wire against the indices of routers."""

from myrtlehub.routing.contract import EngineState
from myrtlehub.simulator.wire import WireError


class EngineIds:
    """Ids of engines, and their dense indices.

    An index is handed on once its engine is gone and nothing sent to it is out: what still comes of that
    would else be taken for the next engine's.
    """

    def __init__(self) -> None:
        self._ids: list[str] = []  # by index
        self._out: list[int] = []  # attempts and probes that are out, by index
        self._index_of: dict[str, int] = {}
        self._gone: set[int] = set()
        self._free: list[int] = []

    def index(self, ident: str) -> int:
        """Return the index of a listed engine."""
        if ident not in self._index_of:
            raise WireError(f"engine {ident} is not listed")
        return self._index_of[ident]

    def ident(self, index: int) -> str:
        """Return the id of an engine."""
        return self._ids[index]

    def is_listed(self, ident: str) -> bool:
        """Return whether an engine has an index."""
        return ident in self._index_of

    def list_engine(self, ident: str, state: EngineState) -> int:
        """Return the index of an engine in the endpoint list, a new one where it has none."""
        if ident not in self._index_of:
            self._index_of[ident] = self._new_index(ident)
        index = self._index_of[ident]
        if state == EngineState.REMOVED:
            self._gone.add(index)
        else:
            self._gone.discard(index)
        return index

    def _new_index(self, ident: str) -> int:
        if self._free:
            index = self._free.pop(0)
            self._ids[index] = ident
            return index
        self._ids.append(ident)
        self._out.append(0)
        return len(self._ids) - 1

    def keep_only(self, listed: set[int]) -> None:
        """Take all engines for gone that the complete endpoint list doesn't have."""
        self._gone.update(index for index in self._index_of.values() if index not in listed)

    def sent(self, index: int) -> None:
        """Take note that an attempt or a probe is out."""
        self._out[index] += 1

    def ended(self, index: int) -> None:
        """Take note that an attempt or a probe has ended."""
        self._out[index] = max(0, self._out[index] - 1)

    def free_gone(self) -> None:
        """Free the indices of all engines that are gone."""
        for index in sorted(self._gone):
            self.free_if_gone(index)

    def free_if_gone(self, index: int) -> None:
        """Free the index of an engine if it is gone and nothing sent to it is out."""
        if index in self._gone and not self._out[index]:
            self._gone.discard(index)
            self._free.append(index)
            del self._index_of[self._ids[index]]


class SequenceIds:
    """Ids of sequences, and the numbers that the router has for them."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._ids: dict[int, str] = {}
        self._next = 0

    def add(self, ident: str) -> int:
        """Number a sequence that arrives."""
        number = self._next
        self._next += 1
        self._numbers[ident] = number
        self._ids[number] = ident
        return number

    def number(self, ident: str) -> int | None:
        """Return the number of a sequence, or None where it is forgotten."""
        return self._numbers.get(ident)

    def ident(self, number: int) -> str:
        """Return the id of a sequence."""
        return self._ids[number]

    def forget(self, number: int) -> None:
        """Forget a sequence."""
        del self._numbers[self._ids.pop(number)]
