"""Admission control: final answers in time, drains, slow start, quotas, and what waits at the node."""

from random import Random

from router_bench import AT_MOST_ONCE, CONFIG, PROBING, WRITER, RouterBench, arrival, benches, endpoint

from myrtlehub.routing import contract
from myrtlehub.routing.contract import EngineState, LoadReport, Outcome
from myrtlehub.routing.policy.router import Router


def test_a_sequence_gets_one_final_answer() -> None:
    bench = RouterBench("R0 W0")
    ident = bench.arrive(traffic=AT_MOST_ONCE, prompt=3000.0, time_left=1.5)
    bench.wait(0.2)
    bench.ended(ident, 0, Outcome.READ)
    bench.wait(2.0)
    bench.ended(ident, 1, Outcome.TIMEOUT)
    bench.client_left(ident)
    bench.update_endpoint(1, state=EngineState.DRAINING)
    bench.arrive(prompt=3000.0, time_left=0.06)
    bench.wait(0.2, step=0.004)
    bench.assert_matches_trace("one_final_answer")


def test_draining_engines_get_nothing_and_cold_ones_little() -> None:
    bench = RouterBench("R0 W0 W0")
    bench.update_endpoint(1, state=EngineState.DRAINING)
    for _ in range(3):
        bench.arrive(prompt=300.0)
    bench.update_endpoint(1, state=EngineState.SERVING, started_at=bench.now)
    bench.update_endpoint(2, state=EngineState.REMOVED)
    for _ in range(3):
        bench.arrive(prompt=300.0)
    bench.wait(9.0)
    bench.assert_matches_trace("drains_and_cold")


def test_full_memory_makes_new_sequences_wait_and_then_rejects_them() -> None:
    bench = RouterBench("R0 W0")
    ident = bench.arrive(prompt=300.0)
    bench.began(ident, 0)
    bench.ended(ident, 0, Outcome.GENERATED, is_answered=True, load=LoadReport(memory_share=0.95))
    bench.arrive(prompt=300.0)
    bench.wait(1.0)
    bench.wait(1.0)
    bench.assert_matches_trace("full_memory")


def slow_start_sends(nodes: int, engines: int, engine_rate: float) -> tuple[list[float], float]:
    """When sequences came that may go to a cold engine, which starts at 100 s, and when the last came.

    The load is 1.3 of what the engines can do, with every other sequence tried again, and it doubles in the
    second second.
    """
    random = Random(nodes)
    routers = [Router(CONFIG._replace(seed=node, node=node, node_count=nodes)) for node in range(nodes)]
    parts = [random.random() ** 3 + 0.02 for _ in routers]  # some get several times the mean
    now, admitted = 100.0, []
    updates = [endpoint(index, WRITER, started_at=0.0 if index else now) for index in range(engines)]
    for router in routers:
        router.update_endpoints(now, updates, True)
    for ident in range(1800):
        surge = 2.0 if 101.0 < now < 102.0 else 1.0
        now += random.expovariate(1.3 * 1.5 * engines * engine_rate * surge)
        router = random.choices(routers, parts)[0]
        actions = router.arrive(now, ident, arrival(prompt=300.0))
        sends = [action for action in actions if isinstance(action, contract.Send)]
        cold = router.estimates.engines[0]
        if router.admission.is_in_slow_start_share(cold, router.sequences[ident], now):
            admitted.append(now)  # as if whoever may go to the cold one did
        else:
            assert all(send.engine for send in sends)
        for _ in sends:
            router.ended(now, ident, 0, Outcome.GENERATED, 0.1, True, 0.0, None)
    return admitted, now


