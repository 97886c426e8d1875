"""The lives: no holes in the tables, the small world keeps the rules, and a fault in each table is found."""

from pathlib import Path

import pytest
from helpers import changed

from myrtlehub.state.explore import Found, explore, replay
from myrtlehub.state.lives import (
    ANSWER_LIFE,
    ATTEMPT,
    HOLD,
    LATE,
    TABLES,
    Broken,
    Life,
    Step,
    Table,
    mermaid,
    write_ends,
)
from myrtlehub.state.world import ONCE, REPEATABLE, TOKENED, Moves, Shape, start

PAGE = Path(__file__).parents[1] / "docs" / "design" / "sequence-life.md"


def run(shape: Shape, depth: int = 60, most: int = 10**6) -> Found:
    return explore(start(shape), Moves(shape), depth, most)


@pytest.mark.parametrize("table", TABLES, ids=[t.name for t in TABLES])
def test_every_event_has_a_result_in_every_state(table: Table) -> None:
    assert not table.holes()
    states = set(table.states())
    assert {s.state for s in table.steps.values()} <= states and table.first in states
    reached, todo = {table.first}, [table.first]
    if table is ATTEMPT:
        reached.add("reading")
        todo.append("reading")
    while todo:
        state = todo.pop()
        for (a, _), step in table.steps.items():
            if a == state and step.state not in reached:
                reached.add(step.state)
                todo.append(step.state)
    assert reached == states, "a state that nothing leads to"
    assert all(table.steps[f, e] == Step(f, LATE) for f in table.finals for e in table.events())


def test_what_the_contract_rules_out_is_never_passed_over() -> None:
    with pytest.raises(Broken, match="hold: claim in state none"):
        Life(HOLD).step("claim")
    with pytest.raises(Broken, match="attempt: sneeze"):
        Life(ATTEMPT).step("sneeze")
    assert [
        write_ends(o, n)
        for o, n in (
            ("full", True),
            ("full", False),
            ("unsent", False),
            ("reset", False),
            ("generated", False),
        )
    ] == ["missing", "kept", "kept", "unsure", "fetched"]


@pytest.mark.parametrize(
    ("shape", "least"),
    [
        (Shape((ONCE,), readers=1, faults=1, tries=1), 15000),
        (Shape((REPEATABLE,), readers=1, faults=1, tries=1), 30000),
        (Shape((REPEATABLE,), readers=1, faults=0, tries=1, cancels=False), 4000),
        (Shape((TOKENED,), readers=1, faults=1, tries=1), 15000),
        (Shape((ONCE,), readers=1, writers=1, attempts=3, faults=0, tries=1), 3000),
    ],
    ids=str,
)
def test_a_small_world_is_visited_whole_and_keeps_the_rules(shape: Shape, least: int) -> None:
    found = run(shape)
    assert found.complete and not found.breach, (found.breach, found.trace)
    assert found.states >= least


def test_two_nodes_and_two_sequences_of_each_kind_to_a_stated_depth() -> None:
    shape = Shape((ONCE, ONCE, TOKENED, TOKENED, REPEATABLE, REPEATABLE))
    found = run(shape, depth=2)
    assert not found.breach and found.depth == 2 and found.states > 500


FAULTS = {
    "a reset is taken for not run": (
        "attempt",
        changed(ATTEMPT, writing__reset=Step("harmless", "answer")),
        "rule 2",
    ),
    "a time-out is taken for not run": (
        "attempt",
        changed(ATTEMPT, writing__timeout=Step("harmless", "answer")),
        "rule 2",
    ),
    "an abort is not said": ("answer", changed(ANSWER_LIFE, owed__abort=Step("owed", "nothing")), "rule 1"),
    "tokens after a rejection": (
        "answer",
        changed(ANSWER_LIFE, rejected__first=Step("rejected", "pass")),
        "rule 1",
    ),
    "a broken stream is not told": (
        "answer",
        changed(ANSWER_LIFE, flowing__broke=Step("flowing", "nothing")),
        "rule 1",
    ),
    "a lost read is taken to hold nothing": (
        "hold",
        changed(HOLD, reading__lost=Step("none", "nothing")),
        "rule 5",
    ),
    "a refused second read forgets the first": (
        "hold",
        changed(HOLD, again__refused=Step("none", "nothing")),
        "rule 5",
    ),
    "a claim in vain forgets a late read": (
        "hold",
        changed(HOLD, tried__missing=Step("none", "nothing")),
        "rule 5",
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_seeded_fault_is_found_and_its_trace_replays(name: str) -> None:
    which, table, rule = FAULTS[name]
    for kind in (ONCE, REPEATABLE):
        shape = Shape((kind,), readers=1, faults=1, tries=1)._replace(
            **{which: table, "cancels": which != "answer"}
        )
        found = run(shape)
        if found.breach:
            break
    assert any(found.breach.startswith(r) for r in rule.split("|")), found
    assert replay(start(shape), Moves(shape), found.trace)[1] == found.breach
    for cut in range(len(found.trace)):  # and shorter ways to it there are none
        assert not replay(start(shape), Moves(shape), found.trace[:cut])[1]


def test_the_diagrams_are_the_tables() -> None:
    text = PAGE.read_text()
    for table in TABLES:
        assert f"```mermaid\n{mermaid(table)}\n```" in text, f"{PAGE.name} is stale: {table.name}"
