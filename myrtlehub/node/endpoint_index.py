"""Engines by address and by dense index, and keys as whole numbers; needs no model of a file."""

from collections.abc import Iterable
from zlib import crc32

import xxhash

from myrtlehub.membership.rows import Row, served
from myrtlehub.routing import contract

STATES = {
    "serving": contract.EngineState.SERVING,
    "draining": contract.EngineState.DRAINING,
    "gone": contract.EngineState.GONE,
}


def hash_key(text: str) -> int:
    """A session or prefix as a whole number below 2^53, never 0; 0 for none."""
    return (xxhash.xxh3_64_intdigest(text.encode()) >> 11) or 1 if text else 0


class EndpointIndex:
    """Engines by address and by dense index; an index is handed on only once nothing of its engine is out."""

    def __init__(self) -> None:
        self.at: dict[str, int] = {}
        self.rows: list[Row] = []
        self._uses: list[int] = []
        self._marks: list[int] = []  # a number of the address, the same at every node
        self._gone: set[int] = set()
        self._free: list[int] = []

    def listings(
        self, rows: Iterable[Row], whole: bool, kinds: dict[str, int], zones: dict[str, int], now: float
    ) -> list[contract.EndpointUpdate]:
        """News of the list as listings, in order; engines it removes are remembered until they are unused."""
        listings, seen, at = [], set(), self.at
        for row in rows:
            row = served(row)
            address, kind, zone, cell, weight, word, age, _ = row.figures
            state, index = STATES[word], at.get(address)
            fresh = index is None
            if fresh:
                if state == contract.EngineState.GONE:
                    continue
                index = at[address] = self._new(row)
            else:
                self.rows[index] = row
            seen.add(index)
            if state == contract.EngineState.GONE:
                self._gone.add(index)
            else:
                self._gone.discard(index)
            listings.append(
                contract.EndpointUpdate(
                    index,
                    fresh,
                    state,
                    kinds[kind],
                    zones[zone],
                    cell,
                    now - age if age else 0.0,
                    weight,
                    self._marks[index],
                )
            )
        if whole:
            self._gone.update(i for i in self.at.values() if i not in seen)
        return listings

    def _new(self, row: Row) -> int:
        """An index for an engine that had none."""
        mark = crc32(row.address.encode())
        if self._free:
            index = self._free.pop(0)
            self.rows[index], self._marks[index] = row, mark
            return index
        self.rows.append(row)
        self._uses.append(0)
        self._marks.append(mark)
        return len(self.rows) - 1

    def sweep(self) -> list[str]:
        """Forget engines that are gone and unused; their addresses."""
        over = [i for i in sorted(self._gone) if not self._uses[i]]
        return [self._forget(i) for i in over]

    def _forget(self, index: int) -> str:
        self._gone.discard(index)
        self._free.append(index)
        address = self.rows[index].address
        del self.at[address]
        return address

    def used(self, index: int) -> None:
        """An attempt went out to it."""
        self._uses[index] += 1

    def unused(self, index: int) -> str:
        """An attempt came back; the address if that was the last of a gone engine."""
        self._uses[index] -= 1
        return self._forget(index) if index in self._gone and not self._uses[index] else ""

    def gone(self, index: int) -> bool:
        """Whether the list has dropped it."""
        return index in self._gone