def test_slow_start_bounds_what_all_nodes_send_however_many_they_are() -> None:
    """Slow start over the fleet: N is what its budget allows, and beyond it only chance, 2 x root of N + 2.

    Each sequence draws once whether a cold engine is for it, with SLOW_START_SHARE / engines times the
    budget's share: so the mean of what all nodes send is 0.3 N x the load, whoever sends it: 0.3 N x 3.9 at
    its worst, for a second.
    """
    engine_rate = 20.0  # sequences a second that an engine can do
    for nodes in (2, 20, 30, 200):
        admitted, end = slow_start_sends(nodes, 10, engine_rate)
        assert end > 103.0 and len(admitted) > 20
        for at in admitted:
            share = CONFIG.cold_share + (1.0 - CONFIG.cold_share) * 0.5 * (at - 100.0) / CONFIG.cold_time
            budget = CONFIG.overload_multiple * share * engine_rate * CONFIG.overload_window
            came = sum(at <= other < at + CONFIG.overload_window for other in admitted)
            assert came <= budget + 2.0 * budget**0.5 + 2.0, (nodes, at, came, budget)


def test_slow_start_of_all_nodes_together() -> None:
    summary = RouterBench("R0")
    for nodes in (2, 160):
        fleet, is_cold_send = benches(nodes, "R0 W0 W0 W0"), []
        for tick in range(320):  # eight sequences a second, from node to node; engine 1 starts at 30 s
            for bench in fleet:
                bench.now = 100.0 + tick / 8
                if tick == 240:
                    bench.update_endpoint(1, started_at=bench.now)
            engine = fleet[tick % nodes].send_and_answer(prompt=300.0)
            if tick >= 240:
                is_cold_send.append(engine == 1)
        counts = " ".join(str(sum(is_cold_send[tick : tick + 8])) for tick in range(0, 80, 8))
        summary.lines.append(f"{nodes} nodes, sends to a cold engine second by second: {counts}")
    summary.assert_matches_trace("cold_budget")


def test_a_tenant_keeps_its_share_of_a_quota_at_any_node_count() -> None:
    summary = RouterBench("R0")
    for nodes in (2, 160):
        for times in (1.0, 4.0):
            bench = RouterBench("R0 W0", node_count=nodes, quotas=(20.0,))
            over, rate = 0, 20.0 / nodes * times
            count = max(16, int(20 * rate))
            for ident in range(count):
                bench.now = 100.0 + ident / rate
                bench.router.arrive(bench.now, ident, arrival(prompt=300.0, tenant=0))
                over += bench.sequence(ident).is_over_quota
                bench.router.client_left(bench.now, ident)
                bench.router.ended(bench.now, ident, 0, Outcome.CANCELLED, 0.0, True, 0.0, None)
            summary.lines.append(f"{nodes} nodes, {times:g} times its share: {over} of {count} beyond it")
    summary.assert_matches_trace("tenant_share")


def test_a_waiting_sequence_is_tried_again_once_something_was_heard() -> None:
    bench = RouterBench("W0", **PROBING)
    bench.probe_ended(0, LoadReport(memory_share=0.99, unread=0.0))
    ident = bench.arrive(prompt=300.0)
    bench.probe_ended(0, LoadReport(memory_share=0.99, unread=0.0))
    bench.wait(0.05)
    assert ident in bench.router.waiting
    placed_at = bench.sequence(ident).last_placed_at
    bench.wait(0.5)
    assert bench.sequence(ident).last_placed_at == placed_at  # nothing was heard, so nothing has changed
    bench.probe_ended(0, LoadReport(memory_share=0.1, unread=0.0))
    bench.wait(0.05)
    assert bench.sends()[ident] == [0]


def test_one_slow_start_of_an_answer_does_not_make_all_engines_look_too_slow() -> None:
    """A node that sees little would reject all that comes, and learn nothing more."""
    bench = RouterBench("W0 W0", node_count=200)
    ident = bench.arrive(prompt=400.0)
    bench.record("began late", bench.router.began(bench.now + 2.5, ident, 0, 2.5))
    bench.ended(ident, 0, Outcome.GENERATED, is_answered=True)
    bench.now += 30.0
    assert bench.arrive(prompt=450.0) in bench.sends()
