"""Steps of the model: what a node observes of its attempts, and its releases of read states."""

from collections.abc import Iterator

from myrtlehub.state.answer import AnswerEffect, AnswerEvent, AnswerState
from myrtlehub.state.attempt import AttemptEvent, AttemptState
from myrtlehub.state.model import ActualState, ModelAttempt, ModelConfig, ModelState, ModelStep, RetainedState
from myrtlehub.state.model_steps import learn_outcome, replace_item, reset_attempt, step
from myrtlehub.state.read_state import ReadStateEffect, ReadStateEvent, ReadStateStatus

_OUTCOME_OF_STATE = {
    ActualState.READ: AttemptEvent.READ,
    ActualState.REJECTED: AttemptEvent.FULL,
    ActualState.STATE_MISSING: AttemptEvent.FULL,
    ActualState.COMPLETED: AttemptEvent.GENERATED,
}
_STOPPED_STATES = (ActualState.STOPPED, ActualState.STOPPED_AFTER_EFFECT)


def node_steps(config: ModelConfig, model: ModelState, index: int, number: int) -> Iterator[ModelStep]:
    """Iterate over what the node may observe next of an attempt, given its actual state."""
    name, attempt = f"{index}.{number}", model.submissions[index].attempts[number]
    if not attempt.is_outstanding:
        yield from _late_tokens(config, model, index, number)
        return
    if not attempt.is_connected or attempt.actual_state in _STOPPED_STATES:
        outcome = _outcome_without_response(model, attempt)
        yield _end_attempt(config, model, index, number, outcome, f"{name} {outcome}")
        return
    if attempt.actual_state == ActualState.RUNNING:
        if attempt.known_state == AttemptState.WRITING:
            yield _first_tokens(config, model, index, number)
        elif not attempt.is_reset_pending:
            completed = attempt._replace(actual_state=ActualState.COMPLETED)
            yield ModelStep(f"{name} completes", model.with_attempt(index, number, completed))
    if attempt.actual_state in _OUTCOME_OF_STATE:
        outcome = _OUTCOME_OF_STATE[attempt.actual_state]
        yield _end_attempt(config, model, index, number, outcome, f"{name} {outcome}")
    if attempt.known_state != AttemptState.STREAMING and not attempt.is_reset_pending:
        yield _time_out(config, model, index, number)


def _outcome_without_response(model: ModelState, attempt: ModelAttempt) -> AttemptEvent:
    """Return the outcome of an attempt whose connection broke or whose engine stopped it.

    If no connection was established, the node knows that nothing was sent.
    """
    is_unreached = (
        attempt.actual_state == ActualState.STOPPED
        and attempt.is_connected
        and not model.engines_up[attempt.engine]
    )
    return AttemptEvent.UNREACHED if is_unreached else AttemptEvent.RESET


def _late_tokens(config: ModelConfig, model: ModelState, index: int, number: int) -> Iterator[ModelStep]:
    submission = model.submissions[index]
    is_final = submission.answer in config.answer_table.finals
    if submission.attempts[number].actual_state == ActualState.RUNNING and is_final:
        after = step(config.answer_table, submission.answer, AnswerEvent.MORE_TOKENS)
        if after.effect == AnswerEffect.PASS:
            violation = f"rule 1: tokens after {submission.answer}"
            yield ModelStep(f"late tokens of {index}.{number}", model, violation)


def _time_out(config: ModelConfig, model: ModelState, index: int, number: int) -> ModelStep:
    model_step = _end_attempt(
        config, model, index, number, AttemptEvent.TIMEOUT, f"{index}.{number} times out"
    )
    attempt = model_step.state.submissions[index].attempts[number]
    timed_out = model_step.state.with_attempt(index, number, attempt._replace(is_reset_pending=True))
    return model_step._replace(state=timed_out)


