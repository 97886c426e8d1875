"""Progress of a rollout: `step` takes one event and returns the new state and the actions that it requires.

`RolloutState` is the complete state. A controller that resumes a rollout restores it by replaying the events
of the journal. Every action is idempotent: it names the target revision and has no effect if the node has it
already.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple, TypeVar

from myrtlehub.rollout.rollout_state import (
    FLEET,
    Action,
    ChangeMethod,
    NodeAction,
    RolloutPlan,
    RolloutState,
    stage_nodes,
    unavailable_nodes,
)
from myrtlehub.rollout.states import (
    CHANGED_STATES,
    CHANGING_STATES,
    ROLLBACK_STATES,
    NodeEffect,
    NodeEvent,
    NodeState,
    RolloutEffect,
    RolloutEvent,
    RolloutPhase,
)
from myrtlehub.state.state_machine import (
    CommonEffect,
    EventT,
    InvalidTransitionError,
    StateT,
    Transition,
    TransitionTable,
)

MAX_TOLERATED_EXITS = 1  # unexpected exits of one changed node; a single exit may have an unrelated cause

_PROCESS_ENDED = frozenset({NodeEvent.PROCESS_MISSING, NodeEvent.PROCESS_EXITED})
_PROCESS_SEEN = frozenset(
    {
        NodeEvent.SEEN_DRAINING,
        NodeEvent.OLD_STARTED,
        NodeEvent.OLD_READY,
        NodeEvent.NEW_STARTED,
        NodeEvent.NEW_READY,
        NodeEvent.OTHER_REVISION,
    }
)
_ACTIONS_BY_EFFECT: dict[StrEnum, NodeAction] = {
    NodeEffect.START_NEW: NodeAction.START_NEW,
    NodeEffect.START_OLD: NodeAction.START_OLD,
    NodeEffect.KILL: NodeAction.KILL,
    NodeEffect.REPORT: NodeAction.REPORT,
}
_UNCHANGED_STATES = frozenset({NodeState.WAITING, NodeState.ROLLED_BACK})

_Item = TypeVar("_Item")


class StepResult(NamedTuple):
    """The result of one event."""

    state: RolloutState
    actions: list[Action]  # in the order in which they have to be executed


def step(plan: RolloutPlan, state: RolloutState, node: int, event: NodeEvent | RolloutEvent) -> StepResult:
    """Apply an event and everything that follows from it.

    Args:
        plan: the plan of the rollout.
        state: the state before the event.
        node: index of the node that the event is about; FLEET for a `RolloutEvent`.
        event: the event.

    Raises:
        InvalidTransitionError: a table forbids the event in this state.
    """
    stepper = _Stepper(plan, state)
    if isinstance(event, RolloutEvent):
        stepper.apply_rollout_event(event)
    else:
        stepper.apply_node_event(node, event)
    stepper.advance()
    return StepResult(stepper.state, stepper.actions)


def _transition(table: TransitionTable[StateT, EventT], state: StateT, event: EventT) -> Transition[StateT]:
    transition = table.transitions.get((state, event))
    if transition is None or transition.effect is CommonEffect.VIOLATION:
        raise InvalidTransitionError(table.name, state, event)
    return transition


class _Stepper:
    """Applies one event and the events that follow from it, and collects the actions."""

    def __init__(self, plan: RolloutPlan, state: RolloutState) -> None:
        self.plan = plan
        self.state = state
        self.actions: list[Action] = []

    def apply_node_event(self, node: int, event: NodeEvent) -> None:
        """Apply an event of one node."""
        next_state, effect = _transition(self.plan.node_table, self.state.nodes[node], event)
        absent = self.state.absent
        if event in _PROCESS_ENDED:
            absent |= {node}
        elif event in _PROCESS_SEEN:
            absent -= {node}
        nodes = _replace_item(self.state.nodes, node, next_state)
        self.state = self.state._replace(nodes=nodes, absent=absent)
        self._apply_node_effect(node, effect)

    def _apply_node_effect(self, node: int, effect: StrEnum) -> None:
        in_place = self.plan.method is ChangeMethod.IN_PLACE
        if effect is NodeEffect.CHANGE:
            self._add_action(NodeAction.APPLY_NEW if in_place else NodeAction.DRAIN, node)
        elif effect is NodeEffect.REVERT:
            self._add_action(NodeAction.APPLY_OLD if in_place else NodeAction.DRAIN, node)
        elif effect in _ACTIONS_BY_EFFECT:
            self._add_action(_ACTIONS_BY_EFFECT[effect], node)
        elif effect is NodeEffect.FAIL:
            self._add_action(NodeAction.REPORT, node)
            self.apply_rollout_event(RolloutEvent.NODE_FAILED)
        elif effect is NodeEffect.COUNT_EXIT:
            self._handle_unexpected_exit(node)

    def _handle_unexpected_exit(self, node: int) -> None:
        """Count the exit and restart the process; hold the stage, or roll back after too many exits."""
        exits = min(self.state.unexpected_exits[node] + 1, MAX_TOLERATED_EXITS + 1)
        unexpected_exits = _replace_item(self.state.unexpected_exits, node, exits)
        self.state = self.state._replace(unexpected_exits=unexpected_exits)
        self._add_action(NodeAction.START_NEW, node)
        has_failed = exits > MAX_TOLERATED_EXITS
        self.apply_rollout_event(RolloutEvent.NODE_FAILED if has_failed else RolloutEvent.DISTURBANCE)

    def apply_rollout_event(self, event: RolloutEvent) -> None:
        """Apply an event of the whole rollout."""
        next_phase, effect = _transition(self.plan.rollout_table, self.state.phase, event)
        if effect is RolloutEffect.ROLL_BACK and self.state.phase is RolloutPhase.STUCK:
            stuck = [node for node, state in enumerate(self.state.nodes) if state is NodeState.STUCK]
            self._apply_node_events(stuck, NodeEvent.ROLL_BACK)
        if effect is RolloutEffect.NEXT_STAGE:
            if event is RolloutEvent.STAGE_PASSED:
                self._pass_stage()
            self.state = self.state._replace(stage=self.state.stage + 1)
        elif effect is RolloutEffect.FINISH and event is RolloutEvent.LAST_STAGE_PASSED:
            self._pass_stage()
        self.state = self.state._replace(phase=RolloutPhase(next_phase))
        if isinstance(effect, RolloutEffect):
            self._add_action(effect, FLEET)

    def _pass_stage(self) -> None:
        self._apply_node_events(stage_nodes(self.plan, self.state), NodeEvent.STAGE_PASSED)
        self.state = self.state._replace(stages_passed=self.state.stages_passed + 1)

    def advance(self) -> None:
        """Apply the events that follow from the state alone: scheduled nodes and completed phases."""
        stage = stage_nodes(self.plan, self.state)
        if self.state.phase is RolloutPhase.CHANGING:
            self._change_stage(stage)
        if self.state.phase is RolloutPhase.SETTLING and self._all_in(stage, NodeState.OBSERVED):
            self.apply_rollout_event(RolloutEvent.WARMED_UP)
        if self.state.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.STUCK):
            self._roll_back()

    def _change_stage(self, stage: tuple[int, ...]) -> None:
        """Schedule nodes up to the limit of unavailable nodes; end the phase once the stage is ready."""
        in_place = self.plan.method is ChangeMethod.IN_PLACE
        scheduled = NodeEvent.APPLY_SCHEDULED if in_place else NodeEvent.REPLACE_SCHEDULED
        for node in stage:
            is_waiting = self.state.nodes[node] is NodeState.WAITING
            if is_waiting and len(unavailable_nodes(self.state) | {node}) <= self.plan.max_unavailable:
                self.apply_node_event(node, scheduled)
        if self._all_in(stage, NodeState.READY) and not self.state.absent & set(stage):
            self._apply_node_events(stage, NodeEvent.STAGE_READY)
            self.apply_rollout_event(RolloutEvent.STAGE_READY)

    def _roll_back(self) -> None:
        """Continue the rollback, and complete it once no node has the change."""
        if self.state.phase is RolloutPhase.ROLLING_BACK:
            self._schedule_rollbacks()
        if all(state in _UNCHANGED_STATES for state in self.state.nodes):
            self.apply_rollout_event(RolloutEvent.ALL_ROLLED_BACK)
            return
        is_any_changing = any(state in CHANGING_STATES for state in self.state.nodes)
        if self.state.phase is RolloutPhase.ROLLING_BACK and not is_any_changing:
            # A node was rolled back and its old program did not start, so rolling back further nodes could
            # make them unavailable as well
            # (test_an_old_program_that_does_not_start_leaves_the_node_stuck_and_reported).
            self.apply_rollout_event(RolloutEvent.ROLLBACK_BLOCKED)

    def _schedule_rollbacks(self) -> None:
        """Schedule rollbacks: unavailable nodes first, then others up to the limit of unavailable nodes."""
        changed = [
            node
            for node, state in enumerate(self.state.nodes)
            if state in CHANGED_STATES and state not in ROLLBACK_STATES
        ]
        unavailable = unavailable_nodes(self.state)
        for node in sorted(changed, key=lambda node: (node not in unavailable, node)):
            # Unchanged nodes without a process are not counted: a node that never comes back may delay the
            # change of further nodes, but must not delay a rollback.
            counted_unavailable = {
                other
                for other in unavailable_nodes(self.state)
                if self.state.nodes[other] is not NodeState.WAITING
            }
            if node in counted_unavailable or len(counted_unavailable | {node}) <= self.plan.max_unavailable:
                self.apply_node_event(node, NodeEvent.ROLL_BACK)

    def _apply_node_events(self, nodes: Iterable[int], event: NodeEvent) -> None:
        for node in nodes:
            self.apply_node_event(node, event)

    def _all_in(self, nodes: Iterable[int], state: NodeState) -> bool:
        return all(self.state.nodes[node] is state for node in nodes)

    def _add_action(self, kind: NodeAction | RolloutEffect, node: int) -> None:
        self.actions.append(Action(kind, node))


def _replace_item(items: tuple[_Item, ...], index: int, item: _Item) -> tuple[_Item, ...]:
    return (*items[:index], item, *items[index + 1 :])
