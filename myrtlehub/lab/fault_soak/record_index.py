"""Queries of the records that several rules share."""

from collections import defaultdict

from myrtlehub.lab.fault_soak.faults import FaultKind
from myrtlehub.lab.fault_soak.records import (
    AttemptRecord,
    EngineCut,
    NodeFault,
    NodeShutdown,
    RequestRecord,
    RunRecords,
)

TIMING_TOLERANCE_S = 0.03  # inaccuracy of all recorded times, in addition to the driver's lag
# A node that was stopped this long before a request or after its end may still be delayed by it.
STOP_MARGIN_S = 1.0


class RecordIndex:
    """The records of a run, by request.

    Attributes:
        records: The records.
        tolerance: Seconds by which a recorded time may be late.
    """

    def __init__(self, records: RunRecords) -> None:
        self.records = records
        self.tolerance = TIMING_TOLERANCE_S + records.driver_lag
        self._attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in records.attempts:
            self._attempts[attempt.request_id].append(attempt)

    def attempts(self, request_id: str) -> list[AttemptRecord]:
        """Return the attempts of a request."""
        return self._attempts.get(request_id, [])

    def faults_of(self, request: RequestRecord, *kinds: FaultKind) -> list[NodeFault]:
        """Return the faults of these kinds at the node of a request."""
        return [
            fault for fault in self.records.node_faults if fault.node == request.node and fault.kind in kinds
        ]

    def fault_time(self, request: RequestRecord, begin: float, end: float, *kinds: FaultKind) -> float:
        """Return for how many seconds from `begin` to `end` the request's node had faults of these kinds."""
        return sum(
            min(fault.end, end) - max(fault.begin, begin)
            for fault in self.faults_of(request, *kinds)
            if fault.begin < end and fault.end > begin
        )

    def stopped_time(self, request: RequestRecord) -> float:
        """Return for how many seconds the request's node was stopped during the request or close to it."""
        begin, end = request.sent_at - STOP_MARGIN_S, request.open_until + STOP_MARGIN_S
        return sum(
            fault.end - fault.begin
            for fault in self.faults_of(request, FaultKind.NODE_STOP)
            if fault.begin <= end and fault.end >= begin
        )

    def kill_of(self, request: RequestRecord) -> NodeShutdown | None:
        """Return the shutdown that ended by SIGKILL while a request was open, if there is one."""
        for shutdown in self.records.shutdowns:
            if shutdown.node != request.node or shutdown.killed_at is None:
                continue
            if request.sent_at <= shutdown.killed_at <= request.open_until + self.tolerance:
                return shutdown
        return None

    def cuts_of(self, attempt: AttemptRecord) -> list[EngineCut]:
        """Return the cuts of an attempt's engine."""
        return [cut for cut in self.records.cuts if cut.engine == attempt.engine]
