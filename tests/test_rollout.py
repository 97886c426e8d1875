"""The course of a rolling change: complete tables, a small world kept, seeded faults all found."""

from pathlib import Path

import pytest
from helpers import changed

from myrtlehub.rollout import course, tables, world
from myrtlehub.rollout.course import FLEET, IN_PLACE, REPLACE, Plan
from myrtlehub.rollout.journal import Entry, Head, JournalBroken, generations, pack, unpack
from myrtlehub.rollout.orders import FORMAT, Order, OrderBook
from myrtlehub.rollout.seen import Blocks, Counted, Shown, Sums, due, event_of
from myrtlehub.rollout.stages import deal
from myrtlehub.state.explore import explore, replay
from myrtlehub.state.lives import Broken, Step, Table, mermaid

PAGE = Path(__file__).parents[1] / "docs" / "design" / "rolling-change.md"
THREE = Plan(3, ((0,), (1, 2)))


@pytest.mark.parametrize("table", tables.TABLES, ids=[t.name for t in tables.TABLES])
def test_every_event_has_a_result_in_every_state(table: Table) -> None:
    assert not table.holes()
    reached, todo = {table.first}, [table.first]
    while todo:
        state = todo.pop()
        for (a, _), step in table.steps.items():
            if a == state and step.state not in reached:
                reached.add(step.state)
                todo.append(step.state)
    assert reached == set(table.states())
    assert f"```mermaid\n{mermaid(table)}\n```" in PAGE.read_text(), f"{PAGE.name} is stale: {table.name}"


@pytest.mark.parametrize("how", [REPLACE, IN_PLACE])
@pytest.mark.parametrize("bad", [{}, {"bad": "exits"}, {"bad": "never ready"}, {"old_bad": "exits"}], ids=str)
def test_a_small_fleet_is_visited_whole_and_every_history_can_end(how: str, bad: dict) -> None:
    """With one fault at any moment: a node dies, the controller dies and resumes, the operator undoes."""
    shape = world.Shape(THREE._replace(how=how), **bad)
    first, moves = world.start(shape), world.Moves(shape)
    found = explore(first, moves, 200)
    assert found.complete and not found.breach, (found.breach, found.trace)
    after: dict = {}
    todo = [first]
    while todo:
        w = todo.pop()
        if w not in after:
            after[w] = [x for _, x, _ in moves(w)]
            todo += after[w]
    assert len(after) == found.states > 200
    before: dict = {}
    for w, nexts in after.items():
        for x in nexts:
            before.setdefault(x, []).append(w)
    # Whatever became of it, a way leads on to an end: there is no trap, and so an undo always gets somewhere.
    ends = [w for w in after if w.standing.change in world.ENDS]
    assert {w.standing.change for w in ends} >= ({"undone"} if bad.get("bad") else {"kept", "undone"})
    live, todo = set(ends), list(ends)
    while todo:
        for w in before.get(todo.pop(), ()):
            if w not in live:
                live.add(w)
                todo.append(w)
    assert len(live) == len(after)


def node(**steps: Step) -> Plan:
    return THREE._replace(node_table=changed(tables.NODE, **steps))


def change(**steps: Step) -> Plan:
    return THREE._replace(change_table=changed(tables.COURSE, **steps))


