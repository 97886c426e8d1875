"""Engine pools: engines that do the same work for the same traffic types have a router of their own.

The readers and writers of chat are one pool, engines that embed another, engines that rank a third; an engine
that does several stands in several. The routers are of one class with one configuration each; what one learns
of rates, capacity and cells is not mixed with another's. To the action executor they are one router.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from myrtlehub.routing import contract


class KnownEngine(NamedTuple):
    """An engine as a pool knows it."""

    generation: int  # how often its index had been handed out by then
    update: contract.EndpointUpdate  # the last one, as the endpoint list has it


class EnginePools:
    """Routers by pool, behind the calls of one router."""

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
        self._generations: list[int] = []  # by engine: how often its index has been handed out
        self._closed: set[int] = set()  # pools that are kept from engines which others have as well
        self._known: list[dict[int, KnownEngine]] = [{} for _ in configs]  # by pool, by engine

    def start(self, now: float) -> list[contract.Action]:
        """Start all routers."""
        return [
            action
            for pool, router in enumerate(self.routers)
            for action in self._own_actions(pool, router.start(now))
        ]

    def endpoint_list_failed(self, now: float) -> list[contract.Action]:
        """Tell all routers that a poll of the endpoint list failed."""
        return [
            action
            for pool, router in enumerate(self.routers)
            for action in self._own_actions(pool, router.endpoint_list_failed(now))
        ]

    def update_endpoints(
        self, now: float, updates: Sequence[contract.EndpointUpdate], is_complete: bool
    ) -> list[contract.Action]:
        """Tell each pool of its own engines; one that changed its kind is gone from pools that it left."""
        self._count_generations(updates)
        actions = []
        for pool, router in enumerate(self.routers):
            own_updates = self._own_updates(pool, updates)
            if is_complete:
                self._note_missing(pool, updates)
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

    def _note_missing(self, pool: int, updates: Sequence[contract.EndpointUpdate]) -> None:
        """Take engines that a complete list does not name as gone."""
        known = self._known[pool]
        for engine in set(known).difference(update.engine for update in updates):
            generation, update = known[engine]
            known[engine] = KnownEngine(generation, update._replace(state=contract.EngineState.REMOVED))

    def _seen_by(self, pool: int, update: contract.EndpointUpdate) -> contract.EndpointUpdate:
        """Return an update as a pool is told: one that is closed sees common engines drain."""
        is_serving = update.state == contract.EngineState.SERVING
        if pool in self._closed and is_serving and self._is_common(update):
            return update._replace(state=contract.EngineState.DRAINING)
        return update

    def _is_common(self, update: contract.EndpointUpdate) -> bool:
        return sum(update.kind in kinds for kinds in self.kinds) > 1

    def set_pool_closed(self, now: float, pool: int, is_closed: bool) -> list[contract.Action]:
        """Keep a pool from engines that others have as well, or let it in again."""
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
        """Give a sequence to the pool of its traffic type."""
        pool = self._pool_of_sequence[sequence] = self.pool_of_traffic[arrival.traffic]
        return self._own_actions(pool, self.routers[pool].arrive(now, sequence, arrival))

    def began(self, now: float, sequence: int, attempt: int, latency: float) -> list[contract.Action]:
        """Tell the sequence's router; as all that follows, nothing once the sequence is forgotten."""
        return self._call_owner(sequence, "began", now, attempt, latency)

    def ended(self, now: float, sequence: int, *arguments: object) -> list[contract.Action]:
        """Tell the sequence's router; see `contract.Router`."""
        return self._call_owner(sequence, "ended", now, *arguments)

    def client_left(self, now: float, sequence: int) -> list[contract.Action]:
        """Tell the sequence's router; see `contract.Router`."""
        return self._call_owner(sequence, "client_left", now)

    def reservation_answered(self, now: float, sequence: int, *arguments: object) -> list[contract.Action]:
        """Tell the sequence's router; see `contract.Router`."""
        return self._call_owner(sequence, "reservation_answered", now, *arguments)

    def wake(self, now: float, token: int) -> list[contract.Action]:
        """Wake the router that asked: tokens name its pool."""
        own_token, pool = divmod(token, len(self.routers))
        return self._own_actions(pool, self.routers[pool].wake(now, own_token))

    def _call_owner(self, sequence: int, call: str, now: float, *arguments: object) -> list[contract.Action]:
        pool = self._pool_of_sequence.get(sequence)
        if pool is None:
            return []
        return self._own_actions(pool, getattr(self.routers[pool], call)(now, sequence, *arguments))

    def _own_actions(self, pool: int, actions: list[contract.Action]) -> list[contract.Action]:
        """Return actions as the executor gets them: wake-ups name their pool."""
        for position, action in enumerate(actions):
            if isinstance(action, contract.ScheduleWakeup):
                actions[position] = action._replace(token=action.token * len(self.routers) + pool)
            elif isinstance(action, contract.Forget):
                self._pool_of_sequence.pop(action.sequence, None)
        return actions
