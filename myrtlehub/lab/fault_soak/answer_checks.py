"""The rules of final answers: each request gets one in time, and an engine's stream reaches the client."""

from collections.abc import Iterator
from http import HTTPStatus

from myrtlehub.lab.fault_soak.faults import FaultKind
from myrtlehub.lab.fault_soak.findings import Finding, Rule
from myrtlehub.lab.fault_soak.record_index import RecordIndex
from myrtlehub.lab.fault_soak.records import (
    AttemptEnd,
    AttemptRecord,
    NodeShutdown,
    RequestRecord,
    ResponseEnd,
)
from myrtlehub.platform_settings import KILL_MARGIN_S

MAX_LATE_ANSWER_S = 0.5  # by which a final answer or a first event may come after the deadline
# From the last byte of an engine's stream, or from what never ends in it, to the end of the client's.
MAX_WAIT_S = 5.0
# An engine that wrote to its stream this shortly before its end was still writing it.
MAX_ENGINE_PAUSE_S = 1.5
# Faults after which a client on the node's connections cannot be reached any more.
DISCONNECTING_FAULTS = (FaultKind.NODE_KILL, FaultKind.BROKEN_SOCKETS)


def check_answer(index: RecordIndex, request: RequestRecord) -> Iterator[Finding]:
    """Yield breaches by the answer to a request, or by its absence."""
    if request.end == ResponseEnd.CLIENT_DISCONNECTED or _was_disconnected(index, request):
        return
    shutdown = index.kill_of(request)
    if shutdown is not None:
        yield from _check_killed(index, request, shutdown)
        return
    if request.end == ResponseEnd.UNANSWERED:
        was_forwarded = bool(index.attempts(request.request_id))
        # A node may close an idle connection while the next request on it is under way, but not after it has
        # forwarded that request.
        if request.is_first_on_connection or was_forwarded:
            detail = f"closed with no answer, forwarded: {was_forwarded}"
            yield Finding(Rule.FINAL_ANSWER, request.request_id, detail)
    elif request.end == ResponseEnd.OPEN and not request.event_count:
        yield Finding(Rule.FINAL_ANSWER, request.request_id, "no answer at all")
    elif not request.event_count:
        yield from _check_lateness(index, request, request.open_until)
    elif request.status == HTTPStatus.OK:
        yield from _check_stream(index, request)


def _check_killed(index: RecordIndex, request: RequestRecord, shutdown: NodeShutdown) -> Iterator[Finding]:
    """Yield a breach if a request was open at SIGKILL that came too late after SIGTERM to be excused."""
    since = request.sent_at - shutdown.terminated_at
    if since > KILL_MARGIN_S + index.tolerance + index.stopped_time(request):
        detail = f"open at SIGKILL, although it came {since:.3f} s after SIGTERM"
        yield Finding(Rule.FINAL_ANSWER, request.request_id, detail)


def _was_disconnected(index: RecordIndex, request: RequestRecord) -> bool:
    """Return whether a fault may have broken the client's connection."""
    return any(
        fault.begin <= request.open_until + index.tolerance and fault.end >= request.sent_at - index.tolerance
        for fault in index.faults_of(request, *DISCONNECTING_FAULTS)
    )


def _check_lateness(index: RecordIndex, request: RequestRecord, answered_at: float) -> Iterator[Finding]:
    late = answered_at - max(request.deadline, request.answerable_at)
    delay = index.stopped_time(request) + index.fault_time(
        request, request.sent_at, answered_at, FaultKind.ACCEPT_FAILS
    )
    if late > MAX_LATE_ANSWER_S + delay + index.tolerance:
        yield Finding(Rule.FINAL_ANSWER, request.request_id, f"answered {late:.3f} s late")


def _check_stream(index: RecordIndex, request: RequestRecord) -> Iterator[Finding]:
    if request.first_event_at is not None:
        yield from _check_lateness(index, request, request.first_event_at)
    yield from _check_wait(index, request)
    yield from _check_endless(index, request)
    attempts = index.attempts(request.request_id)
    complete_counts = [a.event_count for a in attempts if a.end == AttemptEnd.COMPLETE]
    if request.end == ResponseEnd.COMPLETE and request.event_count not in complete_counts:
        detail = f"{request.event_count} events, whole, of no engine's stream"
        yield Finding(Rule.UNCHANGED_STREAM, request.request_id, detail)
    if request.end == ResponseEnd.OPEN:
        yield Finding(Rule.FINAL_ANSWER, request.request_id, "its stream never ends")
    if request.end == ResponseEnd.CUT and _has_complete_stream(index, request):
        yield Finding(Rule.FINAL_ANSWER, request.request_id, "its stream was cut, its engine's is whole")
    if request.end == ResponseEnd.CUT and _was_still_written(index, request):
        yield Finding(Rule.FINAL_ANSWER, request.request_id, "its stream was cut, its engine still wrote it")


def _check_wait(index: RecordIndex, request: RequestRecord) -> Iterator[Finding]:
    """Yield a breach if the client waited too long for the end of a stream that its engine had stopped."""
    written = [a.last_byte_at for a in index.attempts(request.request_id) if a.last_byte_at is not None]
    if not written:
        return
    wait = request.open_until - max(written)
    if wait > MAX_WAIT_S + index.stopped_time(request) + index.tolerance:
        detail = f"its stream ended {wait:.3f} s after its engine's last byte"
        yield Finding(Rule.FINAL_ANSWER, request.request_id, detail)


def _check_endless(index: RecordIndex, request: RequestRecord) -> Iterator[Finding]:
    """Yield a breach if a stream was kept for too long after something in it that never ends had begun."""
    for attempt in index.attempts(request.request_id):
        if attempt.endless_since is None or not attempt.event_count:
            continue
        wait = min(request.open_until, attempt.running_until) - attempt.endless_since
        if wait > MAX_WAIT_S + index.stopped_time(request) + index.tolerance:
            detail = f"its stream was kept for {wait:.3f} s after something in it that never ends had begun"
            yield Finding(Rule.FINAL_ANSWER, request.request_id, detail)


def _was_still_written(index: RecordIndex, request: RequestRecord) -> bool:
    """Return whether the node broke off the stream of an engine that was still writing a sound one."""
    return any(
        write.end == AttemptEnd.LOST
        and not write.is_spoilt
        and write.last_byte_at is not None
        and write.event_count >= request.event_count
        and write.running_until - write.last_byte_at < MAX_ENGINE_PAUSE_S
        and not _may_have_lost_bytes(index, write)
        for write in index.attempts(request.request_id)
    )


def _has_complete_stream(index: RecordIndex, request: RequestRecord) -> bool:
    """Return whether an engine sent a complete stream, and no write that was lost explains a cut answer."""
    writes = [
        attempt
        for attempt in index.attempts(request.request_id)
        if not attempt.is_read and not _may_have_lost_bytes(index, attempt)
    ]
    is_complete = any(write.end == AttemptEnd.COMPLETE for write in writes)
    is_explained = any(
        write.end in (AttemptEnd.LOST, AttemptEnd.BROKEN_OFF) and write.event_count >= request.event_count
        for write in writes
    )
    return is_complete and not is_explained


def _may_have_lost_bytes(index: RecordIndex, attempt: AttemptRecord) -> bool:
    """Return whether bytes of an attempt may have been lost between engine and node."""
    end = attempt.running_until + index.tolerance
    return any(cut.begin <= end and cut.end >= attempt.first_byte_at for cut in index.cuts_of(attempt))
