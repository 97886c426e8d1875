"""Functions shared by several kinds of steps of the model."""

from typing import NamedTuple, TypeVar

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import AnswerEvent, AnswerState
from myrtlehub.state.attempt import AttemptEvent, AttemptState
from myrtlehub.state.model import (
    STATES_BEFORE_EFFECT,
    STATES_WITH_EFFECT,
    ActualState,
    ModelAttempt,
    ModelConfig,
    ModelState,
    ModelStep,
)
from myrtlehub.state.read_state import ReadStateEvent, event_of_read_end, event_of_write_end
from myrtlehub.state.state_machine import CommonEffect, EventT, StateT, Transition, TransitionTable

ItemT = TypeVar("ItemT")

_AFTER_RESET = {
    ActualState.IN_TRANSIT: ActualState.STOPPED,
    ActualState.ARRIVED: ActualState.STOPPED,
    ActualState.RUNNING: ActualState.STOPPED_AFTER_EFFECT,
}


class _ReadStateStep(NamedTuple):
    """An event of the read state of one reader."""

    reader: int
    event: ReadStateEvent


def find_transition(
    table: TransitionTable[StateT, EventT], state: StateT, event: EventT
) -> Transition[StateT]:
    """Return a transition from the table; an event that the table does not define is a violation."""
    return table.transitions.get((state, event), Transition(state, CommonEffect.VIOLATION))


def replace_item(items: tuple[ItemT, ...], index: int, item: ItemT) -> tuple[ItemT, ...]:
    """Return a copy with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def answer_client(
    config: ModelConfig, model: ModelState, submission_index: int, event: AnswerEvent, label: str
) -> ModelStep:
    """Send a submission its final answer and cancel its outstanding attempts."""
    submission = model.submissions[submission_index]
    answer = find_transition(config.answer_table, submission.answer, event).next_state
    if answer == submission.answer:
        violation = f"rule 1: {event} left sequence {submission.sequence} unanswered"
        return ModelStep(label, model, violation if answer == AnswerState.PENDING else None)
    model = model.with_submission(submission_index, submission._replace(answer=answer))
    if answer == AnswerState.REJECTED and config.semantics[submission.sequence] != RetrySemantics.IDEMPOTENT:
        unsafe_states = STATES_WITH_EFFECT + STATES_BEFORE_EFFECT
        if any(attempt.actual_state in unsafe_states for attempt in submission.writes(config)):
            violation = f"rule 2: {submission.sequence} was rejected, and an attempt has run or still can"
            return ModelStep(label, model, violation)
    return ModelStep(label, cancel_outstanding(config, model, submission_index))


def cancel_outstanding(config: ModelConfig, model: ModelState, submission_index: int) -> ModelState:
    """Cancel all outstanding attempts of a submission at its node, which sends a reset for each of them."""
    if not config.may_cancel:
        return model
    for attempt_index, attempt in enumerate(model.submissions[submission_index].attempts):
        if attempt.is_outstanding:
            model = apply_outcome(
                config, model, submission_index, attempt_index, AttemptEvent.CANCELLED
            ).state
            cancelled = model.submissions[submission_index].attempts[attempt_index]
            model = model.with_attempt(
                submission_index, attempt_index, cancelled._replace(is_reset_pending=True)
            )
    return model


def apply_outcome(
    config: ModelConfig,
    model: ModelState,
    submission_index: int,
    attempt_index: int,
    outcome: AttemptEvent,
    label: str = "",
    *,
    is_state_missing: bool = False,
) -> ModelStep:
    """Update what the node knows after an attempt has ended; the node observed or caused the end."""
    attempt = model.submissions[submission_index].attempts[attempt_index]
    transition = find_transition(config.attempt_table, attempt.known_state, outcome)
    if transition.effect == CommonEffect.VIOLATION:
        return ModelStep(label, model, f"attempt: {outcome} in {attempt.known_state}")
    violation: str | None = None
    read_state_step = _read_state_step(config, attempt, outcome, is_state_missing)
    if read_state_step is not None:
        model, violation = _step_read_state(config, model, submission_index, read_state_step)
    ended = attempt._replace(known_state=transition.next_state)
    return ModelStep(label, model.with_attempt(submission_index, attempt_index, ended), violation)


def _read_state_step(
    config: ModelConfig, attempt: ModelAttempt, outcome: AttemptEvent, is_state_missing: bool
) -> _ReadStateStep | None:
    """Return the read-state event that results from the end of an attempt, or None if there is none."""
    if not attempt.is_outstanding:
        return None
    if config.is_reader(attempt.engine):
        return _ReadStateStep(attempt.engine, event_of_read_end(outcome))
    if attempt.claimed_reader is None or attempt.known_state == AttemptState.STREAMING:
        return None
    event = event_of_write_end(outcome, is_state_missing=is_state_missing)
    return _ReadStateStep(attempt.claimed_reader, event)


def _step_read_state(
    config: ModelConfig, model: ModelState, submission_index: int, read_state_step: _ReadStateStep
) -> tuple[ModelState, str | None]:
    """Apply a read-state event to what the node knows; return the updated model and the violation, if any."""
    submission = model.submissions[submission_index]
    reader, event = read_state_step
    transition = find_transition(config.read_state_table, submission.read_states[reader], event)
    read_states = replace_item(submission.read_states, reader, transition.next_state)
    model = model.with_submission(submission_index, submission._replace(read_states=read_states))
    return model, f"read state: {event}" if transition.effect == CommonEffect.VIOLATION else None


def reset_attempt(model: ModelState, submission_index: int, attempt_index: int) -> ModelState:
    """Deliver the reset of an attempt to its engine, which then stops the attempt."""
    attempt = model.submissions[submission_index].attempts[attempt_index]
    actual_state = _AFTER_RESET.get(attempt.actual_state, attempt.actual_state)
    return model.with_attempt(
        submission_index, attempt_index, attempt._replace(actual_state=actual_state, is_reset_pending=False)
    )
