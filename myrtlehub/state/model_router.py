"""Steps of the model: the decisions of a router, which are all allowed sends and final answers."""

from collections.abc import Iterator

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import AnswerEvent, AnswerState
from myrtlehub.state.attempt import AttemptState, may_have_run
from myrtlehub.state.model import (
    ActualState,
    KnownDrain,
    ModelAttempt,
    ModelConfig,
    ModelState,
    ModelStep,
    ModelSubmission,
)
from myrtlehub.state.model_steps import answer_client, find_transition, replace_item
from myrtlehub.state.read_state import CLAIMABLE_STATUSES, ReadStateEvent
from myrtlehub.state.state_machine import CommonEffect


def router_steps(config: ModelConfig, model: ModelState, submission_index: int) -> Iterator[ModelStep]:
    """Iterate over the decisions that a router may take for a submission."""
    submission = model.submissions[submission_index]
    if submission.answer != AnswerState.PENDING:
        return
    has_attempts_left = len(submission.attempts) < config.max_attempts
    if has_attempts_left and not submission.has_outstanding and not submission.is_past_deadline:
        yield from _possible_sends(config, model, submission_index)
    is_idempotent = config.semantics[submission.sequence] == RetrySemantics.IDEMPOTENT
    if is_idempotent or not _may_have_run(config, submission):
        yield answer_client(config, model, submission_index, AnswerEvent.REJECT, f"reject {submission_index}")
    yield answer_client(config, model, submission_index, AnswerEvent.ABORT, f"abort {submission_index}")


def _may_have_run(config: ModelConfig, submission: ModelSubmission) -> bool:
    return may_have_run(attempt.known_state for attempt in submission.writes(config))


def _possible_sends(config: ModelConfig, model: ModelState, submission_index: int) -> Iterator[ModelStep]:
    submission = model.submissions[submission_index]
    for engine in range(len(model.engines_up)):
        if KnownDrain(submission.node, engine) in model.known_drains:
            continue
        if not _may_send_to(config, model, submission, engine):
            continue
        if engine in model.cold_engines and not _is_in_slow_start_share(submission):
            continue
        yield _send(config, model, submission_index, engine)


def _is_in_slow_start_share(submission: ModelSubmission) -> bool:
    """Return whether a sequence may be sent to cold engines; the model allows every second sequence."""
    return submission.sequence % 2 == 0


def _may_send_to(config: ModelConfig, model: ModelState, submission: ModelSubmission, engine: int) -> bool:
    semantics = config.semantics[submission.sequence]
    if semantics == RetrySemantics.IDEMPOTENT or not _may_have_run(config, submission):
        return True
    if semantics == RetrySemantics.AT_MOST_ONCE or config.is_reader(engine):
        return False
    first = next(attempt for attempt in submission.writes(config) if may_have_run((attempt.known_state,)))
    # Each writer in the model is its own dedup group.
    return engine == first.engine and submission.sequence not in model.expired_windows


def _send(config: ModelConfig, model: ModelState, submission_index: int, engine: int) -> ModelStep:
    submission = model.submissions[submission_index]
    violation: str | None = None
    read_states, claimed_reader = submission.read_states, None
    if config.is_reader(engine):
        transition = find_transition(config.read_state_table, read_states[engine], ReadStateEvent.READ_SENT)
        read_states = replace_item(read_states, engine, transition.next_state)
        violation = (
            f"read state: {ReadStateEvent.READ_SENT}" if transition.effect == CommonEffect.VIOLATION else None
        )
    else:
        claimable = (reader for reader, status in enumerate(read_states) if status in CLAIMABLE_STATUSES)
        claimed_reader = max(claimable, default=None)
        if claimed_reader is not None:
            transition = find_transition(
                config.read_state_table, read_states[claimed_reader], ReadStateEvent.CLAIM
            )
            read_states = replace_item(read_states, claimed_reader, transition.next_state)
    attempt = ModelAttempt(
        engine,
        AttemptState.READING if config.is_reader(engine) else AttemptState.WRITING,
        ActualState.IN_TRANSIT if model.engines_up[engine] else ActualState.STOPPED,
        claimed_reader,
    )
    sent = submission._replace(read_states=read_states, attempts=(*submission.attempts, attempt))
    return _check_send(
        config, model.with_submission(submission_index, sent), submission_index, engine, violation
    )


def _check_send(
    config: ModelConfig, model: ModelState, submission_index: int, engine: int, violation: str | None
) -> ModelStep:
    """Return a send as a step, after checking it against the rules for draining and cold engines."""
    if KnownDrain(model.submissions[submission_index].node, engine) in model.known_drains:
        violation = "rule 3: sent to a draining engine"
    if engine in model.cold_engines:
        model = model._replace(cold_sends=model.cold_sends + 1)
        if model.cold_sends > (len(config.semantics) + 1) // 2 * config.max_attempts:
            violation = "rule 4: an engine in slow start got more than its share"
    return ModelStep(f"send {submission_index} to {engine}", model, violation)
