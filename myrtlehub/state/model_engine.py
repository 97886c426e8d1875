"""Steps of the model: arrival and execution of attempts at engines."""

from collections.abc import Iterator

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.model import ActualState, ModelConfig, ModelState, ModelStep, RetainedState
from myrtlehub.state.model_steps import reset_attempt

_RESETTABLE_STATES = (
    ActualState.IN_TRANSIT,
    ActualState.ARRIVED,
    ActualState.RUNNING,
    ActualState.READ,
)


def engine_steps(
    config: ModelConfig, model: ModelState, submission_index: int, attempt_index: int
) -> Iterator[ModelStep]:
    """Iterate over the possible next events of an attempt at its engine."""
    attempt_name = f"{submission_index}.{attempt_index}"
    attempt = model.submissions[submission_index].attempts[attempt_index]
    if attempt.is_reset_pending and attempt.is_connected and attempt.actual_state in _RESETTABLE_STATES:
        yield ModelStep(
            f"reset of {attempt_name} arrives", reset_attempt(model, submission_index, attempt_index)
        )
    if not model.engines_up[attempt.engine]:
        return
    if attempt.actual_state == ActualState.IN_TRANSIT and attempt.is_connected:
        after_resets = _apply_earlier_resets(model, submission_index, attempt_index)
        arrived = attempt._replace(actual_state=ActualState.ARRIVED)
        yield ModelStep(
            f"{attempt_name} arrives", after_resets.with_attempt(submission_index, attempt_index, arrived)
        )
        rejected = attempt._replace(actual_state=ActualState.REJECTED)
        yield ModelStep(
            f"{attempt_name} is rejected",
            after_resets.with_attempt(submission_index, attempt_index, rejected),
        )
    if attempt.actual_state != ActualState.ARRIVED:
        return
    if config.is_reader(attempt.engine):
        read = model.with_attempt(
            submission_index, attempt_index, attempt._replace(actual_state=ActualState.READ)
        )
        retained_states = model.retained_states | {RetainedState(attempt.engine, submission_index)}
        yield ModelStep(f"{attempt_name} is read", read._replace(retained_states=retained_states))
    else:
        yield _run_write(config, model, submission_index, attempt_index)


def _apply_earlier_resets(model: ModelState, submission_index: int, attempt_index: int) -> ModelState:
    """Deliver the resets sent before this attempt on the same connection, because they arrive first."""
    attempts = model.submissions[submission_index].attempts
    for earlier_index, earlier in enumerate(attempts[:attempt_index]):
        is_same_engine = earlier.engine == attempts[attempt_index].engine
        if is_same_engine and earlier.is_reset_pending and earlier.is_connected:
            model = reset_attempt(model, submission_index, earlier_index)
    return model


def _run_write(
    config: ModelConfig, model: ModelState, submission_index: int, attempt_index: int
) -> ModelStep:
    attempt_name = f"{submission_index}.{attempt_index}"
    submission = model.submissions[submission_index]
    attempt = submission.attempts[attempt_index]
    retained_states = model.retained_states
    if attempt.claimed_reader is not None:
        claimed_state = RetainedState(attempt.claimed_reader, submission_index)
        if claimed_state not in retained_states:
            missing = attempt._replace(actual_state=ActualState.STATE_MISSING)
            return ModelStep(
                f"{attempt_name} finds no state", model.with_attempt(submission_index, attempt_index, missing)
            )
        retained_states = retained_states - {claimed_state}
    running = model.with_attempt(
        submission_index, attempt_index, attempt._replace(actual_state=ActualState.RUNNING)
    )
    running = running._replace(retained_states=retained_states)
    is_at_most_once = config.semantics[submission.sequence] == RetrySemantics.AT_MOST_ONCE
    has_run_twice = is_at_most_once and running.count_effects(config, submission.sequence) > 1
    violation = f"rule 2: at-most-once {submission.sequence} ran twice" if has_run_twice else None
    return ModelStep(f"{attempt_name} runs", running, violation)
