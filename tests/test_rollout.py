"""Progress of a rollout: complete tables, a model searched whole, seeded faults all found."""

from pathlib import Path

import pytest

from myrtlehub.rollout.journal_format import (
    JournalEntry,
    JournalFormatError,
    JournalHeader,
    decode_journal,
    encode_line,
    last_generation,
)
from myrtlehub.rollout.model import (
    END_PHASES,
    ModelConfig,
    ModelTransitions,
    ProgramFault,
    initial_model_state,
)
from myrtlehub.rollout.node_orders import FORMAT_VERSION, Order, OrderValidator
from myrtlehub.rollout.node_status import NodeStatus, NodeTimeouts, Revision, event_of_status, timer_event
from myrtlehub.rollout.node_table import NODE_TABLE
from myrtlehub.rollout.progress import step
from myrtlehub.rollout.rollout_state import FLEET, ChangeMethod, RolloutPlan, initial_state
from myrtlehub.rollout.rollout_table import ROLLOUT_TABLE
from myrtlehub.rollout.samples import NodeCounters, TrafficCounters
from myrtlehub.rollout.stage_plan import assign_stages
from myrtlehub.rollout.states import (
    NodeEffect,
    NodeEvent,
    NodeState,
    RolloutEffect,
    RolloutEvent,
    RolloutPhase,
)
from myrtlehub.rollout.window_sampler import WindowSampler
from myrtlehub.state.model_checker import check_model, replay
from myrtlehub.state.state_machine import (
    CommonEffect,
    InvalidTransitionError,
    Transition,
    TransitionTable,
)

TABLES = (NODE_TABLE, ROLLOUT_TABLE)
PAGE = Path(__file__).parents[1] / "docs" / "design" / "rolling-change.md"
THREE = RolloutPlan(3, ((0,), (1, 2)))


@pytest.mark.parametrize("table", TABLES, ids=[table.name for table in TABLES])
def test_every_event_has_a_transition_in_every_state(table: TransitionTable) -> None:
    assert not table.missing()
    reached, todo = {table.initial}, [table.initial]
    while todo:
        state = todo.pop()
        for (origin, _), transition in table.transitions.items():
            if origin == state and transition.next_state not in reached:
                reached.add(transition.next_state)
                todo.append(transition.next_state)
    assert reached == set(table.states())
    assert f"```mermaid\n{table.mermaid()}\n```" in PAGE.read_text(), f"{PAGE.name} is stale: {table.name}"


@pytest.mark.parametrize("method", ChangeMethod)
@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"new_fault": ProgramFault.EXITS},
        {"new_fault": ProgramFault.NEVER_READY},
        {"old_fault": ProgramFault.EXITS},
    ],
    ids=["sound", "new exits", "new never ready", "old exits"],
)
def test_a_small_fleet_is_searched_whole_and_every_history_can_end(
    method: ChangeMethod, faults: dict[str, ProgramFault]
) -> None:
    """With one fault at any moment: a node dies, the controller dies and resumes, the operator undoes."""
    config = ModelConfig(THREE._replace(method=method), **faults)
    first, moves = initial_model_state(config), ModelTransitions(config)
    found = check_model(first, moves, 200)
    assert found.is_complete and not found.violation, (found.violation, found.trace)
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
    ends = [w for w in after if w.rollout.phase in END_PHASES]
    always = {RolloutPhase.ROLLED_BACK}
    expected = always if faults.get("new_fault") else always | {RolloutPhase.COMMITTED}
    assert {w.rollout.phase for w in ends} >= expected
    live, todo = set(ends), list(ends)
    while todo:
        for w in before.get(todo.pop(), ()):
            if w not in live:
                live.add(w)
                todo.append(w)
    assert len(live) == len(after)


Transitions = dict[tuple, Transition]


def changed(table: TransitionTable, transitions: Transitions) -> TransitionTable:
    """Return a table with some transitions changed."""
    assert all(table.transitions[key] != transition for key, transition in transitions.items())
    return table._replace(transitions={**table.transitions, **transitions})


def node(transitions: Transitions) -> RolloutPlan:
    """Return a plan with a faulty table of nodes."""
    return THREE._replace(node_table=changed(NODE_TABLE, transitions))


