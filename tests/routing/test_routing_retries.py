"""Tests of retries: no second effect, dedup groups and windows, read states and rejections."""

from router_bench import AT_MOST_ONCE, IDEMPOTENCY_KEY, IDEMPOTENT, RouterBench

from myrtlehub.routing.contract import EngineState, LoadReport, Outcome


def test_an_at_most_once_sequence_has_no_second_effect() -> None:
    bench = RouterBench("R0 W0 W0")
    sequence_id = bench.arrive(traffic=AT_MOST_ONCE, prompt=300.0)
    bench.ended(sequence_id, 0, Outcome.FULL)  # it has not run
    bench.ended(sequence_id, 1, Outcome.ERROR)  # it may have run: neither retried nor rejected
    sequence_id = bench.arrive(traffic=AT_MOST_ONCE, prompt=3000.0, time_left=1.0)
    bench.wait(1.2)  # it is aborted while its read is in flight
    bench.ended(sequence_id, 0, Outcome.CANCELLED, is_answered=True)
    sequence_id = bench.arrive(traffic=IDEMPOTENT, prompt=300.0)
    bench.ended(sequence_id, 0, Outcome.ERROR)
    bench.assert_matches_trace("no_effect_twice")


def test_an_idempotency_key_allows_retries_only_in_its_dedup_group_and_window() -> None:
    bench = RouterBench("W0 W0 W1")
    sequence_id = bench.arrive(traffic=IDEMPOTENCY_KEY, prompt=300.0)
    bench.ended(sequence_id, 0, Outcome.ERROR)
    bench.ended(sequence_id, 1, Outcome.ERROR)
    late = bench.arrive(traffic=IDEMPOTENCY_KEY, prompt=300.0)
    bench.now += 5.5
    bench.ended(late, 0, Outcome.ERROR)
    bench.assert_matches_trace("tokened")


def test_a_retry_arrives_within_its_dedup_window_though_its_connection_is_slow() -> None:
    # Of the window of 5 s, the connection takes 0.25 s and a suspension of the node during the write 0.2 s.
    for after, is_retried in ((4.5, True), (4.6, False), (4.75, False)):
        bench = RouterBench("W0 W0", connect_timeout=0.25)
        sequence_id = bench.arrive(traffic=IDEMPOTENCY_KEY, prompt=100.0)
        bench.now += after
        bench.ended(sequence_id, 0, Outcome.RESET)
        assert len(bench.sends()[sequence_id]) == 1 + is_retried, after


def test_each_read_state_is_released() -> None:
    bench = RouterBench("R0 W0")
    sequence_id = bench.arrive(prompt=3000.0)
    bench.update_endpoint(1, state=EngineState.DRAINING)
    bench.ended(sequence_id, 0, Outcome.READ)  # it is read, and no writer can fetch the state
    bench.wait(0.6)
    bench.arrive(prompt=3000.0)
    bench.update_endpoint(1, state=EngineState.SERVING)
    sequence_id = bench.arrive(prompt=3000.0)
    bench.client_left(sequence_id)
    bench.ended(
        sequence_id, 0, Outcome.READ, is_answered=True
    )  # the read was completed before its cancellation
    bench.assert_matches_trace("nothing_left_pinned")


def test_a_read_state_is_released_in_time_while_writers_cannot_be_reached() -> None:
    """Each failed connection takes 0.25 s of the state timeout."""
    bench = RouterBench("R0 W0 W0 W0 W0")
    sequence_id = bench.arrive(prompt=3000.0)
    bench.ended(sequence_id, 0, Outcome.READ)
    read_at = bench.now
    for attempt in (1, 2):
        bench.now += 0.251
        bench.ended(sequence_id, attempt, Outcome.UNREACHED)
    verbs = [(number, line.split()[1]) for number, line in enumerate(bench.lines) if "  -> " in line]
    released = [number for number, verb in verbs if verb == "release"]
    assert len(released) == 1 and bench.now - read_at < 0.51
    sends = [number for number, verb in verbs if verb == "send"]
    assert len(sends) == 4 and sends[2] < released[0] < sends[3]  # another writer is tried before the release
    # The last attempt reads the prompt again.
    assert bench.sends()[sequence_id][0] == 0 == bench.sends()[sequence_id][3]


def test_a_prompt_is_read_again_if_its_read_state_is_lost() -> None:
    bench = RouterBench("R0 W0")
    sequence_id = bench.arrive(prompt=3000.0)
    bench.ended(sequence_id, 0, Outcome.READ)
    bench.ended(sequence_id, 1, Outcome.FULL, cached=1.0)
    bench.assert_matches_trace("state_gone")


def test_a_rejection_applies_to_its_workload_only() -> None:
    bench = RouterBench("W0 W0", quotas=(50.0, 50.0))
    sequence_id = bench.arrive(prompt=300.0)
    rejecting = bench.sequence(sequence_id).attempts[0].engine.index
    bench.ended(sequence_id, 0, Outcome.FULL, load=LoadReport(memory_share=0.2))
    for traffic in (0, 0, 0, 1, 1):
        engine = bench.send_and_answer(traffic=traffic, prompt=300.0)
        bench.lines.append(f"engine {rejecting} refused type 0; type {traffic} went to {engine}")
    bench.assert_matches_trace("refusal")


def test_a_rejected_sequence_goes_to_engines_that_accepted_its_workload() -> None:
    bench = RouterBench("W0 W0 W0 W0")
    sequence_id = bench.arrive(traffic=AT_MOST_ONCE, prompt=300.0)
    accepted = bench.sends()[sequence_id][0]
    bench.began(sequence_id, 0)
    bench.ended(sequence_id, 0, Outcome.GENERATED, is_answered=True)
    while True:  # until it is sent to another engine at random
        sequence_id = bench.arrive(traffic=AT_MOST_ONCE, prompt=300.0)
        if bench.sends()[sequence_id][0] != accepted:
            break
    bench.ended(sequence_id, 0, Outcome.FULL)
    assert bench.sends()[sequence_id][1] == accepted


def test_with_two_attempts_left_a_rejected_sequence_is_read_by_its_writer() -> None:
    bench = RouterBench("R0 R0 W0 W0", max_attempts=4)
    sequence_id = bench.arrive(traffic=AT_MOST_ONCE, prompt=3000.0)
    # Both readers reject it. A read and a write would use both attempts that are left.
    bench.ended(sequence_id, 0, Outcome.FULL)
    bench.ended(sequence_id, 1, Outcome.FULL)
    assert len(bench.sends()[sequence_id]) == 3 and bench.sends()[sequence_id][2] in (2, 3)
    bench.ended(sequence_id, 2, Outcome.FULL)
    assert set(bench.sends()[sequence_id][2:]) == {2, 3}  # the last attempt is sent to the other writer
    bench.ended(sequence_id, 3, Outcome.FULL)
    assert any("-> reject" in line for line in bench.lines[-4:])  # it has not run, so it is rejected at once
