"""Progress of a rollout: where it and each node stand, and what has to be done next.

`step` takes one event and returns the new state and the actions that it asks for, in order. The state is all
there is to know, so that a controller that died resumes by taking the events of its journal once more. An
action may be carried out twice: each names the revision that it wants, and does nothing where that is there.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from myrtlehub.rollout.node_table import NODE_TABLE
from myrtlehub.rollout.rollout_table import ROLLOUT_TABLE
from myrtlehub.rollout.states import (
    CHANGED_STATES,
    MOVING_STATES,
    ROLLBACK_STATES,
    NodeEffect,
    NodeEvent,
    NodeState,
    RolloutEffect,
    RolloutEvent,
    RolloutPhase,
)
from myrtlehub.state.state_machine import CommonEffect, InvalidTransitionError, Transition, TransitionTable

FLEET = -1  # in place of a node's index: the whole rollout
CHANCE_DEATHS = 1  # of one changed node that are put down to chance: something else may have killed it once


class ChangeMethod(StrEnum):
    """How a node gets another revision."""

    IN_PLACE = "in place"
    REPLACE = "replace"


class NodeAction(StrEnum):
    """What has to be done with one node."""

    DRAIN = "leave"
    APPLY_NEW = "apply"
    APPLY_OLD = "unapply"
    START_NEW = "begin"
    START_OLD = "begin old"
    KILL = "kill"
    REPORT = "tell"


class Action(NamedTuple):
    """One thing to do, for a node or for the whole rollout."""

    kind: NodeAction | RolloutEffect
    node: int  # its index, or FLEET


class RolloutPlan(NamedTuple):
    """What progress needs to know of a plan. Nodes are small indices, as in all of this package."""

    node_count: int
    stages: tuple[tuple[int, ...], ...]  # each node once, in the order of their turns
    method: ChangeMethod = ChangeMethod.REPLACE
    max_unavailable: int = 1
    node_table: TransitionTable = NODE_TABLE
    rollout_table: TransitionTable = ROLLOUT_TABLE


class RolloutState(NamedTuple):
    """Where the rollout and all nodes stand."""

    phase: RolloutPhase
    stage: int  # index of the stage in work; -1 before the first
    nodes: tuple[NodeState, ...]
    absent: frozenset[int] = frozenset()  # nodes without a process when last seen
    deaths: tuple[int, ...] = ()  # by node: processes that ended by themselves since it was changed
    stages_passed: int = 0  # by a verdict


class StepResult(NamedTuple):
    """What follows from one event."""

    state: RolloutState
    actions: list[Action]


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
_DIRECT_ACTIONS = {
    NodeEffect.START_NEW: NodeAction.START_NEW,
    NodeEffect.START_OLD: NodeAction.START_OLD,
    NodeEffect.KILL: NodeAction.KILL,
    NodeEffect.REPORT: NodeAction.REPORT,
}
_UNCHANGED_STATES = frozenset({NodeState.WAITING, NodeState.ROLLED_BACK})


def initial_state(plan: RolloutPlan) -> RolloutState:
    """Return the state before anything was done.

    Raises:
        ValueError: the stages name a node twice or one that is not there, or the plan can do nothing.
    """
    named = [node for stage in plan.stages for node in stage]
    if sorted(named) != sorted(set(named)) or not set(named) <= set(range(plan.node_count)):
        raise ValueError("stages have to name each node once, and none that is not in the fleet")
    if not all(plan.stages) or not plan.stages or plan.max_unavailable < 1:
        raise ValueError("a plan needs a stage, no empty one, and at least one node that may be away")
    return RolloutState(
        plan.rollout_table.initial,
        -1,
        (plan.node_table.initial,) * plan.node_count,
        frozenset(),
        (0,) * plan.node_count,
    )


def unavailable_nodes(state: RolloutState) -> set[int]:
    """Return the nodes that may not be serving now."""
    moving = {node for node, node_state in enumerate(state.nodes) if node_state in MOVING_STATES}
    return moving | state.absent


def stage_nodes(plan: RolloutPlan, state: RolloutState) -> tuple[int, ...]:
    """Return the nodes of the stage in work."""
    return plan.stages[state.stage] if 0 <= state.stage < len(plan.stages) else ()


def step(plan: RolloutPlan, state: RolloutState, node: int, event: NodeEvent | RolloutEvent) -> StepResult:
    """Take an event of a node, or of the whole rollout where `node` is FLEET.

    Raises:
        InvalidTransitionError: a table rules the event out.
    """
    stepper = _Stepper(plan, state)
    if node == FLEET:
        stepper.take_rollout_event(event)
    else:
        stepper.take_node_event(node, event)
    stepper.advance()
    return StepResult(stepper.state, stepper.actions)


def _transition(table: TransitionTable, state: StrEnum, event: StrEnum) -> Transition:
    transition = table.transitions.get((state, event))
    if transition is None or transition.effect is CommonEffect.VIOLATION:
        raise InvalidTransitionError(table.name, state, event)
    return transition


class _Stepper:
    """Takes one event and what follows from it, and collects the actions."""

    def __init__(self, plan: RolloutPlan, state: RolloutState) -> None:
        self.plan = plan
        self.state = state
        self.actions: list[Action] = []

    def take_node_event(self, node: int, event: NodeEvent) -> None:
        """Move one node, and the rollout where that concerns it."""
        next_state, effect = _transition(self.plan.node_table, self.state.nodes[node], event)
        absent = self.state.absent
        if event in _PROCESS_ENDED:
            absent |= {node}
        elif event in _PROCESS_SEEN:
            absent -= {node}
        nodes = _replaced(self.state.nodes, node, next_state)
        self.state = self.state._replace(nodes=nodes, absent=absent)
        self._carry_out_node_effect(node, effect)

    def _carry_out_node_effect(self, node: int, effect: StrEnum) -> None:
        in_place = self.plan.method is ChangeMethod.IN_PLACE
        if effect is NodeEffect.CHANGE:
            self._add(NodeAction.APPLY_NEW if in_place else NodeAction.DRAIN, node)
        elif effect is NodeEffect.REVERT:
            self._add(NodeAction.APPLY_OLD if in_place else NodeAction.DRAIN, node)
        elif effect in _DIRECT_ACTIONS:
            self._add(_DIRECT_ACTIONS[effect], node)
        elif effect is NodeEffect.FAIL:
            self._add(NodeAction.REPORT, node)
            self.take_rollout_event(RolloutEvent.NODE_FAILED)
        elif effect is NodeEffect.COUNT_EXIT:
            self._count_death(node)

    def _count_death(self, node: int) -> None:
        deaths = min(self.state.deaths[node] + 1, CHANCE_DEATHS + 1)
        self.state = self.state._replace(deaths=_replaced(self.state.deaths, node, deaths))
        self._add(NodeAction.START_NEW, node)
        # One death of one node may have any cause: the stage is held and observed anew. A second one is not.
        too_many = deaths > CHANCE_DEATHS
        self.take_rollout_event(RolloutEvent.NODE_FAILED if too_many else RolloutEvent.DISTURBANCE)

    def take_rollout_event(self, event: RolloutEvent) -> None:
        """Move the rollout, and those of its nodes that the event is about."""
        next_phase, effect = _transition(self.plan.rollout_table, self.state.phase, event)
        if effect is RolloutEffect.ROLL_BACK and self.state.phase is RolloutPhase.STUCK:
            stuck = [node for node, state in enumerate(self.state.nodes) if state is NodeState.STUCK]
            self._take_node_events(stuck, NodeEvent.ROLL_BACK)
        if effect is RolloutEffect.NEXT_STAGE:
            if event is RolloutEvent.STAGE_PASSED:
                self._pass_stage()
            self.state = self.state._replace(stage=self.state.stage + 1)
        elif effect is RolloutEffect.FINISH and event is RolloutEvent.LAST_STAGE_PASSED:
            self._pass_stage()
        self.state = self.state._replace(phase=next_phase)
        if isinstance(effect, RolloutEffect):
            self._add(effect, FLEET)

    def _pass_stage(self) -> None:
        self._take_node_events(stage_nodes(self.plan, self.state), NodeEvent.STAGE_PASSED)
        self.state = self.state._replace(stages_passed=self.state.stages_passed + 1)

    def advance(self) -> None:
        """Take what follows without anything being seen: whose turn it is, and what is complete."""
        stage = stage_nodes(self.plan, self.state)
        if self.state.phase is RolloutPhase.CHANGING:
            self._change_stage(stage)
        if self.state.phase is RolloutPhase.SETTLING and self._all_in(stage, NodeState.OBSERVED):
            self.take_rollout_event(RolloutEvent.WARMED_UP)
        if self.state.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.STUCK):
            self._roll_back()

    def _change_stage(self, stage: tuple[int, ...]) -> None:
        """Give nodes their turn as far as nodes may be unavailable; end the stage once all are ready."""
        in_place = self.plan.method is ChangeMethod.IN_PLACE
        turn = NodeEvent.APPLY_SCHEDULED if in_place else NodeEvent.REPLACE_SCHEDULED
        for node in stage:
            waits = self.state.nodes[node] is NodeState.WAITING
            if waits and len(unavailable_nodes(self.state) | {node}) <= self.plan.max_unavailable:
                self.take_node_event(node, turn)
        if self._all_in(stage, NodeState.READY) and not self.state.absent & set(stage):
            self._take_node_events(stage, NodeEvent.STAGE_READY)
            self.take_rollout_event(RolloutEvent.STAGE_READY)

    def _roll_back(self) -> None:
        """Roll back nodes that are unavailable already first, then as many at a time as may be."""
        if self.state.phase is RolloutPhase.ROLLING_BACK:
            self._roll_back_nodes()
        if all(state in _UNCHANGED_STATES for state in self.state.nodes):
            self.take_rollout_event(RolloutEvent.ALL_ROLLED_BACK)
            return
        moving = any(state in MOVING_STATES for state in self.state.nodes)
        if self.state.phase is RolloutPhase.ROLLING_BACK and not moving:
            # Guards against an old program that no longer starts: no further node is rolled back.
            self.take_rollout_event(RolloutEvent.ROLLBACK_BLOCKED)

    def _roll_back_nodes(self) -> None:
        changed = [
            node
            for node, state in enumerate(self.state.nodes)
            if state in CHANGED_STATES and state not in ROLLBACK_STATES
        ]
        unavailable = unavailable_nodes(self.state)
        for node in sorted(changed, key=lambda node: (node not in unavailable, node)):
            # Guards against an unchanged node that is gone for good: it may hold up a change, but never a
            # rollback.
            ours = {
                other
                for other in unavailable_nodes(self.state)
                if self.state.nodes[other] is not NodeState.WAITING
            }
            if node in ours or len(ours | {node}) <= self.plan.max_unavailable:
                self.take_node_event(node, NodeEvent.ROLL_BACK)

    def _take_node_events(self, nodes: Iterable[int], event: NodeEvent) -> None:
        for node in nodes:
            self.take_node_event(node, event)

    def _all_in(self, nodes: Iterable[int], state: NodeState) -> bool:
        return all(self.state.nodes[node] is state for node in nodes)

    def _add(self, kind: NodeAction | RolloutEffect, node: int) -> None:
        self.actions.append(Action(kind, node))


def _replaced(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])
