"""Engines by address and by dense index, and hashes of session and prefix keys."""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple
from zlib import crc32

import xxhash

from myrtlehub.membership.endpoint import Endpoint, EndpointState, with_effective_state
from myrtlehub.routing import contract

_ROUTER_STATES = {
    EndpointState.SERVING.value: contract.EngineState.SERVING,
    EndpointState.DRAINING.value: contract.EngineState.DRAINING,
    EndpointState.GONE.value: contract.EngineState.REMOVED,
}
_KEY_SHIFT = 11  # bits cut off a 64-bit hash: a double represents integers up to 2^53 exactly


def hash_key(text: str) -> int:
    """Return the hash of a session or prefix, an integer from 1 to below 2^53; 0 for the empty text."""
    return (xxhash.xxh3_64_intdigest(text.encode()) >> _KEY_SHIFT) or 1 if text else 0


class EngineStateChange(NamedTuple):
    """An engine, by its address, and its new state in the endpoint list."""

    address: str
    state: str


class EndpointIndex:
    """Engines by address and by dense index.

    The index of an engine is reused only once the engine was removed from the endpoint list and has no
    outstanding attempts or probes.
    """

    def __init__(self) -> None:
        self.index_of: dict[str, int] = {}  # by address
        self.rows: list[Endpoint] = []  # by index
        self._use_counts: list[int] = []  # by index: outstanding attempts and probes
        self._hash_seeds: list[int] = []  # by index
        self._removed: set[int] = set()
        self._free: deque[int] = deque()

    def apply(
        self,
        rows: Iterable[Endpoint],
        is_complete: bool,
        kinds: Mapping[str, int],
        zones: Mapping[str, int],
        now: float,
    ) -> list[contract.EndpointUpdate]:
        """Apply a change of the endpoint list and return it as updates for the router, in the same order.

        If `is_complete`, engines that are not among the rows are removed. Engines that are removed keep their
        index until they are unused.
        """
        updates = []
        listed = set()
        for row in rows:
            update = self._apply_row(with_effective_state(row), kinds, zones, now)
            if update is None:
                continue
            listed.add(update.engine)
            updates.append(update)
        if is_complete:
            self._removed.update(index for index in self.index_of.values() if index not in listed)
        return updates

    def state_changes(self, rows: Sequence[Endpoint], is_complete: bool) -> list[EngineStateChange]:
        """Return the engines whose state these rows change; called before `apply` with the same rows."""
        removed_state = EndpointState.GONE.value
        former = {
            row.address: self.rows[self.index_of[row.address]].state
            for row in rows
            if row.address in self.index_of
        }
        changes = [
            EngineStateChange(row.address, row.state)
            for row in rows
            if former.get(row.address, removed_state) != row.state
        ]
        if is_complete:
            removed = set(self.index_of).difference(row.address for row in rows)
            changes += [EngineStateChange(address, removed_state) for address in sorted(removed)]
        return changes

    def _apply_row(
        self, row: Endpoint, kinds: Mapping[str, int], zones: Mapping[str, int], now: float
    ) -> contract.EndpointUpdate | None:
        """Apply one row; return None for the removal of an engine that was not known."""
        address, kind, zone, cell, weight, state_name, age, _ = row.field_values
        state, index = _ROUTER_STATES[state_name], self.index_of.get(address)
        is_new = index is None
        if index is None:
            if state == contract.EngineState.REMOVED:
                return None
            index = self.index_of[address] = self._new_index(row)
        else:
            self.rows[index] = row
        if state == contract.EngineState.REMOVED:
            self._removed.add(index)
        else:
            self._removed.discard(index)
        started_at = now - age if age else 0.0  # in `EndpointUpdate` 0 means long ago
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
        """Free the indices of engines that were removed and are unused; return their addresses."""
        unused = [index for index in sorted(self._removed) if not self._use_counts[index]]
        return [self._free_index(index) for index in unused]

    def _free_index(self, index: int) -> str:
        self._removed.discard(index)
        self._free.append(index)
        address = self.rows[index].address
        del self.index_of[address]
        return address

    def mark_used(self, index: int) -> None:
        """Count an attempt or a probe that is sent to an engine."""
        self._use_counts[index] += 1

    def mark_unused(self, index: int) -> str | None:
        """Count an attempt or a probe as ended.

        Returns:
            The address of the engine if it was removed from the list before and its index is free now.
        """
        self._use_counts[index] -= 1
        if index in self._removed and not self._use_counts[index]:
            return self._free_index(index)
        return None

    def is_removed(self, index: int) -> bool:
        """Return whether an engine was removed from the endpoint list."""
        return index in self._removed
