"""Moves of the model: what a router may decide, which is any send or final answer that the tables allow."""

from collections.abc import Iterator

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import AnswerEvent, AnswerState
from myrtlehub.state.attempt import AttemptState, may_have_run
from myrtlehub.state.model import (
    EngineTruth,
    ModelAttempt,
    ModelConfig,
    ModelState,
    ModelSubmission,
    Move,
)
from myrtlehub.state.model_steps import answer_client, step
from myrtlehub.state.read_state import CLAIMABLE_STATUSES, ReadStateEvent
from myrtlehub.state.state_machine import CommonEffect


def router_moves(config: ModelConfig, model: ModelState, index: int) -> Iterator[Move]:
    """Iterate over what may be decided for a submission."""
    submission = model.submissions[index]
    if submission.answer != AnswerState.PENDING:
        return
    has_room = len(submission.attempts) < config.max_attempts
    if has_room and not submission.has_outstanding and not submission.is_late:
        yield from _sends(config, model, index)
    is_idempotent = config.semantics[submission.sequence] == RetrySemantics.IDEMPOTENT
    if is_idempotent or not _may_have_run(config, submission):
        yield answer_client(config, model, index, AnswerEvent.REJECT, f"reject {index}")
    yield answer_client(config, model, index, AnswerEvent.ABORT, f"abort {index}")


def _may_have_run(config: ModelConfig, submission: ModelSubmission) -> bool:
    return may_have_run(attempt.state for attempt in submission.writes(config))


def _sends(config: ModelConfig, model: ModelState, index: int) -> Iterator[Move]:
    submission = model.submissions[index]
    for engine in range(len(model.engines_up)):
        if (submission.node, engine) in model.known_drains:
            continue
        if not _may_send_to(config, model, submission, engine):
            continue
        if engine in model.cold_engines and submission.sequence % 2:
            continue  # its lot is not for cold engines
        yield _send(config, model, index, engine)


def _may_send_to(config: ModelConfig, model: ModelState, submission: ModelSubmission, engine: int) -> bool:
    semantics = config.semantics[submission.sequence]
    if semantics == RetrySemantics.IDEMPOTENT or not _may_have_run(config, submission):
        return True
    if semantics == RetrySemantics.AT_MOST_ONCE or config.is_reader(engine):
        return False
    first = next(attempt for attempt in submission.writes(config) if may_have_run((attempt.state,)))
    # Each writer is a dedup group of its own here.
    return engine == first.engine and submission.sequence not in model.expired_windows


def _send(config: ModelConfig, model: ModelState, index: int, engine: int) -> Move:
    submission = model.submissions[index]
    violation, read_states, claimed_reader = "", list(submission.read_states), -1
    if config.is_reader(engine):
        after = step(config.read_state_table, read_states[engine], ReadStateEvent.SEND)
        read_states[engine] = after.next_state
        violation = "read state: send" if after.effect == CommonEffect.VIOLATION else ""
    else:
        claimable = (reader for reader, status in enumerate(read_states) if status in CLAIMABLE_STATUSES)
        claimed_reader = max(claimable, default=-1)
        if claimed_reader >= 0:
            after = step(config.read_state_table, read_states[claimed_reader], ReadStateEvent.CLAIM)
            read_states[claimed_reader] = after.next_state
    attempt = ModelAttempt(
        engine,
        AttemptState.READING if config.is_reader(engine) else AttemptState.WRITING,
        EngineTruth.IN_TRANSIT if model.engines_up[engine] else EngineTruth.STOPPED,
        claimed_reader,
    )
    sent = submission._replace(read_states=tuple(read_states), attempts=(*submission.attempts, attempt))
    after_send = model.with_submission(index, sent)
    if (submission.node, engine) in model.known_drains:
        violation = "rule 3: sent to an engine that drains"
    if engine in model.cold_engines:
        after_send = after_send._replace(cold_sends=model.cold_sends + 1)
        if after_send.cold_sends > (len(config.semantics) + 1) // 2 * config.max_attempts:
            violation = "rule 4: a cold engine got more than its lots"
    return Move(f"send {index} to {engine}", after_send, violation)
