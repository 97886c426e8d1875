"""What routers believe of engines: prefix caches, health, speed, free memory, and probed load."""

import pytest
from router_bench import PROBING, READER, RouterBench, arrival

from myrtlehub.routing import contract
from myrtlehub.routing.contract import LoadReport, Outcome


def test_a_flushed_cache_voids_older_entries() -> None:
    bench = RouterBench("R0 R0 W0")
    for prefix in (5, 6):
        ident = bench.arrive(prompt=4000.0, prefix=prefix, shared=3900.0)
        bench.now += 0.1
        bench.ended(ident, 0, Outcome.READ)
    ident = bench.arrive(prompt=4000.0, prefix=6, shared=3900.0)
    bench.ended(ident, 0, Outcome.READ, cached=0.0)  # 3900 were expected
    bench.arrive(prompt=4000.0)
    bench.arrive(prompt=4000.0, prefix=5, shared=3900.0)  # not to the reader that had it cached before
    bench.assert_matches_trace("flush")


def test_cache_entries_count_for_nothing_before_they_are_forgotten() -> None:
    """Sessions are ever new: a table that holds them all grows as long as the node runs."""
    bench = RouterBench("W0")
    cache, sizes = bench.router.estimates.engines[0].cache, []
    for i in range(1200):
        arrived = arrival(prompt=1000.0, session=1 + i, prefix=5000 + i // 3, shared=500.0)
        faded = {key for key, entry in cache.entries.items() if entry.seen_at <= bench.now - 60.0}
        assert not any(cache.find(arrived._replace(session=key, prefix=0), bench.now).tokens for key in faded)
        cache.add(arrived, bench.now)
        sizes.append(len(cache.entries))
        bench.now += 0.25
    # a minute at four a second, each with a session and a third of them with a prefix of their own
    assert max(sizes) <= 60 * 4 * 4 / 3 + 4 and cache.find(arrived, bench.now).tokens == 1000.0


def test_broken_connections_mean_a_cold_engine() -> None:
    bench = RouterBench("R0 W0 W0")
    idents = [bench.arrive(prompt=300.0) for _ in range(4)]
    bench.ended(idents[0], 0, Outcome.RESET)
    for _ in range(3):
        bench.arrive(prompt=300.0)
    bench.assert_matches_trace("broken_connections")


def test_one_reset_is_no_restart_and_three_in_a_row_are() -> None:
    """Connections break, and streams are cut, at engines that run on: they are not cold for that."""
    bench = RouterBench("W0 W0 W0")
    idents = [bench.arrive(prompt=300.0) for _ in range(9)]
    sends = bench.sends()
    index = sends[idents[0]][0]
    engine = bench.router.estimates.engines[index]
    sent_there = [ident for ident in idents if sends[ident] == [index]][:3]
    assert len(sent_there) == 3
    for count, ident in enumerate(sent_there):
        assert engine.started_at == 0.0 and count < 3
        bench.ended(ident, 0, Outcome.RESET)
    assert engine.started_at == bench.now


def test_a_failing_engine_is_ejected() -> None:
    bench = RouterBench("R0 W0 W0 W0")
    bench.now += 1.0
    for _ in range(8):
        ident = bench.arrive(prompt=300.0)
        is_bad = bench.sequence(ident).attempts[0].engine.index == 1
        bench.ended(ident, 0, Outcome.ERROR if is_bad else Outcome.GENERATED, is_answered=not is_bad)
    bench.now += 1.1
    bench.arrive(prompt=300.0)  # a trial is due
    bench.arrive(prompt=300.0)
    bench.assert_matches_trace("failing_engine")


def test_a_slow_writer_counts_less() -> None:
    bench = RouterBench("R0 W0 W0")
    for _ in range(8):
        ident = bench.arrive(prompt=300.0)
        is_slow = bench.sequence(ident).attempts[0].engine.index == 1
        bench.began(ident, 0)
        bench.ended(ident, 0, Outcome.GENERATED, is_answered=True, latency=20.0 if is_slow else 4.0)
    bench.assert_matches_trace("slow_writer")


def test_a_read_rate_is_that_of_most_reads_whatever_a_few_very_short_ones_show() -> None:
    bench = RouterBench("R0 W0")
    for prompt, latency in ((2000.0, 0.02), (2000.0, 0.2), (2000.0, 0.2), (2000.0, 0.3)) * 30:
        ident = bench.arrive(prompt=prompt)
        bench.ended(ident, 0, Outcome.READ, latency=latency)
        bench.client_left(ident)
    # the mean of 100,000, 10,000 twice and 6,700 would be 32,000
    assert 5000.0 < bench.router.estimates.read_rates.get(READER) < 12000.0


def test_a_node_with_more_than_its_even_part_does_not_take_the_fleet_to_be_full() -> None:
    """Tenants may send 100 a second in all; it gets 10 of them, and 199 other nodes can't get as many."""
    bench = RouterBench("R0 W0 W0 W0 W0", node_count=200, quotas=(100.0,))
    load = LoadReport(memory_share=0.3, unread=0.0)
    for ident in range(200):
        bench.router.arrive(bench.now, ident, arrival(prompt=400.0, tenant=0))
        bench.router.ended(bench.now, ident, 0, Outcome.GENERATED, 0.1, True, 0.0, load)
        bench.now += 0.1
    actions = []
    for ident in range(200, 208):  # a few together: 199 times as much would fill all writers
        actions += bench.router.arrive(bench.now, ident, arrival(prompt=500.0, tenant=0))
    assert sum(isinstance(action, contract.Send) for action in actions) == 8


def test_only_a_few_engines_are_probed_for_a_sequence() -> None:
    bench = RouterBench("R0 R0 W0 R1 W1", **PROBING)
    first = bench.arrive(prompt=3000.0)  # waits for the load of two writers, their readers and one by chance
    for engine in sorted(engine.index for engine in bench.sequence(first).awaited_probes):
        bench.probe_ended(engine, LoadReport(memory_share=0.2, unread=0.0))
    bench.wait(0.05)  # nothing more is probed, or sent, for it
    bench.assert_matches_trace("asked_load")


@pytest.mark.parametrize(
    ("nodes", "price", "most"), [(2, 0.002, 5.0), (80, 0.005, 2.0), (80, 0.02, 0.5), (80, 0.0, 6.0)]
)
def test_probes_are_paced_by_their_price(nodes: int, price: float, most: float) -> None:
    bench = RouterBench("R0 R0 W0 R1 W1 W1 W0 R0", **{**PROBING, "probe_price": price, "node_count": nodes})
    for _ in range(40):
        bench.now += 1.0
        bench.arrive(prompt=3000.0)
    sent = sum("-> probe" in line for line in bench.lines)
    assert sent <= most * 40 + 18, (price, sent)  # a few more than it may: those saved up at first


def test_a_probe_without_an_answer_means_a_full_writer() -> None:
    bench = RouterBench("R0 W0 W0", **PROBING)
    ident = bench.arrive(prompt=300.0)
    bench.probe_ended(1, None)  # silent: it waited in the queue, as a request would
    bench.probe_ended(2, LoadReport(memory_share=0.5, unread=100.0))
    bench.probe_ended(0, LoadReport(memory_share=0.1, unread=0.0))
    bench.wait(0.1)
    assert bench.sends()[ident] == [2]


def test_all_writers_are_considered_where_those_ranked_best_are_full() -> None:
    bench = RouterBench("R0" + " W0" * 10, **PROBING)
    ident = bench.arrive(prompt=300.0)
    candidates = [engine.index for engine in bench.sequence(ident).candidate_writers]
    assert len(candidates) == 8
    others = set(range(11)) - set(candidates)
    for engine in sorted(others):
        bench.probe_ended(engine, LoadReport(memory_share=0.1, unread=0.0))
    for writer in reversed(candidates):  # the best two, which are waited for, last
        bench.probe_ended(writer, LoadReport(memory_share=0.99, unread=0.0))
    assert bench.sends()[ident][0] in others - {0}
