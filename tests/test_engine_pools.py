"""The module once a field: what chat decides is the same whether or not other fronts are served."""

from heapq import heappop, heappush
from random import Random

from fleet import Fleet
from router_bench import CONFIG as TERMS

from myrtlehub.node.engine_pools import EnginePools
from myrtlehub.routing import contract
from myrtlehub.routing.policy.router import Router


def played(router: object, beside: bool) -> list[contract.Action]:
    """What chat's sequences (even numbers) are told, on made-up engines that answer after a fixed time."""
    random, told, todo, count = Random(11), [], [], 0
    kinds = [0, 0, 1, 1, 1, *([2, 2] if beside else [])]

    def push(at: float, *call: object) -> None:
        nonlocal count
        count += 1
        heappush(todo, (at, count, call))

    def carry(now: float, results: list[tuple]) -> None:
        sent = {}
        for r in results:
            if isinstance(r, contract.ScheduleWakeup):
                push(now + r.delay, "wake", r.token)
                continue
            if r.sequence % 2 == 0:
                told.append((round(now, 6), r))
            if isinstance(r, contract.Send):
                n = sent.setdefault(r.sequence, attempts.get(r.sequence, 0))
                attempts[r.sequence] = n + 1
                fails = hash((r.sequence, n)) % 11 == 0
                outcome = (
                    contract.Outcome.ERROR
                    if fails
                    else contract.Outcome.READ
                    if kinds[r.engine] == 0
                    else contract.Outcome.GENERATED
                )
                if outcome == contract.Outcome.GENERATED:
                    push(now + 0.05, "began", r.sequence, n, 0.05)
                push(
                    now + 0.1,
                    "ended",
                    r.sequence,
                    n,
                    outcome,
                    0.1,
                    outcome == contract.Outcome.GENERATED,
                    0.0,
                    None,
                )

    attempts: dict[int, int] = {}
    carry(0.0, router.start(0.0))
    carry(0.0, router.update_endpoints(0.0, [listing(i, k, True) for i, k in enumerate(kinds)], True))
    for i in range(120):
        a = arrival(0)._replace(prompt_tokens=float(random.choice([200, 900, 3000])), session=i % 9)
        push(0.03 * i, "arrive", 2 * i, a)
        if beside:
            push(0.03 * i + 0.001, "arrive", 2 * i + 1, arrival(1)._replace(prompt_tokens=900.0))
    while todo:
        now, _, (name, *args) = heappop(todo)
        carry(now, getattr(router, name)(now, *args))
    return told


def test_chat_is_decided_on_as_if_it_were_alone() -> None:
    chat = TERMS._replace(reads=(True, False, False), writes=(False, True, False), node_count=1)
    vec = chat._replace(reads=(False,) * 3, writes=(False, False, True), traffic=(TERMS.traffic[0],) * 2)
    first = chat._replace(traffic=TERMS.traffic[:1])
    alone = played(Router(first), False)
    both = EnginePools(Router, [first, vec], [frozenset({0, 1}), frozenset({2})], [0, 1])
    assert played(both, True) == alone and len(alone) > 250
    assert {r.engine for _, r in alone if isinstance(r, contract.Send)} == {0, 1, 2, 3, 4}
    # one module for all would send chat where chat is not served
    one = chat._replace(writes=(False, True, True), traffic=TERMS.traffic[:2])
    assert {5, 6} & {r.engine for _, r in played(Router(one), True) if isinstance(r, contract.Send)}


class Noted:
    """A router that notes what it is told."""

    def __init__(self, terms: contract.RouterConfig) -> None:
        self.listed, self.said = [], []

    def update_endpoints(self, now: float, listings: list, whole: bool) -> list[contract.Action]:
        self.listed.append(([(e.engine, e.is_new, e.state) for e in listings], whole))
        return []

    def arrive(self, now: float, seq: int, a: contract.Arrival) -> list[contract.Action]:
        self.said.append(("arrive", seq))
        return [contract.ScheduleWakeup(0.5, 3)]

    def wake(self, now: float, token: int) -> list[contract.Action]:
        self.said.append(("wake", token))
        return [contract.Forget(7)]

    def ended(self, now: float, seq: int, *more: object) -> list[contract.Action]:
        self.said.append(("ended", seq))
        return []


