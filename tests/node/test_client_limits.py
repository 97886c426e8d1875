"""Limits on clients: the resource ledger balances, and slow or excessive clients are disconnected."""

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
        st.sampled_from(["open", "receive", "deliver", "drop", "close"]),
        st.integers(0, 5),
        st.integers(1, 5000),
    ),
    max_size=120,
)


@given(EVENTS)
def test_the_ledger_balances_after_any_reads_writes_drops_and_closes(events: list) -> None:
    ledger, streams = ResourceLedger(MemoryBudgets(20_000, 0.5, 0.5)), {}
    received = delivered = 0
    for event, key, size in events:
        if event == "open" and key not in streams:
            streams[key] = [0, 0, 0, 0]  # received, delivered, dropped, in use
            ledger.open(key, f"p{key % 2}", f"t{key % 3}" if key % 3 else "")
        elif key in streams:
            counters = streams[key]
            size = size if event == "receive" else min(size, counters[3])
            if event == "receive":
                counters[0] += size
                counters[3] += size
                received += size
            elif event == "close":
                ledger.close(key)
                del streams[key]
                assert not ledger.find_imbalances()
                continue
            else:
                counters[1 if event == "deliver" else 2] += size
                counters[3] -= size
                delivered += size * (event == "deliver")
            ledger.update(key, Counters(*counters))
        assert not ledger.find_imbalances()
    node = ledger.node
    assert (node.received, node.delivered) == (received, delivered) and node.in_use == sum(
        counters[3] for counters in streams.values()
    )
    for scope, name, excess in ledger.overruns():
        keys = select_streams_to_shed(
            [StreamUsage(key, ledger.usage(key), 1.0, 0.0) for key in ledger.streams_of(scope, name)], excess
        )
        assert sum(ledger.usage(key) for key in keys) >= excess
        assert sum(ledger.usage(key) for key in keys[:-1]) < excess  # no more than needed
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
        StreamUsage("valuable", 900, 3.0, 0.0),
        StreamUsage("cheap", 500, 1.0, 0.0),
        StreamUsage("stalled", 100, 3.0, 2.0),
        StreamUsage("idle", 0, 0.1, 9.0),
    ]
    assert select_streams_to_shed(streams, 50) == ["stalled"]
    assert select_streams_to_shed(streams, 150) == ["stalled", "cheap"]
    assert select_streams_to_shed(streams, 10**6) == ["stalled", "cheap", "valuable"]


def too_slow_at(reads: list[tuple[float, int]], until: float, min_rate: float = 50.0) -> float | None:
    """Return when a client is found too slow that makes these reads (time and bytes) while data is queued."""
    monitor, now, sent = MinimumRateMonitor(5.0, min_rate), 0.0, 0
    while now < until:
        sent = sum(size for at, size in reads if at <= now)
        if monitor.is_too_slow(now, sent, 1000):
            return now
        now += CHECK_INTERVAL
    return None


def test_which_client_is_too_slow_and_which_only_stalls() -> None:
    assert too_slow_at([], 60.0) == 5.0
    assert too_slow_at([(float(i), 1) for i in range(60)], 60.0) == 5.0  # a byte a second
    assert too_slow_at([(float(i), 60) for i in range(60)], 60.0) is None
    stalls = [(i / 4, 200) for i in range(240) if not 20 <= i / 4 < 23]
    assert too_slow_at(stalls, 60.0) is None  # stalls for three seconds, then continues
    assert too_slow_at([(i / 4, 200) for i in range(40)], 60.0) == 14.5  # reads nothing after 9.75 s
    assert too_slow_at([], 60.0, min_rate=0.0) is None
    monitor = MinimumRateMonitor(5.0, 50.0)
    for i in range(200):  # no data is queued, so the client has nothing to read
        assert not monitor.is_too_slow(i * CHECK_INTERVAL, 0, 0)
    assert monitor.stalled_seconds(50.0) == 0.0


