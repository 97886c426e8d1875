"""A fault at each message boundary of one sequence's whole exchange, enumerated: reset, stall and crash."""

from collections import Counter

import pytest
from fleet import Caller, Fleet
from memnet import Pipe
from test_request_path import check_rules

from myrtlehub.rpc.transport_limits import TransportLimits

WAYS = ("reset", "stall", "crash")


def begin(traffic: str) -> tuple[Fleet, Caller]:
    """A split sequence about to be asked; connections stand, so that boundaries are its own messages."""
    f = Fleet("R0 W0 W0", read_rate=30000.0)
    warm = f.ask("ask", prompt=3000, output=10)
    f.run(1.5)
    assert warm.answer == "generated"
    f.net.crossed = 0
    return f, f.ask(traffic, prompt=3000, output=24, left=2.0, timeout=6.0)


def strike(f: Fleet, caller: Caller, way: str, pipe: Pipe) -> str:
    """Do it to the connection that this message crosses, or to whom it is for."""
    ends = {pipe.host, pipe.other.host}
    client = "client" in ends
    if way == "crash" and pipe.other.host != "client":
        f.kill(pipe.other.host[:-2])
    elif way == "stall":
        pipe.stalled = pipe.other.stalled = True
    else:
        f.net.cut(pipe)
    if (client and way != "crash") or pipe.other.host == "client":
        f.client.note("left", call=caller.name)  # nothing that a node does can reach this client now
    return f"{pipe.host} to {pipe.other.host}"


def play(traffic: str, way: str, at: int) -> tuple[Fleet, Caller, list[str]]:
    f, caller = begin(traffic)
    struck: list[str] = []
    f.net.fault_at, f.net.fault = at, lambda pipe: struck.append(strike(f, caller, way, pipe))
    f.run(9.0 if way != "stall" else 45.0)
    return f, caller, struck


def crossings(traffic: str) -> int:
    f, caller = begin(traffic)
    f.run(8.0)
    assert caller.answer == "generated" and len(f.what("held")) == 2
    return f.net.crossed


@pytest.mark.parametrize("traffic", ["post", "ask", "note"])
@pytest.mark.parametrize("way", WAYS)
def test_all_rules_hold_with_a_fault_at_each_message_boundary(traffic: str, way: str) -> None:
    count = crossings(traffic)
    assert count > 15
    answers: Counter[str] = Counter()
    places: Counter[str] = Counter()
    for at in range(1, count + 1):
        f, caller, struck = play(traffic, way, at)
        if not struck:
            continue
        places[struck[0]] += 1
        answers[caller.answer or "none"] += 1
        where = f"{way} at {at}, {struck[0]}"
        breaches = [
            b
            for b in check_rules(f).breaches
            if not (way == "stall" and b.rule == 5 and "client" not in struck[0])
        ]
        assert not breaches, (where, [b.text for b in breaches])
        # Over a stalled link a release cannot come: then the reader's own bound, 3 s, lets go.
        holds = {r.more["seq"]: r.at for r in f.what("held")}
        assert all(r.at - holds[r.more["seq"]] < 3.1 for r in f.what("freed")), where
        if traffic == "post":
            ran = [r for r in f.what("ran") if r.more["mark"] == caller.mark]
            assert len(ran) <= 1, where
        for node in f.nodes.values():
            assert not node.executor.in_flight and not node.executor.attempts_out(), where
        for name, stand in f.stands.items():
            m = stand.model
            assert m.has_crashed or not (
                m.prefill.read_states or m.decode.running or m.prefill.running or m.decode.queue
            ), (where, name)
    assert sum(places.values()) >= count - 2 and len(places) >= 6, places
    assert answers["generated"] and (answers["aborted"] or way != "reset" or traffic != "post"), answers


def test_keepalive_closes_a_silent_connection_within_30_seconds() -> None:
    bounds = TransportLimits()
    assert bounds.keepalive_interval + bounds.keepalive_timeout <= 30.0


def bytes_of_stream(cut_at: int) -> tuple[Fleet, Caller, int]:
    """Run a post without a reader whose writer dies once `cut_at` bytes of its stream have crossed."""
    f = Fleet("W0", step="10ms")
    warm = f.ask("ask", prompt=10, output=10)
    f.run(0.5)
    assert warm.answer == "generated"
    caller = f.ask("post", prompt=10, output=10, left=1.0, timeout=3.0)
    link = next(p for p in f.net.pipes if p.host == "W0a:1")
    crossed, deliver = 0, link.other.protocol.dataReceived

    def some(data: bytes) -> None:
        nonlocal crossed
        left = cut_at - crossed
        crossed += len(data)
        if left < len(data):
            if left > 0:
                deliver(data[:left])
            if not f.stands["W0a"].model.has_crashed:
                f.kill("W0a")
            return
        deliver(data)

    link.other.protocol.dataReceived = some
    f.run(4.0)
    return f, caller, crossed


def test_writer_lost_at_any_byte_never_repeats_an_at_most_once_sequence() -> None:
    _, caller, total = bytes_of_stream(10**6)
    assert caller.answer == "generated" and 100 < total < 2000
    answers: Counter[str] = Counter()
    for cut in range(total + 1):
        f, caller, _ = bytes_of_stream(cut)
        assert not check_rules(f).breaches, (cut, [b.text for b in check_rules(f).breaches])
        answers[caller.answer] += 1
        assert sum(r.more["mark"] == caller.mark for r in f.what("ran")) <= 1
        assert not f.nodes["n0"].executor.in_flight
    assert set(answers) == {"aborted", "generated"} and answers["aborted"] > 80, answers
