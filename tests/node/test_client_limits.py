"""Limits on clients: the resource ledger balances, and slow or excessive clients are cut off."""

import pytest
from batch_calls import embed, rank, texts
from fleet import ChatCallWatcher, Fleet
from fleet_checks import assert_nothing_left, assert_rules_kept, check_rules
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.limits.minimum_rate import CHECK_INTERVAL, MinimumRateMonitor
from myrtlehub.limits.resource_ledger import (
    Counters,
    MemoryBudgets,
    ResourceLedger,
    StreamUsage,
    select_streams_to_shed,
)
from myrtlehub.proto import admin_pb2
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.status import Code
from myrtlehub.rpc.transport_limits import TransportLimits

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["open", "put", "take", "drop", "close"]), st.integers(0, 5), st.integers(1, 5000)
    ),
    max_size=120,
)


@given(EVENTS)
def test_the_ledger_balances_after_any_reads_writes_drops_and_closes(events: list) -> None:
    ledger, streams = ResourceLedger(MemoryBudgets(20_000, 0.5, 0.5)), {}
    came = left = 0
    for what, key, size in events:
        if what == "open" and key not in streams:
            streams[key] = [0, 0, 0, 0]  # came, left, dropped, held
            ledger.open(key, f"p{key % 2}", f"t{key % 3}" if key % 3 else "")
        elif key in streams:
            s = streams[key]
            size = size if what == "put" else min(size, s[3])
            if what == "put":
                s[0] += size
                s[3] += size
                came += size
            elif what == "close":
                ledger.close(key)
                del streams[key]
                assert not ledger.find_imbalances()
                continue
            else:
                s[1 if what == "take" else 2] += size
                s[3] -= size
                left += size * (what == "take")
            ledger.update(key, Counters(*s))
        assert not ledger.find_imbalances()
    node = ledger.node
    assert (node.received, node.delivered) == (came, left) and node.in_use == sum(
        s[3] for s in streams.values()
    )
    for what, name, size in ledger.overruns():
        keys = select_streams_to_shed(
            [StreamUsage(k, ledger.usage(k), 1.0, 0.0) for k in ledger.streams_of(what, name)], size
        )
        assert sum(ledger.usage(k) for k in keys) >= size
        assert sum(ledger.usage(k) for k in keys[:-1]) < size  # no more than needed
    for key in list(streams):
        ledger.close(key)
    assert not ledger.find_imbalances() and not node.in_use and not ledger.peers and not ledger.tenants


def test_an_imbalance_is_found() -> None:
    ledger = ResourceLedger(MemoryBudgets(20_000, 0.5, 0.5))
    ledger.open("a", "p", "t")
    ledger.update("a", Counters(100, 40, 0, 50))
    assert ledger.find_imbalances() == [
        "a: 100 came, 40 left, 0 dropped, 50 held",
        "node: 100 came, 40 left, 0 dropped, 50 held",
    ]


def test_which_streams_are_shed_first() -> None:
    streams = [
        StreamUsage("dear", 900, 3.0, 0.0),
        StreamUsage("cheap", 500, 1.0, 0.0),
        StreamUsage("stuck", 100, 3.0, 2.0),
        StreamUsage("empty", 0, 0.1, 9.0),
    ]
    assert select_streams_to_shed(streams, 50) == ["stuck"]
    assert select_streams_to_shed(streams, 150) == ["stuck", "cheap"]
    assert select_streams_to_shed(streams, 10**6) == ["stuck", "cheap", "dear"]


def too_slow_at(takes: list[tuple[float, int]], until: float, least: float = 50.0) -> float | None:
    """When a peer that takes so many bytes at these moments, with more waiting, is found too slow."""
    pace, at, taken = MinimumRateMonitor(5.0, least), 0.0, 0
    while at < until:
        taken = sum(n for when, n in takes if when <= at)
        if pace.is_too_slow(at, taken, 1000):
            return at
        at += CHECK_INTERVAL
    return None


