"""All steps of the model, and the invariants that every reachable state has to satisfy."""

from collections.abc import Iterator

from myrtlehub.recovery.model import network_steps, owner_steps, takeover_steps
from myrtlehub.recovery.model.state import (
    FIRST_OWNER,
    Answer,
    ModelOwner,
    ModelParameters,
    ModelState,
    Phase,
    Step,
)
from myrtlehub.recovery.sequence_records import RetrySemantics


class RecoveryModel:
    """The model; the model checker calls it with a state to get the steps that are possible from it."""

    def __init__(self, parameters: ModelParameters) -> None:
        self.parameters = parameters

    def __call__(self, state: ModelState) -> Iterator[tuple[str, ModelState, str]]:
        """Yield the label, the next state and the violation (empty if there is none) of each step."""
        for label, next_state in self._steps(state):
            yield label, next_state, self._violation(next_state)

    def _violation(self, state: ModelState) -> str:
        """Return a description of the invariant that a state violates; empty if it violates none."""
        if self.parameters.retry_semantics == RetrySemantics.AT_MOST_ONCE and state.execution_count > 1:
            return f"rule 2: an at-most-once sequence ran {state.execution_count} times"
        was_rejected = any(owner.answer == Answer.REJECTED for owner in state.owners)
        if (
            was_rejected
            and state.execution_count
            and self.parameters.retry_semantics != RetrySemantics.IDEMPOTENT
        ):
            return "rule 2: a client got a rejection although the sequence has run"
        return ""

    def _steps(self, state: ModelState) -> Iterator[Step]:
        for owner_index, owner in enumerate(state.owners):
            yield from self._owner_steps(state, owner_index, owner)
        yield from network_steps.deliver_messages(self.parameters, state)
        yield from network_steps.run_attempts(state)
        if state.fault_count < self.parameters.max_faults:
            yield from network_steps.restart_processes(self.parameters, state)

    def _owner_steps(self, state: ModelState, owner_index: int, owner: ModelOwner) -> Iterator[Step]:
        match owner.phase:
            case Phase.IDLE if state.owners[FIRST_OWNER].answer is None:
                next_state = state.with_owner(owner_index, owner._replace(phase=Phase.FETCHING_RECORD))
                yield Step(f"the client resumes at node {owner_index}", next_state)
            case Phase.FETCHING_RECORD:
                yield from takeover_steps.query_replicas(self.parameters, state, owner_index, owner)
            case Phase.CLAIMING_ENGINES:
                yield from takeover_steps.claim_engines(self.parameters, state, owner_index, owner)
            case Phase.INTENDING:
                yield from owner_steps.add_intent(self.parameters, state, owner_index, owner)
            case Phase.WAITING:
                yield from owner_steps.wait_for_replicas(self.parameters, state, owner_index, owner)
            case Phase.SENT:
                yield from owner_steps.observe_attempt(state, owner_index, owner)
