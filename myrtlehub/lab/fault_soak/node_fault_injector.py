"""Faults of nodes: signals to their processes, failing system calls, a wrong wall clock."""

import random
import signal
import time
from enum import StrEnum

import msgspec

from myrtlehub.lab.fault_soak.client_connection import ClientBehavior
from myrtlehub.lab.fault_soak.clients import ClientPopulation
from myrtlehub.lab.fault_soak.fault_control import SHORT_CALL
from myrtlehub.lab.fault_soak.faults import Fault, FaultKind
from myrtlehub.lab.fault_soak.node_process import DESCRIPTOR_LIMIT, NodeProcess
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


class NodeSignal(StrEnum):
    """A step of a series of signals."""

    TERMINATE = "SIGTERM"
    HANG_UP = "SIGHUP"  # three of them, each after a change of the configuration
    STOP_BRIEFLY = "SIGSTOP"  # and SIGCONT


SIGNAL_SERIES = (
    (NodeSignal.TERMINATE, NodeSignal.TERMINATE),
    (NodeSignal.HANG_UP, NodeSignal.TERMINATE),
    (NodeSignal.TERMINATE, NodeSignal.HANG_UP),
    (NodeSignal.STOP_BRIEFLY, NodeSignal.TERMINATE, NodeSignal.TERMINATE),
    (NodeSignal.TERMINATE, NodeSignal.STOP_BRIEFLY, NodeSignal.HANG_UP, NodeSignal.TERMINATE),
)
SIGNAL_INTERVAL_S = (0.0, 0.25)  # between two signals of a series
TERMINATED_NODES = 3  # nodes that are terminated one after another
TERMINATION_INTERVAL_S = 0.4


class NodeFaultInjector:
    """Injects faults into nodes."""

    def __init__(
        self,
        reactor: Reactor,
        nodes: list[NodeProcess],
        clients: ClientPopulation,
        records: RunRecords,
        seed: int,
    ) -> None:
        self._reactor = reactor
        self._nodes = nodes
        self._clients = clients
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
            case FaultKind.NODE_SIGNALS:
                self._send_signals(node, list(self._random.choice(SIGNAL_SERIES)))
            case FaultKind.NODES_TERM:
                self._terminate_series(fault.target)
            case FaultKind.NODE_CROWD:
                self._connect_crowd(node)
            case FaultKind.NODE_STOP:
                self._stop(node, time.monotonic() + fault.duration_s)

    def _send_signals(self, node: NodeProcess, series: list[NodeSignal]) -> None:
        """Send the first signal, and the others after short delays."""
        match series.pop(0):
            case NodeSignal.TERMINATE:
                node.terminate()
            case NodeSignal.HANG_UP:
                node.reload()
            case NodeSignal.STOP_BRIEFLY:
                self._stop(node, time.monotonic() + STOP_DURATION_S[0])  # once, as it lasts longer
        if series:
            delay = self._random.uniform(*SIGNAL_INTERVAL_S)
            self._reactor.callLater(delay, self._send_signals, node, series)

    def _terminate_series(self, first: int) -> None:
        count = len(self._nodes)
        for position in range(min(TERMINATED_NODES, count)):
            node = self._nodes[(first + position) % count]
            self._reactor.callLater(position * TERMINATION_INTERVAL_S, node.terminate)

    def _connect_crowd(self, node: NodeProcess) -> None:
        address = node.address_for_clients()
        if address is not None:
            for _ in range(DESCRIPTOR_LIMIT):
                self._clients.connect(node.number, address, ClientBehavior.SILENT)

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
        if time.monotonic() < until:
            self._reactor.callLater(self._random.uniform(*STOP_INTERVAL_S), self._stop, node, until)


def _end_record(record: NodeFault) -> None:
    record.end = time.monotonic()
