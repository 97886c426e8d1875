"""Plays the schedule of the test "overlapping faults" with a driver whose every turn begins late.

Prints the soak's findings about attempts beside the times in the nodes' own logs. It judges nothing: it
shows which findings the driver's own delay can cause. Arguments: the seconds of the delay, and an empty
folder for the logs.
"""

import json
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import ClassVar

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from myrtlehub.lab.fault_soak import clients, runner
from myrtlehub.lab.fault_soak.client_connection import ClientConnection
from myrtlehub.lab.fault_soak.faults import Fault, FaultKind
from myrtlehub.lab.fault_soak.findings import Finding, Rule
from myrtlehub.lab.fault_soak.records import RequestRecord
from myrtlehub.lab.fault_soak.schedule import Schedule
from myrtlehub.lab.fault_soak.soak_result import SoakResult

CLOCK_STEP_NODE = 2  # the wall clock of this node's log is set back
FAULTS = (  # those of test_overlapping_faults_against_processes_break_no_rule
    Fault(FaultKind.ACCEPT_FAILS, 0, 2.0, 1.0, error="ENFILE"),
    Fault(FaultKind.NODE_STOP, 1, 2.2, 1.5),
    Fault(FaultKind.ENGINE_DRAIN, 6, 2.4, 1.0),
    Fault(FaultKind.CLOCK_STEP, CLOCK_STEP_NODE, 2.5, 0.3, clock_step_s=-3600.0),
    Fault(FaultKind.NODE_TERM, 2, 3.0, 0.3),
    Fault(FaultKind.CONNECT_FAILS, 3, 3.2, 0.7, error="EADDRNOTAVAIL"),
    Fault(FaultKind.NODE_RELOAD, 4, 3.4, 0.3),
    Fault(FaultKind.WATCH_SILENT, 4, 3.6, 1.0),
    Fault(FaultKind.LOG_FAILS, 1, 4.0, 1.0, error="ENOSPC"),
)


class ObservedClient(ClientConnection):
    """A client of the soak that records when its socket was really closed."""

    closes: ClassVar[dict[str, tuple[float, float]]] = {}  # by request id: the recorded leave, the close
    left: tuple[RequestRecord, ...] = ()

    def _disconnect(self) -> None:
        self.left = tuple(self.open_requests)
        super()._disconnect()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Record the time; Twisted closes the socket in the same call."""
        for request in self.left:
            if request.disconnected_at is not None:
                self.closes[request.request_id] = (request.disconnected_at, time.monotonic())
        super().connectionLost(reason)


class ObservedRun(runner.SoakRun):
    """A run that shows its records."""

    last: "ObservedRun"

    def start(self) -> Deferred[SoakResult]:
        """Start the run, and remember it."""
        ObservedRun.last = self
        return super().start()


def sends_by_request(folder: Path) -> dict[str, list[tuple[float, float]]]:
    """Return the sends of all attempts by the nodes' logs: monotonic time, and seconds told to the engine."""
    offset = time.time() - time.monotonic()
    sends = defaultdict(list)
    for path in folder.glob("n*/log.*"):
        for line in path.read_text(errors="replace").splitlines():
            if line.startswith('{"event":"attempt_sent"') and line.endswith("}"):
                fields = json.loads(line)
                told = fields["remaining_ms"] / 1e3
                sends[fields["sequence_id"]].append((fields["time"] - offset, told))
    return sends


def describe(findings: list[Finding], folder: Path) -> None:
    """Print what the nodes' logs say of the findings about attempts."""
    sends = sends_by_request(folder)
    requests = ObservedRun.last._records.requests
    excess = []
    for finding in findings:
        request = requests.get(finding.subject)
        if request is None or request.node == CLOCK_STEP_NODE:
            continue
        if finding.rule == Rule.CLIENT_PRESENT and finding.subject in ObservedClient.closes:
            left, closed = ObservedClient.closes[finding.subject]
            sent = [round(at - left, 3) for at, _ in sends[finding.subject]]
            print(f"{finding.subject}: {finding.detail}; socket closed {closed - left:+.3f}, sent {sent}")
        elif finding.rule == Rule.REMAINING_TIME:
            excess += [told - (request.deadline - at) for at, told in sends[finding.subject]]
    print(f"time told, by the nodes' logs: {max(excess, default=0.0):.3f} s too much at most")


def main() -> None:
    """Play the schedule."""
    delay_s, folder = float(sys.argv[1]), Path(sys.argv[2])
    if delay_s:
        handle_events = reactor.doIteration

        def handle_events_and_wait(timeout_s: float | None) -> None:
            handle_events(timeout_s)
            time.sleep(delay_s)

        reactor.doIteration = handle_events_and_wait
    clients.ClientConnection = ObservedClient
    runner.SoakRun = ObservedRun
    schedule = Schedule(seed=1, duration_s=14.0, node_count=5, engine_count=8, faults=FAULTS)
    result = runner.play(schedule, folder)
    counts = Counter(finding.rule.value for finding in result.findings)
    print(f"driver lag {result.driver_lag:.3f} s, {result.requests} requests, findings {dict(counts)}")
    describe(list(result.findings), folder)


if __name__ == "__main__":
    main()