def fleet(transitions: Transitions) -> RolloutPlan:
    """Return a plan with a faulty table of the rollout."""
    return THREE._replace(rollout_table=changed(ROLLOUT_TABLE, transitions))


TO_NEXT_STAGE = Transition(RolloutPhase.CHANGING, RolloutEffect.NEXT_STAGE)
ROLLED_BACK = Transition(NodeState.ROLLED_BACK, CommonEffect.NOTHING)
FAULTS = {
    "a stage is promoted as soon as it is warm": fleet(
        {(RolloutPhase.SETTLING, RolloutEvent.WARMED_UP): TO_NEXT_STAGE}
    ),
    "a disturbance is taken for a pass": fleet(
        {(RolloutPhase.OBSERVING, RolloutEvent.DISTURBANCE): TO_NEXT_STAGE}
    ),
    "a node that drains counts as back at once": node(
        {(NodeState.DRAINING, NodeEvent.SEEN_DRAINING): Transition(NodeState.READY, CommonEffect.NOTHING)}
    ),
    "a node is rolled back by starting the new program, and believed": node(
        {
            (NodeState.ROLLING_BACK, NodeEvent.PROCESS_MISSING): Transition(
                NodeState.RESTARTING_OLD, NodeEffect.START_NEW
            ),
            (NodeState.ROLLING_BACK, NodeEvent.PROCESS_EXITED): Transition(
                NodeState.RESTARTING_OLD, NodeEffect.START_NEW
            ),
            (NodeState.RESTARTING_OLD, NodeEvent.NEW_STARTED): ROLLED_BACK,
            (NodeState.RESTARTING_OLD, NodeEvent.NEW_READY): ROLLED_BACK,
        }
    ),
    "a node still by the new revision counts as rolled back": node(
        {
            (NodeState.ROLLING_BACK, NodeEvent.NEW_STARTED): ROLLED_BACK,
            (NodeState.ROLLING_BACK, NodeEvent.NEW_READY): ROLLED_BACK,
        }
    ),
    "a dead changed node is brought back by the old program": node(
        {
            (NodeState.OBSERVED, NodeEvent.PROCESS_MISSING): Transition(
                NodeState.OBSERVED, NodeEffect.START_OLD
            ),
            (NodeState.OBSERVED, NodeEvent.PROCESS_EXITED): Transition(
                NodeState.OBSERVED, NodeEffect.START_OLD
            ),
        }
    ),
    "a node is rolled back by leaving it as it is": node(
        {
            (NodeState.COMMITTED, NodeEvent.ROLL_BACK): ROLLED_BACK,
            (NodeState.OBSERVED, NodeEvent.ROLL_BACK): ROLLED_BACK,
        }
    ),
    "a waiting node is asked to leave when it is seen": node(
        {(NodeState.WAITING, NodeEvent.OLD_READY): Transition(NodeState.WAITING, NodeEffect.CHANGE)}
    ),
    "a rollout is committed while it is on hold": fleet(
        {
            (RolloutPhase.ON_HOLD, RolloutEvent.PHASE_TIMED_OUT): Transition(
                RolloutPhase.COMMITTED, RolloutEffect.FINISH
            )
        }
    ),
    "an order that the clock repeats has no transition": node(
        {
            (NodeState.ROLLING_BACK, NodeEvent.TIMED_OUT): Transition(
                NodeState.ROLLING_BACK, CommonEffect.VIOLATION
            )
        }
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_seeded_fault_is_found_and_its_trace_replays(name: str) -> None:
    config = ModelConfig(FAULTS[name])
    first, moves = initial_model_state(config), ModelTransitions(config)
    found = check_model(first, moves, 200)
    assert found.violation, name
    assert replay(first, moves, found.trace)[1] == found.violation


def test_a_second_death_of_a_changed_node_rolls_back_and_a_first_one_holds() -> None:
    s = initial_state(THREE)
    for who, event in (
        (FLEET, RolloutEvent.BEGIN),
        (FLEET, RolloutEvent.BASELINE_MEASURED),
        (0, NodeEvent.PROCESS_MISSING),
        (0, NodeEvent.NEW_STARTED),
        (0, NodeEvent.NEW_READY),
        (0, NodeEvent.WARMED_UP),
    ):
        s, _ = step(THREE, s, who, event)
    assert s.phase == "watching" and s.nodes == ("watched", "waiting", "waiting")
    s, actions = step(THREE, s, 0, NodeEvent.PROCESS_EXITED)
    assert s.phase == "holding" and actions == [("begin", 0), ("hold", FLEET)]
    s, _ = step(THREE, s, 0, NodeEvent.NEW_READY)
    s, actions = step(THREE, s, 0, NodeEvent.PROCESS_EXITED)
    assert s.phase == "undoing" and s.nodes[0] == "undoing" and ("leave", 0) in actions
    with pytest.raises(InvalidTransitionError):
        step(THREE, s, FLEET, RolloutEvent.STAGE_PASSED)


def test_no_turn_comes_while_others_are_unavailable() -> None:
    plan = RolloutPlan(4, ((0, 1, 2),), max_unavailable=2)
    s, _ = step(plan, initial_state(plan), FLEET, RolloutEvent.BEGIN)
    s, _ = step(plan, s, 3, NodeEvent.PROCESS_MISSING)  # an unchanged one, and nobody here ordered it
    s, actions = step(plan, s, FLEET, RolloutEvent.BASELINE_MEASURED)
    assert s.nodes == ("draining", "waiting", "waiting", "waiting") and ("leave", 0) in actions
    s, actions = step(plan, s, 3, NodeEvent.OLD_READY)
    assert s.nodes[:3] == ("draining", "draining", "waiting")


def test_stages_are_assigned_by_zone() -> None:
    zones = ["a", "b", "a", "b", "a", "c"]
    assert assign_stages(zones, [1, 0.5, 1.0], 1) == (
        (0,),
        (2, 1),
        (4, 3, 5),
    )  # a third, a half, all of their zones
    assert assign_stages(zones, [2, 1.0], 1)[0] == (0, 2)
    with pytest.raises(ValueError, match="largest, 'a', has 3"):
        assign_stages(zones, [4, 1.0], 1)
    with pytest.raises(ValueError, match="have to grow"):
        assign_stages(zones, [2, 2], 0)


def test_a_journal_cut_at_any_byte_gives_its_whole_lines() -> None:
    lines = [
        encode_line(JournalHeader(FORMAT_VERSION, "p", ["a", "b"])),
        *(encode_line(JournalEntry(1.5, f"e{i}", i - 1, "why", {"generation": i})) for i in range(4)),
    ]
    data, ends = b"".join(lines), [sum(map(len, lines[: i + 1])) for i in range(5)]
    for cut in range(len(data) + 1):
        whole = sum(end <= cut for end in ends)
        if not whole:
            with pytest.raises(JournalFormatError):
                decode_journal(data[:cut])
            continue
        header, entries, size = decode_journal(data[:cut])
        assert header.nodes == ["a", "b"] and len(entries) == whole - 1 and size == ends[whole - 1]
    _, entries, _ = decode_journal(
        data + b"0123456789abcdef {}\n"
    )  # a last line with a wrong sum: a torn page
    assert len(entries) == 4
    assert last_generation([JournalEntry(0.0, "controller", details={"generation": 3}), *entries]) == 3
    flipped = bytearray(data)
    flipped[ends[0] + 30] ^= 1
    with pytest.raises(JournalFormatError, match="line 2 is not whole"):
        decode_journal(bytes(flipped))
    with pytest.raises(JournalFormatError, match=f"in format {FORMAT_VERSION + 1}"):
        decode_journal(encode_line(JournalHeader(FORMAT_VERSION + 1, "p", [])))


def test_a_line_has_the_bytes_of_earlier_versions() -> None:
    entry = JournalEntry(1.5, "quit", 2, "w", {"a": 1})
    line = b'15be43bb2f545f5c {"at":1.5,"event":"quit","who":2,"why":"w","more":{"a":1}}\n'
    assert encode_line(entry) == line
    assert encode_line(JournalEntry(1.5, "quit")) == b'a288c3d4b56a59a3 {"at":1.5,"event":"quit"}\n'
    header = encode_line(JournalHeader(FORMAT_VERSION, "p", ["a"]))
    assert decode_journal(header + line).entries == [entry]


def test_orders_of_an_older_controller_are_refused_in_words() -> None:
    validator = OrderValidator("run1")
    assert not validator.rejection_reason(
        Order(FORMAT_VERSION, 2, "x", "run1")
    ) and not validator.rejection_reason(Order(FORMAT_VERSION, 2, "x"))
    assert "controller x's" in validator.rejection_reason(Order(FORMAT_VERSION, 2, "y"))
    assert not validator.rejection_reason(Order(FORMAT_VERSION, 3, "y"))
    assert "obeys 3" in validator.rejection_reason(Order(FORMAT_VERSION, 2, "x"))
    assert "for process run0" in validator.rejection_reason(Order(FORMAT_VERSION, 4, "y", "run0"))
    assert (
        f"format {FORMAT_VERSION + 1}" in validator.rejection_reason(Order(FORMAT_VERSION + 1, 9, "z"))
        and validator.generation == 3
    )
    assert "name its generation" in validator.rejection_reason(Order(FORMAT_VERSION, 0, "z"))


def test_a_node_status_is_an_event() -> None:
    old, new = Revision("p", "s"), Revision("p", "t")
    assert event_of_status(NodeStatus(old, "1"), old, new) is NodeEvent.OLD_READY
    assert event_of_status(NodeStatus(new, "1", is_ready=False), old, new) is NodeEvent.NEW_STARTED
    assert event_of_status(NodeStatus(new, "1", is_draining=True), old, new) is NodeEvent.SEEN_DRAINING
    other = NodeStatus(Revision("q", "s"), "1")
    assert event_of_status(other, old, new) is NodeEvent.OTHER_REVISION
    unstated = Revision("", "s")  # which program it is was not stated
    assert event_of_status(other, old, unstated) is NodeEvent.NEW_READY
    timeouts = NodeTimeouts(drain=9.0, start=9.0, warm_up=5.0)
    assert timer_event(NodeState.WARMING, 5.0, False, timeouts) is NodeEvent.WARMED_UP
    assert timer_event(NodeState.WARMING, 5.0, True, timeouts) is None
    timeouts = NodeTimeouts(drain=5.0, start=9.0, warm_up=5.0)
    assert timer_event(NodeState.COMMITTED, 9.0, True, timeouts) is NodeEvent.TIMED_OUT
    assert timer_event(NodeState.COMMITTED, 9.0, False, timeouts) is None
    assert timer_event(NodeState.WAITING, 99.0, True, NodeTimeouts(1.0, 1.0, 1.0)) is None


def test_windows_leave_out_nodes_with_another_process_or_state() -> None:
    def counted(run: str, n: float) -> NodeCounters:
        sums = TrafficCounters(n, n, n - 1, 1, 0, n, n, 0.0, ((100, int(n) - 1), (900, 1)))
        return NodeCounters(run, {"ask": sums}, 1e6 * n, {"a": 4})

    sampler = WindowSampler(3)
    waiting = [NodeState.WAITING] * 3
    sampler.window([counted("1", 10)] * 3, waiting, 5.0, True)
    w = sampler.window([counted("1", 30), counted("2", 30), None], waiting, 5.0, True)
    assert w.roles.tolist() == [1, 0, 0] and w.metrics["served", ""][0].tolist() == [20.0, 0.0, 0.0]
    assert w.serving_engines == {"a": 4} and w.metrics["memory", ""][0][0] == 20.0
    states = [NodeState.OBSERVED, NodeState.WAITING, NodeState.WAITING]
    w = sampler.window([counted("1", 40), counted("2", 40), counted("1", 40)], states, 5.0, False)
    assert w.roles.tolist() == [0, 1, 0]  # the first moved, the third was not there before
    w = sampler.window([counted("1", 60), counted("2", 60), counted("1", 60)], states, 5.0, False)
    assert w.roles.tolist() == [2, 1, 1] and w.metrics["rejected", "ask"][1].tolist() == [20.0] * 3
