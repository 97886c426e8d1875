"""The endpoint index: engines by address and by dense index; also the hash of session and prefix keys."""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple
from zlib import crc32

import xxhash

from myrtlehub.membership.endpoint import Endpoint, EndpointState, with_effective_state
from myrtlehub.routing import contract

_ENGINE_STATES_BY_NAME = {
    EndpointState.SERVING.value: contract.EngineState.SERVING,
    EndpointState.DRAINING.value: contract.EngineState.DRAINING,
    EndpointState.REMOVED.value: contract.EngineState.REMOVED,
}
_HASH_SHIFT_BITS = 11  # dropped from a 64-bit hash: a double represents integers up to 2^53 exactly


def hash_key(text: str) -> int:
    """Return the hash of a session or prefix key, at least 1 and below 2^53; 0 for an empty key."""
    return (xxhash.xxh3_64_intdigest(text.encode()) >> _HASH_SHIFT_BITS) or 1 if text else 0


class EngineStateChange(NamedTuple):
    """The new state of an engine in the endpoint list."""

    address: str
    state: str


class EndpointIndex:
    """Assigns a dense index to each engine of the endpoint list.

    An index is reused only after its engine was removed from the endpoint list and has no outstanding
    attempts or probes.

    Attributes:
        index_by_address: The index of each engine, by address.
        endpoints: The engines, by index.
    """

    def __init__(self) -> None:
        self.index_by_address: dict[str, int] = {}
        self.endpoints: list[Endpoint] = []
        self._use_counts: list[int] = []  # outstanding attempts and probes, by index
        self._hash_seeds: list[int] = []  # by index
        self._removed_indices: set[int] = set()
        self._available_indices: deque[int] = deque()

    def apply(
        self,
        endpoints: Iterable[Endpoint],
        is_complete: bool,
        kind_indices: Mapping[str, int],
        zone_indices: Mapping[str, int],
        now: float,
    ) -> list[contract.EndpointUpdate]:
        """Apply a change of the endpoint list and return it as updates for the router, in the same order.

        If `is_complete`, engines that are not among the endpoints are removed. Removed engines keep their
        index until they have no outstanding attempts or probes.
        """
        updates = []
        listed = set()
        for endpoint in endpoints:
            update = self._apply_endpoint(with_effective_state(endpoint), kind_indices, zone_indices, now)
            if update is None:
                continue
            listed.add(update.engine)
            updates.append(update)
        if is_complete:
            self._removed_indices.update(
                index for index in self.index_by_address.values() if index not in listed
            )
        return updates

    def state_changes(self, endpoints: Sequence[Endpoint], is_complete: bool) -> list[EngineStateChange]:
        """Return the state changes that a following `apply` makes with the same endpoints."""
        removed_state = EndpointState.REMOVED.value
        previous_states = {
            endpoint.address: self.endpoints[self.index_by_address[endpoint.address]].state
            for endpoint in endpoints
            if endpoint.address in self.index_by_address
        }
        changes = [
            EngineStateChange(endpoint.address, endpoint.state)
            for endpoint in endpoints
            if previous_states.get(endpoint.address, removed_state) != endpoint.state
        ]
        if is_complete:
            removed = set(self.index_by_address).difference(endpoint.address for endpoint in endpoints)
            changes += [EngineStateChange(address, removed_state) for address in sorted(removed)]
        return changes

    def _apply_endpoint(
        self, endpoint: Endpoint, kind_indices: Mapping[str, int], zone_indices: Mapping[str, int], now: float
    ) -> contract.EndpointUpdate | None:
        """Apply the state of one engine; return None for the removal of an unknown engine."""
        address, kind, zone, cell, weight, state_name, age, _ = endpoint.field_values
        state, index = _ENGINE_STATES_BY_NAME[state_name], self.index_by_address.get(address)
        is_new = index is None
        if index is None:
            if state == contract.EngineState.REMOVED:
                return None
            index = self.index_by_address[address] = self._new_index(endpoint)
        else:
            self.endpoints[index] = endpoint
        if state == contract.EngineState.REMOVED:
            self._removed_indices.add(index)
        else:
            self._removed_indices.discard(index)
        started_at = now - age if age else 0.0  # 0 means long ago, see `EndpointUpdate`
        return contract.EndpointUpdate(
            index,
            is_new,
            state,
            kind_indices[kind],
            zone_indices[zone],
            cell,
            started_at,
            weight,
            self._hash_seeds[index],
        )

    def _new_index(self, endpoint: Endpoint) -> int:
        hash_seed = crc32(endpoint.address.encode())
        if self._available_indices:
            index = self._available_indices.popleft()
            self.endpoints[index] = endpoint
            self._hash_seeds[index] = hash_seed
            return index
        self.endpoints.append(endpoint)
        self._use_counts.append(0)
        self._hash_seeds.append(hash_seed)
        return len(self.endpoints) - 1

    def free_unused_indices(self) -> list[str]:
        """Free the indices of removed engines that are unused; return the addresses of these engines."""
        unused = [index for index in sorted(self._removed_indices) if not self._use_counts[index]]
        return [self._free_index(index) for index in unused]

    def _free_index(self, index: int) -> str:
        self._removed_indices.discard(index)
        self._available_indices.append(index)
        address = self.endpoints[index].address
        del self.index_by_address[address]
        return address

    def increment_use_count(self, index: int) -> None:
        """Count an attempt or a probe that was sent to an engine."""
        self._use_counts[index] += 1

    def decrement_use_count(self, index: int) -> str | None:
        """Count an attempt or a probe at an engine as ended.

        Returns:
            The address of the engine if this freed its index: it was removed from the endpoint list and this
            was its last use.
        """
        self._use_counts[index] -= 1
        if index in self._removed_indices and not self._use_counts[index]:
            return self._free_index(index)
        return None

    def is_removed(self, index: int) -> bool:
        """Return whether an engine was removed from the endpoint list."""
        return index in self._removed_indices
