"""Engine pools: the router of chat makes the same decisions whether or not other fronts are served."""

from heapq import heappop, heappush
from random import Random

from fleet import Fleet
from router_bench import CONFIG

from myrtlehub.node.engine_pools import EnginePools
from myrtlehub.routing import contract
from myrtlehub.routing.policy.router import Router

READER, WRITER, EMBEDDER = 0, 1, 2  # kinds
CHAT, EMBEDDINGS = 0, 1  # traffic types
SEQUENCE_STRIDE = 2  # chat sequences have even numbers, embedding sequences odd ones
SEQUENCE_COUNT = 120  # of each traffic type


class SimulatedEngines:
    """Simulates engines with a fixed response time, and records the router's actions for chat sequences."""

    def __init__(self, router: contract.Router, kinds: list[int]) -> None:
        self.router = router
        self.kinds = kinds
        self.chat_actions: list[tuple[float, contract.Action]] = []
        self._scheduled_calls: list[tuple] = []
        self._scheduled_count = 0  # orders calls that are scheduled for the same time
        self._attempts: dict[int, int] = {}

    def schedule(self, at: float, call: str, *arguments: object) -> None:
        self._scheduled_count += 1
        heappush(self._scheduled_calls, (at, self._scheduled_count, call, arguments))

    def run(self) -> None:
        """Make all scheduled router calls, and execute the actions that they return."""
        while self._scheduled_calls:
            now, _, call, arguments = heappop(self._scheduled_calls)
            self.execute(now, getattr(self.router, call)(now, *arguments))

    def execute(self, now: float, actions: list[contract.Action]) -> None:
        for action in actions:
            if isinstance(action, contract.ScheduleWakeup):
                self.schedule(now + action.delay, "wake", action.token)
                continue
            if action.sequence % SEQUENCE_STRIDE == 0:
                self.chat_actions.append((round(now, 6), action))
            if isinstance(action, contract.Send):
                self._send(now, action)

    def _send(self, now: float, action: contract.Send) -> None:
        sequence = action.sequence
        number = self._attempts.get(sequence, 0)
        self._attempts[sequence] = number + 1
        if hash((sequence, number)) % 11 == 0:
            outcome = contract.Outcome.ERROR
        elif self.kinds[action.engine] == READER:
            outcome = contract.Outcome.READ
        else:
            outcome = contract.Outcome.GENERATED
        is_generated = outcome == contract.Outcome.GENERATED
        if is_generated:
            self.schedule(now + 0.05, "began", sequence, number, 0.05)
        self.schedule(now + 0.1, "ended", sequence, number, outcome, 0.1, is_generated, 0.0, None)


def chat_actions_of(router: contract.Router, with_embeddings: bool) -> list[tuple[float, contract.Action]]:
    """Return a router's actions for 120 chat sequences, optionally beside 120 embedding sequences."""
    random = Random(11)
    kinds = [READER, READER, WRITER, WRITER, WRITER, *([EMBEDDER] * 2 if with_embeddings else [])]
    engines = SimulatedEngines(router, kinds)
    engines.execute(0.0, router.start(0.0))
    updates = [update(i, kind, True) for i, kind in enumerate(kinds)]
    engines.execute(0.0, router.update_endpoints(0.0, updates, True))
    for i in range(SEQUENCE_COUNT):
        chat = arrival(CHAT)._replace(prompt_tokens=float(random.choice([200, 900, 3000])), session=i % 9)
        engines.schedule(0.03 * i, "arrive", SEQUENCE_STRIDE * i, chat)
        if with_embeddings:
            embedding = arrival(EMBEDDINGS)._replace(prompt_tokens=900.0)
            engines.schedule(0.03 * i + 0.001, "arrive", SEQUENCE_STRIDE * i + 1, embedding)
    engines.run()
    return engines.chat_actions


def engines_used(actions: list[tuple[float, contract.Action]]) -> set[int]:
    return {action.engine for _, action in actions if isinstance(action, contract.Send)}


def test_chat_is_routed_as_if_it_were_alone() -> None:
    chat = CONFIG._replace(reads=(True, False, False), writes=(False, True, False), node_count=1)
    embeddings = chat._replace(
        reads=(False,) * 3, writes=(False, False, True), traffic=(CONFIG.traffic[0],) * 2
    )
    alone = chat_actions_of(Router(chat._replace(traffic=CONFIG.traffic[:1])), False)
    configs = [chat._replace(traffic=CONFIG.traffic[:1]), embeddings]
    pools = EnginePools(Router, configs, [frozenset({0, 1}), frozenset({2})], [0, 1])
    assert chat_actions_of(pools, True) == alone and len(alone) > 250
    assert engines_used(alone) == {0, 1, 2, 3, 4}
    # A single router for both traffic types would send chat sequences to engines that only embed.
    single = chat._replace(writes=(False, True, True), traffic=CONFIG.traffic[:2])
    assert {5, 6} & engines_used(chat_actions_of(Router(single), True))


