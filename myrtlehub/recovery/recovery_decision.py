"""The recovery decision: what becomes of a sequence that was taken over.

Decided by its retry semantics, by what the engines reported to the claim, and by how many tokens its client
has. What is not known for certain to have had no effect counts as having run.
"""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.sequence_records import AttemptIntent, RetrySemantics


class RecoveryAction(StrEnum):
    """What to do for a sequence that was taken over."""

    ATTACH = "attach"  # pass on the stream that a writer still makes
    USE_READ_STATE = "held"  # send a write that fetches the state that a reader holds
    RETRY = "again"  # send it again as if it arrived now
    ABORT = "abort"


class AttemptReport(NamedTuple):
    """What one engine reported of one attempt."""

    intent: AttemptIntent
    state: AttemptState
    token_count: int = 0  # generated so far
    first_token: int = 0  # the first of them that the engine still has


class RecoveryDecision(NamedTuple):
    """What to do, and where."""

    action: RecoveryAction
    engine: str = ""
    attempt: int = -1
    reason: str = ""
    may_have_run: AttemptIntent | None = None  # the first such attempt, where the sequence is sent again


STREAMING_STATES = (AttemptState.WAITING, AttemptState.WRITING, AttemptState.ENDED)
HARMLESS_STATES = (
    AttemptState.NEVER,
    AttemptState.REFUSED,
    AttemptState.READING,
    AttemptState.HOLDS_READ_STATE,
)


def attempt_may_have_run(report: AttemptReport) -> bool:
    """Return whether this attempt may have had an effect, or still can. Reads have none."""
    return not report.intent.reads and report.state not in HARMLESS_STATES


def decide(
    retry_semantics: str, reports: list[AttemptReport], client_tokens: int, is_complete: bool = True
) -> RecoveryDecision:
    """Decide what to do for a client that has `client_tokens` tokens.

    `is_complete`: the record is known to name all attempts (a replica had it). Without one, whatever is not
    idempotent may have run.
    """
    writes = [report for report in reports if not report.intent.reads]
    streams = [report for report in writes if _can_be_attached_to(report, client_tokens)]
    if streams:
        return _attach(streams)
    may_have_run = next(
        (
            report.intent
            for report in sorted(writes, key=lambda report: report.intent.attempt)
            if attempt_may_have_run(report)
        ),
        None,
    )
    abort_reason = _abort_reason(retry_semantics, may_have_run, client_tokens, is_complete)
    if abort_reason:
        return RecoveryDecision(RecoveryAction.ABORT, reason=abort_reason)
    reads = [
        report.intent
        for report in reports
        if report.intent.reads and report.state == AttemptState.HOLDS_READ_STATE
    ]
    if reads:
        return RecoveryDecision(
            RecoveryAction.USE_READ_STATE, reads[-1].engine, reads[-1].attempt, may_have_run=may_have_run
        )
    return RecoveryDecision(RecoveryAction.RETRY, may_have_run=may_have_run)


def _can_be_attached_to(report: AttemptReport, client_tokens: int) -> bool:
    """Return whether the engine can continue this attempt's stream after the tokens that the client has."""
    if report.state not in STREAMING_STATES or report.first_token > client_tokens:
        return False
    return report.state != AttemptState.ENDED or report.token_count >= client_tokens


def _attach(streams: list[AttemptReport]) -> RecoveryDecision:
    """Of two answers, go on with the one that the client has begun with.

    That is the later attempt, as no attempt is sent beside one that streams.
    """
    best = max(
        streams, key=lambda report: (report.state != AttemptState.WAITING, report.intent.attempt)
    ).intent
    return RecoveryDecision(RecoveryAction.ATTACH, best.engine, best.attempt)


def _abort_reason(
    retry_semantics: str, may_have_run: AttemptIntent | None, client_tokens: int, is_complete: bool
) -> str:
    """Say why the sequence can't be sent again; empty if it can."""
    if not is_complete and (client_tokens or retry_semantics != RetrySemantics.IDEMPOTENT):
        return "no replica knows what was sent for it"
    if client_tokens:
        return "the writer of what was begun is gone, and no other goes on with its text"
    if may_have_run is not None and retry_semantics == RetrySemantics.AT_MOST_ONCE:
        return f"attempt {may_have_run.attempt} may have run at {may_have_run.engine}"
    return ""
