"""The oracle: judges a run by all rules.

It uses the records of clients, engines and discovery alone; violations that the nodes' own counters report
are one rule among others.
"""

from myrtlehub.lab.fault_soak.answer_checks import check_answer
from myrtlehub.lab.fault_soak.attempt_checks import check_attempts, check_draining
from myrtlehub.lab.fault_soak.findings import Finding, RuleTerms
from myrtlehub.lab.fault_soak.node_checks import check_incomplete_requests, check_processes
from myrtlehub.lab.fault_soak.record_index import RecordIndex
from myrtlehub.lab.fault_soak.records import RunRecords
from myrtlehub.lab.fault_soak.state_checks import check_states


def judge_run(records: RunRecords, terms: RuleTerms) -> list[Finding]:
    """Return all breaches of the rules in a run that has ended."""
    index = RecordIndex(records)
    findings: list[Finding] = []
    for request in records.requests.values():
        findings += check_answer(index, request)
        findings += check_attempts(index, request, terms)
    findings += check_draining(index, terms)
    findings += check_states(index, terms)
    findings += check_processes(records)
    findings += check_incomplete_requests(index)
    return findings