class RecordingRouter:
    """A router that records its calls."""

    def __init__(self, config: contract.RouterConfig) -> None:
        self.updates: list[tuple] = []
        self.calls: list[tuple] = []

    def update_endpoints(
        self, now: float, updates: list[contract.EndpointUpdate], is_complete: bool
    ) -> list[contract.Action]:
        self.updates.append(
            ([(update.engine, update.is_new, update.state) for update in updates], is_complete)
        )
        return []

    def arrive(self, now: float, sequence: int, arrival: contract.Arrival) -> list[contract.Action]:
        self.calls.append(("arrive", sequence))
        return [contract.ScheduleWakeup(0.5, 3)]

    def wake(self, now: float, token: int) -> list[contract.Action]:
        self.calls.append(("wake", token))
        return [contract.Forget(7)]

    def ended(self, now: float, sequence: int, *arguments: object) -> list[contract.Action]:
        self.calls.append(("ended", sequence))
        return []


def two_pools() -> EnginePools:
    """Return two pools: the first has kinds 0 and 2 of engines, the second kinds 1 and 2."""
    return EnginePools(RecordingRouter, [CONFIG, CONFIG], [frozenset({0, 2}), frozenset({1, 2})], [0, 1])


def update(
    engine: int, kind: int, is_new: bool = False, state: int = contract.EngineState.SERVING
) -> contract.EndpointUpdate:
    return contract.EndpointUpdate(engine, is_new, state, kind, 0, 0, 0.0, 1.0)


def arrival(traffic: int) -> contract.Arrival:
    return contract.Arrival(traffic, None, 100.0, 4.0, 0, 0, 0.0, 10.0, 0.0)


def test_each_pool_is_notified_of_its_own_engines_and_of_those_it_loses() -> None:
    pools = two_pools()
    pools.update_endpoints(0.0, [update(0, 0, True), update(1, 1, True), update(2, 2, True)], True)
    first, second = (router.updates for router in pools.routers)
    assert first == [([(0, True, 0), (2, True, 0)], True)]
    assert second == [([(1, True, 0), (2, True, 0)], True)]
    pools.update_endpoints(1.0, [update(1, 0)], False)  # its kind changes, so it moves from pool 1 to pool 0
    assert first[1:] == [([(1, True, 0)], False)] and second[1:] == [
        ([(1, False, contract.EngineState.REMOVED)], False)
    ]
    pools.update_endpoints(2.0, [update(1, 1)], False)
    assert first[2:] == [([(1, False, contract.EngineState.REMOVED)], False)] and second[2:] == [
        ([(1, False, 0)], False)
    ]
    pools.update_endpoints(3.0, [update(0, 1, True)], False)  # the index is reused for another engine
    assert len(first) == 3 and second[3:] == [([(0, True, 0)], False)]


def test_a_closed_pool_sees_common_engines_drain_and_nothing_else() -> None:
    pools = two_pools()
    pools.update_endpoints(0.0, [update(0, 0, True), update(1, 1, True), update(2, 2, True)], True)
    pools.set_pool_closed(1.0, 1, True)
    assert (
        pools.routers[1].updates[1:] == [([(2, False, contract.EngineState.DRAINING)], False)]
        and len(pools.routers[0].updates) == 1
    )
    pools.update_endpoints(2.0, [update(2, 2)], False)  # an update does not open the pool
    assert pools.routers[1].updates[2:] == [([(2, False, contract.EngineState.DRAINING)], False)]
    pools.update_endpoints(3.0, [update(2, 2, state=contract.EngineState.DRAINING)], False)
    pools.set_pool_closed(4.0, 1, False)
    # The pool is open, but the engine is draining in the endpoint list.
    assert pools.routers[1].updates[4:] == [([(2, False, contract.EngineState.DRAINING)], False)]
    pools.update_endpoints(5.0, [update(2, 2)], False)
    assert pools.routers[1].updates[5:] == [([(2, False, contract.EngineState.SERVING)], False)]


def test_reopening_a_pool_restores_no_engine_that_has_left_it() -> None:
    """While the pool is closed, engine 0 changes its kind and a complete list omits engine 2."""
    pools = two_pools()
    pools.update_endpoints(0.0, [update(i, 2, True) for i in range(3)], True)
    pools.set_pool_closed(1.0, 1, True)
    pools.update_endpoints(2.0, [update(0, 0)], False)
    pools.update_endpoints(3.0, [update(0, 0), update(1, 2)], True)
    pools.set_pool_closed(4.0, 1, False)
    assert pools.routers[1].updates[-1] == (
        [(1, False, contract.EngineState.SERVING), (2, False, contract.EngineState.REMOVED)],
        False,
    )


def test_wake_ups_and_sequences_go_to_the_router_that_they_belong_to() -> None:
    pools = two_pools()
    assert pools.arrive(0.0, 7, arrival(1)) == [contract.ScheduleWakeup(0.5, 7)]  # token 3 * 2 pools + pool 1
    end = (0, contract.Outcome.ERROR, 0.1, False, 0.0, None)
    pools.ended(0.1, 7, *end)
    assert pools.wake(0.5, 7) == [contract.Forget(7)]
    assert pools.ended(0.6, 7, *end) == [] and pools.routers[1].calls == [
        ("arrive", 7),
        ("ended", 7),
        ("wake", 3),
    ]
    assert not pools.routers[0].calls and not pools._pool_by_sequence


def test_a_node_with_one_front_uses_its_router_directly() -> None:
    assert type(Fleet().nodes["n0"].executor.router) is Router
    assert type(Fleet("R0 W0 E0 K0").nodes["n0"].executor.router) is EnginePools
