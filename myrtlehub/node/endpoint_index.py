"""Engines by address and by dense index, and keys as whole numbers; needs no settings file."""

from collections import deque
from collections.abc import Iterable, Mapping
from zlib import crc32

import xxhash

from myrtlehub.membership.endpoint import Endpoint, with_effective_state
from myrtlehub.routing import contract

STATES = {
    "serving": contract.EngineState.SERVING,
    "draining": contract.EngineState.DRAINING,
    "gone": contract.EngineState.REMOVED,
}
_KEY_SHIFT = 11  # of a 64-bit hash: a double holds whole numbers below 2^53 exactly


def hash_key(text: str) -> int:
    """Return a session or prefix as a whole number below 2^53, never 0; 0 for the empty text."""
    return (xxhash.xxh3_64_intdigest(text.encode()) >> _KEY_SHIFT) or 1 if text else 0


class EndpointIndex:
    """Engines by address and by dense index.

    An index is handed on only once the engine has left the endpoint list and nothing is outstanding there.
    """

    def __init__(self) -> None:
        self.index_of: dict[str, int] = {}  # by address
        self.rows: list[Endpoint] = []  # by index
        self._use_counts: list[int] = []  # by index: attempts and probes that are outstanding
        self._hash_seeds: list[int] = []  # by index
        self._gone: set[int] = set()
        self._free: deque[int] = deque()

    def apply(
        self,
        rows: Iterable[Endpoint],
        is_complete: bool,
        kinds: Mapping[str, int],
        zones: Mapping[str, int],
        now: float,
    ) -> list[contract.EndpointUpdate]:
        """Take a change of the endpoint list and return it as the router is told, in order.

        Engines that the change removes stay known until they are unused.
        """
        updates = []
        listed = set()
        for row in rows:
            effective = with_effective_state(row)
            update = self._update_of(effective, kinds, zones, now)
            if update is None:
                continue
            listed.add(update.engine)
            updates.append(update)
        if is_complete:
            self._gone.update(index for index in self.index_of.values() if index not in listed)
        return updates

    def _update_of(
        self, row: Endpoint, kinds: Mapping[str, int], zones: Mapping[str, int], now: float
    ) -> contract.EndpointUpdate | None:
        """Enter one row; None for an engine that left and was not known."""
        address, kind, zone, cell, weight, state_name, age, _ = row.field_values
        state, index = STATES[state_name], self.index_of.get(address)
        is_new = index is None
        if index is None:
            if state == contract.EngineState.REMOVED:
                return None
            index = self.index_of[address] = self._new_index(row)
        else:
            self.rows[index] = row
        if state == contract.EngineState.REMOVED:
            self._gone.add(index)
        else:
            self._gone.discard(index)
        started_at = now - age if age else 0.0
        return contract.EndpointUpdate(
            index,
            is_new,
            state,
            kinds[kind],
            zones[zone],
            cell,
            started_at,
            weight,
            self._hash_seeds[index],
        )

    def _new_index(self, row: Endpoint) -> int:
        hash_seed = crc32(row.address.encode())
        if self._free:
            index = self._free.popleft()
            self.rows[index] = row
            self._hash_seeds[index] = hash_seed
            return index
        self.rows.append(row)
        self._use_counts.append(0)
        self._hash_seeds.append(hash_seed)
        return len(self.rows) - 1

    def remove_unused(self) -> list[str]:
        """Forget the engines that are gone and unused, and return their addresses."""
        unused = [index for index in sorted(self._gone) if not self._use_counts[index]]
        return [self._forget(index) for index in unused]

    def _forget(self, index: int) -> str:
        self._gone.discard(index)
        self._free.append(index)
        address = self.rows[index].address
        del self.index_of[address]
        return address

    def mark_used(self, index: int) -> None:
        """Count an attempt or a probe that goes out to an engine."""
        self._use_counts[index] += 1

    def mark_unused(self, index: int) -> str:
        """Count an attempt or a probe as over; the address if that was the last at a gone engine, or ""."""
        self._use_counts[index] -= 1
        if index in self._gone and not self._use_counts[index]:
            return self._forget(index)
        return ""

    def is_gone(self, index: int) -> bool:
        """Tell whether an engine has left the endpoint list."""
        return index in self._gone
