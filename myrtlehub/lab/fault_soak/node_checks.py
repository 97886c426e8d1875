"""The rules of nodes: they do not crash, keep their invariants, recover, and close incomplete requests."""

from collections import Counter
from collections.abc import Iterator

from myrtlehub.lab.fault_soak.faults import FaultKind
from myrtlehub.lab.fault_soak.findings import Finding, Rule
from myrtlehub.lab.fault_soak.record_index import RecordIndex
from myrtlehub.lab.fault_soak.records import RunRecords

MAX_DETAIL_LENGTH = 200  # characters of the last line of a traceback
INCOMPLETE_REQUEST_TIMEOUT_S = 3.0  # in which a node has to answer or close an incomplete request
INCOMPLETE_REQUEST_DELAY_S = 3.0  # additional time at nodes that were stopped or could not accept


def check_processes(records: RunRecords) -> Iterator[Finding]:
    """Yield crashes, violations by the nodes' own counters, and nodes that did not recover."""
    for exited in records.exits:
        if not exited.was_requested or exited.code != 0 or exited.errors:
            last_line = (exited.errors.strip().splitlines() or [""])[-1]
            detail = f"exit {exited.code}: {last_line[:MAX_DETAIL_LENGTH]}"
            yield Finding(Rule.NO_CRASH, f"n{exited.node}", detail)
    for violation, count in Counter(records.node_violations).items():
        yield Finding(Rule.NODE_INVARIANT, violation, f"{count} times by the nodes' own counters")
    for subject in records.unrecovered:
        yield Finding(Rule.RECOVERY, subject, "no answer after all troubles were over")


def check_incomplete_requests(index: RecordIndex) -> Iterator[Finding]:
    """Yield incomplete requests that a node kept open for too long."""
    delaying = (FaultKind.NODE_STOP, FaultKind.ACCEPT_FAILS)
    delayed = {fault.node for fault in index.records.node_faults if fault.kind in delaying}
    for request in index.records.incomplete_requests:
        open_time = request.closed_at - request.sent_at
        allowed = INCOMPLETE_REQUEST_TIMEOUT_S + index.tolerance
        if request.node in delayed:
            allowed += INCOMPLETE_REQUEST_DELAY_S
        if open_time > allowed:
            yield Finding(Rule.INCOMPLETE_REQUEST, f"n{request.node}", f"kept for {open_time:.3f} s")
