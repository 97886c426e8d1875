"""Moves of the model: crashes, cold restarts, drains, broken connections and killed nodes."""

from collections.abc import Iterator

from myrtlehub.state.model import EngineTruth, ModelConfig, ModelState, Move
from myrtlehub.state.model_steps import reset_attempt

_AFTER_CRASH = {  # what the engine had said is lost with it
    EngineTruth.IN_TRANSIT: EngineTruth.STOPPED,
    EngineTruth.ARRIVED: EngineTruth.STOPPED,
    EngineTruth.RUNNING: EngineTruth.STOPPED_AFTER_EFFECT,
    EngineTruth.READ: EngineTruth.STOPPED,
    EngineTruth.COMPLETED: EngineTruth.STOPPED_AFTER_EFFECT,
}
_AFTER_DISCONNECT = {  # the engine stops what it had not finished, and its last message may be lost
    EngineTruth.IN_TRANSIT: EngineTruth.STOPPED,
    EngineTruth.ARRIVED: EngineTruth.STOPPED,
    EngineTruth.RUNNING: EngineTruth.STOPPED_AFTER_EFFECT,
    EngineTruth.COMPLETED: EngineTruth.STOPPED_AFTER_EFFECT,
}


def fault_moves(config: ModelConfig, model: ModelState) -> Iterator[Move]:
    """Iterate over all faults that may happen next."""
    if model.fault_count >= config.max_faults:
        return
    counted = model._replace(fault_count=model.fault_count + 1)
    for engine in range(len(model.engines_up)):
        yield _flip_engine(config, counted, engine)
        yield from _drains(config, counted, engine)
    yield from _disconnects(counted)
    for node in range(config.nodes):
        if any(submission.node == node and not submission.is_lost for submission in model.submissions):
            yield Move(f"node {node} is killed", _kill_node(counted, node))


def _flip_engine(config: ModelConfig, model: ModelState, engine: int) -> Move:
    is_up = model.engines_up[engine]
    engines_up = (*model.engines_up[:engine], not is_up, *model.engines_up[engine + 1 :])
    flipped = model._replace(engines_up=engines_up)
    if is_up:
        return Move(f"engine {engine} crashes", _crash_engine(flipped, engine))
    if not config.is_reader(engine):
        flipped = flipped._replace(cold_engines=flipped.cold_engines | {engine})
    return Move(f"engine {engine} is back, cold", flipped)


def _drains(config: ModelConfig, model: ModelState, engine: int) -> Iterator[Move]:
    for node in range(config.nodes):
        if (node, engine) not in model.known_drains:
            drained = model._replace(known_drains=model.known_drains | {(node, engine)})
            yield Move(f"node {node} learns that {engine} drains", drained)


def _disconnects(model: ModelState) -> Iterator[Move]:
    for index, submission in enumerate(model.submissions):
        for number, attempt in enumerate(submission.attempts):
            if attempt.is_connected and attempt.is_outstanding and not submission.is_lost:
                yield Move(f"connection under {index}.{number} breaks", _disconnect(model, index, number))


def _crash_engine(model: ModelState, engine: int) -> ModelState:
    for index, submission in enumerate(model.submissions):
        for number, attempt in enumerate(submission.attempts):
            if attempt.engine == engine and attempt.truth in _AFTER_CRASH:
                crashed = attempt._replace(
                    truth=_AFTER_CRASH[attempt.truth],
                    is_connected=attempt.truth == EngineTruth.IN_TRANSIT,
                )
                model = model.with_attempt(index, number, crashed)
    return model._replace(held_states=frozenset(x for x in model.held_states if x[0] != engine))


def _disconnect(model: ModelState, index: int, number: int) -> ModelState:
    attempt = model.submissions[index].attempts[number]
    truth = _AFTER_DISCONNECT.get(attempt.truth, attempt.truth)
    return model.with_attempt(index, number, attempt._replace(truth=truth, is_connected=False))


def _kill_node(model: ModelState, node: int) -> ModelState:
    lost = set()
    for index, submission in enumerate(model.submissions):
        if submission.node == node and not submission.is_lost:
            lost.add(index)
            for number in range(len(submission.attempts)):
                model = reset_attempt(_disconnect(model, index, number), index, number)
            model = model.with_submission(index, model.submissions[index]._replace(is_lost=True))
    # Engines stop with the connections; states that they hold are freed by their own timeout.
    return model._replace(held_states=frozenset(x for x in model.held_states if x[1] not in lost))
