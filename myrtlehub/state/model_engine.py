"""Moves of the model: what becomes of an attempt at its engine, what its node learns of it, and releases."""

from collections.abc import Iterator

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import AnswerEffect, AnswerEvent, AnswerState
from myrtlehub.state.attempt import AttemptEvent, AttemptState
from myrtlehub.state.model import EngineTruth, ModelConfig, ModelState, Move
from myrtlehub.state.model_steps import learn_outcome, reset_attempt, step
from myrtlehub.state.read_state import ReadStateEffect, ReadStateEvent, ReadStateStatus

_RESETTABLE = (EngineTruth.IN_TRANSIT, EngineTruth.ARRIVED, EngineTruth.RUNNING, EngineTruth.READ)
_OUTCOMES_BY_TRUTH = (
    (EngineTruth.READ, AttemptEvent.READ),
    (EngineTruth.REFUSED, AttemptEvent.FULL),
    (EngineTruth.STATE_MISSING, AttemptEvent.FULL),
    (EngineTruth.COMPLETED, AttemptEvent.GENERATED),
)


def engine_moves(config: ModelConfig, model: ModelState, index: int, number: int) -> Iterator[Move]:
    """Iterate over what may become of an attempt at its engine."""
    name, attempt = f"{index}.{number}", model.submissions[index].attempts[number]
    if attempt.is_reset_pending and attempt.is_connected and attempt.truth in _RESETTABLE:
        yield Move(f"reset of {name} arrives", reset_attempt(model, index, number))
    if not model.engines_up[attempt.engine]:
        return
    if attempt.truth == EngineTruth.IN_TRANSIT and attempt.is_connected:
        before = _settle_earlier_resets(model, index, number)
        arrived = attempt._replace(truth=EngineTruth.ARRIVED)
        yield Move(f"{name} arrives", before.with_attempt(index, number, arrived))
        refused = attempt._replace(truth=EngineTruth.REFUSED)
        yield Move(f"{name} is refused", before.with_attempt(index, number, refused))
    if attempt.truth != EngineTruth.ARRIVED:
        return
    if config.is_reader(attempt.engine):
        read = model.with_attempt(index, number, attempt._replace(truth=EngineTruth.READ))
        held_states = model.held_states | {(attempt.engine, index)}
        yield Move(f"{name} is read", read._replace(held_states=held_states))
    else:
        yield _run_write(config, model, index, number)


def _settle_earlier_resets(model: ModelState, index: int, number: int) -> ModelState:
    """Apply resets that were sent earlier on the same connection."""
    attempts = model.submissions[index].attempts
    for earlier_number, earlier in enumerate(attempts[:number]):
        is_same_engine = earlier.engine == attempts[number].engine
        if is_same_engine and earlier.is_reset_pending and earlier.is_connected:
            model = reset_attempt(model, index, earlier_number)
    return model


def _run_write(config: ModelConfig, model: ModelState, index: int, number: int) -> Move:
    name, submission = f"{index}.{number}", model.submissions[index]
    attempt = submission.attempts[number]
    claimed_state = (attempt.claimed_reader, index)
    if attempt.claimed_reader >= 0 and claimed_state not in model.held_states:
        missing = attempt._replace(truth=EngineTruth.STATE_MISSING)
        return Move(f"{name} finds no state", model.with_attempt(index, number, missing))
    ran = model.with_attempt(index, number, attempt._replace(truth=EngineTruth.RUNNING))
    ran = ran._replace(held_states=model.held_states - {claimed_state})
    is_at_most_once = config.semantics[submission.sequence] == RetrySemantics.AT_MOST_ONCE
    ran_twice = is_at_most_once and ran.count_effects(config, submission.sequence) > 1
    violation = f"rule 2: once-only {submission.sequence} ran twice" if ran_twice else ""
    return Move(f"{name} runs", ran, violation)


def node_moves(config: ModelConfig, model: ModelState, index: int, number: int) -> Iterator[Move]:
    """Iterate over what the node may learn next of an attempt, by what is true of it."""
    name, attempt = f"{index}.{number}", model.submissions[index].attempts[number]
    if not attempt.is_outstanding:
        yield from _late_tokens(config, model, index, number)
        return
    if not attempt.is_connected or attempt.truth in (
        EngineTruth.STOPPED,
        EngineTruth.STOPPED_AFTER_EFFECT,
    ):
        # A connection that could not be made is known not to have carried anything.
        is_unreached = (
            attempt.truth == EngineTruth.STOPPED
            and attempt.is_connected
            and not model.engines_up[attempt.engine]
        )
        outcome = AttemptEvent.UNREACHED if is_unreached else AttemptEvent.RESET
        yield _end_attempt(config, model, index, number, outcome, f"{name} {outcome}")
        return
    if attempt.truth == EngineTruth.RUNNING:
        if attempt.state == AttemptState.WRITING:
            yield _first_tokens(config, model, index, number)
        elif not attempt.is_reset_pending:
            completed = attempt._replace(truth=EngineTruth.COMPLETED)
            yield Move(f"{name} completes", model.with_attempt(index, number, completed))
    for truth, outcome in _OUTCOMES_BY_TRUTH:
        if attempt.truth == truth:
            yield _end_attempt(config, model, index, number, outcome, f"{name} {outcome}")
    if attempt.state != AttemptState.STREAMING and not attempt.is_reset_pending:
        yield _time_out(config, model, index, number)