def run_with_balanced_ledger(fleet: Fleet, seconds: float) -> None:
    """Advance the clock in steps of 0.25 s, and check the ledgers after each."""
    for _ in range(round(seconds / 0.25)):
        fleet.run(0.25)
        for node in fleet.nodes.values():
            assert not node.client_limits.ledger.find_imbalances()


def fleet_with_small_window(extra_limits: str = "", **engine_options: object) -> Fleet:
    fleet = Fleet(
        "W0",
        step="1ms",
        slots=8,
        more_settings=f"limits: {{rate_window: 5s, linger: 2s{extra_limits}}}",
        **engine_options,
    )
    fleet.channels["n0"].limits = TransportLimits(stream_window=4096)
    return fleet


def generate_without_reading(fleet: Fleet, output: int = 60000) -> ChatCallWatcher:
    """Send a request as a client with a stream window of 4 KiB that reads nothing."""
    caller = fleet.generate("post", prompt=100, output=output)
    caller.call.pauseProducing()
    return caller


def test_a_client_that_reads_nothing_is_aborted_and_its_writer_is_free_again() -> None:
    fleet = fleet_with_small_window()
    stalled, others = (
        generate_without_reading(fleet),
        [fleet.generate(prompt=100, output=200) for _ in range(3)],
    )
    run_with_balanced_ledger(fleet, 5.0)
    assert (
        fleet.engines["W0a"].model.decode.running and not fleet.nodes["n0"].client_limits.recent_disconnects
    )
    run_with_balanced_ledger(fleet, 3.0)
    assert not fleet.engines["W0a"].model.decode.running  # the attempt was cancelled
    stalled.call.resumeProducing()
    run_with_balanced_ledger(fleet, 1.0)
    assert stalled.answer == "aborted" and stalled.status.code == Code.OK  # received once it reads
    assert all(caller.answer == "generated" for caller in others)
    limits = fleet.nodes["n0"].client_limits
    assert limits.counts["slow"] == 1 and "under 50 bytes a second" in limits.recent_disconnects[0].reason
    assert limits.ledger.node.in_use == 0 and limits.ledger.node.dropped > 1000 and not limits.calls
    breaches = [breach.text for breach in check_rules(fleet).breaches]
    # The client itself caused this: it read nothing for 8 s.
    assert breaches == ["c0: first token 4.000 s late"]
    assert_nothing_left(fleet)


def test_a_client_that_ignores_its_final_answer_is_reset() -> None:
    fleet = fleet_with_small_window()
    stalled = generate_without_reading(fleet)
    run_with_balanced_ledger(fleet, 12.0)
    assert not fleet.nodes["n0"].server.calls and not fleet.nodes["n0"].client_limits.calls
    assert not fleet.nodes["n0"].client_limits.ledger.node.in_use
    stalled.call.resumeProducing()
    run_with_balanced_ledger(fleet, 1.0)
    assert stalled.status.code != Code.OK and stalled.answer == ""
    assert_nothing_left(fleet)


def test_a_client_that_stalls_for_three_seconds_gets_the_complete_answer() -> None:
    fleet = fleet_with_small_window(step_crowd=0.0)
    caller = fleet.generate(prompt=100, output=20000)
    for _ in range(4):
        fleet.run(1.0)
        caller.call.pauseProducing()
        run_with_balanced_ledger(fleet, 3.0)
        caller.call.resumeProducing()
    run_with_balanced_ledger(fleet, 8.0)
    assert caller.answer == "generated" and not fleet.nodes["n0"].client_limits.recent_disconnects
    assert_nothing_left(fleet)


