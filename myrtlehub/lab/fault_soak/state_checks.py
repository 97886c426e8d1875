"""The rule of read states: none is held for long without an attempt in flight that may fetch it."""

from collections.abc import Iterator

from myrtlehub.lab.fault_soak.faults import FaultKind
from myrtlehub.lab.fault_soak.findings import Finding, Rule, RuleTerms
from myrtlehub.lab.fault_soak.record_index import RecordIndex
from myrtlehub.lab.fault_soak.records import AttemptRecord, ReadStateRecord, RequestRecord

HOLD_TOLERANCE_S = 0.3  # in addition to the state timeout of the settings
# Faults during which a node cannot connect to an engine to release a state.
CONNECTION_FAULTS = (FaultKind.CONNECT_FAILS, FaultKind.SOCKET_FAILS)


def check_states(index: RecordIndex, terms: RuleTerms) -> Iterator[Finding]:
    """Yield read states that were held too long with no attempt in flight."""
    allowed = terms.state_timeout + HOLD_TOLERANCE_S + index.tolerance
    for state in index.records.states:
        request = index.records.requests.get(state.request_id)
        if request is None or _was_node_killed(index, request):
            continue
        unused = _longest_unused_time(index, state)
        unconnected = index.fault_time(request, state.stored_at, state.held_until, *CONNECTION_FAULTS)
        if unused > allowed + index.stopped_time(request) + unconnected:
            detail = f"{unused:.3f} s at {state.engine} with no attempt out"
            yield Finding(Rule.STATE_RELEASED, state.request_id, detail)


def _was_node_killed(index: RecordIndex, request: RequestRecord) -> bool:
    """Return whether the node that has to release the state was killed: it cannot know of the state then."""
    kills = [fault.end for fault in index.faults_of(request, FaultKind.NODE_KILL)]
    kills += [
        shutdown.killed_at
        for shutdown in index.records.shutdowns
        if shutdown.node == request.node and shutdown.killed_at is not None
    ]
    return any(killed_at >= request.sent_at for killed_at in kills)


def _longest_unused_time(index: RecordIndex, state: ReadStateRecord) -> float:
    """Return the longest period in seconds in which the state was held with no attempt in flight."""
    until = state.held_until
    used = sorted(
        (attempt.arrived_at, end)
        for attempt in index.attempts(state.request_id)
        if attempt.arrived_at < until and (end := _in_flight_until(index, attempt, until)) > state.stored_at
    )
    longest = 0.0
    unused_since = state.stored_at
    for begin, end in used:
        longest = max(longest, begin - unused_since)
        unused_since = max(unused_since, end)
    return max(longest, until - unused_since)


def _in_flight_until(index: RecordIndex, attempt: AttemptRecord, until: float) -> float:
    """Return when the node can know that an attempt has ended: not while its response is cut off."""
    ended_at = attempt.ended_at if attempt.ended_at is not None else until
    cut_ends = [cut.end for cut in index.cuts_of(attempt) if cut.begin <= ended_at]
    return max([ended_at, *(end for end in cut_ends if end >= attempt.first_byte_at)])
