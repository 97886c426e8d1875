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
_AFTER_DISCONNECT = {  # the engine stops what is not complete, and its last message may be lost
    ActualState.IN_TRANSIT: ActualState.STOPPED,
    ActualState.ARRIVED: ActualState.STOPPED,
    ActualState.RUNNING: ActualState.STOPPED_AFTER_EFFECT,
    ActualState.COMPLETED: ActualState.STOPPED_AFTER_EFFECT,
}


def fault_steps(config: ModelConfig, model: ModelState) -> Iterator[ModelStep]:
    """Iterate over all faults that may happen next."""
    if model.fault_count >= config.max_faults:
        return
    counted = model._replace(fault_count=model.fault_count + 1)
    for engine in range(len(model.engines_up)):
        yield _crash_or_restart(config, counted, engine)
        yield from _drains(config, counted, engine)
    yield from _disconnects(counted)
    for node in range(config.nodes):
        if any(submission.node == node and not submission.is_lost for submission in model.submissions):
            yield ModelStep(f"node {node} is killed", _kill_node(counted, node))


def _crash_or_restart(config: ModelConfig, model: ModelState, engine: int) -> ModelStep:
    is_up = model.engines_up[engine]
    changed = model._replace(engines_up=replace_item(model.engines_up, engine, not is_up))
    if is_up:
        return ModelStep(f"engine {engine} crashes", _crash_engine(changed, engine))
    if not config.is_reader(engine):
        changed = changed._replace(cold_engines=changed.cold_engines | {engine})
    return ModelStep(f"engine {engine} restarts, cold", changed)


def _drains(config: ModelConfig, model: ModelState, engine: int) -> Iterator[ModelStep]:
    for node in range(config.nodes):
        drain = KnownDrain(node, engine)
        if drain not in model.known_drains:
            drained = model._replace(known_drains=model.known_drains | {drain})
            yield ModelStep(f"node {node} learns that {engine} drains", drained)


def _disconnects(model: ModelState) -> Iterator[ModelStep]:
    for index, submission in enumerate(model.submissions):
        for number, attempt in enumerate(submission.attempts):
            if attempt.is_connected and attempt.is_outstanding and not submission.is_lost:
                yield ModelStep(f"connection of {index}.{number} breaks", _disconnect(model, index, number))


def _crash_engine(model: ModelState, engine: int) -> ModelState:
    for index, submission in enumerate(model.submissions):
        for number, attempt in enumerate(submission.attempts):
            if attempt.engine == engine and attempt.actual_state in _AFTER_CRASH:
                crashed = attempt._replace(
                    actual_state=_AFTER_CRASH[attempt.actual_state],
                    is_connected=attempt.actual_state == ActualState.IN_TRANSIT,
                )
                model = model.with_attempt(index, number, crashed)
    retained_states = frozenset(retained for retained in model.retained_states if retained.reader != engine)
    return model._replace(retained_states=retained_states)


def _disconnect(model: ModelState, index: int, number: int) -> ModelState:
    attempt = model.submissions[index].attempts[number]
    actual_state = _AFTER_DISCONNECT.get(attempt.actual_state, attempt.actual_state)
    return model.with_attempt(index, number, attempt._replace(actual_state=actual_state, is_connected=False))


def _kill_node(model: ModelState, node: int) -> ModelState:
    lost = set()
    for index, submission in enumerate(model.submissions):
        if submission.node == node and not submission.is_lost:
            lost.add(index)
            for number in range(len(submission.attempts)):
                model = reset_attempt(_disconnect(model, index, number), index, number)
            model = model.with_submission(index, model.submissions[index]._replace(is_lost=True))
    # Engines stop when the node's connections break; they free the read states after a timeout of their own.
    retained_states = frozenset(
        retained for retained in model.retained_states if retained.submission not in lost
    )
    return model._replace(retained_states=retained_states)