def _late_tokens(config: ModelConfig, model: ModelState, index: int, number: int) -> Iterator[Move]:
    submission = model.submissions[index]
    is_final = submission.answer in config.answer_table.finals
    if submission.attempts[number].truth == EngineTruth.RUNNING and is_final:
        after = step(config.answer_table, submission.answer, AnswerEvent.MORE_TOKENS)
        if after.effect == AnswerEffect.PASS:
            violation = f"rule 1: tokens after {submission.answer}"
            yield Move(f"late tokens of {index}.{number}", model, violation)


def _time_out(config: ModelConfig, model: ModelState, index: int, number: int) -> Move:
    move = _end_attempt(config, model, index, number, AttemptEvent.TIMEOUT, f"{index}.{number} times out")
    attempt = move.state.submissions[index].attempts[number]
    timed_out = move.state.with_attempt(index, number, attempt._replace(is_reset_pending=True))
    return move._replace(state=timed_out)


def _first_tokens(config: ModelConfig, model: ModelState, index: int, number: int) -> Move:
    submission = model.submissions[index]
    attempt = submission.attempts[number]
    attempt_state = step(config.attempt_table, attempt.state, AttemptEvent.TOKENS).next_state
    after = step(config.answer_table, submission.answer, AnswerEvent.FIRST_TOKENS)
    read_states, reader = list(submission.read_states), attempt.claimed_reader
    if reader >= 0:
        fetched = step(config.read_state_table, read_states[reader], ReadStateEvent.FETCHED)
        read_states[reader] = fetched.next_state
    violation = ""
    if after.effect == AnswerEffect.PASS and submission.answer in config.answer_table.finals:
        violation = f"rule 1: tokens after {submission.answer}"
    begun = submission._replace(answer=after.next_state, read_states=tuple(read_states))
    model = model.with_submission(index, begun)
    model = model.with_attempt(index, number, attempt._replace(state=attempt_state))
    return Move(f"first tokens of {index}.{number}", model, violation)


def _end_attempt(
    config: ModelConfig, model: ModelState, index: int, number: int, outcome: AttemptEvent, label: str
) -> Move:
    attempt = model.submissions[index].attempts[number]
    was_streaming = attempt.state == AttemptState.STREAMING
    is_state_missing = attempt.truth == EngineTruth.STATE_MISSING and outcome == AttemptEvent.FULL
    move = learn_outcome(config, model, index, number, outcome, label, is_state_missing=is_state_missing)
    is_generated = outcome == AttemptEvent.GENERATED
    if config.is_reader(attempt.engine) or not (was_streaming or is_generated):
        return move
    submission, violation = move.state.submissions[index], move.violation
    event = AnswerEvent.COMPLETED if is_generated else AnswerEvent.STREAM_BROKE
    after = step(config.answer_table, submission.answer, event)
    if after.effect == AnswerEffect.ANSWER and submission.answer in config.answer_table.finals:
        violation = f"rule 1: a second answer after {submission.answer}"
    answered = move.state.with_submission(index, submission._replace(answer=after.next_state))
    if was_streaming and after.next_state in (AnswerState.PENDING, AnswerState.STREAMING):
        stream = f"the stream of {submission.sequence}"
        violation = violation or f"rule 1: {stream} ended and its client was told nothing"
    return Move(label, answered, violation)


def release_moves(config: ModelConfig, model: ModelState, index: int) -> Iterator[Move]:
    """Iterate over the release of a submission's read states, due once nothing is outstanding."""
    submission = model.submissions[index]
    is_any_known = any(status != ReadStateStatus.NONE for status in submission.read_states)
    is_any_held = any(holder == index for _, holder in model.held_states)
    if submission.has_outstanding or not (is_any_known or is_any_held):
        return
    read_states, held_states = list(submission.read_states), model.held_states
    for reader in range(config.readers):
        after = step(config.read_state_table, read_states[reader], ReadStateEvent.RELEASE)
        read_states[reader] = after.next_state
        if after.effect == ReadStateEffect.SEND_RELEASE:
            # It follows the reset of the read on the same connection, so that is settled first.
            for number, attempt in enumerate(model.submissions[index].attempts):
                if attempt.engine == reader and attempt.is_reset_pending:
                    model = reset_attempt(model, index, number)
            held_states = held_states - {(reader, index)}
    released = model.submissions[index]._replace(read_states=tuple(read_states))
    model = model.with_submission(index, released)._replace(held_states=held_states)
    leaking = [reader for reader, holder in held_states if holder == index]
    violation = f"rule 5: reader {leaking[0]} still holds the state of {index}" if leaking else ""
    yield Move(f"read states of {index} are released", model, violation)
