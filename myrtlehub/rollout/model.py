"""A model of a rollout for `state.model_checker`: the progress, the processes of the nodes, and faults.

Nodes and the controller may fail at any point. The model contains the actual state of each process in
addition to the controller's view of it, and the invariants are checked against the actual state.
"""

from collections.abc import Iterator
from enum import IntEnum, StrEnum
from typing import NamedTuple

from myrtlehub.rollout.progress import step
from myrtlehub.rollout.rollout_state import (
    FLEET,
    Action,
    NodeAction,
    RolloutPlan,
    RolloutState,
    initial_state,
)
from myrtlehub.rollout.states import CHANGING_STATES, NodeEvent, NodeState, RolloutEvent, RolloutPhase
from myrtlehub.state.state_machine import InvalidTransitionError

END_PHASES = frozenset({RolloutPhase.COMMITTED, RolloutPhase.ROLLED_BACK, RolloutPhase.STUCK})


class ModelRevision(IntEnum):
    """The revision of a process in the model."""

    OLD = 0
    NEW = 1


OLD = ModelRevision.OLD
NEW = ModelRevision.NEW
STATUS_EVENTS = {  # by revision and readiness
    (OLD, False): NodeEvent.OLD_STARTED,
    (OLD, True): NodeEvent.OLD_READY,
    (NEW, False): NodeEvent.NEW_STARTED,
    (NEW, True): NodeEvent.NEW_READY,
}


class ProgramFault(StrEnum):
    """How the program of a revision fails after its start."""

    NONE = ""
    EXITS = "exits"
    NEVER_READY = "never ready"


class ProcessState(NamedTuple):
    """The actual state of a node's process."""

    revision: ModelRevision = OLD
    is_up: bool = True
    is_draining: bool = False
    is_ready: bool = True
    is_own_child: bool = False  # child of the running controller, which is therefore notified of its exit
    was_killed: bool = False  # by a fault, so that its unavailability is not due to an order


class ModelState(NamedTuple):
    """The state of the whole model."""

    rollout: RolloutState
    processes: tuple[ProcessState, ...]  # by node
    pending: tuple[Action, ...] = ()  # required actions that are not executed yet
    faults: int = 0  # number of faults so far


class ModelStep(NamedTuple):
    """One transition of the model, with its result."""

    label: str
    state: ModelState  # after the step
    violation: str = ""  # describes the invariant that the state violates; empty if it violates none


class ModelConfig(NamedTuple):
    """The size of the model and the faults that may occur."""

    plan: RolloutPlan
    max_faults: int = 1  # node kills, controller restarts and operator rollbacks, together, in one run
    new_fault: ProgramFault = ProgramFault.NONE
    old_fault: ProgramFault = ProgramFault.NONE  # of the old program after a restart


def initial_model_state(config: ModelConfig) -> ModelState:
    """Return the state before the rollout begins."""
    return ModelState(initial_state(config.plan), (ProcessState(),) * config.plan.node_count)


