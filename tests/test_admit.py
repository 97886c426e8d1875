"""Admission: the limit follows latency, what is worth most goes first, and each is answered once."""

from random import Random

from fleet import Fleet
from hypothesis import given
from hypothesis import strategies as st
from test_path import kept, nothing_left

from myrtlehub.limits import admit
from myrtlehub.limits.admit import Admission, Vegas

UTILITY = {"low": 0.5, "high": 4.0}
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "begin", "fail", "leave", "wait"]),
        st.sampled_from(["low", "high"]),
        st.floats(0.0, 3.0),
    ),
    max_size=150,
)


@given(STEPS)
def test_each_is_let_in_or_shed_or_leaves_once_and_the_count_holds(steps: list) -> None:
    gate, now, count = Admission(Random(1), UTILITY), 0.0, 0
    gate.control.limit = 5.0
    waiting, inside, seen = set(), [], {}

    def pump() -> None:
        while (item := gate.next(now)) is not None:
            waiting.remove(item)
            inside.append(item)
            seen[item] = seen.get(item, 0) + 1
        for item in gate.shed(now):
            waiting.remove(item)
            seen[item] = seen.get(item, 0) + 1

    for what, name, amount in steps:
        if what == "ask":
            gate.ask(now, name, 1.0, count)
            waiting.add(count)
            count += 1
        elif what == "begin" and inside:
            inside.pop(0)
            gate.begun(now, amount, 1.0)
        elif what == "fail" and inside:
            inside.pop(0)
            gate.failed(now, amount > 1.0)
        elif what == "leave" and waiting:
            gone = min(waiting)
            assert gate.drop(gone) and not gate.drop(gone)
            waiting.remove(gone)
            seen[gone] = seen.get(gone, 0) + 1
        else:
            now += amount
        pump()
        assert gate.in_hand == len(inside) and admit.LEAST <= gate.control.limit <= admit.MOST
        assert len(waiting) <= 2 + admit.QUEUE * max(gate.control.limit, 10.0)
    now += 10.0
    pump()
    assert not waiting and set(seen) == set(range(count)) and set(seen.values()) <= {1}


def test_the_most_worth_goes_first_and_the_least_is_shed() -> None:
    gate = Admission(Random(1), UTILITY)
    gate.control.limit = 4.0
    for i in range(4):
        gate.ask(0.0, "low", 1.0, f"in{i}")
        assert gate.next(0.0) == f"in{i}"
    gate.ask(0.0, "low", 1.0, "a")
    gate.ask(0.1, "high", 1.0, "b")
    gate.ask(0.1, "low", 1.0, "c")
    assert list(gate.shed(0.1)) == [] and gate.next(0.1) is None
    gate.ask(0.2, "high", 1.0, "d")  # over half of the limit waits: the least worth, due last, goes
    assert list(gate.shed(0.2)) == ["c"]
    gate.begun(0.2, 0.2, 1.0)
    assert gate.next(0.2) == "b"
    assert list(gate.shed(0.401)) == ["a"]  # it has waited for 0.4 of its latency SLO
    assert gate.due_at() == 0.2 + admit.PATIENCE


def test_the_limit_falls_as_latency_grows_and_comes_back() -> None:
    vegas = Vegas()
    for _ in range(300):
        vegas.sample(0.0, 0.1, 1000)
    high = vegas.limit
    assert high > admit.FIRST
    for _ in range(500):
        vegas.sample(1.0, 0.6, 1000)
    low = vegas.limit
    assert low < 0.8 * high
    for _ in range(500):
        vegas.sample(2.0, 0.12, 1000)
    assert vegas.limit > low
    idle = vegas.limit
    for _ in range(500):
        vegas.sample(3.0, 0.12, 1)  # little in hand: that it is fast says nothing of more
    assert vegas.limit == idle
    for _ in range(500):
        vegas.sample(25.0, 0.5, 1000)  # the fleet is another: what was least is measured anew
    assert vegas.limit > idle


def rush(admits: str) -> tuple[dict, Fleet]:
    """Far more than two writers can do, half of it worth three times as much; what was generated in time."""
    f = Fleet("R0 R0 W0 W0", slots=10, step="20ms", read_rate=12000.0, more=f"limits: {{admit: {admits}}}")
    random, good, calls = Random(5), {"ask": 0, "post": 0}, []
    for _ in range(600):
        c = f.ask(random.choice(["ask", "post"]), prompt=random.choice([300, 1500]), output=60)
        c.since = f.clock.seconds()
        calls.append(c)
        f.run(0.004)
    f.run(6.0)
    first = {r.more["call"]: r.at for r in f.what("token")}
    for c in calls:
        assert c.answer in ("generated", "rejected", "aborted")
        kind = next(r.more["traffic"] for r in f.what("ask") if r.more["call"] == c.name)
        good[kind] += c.answer == "generated" and first[c.name] - c.since <= 1.0
    kept(f)
    nothing_left(f)
    return good, f


def test_in_a_rush_what_is_worth_more_is_answered_more_often_with_admission() -> None:
    without, _ = rush("no")
    with_it, f = rush("yes")
    worth = [good["ask"] + 3 * good["post"] for good in (without, with_it)]
    assert worth[1] > 1.2 * worth[0], (without, with_it)
    gate = f.nodes["n0"].front.gate
    assert gate.in_hand == 0 and not gate._queue
    c = f.ask(prompt=300, output=20)
    f.run(2.0)
    assert c.answer == "generated"  # afterwards all is as before


def test_clients_that_leave_at_the_gate_leave_nothing() -> None:
    f = Fleet("W0", slots=2, step="50ms", more="limits: {admit: yes}")
    gate = f.nodes["n0"].front.gate
    gate.control.limit = 4.0
    f.misbehave("W0a", "hang", seconds=3.0)
    f.run(0.05)
    calls = [f.ask("post", prompt=100, output=200) for _ in range(9)]
    f.run(0.05)
    assert gate.in_hand == 4 and gate._queue
    for c in calls:
        if not c.answer:
            f.leave(c)
    f.run(4.0)
    assert gate.in_hand == 0 and not gate._queue
    kept(f)
    nothing_left(f)
