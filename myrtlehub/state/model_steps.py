"""Steps that several kinds of moves of the model have in common."""

from enum import StrEnum

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import AnswerEvent, AnswerState
from myrtlehub.state.attempt import AttemptEvent, AttemptState
from myrtlehub.state.model import (
    TRUTHS_BEFORE_EFFECT,
    TRUTHS_WITH_EFFECT,
    EngineTruth,
    ModelConfig,
    ModelState,
    Move,
)
from myrtlehub.state.read_state import event_of_read_end, event_of_write_end
from myrtlehub.state.state_machine import CommonEffect, Transition, TransitionTable

_AFTER_RESET = {
    EngineTruth.IN_TRANSIT: EngineTruth.STOPPED,
    EngineTruth.ARRIVED: EngineTruth.STOPPED,
    EngineTruth.RUNNING: EngineTruth.STOPPED_AFTER_EFFECT,
}


def step(table: TransitionTable, state: StrEnum, event: StrEnum) -> Transition:
    """Look a transition up; what the table does not know is a violation."""
    return table.transitions.get((state, event), Transition(state, CommonEffect.VIOLATION))


def answer_client(config: ModelConfig, model: ModelState, index: int, event: AnswerEvent, label: str) -> Move:
    """Close the answer of a submission, and cancel what is outstanding for it."""
    submission = model.submissions[index]
    answer = step(config.answer_table, submission.answer, event).next_state
    if answer == submission.answer:
        violation = f"rule 1: {event} left sequence {submission.sequence} unanswered"
        return Move(label, model, violation if answer == AnswerState.PENDING else "")
    model = model.with_submission(index, submission._replace(answer=answer))
    if answer == AnswerState.REJECTED and config.semantics[submission.sequence] != RetrySemantics.IDEMPOTENT:
        truths = TRUTHS_WITH_EFFECT + TRUTHS_BEFORE_EFFECT
        if any(attempt.truth in truths for attempt in submission.writes(config)):
            violation = f"rule 2: {submission.sequence} was rejected, and an attempt has run or still can"
            return Move(label, model, violation)
    return Move(label, cancel_outstanding(config, model, index))


def cancel_outstanding(config: ModelConfig, model: ModelState, index: int) -> ModelState:
    """Have the node cancel all outstanding attempts of a submission; resets are then in transit."""
    if not config.may_cancel:
        return model
    for number, attempt in enumerate(model.submissions[index].attempts):
        if attempt.is_outstanding:
            model = learn_outcome(config, model, index, number, AttemptEvent.CANCELLED).state
            cancelled = model.submissions[index].attempts[number]
            model = model.with_attempt(index, number, cancelled._replace(is_reset_pending=True))
    return model


def learn_outcome(
    config: ModelConfig,
    model: ModelState,
    index: int,
    number: int,
    outcome: AttemptEvent,
    label: str = "",
    *,
    is_state_missing: bool = False,
) -> Move:
    """Have the node learn, or make, the end of an attempt."""
    attempt = model.submissions[index].attempts[number]
    after = step(config.attempt_table, attempt.state, outcome)
    if after.effect == CommonEffect.VIOLATION:
        return Move(label, model, f"attempt: {outcome} in {attempt.state}")
    violation = ""
    if attempt.is_outstanding:
        reader, event = -1, None
        if config.is_reader(attempt.engine):
            reader, event = attempt.engine, event_of_read_end(outcome)
        elif attempt.claimed_reader >= 0 and attempt.state != AttemptState.STREAMING:
            reader = attempt.claimed_reader
            event = event_of_write_end(outcome, is_state_missing=is_state_missing)
        if event is not None:
            model, violation = _step_read_state(config, model, index, reader, event)
    return Move(label, model.with_attempt(index, number, attempt._replace(state=after.next_state)), violation)


def _step_read_state(
    config: ModelConfig, model: ModelState, index: int, reader: int, event: StrEnum
) -> tuple[ModelState, str]:
    """Step what a reader is known to hold; the second result is a violation or ""."""
    submission = model.submissions[index]
    read_states = list(submission.read_states)
    after = step(config.read_state_table, read_states[reader], event)
    read_states[reader] = after.next_state
    model = model.with_submission(index, submission._replace(read_states=tuple(read_states)))
    return model, f"read state: {event}" if after.effect == CommonEffect.VIOLATION else ""


def reset_attempt(model: ModelState, index: int, number: int) -> ModelState:
    """Have the engine hear that nobody waits for an attempt: it stops."""
    attempt = model.submissions[index].attempts[number]
    truth = _AFTER_RESET.get(attempt.truth, attempt.truth)
    return model.with_attempt(index, number, attempt._replace(truth=truth, is_reset_pending=False))