def _first_tokens(config: ModelConfig, model: ModelState, index: int, number: int) -> ModelStep:
    submission = model.submissions[index]
    attempt = submission.attempts[number]
    known_state = step(config.attempt_table, attempt.known_state, AttemptEvent.TOKENS).next_state
    after = step(config.answer_table, submission.answer, AnswerEvent.FIRST_TOKENS)
    read_states, reader = submission.read_states, attempt.claimed_reader
    if reader is not None:
        fetched = step(config.read_state_table, read_states[reader], ReadStateEvent.FETCHED)
        read_states = replace_item(read_states, reader, fetched.next_state)
    violation: str | None = None
    if after.effect == AnswerEffect.PASS and submission.answer in config.answer_table.finals:
        violation = f"rule 1: tokens after {submission.answer}"
    begun = submission._replace(answer=after.next_state, read_states=read_states)
    model = model.with_submission(index, begun)
    model = model.with_attempt(index, number, attempt._replace(known_state=known_state))
    return ModelStep(f"first tokens of {index}.{number}", model, violation)


def _end_attempt(
    config: ModelConfig, model: ModelState, index: int, number: int, outcome: AttemptEvent, label: str
) -> ModelStep:
    attempt = model.submissions[index].attempts[number]
    was_streaming = attempt.known_state == AttemptState.STREAMING
    is_state_missing = attempt.actual_state == ActualState.STATE_MISSING and outcome == AttemptEvent.FULL
    model_step = learn_outcome(
        config, model, index, number, outcome, label, is_state_missing=is_state_missing
    )
    is_generated = outcome == AttemptEvent.GENERATED
    if config.is_reader(attempt.engine) or not (was_streaming or is_generated):
        return model_step
    event = AnswerEvent.COMPLETED if is_generated else AnswerEvent.STREAM_FAILED
    return _answer_after_stream(config, model_step, index, event, was_streaming)


def _answer_after_stream(
    config: ModelConfig, model_step: ModelStep, index: int, event: AnswerEvent, was_streaming: bool
) -> ModelStep:
    """Apply the end of a write to its answer, and check that the client gets one final answer."""
    submission, violation = model_step.state.submissions[index], model_step.violation
    after = step(config.answer_table, submission.answer, event)
    if after.effect == AnswerEffect.ANSWER and submission.answer in config.answer_table.finals:
        violation = f"rule 1: a second answer after {submission.answer}"
    answered = model_step.state.with_submission(index, submission._replace(answer=after.next_state))
    if was_streaming and after.next_state in (AnswerState.PENDING, AnswerState.STREAMING):
        stream = f"the stream of {submission.sequence}"
        violation = violation or f"rule 1: {stream} ended and its client was not notified"
    return ModelStep(model_step.label, answered, violation)


def release_steps(config: ModelConfig, model: ModelState, index: int) -> Iterator[ModelStep]:
    """Yield the step that releases a submission's read states, if none of its attempts is outstanding."""
    submission = model.submissions[index]
    is_any_known = any(status != ReadStateStatus.NONE for status in submission.read_states)
    is_any_retained = any(retained.submission == index for retained in model.retained_states)
    if submission.has_outstanding or not (is_any_known or is_any_retained):
        return
    read_states, retained_states = list(submission.read_states), model.retained_states
    for reader in range(config.readers):
        after = step(config.read_state_table, read_states[reader], ReadStateEvent.RELEASE)
        read_states[reader] = after.next_state
        if after.effect == ReadStateEffect.SEND_RELEASE:
            model = _reset_reads(model, index, reader)
            retained_states = retained_states - {RetainedState(reader, index)}
    released = model.submissions[index]._replace(read_states=tuple(read_states))
    model = model.with_submission(index, released)._replace(retained_states=retained_states)
    leaking = [retained.reader for retained in retained_states if retained.submission == index]
    violation = f"rule 5: reader {leaking[0]} still holds the state of {index}" if leaking else None
    yield ModelStep(f"read states of {index} are released", model, violation)


def _reset_reads(model: ModelState, index: int, reader: int) -> ModelState:
    """Apply the pending resets at a reader, which precede the release on the same connection."""
    for number, attempt in enumerate(model.submissions[index].attempts):
        if attempt.engine == reader and attempt.is_reset_pending:
            model = reset_attempt(model, index, number)
    return model