def test_which_client_is_too_slow_and_which_only_stalls() -> None:
    assert too_slow_at([], 60.0) == 5.0
    assert too_slow_at([(float(i), 1) for i in range(60)], 60.0) == 5.0  # a byte a second
    assert too_slow_at([(float(i), 60) for i in range(60)], 60.0) is None
    stalls = [(i / 4, 200) for i in range(240) if not 20 <= i / 4 < 23]
    assert too_slow_at(stalls, 60.0) is None  # three seconds, and on
    assert too_slow_at([(i / 4, 200) for i in range(40)], 60.0) == 14.5  # stops for good at 9.75
    assert too_slow_at([], 60.0, least=0.0) is None
    pace = MinimumRateMonitor(5.0, 50.0)
    for i in range(200):  # nothing waits for it: that it takes nothing is not its doing
        assert not pace.is_too_slow(i * CHECK_INTERVAL, 0, 0)
    assert pace.stalled_seconds(50.0) == 0.0


def run_with_balanced_ledger(fleet: Fleet, seconds: float) -> None:
    """Let time pass, and check the ledger after every step."""
    for _ in range(round(seconds / 0.25)):
        fleet.run(0.25)
        for node in fleet.nodes.values():
            assert not node.client_limits.ledger.find_imbalances()


def slow_fleet(more: str = "", **machine: object) -> Fleet:
    fleet = Fleet(
        "W0", step="1ms", slots=8, more_settings=f"limits: {{rate_window: 5s, linger: 2s{more}}}", **machine
    )
    fleet.channels["n0"].limits = TransportLimits(stream_window=4096)
    return fleet


def ask_without_reading(fleet: Fleet, output: int = 60000) -> ChatCallWatcher:
    """Ask as a client whose window takes 4 KiB, and who then reads nothing."""
    caller = fleet.generate("post", prompt=100, output=output)
    caller.call.pauseProducing()
    return caller


def test_a_client_that_reads_nothing_is_aborted_and_its_writer_is_free_again() -> None:
    fleet = slow_fleet()
    stuck, others = ask_without_reading(fleet), [fleet.generate(prompt=100, output=200) for _ in range(3)]
    run_with_balanced_ledger(fleet, 5.0)
    assert fleet.engines["W0a"].model.decode.running and not fleet.nodes["n0"].client_limits.cuts
    run_with_balanced_ledger(fleet, 3.0)
    assert not fleet.engines["W0a"].model.decode.running  # the engine was told to stop
    stuck.call.resumeProducing()
    run_with_balanced_ledger(fleet, 1.0)
    assert stuck.answer == "aborted" and stuck.status.code == Code.OK  # it is told, once it reads
    assert all(c.answer == "generated" for c in others)
    limits = fleet.nodes["n0"].client_limits
    assert limits.counts["slow"] == 1 and "under 50 bytes a second" in limits.cuts[0][3]
    assert limits.ledger.node.in_use == 0 and limits.ledger.node.dropped > 1000 and not limits.calls
    late = [b.text for b in check_rules(fleet).breaches]
    assert late == ["c0: first token 4.000 s late"]  # by its own doing: it read nothing for 8 s
    assert_nothing_left(fleet)


def test_a_client_that_ignores_its_final_answer_is_reset() -> None:
    fleet = slow_fleet()
    stuck = ask_without_reading(fleet)
    run_with_balanced_ledger(fleet, 12.0)
    assert not fleet.nodes["n0"].server.calls and not fleet.nodes["n0"].client_limits.calls
    assert not fleet.nodes["n0"].client_limits.ledger.node.in_use
    stuck.call.resumeProducing()
    run_with_balanced_ledger(fleet, 1.0)
    assert stuck.status.code != Code.OK and stuck.answer == ""
    assert_nothing_left(fleet)


def test_a_client_that_stalls_for_three_seconds_gets_all() -> None:
    fleet = slow_fleet(step_crowd=0.0)
    caller = fleet.generate(prompt=100, output=20000)
    for _ in range(4):
        fleet.run(1.0)
        caller.call.pauseProducing()
        run_with_balanced_ledger(fleet, 3.0)
        caller.call.resumeProducing()
    run_with_balanced_ledger(fleet, 8.0)
    assert caller.answer == "generated" and not fleet.nodes["n0"].client_limits.cuts
    assert_nothing_left(fleet)


