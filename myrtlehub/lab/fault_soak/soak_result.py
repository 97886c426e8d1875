"""The result of a run."""

import msgspec

from myrtlehub.lab.fault_soak.findings import Finding
from myrtlehub.lab.fault_soak.schedule import Schedule


class SoakResult(msgspec.Struct, frozen=True):
    """What a run has shown, as the process that played it writes it to its standard output.

    Attributes:
        schedule: The schedule that was played.
        findings: Breaches of the rules.
        requests: Number of clients' requests.
        attempts: Number of attempts that reached engines.
        ends: Number of requests by how they ended.
        withheld: Number of sends that the nodes withheld, by invariant.
        driver_lag: Largest event loop lag of the driver in seconds.
        killed: Number of shutdowns that SIGKILL ended.
        shutdowns: Number of shutdowns.
        evidence: By subject of a finding, what the records and the node's own log say of it.
    """

    schedule: Schedule
    findings: tuple[Finding, ...]
    requests: int
    attempts: int
    ends: dict[str, int]
    withheld: dict[str, int]
    driver_lag: float
    killed: int
    shutdowns: int
    evidence: dict[str, tuple[str, ...]]
