"""Checks of attempts: none starts late, risks a forbidden second execution, or goes to a draining engine."""

import math
from collections.abc import Iterator

from myrtlehub.lab.fault_soak.findings import Finding, Rule, RuleTerms
from myrtlehub.lab.fault_soak.record_index import RecordIndex
from myrtlehub.lab.fault_soak.records import (
    AttemptEnd,
    AttemptRecord,
    EngineChange,
    EngineHealth,
    RequestRecord,
    TrafficType,
)

MAX_START_AFTER_DISCONNECT_S = 0.1  # after the client disconnected, an attempt may still start for this long
MAX_EXCESS_REMAINING_TIME_S = 0.15  # by which the remaining time sent to an engine may exceed the real one
DRAIN_TOLERANCE_S = 0.05  # added to the grace time of a draining engine


def check_attempts(index: RecordIndex, request: RequestRecord, terms: RuleTerms) -> Iterator[Finding]:
    """Yield a finding for each attempt of a request that breaks a rule."""
    # In the order of their records: the kernel's times of arrival are exact to some milliseconds only.
    attempts = index.attempts(request.request_id)
    allowance = index.stopped_time(request) + index.tolerance
    for attempt in attempts:
        if request.disconnected_at is not None:
            late = attempt.first_byte_at - request.disconnected_at
            if late > MAX_START_AFTER_DISCONNECT_S + allowance:
                detail = f"an attempt {late:.3f} s after it left"
                yield Finding(Rule.CLIENT_PRESENT, request.request_id, detail)
        excess = attempt.remaining_ms / 1e3 - (request.deadline - attempt.arrived_at)
        if excess > MAX_EXCESS_REMAINING_TIME_S + allowance:
            detail = f"{excess:.3f} s more than is left"
            yield Finding(Rule.REMAINING_TIME, request.request_id, detail)
    yield from _check_retries(index, request, [a for a in attempts if not a.is_read], terms)


def _check_retries(
    index: RecordIndex, request: RequestRecord, writes: list[AttemptRecord], terms: RuleTerms
) -> Iterator[Finding]:
    for number, write in enumerate(writes):
        earlier = [w for w in writes[:number] if not _has_not_run(index, w, write.arrived_at)]
        if not earlier:
            continue
        if request.traffic == TrafficType.AT_MOST_ONCE:
            detail = "a further write, though an earlier one may have run"
            yield Finding(Rule.SINGLE_EXECUTION, request.request_id, detail)
        elif request.traffic == TrafficType.DEDUPLICATED:
            age = write.arrived_at - earlier[0].arrived_at
            if age > terms.dedup_window + index.tolerance:
                detail = f"{age:.3f} s after the first, past the window"
                yield Finding(Rule.SINGLE_EXECUTION, request.request_id, detail)


def _has_not_run(index: RecordIndex, write: AttemptRecord, before: float) -> bool:
    """Return whether a node could know at the time `before` that the engine rejected a write unexecuted."""
    return write.end == AttemptEnd.REJECTED and write.running_until <= before + index.tolerance


def check_draining(index: RecordIndex, terms: RuleTerms) -> Iterator[Finding]:
    """Yield attempts to engines that were draining or removed for longer than the grace time."""
    changes = index.records.changes
    for position, change in enumerate(changes):
        if change.health == EngineHealth.SERVING:
            continue
        next_changes = (later.at for later in changes[position + 1 :] if later.engine == change.engine)
        until = next(next_changes, math.inf)
        for attempt in index.records.attempts:
            if attempt.engine == change.engine and change.at < attempt.first_byte_at < until:
                yield from _check_after_change(index, attempt, change, terms)


def _check_after_change(
    index: RecordIndex, attempt: AttemptRecord, change: EngineChange, terms: RuleTerms
) -> Iterator[Finding]:
    request = index.records.requests.get(attempt.request_id)
    if request is None:
        return
    known_at = change.known_at.get(request.node, math.inf)
    allowance = terms.drain_grace + DRAIN_TOLERANCE_S + index.tolerance + index.stopped_time(request)
    late = attempt.first_byte_at - known_at
    if late > allowance:
        detail = f"to {attempt.engine} {late:.3f} s after it was told"
        yield Finding(Rule.DRAINING, attempt.request_id, detail)
