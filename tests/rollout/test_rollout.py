"""Transition tables, model, stages, journal format, orders and sampling of a rollout.

The model checker explores the model of a small fleet exhaustively and has to find each seeded fault of the
transition tables.
"""

import pytest
from paths import ROOT

from myrtlehub.rollout.errors import StagePlanError
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
PAGE = ROOT / "docs" / "design" / "rolling-change.md"
THREE_NODES = RolloutPlan(3, ((0,), (1, 2)))


@pytest.mark.parametrize("table", TABLES, ids=[table.name for table in TABLES])
def test_every_event_has_a_transition_in_every_state(table: TransitionTable) -> None:
    assert not table.missing_transitions()
    reached, unvisited = {table.initial}, [table.initial]
    while unvisited:
        state = unvisited.pop()
        for (origin, _), transition in table.transitions.items():
            if origin == state and transition.next_state not in reached:
                reached.add(transition.next_state)
                unvisited.append(transition.next_state)
    assert reached == set(table.states())
    assert f"```mermaid\n{table.to_mermaid()}\n```" in PAGE.read_text(), f"{PAGE.name} is stale: {table.name}"


@pytest.mark.parametrize("method", ChangeMethod)
@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"new_fault": ProgramFault.EXITS},
        {"new_fault": ProgramFault.NEVER_READY},
        {"old_fault": ProgramFault.EXITS},
    ],
    ids=["no fault", "new exits", "new never ready", "old exits"],
)
def test_a_small_fleet_violates_no_invariant_and_can_reach_an_end_from_every_state(
    method: ChangeMethod, faults: dict[str, ProgramFault]
) -> None:
    """One fault may occur at any point: a killed node, a resumed controller, or a requested rollback."""
    config = ModelConfig(THREE_NODES._replace(method=method), **faults)
    initial, transitions = initial_model_state(config), ModelTransitions(config)
    result = check_model(initial, transitions, 200)
    assert result.is_complete and not result.violation, (result.violation, result.trace)
    successors: dict = {}
    unvisited = [initial]
    while unvisited:
        state = unvisited.pop()
        if state not in successors:
            successors[state] = [model_step.state for model_step in transitions(state)]
            unvisited += successors[state]
    assert len(successors) == result.states > 200
    predecessors: dict = {}
    for state, next_states in successors.items():
        for next_state in next_states:
            predecessors.setdefault(next_state, []).append(state)
    # An end is reachable from every state, so that a rollback always completes.
    ends = [state for state in successors if state.rollout.phase in END_PHASES]
    always_reachable = {RolloutPhase.ROLLED_BACK}
    expected = always_reachable if faults.get("new_fault") else always_reachable | {RolloutPhase.COMMITTED}
    assert {state.rollout.phase for state in ends} >= expected
    can_end, unvisited = set(ends), list(ends)
    while unvisited:
        for state in predecessors.get(unvisited.pop(), ()):
            if state not in can_end:
                can_end.add(state)
                unvisited.append(state)
    assert len(can_end) == len(successors)


Transitions = dict[tuple, Transition]


def with_transitions(table: TransitionTable, transitions: Transitions) -> TransitionTable:
    """Return a table with some transitions replaced."""
    assert all(table.transitions[key] != transition for key, transition in transitions.items())
    return table._replace(transitions={**table.transitions, **transitions})


def with_node_fault(transitions: Transitions) -> RolloutPlan:
    """Return a plan with a faulty transition table of nodes."""
    return THREE_NODES._replace(node_table=with_transitions(NODE_TABLE, transitions))


def with_rollout_fault(transitions: Transitions) -> RolloutPlan:
    """Return a plan with a faulty transition table of the rollout."""
    return THREE_NODES._replace(rollout_table=with_transitions(ROLLOUT_TABLE, transitions))


