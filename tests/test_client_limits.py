"""Clients that take too little or too much: what is held for them adds up, and who is cut off for it."""

import pytest
from fleet import Caller, Fleet
from hypothesis import given
from hypothesis import strategies as st
from test_batches import embed, rank, texts
from test_path import judge, kept, nothing_left

from myrtlehub.limits.ledger import Budgets, Held, Ledger, given_up
from myrtlehub.limits.pace import STEP, Pace
from myrtlehub.proto import admin_pb2
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.guards import TransportBounds
from myrtlehub.rpc.status import Code

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["open", "put", "take", "drop", "close"]), st.integers(0, 5), st.integers(1, 5000)
    ),
    max_size=120,
)


@given(EVENTS)
def test_the_ledger_adds_up_after_any_reads_writes_cuts_and_losses(events: list) -> None:
    ledger, streams = Ledger(Budgets(20_000, 0.5, 0.5)), {}
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
                assert not ledger.wrong()
                continue
            else:
                s[1 if what == "take" else 2] += size
                s[3] -= size
                left += size * (what == "take")
            ledger.settle(key, *s)
        assert not ledger.wrong()
    node = ledger.node
    assert (node.came, node.left) == (came, left) and node.held == sum(s[3] for s in streams.values())
    for what, name, size in ledger.over():
        keys = given_up([Held(k, ledger.held_by(k), 1.0, 0.0) for k in ledger.of(what, name)], size)
        assert sum(ledger.held_by(k) for k in keys) >= size
        assert sum(ledger.held_by(k) for k in keys[:-1]) < size  # no more than needed
    for key in list(streams):
        ledger.close(key)
    assert not ledger.wrong() and not node.held and not ledger.peers and not ledger.tenants


def test_a_sum_that_does_not_hold_is_seen() -> None:
    ledger = Ledger(Budgets(20_000, 0.5, 0.5))
    ledger.open("a", "p", "t")
    ledger.settle("a", 100, 40, 0, 50)
    assert ledger.wrong() == [
        "a: 100 came, 40 left, 0 dropped, 50 held",
        "node: 100 came, 40 left, 0 dropped, 50 held",
    ]


def test_whose_memory_is_given_up_first() -> None:
    streams = [
        Held("dear", 900, 3.0, 0.0),
        Held("cheap", 500, 1.0, 0.0),
        Held("stuck", 100, 3.0, 2.0),
        Held("empty", 0, 0.1, 9.0),
    ]
    assert given_up(streams, 50) == ["stuck"]
    assert given_up(streams, 150) == ["stuck", "cheap"]
    assert given_up(streams, 10**6) == ["stuck", "cheap", "dear"]


def paced(takes: list[tuple[float, int]], until: float, least: float = 50.0) -> float | None:
    """When a peer that takes so many bytes at these moments, with more waiting, is found too slow."""
    pace, at, taken = Pace(5.0, least), 0.0, 0
    while at < until:
        taken = sum(n for when, n in takes if when <= at)
        if pace.look(at, taken, 1000):
            return at
        at += STEP
    return None


def test_who_is_too_slow_and_who_only_stalls() -> None:
    assert paced([], 60.0) == 5.0
    assert paced([(float(i), 1) for i in range(60)], 60.0) == 5.0  # a byte a second
    assert paced([(float(i), 60) for i in range(60)], 60.0) is None
    stalls = [(i / 4, 200) for i in range(240) if not 20 <= i / 4 < 23]
    assert paced(stalls, 60.0) is None  # three seconds, and on
    assert paced([(i / 4, 200) for i in range(40)], 60.0) == 14.5  # stops for good at 9.75
    assert paced([], 60.0, least=0.0) is None
    pace = Pace(5.0, 50.0)
    for i in range(200):  # nothing waits for it: that it takes nothing is not its doing
        assert not pace.look(i * STEP, 0, 0)
    assert pace.stalled(50.0) == 0.0


def exact(f: Fleet, seconds: float) -> None:
    """Let time pass, and look at the ledger after every step."""
    for _ in range(round(seconds / 0.25)):
        f.run(0.25)
        for node in f.nodes.values():
            assert not node.client_limits.ledger.wrong()


def slow_fleet(more: str = "", **machine: object) -> Fleet:
    f = Fleet("W0", step="1ms", slots=8, more=f"limits: {{rate_window: 5s, linger: 2s{more}}}", **machine)
    f.channels["n0"].bounds = TransportBounds(stream_window=4096)
    return f


def hog(f: Fleet, output: int = 60000) -> Caller:
    """A client whose window takes 4 KiB, and who then reads nothing."""
    caller = f.ask("post", prompt=100, output=output)
    caller.call.pauseProducing()
    return caller


def test_a_client_that_reads_nothing_is_aborted_and_its_writer_is_free_again() -> None:
    f = slow_fleet()
    stuck, others = hog(f), [f.ask(prompt=100, output=200) for _ in range(3)]
    exact(f, 5.0)
    assert f.stands["W0a"].model.running and not f.nodes["n0"].client_limits.cuts
    exact(f, 3.0)
    assert not f.stands["W0a"].model.running  # the engine was told to stop
    stuck.call.resumeProducing()
    exact(f, 1.0)
    assert stuck.answer == "aborted" and stuck.status.code == Code.OK  # it is told, once it reads
    assert all(c.answer == "generated" for c in others)
    peers = f.nodes["n0"].client_limits
    assert peers.counts["slow"] == 1 and "under 50 bytes a second" in peers.cuts[0][3]
    assert peers.ledger.node.held == 0 and peers.ledger.node.dropped > 1000 and not peers.calls
    late = [b.text for b in judge(f).breaches]
    assert late == ["c0: first token 4.000 s late"]  # by its own doing: it read nothing for 8 s
    nothing_left(f)


