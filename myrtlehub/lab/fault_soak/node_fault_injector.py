"""Faults of nodes: signals to their processes, failing system calls, a wrong wall clock."""

import random
import signal
import time

import msgspec

from myrtlehub.lab.fault_soak.fault_control import SHORT_CALL
from myrtlehub.lab.fault_soak.faults import Fault, FaultKind
from myrtlehub.lab.fault_soak.node_process import NodeProcess
from myrtlehub.lab.fault_soak.records import NodeFault, RunRecords
from myrtlehub.lab.interfaces import Reactor

STOP_DURATION_S = (0.02, 0.15)  # from SIGSTOP to SIGCONT
STOP_INTERVAL_S = (0.05, 0.3)  # from SIGCONT to the next SIGSTOP
KILL_DURATION_S = 0.3  # for which a killed node is recorded as faulty
FAILING_CALLS = {  # fields of `CallFaults`
    FaultKind.CONNECT_FAILS: ("connect",),
    FaultKind.SOCKET_FAILS: ("socket",),
    FaultKind.ACCEPT_FAILS: ("accept",),
    FaultKind.SHORT_CALLS: ("send", "recv"),
    FaultKind.BROKEN_SOCKETS: ("recv",),
    FaultKind.LOG_FAILS: ("write",),
}


class NodeFaultInjector:
    """Injects faults into nodes."""

    def __init__(self, reactor: Reactor, nodes: list[NodeProcess], records: RunRecords, seed: int) -> None:
        self._reactor = reactor
        self._nodes = nodes
        self._records = records
        self._random = random.Random(seed)

    def begin(self, fault: Fault) -> None:
        """Start a fault, and schedule its end."""
        node = self._nodes[fault.target]
        if fault.kind in FAILING_CALLS:
            self._begin_failing_calls(node, fault)
            return
        match fault.kind:
            case FaultKind.CLOCK_STEP:
                faults = msgspec.structs.replace(node.call_faults, clock_step_s=fault.clock_step_s)
                node.set_call_faults(faults)
            case FaultKind.NODE_TERM:
                node.terminate()
            case FaultKind.NODE_KILL:
                record = self._records.begin_node_fault(node.number, fault.kind, time.monotonic())
                node.kill()
                self._reactor.callLater(KILL_DURATION_S, _end_record, record)
            case FaultKind.NODE_RELOAD:
                node.reload()
            case FaultKind.NODE_STOP:
                self._stop(node, time.monotonic() + fault.duration_s)

    def _begin_failing_calls(self, node: NodeProcess, fault: Fault) -> None:
        record = self._records.begin_node_fault(node.number, fault.kind, time.monotonic())
        errors = dict.fromkeys(FAILING_CALLS[fault.kind], fault.error or SHORT_CALL)
        node.set_call_faults(msgspec.structs.replace(node.call_faults, share=fault.share, **errors))
        self._reactor.callLater(fault.duration_s, self._end_failing_calls, node, record)

    def _end_failing_calls(self, node: NodeProcess, record: NodeFault) -> None:
        no_errors = dict.fromkeys(FAILING_CALLS[record.kind])
        node.set_call_faults(msgspec.structs.replace(node.call_faults, **no_errors))
        _end_record(record)

    def _stop(self, node: NodeProcess, until: float) -> None:
        if time.monotonic() > until:
            return
        record = self._records.begin_node_fault(node.number, FaultKind.NODE_STOP, time.monotonic())
        node.signal(signal.SIGSTOP)
        duration = self._random.uniform(*STOP_DURATION_S)
        self._reactor.callLater(duration, self._resume, node, until, record)

    def _resume(self, node: NodeProcess, until: float, record: NodeFault) -> None:
        node.signal(signal.SIGCONT)
        _end_record(record)
        self._reactor.callLater(self._random.uniform(*STOP_INTERVAL_S), self._stop, node, until)


def _end_record(record: NodeFault) -> None:
    record.end = time.monotonic()