FAULTS = {
    "a stage is promoted as soon as it is warm": change(settling__warm=Step("changing", "next")),
    "trouble is taken for a pass": change(watching__trouble=Step("changing", "next")),
    "a node that leaves counts as back at once": node(draining__leaving=Step("ready", "nothing")),
    "an undone node is begun with the new program, and believed": node(
        undoing__gone=Step("returning", "begin"),
        undoing__quit=Step("returning", "begin"),
        returning__new=Step("undone", "nothing"),
        returning__proven=Step("undone", "nothing"),
    ),
    "a node still by the new revision counts as undone": node(
        undoing__new=Step("undone", "nothing"), undoing__proven=Step("undone", "nothing")
    ),
    "a dead changed node is brought back by the old program": node(
        watched__gone=Step("watched", "begin old"), watched__quit=Step("watched", "begin old")
    ),
    "a node is undone by leaving it as it is": node(
        kept__undo=Step("undone", "nothing"), watched__undo=Step("undone", "nothing")
    ),
    "a waiting node is asked to leave when it is seen": node(waiting__old=Step("waiting", "change")),
    "a change is kept while it is held": change(holding__bound=Step("kept", "finish")),
    "an order that the clock repeats has no row": node(undoing__overdue=Step("undoing", "breach")),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_seeded_fault_is_found_and_its_trace_replays(name: str) -> None:
    shape = world.Shape(FAULTS[name])
    found = explore(world.start(shape), world.Moves(shape), 200)
    assert found.breach, name
    assert replay(world.start(shape), world.Moves(shape), found.trace)[1] == found.breach


def test_a_second_death_of_a_changed_node_undoes_and_a_first_one_holds() -> None:
    s = course.first(THREE)
    for who, event in (
        (FLEET, "begin"),
        (FLEET, "measured"),
        (0, "gone"),
        (0, "new"),
        (0, "proven"),
        (0, "warm"),
    ):
        s, _ = course.step(THREE, s, who, event)
    assert s.change == "watching" and s.nodes == ("watched", "waiting", "waiting")
    s, acts = course.step(THREE, s, 0, "quit")
    assert s.change == "holding" and acts == [("begin", 0), ("hold", FLEET)]
    s, _ = course.step(THREE, s, 0, "proven")
    s, acts = course.step(THREE, s, 0, "quit")
    assert s.change == "undoing" and s.nodes[0] == "undoing" and ("leave", 0) in acts
    with pytest.raises(Broken):
        course.step(THREE, s, FLEET, "pass")


def test_no_turn_comes_while_others_are_away() -> None:
    plan = Plan(4, ((0, 1, 2),), most_away=2)
    s, _ = course.step(plan, course.first(plan), FLEET, "begin")
    s, _ = course.step(plan, s, 3, "gone")  # an unchanged one, and nobody here ordered it
    s, acts = course.step(plan, s, FLEET, "measured")
    assert s.nodes == ("draining", "waiting", "waiting", "waiting") and ("leave", 0) in acts
    s, acts = course.step(plan, s, 3, "old")
    assert s.nodes[:3] == ("draining", "draining", "waiting")


def test_stages_are_dealt_by_zone() -> None:
    zones = ["a", "b", "a", "b", "a", "c"]
    assert deal(zones, [1, 0.5, 1.0], 1) == ((0,), (2, 1), (4, 3, 5))  # a third, a half, all of their zones
    assert deal(zones, [2, 1.0], 1)[0] == (0, 2)
    with pytest.raises(ValueError, match="largest, 'a', has 3"):
        deal(zones, [4, 1.0], 1)
    with pytest.raises(ValueError, match="have to grow"):
        deal(zones, [2, 2], 0)


def test_a_journal_cut_at_any_byte_gives_its_whole_lines() -> None:
    lines = [
        pack(Head(FORMAT, "p", ["a", "b"])),
        *(pack(Entry(1.5, f"e{i}", i - 1, "why", {"generation": i})) for i in range(4)),
    ]
    data, ends = b"".join(lines), [sum(map(len, lines[: i + 1])) for i in range(5)]
    for cut in range(len(data) + 1):
        whole = sum(end <= cut for end in ends)
        if not whole:
            with pytest.raises(JournalBroken):
                unpack(data[:cut])
            continue
        head, entries, size = unpack(data[:cut])
        assert head.nodes == ["a", "b"] and len(entries) == whole - 1 and size == ends[whole - 1]
    _, entries, _ = unpack(data + b"0123456789abcdef {}\n")  # a last line with a wrong sum: a torn page
    assert len(entries) == 4
    assert generations([Entry(0.0, "controller", more={"generation": 3}), *entries]) == 3
    flipped = bytearray(data)
    flipped[ends[0] + 30] ^= 1
    with pytest.raises(JournalBroken, match="line 2 is not whole"):
        unpack(bytes(flipped))
    with pytest.raises(JournalBroken, match=f"in format {FORMAT + 1}"):
        unpack(pack(Head(FORMAT + 1, "p", [])))


def test_orders_of_an_older_controller_are_refused_in_words() -> None:
    book = OrderBook("run1")
    assert not book.refusal(Order(FORMAT, 2, "x", "run1")) and not book.refusal(Order(FORMAT, 2, "x"))
    assert "controller x's" in book.refusal(Order(FORMAT, 2, "y"))
    assert not book.refusal(Order(FORMAT, 3, "y"))
    assert "obeys 3" in book.refusal(Order(FORMAT, 2, "x"))
    assert "for process run0" in book.refusal(Order(FORMAT, 4, "y", "run0"))
    assert f"format {FORMAT + 1}" in book.refusal(Order(FORMAT + 1, 9, "z")) and book.generation == 3
    assert "name its generation" in book.refusal(Order(FORMAT, 0, "z"))


def test_what_is_seen_of_a_node() -> None:
    old, new = ("p", "s"), ("p", "t")
    assert event_of(Shown(old, "1"), old, new) == "old"
    assert event_of(Shown(new, "1", proven=False), old, new) == "new"
    assert event_of(Shown(new, "1", leaving=True), old, new) == "leaving"
    assert event_of(Shown(("q", "s"), "1"), old, new) == "other"
    assert event_of(Shown(("q", "s"), "1"), old, ("", "s")) == "proven"  # which program it is was not stated
    assert due("warming", 0.0, 5.0, False, 9.0, 9.0, 5.0) == "warm"
    assert due("warming", 0.0, 5.0, True, 9.0, 9.0, 5.0) == ""
    assert due("kept", 0.0, 9.0, True, 5.0, 9.0, 5.0) == "overdue"
    assert due("kept", 0.0, 9.0, False, 5.0, 9.0, 5.0) == "" == due("waiting", 0.0, 99.0, True, 1.0, 1.0, 1.0)


def test_blocks_leave_out_who_was_another_process_or_moved() -> None:
    def counted(run: str, n: float) -> Counted:
        sums = Sums(n, n, n - 1, 1, 0, n, n, 0.0, ((100, int(n) - 1), (900, 1)))
        return Counted(run, {"ask": sums}, 1e6 * n, {"a": 4})

    blocks = Blocks(3)
    blocks.block([counted("1", 10)] * 3, ["waiting"] * 3, 5.0, True)
    b = blocks.block([counted("1", 30), counted("2", 30), None], ["waiting"] * 3, 5.0, True)
    assert b.roles.tolist() == [1, 0, 0] and b.sums["served", ""][0].tolist() == [20.0, 0.0, 0.0]
    assert b.engines == {"a": 4} and b.sums["memory", ""][0][0] == 20.0
    states = ["watched", "waiting", "waiting"]
    b = blocks.block([counted("1", 40), counted("2", 40), counted("1", 40)], states, 5.0, False)
    assert b.roles.tolist() == [0, 1, 0]  # the first moved, the third was not there before
    b = blocks.block([counted("1", 60), counted("2", 60), counted("1", 60)], states, 5.0, False)
    assert b.roles.tolist() == [2, 1, 1] and b.sums["rejected", "ask"][1].tolist() == [20.0] * 3
