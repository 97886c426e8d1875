"""Tests of writer selection, read placement and takeovers, partly by comparison with stored traces."""

from router_bench import AT_MOST_ONCE, IDEMPOTENCY_KEY, PROBING, WRITER, RouterBench, arrival, benches

from myrtlehub.routing import contract
from myrtlehub.routing.contract import EngineState, Outcome


def engines_sent_to(actions: list[contract.Action]) -> list[int]:
    return [action.engine for action in actions if isinstance(action, contract.Send)]


def test_a_takeover_uses_its_read_state_and_respects_a_possible_run() -> None:
    """The writer is in the cell of the read state; a retry stays in the dedup group and dedup window."""
    bench = RouterBench("R0 R0 W0 R1 W1")
    router, now = bench.router, bench.now
    taken = arrival(AT_MOST_ONCE, prompt=5000.0, state_engine=3)
    assert engines_sent_to(router.arrive(now, 1, taken)) == [4]  # no read
    done = router.ended(now + 0.1, 1, 0, Outcome.GENERATED, 0.1, True, 0.0, None)
    assert contract.Release(1) in done and contract.Forget(1) in done
    for ago, is_sent in ((1.0, True), (6.0, False)):
        taken = arrival(IDEMPOTENCY_KEY, prompt=300.0, may_have_run_at=2, may_have_run_ago=ago)
        actions = router.arrive(now, int(ago) + 10, taken)
        assert engines_sent_to(actions) == [2] * is_sent, actions
        aborts = [action for action in actions if isinstance(action, contract.Abort)]
        assert bool(aborts) == (not is_sent), actions


def test_placement_of_split_and_unsplit_prompts() -> None:
    bench = RouterBench("R0 R0 W0 R1")
    bench.arrive(prompt=300.0)
    sequence_id = bench.arrive(prompt=4000.0, prefix=9, shared=3000.0)
    bench.now += 0.2
    bench.ended(sequence_id, 0, Outcome.READ)
    bench.began(sequence_id, 1)
    bench.ended(sequence_id, 1, Outcome.GENERATED, is_answered=True)
    bench.arrive(prompt=4000.0, prefix=9, shared=3000.0)  # the same reader has most tokens cached
    bench.arrive(prompt=4000.0)  # not cached: the reader with the fewest reads in flight
    bench.arrive(prompt=599.0)
    bench.arrive(prompt=600.0)
    bench.assert_matches_trace("ordinary_path")


def test_a_writer_that_cannot_read_always_splits() -> None:
    bench = RouterBench("R0 W0", writers_can_read=False)
    bench.arrive(prompt=50.0)
    bench.update_endpoint(0, state=EngineState.DRAINING)
    bench.arrive(prompt=50.0)
    bench.assert_matches_trace("writer_that_cannot_read")


def test_another_cell_reads_only_if_the_writers_cell_has_no_capacity() -> None:
    bench = RouterBench("R0 W0 R1")
    for _ in range(6):
        bench.arrive(prompt=9000.0)
    bench.assert_matches_trace("other_cell")


def test_routers_without_observations_distribute_their_sends() -> None:
    summary = RouterBench("R0")
    for kind, fields in (("writers", {"prompt": 300.0}), ("readers", {"prompt": 3000.0})):
        counts = [0] * 8
        for bench in benches(160, "R0 R0 R1 R1 W0 W0 W1 W1"):
            bench.now += 1.0
            counts[bench.send_and_answer(prefix=bench.router.config.node, **fields)] += 1
        summary.lines.append(f"{kind}: {counts}")
    summary.assert_matches_trace("spread")


def test_a_cell_with_few_readers_reads_its_part() -> None:
    summary, counts = RouterBench("R0"), [0] * 7
    for bench in benches(160, "R0 W0 W0 W0 R1 R1 R1"):
        counts[bench.send_and_answer(prompt=3000.0)] += 1
    summary.lines.append(f"one reader beside all writers, three apart: {counts}")
    summary.assert_matches_trace("few_readers")


def test_an_idle_node_requests_no_wake_up() -> None:
    bench = RouterBench("R0 W0")
    sequence_id = bench.arrive(prompt=300.0)
    bench.began(sequence_id, 0)
    actions = bench.router.wake(bench.now + 11.0, 0)
    timers = [action for action in actions if isinstance(action, contract.ScheduleWakeup)]
    bench.lines.append(f"timers while an answer streams: {timers}")
    bench.assert_matches_trace("idle")


def test_nodes_agree_on_the_home_of_a_session_without_communication() -> None:
    chosen = set()
    for node in range(12):
        bench = RouterBench("R0 R0 R0 W0 W0 R1 R1 W1", node_count=80, node=node, seed=node)
        sequence_id = bench.arrive(prompt=4000.0, session=77, prefix=9, shared=3000.0)
        chosen.add(bench.sends()[sequence_id][0])
    assert len(chosen) <= 2  # one reader per cell
    homes = set()
    for session in range(1, 12):  # sessions of a prefix are distributed over its few readers
        bench = RouterBench("R0 R0 R0 W0")
        sequence_id = bench.arrive(prompt=4000.0, session=session, prefix=9, shared=3000.0)
        homes.add(bench.sends()[sequence_id][0])
    assert len(homes) > 1


def test_the_limit_of_the_start_delay_is_lower_with_load_probing() -> None:
    is_sent = []
    for changes in ({}, PROBING):
        bench = RouterBench("W0", **changes)
        # The estimated start delay is 3.5 s, times the initial correction of 0.5; 2 s are left until the SLO.
        bench.router.estimates.mean_backlog[WRITER] = 40000.0
        sequence_id = bench.arrive(prompt=500.0)
        bench.wait(0.1)
        is_sent.append(sequence_id in bench.sends())
    assert is_sent == [True, False]
