"""Traces of decisions: the ordinary path, the five rules, and each failure found so far."""

from random import Random

from helpers import READER, TERMS, WRITER, Bench

from myrtlehub.routing import contract
from myrtlehub.routing.router import Router


def test_what_another_node_had_begun_is_gone_on_with() -> None:
    """A held state goes straight to a writer of its cell; what may have run stays in its group and window."""
    b = Bench("R0 R0 W0 R1 W1")
    a = contract.Arrival(1, -1, 5000.0, 10.0, 0, 0, 0.0, 400.0, 0.0, state_held_by=3)
    assert [r.engine for r in b.router.arrive(b.now, 1, a) if isinstance(r, contract.Send)] == [4]  # no read
    done = b.router.ended(b.now + 0.1, 1, 0, contract.Outcome.GENERATED, 0.1, True, 0.0, None)
    assert contract.Release(1) in done and contract.Forget(1) in done
    for ago, sent in ((1.0, True), (6.0, False)):
        a = contract.Arrival(
            2, -1, 300.0, 10.0, 0, 0, 0.0, 400.0, 0.0, may_have_run_at=2, may_have_run_ago=ago
        )
        results = b.router.arrive(b.now, int(ago) + 10, a)
        assert [r.engine for r in results if isinstance(r, contract.Send)] == [2] * sent, results
        assert bool([r for r in results if isinstance(r, contract.Abort)]) == (not sent), results


def test_ordinary_path() -> None:
    b = Bench("R0 R0 W0 R1")
    b.take(prompt=300.0)
    s = b.take(prompt=4000.0, prefix=9, shared=3000.0)
    b.now += 0.2
    b.ended(s, 0, contract.Outcome.READ)
    b.began(s, 1)
    b.ended(s, 1, contract.Outcome.GENERATED, settled=True)
    b.take(prompt=4000.0, prefix=9, shared=3000.0)  # the same reader keeps most
    b.take(prompt=4000.0)  # no one keeps it: the reader with fewest reads out
    b.take(prompt=599.0)
    b.take(prompt=600.0)
    b.check("ordinary_path")


def test_writer_that_cannot_read_always_splits() -> None:
    b = Bench("R0 W0", writers_can_read=False)
    b.take(prompt=50.0)
    b.list(0, state=contract.EngineState.DRAINING)
    b.take(prompt=50.0)
    b.check("writer_that_cannot_read")


def test_other_cell_only_without_room_and_flooded_readers() -> None:
    b = Bench("R0 W0 R1")
    for _ in range(6):
        b.take(prompt=9000.0)
    b.check("other_cell")


def test_one_final_answer() -> None:
    b = Bench("R0 W0")
    s = b.take(traffic=1, prompt=3000.0, left=1.5)
    b.wait(0.2)
    b.ended(s, 0, contract.Outcome.READ)
    b.wait(2.0)
    b.ended(s, 1, contract.Outcome.TIMEOUT)
    b.left(s)
    b.list(1, state=contract.EngineState.DRAINING)
    b.take(prompt=3000.0, left=0.06)
    b.wait(0.2, step=0.004)
    b.check("one_final_answer")


def test_no_effect_twice() -> None:
    b = Bench("R0 W0 W0")
    s = b.take(traffic=1, prompt=300.0)
    b.ended(s, 0, contract.Outcome.FULL)  # known not to have run
    b.ended(s, 1, contract.Outcome.ERROR)  # may have run: neither sent again, nor read, nor rejected
    s = b.take(traffic=1, prompt=3000.0, left=1.0)
    b.wait(1.2)  # aborted with its read out
    b.ended(s, 0, contract.Outcome.CANCELLED, settled=True)
    s = b.take(traffic=0, prompt=300.0)
    b.ended(s, 0, contract.Outcome.ERROR)  # repeatable
    b.check("no_effect_twice")


def test_tokened_goes_again_only_in_its_group_and_window() -> None:
    b = Bench("W0 W0 W1")
    s = b.take(traffic=2, prompt=300.0)
    b.ended(s, 0, contract.Outcome.ERROR)
    b.ended(s, 1, contract.Outcome.ERROR)
    late = b.take(traffic=2, prompt=300.0)
    b.now += 5.5
    b.ended(late, 0, contract.Outcome.ERROR)
    b.check("tokened")