def test_a_peer_over_its_budget_loses_the_streams_of_least_utility() -> None:
    fleet = fleet_with_small_window(", held_bytes: 40kB, peer_share: 0.5, least_rate: 0")
    high_utility, low_utility = (
        generate_without_reading(fleet),
        [fleet.generate("ask", prompt=100, output=60000) for _ in range(2)],
    )
    for caller in low_utility:
        caller.call.pauseProducing()
    run_with_balanced_ledger(fleet, 3.0)
    limits = fleet.nodes["n0"].client_limits
    assert limits.counts["memory"] >= 1 and limits.ledger.node.in_use <= 20_000 + 3 * 500
    for caller in (high_utility, *low_utility):
        caller.call.resumeProducing()
    run_with_balanced_ledger(fleet, 1.0)
    # The utilities are 3 and 1.
    assert "aborted" in {caller.answer for caller in low_utility} and high_utility.answer == ""
    assert "the peer holds more than its 20000 bytes here" in {
        cut.reason for cut in limits.recent_disconnects
    }
    for caller in (high_utility, *low_utility):
        if not caller.answer:
            fleet.cancel(caller)
    run_with_balanced_ledger(fleet, 2.0)
    assert_nothing_left(fleet)


def test_requests_beyond_the_memory_budget_are_rejected_and_do_not_run() -> None:
    fleet = Fleet("R0 W0", more_settings="limits: {held_bytes: 1MB, peer_share: 1.0}")
    fleet.inject_fault("R0a", "hang", seconds=3.0)
    fleet.run(0.05)
    callers = [fleet.generate(prompt=3000, output=10, text=b"x" * 50_000) for _ in range(100)]
    run_with_balanced_ledger(fleet, 0.5)
    limits = fleet.nodes["n0"].client_limits
    assert limits.counts["turned away"] == 81 and len(fleet.nodes["n0"].executor.in_flight) == 19
    assert (
        sum(caller.answer == "rejected" for caller in callers) == 81
        and 900_000 < limits.ledger.node.in_use <= 1_000_000
    )
    run_with_balanced_ledger(fleet, 8.0)
    assert all(caller.answer for caller in callers) and limits.ledger.node.in_use == 0
    assert len({record.more["mark"] for record in fleet.records("got")}) == 19
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_batches_are_limited_and_the_admin_service_reports_disconnects() -> None:
    fleet = Fleet("R0 W0 E0 K0", more_settings="limits: {rate_window: 2s}")
    fleet.channels["n0"].limits = TransportLimits(stream_window=1024)
    stalled, other = rank(fleet, b"q", texts(1500), is_stream=True), embed(fleet, texts(20))
    stalled.call.pauseProducing()
    run_with_balanced_ledger(fleet, 4.0)
    assert other.final == "generated" and fleet.nodes["n0"].client_limits.counts["slow"] == 1
    channel, replies = Channel(fleet.clock, fleet.net.dialer("n0:2"), "n0"), []
    channel.unary("/myrtlehub.v1.NodeAdmin/Limits", b"").addCallback(replies.append)
    fleet.run(0.1)
    state = admin_pb2.LimitsState.FromString(replies[0])
    assert state.came == state.left + state.dropped + state.held and state.came > 10_000
    assert state.counts["slow"] == 1 and state.cuts[0].peer.startswith("client:")
    assert "bytes a second" in state.cuts[0].why
    stalled.call.resumeProducing()
    run_with_balanced_ledger(fleet, 6.0)
    assert_nothing_left(fleet)


@pytest.mark.parametrize("limit", ["connections: 3", "peer_connections: 3"])
def test_connections_beyond_the_limit_are_closed_and_others_continue(limit: str) -> None:
    fleet = Fleet("W0", more_settings=f"limits: {{{limit}}}")
    node = fleet.nodes["n0"]
    callers = []
    for i in range(6):
        dialer = fleet.net.dialer("n0:1", f"c{i}" if limit[0] == "c" else "same")
        fleet.channels["n0"] = Channel(fleet.clock, dialer, "n0")
        callers.append(fleet.generate(prompt=100, output=40, time_left=2.0, timeout=2.0))
        fleet.run(0.02)
    fleet.run(3.0)
    assert len(node.server.connections) <= 3
    assert [caller.answer for caller in callers[:3]] == ["generated"] * 3
    unanswered = [caller for caller in callers[3:] if caller.answer == ""]
    assert unanswered
    assert {caller.status.code for caller in unanswered} <= {Code.UNAVAILABLE, Code.DEADLINE_EXCEEDED}
