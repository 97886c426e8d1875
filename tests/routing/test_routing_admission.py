"""Tests of admission control: final answers, draining engines, slow start, quotas, waiting sequences."""

from random import Random

from router_bench import AT_MOST_ONCE, CONFIG, PROBING, WRITER, RouterBench, arrival, benches, endpoint

from myrtlehub.routing import contract
from myrtlehub.routing.contract import EngineState, LoadReport, Outcome
from myrtlehub.routing.policy.router import Router


def test_a_sequence_gets_one_final_answer() -> None:
    bench = RouterBench("R0 W0")
    sequence_id = bench.arrive(traffic=AT_MOST_ONCE, prompt=3000.0, time_left=1.5)
    bench.wait(0.2)
    bench.ended(sequence_id, 0, Outcome.READ)
    bench.wait(2.0)
    bench.ended(sequence_id, 1, Outcome.TIMEOUT)
    bench.client_left(sequence_id)
    bench.update_endpoint(1, state=EngineState.DRAINING)
    bench.arrive(prompt=3000.0, time_left=0.06)
    bench.wait(0.2, step=0.004)
    bench.assert_matches_trace("one_final_answer")


def test_draining_engines_get_no_attempts_and_cold_engines_few() -> None:
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


def test_new_sequences_wait_for_full_memory_and_are_then_rejected() -> None:
    bench = RouterBench("R0 W0")
    sequence_id = bench.arrive(prompt=300.0)
    bench.began(sequence_id, 0)
    bench.ended(sequence_id, 0, Outcome.GENERATED, is_answered=True, load=LoadReport(memory_share=0.95))
    bench.arrive(prompt=300.0)
    bench.wait(1.0)
    bench.wait(1.0)
    bench.assert_matches_trace("full_memory")


def slow_start_sends(nodes: int, engines: int, engine_rate: float) -> tuple[list[float], float]:
    """Return the arrival times of the sequences that a cold engine may get, and that of the last sequence.

    The engine starts at 100 s. The load is 1.3 times the capacity of the engines, clients retry every other
    sequence, and from 101 s to 102 s the load doubles.
    """
    random = Random(nodes)
    routers = [Router(CONFIG._replace(seed=node, node=node, node_count=nodes)) for node in range(nodes)]
    # Some nodes get several times the mean traffic.
    traffic_shares = [random.random() ** 3 + 0.02 for _ in routers]
    now, admitted = 100.0, []
    updates = [endpoint(index, WRITER, started_at=0.0 if index else now) for index in range(engines)]
    for router in routers:
        router.update_endpoints(now, updates, True)
    for sequence_id in range(1800):
        surge = 2.0 if 101.0 < now < 102.0 else 1.0
        now += random.expovariate(1.3 * 1.5 * engines * engine_rate * surge)
        router = random.choices(routers, traffic_shares)[0]
        actions = router.arrive(now, sequence_id, arrival(prompt=300.0))
        sends = [action for action in actions if isinstance(action, contract.Send)]
        cold = router.estimates.engines[0]
        if router.admission.is_in_slow_start_share(cold, router.sequences[sequence_id], now):
            admitted.append(now)  # the worst case: the cold engine gets each sequence that it may get
        else:
            assert all(send.engine for send in sends)
        for _ in sends:
            router.ended(now, sequence_id, 0, Outcome.GENERATED, 0.1, True, 0.0, None)
    return admitted, now


def test_slow_start_bounds_what_all_nodes_send_however_many_they_are() -> None:
    """All nodes together send a cold engine at most its budget N plus the random deviation 2 sqrt(N) + 2.

    A random number of each sequence decides whether the cold engine may get it. The probability is
    SLOW_START_SHARE times the budget's share, divided by the number of engines. So all nodes together send
    0.3 N times the load on average, for any distribution of the load: at most 0.3 N x 3.9, for a second.
    """
    engine_rate = 20.0  # sequences per second that an engine can handle
    for nodes in (2, 20, 30, 200):
        admitted, end = slow_start_sends(nodes, 10, engine_rate)
        assert end > 103.0 and len(admitted) > 20
        for at in admitted:
            share = CONFIG.cold_share + (1.0 - CONFIG.cold_share) * 0.5 * (at - 100.0) / CONFIG.cold_time
            budget = CONFIG.overload_multiple * share * engine_rate * CONFIG.overload_window
            sent = sum(at <= other < at + CONFIG.overload_window for other in admitted)
            assert sent <= budget + 2.0 * budget**0.5 + 2.0, (nodes, at, sent, budget)


def test_slow_start_of_all_nodes_together() -> None:
    summary = RouterBench("R0")
    for nodes in (2, 160):
        fleet, is_cold_send = benches(nodes, "R0 W0 W0 W0"), []
        for tick in range(320):  # 8 sequences per second, round-robin over the nodes; engine 1 starts at 30 s
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


def test_the_quota_of_a_tenant_is_independent_of_the_node_count() -> None:
    summary = RouterBench("R0")
    for nodes in (2, 160):
        for multiple in (1.0, 4.0):
            bench = RouterBench("R0 W0", node_count=nodes, quotas=(20.0,))
            over_quota, rate = 0, 20.0 / nodes * multiple
            count = max(16, int(20 * rate))
            for sequence_id in range(count):
                bench.now = 100.0 + sequence_id / rate
                bench.router.arrive(bench.now, sequence_id, arrival(prompt=300.0, tenant=0))
                over_quota += bench.sequence(sequence_id).is_over_quota
                bench.router.client_left(bench.now, sequence_id)
                bench.router.ended(bench.now, sequence_id, 0, Outcome.CANCELLED, 0.0, True, 0.0, None)
            summary.lines.append(
                f"{nodes} nodes, {multiple:g} times its share: {over_quota} of {count} beyond it"
            )
    summary.assert_matches_trace("tenant_share")


def test_a_waiting_sequence_is_placed_again_only_after_new_feedback() -> None:
    bench = RouterBench("W0", **PROBING)
    bench.probe_ended(0, LoadReport(memory_share=0.99, unread=0.0))
    sequence_id = bench.arrive(prompt=300.0)
    bench.probe_ended(0, LoadReport(memory_share=0.99, unread=0.0))
    bench.wait(0.05)
    assert sequence_id in bench.router.waiting
    placed_at = bench.sequence(sequence_id).last_placed_at
    bench.wait(0.5)
    assert bench.sequence(sequence_id).last_placed_at == placed_at  # without feedback, it is not placed again
    bench.probe_ended(0, LoadReport(memory_share=0.1, unread=0.0))
    bench.wait(0.05)
    assert bench.sends()[sequence_id] == [0]


def test_one_late_answer_does_not_make_all_engines_look_too_slow() -> None:
    """Otherwise a node with little traffic would reject all of it, and observe no more starts."""
    bench = RouterBench("W0 W0", node_count=200)
    sequence_id = bench.arrive(prompt=400.0)
    bench.record("began late", bench.router.began(bench.now + 2.5, sequence_id, 0, 2.5))
    bench.ended(sequence_id, 0, Outcome.GENERATED, is_answered=True)
    bench.now += 30.0
    assert bench.arrive(prompt=450.0) in bench.sends()