def test_one_that_does_not_even_take_its_last_answer_is_reset() -> None:
    f = slow_fleet()
    stuck = hog(f)
    exact(f, 12.0)
    assert not f.nodes["n0"].server.calls and not f.nodes["n0"].client_limits.calls
    assert not f.nodes["n0"].client_limits.ledger.node.held
    stuck.call.resumeProducing()
    exact(f, 1.0)
    assert stuck.status.code != Code.OK and stuck.answer == ""
    nothing_left(f)


def test_one_that_stops_for_three_seconds_and_resumes_gets_all() -> None:
    f = slow_fleet(step_crowd=0.0)
    caller = f.ask(prompt=100, output=20000)
    for _ in range(4):
        f.run(1.0)
        caller.call.pauseProducing()
        exact(f, 3.0)
        caller.call.resumeProducing()
    exact(f, 8.0)
    assert caller.answer == "generated" and not f.nodes["n0"].client_limits.cuts
    nothing_left(f)


def test_a_peer_that_holds_too_much_is_cut_by_what_it_is_worth() -> None:
    f = slow_fleet(", held_bytes: 40kB, peer_share: 0.5, least_rate: 0")
    worth, less = hog(f), [f.ask("ask", prompt=100, output=60000) for _ in range(2)]
    for c in less:
        c.call.pauseProducing()
    exact(f, 3.0)
    peers = f.nodes["n0"].client_limits
    assert peers.counts["memory"] >= 1 and peers.ledger.node.held <= 20_000 + 3 * 500
    for c in (worth, *less):
        c.call.resumeProducing()
    exact(f, 1.0)
    assert "aborted" in {c.answer for c in less} and worth.answer == ""  # utility 3 against 1
    assert "the peer holds more than its 20000 bytes here" in {c[3] for c in peers.cuts}
    for c in (worth, *less):
        if not c.answer:
            f.leave(c)
    exact(f, 2.0)
    nothing_left(f)


def test_a_hundred_long_prompts_are_turned_away_at_the_bound_and_nothing_runs() -> None:
    f = Fleet("R0 W0", more="limits: {held_bytes: 1MB, peer_share: 1.0}")
    f.misbehave("R0a", "hang", seconds=3.0)
    f.run(0.05)
    calls = [f.ask(prompt=3000, output=10, text=b"x" * 50_000) for _ in range(100)]
    exact(f, 0.5)
    peers = f.nodes["n0"].client_limits
    assert peers.counts["turned away"] == 81 and len(f.nodes["n0"].host.in_flight) == 19
    assert sum(c.answer == "rejected" for c in calls) == 81 and 900_000 < peers.ledger.node.held <= 1_000_000
    exact(f, 8.0)
    assert all(c.answer for c in calls) and peers.ledger.node.held == 0
    assert len({r.more["mark"] for r in f.what("got")}) == 19
    kept(f)
    nothing_left(f)


def test_batches_count_too_and_admin_says_who_was_cut() -> None:
    f = Fleet("R0 W0 E0 K0", more="limits: {rate_window: 2s}")
    f.channels["n0"].bounds = TransportBounds(stream_window=1024)
    stuck, fine = rank(f, b"q", texts(1500), streams=True), embed(f, texts(20))
    stuck.call.pauseProducing()
    exact(f, 4.0)
    assert fine.final == "generated" and f.nodes["n0"].client_limits.counts["slow"] == 1
    channel, got = Channel(f.clock, f.net.dialer("n0:2"), "n0"), []
    channel.unary("/myrtlehub.v1.NodeAdmin/Limits", b"").addCallback(got.append)
    f.run(0.1)
    state = admin_pb2.LimitsState.FromString(got[0])
    assert state.came == state.left + state.dropped + state.held and state.came > 10_000
    assert state.counts["slow"] == 1 and state.cuts[0].peer.startswith("client:")
    assert "bytes a second" in state.cuts[0].why
    stuck.call.resumeProducing()
    exact(f, 6.0)
    nothing_left(f)


@pytest.mark.parametrize("most", ["connections: 3", "peer_connections: 3"])
def test_connections_past_the_bound_are_closed_and_the_rest_goes_on(most: str) -> None:
    f = Fleet("W0", more=f"limits: {{{most}}}")
    node = f.nodes["n0"]
    callers = []
    for i in range(6):
        dialer = f.net.dialer("n0:1", f"c{i}" if most[0] == "c" else "same")
        f.channels["n0"] = Channel(f.clock, dialer, "n0")
        callers.append(f.ask(prompt=100, output=40, left=2.0, timeout=2.0))
        f.run(0.02)
    f.run(3.0)
    assert len(node.server.connections) <= 3
    assert [c.answer for c in callers[:3]] == ["generated"] * 3
    turned = [c for c in callers[3:] if c.answer == ""]
    assert turned and {c.status.code for c in turned} <= {Code.UNAVAILABLE, Code.DEADLINE_EXCEEDED}