def fields() -> EnginePools:
    """Kind 0 is the first field's, kind 1 the second's, kind 2 in both."""
    return EnginePools(Noted, [TERMS, TERMS], [frozenset({0, 2}), frozenset({1, 2})], [0, 1])


def listing(
    engine: int, kind: int, fresh: bool = False, state: int = contract.EngineState.SERVING
) -> contract.EndpointUpdate:
    return contract.EndpointUpdate(engine, fresh, state, kind, 0, 0, 0.0, 1.0)


def arrival(traffic: int) -> contract.Arrival:
    return contract.Arrival(traffic, -1, 100.0, 4.0, 0, 0, 0.0, 10.0, 0.0)


def test_each_field_hears_of_its_own_engines_and_of_those_it_loses() -> None:
    f = fields()
    f.update_endpoints(0.0, [listing(0, 0, True), listing(1, 1, True), listing(2, 2, True)], True)
    first, second = (r.listed for r in f.routers)
    assert first == [([(0, True, 0), (2, True, 0)], True)]
    assert second == [([(1, True, 0), (2, True, 0)], True)]
    f.update_endpoints(1.0, [listing(1, 0)], False)  # changes its kind: new to one, gone from the other
    assert first[1:] == [([(1, True, 0)], False)] and second[1:] == [
        ([(1, False, contract.EngineState.GONE)], False)
    ]
    f.update_endpoints(2.0, [listing(1, 1)], False)
    assert first[2:] == [([(1, False, contract.EngineState.GONE)], False)] and second[2:] == [
        ([(1, False, 0)], False)
    ]
    f.update_endpoints(3.0, [listing(0, 1, True)], False)  # the index names another engine from now on
    assert len(first) == 3 and second[3:] == [([(0, True, 0)], False)]


def test_a_field_that_is_shut_out_sees_common_engines_drain_and_nothing_else() -> None:
    f = fields()
    f.update_endpoints(0.0, [listing(0, 0, True), listing(1, 1, True), listing(2, 2, True)], True)
    f.shut(1.0, 1, True)
    assert (
        f.routers[1].listed[1:] == [([(2, False, contract.EngineState.DRAINING)], False)]
        and len(f.routers[0].listed) == 1
    )
    f.update_endpoints(2.0, [listing(2, 2)], False)  # news of it meanwhile lets nothing in
    assert f.routers[1].listed[2:] == [([(2, False, contract.EngineState.DRAINING)], False)]
    f.update_endpoints(3.0, [listing(2, 2, state=contract.EngineState.DRAINING)], False)
    f.shut(4.0, 1, False)
    assert f.routers[1].listed[4:] == [
        ([(2, False, contract.EngineState.DRAINING)], False)
    ]  # the list says so by now
    f.update_endpoints(5.0, [listing(2, 2)], False)
    assert f.routers[1].listed[5:] == [([(2, False, contract.EngineState.SERVING)], False)]


def test_letting_a_field_in_again_brings_back_nothing_that_has_left_it() -> None:
    """One has changed its kind and one a whole list no longer names, while the field was shut out."""
    f = fields()
    f.update_endpoints(0.0, [listing(i, 2, True) for i in range(3)], True)
    f.shut(1.0, 1, True)
    f.update_endpoints(2.0, [listing(0, 0)], False)
    f.update_endpoints(3.0, [listing(0, 0), listing(1, 2)], True)
    f.shut(4.0, 1, False)
    assert f.routers[1].listed[-1] == (
        [(1, False, contract.EngineState.SERVING), (2, False, contract.EngineState.GONE)],
        False,
    )


def test_wakes_and_sequences_find_their_way_back() -> None:
    f = fields()
    assert f.arrive(0.0, 7, arrival(1)) == [contract.ScheduleWakeup(0.5, 7)]  # 3 * 2 + 1
    f.ended(0.1, 7)
    assert f.wake(0.5, 7) == [contract.Forget(7)]
    assert f.ended(0.6, 7) == [] and f.routers[1].said == [("arrive", 7), ("ended", 7), ("wake", 3)]
    assert not f.routers[0].said and not f._field_of


def test_one_field_is_the_module_itself() -> None:
    assert type(Fleet().nodes["n0"].host.router) is Router
    assert type(Fleet("R0 W0 E0 K0").nodes["n0"].host.router) is EnginePools
