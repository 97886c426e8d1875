"""Tests of the estimates of engines: prefix cache, health, speed, free memory and probed load."""

import pytest
from router_bench import PROBING, READER, RouterBench, arrival

from myrtlehub.routing import contract
from myrtlehub.routing.contract import LoadReport, Outcome


def test_a_flushed_cache_invalidates_older_entries() -> None:
    bench = RouterBench("R0 R0 W0")
    for prefix in (5, 6):
        sequence_id = bench.arrive(prompt=4000.0, prefix=prefix, shared=3900.0)
        bench.now += 0.1
        bench.ended(sequence_id, 0, Outcome.READ)
    sequence_id = bench.arrive(prompt=4000.0, prefix=6, shared=3900.0)
    bench.ended(sequence_id, 0, Outcome.READ, cached=0.0)  # 3900 were estimated
    bench.arrive(prompt=4000.0)
    bench.arrive(prompt=4000.0, prefix=5, shared=3900.0)  # not to the reader whose cache was flushed
    bench.assert_matches_trace("flush")


def test_cache_entries_are_evicted_after_they_have_expired() -> None:
    """Without eviction, the table would grow without limit, because new sessions keep arriving."""
    bench = RouterBench("W0")
    cache, sizes = bench.router.estimates.engines[0].cache, []
    for i in range(1200):
        arrived = arrival(prompt=1000.0, session=1 + i, prefix=5000 + i // 3, shared=500.0)
        expired = {key for key, entry in cache.entries.items() if entry.confirmed_at <= bench.now - 60.0}
        assert not any(
            cache.find(arrived._replace(session=key, prefix=0), bench.now).tokens for key in expired
        )
        cache.add(arrived, bench.now)
        sizes.append(len(cache.entries))
        bench.now += 0.25
    # One minute with 4 prompts per second, each with a new session and every third with a new prefix.
    assert max(sizes) <= 60 * 4 * 4 / 3 + 4 and cache.find(arrived, bench.now).tokens == 1000.0


def test_after_a_reset_other_writers_are_preferred() -> None:
    bench = RouterBench("R0 W0 W0")
    sequence_ids = [bench.arrive(prompt=300.0) for _ in range(4)]
    bench.ended(sequence_ids[0], 0, Outcome.RESET)
    for _ in range(3):
        bench.arrive(prompt=300.0)
    bench.assert_matches_trace("broken_connections")


def test_one_reset_is_no_restart_and_three_in_a_row_are() -> None:
    """Connections also break while engines keep running, and such engines are not cold."""
    bench = RouterBench("W0 W0 W0")
    sequence_ids = [bench.arrive(prompt=300.0) for _ in range(9)]
    sends = bench.sends()
    index = sends[sequence_ids[0]][0]
    engine = bench.router.estimates.engines[index]
    sent_there = [sequence_id for sequence_id in sequence_ids if sends[sequence_id] == [index]][:3]
    assert len(sent_there) == 3
    for count, sequence_id in enumerate(sent_there):
        assert engine.started_at == 0.0 and count < 3
        bench.ended(sequence_id, 0, Outcome.RESET)
    assert engine.started_at == bench.now


def test_a_failing_engine_is_ejected() -> None:
    bench = RouterBench("R0 W0 W0 W0")
    bench.now += 1.0
    for _ in range(8):
        sequence_id = bench.arrive(prompt=300.0)
        is_bad = bench.sequence(sequence_id).attempts[0].engine.index == 1
        bench.ended(sequence_id, 0, Outcome.ERROR if is_bad else Outcome.GENERATED, is_answered=not is_bad)
    bench.now += 1.1
    bench.arrive(prompt=300.0)  # the engine is still ejected after a second
    bench.arrive(prompt=300.0)
    bench.assert_matches_trace("failing_engine")


def test_a_slow_writer_is_selected_less_often() -> None:
    bench = RouterBench("R0 W0 W0")
    for _ in range(8):
        sequence_id = bench.arrive(prompt=300.0)
        is_slow = bench.sequence(sequence_id).attempts[0].engine.index == 1
        bench.began(sequence_id, 0)
        bench.ended(sequence_id, 0, Outcome.GENERATED, is_answered=True, latency=20.0 if is_slow else 4.0)
    bench.assert_matches_trace("slow_writer")


def test_a_few_very_short_reads_do_not_change_the_read_rate() -> None:
    bench = RouterBench("R0 W0")
    for prompt, latency in ((2000.0, 0.02), (2000.0, 0.2), (2000.0, 0.2), (2000.0, 0.3)) * 30:
        sequence_id = bench.arrive(prompt=prompt)
        bench.ended(sequence_id, 0, Outcome.READ, latency=latency)
        bench.client_left(sequence_id)
    # The mean of 100,000, 10,000 twice and 6,700 would be 32,000.
    assert 5000.0 < bench.router.estimates.read_rates.get(READER) < 12000.0


def test_a_node_with_more_than_its_even_part_does_not_estimate_the_fleet_full() -> None:
    """Of a quota of 100 per second it gets 10, so 199 other nodes cannot get as many each."""
    bench = RouterBench("R0 W0 W0 W0 W0", node_count=200, quotas=(100.0,))
    load = LoadReport(memory_share=0.3, unread=0.0)
    for sequence_id in range(200):
        bench.router.arrive(bench.now, sequence_id, arrival(prompt=400.0, tenant=0))
        bench.router.ended(bench.now, sequence_id, 0, Outcome.GENERATED, 0.1, True, 0.0, load)
        bench.now += 0.1
    actions = []
    for sequence_id in range(200, 208):  # at once; 199 times as many would fill all writers
        actions += bench.router.arrive(bench.now, sequence_id, arrival(prompt=500.0, tenant=0))
    assert sum(isinstance(action, contract.Send) for action in actions) == 8


def test_only_a_few_engines_are_probed_for_a_sequence() -> None:
    bench = RouterBench("R0 R0 W0 R1 W1", **PROBING)
    first = bench.arrive(prompt=3000.0)  # two writers, their readers and a random engine are probed
    for engine in sorted(engine.index for engine in bench.sequence(first).pending_probes):
        bench.probe_ended(engine, LoadReport(memory_share=0.2, unread=0.0))
    bench.wait(0.05)  # there are no more probes or attempts
    bench.assert_matches_trace("asked_load")


@pytest.mark.parametrize(
    ("nodes", "price", "max_probes"), [(2, 0.002, 5.0), (80, 0.005, 2.0), (80, 0.02, 0.5), (80, 0.0, 6.0)]
)
def test_the_price_of_probes_limits_their_rate(nodes: int, price: float, max_probes: float) -> None:
    bench = RouterBench("R0 R0 W0 R1 W1 W1 W0 R0", **{**PROBING, "probe_price": price, "node_count": nodes})
    for _ in range(40):
        bench.now += 1.0
        bench.arrive(prompt=3000.0)
    sent = sum("-> probe" in line for line in bench.lines)
    assert sent <= max_probes * 40 + 18, (price, sent)  # 18: the capacity of the token bucket


def test_a_writer_whose_probe_times_out_is_assumed_full() -> None:
    bench = RouterBench("R0 W0 W0", **PROBING)
    sequence_id = bench.arrive(prompt=300.0)
    bench.probe_ended(1, None)  # a timeout: engines queue probes like requests
    bench.probe_ended(2, LoadReport(memory_share=0.5, unread=100.0))
    bench.probe_ended(0, LoadReport(memory_share=0.1, unread=0.0))
    bench.wait(0.1)
    assert bench.sends()[sequence_id] == [2]


def test_all_writers_are_considered_if_the_best_ranked_are_full() -> None:
    bench = RouterBench("R0" + " W0" * 10, **PROBING)
    sequence_id = bench.arrive(prompt=300.0)
    candidates = [engine.index for engine in bench.sequence(sequence_id).candidate_writers]
    assert len(candidates) == 8
    others = set(range(11)) - set(candidates)
    for engine in sorted(others):
        bench.probe_ended(engine, LoadReport(memory_share=0.1, unread=0.0))
    for writer in reversed(candidates):  # last the best two, whose probes are pending
        bench.probe_ended(writer, LoadReport(memory_share=0.99, unread=0.0))
    assert bench.sends()[sequence_id][0] in others - {0}