class ModelTransitions:
    """The possible steps; an instance is called with a state and yields all steps from it."""

    def __init__(self, config: ModelConfig) -> None:
        """Create the steps of a model with this configuration."""
        self.config = config
        self.plan = config.plan

    def __call__(self, state: ModelState) -> Iterator[ModelStep]:
        """Yield all steps from a state."""
        if state.pending:
            yield self._execute_next_action(state)
        else:
            yield from self._status_steps(state)
            yield from self._timer_steps(state)
            yield from self._verdict_steps(state)
        yield from self._process_steps(state)
        if state.faults < self.config.max_faults:
            yield from self._fault_steps(state)

    def _apply_event(
        self, state: ModelState, node: int, event: NodeEvent | RolloutEvent, label: str = ""
    ) -> ModelStep:
        label = label or f"{event} {'' if node == FLEET else node}".strip()
        try:
            result = step(self.plan, state.rollout, node, event)
        except InvalidTransitionError as error:
            return ModelStep(label, state, f"invalid transition: {error}")
        node_actions = tuple(action for action in result.actions if action.node != FLEET)
        next_state = state._replace(rollout=result.state, pending=state.pending + node_actions)
        return self._with_violation(label, next_state)

    def _with_violation(self, label: str, next_state: ModelState) -> ModelStep:
        return ModelStep(label, next_state, self._find_violation(next_state))

    def _find_violation(self, state: ModelState) -> str:
        rollout = state.rollout
        if rollout.stage > rollout.stages_passed:
            return f"stage {rollout.stage} began after {rollout.stages_passed} passed stages"
        if rollout.phase is RolloutPhase.COMMITTED and not all(
            state.processes[node].revision == NEW for stage in self.plan.stages for node in stage
        ):
            return "committed although a node has the old revision"
        if rollout.phase is RolloutPhase.ROLLED_BACK and any(
            process.is_up and process.revision == NEW and not process.is_draining
            for process in state.processes
        ):
            return "rolled back although a node has the new revision"
        unavailable = [
            node
            for node, process in enumerate(state.processes)
            if (not process.is_up or process.is_draining) and not process.was_killed
        ]
        if len(unavailable) > self.plan.max_unavailable:
            return (
                f"nodes {unavailable} are unavailable because of orders, "
                f"the limit is {self.plan.max_unavailable}"
            )
        return ""

    def _execute_next_action(self, state: ModelState) -> ModelStep:
        kind, node = state.pending[0]
        next_state = state._replace(pending=state.pending[1:])
        process = state.processes[node]
        is_up = process.is_up
        if kind is NodeAction.DRAIN and is_up:
            next_state = _with_process(next_state, node, process._replace(is_draining=True))
        elif kind is NodeAction.APPLY_NEW and is_up:
            next_state = _with_process(next_state, node, process._replace(revision=NEW))
        elif kind is NodeAction.APPLY_OLD and is_up:
            next_state = _with_process(next_state, node, process._replace(revision=OLD))
        elif kind is NodeAction.START_NEW and not is_up:
            next_state = self._with_started_process(next_state, node, NEW)
        elif kind is NodeAction.START_OLD and not is_up:
            next_state = self._with_started_process(next_state, node, OLD)
        elif kind is NodeAction.KILL:
            next_state = _with_process(next_state, node, process._replace(is_up=False, is_draining=False))
        return self._with_violation(f"{kind} {node}", next_state)

    def _with_started_process(self, state: ModelState, node: int, revision: ModelRevision) -> ModelState:
        process = state.processes[node]._replace(
            revision=revision,
            is_up=self._program_fault(revision) is not ProgramFault.EXITS,
            is_draining=False,
            is_ready=False,
            is_own_child=True,
        )
        return _with_process(state, node, process)

    def _program_fault(self, revision: ModelRevision) -> ProgramFault:
        return self.config.new_fault if revision == NEW else self.config.old_fault

    def _status_steps(self, state: ModelState) -> Iterator[ModelStep]:
        for node, process in enumerate(state.processes):
            event = _status_event(process)
            model_step = self._apply_event(state, node, event, f"{node} is seen {event}")
            if model_step.violation or model_step.state != state:
                yield model_step

    def _timer_steps(self, state: ModelState) -> Iterator[ModelStep]:
        rollout = state.rollout
        for node, node_state in enumerate(rollout.nodes):
            if node_state is NodeState.WARMING:
                yield self._apply_event(state, node, NodeEvent.WARMED_UP)
            is_restarting = node_state is NodeState.RESTARTING_OLD
            if node_state in CHANGING_STATES and (state.processes[node].is_up or is_restarting):
                yield self._apply_event(state, node, NodeEvent.TIMED_OUT)
        if rollout.phase in (RolloutPhase.CHANGING, RolloutPhase.SETTLING, RolloutPhase.ON_HOLD):
            yield self._apply_event(state, FLEET, RolloutEvent.PHASE_TIMED_OUT)

    def _verdict_steps(self, state: ModelState) -> Iterator[ModelStep]:
        is_last = state.rollout.stage == len(self.plan.stages) - 1
        pass_event = RolloutEvent.LAST_STAGE_PASSED if is_last else RolloutEvent.STAGE_PASSED
        events = {
            RolloutPhase.PLANNED: (RolloutEvent.BEGIN,),
            RolloutPhase.MEASURING: (RolloutEvent.BASELINE_MEASURED,),
            RolloutPhase.OBSERVING: (pass_event, RolloutEvent.WORSE, RolloutEvent.DISTURBANCE),
            RolloutPhase.ON_HOLD: (RolloutEvent.DISTURBANCE_OVER, RolloutEvent.WORSE),
        }
        for event in events.get(state.rollout.phase, ()):
            yield self._apply_event(state, FLEET, event)

    def _process_steps(self, state: ModelState) -> Iterator[ModelStep]:
        for node, process in enumerate(state.processes):
            if process.is_draining:
                exited = process._replace(is_up=False, is_draining=False, is_own_child=False)
                yield self._with_violation(
                    f"{node} has drained and exited", _with_process(state, node, exited)
                )
            stays_unready = self._program_fault(process.revision) is ProgramFault.NEVER_READY
            if process.is_up and not process.is_ready and not stays_unready:
                ready = process._replace(is_ready=True)
                yield ModelStep(f"{node} becomes ready", _with_process(state, node, ready))

    def _fault_steps(self, state: ModelState) -> Iterator[ModelStep]:
        with_fault = state._replace(faults=state.faults + 1)
        phase = state.rollout.phase
        if phase is not RolloutPhase.PLANNED and phase not in END_PHASES:
            yield self._apply_event(with_fault, FLEET, RolloutEvent.ROLL_BACK, "the operator rolls back")
        orphans = tuple(process._replace(is_own_child=False) for process in with_fault.processes)
        yield ModelStep(
            "the controller is killed and resumed", with_fault._replace(pending=(), processes=orphans)
        )
        for node, process in enumerate(state.processes):
            if process.is_up and not process.is_draining:
                killed = process._replace(is_up=False, was_killed=True)
                yield ModelStep(f"{node} is killed", _with_process(with_fault, node, killed))


def _status_event(process: ProcessState) -> NodeEvent:
    if not process.is_up:
        return NodeEvent.PROCESS_EXITED if process.is_own_child else NodeEvent.PROCESS_MISSING
    if process.is_draining:
        return NodeEvent.SEEN_DRAINING
    return STATUS_EVENTS[process.revision, process.is_ready]


def _with_process(state: ModelState, node: int, process: ProcessState) -> ModelState:
    processes = state.processes
    return state._replace(processes=(*processes[:node], process, *processes[node + 1 :]))
