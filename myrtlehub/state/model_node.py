"""Steps of the model: events of attempts that a node observes, and releases of read states."""

from collections.abc import Iterator

from myrtlehub.state.answer import AnswerEffect, AnswerEvent, AnswerState
from myrtlehub.state.attempt import AttemptEvent, AttemptState
from myrtlehub.state.model import ActualState, ModelAttempt, ModelConfig, ModelState, ModelStep, RetainedState
from myrtlehub.state.model_steps import apply_outcome, find_transition, replace_item, reset_attempt
from myrtlehub.state.read_state import ReadStateEffect, ReadStateEvent, ReadStateStatus

_OUTCOME_OF_STATE = {
    ActualState.READ: AttemptEvent.READ,
    ActualState.REJECTED: AttemptEvent.FULL,
    ActualState.STATE_MISSING: AttemptEvent.FULL,
    ActualState.COMPLETED: AttemptEvent.GENERATED,
}
_STOPPED_STATES = (ActualState.STOPPED, ActualState.STOPPED_AFTER_EFFECT)


def node_steps(
    config: ModelConfig, model: ModelState, submission_index: int, attempt_index: int
) -> Iterator[ModelStep]:
    """Iterate over the events of an attempt that its node may observe next, given the actual state."""
    attempt_name = f"{submission_index}.{attempt_index}"
    attempt = model.submissions[submission_index].attempts[attempt_index]
    if not attempt.is_outstanding:
        yield from _late_tokens(config, model, submission_index, attempt_index)
        return
    if not attempt.is_connected or attempt.actual_state in _STOPPED_STATES:
        outcome = _outcome_without_response(model, attempt)
        yield _end_attempt(
            config, model, submission_index, attempt_index, outcome, f"{attempt_name} {outcome}"
        )
        return
    if attempt.actual_state == ActualState.RUNNING:
        if attempt.known_state == AttemptState.WRITING:
            yield _first_tokens(config, model, submission_index, attempt_index)
        elif not attempt.is_reset_pending:
            completed = attempt._replace(actual_state=ActualState.COMPLETED)
            yield ModelStep(
                f"{attempt_name} completes", model.with_attempt(submission_index, attempt_index, completed)
            )
    if attempt.actual_state in _OUTCOME_OF_STATE:
        outcome = _OUTCOME_OF_STATE[attempt.actual_state]
        yield _end_attempt(
            config, model, submission_index, attempt_index, outcome, f"{attempt_name} {outcome}"
        )
    if attempt.known_state != AttemptState.STREAMING and not attempt.is_reset_pending:
        yield _time_out(config, model, submission_index, attempt_index)


def _outcome_without_response(model: ModelState, attempt: ModelAttempt) -> AttemptEvent:
    """Return the outcome of an attempt whose connection broke or whose engine stopped it.

    If no connection could be established, the node knows that nothing was sent.
    """
    is_unreached = (
        attempt.actual_state == ActualState.STOPPED
        and attempt.is_connected
        and not model.engines_up[attempt.engine]
    )
    return AttemptEvent.UNREACHED if is_unreached else AttemptEvent.RESET


def _late_tokens(
    config: ModelConfig, model: ModelState, submission_index: int, attempt_index: int
) -> Iterator[ModelStep]:
    submission = model.submissions[submission_index]
    is_final = submission.answer in config.answer_table.final_states
    if submission.attempts[attempt_index].actual_state == ActualState.RUNNING and is_final:
        transition = find_transition(config.answer_table, submission.answer, AnswerEvent.MORE_TOKENS)
        if transition.effect == AnswerEffect.PASS:
            violation = f"rule 1: tokens after {submission.answer}"
            yield ModelStep(f"late tokens of {submission_index}.{attempt_index}", model, violation)


def _time_out(config: ModelConfig, model: ModelState, submission_index: int, attempt_index: int) -> ModelStep:
    model_step = _end_attempt(
        config,
        model,
        submission_index,
        attempt_index,
        AttemptEvent.TIMEOUT,
        f"{submission_index}.{attempt_index} times out",
    )
    attempt = model_step.state.submissions[submission_index].attempts[attempt_index]
    timed_out = model_step.state.with_attempt(
        submission_index, attempt_index, attempt._replace(is_reset_pending=True)
    )
    return model_step._replace(state=timed_out)


