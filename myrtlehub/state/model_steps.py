"""Functions that several kinds of steps of the model share."""

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


def step(table: TransitionTable[StateT, EventT], state: StateT, event: EventT) -> Transition[StateT]:
    """Look up a transition; an event that is missing from the table is a violation."""
    return table.transitions.get((state, event), Transition(state, CommonEffect.VIOLATION))


def replace_item(items: tuple[ItemT, ...], index: int, item: ItemT) -> tuple[ItemT, ...]:
    """Return a copy with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def answer_client(
    config: ModelConfig, model: ModelState, index: int, event: AnswerEvent, label: str
) -> ModelStep:
    """Give a submission its final answer, and cancel its outstanding attempts."""
    submission = model.submissions[index]
    answer = step(config.answer_table, submission.answer, event).next_state
    if answer == submission.answer:
        violation = f"rule 1: {event} left sequence {submission.sequence} unanswered"
        return ModelStep(label, model, violation if answer == AnswerState.PENDING else None)
    model = model.with_submission(index, submission._replace(answer=answer))
    if answer == AnswerState.REJECTED and config.semantics[submission.sequence] != RetrySemantics.IDEMPOTENT:
        unsafe_states = STATES_WITH_EFFECT + STATES_BEFORE_EFFECT
        if any(attempt.actual_state in unsafe_states for attempt in submission.writes(config)):
            violation = f"rule 2: {submission.sequence} was rejected, and an attempt has run or still can"
            return ModelStep(label, model, violation)
    return ModelStep(label, cancel_outstanding(config, model, index))


def cancel_outstanding(config: ModelConfig, model: ModelState, index: int) -> ModelState:
    """Have the node cancel all outstanding attempts of a submission; their resets are then in transit."""
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
) -> ModelStep:
    """Apply the end of an attempt, which the node observes or causes, to what the node knows."""
    attempt = model.submissions[index].attempts[number]
    after = step(config.attempt_table, attempt.known_state, outcome)
    if after.effect == CommonEffect.VIOLATION:
        return ModelStep(label, model, f"attempt: {outcome} in {attempt.known_state}")
    violation: str | None = None
    read_state_step = _read_state_step(config, attempt, outcome, is_state_missing)
    if read_state_step is not None:
        model, violation = _step_read_state(config, model, index, read_state_step)
    ended = attempt._replace(known_state=after.next_state)
    return ModelStep(label, model.with_attempt(index, number, ended), violation)


def _read_state_step(
    config: ModelConfig, attempt: ModelAttempt, outcome: AttemptEvent, is_state_missing: bool
) -> _ReadStateStep | None:
    """Return the read-state event that follows from the end of an attempt; None if there is none."""
    if not attempt.is_outstanding:
        return None
    if config.is_reader(attempt.engine):
        return _ReadStateStep(attempt.engine, event_of_read_end(outcome))
    if attempt.claimed_reader is None or attempt.known_state == AttemptState.STREAMING:
        return None
    event = event_of_write_end(outcome, is_state_missing=is_state_missing)
    return _ReadStateStep(attempt.claimed_reader, event)


def _step_read_state(
    config: ModelConfig, model: ModelState, index: int, read_state_step: _ReadStateStep
) -> tuple[ModelState, str | None]:
    """Apply a read-state event to what the node knows; return the model after it, and any violation."""
    submission = model.submissions[index]
    reader, event = read_state_step
    after = step(config.read_state_table, submission.read_states[reader], event)
    read_states = replace_item(submission.read_states, reader, after.next_state)
    model = model.with_submission(index, submission._replace(read_states=read_states))
    return model, f"read state: {event}" if after.effect == CommonEffect.VIOLATION else None


def reset_attempt(model: ModelState, index: int, number: int) -> ModelState:
    """Have the engine receive the reset of an attempt, and stop it."""
    attempt = model.submissions[index].attempts[number]
    actual_state = _AFTER_RESET.get(attempt.actual_state, attempt.actual_state)
    return model.with_attempt(
        index, number, attempt._replace(actual_state=actual_state, is_reset_pending=False)
    )