TO_NEXT_STAGE = Transition(RolloutPhase.CHANGING, RolloutEffect.NEXT_STAGE)
ROLLED_BACK = Transition(NodeState.ROLLED_BACK, CommonEffect.NOTHING)
FAULTS = {
    "a stage passes as soon as it has warmed up": with_rollout_fault(
        {(RolloutPhase.SETTLING, RolloutEvent.WARMED_UP): TO_NEXT_STAGE}
    ),
    "a disturbance counts as a pass": with_rollout_fault(
        {(RolloutPhase.OBSERVING, RolloutEvent.DISTURBANCE): TO_NEXT_STAGE}
    ),
    "a draining node counts as ready at once": with_node_fault(
        {(NodeState.DRAINING, NodeEvent.SEEN_DRAINING): Transition(NodeState.READY, CommonEffect.NOTHING)}
    ),
    "a node is rolled back by starting the new program, and counts as rolled back": with_node_fault(
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
    "a node with the new revision counts as rolled back": with_node_fault(
        {
            (NodeState.ROLLING_BACK, NodeEvent.NEW_STARTED): ROLLED_BACK,
            (NodeState.ROLLING_BACK, NodeEvent.NEW_READY): ROLLED_BACK,
        }
    ),
    "a changed node that exited is restarted with the old program": with_node_fault(
        {
            (NodeState.OBSERVED, NodeEvent.PROCESS_MISSING): Transition(
                NodeState.OBSERVED, NodeEffect.START_OLD
            ),
            (NodeState.OBSERVED, NodeEvent.PROCESS_EXITED): Transition(
                NodeState.OBSERVED, NodeEffect.START_OLD
            ),
        }
    ),
    "a node counts as rolled back without any action": with_node_fault(
        {
            (NodeState.COMMITTED, NodeEvent.ROLL_BACK): ROLLED_BACK,
            (NodeState.OBSERVED, NodeEvent.ROLL_BACK): ROLLED_BACK,
        }
    ),
    "a waiting node is ordered to drain when its process is seen": with_node_fault(
        {(NodeState.WAITING, NodeEvent.OLD_READY): Transition(NodeState.WAITING, NodeEffect.CHANGE)}
    ),
    "a rollout is committed while it is on hold": with_rollout_fault(
        {
            (RolloutPhase.ON_HOLD, RolloutEvent.PHASE_TIMED_OUT): Transition(
                RolloutPhase.COMMITTED, RolloutEffect.FINISH
            )
        }
    ),
    "a timeout that repeats an order has no transition": with_node_fault(
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
    initial, transitions = initial_model_state(config), ModelTransitions(config)
    result = check_model(initial, transitions, 200)
    assert result.violation, name
    assert replay(initial, transitions, result.trace)[1] == result.violation


def test_the_first_exit_of_a_changed_node_holds_the_stage_and_the_second_one_rolls_back() -> None:
    state = initial_state(THREE_NODES)
    for node, event in (
        (FLEET, RolloutEvent.BEGIN),
        (FLEET, RolloutEvent.BASELINE_MEASURED),
        (0, NodeEvent.PROCESS_MISSING),
        (0, NodeEvent.NEW_STARTED),
        (0, NodeEvent.NEW_READY),
        (0, NodeEvent.WARMED_UP),
    ):
        state, _ = step(THREE_NODES, state, node, event)
    assert state.phase == "watching" and state.nodes == ("watched", "waiting", "waiting")
    state, actions = step(THREE_NODES, state, 0, NodeEvent.PROCESS_EXITED)
    assert state.phase == "holding" and actions == [("begin", 0), ("hold", FLEET)]
    state, _ = step(THREE_NODES, state, 0, NodeEvent.NEW_READY)
    state, actions = step(THREE_NODES, state, 0, NodeEvent.PROCESS_EXITED)
    assert state.phase == "undoing" and state.nodes[0] == "undoing" and ("leave", 0) in actions
    with pytest.raises(InvalidTransitionError):
        step(THREE_NODES, state, FLEET, RolloutEvent.STAGE_PASSED)


def test_no_node_is_scheduled_while_others_are_unavailable() -> None:
    plan = RolloutPlan(4, ((0, 1, 2),), max_unavailable=2)
    state, _ = step(plan, initial_state(plan), FLEET, RolloutEvent.BEGIN)
    # An unchanged node, which is unavailable for a reason other than an order.
    state, _ = step(plan, state, 3, NodeEvent.PROCESS_MISSING)
    state, actions = step(plan, state, FLEET, RolloutEvent.BASELINE_MEASURED)
    assert state.nodes == ("draining", "waiting", "waiting", "waiting") and ("leave", 0) in actions
    state, actions = step(plan, state, 3, NodeEvent.OLD_READY)
    assert state.nodes[:3] == ("draining", "draining", "waiting")


def test_stages_are_assigned_by_zone() -> None:
    zones = ["a", "b", "a", "b", "a", "c"]
    # One node of the largest zone, then nodes of two zones up to half of the fleet, then all others.
    assert assign_stages(zones, [1, 0.5, 1.0], 1) == ((0,), (2, 1), (4, 3, 5))
    assert assign_stages(zones, [2, 1.0], 1)[0] == (0, 2)
    with pytest.raises(StagePlanError, match="largest zone, 'a', has only 3"):
        assign_stages(zones, [4, 1.0], 1)
    with pytest.raises(StagePlanError, match="have to grow"):
        assign_stages(zones, [2, 2], 0)


def test_a_journal_cut_at_any_byte_gives_its_complete_lines() -> None:
    lines = [
        encode_line(JournalHeader(FORMAT_VERSION, "p", ["a", "b"])),
        *(encode_line(JournalEntry(1.5, f"e{i}", i - 1, "why", {"generation": i})) for i in range(4)),
    ]
    data, ends = b"".join(lines), [sum(map(len, lines[: i + 1])) for i in range(5)]
    for cut in range(len(data) + 1):
        complete = sum(end <= cut for end in ends)
        if not complete:
            with pytest.raises(JournalFormatError):
                decode_journal(data[:cut])
            continue
        header, entries, size = decode_journal(data[:cut])
        assert header.nodes == ["a", "b"] and len(entries) == complete - 1 and size == ends[complete - 1]
    wrong_checksum = b"0123456789abcdef {}\n"  # as after a torn write of the last line
    _, entries, _ = decode_journal(data + wrong_checksum)
    assert len(entries) == 4
    assert last_generation([JournalEntry(0.0, "controller", details={"generation": 3}), *entries]) == 3
    flipped = bytearray(data)
    flipped[ends[0] + 30] ^= 1
    with pytest.raises(JournalFormatError, match="line 2 is damaged"):
        decode_journal(bytes(flipped))
    with pytest.raises(JournalFormatError, match=f"has format {FORMAT_VERSION + 1}"):
        decode_journal(encode_line(JournalHeader(FORMAT_VERSION + 1, "p", [])))


def test_a_journal_line_has_the_same_bytes_as_in_earlier_versions() -> None:
    entry = JournalEntry(1.5, "quit", 2, "w", {"a": 1})
    line = b'15be43bb2f545f5c {"at":1.5,"event":"quit","who":2,"why":"w","more":{"a":1}}\n'
    assert encode_line(entry) == line
    assert encode_line(JournalEntry(1.5, "quit")) == b'a288c3d4b56a59a3 {"at":1.5,"event":"quit"}\n'
    header = encode_line(JournalHeader(FORMAT_VERSION, "p", ["a"]))
    assert decode_journal(header + line).entries == [entry]


def test_orders_of_a_superseded_controller_are_rejected_with_a_reason() -> None:
    validator = OrderValidator("run1")
    assert not validator.rejection_reason(
        Order(FORMAT_VERSION, 2, "x", "run1")
    ) and not validator.rejection_reason(Order(FORMAT_VERSION, 2, "x"))
    assert "controller x's" in validator.rejection_reason(Order(FORMAT_VERSION, 2, "y"))
    assert not validator.rejection_reason(Order(FORMAT_VERSION, 3, "y"))
    assert "obeys 3" in validator.rejection_reason(Order(FORMAT_VERSION, 2, "x"))
    assert "for process run0" in validator.rejection_reason(Order(FORMAT_VERSION, 4, "y", "run0"))
    assert (
        f"is in format {FORMAT_VERSION + 1}" in validator.rejection_reason(Order(FORMAT_VERSION + 1, 9, "z"))
        and validator.generation == 3
    )
    assert "has to name its generation" in validator.rejection_reason(Order(FORMAT_VERSION, 0, "z"))


def test_events_are_derived_from_a_status_and_from_elapsed_time() -> None:
    old, new = Revision("p", "s"), Revision("p", "t")
    assert event_of_status(NodeStatus(old, "1"), old, new) is NodeEvent.OLD_READY
    assert event_of_status(NodeStatus(new, "1", is_ready=False), old, new) is NodeEvent.NEW_STARTED
    assert event_of_status(NodeStatus(new, "1", is_draining=True), old, new) is NodeEvent.SEEN_DRAINING
    other = NodeStatus(Revision("q", "s"), "1")
    assert event_of_status(other, old, new) is NodeEvent.OTHER_REVISION
    unknown_program = Revision("", "s")
    assert event_of_status(other, old, unknown_program) is NodeEvent.NEW_READY
    timeouts = NodeTimeouts(drain=9.0, start=9.0, warm_up=5.0)
    assert timer_event(NodeState.WARMING, 5.0, False, timeouts) is NodeEvent.WARMED_UP
    assert timer_event(NodeState.WARMING, 5.0, True, timeouts) is None
    timeouts = NodeTimeouts(drain=5.0, start=9.0, warm_up=5.0)
    assert timer_event(NodeState.COMMITTED, 9.0, True, timeouts) is NodeEvent.TIMED_OUT
    assert timer_event(NodeState.COMMITTED, 9.0, False, timeouts) is None
    assert timer_event(NodeState.WAITING, 99.0, True, NodeTimeouts(1.0, 1.0, 1.0)) is None


def test_a_window_excludes_nodes_whose_process_or_state_changed() -> None:
    def counters(incarnation: str, count: float) -> NodeCounters:
        histogram = ((100, int(count) - 1), (900, 1))
        ask = TrafficCounters(count, count, count - 1, 1, 0, count, count, 0.0, histogram)
        return NodeCounters(incarnation, {"ask": ask}, 1e6 * count, {"a": 4})

    sampler = WindowSampler(3)
    waiting = [NodeState.WAITING] * 3
    sampler.window([counters("1", 10)] * 3, waiting, 5.0, True)
    window = sampler.window([counters("1", 30), counters("2", 30), None], waiting, 5.0, True)
    assert window.roles.tolist() == [1, 0, 0] and window.metrics["served", ""][0].tolist() == [20.0, 0.0, 0.0]
    assert window.serving_engines == {"a": 4} and window.metrics["memory", ""][0][0] == 20.0
    states = [NodeState.OBSERVED, NodeState.WAITING, NodeState.WAITING]
    window = sampler.window([counters("1", 40), counters("2", 40), counters("1", 40)], states, 5.0, False)
    assert window.roles.tolist() == [0, 1, 0]  # node 0 changed its state, node 2 did not answer before
    window = sampler.window([counters("1", 60), counters("2", 60), counters("1", 60)], states, 5.0, False)
    assert window.roles.tolist() == [2, 1, 1] and window.metrics["rejected", "ask"][1].tolist() == [20.0] * 3
