"""Steps of the model: clients disconnect or retry, deadlines pass, and dedup windows expire."""

from collections.abc import Iterator

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import AnswerEvent, AnswerState
from myrtlehub.state.attempt import may_have_run
from myrtlehub.state.model import ModelConfig, ModelState, ModelStep
from myrtlehub.state.model_steps import answer_client


def client_steps(config: ModelConfig, model: ModelState, submission_index: int) -> Iterator[ModelStep]:
    """Iterate over the possible events of a submission that its client or the clock causes."""
    submission = model.submissions[submission_index]
    semantics = config.semantics[submission.sequence]
    if submission.answer in (AnswerState.PENDING, AnswerState.STREAMING):
        yield answer_client(
            config, model, submission_index, AnswerEvent.CLIENT_LEFT, f"client {submission_index} disconnects"
        )
    if submission.answer == AnswerState.PENDING and not submission.is_past_deadline:
        past_deadline = model.with_submission(submission_index, submission._replace(is_past_deadline=True))
        has_run = may_have_run(attempt.known_state for attempt in submission.writes(config))
        is_safe_to_retry = semantics == RetrySemantics.IDEMPOTENT or not has_run
        event = AnswerEvent.REJECT if is_safe_to_retry else AnswerEvent.ABORT
        yield answer_client(
            config, past_deadline, submission_index, event, f"deadline of {submission_index} passes"
        )
    if (
        submission.sequence not in model.expired_windows
        and semantics == RetrySemantics.IDEMPOTENCY_KEY
        and submission.attempts
    ):
        expired = model.expired_windows | {submission.sequence}
        yield ModelStep(
            f"dedup window of {submission.sequence} expires", model._replace(expired_windows=expired)
        )


def client_retries(config: ModelConfig, model: ModelState, submission_index: int) -> Iterator[ModelStep]:
    """Yield the step in which a client retries its request at the next node, if it may retry."""
    submission = model.submissions[submission_index]
    is_idempotent = config.semantics[submission.sequence] == RetrySemantics.IDEMPOTENT
    may_retry = submission.answer == AnswerState.REJECTED or (
        is_idempotent and (submission.answer == AnswerState.ABORTED or submission.is_node_killed)
    )
    same_sequence = [other for other in model.submissions if other.sequence == submission.sequence]
    is_last = same_sequence[-1] is submission
    if may_retry and is_last and len(same_sequence) < config.max_submissions:
        retry = config.new_submission(submission.sequence, (submission.node + 1) % config.nodes)
        yield ModelStep(
            f"client of {submission_index} retries", model._replace(submissions=(*model.submissions, retry))
        )
