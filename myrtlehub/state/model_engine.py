"""Steps of the model: what happens to attempts at their engines."""

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


def engine_steps(config: ModelConfig, model: ModelState, index: int, number: int) -> Iterator[ModelStep]:
    """Iterate over what may happen next to an attempt at its engine."""
    name, attempt = f"{index}.{number}", model.submissions[index].attempts[number]
    if attempt.is_reset_pending and attempt.is_connected and attempt.actual_state in _RESETTABLE_STATES:
        yield ModelStep(f"reset of {name} arrives", reset_attempt(model, index, number))
    if not model.engines_up[attempt.engine]:
        return
    if attempt.actual_state == ActualState.IN_TRANSIT and attempt.is_connected:
        before = _apply_earlier_resets(model, index, number)
        arrived = attempt._replace(actual_state=ActualState.ARRIVED)
        yield ModelStep(f"{name} arrives", before.with_attempt(index, number, arrived))
        rejected = attempt._replace(actual_state=ActualState.REJECTED)
        yield ModelStep(f"{name} is rejected", before.with_attempt(index, number, rejected))
    if attempt.actual_state != ActualState.ARRIVED:
        return
    if config.is_reader(attempt.engine):
        read = model.with_attempt(index, number, attempt._replace(actual_state=ActualState.READ))
        retained_states = model.retained_states | {RetainedState(attempt.engine, index)}
        yield ModelStep(f"{name} is read", read._replace(retained_states=retained_states))
    else:
        yield _run_write(config, model, index, number)


def _apply_earlier_resets(model: ModelState, index: int, number: int) -> ModelState:
    """Apply the resets that were sent before this attempt on its connection, so that they arrive first."""
    attempts = model.submissions[index].attempts
    for earlier_number, earlier in enumerate(attempts[:number]):
        is_same_engine = earlier.engine == attempts[number].engine
        if is_same_engine and earlier.is_reset_pending and earlier.is_connected:
            model = reset_attempt(model, index, earlier_number)
    return model


def _run_write(config: ModelConfig, model: ModelState, index: int, number: int) -> ModelStep:
    name, submission = f"{index}.{number}", model.submissions[index]
    attempt = submission.attempts[number]
    retained_states = model.retained_states
    if attempt.claimed_reader is not None:
        claimed_state = RetainedState(attempt.claimed_reader, index)
        if claimed_state not in retained_states:
            missing = attempt._replace(actual_state=ActualState.STATE_MISSING)
            return ModelStep(f"{name} finds no state", model.with_attempt(index, number, missing))
        retained_states = retained_states - {claimed_state}
    running = model.with_attempt(index, number, attempt._replace(actual_state=ActualState.RUNNING))
    running = running._replace(retained_states=retained_states)
    is_at_most_once = config.semantics[submission.sequence] == RetrySemantics.AT_MOST_ONCE
    has_run_twice = is_at_most_once and running.count_effects(config, submission.sequence) > 1
    violation = f"rule 2: at-most-once {submission.sequence} ran twice" if has_run_twice else None
    return ModelStep(f"{name} runs", running, violation)
