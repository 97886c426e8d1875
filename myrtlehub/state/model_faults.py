"""Steps of the model: crashes, restarts, drains, broken connections and killed nodes."""

from collections.abc import Iterator

from myrtlehub.state.model import ActualState, KnownDrain, ModelConfig, ModelState, ModelStep
from myrtlehub.state.model_steps import replace_item, reset_attempt

_AFTER_CRASH = {  # responses that had not reached the node are lost
    ActualState.IN_TRANSIT: ActualState.STOPPED,
    ActualState.ARRIVED: ActualState.STOPPED,
    ActualState.RUNNING: ActualState.STOPPED_AFTER_EFFECT,
    ActualState.READ: ActualState.STOPPED,
    ActualState.COMPLETED: ActualState.STOPPED_AFTER_EFFECT,
}
_AFTER_DISCONNECT = {  # the engine stops incomplete attempts, and its last message may be lost
    ActualState.IN_TRANSIT: ActualState.STOPPED,
    ActualState.ARRIVED: ActualState.STOPPED,
    ActualState.RUNNING: ActualState.STOPPED_AFTER_EFFECT,
    ActualState.COMPLETED: ActualState.STOPPED_AFTER_EFFECT,
}


def fault_steps(config: ModelConfig, model: ModelState) -> Iterator[ModelStep]:
    """Iterate over all faults that may occur next."""
    if model.fault_count >= config.max_faults:
        return
    model_with_fault = model._replace(fault_count=model.fault_count + 1)
    for engine in range(len(model.engines_up)):
        yield _crash_or_restart_step(config, model_with_fault, engine)
        yield from _drain_steps(config, model_with_fault, engine)
    yield from _disconnect_steps(model_with_fault)
    for node in range(config.nodes):
        if any(submission.node == node and not submission.is_node_killed for submission in model.submissions):
            yield ModelStep(f"node {node} is killed", _kill_node(model_with_fault, node))


def _crash_or_restart_step(config: ModelConfig, model: ModelState, engine: int) -> ModelStep:
    is_up = model.engines_up[engine]
    changed = model._replace(engines_up=replace_item(model.engines_up, engine, not is_up))
    if is_up:
        return ModelStep(f"engine {engine} crashes", _crash_engine(changed, engine))
    if not config.is_reader(engine):
        changed = changed._replace(cold_engines=changed.cold_engines | {engine})
    return ModelStep(f"engine {engine} restarts, cold", changed)


def _drain_steps(config: ModelConfig, model: ModelState, engine: int) -> Iterator[ModelStep]:
    for node in range(config.nodes):
        drain = KnownDrain(node, engine)
        if drain not in model.known_drains:
            drained = model._replace(known_drains=model.known_drains | {drain})
            yield ModelStep(f"node {node} learns that engine {engine} is draining", drained)


def _disconnect_steps(model: ModelState) -> Iterator[ModelStep]:
    for submission_index, submission in enumerate(model.submissions):
        for attempt_index, attempt in enumerate(submission.attempts):
            if attempt.is_connected and attempt.is_outstanding and not submission.is_node_killed:
                yield ModelStep(
                    f"connection of {submission_index}.{attempt_index} breaks",
                    _disconnect(model, submission_index, attempt_index),
                )


def _crash_engine(model: ModelState, engine: int) -> ModelState:
    for submission_index, submission in enumerate(model.submissions):
        for attempt_index, attempt in enumerate(submission.attempts):
            if attempt.engine == engine and attempt.actual_state in _AFTER_CRASH:
                crashed = attempt._replace(
                    actual_state=_AFTER_CRASH[attempt.actual_state],
                    is_connected=attempt.actual_state == ActualState.IN_TRANSIT,
                )
                model = model.with_attempt(submission_index, attempt_index, crashed)
    retained_states = frozenset(
        retained_state for retained_state in model.retained_states if retained_state.reader != engine
    )
    return model._replace(retained_states=retained_states)


def _disconnect(model: ModelState, submission_index: int, attempt_index: int) -> ModelState:
    attempt = model.submissions[submission_index].attempts[attempt_index]
    actual_state = _AFTER_DISCONNECT.get(attempt.actual_state, attempt.actual_state)
    return model.with_attempt(
        submission_index, attempt_index, attempt._replace(actual_state=actual_state, is_connected=False)
    )


def _kill_node(model: ModelState, node: int) -> ModelState:
    killed_submissions = set()
    for submission_index, submission in enumerate(model.submissions):
        if submission.node == node and not submission.is_node_killed:
            killed_submissions.add(submission_index)
            for attempt_index in range(len(submission.attempts)):
                model = reset_attempt(
                    _disconnect(model, submission_index, attempt_index), submission_index, attempt_index
                )
            model = model.with_submission(
                submission_index, model.submissions[submission_index]._replace(is_node_killed=True)
            )
    # Engines stop the attempts when the node's connections break. Readers free read states after a timeout.
    retained_states = frozenset(
        retained_state
        for retained_state in model.retained_states
        if retained_state.submission not in killed_submissions
    )
    return model._replace(retained_states=retained_states)