def test_a_peer_over_its_budget_loses_the_streams_of_least_utility() -> None:
    fleet = slow_fleet(", held_bytes: 40kB, peer_share: 0.5, least_rate: 0")
    worth, less = (
        ask_without_reading(fleet),
        [fleet.generate("ask", prompt=100, output=60000) for _ in range(2)],
    )
    for c in less:
        c.call.pauseProducing()
    run_with_balanced_ledger(fleet, 3.0)
    limits = fleet.nodes["n0"].client_limits
    assert limits.counts["memory"] >= 1 and limits.ledger.node.in_use <= 20_000 + 3 * 500
    for c in (worth, *less):
        c.call.resumeProducing()
    run_with_balanced_ledger(fleet, 1.0)
    assert "aborted" in {c.answer for c in less} and worth.answer == ""  # utility 3 against 1
    assert "the peer holds more than its 20000 bytes here" in {c[3] for c in limits.cuts}
    for c in (worth, *less):
        if not c.answer:
            fleet.cancel(c)
    run_with_balanced_ledger(fleet, 2.0)
    assert_nothing_left(fleet)


def test_a_hundred_long_prompts_are_rejected_at_the_bound_and_nothing_runs() -> None:
    fleet = Fleet("R0 W0", more_settings="limits: {held_bytes: 1MB, peer_share: 1.0}")
    fleet.inject_fault("R0a", "hang", seconds=3.0)
    fleet.run(0.05)
    calls = [fleet.generate(prompt=3000, output=10, text=b"x" * 50_000) for _ in range(100)]
    run_with_balanced_ledger(fleet, 0.5)
    limits = fleet.nodes["n0"].client_limits
    assert limits.counts["turned away"] == 81 and len(fleet.nodes["n0"].executor.in_flight) == 19
    assert (
        sum(c.answer == "rejected" for c in calls) == 81 and 900_000 < limits.ledger.node.in_use <= 1_000_000
    )
    run_with_balanced_ledger(fleet, 8.0)
    assert all(c.answer for c in calls) and limits.ledger.node.in_use == 0
    assert len({r.more["mark"] for r in fleet.records("got")}) == 19
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_batches_are_limited_too_and_admin_reports_who_was_cut_off() -> None:
    fleet = Fleet("R0 W0 E0 K0", more_settings="limits: {rate_window: 2s}")
    fleet.channels["n0"].limits = TransportLimits(stream_window=1024)
    stuck, fine = rank(fleet, b"q", texts(1500), is_stream=True), embed(fleet, texts(20))
    stuck.call.pauseProducing()
    run_with_balanced_ledger(fleet, 4.0)
    assert fine.final == "generated" and fleet.nodes["n0"].client_limits.counts["slow"] == 1
    channel, got = Channel(fleet.clock, fleet.net.dialer("n0:2"), "n0"), []
    channel.unary("/myrtlehub.v1.NodeAdmin/Limits", b"").addCallback(got.append)
    fleet.run(0.1)
    state = admin_pb2.LimitsState.FromString(got[0])
    assert state.came == state.left + state.dropped + state.held and state.came > 10_000
    assert state.counts["slow"] == 1 and state.cuts[0].peer.startswith("client:")
    assert "bytes a second" in state.cuts[0].why
    stuck.call.resumeProducing()
    run_with_balanced_ledger(fleet, 6.0)
    assert_nothing_left(fleet)


@pytest.mark.parametrize("most", ["connections: 3", "peer_connections: 3"])
def test_connections_past_the_bound_are_closed_and_others_continue(most: str) -> None:
    fleet = Fleet("W0", more_settings=f"limits: {{{most}}}")
    node = fleet.nodes["n0"]
    callers = []
    for i in range(6):
        dialer = fleet.net.dialer("n0:1", f"c{i}" if most[0] == "c" else "same")
        fleet.channels["n0"] = Channel(fleet.clock, dialer, "n0")
        callers.append(fleet.generate(prompt=100, output=40, time_left=2.0, timeout=2.0))
        fleet.run(0.02)
    fleet.run(3.0)
    assert len(node.server.connections) <= 3
    assert [c.answer for c in callers[:3]] == ["generated"] * 3
    turned = [c for c in callers[3:] if c.answer == ""]
    assert turned and {c.status.code for c in turned} <= {Code.UNAVAILABLE, Code.DEADLINE_EXCEEDED}