def _first_tokens(
    config: ModelConfig, model: ModelState, submission_index: int, attempt_index: int
) -> ModelStep:
    submission = model.submissions[submission_index]
    attempt = submission.attempts[attempt_index]
    known_state = find_transition(config.attempt_table, attempt.known_state, AttemptEvent.TOKENS).next_state
    transition = find_transition(config.answer_table, submission.answer, AnswerEvent.FIRST_TOKENS)
    read_states, reader = submission.read_states, attempt.claimed_reader
    if reader is not None:
        fetched = find_transition(config.read_state_table, read_states[reader], ReadStateEvent.FETCHED)
        read_states = replace_item(read_states, reader, fetched.next_state)
    violation: str | None = None
    if transition.effect == AnswerEffect.PASS and submission.answer in config.answer_table.final_states:
        violation = f"rule 1: tokens after {submission.answer}"
    streaming = submission._replace(answer=transition.next_state, read_states=read_states)
    model = model.with_submission(submission_index, streaming)
    model = model.with_attempt(submission_index, attempt_index, attempt._replace(known_state=known_state))
    return ModelStep(f"first tokens of {submission_index}.{attempt_index}", model, violation)


def _end_attempt(
    config: ModelConfig,
    model: ModelState,
    submission_index: int,
    attempt_index: int,
    outcome: AttemptEvent,
    label: str,
) -> ModelStep:
    attempt = model.submissions[submission_index].attempts[attempt_index]
    was_streaming = attempt.known_state == AttemptState.STREAMING
    is_state_missing = attempt.actual_state == ActualState.STATE_MISSING and outcome == AttemptEvent.FULL
    model_step = apply_outcome(
        config, model, submission_index, attempt_index, outcome, label, is_state_missing=is_state_missing
    )
    is_generated = outcome == AttemptEvent.GENERATED
    if config.is_reader(attempt.engine) or not (was_streaming or is_generated):
        return model_step
    event = AnswerEvent.COMPLETED if is_generated else AnswerEvent.STREAM_FAILED
    return _answer_after_stream(config, model_step, submission_index, event, was_streaming)


def _answer_after_stream(
    config: ModelConfig, model_step: ModelStep, submission_index: int, event: AnswerEvent, was_streaming: bool
) -> ModelStep:
    """Apply the end of a write to the answer, and check that the client gets exactly one final answer."""
    submission, violation = model_step.state.submissions[submission_index], model_step.violation
    transition = find_transition(config.answer_table, submission.answer, event)
    if transition.effect == AnswerEffect.ANSWER and submission.answer in config.answer_table.final_states:
        violation = f"rule 1: a second answer after {submission.answer}"
    answered = model_step.state.with_submission(
        submission_index, submission._replace(answer=transition.next_state)
    )
    if was_streaming and transition.next_state in (AnswerState.PENDING, AnswerState.STREAMING):
        stream = f"the stream of {submission.sequence}"
        violation = violation or f"rule 1: {stream} ended without notifying its client"
    return ModelStep(model_step.label, answered, violation)


def release_steps(config: ModelConfig, model: ModelState, submission_index: int) -> Iterator[ModelStep]:
    """Yield the step that releases the read states of a submission without outstanding attempts."""
    submission = model.submissions[submission_index]
    is_any_known = any(status != ReadStateStatus.NONE for status in submission.read_states)
    is_any_retained = any(
        retained_state.submission == submission_index for retained_state in model.retained_states
    )
    if submission.has_outstanding or not (is_any_known or is_any_retained):
        return
    read_states, retained_states = list(submission.read_states), model.retained_states
    for reader in range(config.readers):
        transition = find_transition(config.read_state_table, read_states[reader], ReadStateEvent.RELEASE)
        read_states[reader] = transition.next_state
        if transition.effect == ReadStateEffect.SEND_RELEASE:
            model = _reset_reads(model, submission_index, reader)
            retained_states = retained_states - {RetainedState(reader, submission_index)}
    released = model.submissions[submission_index]._replace(read_states=tuple(read_states))
    model = model.with_submission(submission_index, released)._replace(retained_states=retained_states)
    unreleased_readers = [
        retained_state.reader
        for retained_state in retained_states
        if retained_state.submission == submission_index
    ]
    violation = (
        f"rule 5: reader {unreleased_readers[0]} still holds the state of {submission_index}"
        if unreleased_readers
        else None
    )
    yield ModelStep(f"read states of {submission_index} are released", model, violation)


def _reset_reads(model: ModelState, submission_index: int, reader: int) -> ModelState:
    """Deliver the pending resets to a reader, because they precede the release on the same connection."""
    for attempt_index, attempt in enumerate(model.submissions[submission_index].attempts):
        if attempt.engine == reader and attempt.is_reset_pending:
            model = reset_attempt(model, submission_index, attempt_index)
    return model