def test_a_repeat_is_there_before_its_window_ends_though_its_connection_is_slow_to_stand() -> None:
    for after, goes in ((4.6, True), (4.75, False)):
        b = Bench("W0 W0", connect_timeout=0.25)
        s = b.take(traffic=2, prompt=100.0)
        b.now += after
        b.ended(s, 0, contract.Outcome.RESET)
        assert len(b.sends()[s]) == 1 + goes, after


def test_drains_and_cold_engines() -> None:
    b = Bench("R0 W0 W0")
    b.list(1, state=contract.EngineState.DRAINING)
    for _ in range(3):
        b.take(prompt=300.0)
    b.list(1, state=contract.EngineState.SERVING, started_at=b.now)
    b.list(2, state=contract.EngineState.GONE)
    for _ in range(3):
        b.take(prompt=300.0)
    b.wait(9.0)
    b.check("drains_and_cold")


def test_broken_connections_mean_cold() -> None:
    b = Bench("R0 W0 W0")
    seqs = [b.take(prompt=300.0) for _ in range(4)]
    b.ended(seqs[0], 0, contract.Outcome.RESET)
    for _ in range(3):
        b.take(prompt=300.0)
    b.check("broken_connections")


def test_nothing_left_pinned() -> None:
    b = Bench("R0 W0")
    s = b.take(prompt=3000.0)
    b.list(1, state=contract.EngineState.DRAINING)
    b.ended(s, 0, contract.Outcome.READ)  # read, and no writer to take it
    b.wait(0.6)
    s = b.take(prompt=3000.0)
    b.list(1, state=contract.EngineState.SERVING)
    s = b.take(prompt=3000.0)
    b.left(s)
    b.ended(s, 0, contract.Outcome.READ, settled=True)  # the cancelled read finished all the same
    b.check("nothing_left_pinned")


def test_a_state_is_let_go_in_time_while_writers_cannot_be_reached() -> None:
    """Each connection that does not come up takes a quarter of a second, and the time runs on."""
    b = Bench("R0 W0 W0 W0 W0")
    seq = b.take(prompt=3000.0)
    b.ended(seq, 0, contract.Outcome.READ)
    read_at = b.now
    for attempt in (1, 2):
        b.now += 0.251
        b.ended(seq, attempt, contract.Outcome.UNREACHED)
    released = [i for i, line in enumerate(b.lines) if line.startswith("         -> release")]
    assert len(released) == 1 and b.now - read_at < 0.51
    sends = [i for i, line in enumerate(b.lines) if line.startswith("         -> send")]
    assert len(sends) == 4 and sends[2] < released[0] < sends[3]  # one more writer was tried before
    assert b.sends()[seq][0] == 0 == b.sends()[seq][3]  # then it is read anew


def test_state_gone_is_read_again() -> None:
    b = Bench("R0 W0")
    s = b.take(prompt=3000.0)
    b.ended(s, 0, contract.Outcome.READ)
    b.ended(s, 1, contract.Outcome.FULL, kept=1.0)
    b.check("state_gone")


def test_flush_voids_older_claims() -> None:
    b = Bench("R0 R0 W0")
    for prefix in (5, 6):
        s = b.take(prompt=4000.0, prefix=prefix, shared=3900.0)
        b.now += 0.1
        b.ended(s, 0, contract.Outcome.READ)
    s = b.take(prompt=4000.0, prefix=6, shared=3900.0)
    b.ended(s, 0, contract.Outcome.READ, kept=0.0)  # claimed 3900, kept nothing
    b.take(prompt=4000.0)
    b.take(prompt=4000.0, prefix=5, shared=3900.0)  # not to the reader that kept it before
    b.check("flush")


