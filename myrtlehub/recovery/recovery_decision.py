"""The recovery decision: how a sequence continues after a takeover.

The decision depends on the sequence's retry semantics, on the attempt states that engines reported in reply
to claims, and on how many tokens the client has received. An attempt counts as having run unless it is
certain that it had no effect.
"""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.sequence_records import AttemptIntent, RetrySemantics


class RecoveryAction(StrEnum):
    """What to do with a sequence that was taken over; the values are those of the log."""

    ATTACH = "attach"  # relay the stream that a writer is still generating
    USE_READ_STATE = "held"  # send a write that fetches the read state from its reader
    RETRY = "again"  # route the sequence again like a new arrival
    ABORT = "abort"


class AttemptReport(NamedTuple):
    """What an engine reported about one attempt."""

    intent: AttemptIntent
    state: AttemptState
    token_count: int = 0  # generated so far
    first_token: int = 0  # index of the first token that the engine still stores


class RecoveryDecision(NamedTuple):
    """What to do with a sequence that was taken over.

    Attributes:
        action: What to do.
        target: The attempt whose engine is used. Set with `ATTACH` and `USE_READ_STATE`.
        abort_reason: Set with `ABORT`.
        uncertain_attempt: The first attempt that may have run; None if there is none. Set with `RETRY` and
            `USE_READ_STATE`.
    """

    action: RecoveryAction
    target: AttemptIntent | None = None
    abort_reason: str | None = None
    uncertain_attempt: AttemptIntent | None = None


STREAMING_STATES = (AttemptState.WAITING, AttemptState.WRITING, AttemptState.ENDED)
EFFECT_FREE_STATES = (
    AttemptState.NEVER_RAN,
    AttemptState.REJECTED,
    AttemptState.READING,
    AttemptState.HAS_READ_STATE,
)


def may_have_run(report: AttemptReport) -> bool:
    """Return whether an attempt may have had an effect or still may have one; reads have no effect."""
    return not report.intent.is_read and report.state not in EFFECT_FREE_STATES


def decide(
    retry_semantics: str,
    reports: list[AttemptReport],
    client_token_count: int,
    is_record_complete: bool = True,
) -> RecoveryDecision:
    """Decide how a sequence continues after a takeover.

    Args:
        retry_semantics: a value of `RetrySemantics`.
        reports: one per attempt in the record.
        client_token_count: number of tokens that the client has received.
        is_record_complete: whether the record lists all attempts. False if no replica had a record; a
            sequence that is not idempotent then counts as having run.
    """
    writes = [report for report in reports if not report.intent.is_read]
    attachable = [report for report in writes if _can_attach(report, client_token_count)]
    if attachable:
        return RecoveryDecision(RecoveryAction.ATTACH, _select_stream(attachable))
    uncertain_attempt = _first_that_may_have_run(writes)
    abort_reason = _abort_reason(retry_semantics, uncertain_attempt, client_token_count, is_record_complete)
    if abort_reason is not None:
        return RecoveryDecision(RecoveryAction.ABORT, abort_reason=abort_reason)
    reads_with_state = [
        report.intent
        for report in reports
        if report.intent.is_read and report.state == AttemptState.HAS_READ_STATE
    ]
    if reads_with_state:
        return RecoveryDecision(
            RecoveryAction.USE_READ_STATE, reads_with_state[-1], uncertain_attempt=uncertain_attempt
        )
    return RecoveryDecision(RecoveryAction.RETRY, uncertain_attempt=uncertain_attempt)


def _can_attach(report: AttemptReport, client_token_count: int) -> bool:
    """Return whether the engine can resume the stream at the token after the client's last one."""
    if report.state not in STREAMING_STATES or report.first_token > client_token_count:
        return False
    return report.state != AttemptState.ENDED or report.token_count >= client_token_count


def _select_stream(attachable: list[AttemptReport]) -> AttemptIntent:
    """Return the attempt to attach to: the latest that has begun to generate, else the latest that waits.

    Tokens that the client has received are always of this attempt, because no attempt is sent while another
    one streams.
    """
    return max(
        attachable, key=lambda report: (report.state != AttemptState.WAITING, report.intent.attempt)
    ).intent


def _first_that_may_have_run(writes: list[AttemptReport]) -> AttemptIntent | None:
    by_attempt = sorted(writes, key=lambda report: report.intent.attempt)
    return next((report.intent for report in by_attempt if may_have_run(report)), None)


def _abort_reason(
    retry_semantics: str,
    uncertain_attempt: AttemptIntent | None,
    client_token_count: int,
    is_record_complete: bool,
) -> str | None:
    """Return why the sequence must not be sent again; None if it may be."""
    if not is_record_complete and (client_token_count or retry_semantics != RetrySemantics.IDEMPOTENT):
        return "no replica knows what was sent for it"
    if client_token_count:
        return "the writer of what was begun is gone, and no other goes on with its text"
    if uncertain_attempt is not None and retry_semantics == RetrySemantics.AT_MOST_ONCE:
        return f"attempt {uncertain_attempt.attempt} may have run at {uncertain_attempt.engine}"
    return None
