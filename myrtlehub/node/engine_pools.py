"""Engine pools: one router for each group of engines that do the same work for the same traffic types.

The readers and writers of chat are one pool, engines that embed are another, engines that rank are a third.
An engine that does several kinds of work is in several pools. The routers have separate configurations and
learn separately about rates, capacity and cells. The action executor sees them as one router.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from myrtlehub.routing import contract


class KnownEngine(NamedTuple):
    """The last update of an engine that a pool has received."""

    generation: int  # of the index, when the update arrived; see `EnginePools._generations`
    update: contract.EndpointUpdate  # with the state of the endpoint list


class EnginePools(contract.OptionalCalls):
    """The routers of all pools, with the interface of one router."""

    def __init__(
        self,
        make_router: Callable[[contract.RouterConfig], contract.Router],
        configs: Sequence[contract.RouterConfig],
        kinds: Sequence[frozenset[int]],
        pool_of_traffic: Sequence[int],
    ) -> None:
        """Make a router for each pool.

        Args:
            make_router: makes the router of a pool from its configuration.
            configs: by pool.
            kinds: by pool: the kinds of its engines.
            pool_of_traffic: by traffic type.
        """
        self.routers = [make_router(config) for config in configs]
        self.kinds = kinds
        self.pool_of_traffic = pool_of_traffic
        self._pool_of_sequence: dict[int, int] = {}
        self._generations: list[int] = []  # by engine index: how many engines have had this index so far
        self._closed: set[int] = set()  # pools that currently may not use engines in several pools
        self._known: list[dict[int, KnownEngine]] = [{} for _ in configs]  # by pool, by engine

    def start(self, now: float) -> list[contract.Action]:
        """Start all routers."""
        return [
            action
            for pool, router in enumerate(self.routers)
            for action in self._own_actions(pool, router.start(now))
        ]

    def endpoint_list_failed(self, now: float) -> list[contract.Action]:
        """Report a failed poll of the endpoint list to all routers."""
        return [
            action
            for pool, router in enumerate(self.routers)
            for action in self._own_actions(pool, router.endpoint_list_failed(now))
        ]

    def update_endpoints(
        self, now: float, updates: Sequence[contract.EndpointUpdate], is_complete: bool
    ) -> list[contract.Action]:
        """Report to each pool the changes of its engines; an engine whose kind changed may leave the pool."""
        self._count_generations(updates)
        actions = []
        for pool, router in enumerate(self.routers):
            own_updates = self._own_updates(pool, updates)
            if is_complete:
                self._mark_missing(pool, updates)
            if own_updates or is_complete:
                actions += self._own_actions(pool, router.update_endpoints(now, own_updates, is_complete))
        return actions

    def _count_generations(self, updates: Sequence[contract.EndpointUpdate]) -> None:
        for update in updates:
            while len(self._generations) <= update.engine:
                self._generations.append(0)
            self._generations[update.engine] += update.is_new

    def _own_updates(
        self, pool: int, updates: Sequence[contract.EndpointUpdate]
    ) -> list[contract.EndpointUpdate]:
        own_updates, known = [], self._known[pool]
        for update in updates:
            generation = self._generations[update.engine]
            is_known = update.engine in known and known[update.engine].generation == generation
            if update.kind in self.kinds[pool]:
                own_updates.append(self._seen_by(pool, update._replace(is_new=not is_known)))
                known[update.engine] = KnownEngine(generation, update)
            elif is_known:
                own_updates.append(update._replace(state=contract.EngineState.REMOVED, is_new=False))
                known[update.engine] = KnownEngine(generation, update)
        return own_updates

    def _mark_missing(self, pool: int, updates: Sequence[contract.EndpointUpdate]) -> None:
        """Mark engines that a complete list does not contain as removed."""
        known = self._known[pool]
        for engine in set(known).difference(update.engine for update in updates):
            generation, update = known[engine]
            known[engine] = KnownEngine(generation, update._replace(state=contract.EngineState.REMOVED))

    def _seen_by(self, pool: int, update: contract.EndpointUpdate) -> contract.EndpointUpdate:
        """Return an update as reported to a pool; a closed pool sees engines of several pools as draining."""
        is_serving = update.state == contract.EngineState.SERVING
        if pool in self._closed and is_serving and self._is_common(update):
            return update._replace(state=contract.EngineState.DRAINING)
        return update

    def _is_common(self, update: contract.EndpointUpdate) -> bool:
        return sum(update.kind in kinds for kinds in self.kinds) > 1

    def set_pool_closed(self, now: float, pool: int, is_closed: bool) -> list[contract.Action]:
        """Stop, or resume, sending a pool's sequences to engines that it shares with other pools."""
        if is_closed:
            self._closed.add(pool)
        else:
            self._closed.discard(pool)
        updates = [
            self._seen_by(pool, update._replace(is_new=False))
            for generation, update in self._known[pool].values()
            if generation == self._generations[update.engine]
            and update.kind in self.kinds[pool]
            and self._is_common(update)
        ]
        return self._own_actions(pool, self.routers[pool].update_endpoints(now, updates, False))

    def arrive(self, now: float, sequence: int, arrival: contract.Arrival) -> list[contract.Action]:
        """Report an arrival to the router of its traffic type."""
        pool = self._pool_of_sequence[sequence] = self.pool_of_traffic[arrival.traffic]
        return self._own_actions(pool, self.routers[pool].arrive(now, sequence, arrival))

    def began(self, now: float, sequence: int, attempt: int, latency: float) -> list[contract.Action]:
        """Report first tokens to the router of the sequence; see `contract.Router`."""
        return self._call_owner(sequence, lambda router: router.began(now, sequence, attempt, latency))

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
        return self._call_owner(
            sequence,
            lambda router: router.ended(
                now, sequence, attempt, outcome, latency, is_answered, cached_tokens, load
            ),
        )

    def client_left(self, now: float, sequence: int) -> list[contract.Action]:
        """Report a disconnect to the router of the sequence; see `contract.Router`."""
        return self._call_owner(sequence, lambda router: router.client_left(now, sequence))

    def reservation_answered(
        self, now: float, sequence: int, attempt: int, engine: int, is_reserved: bool
    ) -> list[contract.Action]:
        """Report the answer to a reservation to the router of the sequence; see `contract.Router`."""
        return self._call_owner(
            sequence, lambda router: router.reservation_answered(now, sequence, attempt, engine, is_reserved)
        )

    def check_send(self, now: float, sequence: int, attempt: int) -> contract.SendCheck:
        """Return the result of `check_send` of the router of the sequence; see `contract.Router`."""
        pool = self._pool_of_sequence.get(sequence)
        if pool is None:
            return contract.SendCheck(may_run=False, is_in_slow_start_share=False)
        return self.routers[pool].check_send(now, sequence, attempt)

    def wake(self, now: float, token: int) -> list[contract.Action]:
        """Wake the router that scheduled the wake-up; the token contains its pool."""
        own_token, pool = divmod(token, len(self.routers))
        return self._own_actions(pool, self.routers[pool].wake(now, own_token))

    def _call_owner(
        self, sequence: int, call: Callable[[contract.Router], list[contract.Action]]
    ) -> list[contract.Action]:
        """Apply `call` to the router of a sequence; return no actions if that router has forgotten it."""
        pool = self._pool_of_sequence.get(sequence)
        if pool is None:
            return []
        return self._own_actions(pool, call(self.routers[pool]))

    def _own_actions(self, pool: int, actions: list[contract.Action]) -> list[contract.Action]:
        """Return the actions of a pool for the executor, with the pool in the tokens of wake-ups."""
        for position, action in enumerate(actions):
            if isinstance(action, contract.ScheduleWakeup):
                actions[position] = action._replace(token=action.token * len(self.routers) + pool)
            elif isinstance(action, contract.Forget):
                self._pool_of_sequence.pop(action.sequence, None)
        return actions