def test_what_has_faded_away_is_forgotten_and_claims_nothing_before() -> None:
    """Sessions are ever new: a table that keeps them all grows as long as the node runs."""
    b = Bench("W0")
    table, held = b.router.table, []
    for i in range(1200):
        a = contract.Arrival(0, -1, 1000.0, 10.0, 1 + i, 5000 + i // 3, 500.0, 100.0, 0.0)
        faded = {k for k, (_, seen) in table.rows[0].items() if seen <= b.now - 60.0}
        assert not any(table.claim(0, a._replace(session=k, prefix=0), b.now)[0] for k in faded)
        table.feed(0, a, b.now)
        held.append(len(table.rows[0]))
        b.now += 0.25
    # a minute at four a second, each with a session and a third of them with a prefix of their own
    assert max(held) <= 60 * 4 * 4 / 3 + 4 and table.claim(0, a, b.now)[0] == 1000.0


def test_full_memory_holds_new_work_then_turns_it_away() -> None:
    b = Bench("R0 W0")
    s = b.take(prompt=300.0)
    b.began(s, 0)
    b.ended(s, 0, contract.Outcome.GENERATED, settled=True, load=contract.LoadReport(memory_share=0.95))
    b.take(prompt=300.0)
    b.wait(1.0)
    b.wait(1.0)
    b.check("full_memory")


def test_failing_engine_is_left_alone() -> None:
    b = Bench("R0 W0 W0 W0")
    b.now += 1.0
    for _ in range(8):
        s = b.take(prompt=300.0)
        bad = b.router.seqs[s].attempts[0].engine == 1
        b.ended(s, 0, contract.Outcome.ERROR if bad else contract.Outcome.GENERATED, settled=not bad)
    b.now += 1.1
    b.take(prompt=300.0)  # a trial is due
    b.take(prompt=300.0)
    b.check("failing_engine")


def test_slow_writer_counts_less() -> None:
    b = Bench("R0 W0 W0")
    for _ in range(8):
        s = b.take(prompt=300.0)
        slow = b.router.seqs[s].attempts[0].engine == 1
        b.began(s, 0)
        b.ended(s, 0, contract.Outcome.GENERATED, settled=True, latency=20.0 if slow else 4.0)
    b.check("slow_writer")


def many(nodes: int, engines: str, **terms: object) -> list[Bench]:
    return [Bench(engines, node_count=nodes, seed=i, **terms) for i in range(nodes)]


def sent_to(b: Bench, **seq: object) -> int:
    """Take a sequence, answer it at once, and tell which engine it went to (-1: none)."""
    s = b.take(**seq)
    attempts = b.router.seqs[s].attempts
    if not attempts:
        return -1
    engine = attempts[0].engine
    b.began(s, 0)
    b.ended(s, 0, contract.Outcome.GENERATED, settled=True, load=contract.LoadReport(memory_share=0.5))
    return engine


def test_a_cold_engine_bears_what_all_processes_send_it_however_many_they_are() -> None:
    """Slow start over the fleet: N is what its budget allows, and beyond it only chance, 2 x root of N + 2.

    Each sequence draws once whether a cold engine is for it, with COLD_PART / engines times the budget's
    share: so the mean of what all processes send is 0.3 N x the load, whoever sends it. Here the load is 1.3
    of what the engines can do, with every other sequence tried again, and it doubles in the second second:
    0.3 N x 3.9 at its worst, for a second.
    """
    engines, can_do = 10, 20.0  # a second, each
    for nodes in (2, 20, 30, 200):
        random = Random(nodes)
        routers = [Router(TERMS._replace(seed=i, node=i, node_count=nodes)) for i in range(nodes)]
        parts = [random.random() ** 3 + 0.02 for _ in routers]  # some get several times the mean
        now, sent = 100.0, []
        rows = [
            contract.EndpointUpdate(
                i,
                True,
                contract.EngineState.SERVING,
                WRITER,
                0,
                0,
                0.0 if i else now,
                1.0,
                i * 2654435761 % 2**32,
            )
            for i in range(engines)
        ]
        for router in routers:
            router.update_endpoints(now, rows, True)
        for seq in range(1800):
            now += random.expovariate(1.3 * 1.5 * engines * can_do * (2.0 if 101.0 < now < 102.0 else 1.0))
            a = contract.Arrival(0, -1, 300.0, 10.0, 0, 0, 0.0, 400.0, 0.0)
            router = random.choices(routers, parts)[0]
            sends = [r for r in router.arrive(now, seq, a) if isinstance(r, contract.Send)]
            if router._slow_start(0, router.seqs[seq], now):
                sent.append(now)  # as if whoever may go to the cold one did
            else:
                assert all(r.engine for r in sends)
            for _ in sends:
                router.ended(now, seq, 0, contract.Outcome.GENERATED, 0.1, True, 0.0, None)
        assert now > 103.0 and len(sent) > 20
        for at in sent:
            share = TERMS.cold_share + (1.0 - TERMS.cold_share) * 0.5 * (at - 100.0) / TERMS.cold_time
            budget = TERMS.overload_multiple * share * can_do * TERMS.overload_window
            came = sum(at <= other < at + TERMS.overload_window for other in sent)
            assert came <= budget + 2.0 * budget**0.5 + 2.0, (nodes, at, came, budget)


def test_cold_budget_of_all_nodes_together() -> None:
    lines = Bench("R0")
    for nodes in (2, 160):
        benches, spans = many(nodes, "R0 W0 W0 W0"), []
        for tick in range(320):  # eight sequences a second, from node to node; engine 1 starts at 30 s
            for b in benches:
                b.now = 100.0 + tick / 8
                if tick == 240:
                    b.list(1, started_at=b.now)
            engine = sent_to(benches[tick % nodes], prompt=300.0)
            if tick >= 240:
                spans.append(engine == 1)
        told = " ".join(str(sum(spans[i : i + 8])) for i in range(0, 80, 8))
        lines.lines.append(f"{nodes} nodes, sends to a cold engine second by second: {told}")
    lines.check("cold_budget")


def test_share_of_a_tenant_at_any_node_count() -> None:
    lines = Bench("R0")
    for nodes in (2, 160):
        for times in (1.0, 4.0):
            b = Bench("R0 W0", node_count=nodes, quotas=(20.0,))
            over, pace = 0, 20.0 / nodes * times
            count = max(16, int(20 * pace))
            for i in range(count):
                b.now = 100.0 + i / pace
                a = contract.Arrival(0, 0, 300.0, 10.0, 0, 0, 0.0, 400.0, 0.0)
                b.router.arrive(b.now, i, a)
                over += b.router.seqs[i].over_share
                b.router.client_left(b.now, i)
                b.router.ended(b.now, i, 0, contract.Outcome.CANCELLED, 0.0, True, 0.0, None)
            lines.lines.append(f"{nodes} nodes, {times:g} times its share: {over} of {count} beyond it")
    lines.check("tenant_share")


def test_many_nodes_that_know_nothing_spread() -> None:
    lines = Bench("R0")
    for what, seq in (("writers", {"prompt": 300.0}), ("readers", {"prompt": 3000.0})):
        counts = [0] * 8
        for b in many(160, "R0 R0 R1 R1 W0 W0 W1 W1"):
            b.now += 1.0
            counts[sent_to(b, prefix=b.router.terms.node, **seq)] += 1
        lines.lines.append(f"{what}: {counts}")
    lines.check("spread")


def test_cell_with_few_readers_reads_its_part() -> None:
    lines, counts = Bench("R0"), [0] * 7
    for b in many(160, "R0 W0 W0 W0 R1 R1 R1"):
        counts[sent_to(b, prompt=3000.0)] += 1
    lines.lines.append(f"one reader beside all writers, three apart: {counts}")
    lines.check("few_readers")


def test_refusal_counts_for_whom_it_was_given_to() -> None:
    b = Bench("W0 W0", quotas=(50.0, 50.0))
    s = b.take(prompt=300.0)
    refused = b.router.seqs[s].attempts[0].engine
    b.ended(s, 0, contract.Outcome.FULL, load=contract.LoadReport(memory_share=0.2))
    for traffic in (0, 0, 0, 1, 1):
        engine = sent_to(b, traffic=traffic, prompt=300.0)
        b.lines.append(f"engine {refused} refused type 0; type {traffic} went to {engine}")
    b.check("refusal")


def test_idle_node_sets_no_timer() -> None:
    b = Bench("R0 W0")
    s = b.take(prompt=300.0)
    b.began(s, 0)
    timers = [r for r in b.router.wake(b.now + 11.0, 0) if isinstance(r, contract.ScheduleWakeup)]
    b.lines.append(f"timers while an answer streams: {timers}")
    b.check("idle")


ASKED = {"report_on_probe": True, "may_probe": True, "probe_price": 0.002}


def test_load_is_asked_of_few_and_paced_by_the_price() -> None:
    b = Bench("R0 R0 W0 R1 W1", **ASKED)
    first = b.take(prompt=3000.0)  # waits for the word of two writers, their readers and one by chance
    for engine in sorted(b.router.seqs[first].awaits):
        b.probed(engine, contract.LoadReport(memory_share=0.2, unread=0.0))
    b.wait(0.05)  # nothing more is asked, or sent, for it
    b.check("asked_load")
    for nodes, price, most in ((2, 0.002, 5.0), (80, 0.005, 2.0), (80, 0.02, 0.5), (80, 0.0, 6.0)):
        b = Bench("R0 R0 W0 R1 W1 W1 W0 R0", **{**ASKED, "probe_price": price, "nodes": nodes})
        for _ in range(40):
            b.now += 1.0
            b.take(prompt=3000.0)
        sent = sum("-> probe" in line for line in b.lines)
        assert sent <= most * 40 + 18, (price, sent)  # a few more than it may: those saved up at first


def test_a_probe_without_an_answer_means_a_full_writer() -> None:
    b = Bench("R0 W0 W0", **ASKED)
    s = b.take(prompt=300.0)
    b.probed(1, None)  # silent: it waited in the queue, as a request would
    b.probed(2, contract.LoadReport(memory_share=0.5, unread=100.0))
    b.probed(0, contract.LoadReport(memory_share=0.1, unread=0.0))
    b.wait(0.1)
    assert b.sends()[s] == [2]


def test_nodes_that_share_nothing_agree_on_the_home_of_a_session() -> None:
    chosen = set()
    for node in range(12):
        b = Bench("R0 R0 R0 W0 W0 R1 R1 W1", node_count=80, node=node, seed=node)
        s = b.take(prompt=4000.0, session=77, prefix=9, shared=3000.0)
        chosen.add(b.sends()[s][0])
    assert len(chosen) <= 2  # one in each cell
    home = set()
    for session in range(1, 12):  # sessions of one prefix keep to its few readers, not all to one
        b = Bench("R0 R0 R0 W0")
        s = b.take(prompt=4000.0, session=session, prefix=9, shared=3000.0)
        home.add(b.sends()[s][0])
    assert len(home) > 1


def test_once_refused_it_goes_to_those_that_took_such() -> None:
    b = Bench("W0 W0 W0 W0")
    s = b.take(traffic=1, prompt=300.0)
    took = b.sends()[s][0]
    b.began(s, 0)
    b.ended(s, 0, contract.Outcome.GENERATED, settled=True)
    while True:  # until chance picks another first
        s = b.take(traffic=1, prompt=300.0)
        if b.sends()[s][0] != took:
            break
    b.ended(s, 0, contract.Outcome.FULL)
    assert b.sends()[s][1] == took


def test_a_rate_is_that_of_most_reads_whatever_a_few_very_short_ones_show() -> None:
    b = Bench("R0 W0")
    for prompt, latency in ((2000.0, 0.02), (2000.0, 0.2), (2000.0, 0.2), (2000.0, 0.3)) * 30:
        s = b.take(prompt=prompt)
        b.ended(s, 0, contract.Outcome.READ, latency=latency)
        b.left(s)
    # the mean of 100,000, 10,000 twice and 6,700 would be 32,000
    assert 5000.0 < b.router.rates[READER] < 12000.0


def test_one_slow_beginning_does_not_make_all_engines_look_too_slow() -> None:
    """A node that sees little would reject all that comes, and learn nothing more."""
    b = Bench("W0 W0", node_count=200)
    s = b.take(prompt=400.0)
    b.say("began late", b.router.began(b.now + 2.5, s, 0, 2.5))
    b.ended(s, 0, contract.Outcome.GENERATED, settled=True)
    b.now += 30.0
    assert b.take(prompt=450.0) in b.sends()


def test_a_node_with_more_than_its_even_part_does_not_take_the_fleet_to_be_full() -> None:
    """Tenants may send 100 a second in all; it gets 10 of them, and 199 other nodes can't get as many."""
    b = Bench("R0 W0 W0 W0 W0", node_count=200, quotas=(100.0,))
    for _ in range(200):
        s, b.count = b.count, b.count + 1
        b.router.arrive(b.now, s, contract.Arrival(0, 0, 400.0, 10.0, 0, 0, 0.0, 400.0, 0.0))
        b.router.ended(
            b.now,
            s,
            0,
            contract.Outcome.GENERATED,
            0.1,
            True,
            0.0,
            contract.LoadReport(memory_share=0.3, unread=0.0),
        )
        b.now += 0.1
    sent = []
    for _ in range(8):  # a few together: 199 times as much would fill all writers
        s, b.count = b.count, b.count + 1
        sent += b.router.arrive(b.now, s, contract.Arrival(0, 0, 500.0, 10.0, 0, 0, 0.0, 400.0, 0.0))
    assert sum(isinstance(r, contract.Send) for r in sent) == 8


def test_a_held_sequence_is_looked_at_once_something_was_heard() -> None:
    b = Bench("W0", **ASKED)
    b.probed(0, contract.LoadReport(memory_share=0.99, unread=0.0))
    s = b.take(prompt=300.0)
    b.probed(0, contract.LoadReport(memory_share=0.99, unread=0.0))
    b.wait(0.05)
    assert s in b.router.kept
    looked = b.router.seqs[s].looked
    b.wait(0.5)
    assert b.router.seqs[s].looked == looked  # nothing was heard, so nothing has changed
    b.probed(0, contract.LoadReport(memory_share=0.1, unread=0.0))
    b.wait(0.05)
    assert b.sends()[s] == [0]


def test_with_two_attempts_left_a_refused_one_is_read_by_its_writer() -> None:
    b = Bench("R0 R0 W0 W0", max_attempts=4)
    s = b.take(traffic=1, prompt=3000.0)
    b.ended(
        s, 0, contract.Outcome.FULL
    )  # the reader refused, so did the next: reading elsewhere would leave one attempt
    b.ended(s, 1, contract.Outcome.FULL)
    assert len(b.sends()[s]) == 3 and b.sends()[s][2] in (2, 3)
    b.ended(s, 2, contract.Outcome.FULL)
    assert set(b.sends()[s][2:]) == {2, 3}  # the last goes to the other writer
    b.ended(s, 3, contract.Outcome.FULL)
    assert any("-> reject" in line for line in b.lines[-4:])  # known not to have run: a rejection, at once


def test_where_load_is_asked_for_a_beginning_may_take_less_of_the_time_left() -> None:
    sent = []
    for terms in ({}, ASKED):
        b = Bench("W0", **terms)
        b.router.usual["unread", WRITER] = 40000.0  # 3.5 s, hoped to be half of that, of 2 s that are left
        s = b.take(prompt=500.0)
        b.wait(0.1)
        sent.append(s in b.sends())
    assert sent == [True, False]


def test_all_writers_are_looked_at_where_those_ranked_best_are_full() -> None:
    b = Bench("R0" + " W0" * 10, **ASKED)
    s = b.take(prompt=300.0)
    likely = list(b.router.seqs[s].likely)
    assert len(likely) == 8
    for e in sorted(set(range(11)) - set(likely)):
        b.probed(e, contract.LoadReport(memory_share=0.1, unread=0.0))
    for w in reversed(likely):  # the best two, which are waited for, last
        b.probed(w, contract.LoadReport(memory_share=0.99, unread=0.0))
    assert b.sends()[s][0] in set(range(1, 11)) - set(likely)


def test_one_reset_is_no_death_and_three_in_a_row_are() -> None:
    """Connections break, and streams are spoilt, at engines that run on: they are not cold for that."""
    b = Bench("W0 W0 W0")
    seqs = [b.take(prompt=300.0) for _ in range(9)]
    at = b.sends()
    engine = at[seqs[0]][0]
    there = [s for s in seqs if at[s] == [engine]][:3]
    assert len(there) == 3
    for count, seq in enumerate(there):
        assert b.router.started[engine] == 0.0 and count < 3
        b.ended(seq, 0, contract.Outcome.RESET)
    assert b.router.started[engine] == b.now
