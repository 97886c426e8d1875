"""The state of a rollout, the part of its plan that progress depends on, and the actions that it requires."""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.rollout.errors import StagePlanError
from myrtlehub.rollout.node_table import NODE_TABLE
from myrtlehub.rollout.rollout_table import ROLLOUT_TABLE
from myrtlehub.rollout.states import (
    CHANGING_STATES,
    NodeEvent,
    NodeState,
    RolloutEffect,
    RolloutEvent,
    RolloutPhase,
)
from myrtlehub.state.state_machine import TransitionTable

FLEET = -1  # in place of a node's index, for the whole rollout; journal entries omit it as the default
BEFORE_FIRST_STAGE = -1  # in place of a stage's index; incremented to the first index, 0


class ChangeMethod(StrEnum):
    """How the revision of a node is changed."""

    IN_PLACE = "in place"
    REPLACE = "replace"


class NodeAction(StrEnum):
    """An action on one node."""

    DRAIN = "leave"
    APPLY_NEW = "apply"
    APPLY_OLD = "unapply"
    START_NEW = "begin"
    START_OLD = "begin old"
    KILL = "kill"
    REPORT = "tell"


class Action(NamedTuple):
    """An action to execute: a `NodeAction` on one node, or an effect on the whole rollout."""

    kind: NodeAction | RolloutEffect
    node: int  # index of the node, or FLEET


class RolloutPlan(NamedTuple):
    """The part of a plan that progress depends on. Throughout this package, nodes are given by index."""

    node_count: int
    stages: tuple[tuple[int, ...], ...]  # each node at most once, in the order in which nodes are changed
    method: ChangeMethod = ChangeMethod.REPLACE
    max_unavailable: int = 1  # nodes
    node_table: TransitionTable[NodeState, NodeEvent] = NODE_TABLE
    rollout_table: TransitionTable[RolloutPhase, RolloutEvent] = ROLLOUT_TABLE


class RolloutState(NamedTuple):
    """The state of the rollout and of all nodes."""

    phase: RolloutPhase
    stage: int  # index of the current stage, or BEFORE_FIRST_STAGE
    nodes: tuple[NodeState, ...]
    absent: frozenset[int] = frozenset()  # nodes without a process at the last poll
    unexpected_exits: tuple[int, ...] = ()  # by node: number of unexpected process exits since the change
    stages_passed: int = 0  # number of stages that passed the canary analysis


def initial_state(plan: RolloutPlan) -> RolloutState:
    """Return the state before the rollout begins.

    Raises:
        StagePlanError: the stages contain a node twice or an unknown node, or the plan cannot be carried out.
    """
    staged = [node for stage in plan.stages for node in stage]
    if sorted(staged) != sorted(set(staged)) or not set(staged) <= set(range(plan.node_count)):
        raise StagePlanError("stages must contain each node at most once, and only nodes of the fleet")
    if not all(plan.stages) or not plan.stages or plan.max_unavailable < 1:
        raise StagePlanError(
            "a plan must have a stage, no empty stage, and a limit of at least one unavailable node"
        )
    return RolloutState(
        phase=RolloutPhase(plan.rollout_table.initial),
        stage=BEFORE_FIRST_STAGE,
        nodes=(NodeState(plan.node_table.initial),) * plan.node_count,
        unexpected_exits=(0,) * plan.node_count,
    )


def unavailable_nodes(state: RolloutState) -> set[int]:
    """Return the nodes that may not be serving at present."""
    changing = {node for node, node_state in enumerate(state.nodes) if node_state in CHANGING_STATES}
    return changing | state.absent


def stage_nodes(plan: RolloutPlan, state: RolloutState) -> tuple[int, ...]:
    """Return the nodes of the current stage; empty before the first stage."""
    return plan.stages[state.stage] if 0 <= state.stage < len(plan.stages) else ()
