"""Engine pools: a separate router for each group of engines that serve the same traffic types.

Engines that read or write chat sequences form one pool, engines that embed a second one, engines that rank a
third one. An engine that does several of these is in several pools. Each router has its own configuration and
its own estimates of rates, capacity and cells. To the action executor, they appear as one router.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from myrtlehub.routing import contract


class KnownEngine(NamedTuple):
    """The latest update of an engine that is or was in a pool."""

    generation: int  # generation of the engine's index at the update; see `EnginePools._generations`
    update: contract.EndpointUpdate  # its state is that of the endpoint list, even in a closed pool


class EnginePools(contract.OptionalCalls):
    """The routers of all pools, behind the interface of one router."""

    def __init__(
        self,
        make_router: Callable[[contract.RouterConfig], contract.Router],
        configs: Sequence[contract.RouterConfig],
        kinds_by_pool: Sequence[frozenset[int]],
        pool_by_traffic_type: Sequence[int],
    ) -> None:
        """Create a router for each pool.

        Args:
            make_router: Creates the router of a pool from its configuration.
            configs: The configuration of each pool's router.
            kinds_by_pool: The kinds of engines in each pool.
            pool_by_traffic_type: The pool of each traffic type.
        """
        self.routers = [make_router(config) for config in configs]
        self.kinds_by_pool = kinds_by_pool
        self.pool_by_traffic_type = pool_by_traffic_type
        self._pool_by_sequence: dict[int, int] = {}
        self._generations: list[int] = []  # by engine index: number of engines that have had the index so far
        self._closed_pools: set[int] = set()  # pools that may not use the engines that they share
        self._known_engines: list[dict[int, KnownEngine]] = [{} for _ in configs]  # by pool and engine index

    def start(self, now: float) -> list[contract.Action]:
        """Start all routers."""
        return [
            action
            for pool, router in enumerate(self.routers)
            for action in self._process_actions(pool, router.start(now))
        ]

    def endpoint_list_failed(self, now: float) -> list[contract.Action]:
        """Report a failed poll of the endpoint list to all routers."""
        return [
            action
            for pool, router in enumerate(self.routers)
            for action in self._process_actions(pool, router.endpoint_list_failed(now))
        ]

    def update_endpoints(
        self, now: float, updates: Sequence[contract.EndpointUpdate], is_complete: bool
    ) -> list[contract.Action]:
        """Report to each router the updates of its pool's engines, and those that left the pool as removed.

        An engine leaves a pool if its kind changes to one that is not in the pool.
        """
        self._count_generations(updates)
        actions = []
        for pool, router in enumerate(self.routers):
            pool_updates = self._updates_for_pool(pool, updates)
            if is_complete:
                self._mark_missing_as_removed(pool, updates)
            if pool_updates or is_complete:
                actions += self._process_actions(
                    pool, router.update_endpoints(now, pool_updates, is_complete)
                )
        return actions

    def _count_generations(self, updates: Sequence[contract.EndpointUpdate]) -> None:
        for update in updates:
            while len(self._generations) <= update.engine:
                self._generations.append(0)
            self._generations[update.engine] += update.is_new

    def _updates_for_pool(
        self, pool: int, updates: Sequence[contract.EndpointUpdate]
    ) -> list[contract.EndpointUpdate]:
        pool_updates, known = [], self._known_engines[pool]
        for update in updates:
            generation = self._generations[update.engine]
            is_known = update.engine in known and known[update.engine].generation == generation
            if update.kind in self.kinds_by_pool[pool]:
                pool_updates.append(self._with_pool_state(pool, update._replace(is_new=not is_known)))
                known[update.engine] = KnownEngine(generation, update)
            elif is_known:
                pool_updates.append(update._replace(state=contract.EngineState.REMOVED, is_new=False))
                known[update.engine] = KnownEngine(generation, update)
        return pool_updates

    def _mark_missing_as_removed(self, pool: int, updates: Sequence[contract.EndpointUpdate]) -> None:
        """Mark the engines of a pool that a complete list does not contain as removed."""
        known = self._known_engines[pool]
        for engine in set(known).difference(update.engine for update in updates):
            generation, update = known[engine]
            known[engine] = KnownEngine(generation, update._replace(state=contract.EngineState.REMOVED))

    def _with_pool_state(self, pool: int, update: contract.EndpointUpdate) -> contract.EndpointUpdate:
        """Return an update as the pool's router gets it: to a closed pool, shared engines are draining."""
        is_serving = update.state == contract.EngineState.SERVING
        if pool in self._closed_pools and is_serving and self._is_shared(update):
            return update._replace(state=contract.EngineState.DRAINING)
        return update

    def _is_shared(self, update: contract.EndpointUpdate) -> bool:
        """Return whether the engine of an update is in several pools."""
        return sum(update.kind in kinds for kinds in self.kinds_by_pool) > 1

    def set_pool_closed(self, now: float, pool: int, is_closed: bool) -> list[contract.Action]:
        """Stop or resume the use of engines that the pool shares with other pools."""
        if is_closed:
            self._closed_pools.add(pool)
        else:
            self._closed_pools.discard(pool)
        updates = [
            self._with_pool_state(pool, update._replace(is_new=False))
            for generation, update in self._known_engines[pool].values()
            if generation == self._generations[update.engine]
            and update.kind in self.kinds_by_pool[pool]
            and self._is_shared(update)
        ]
        return self._process_actions(pool, self.routers[pool].update_endpoints(now, updates, False))

    def arrive(self, now: float, sequence: int, arrival: contract.Arrival) -> list[contract.Action]:
        """Report the arrival of a sequence to the router of its traffic type; see `contract.Router`."""
        pool = self._pool_by_sequence[sequence] = self.pool_by_traffic_type[arrival.traffic]
        return self._process_actions(pool, self.routers[pool].arrive(now, sequence, arrival))

    def began(self, now: float, sequence: int, attempt: int, latency: float) -> list[contract.Action]:
        """Report the first tokens of an attempt to the router of the sequence; see `contract.Router`."""
        return self._call_router_of_sequence(
            sequence, lambda router: router.began(now, sequence, attempt, latency)
        )

    def ended(
        self,
        now: float,
        sequence: int,
        attempt: int,
        outcome: contract.Outcome,
        latency: float,
        is_answered: bool,
        cached_tokens: float,
        load: contract.LoadReport | None,
    ) -> list[contract.Action]:
        """Report the end of an attempt to the router of the sequence; see `contract.Router`."""
        return self._call_router_of_sequence(
            sequence,
            lambda router: router.ended(
                now, sequence, attempt, outcome, latency, is_answered, cached_tokens, load
            ),
        )

    def client_left(self, now: float, sequence: int) -> list[contract.Action]:
        """Report the disconnection of a client to the router of the sequence; see `contract.Router`."""
        return self._call_router_of_sequence(sequence, lambda router: router.client_left(now, sequence))

    def reservation_answered(
        self, now: float, sequence: int, attempt: int, engine: int, is_reserved: bool
    ) -> list[contract.Action]:
        """Report the response to a reservation to the router of the sequence; see `contract.Router`."""
        return self._call_router_of_sequence(
            sequence, lambda router: router.reservation_answered(now, sequence, attempt, engine, is_reserved)
        )

    def check_send(self, now: float, sequence: int, attempt: int) -> contract.SendCheck:
        """Return what `check_send` of the sequence's router returns; no send if it discarded the sequence."""
        pool = self._pool_by_sequence.get(sequence)
        if pool is None:
            return contract.SendCheck(may_run=False, is_in_slow_start_share=False)
        return self.routers[pool].check_send(now, sequence, attempt)

    def wake(self, now: float, token: int) -> list[contract.Action]:
        """Wake the router that scheduled the wake-up; its pool is encoded in the token."""
        router_token, pool = divmod(token, len(self.routers))
        return self._process_actions(pool, self.routers[pool].wake(now, router_token))

    def _call_router_of_sequence(
        self, sequence: int, call: Callable[[contract.Router], list[contract.Action]]
    ) -> list[contract.Action]:
        """Apply `call` to the router of a sequence; return no actions if it has discarded the sequence."""
        pool = self._pool_by_sequence.get(sequence)
        if pool is None:
            return []
        return self._process_actions(pool, call(self.routers[pool]))

    def _process_actions(self, pool: int, actions: list[contract.Action]) -> list[contract.Action]:
        """Return a pool's actions with the pool encoded in wake-up tokens; drop its discarded sequences."""
        for position, action in enumerate(actions):
            if isinstance(action, contract.ScheduleWakeup):
                actions[position] = action._replace(token=action.token * len(self.routers) + pool)
            elif isinstance(action, contract.Forget):
                self._pool_by_sequence.pop(action.sequence, None)
        return actions
