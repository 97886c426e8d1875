"""What a finding concerns: its node, attempts and read states, and the lines of the node's own log."""

from collections.abc import Iterable

from myrtlehub.lab.fault_soak.findings import Finding
from myrtlehub.lab.fault_soak.node_process import NodeProcess
from myrtlehub.lab.fault_soak.records import RequestRecord, RunRecords

MAX_SUBJECTS = 12  # for which evidence is collected, as a broken run can have hundreds of findings
MAX_LOG_LINES = 16  # of each subject


def evidence_of(
    findings: Iterable[Finding], records: RunRecords, nodes: list[NodeProcess]
) -> dict[str, tuple[str, ...]]:
    """Return the evidence by subject of the findings; times are seconds after the request was sent."""
    evidence: dict[str, tuple[str, ...]] = {}
    for finding in findings:
        if finding.subject not in evidence and len(evidence) < MAX_SUBJECTS:
            evidence[finding.subject] = tuple(_describe(finding.subject, records, nodes))
    return evidence


def _describe(subject: str, records: RunRecords, nodes: list[NodeProcess]) -> list[str]:
    request = records.requests.get(subject)
    if request is None:
        return [line for node in nodes for line in node.lines_about(f'"{subject}"', MAX_LOG_LINES)]
    lines = _describe_request(request, records)
    return lines + nodes[request.node].lines_about(f'"{subject}"', MAX_LOG_LINES)


def _describe_request(request: RequestRecord, records: RunRecords) -> list[str]:
    start = request.sent_at
    lines = [
        f"node n{request.node}, {request.traffic}, time left {request.time_left_s} s, "
        f"ended {_after(request.ended_at, start)}: {request.end}, status {request.status}"
    ]
    lines += [
        f"{'read' if attempt.is_read else 'write'} at {attempt.engine}: "
        f"arrived {_after(attempt.arrived_at, start)}, told {attempt.remaining_ms} ms, "
        f"ended {_after(attempt.ended_at, start)}: {attempt.end}"
        for attempt in records.attempts
        if attempt.request_id == request.request_id
    ]
    lines += [
        f"state at {state.engine}: stored {_after(state.stored_at, start)}, "
        f"freed {_after(state.freed_at, start)}"
        for state in records.states
        if state.request_id == request.request_id
    ]
    lines += [
        f"fault {fault.kind} at the node from {_after(fault.begin, start)} to {_after(fault.end, start)}"
        for fault in records.node_faults
        if fault.node == request.node and fault.end >= start and fault.begin <= request.open_until
    ]
    lines += [
        f"node terminated {_after(shutdown.terminated_at, start)}, killed {_after(shutdown.killed_at, start)}"
        for shutdown in records.shutdowns
        if shutdown.node == request.node
    ]
    return lines


def _after(time: float | None, start: float) -> str:
    return "never" if time is None else f"{time - start:+.3f}"
