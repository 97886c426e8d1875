"""Steps of the model: clients disconnect or retry, and deadlines and dedup windows end."""

from collections.abc import Iterator

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import AnswerEvent, AnswerState
from myrtlehub.state.attempt import may_have_run
from myrtlehub.state.model import ModelConfig, ModelState, ModelStep
from myrtlehub.state.model_steps import answer_client


def client_steps(config: ModelConfig, model: ModelState, index: int) -> Iterator[ModelStep]:
    """Iterate over the events of a submission that its client and the clock may cause."""
    submission = model.submissions[index]
    semantics = config.semantics[submission.sequence]
    if submission.answer in (AnswerState.PENDING, AnswerState.STREAMING):
        yield answer_client(config, model, index, AnswerEvent.CLIENT_LEFT, f"client {index} disconnects")
    if submission.answer == AnswerState.PENDING and not submission.is_late:
        late = model.with_submission(index, submission._replace(is_late=True))
        has_run = may_have_run(attempt.known_state for attempt in submission.writes(config))
        is_harmless = semantics == RetrySemantics.IDEMPOTENT or not has_run
        event = AnswerEvent.REJECT if is_harmless else AnswerEvent.ABORT
        yield answer_client(config, late, index, event, f"deadline of {index} passes")
    if (
        submission.sequence not in model.expired_windows
        and semantics == RetrySemantics.IDEMPOTENCY_KEY
        and submission.attempts
    ):
        expired = model.expired_windows | {submission.sequence}
        yield ModelStep(
            f"dedup window of {submission.sequence} ends", model._replace(expired_windows=expired)
        )


def client_retries(config: ModelConfig, model: ModelState, index: int) -> Iterator[ModelStep]:
    """Yield the step by which a client retries its request at the next node, if it may."""
    submission = model.submissions[index]
    is_idempotent = config.semantics[submission.sequence] == RetrySemantics.IDEMPOTENT
    may_retry = submission.answer == AnswerState.REJECTED or (
        is_idempotent and (submission.answer == AnswerState.ABORTED or submission.is_lost)
    )
    same_sequence = [other for other in model.submissions if other.sequence == submission.sequence]
    is_last = same_sequence[-1] is submission
    if may_retry and is_last and len(same_sequence) < config.max_submissions:
        retry = config.new_submission(submission.sequence, (submission.node + 1) % config.nodes)
        yield ModelStep(f"client of {index} retries", model._replace(submissions=(*model.submissions, retry)))
