"""The recovery decision: how a sequence continues after a takeover.

The decision depends on the retry semantics, on what the engines reported when they were claimed, and on how
many tokens the client has received. An attempt counts as having run unless it is certain that it had no
effect.
"""

from enum import StrEnum
from typing import NamedTuple

from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.sequence_records import AttemptIntent, RetrySemantics


class RecoveryAction(StrEnum):
    """What to do with a sequence that was taken over; the values are those of the log."""

    ATTACH = "attach"  # relay the stream that a writer is still generating
    USE_READ_STATE = "held"  # send a write that fetches the read state from its reader
    RETRY = "again"  # route the sequence like a new arrival
    ABORT = "abort"


class AttemptReport(NamedTuple):
    """What one engine reported of one attempt."""

    intent: AttemptIntent
    state: AttemptState
    token_count: int = 0  # generated so far
    first_token: int = 0  # index of the first token that the engine still has


class RecoveryDecision(NamedTuple):
    """What to do with a sequence that was taken over."""

    action: RecoveryAction
    target: AttemptIntent | None = None  # `ATTACH`, `USE_READ_STATE`: the attempt whose engine is used
    abort_reason: str | None = None  # `ABORT` only
    uncertain_attempt: AttemptIntent | None = None  # `RETRY`, `USE_READ_STATE`: the first that may have run


STREAMING_STATES = (AttemptState.WAITING, AttemptState.WRITING, AttemptState.ENDED)
HARMLESS_STATES = (
    AttemptState.NEVER_RAN,
    AttemptState.REJECTED,
    AttemptState.READING,
    AttemptState.HAS_READ_STATE,
)


def may_have_run(report: AttemptReport) -> bool:
    """Return whether an attempt may have had an effect, or may still have one; a read has none."""
    return not report.intent.is_read and report.state not in HARMLESS_STATES


def decide(
    retry_semantics: str,
    reports: list[AttemptReport],
    client_token_count: int,
    is_record_complete: bool = True,
) -> RecoveryDecision:
    """Decide how a sequence continues.

    Args:
        retry_semantics: a value of `RetrySemantics`.
        reports: one per attempt in the record.
        client_token_count: tokens that the client has received.
        is_record_complete: the record lists all attempts. False if no replica had a record; then any
            sequence that is not idempotent may have run.
    """
    writes = [report for report in reports if not report.intent.is_read]
    streams = [report for report in writes if _can_attach(report, client_token_count)]
    if streams:
        return RecoveryDecision(RecoveryAction.ATTACH, _best_stream(streams))
    uncertain_attempt = _first_that_may_have_run(writes)
    abort_reason = _abort_reason(retry_semantics, uncertain_attempt, client_token_count, is_record_complete)
    if abort_reason is not None:
        return RecoveryDecision(RecoveryAction.ABORT, abort_reason=abort_reason)
    reads = [
        report.intent
        for report in reports
        if report.intent.is_read and report.state == AttemptState.HAS_READ_STATE
    ]
    if reads:
        return RecoveryDecision(RecoveryAction.USE_READ_STATE, reads[-1], uncertain_attempt=uncertain_attempt)
    return RecoveryDecision(RecoveryAction.RETRY, uncertain_attempt=uncertain_attempt)


def _can_attach(report: AttemptReport, client_token_count: int) -> bool:
    """Return whether the engine can continue the stream right after the client's last token."""
    if report.state not in STREAMING_STATES or report.first_token > client_token_count:
        return False
    return report.state != AttemptState.ENDED or report.token_count >= client_token_count


def _best_stream(streams: list[AttemptReport]) -> AttemptIntent:
    """Return the attempt to attach to: the latest that has begun to generate, else the latest that waits.

    If the client has received tokens, they are of this attempt: no attempt is sent while another one streams.
    """
    return max(
        streams, key=lambda report: (report.state != AttemptState.WAITING, report.intent.attempt)
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
    """Return why the sequence cannot be sent again; None if it can."""
    if not is_record_complete and (client_token_count or retry_semantics != RetrySemantics.IDEMPOTENT):
        return "no replica knows what was sent for it"
    if client_token_count:
        return "the writer of what was begun is gone, and no other goes on with its text"
    if uncertain_attempt is not None and retry_semantics == RetrySemantics.AT_MOST_ONCE:
        return f"attempt {uncertain_attempt.attempt} may have run at {uncertain_attempt.engine}"
    return None
