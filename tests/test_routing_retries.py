"""Retries: no second effect, dedup groups and windows, read states, and refusals."""

from router_bench import AT_MOST_ONCE, IDEMPOTENCY_KEY, IDEMPOTENT, RouterBench

from myrtlehub.routing.contract import EngineState, LoadReport, Outcome


def test_what_may_run_at_most_once_has_no_effect_twice() -> None:
    bench = RouterBench("R0 W0 W0")
    ident = bench.arrive(traffic=AT_MOST_ONCE, prompt=300.0)
    bench.ended(ident, 0, Outcome.FULL)  # known not to have run
    bench.ended(ident, 1, Outcome.ERROR)  # may have run: neither sent again, nor read, nor rejected
    ident = bench.arrive(traffic=AT_MOST_ONCE, prompt=3000.0, time_left=1.0)
    bench.wait(1.2)  # aborted with its read out
    bench.ended(ident, 0, Outcome.CANCELLED, is_answered=True)
    ident = bench.arrive(traffic=IDEMPOTENT, prompt=300.0)
    bench.ended(ident, 0, Outcome.ERROR)
    bench.assert_matches_trace("no_effect_twice")


def test_with_an_idempotency_key_it_goes_again_only_in_its_dedup_group_and_window() -> None:
    bench = RouterBench("W0 W0 W1")
    ident = bench.arrive(traffic=IDEMPOTENCY_KEY, prompt=300.0)
    bench.ended(ident, 0, Outcome.ERROR)
    bench.ended(ident, 1, Outcome.ERROR)
    late = bench.arrive(traffic=IDEMPOTENCY_KEY, prompt=300.0)
    bench.now += 5.5
    bench.ended(late, 0, Outcome.ERROR)
    bench.assert_matches_trace("tokened")


def test_a_retry_arrives_within_its_dedup_window_though_its_connection_is_slow() -> None:
    # 0.25 s for the connection, and 0.2 s for a node that is held up as it writes, within a window of 5 s
    for after, is_retried in ((4.5, True), (4.6, False), (4.75, False)):
        bench = RouterBench("W0 W0", connect_timeout=0.25)
        ident = bench.arrive(traffic=IDEMPOTENCY_KEY, prompt=100.0)
        bench.now += after
        bench.ended(ident, 0, Outcome.RESET)
        assert len(bench.sends()[ident]) == 1 + is_retried, after


def test_no_read_state_is_left_at_an_engine() -> None:
    bench = RouterBench("R0 W0")
    ident = bench.arrive(prompt=3000.0)
    bench.update_endpoint(1, state=EngineState.DRAINING)
    bench.ended(ident, 0, Outcome.READ)  # read, and no writer to take it
    bench.wait(0.6)
    bench.arrive(prompt=3000.0)
    bench.update_endpoint(1, state=EngineState.SERVING)
    ident = bench.arrive(prompt=3000.0)
    bench.client_left(ident)
    bench.ended(ident, 0, Outcome.READ, is_answered=True)  # the cancelled read finished all the same
    bench.assert_matches_trace("nothing_left_pinned")


def test_a_read_state_is_released_in_time_while_writers_cannot_be_reached() -> None:
    """Each connection that is not established takes a quarter of a second, and the time runs on."""
    bench = RouterBench("R0 W0 W0 W0 W0")
    ident = bench.arrive(prompt=3000.0)
    bench.ended(ident, 0, Outcome.READ)
    read_at = bench.now
    for attempt in (1, 2):
        bench.now += 0.251
        bench.ended(ident, attempt, Outcome.UNREACHED)
    verbs = [(number, line.split()[1]) for number, line in enumerate(bench.lines) if "  -> " in line]
    released = [number for number, verb in verbs if verb == "release"]
    assert len(released) == 1 and bench.now - read_at < 0.51
    sends = [number for number, verb in verbs if verb == "send"]
    assert len(sends) == 4 and sends[2] < released[0] < sends[3]  # one more writer was tried before
    assert bench.sends()[ident][0] == 0 == bench.sends()[ident][3]  # then it is read anew


def test_a_read_state_that_is_gone_is_read_again() -> None:
    bench = RouterBench("R0 W0")
    ident = bench.arrive(prompt=3000.0)
    bench.ended(ident, 0, Outcome.READ)
    bench.ended(ident, 1, Outcome.FULL, cached=1.0)
    bench.assert_matches_trace("state_gone")


def test_a_refusal_counts_for_whom_it_was_given_to() -> None:
    bench = RouterBench("W0 W0", quotas=(50.0, 50.0))
    ident = bench.arrive(prompt=300.0)
    refused = bench.sequence(ident).attempts[0].engine.index
    bench.ended(ident, 0, Outcome.FULL, load=LoadReport(memory_share=0.2))
    for traffic in (0, 0, 0, 1, 1):
        engine = bench.send_and_answer(traffic=traffic, prompt=300.0)
        bench.lines.append(f"engine {refused} refused type 0; type {traffic} went to {engine}")
    bench.assert_matches_trace("refusal")


def test_once_refused_it_goes_to_engines_that_accepted_such() -> None:
    bench = RouterBench("W0 W0 W0 W0")
    ident = bench.arrive(traffic=AT_MOST_ONCE, prompt=300.0)
    accepted = bench.sends()[ident][0]
    bench.began(ident, 0)
    bench.ended(ident, 0, Outcome.GENERATED, is_answered=True)
    while True:  # until chance picks another first
        ident = bench.arrive(traffic=AT_MOST_ONCE, prompt=300.0)
        if bench.sends()[ident][0] != accepted:
            break
    bench.ended(ident, 0, Outcome.FULL)
    assert bench.sends()[ident][1] == accepted


def test_with_two_attempts_left_a_refused_sequence_is_read_by_its_writer() -> None:
    bench = RouterBench("R0 R0 W0 W0", max_attempts=4)
    ident = bench.arrive(traffic=AT_MOST_ONCE, prompt=3000.0)
    # the reader refused, so did the next: reading elsewhere would leave one attempt
    bench.ended(ident, 0, Outcome.FULL)
    bench.ended(ident, 1, Outcome.FULL)
    assert len(bench.sends()[ident]) == 3 and bench.sends()[ident][2] in (2, 3)
    bench.ended(ident, 2, Outcome.FULL)
    assert set(bench.sends()[ident][2:]) == {2, 3}  # the last goes to the other writer
    bench.ended(ident, 3, Outcome.FULL)
    assert any(
        "-> reject" in line for line in bench.lines[-4:]
    )  # known not to have run: a rejection, at once
