"""Plays a schedule: runs the fleet and the clients, injects the faults, and checks the records."""

import os
import shutil
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Protocol

from twisted.internet.defer import Deferred

from myrtlehub.lab.fault_soak.clients import ClientPopulation
from myrtlehub.lab.fault_soak.evidence import evidence_of
from myrtlehub.lab.fault_soak.fault_injector import schedule_faults
from myrtlehub.lab.fault_soak.fleet import Fleet
from myrtlehub.lab.fault_soak.fleet_settings import TERMS
from myrtlehub.lab.fault_soak.node_logs import record_node_logs
from myrtlehub.lab.fault_soak.node_process import RELAY
from myrtlehub.lab.fault_soak.oracle import judge_run
from myrtlehub.lab.fault_soak.records import RunRecords
from myrtlehub.lab.fault_soak.recovery_check import RecoveryCheck
from myrtlehub.lab.fault_soak.schedule import Schedule
from myrtlehub.lab.fault_soak.soak_result import SoakResult
from myrtlehub.lab.interfaces import Reactor

CLIENT_RATE = 3.0  # new clients per second and node
LAG_INTERVAL_S = 0.02  # of the measurements of the driver's event loop lag
RECOVERY_CHECK_S = 2.0  # the check starts this long before the end of the run
EXIT_TIMEOUT_S = 16.0  # for all nodes to exit after SIGTERM
EXIT_POLL_INTERVAL_S = 0.1
LAST_RECORDS_S = 0.3  # after the nodes exit, for the ends of their connections to be recorded
EXIT_NO_RESULT = 3


class SoakRun:
    """One run of a schedule."""

    def __init__(self, reactor: Reactor, schedule: Schedule, folder: Path, program: str = RELAY) -> None:
        self._reactor = reactor
        self._schedule = schedule
        self._records = RunRecords()
        self._fleet = Fleet(reactor, schedule, self._records, folder, program)
        self._clients = ClientPopulation(
            reactor, self._records, schedule.seed, CLIENT_RATE, schedule.deadline_s
        )
        self._recovery = RecoveryCheck(reactor, self._fleet.nodes, self._clients, self._records)
        self._done: Deferred[SoakResult] = Deferred()

    def start(self) -> Deferred[SoakResult]:
        """Start the nodes and the clients, and schedule the rest of the run; fires with the result."""
        self._measure_lag(time.monotonic())
        for node in self._fleet.nodes:
            node.on_terminated = self._clients.node_terminated
            node.start()
            self._clients.connect_repeatedly(node.number, node.address_for_clients)
        schedule_faults(self._reactor, self._schedule, self._fleet, self._clients)
        duration_s = self._schedule.duration_s
        self._reactor.callLater(duration_s - RECOVERY_CHECK_S, self._recovery.start)
        self._reactor.callLater(duration_s, self._terminate_nodes)
        return self._done

    def _measure_lag(self, due: float) -> None:
        now = time.monotonic()
        self._records.driver_lag = max(self._records.driver_lag, now - due)
        self._reactor.callLater(LAG_INTERVAL_S, self._measure_lag, now + LAG_INTERVAL_S)

    def _terminate_nodes(self) -> None:
        for node in self._fleet.nodes:
            node.terminate(restarts=False)
        self._wait_for_exits(time.monotonic() + EXIT_TIMEOUT_S)

    def _wait_for_exits(self, until: float) -> None:
        running = [node for node in self._fleet.nodes if node.is_running]
        if running and time.monotonic() < until:
            self._reactor.callLater(EXIT_POLL_INTERVAL_S, self._wait_for_exits, until)
            return
        for node in running:
            self._records.unrecovered.append(f"n{node.number} does not end")
            node.kill()
        self._reactor.callLater(LAST_RECORDS_S, self._finish)

    def _finish(self) -> None:
        records = self._records
        nodes = self._fleet.nodes
        record_node_logs(nodes, records)
        now = time.monotonic()
        for state in records.states:
            if state.freed_at is None:
                state.freed_at = now
        findings = tuple(judge_run(records, TERMS))
        self._done.callback(
            SoakResult(
                self._schedule,
                findings,
                len(records.requests),
                len(records.attempts),
                dict(Counter(request.end.value for request in records.requests.values())),
                records.withheld,
                round(records.driver_lag, 3),
                sum(shutdown.killed_at is not None for shutdown in records.shutdowns),
                len(records.shutdowns),
                evidence_of(findings, records, nodes),
            )
        )


class RunnableReactor(Reactor, Protocol):
    """The reactor that Twisted has installed."""

    def callWhenRunning(self, call: object, /) -> object:  # noqa: N802
        """Call a function once the reactor runs."""

    def run(self) -> None:
        """Run until `stop`."""

    def stop(self) -> None:
        """End `run`."""


def _installed_reactor() -> RunnableReactor:
    from twisted.internet import reactor

    return reactor


def play(schedule: Schedule, keep: Path | None = None, program: str = RELAY) -> SoakResult:
    """Play one schedule; afterwards the reactor of this process cannot run again.

    Args:
        schedule: The schedule.
        keep: Folder for the configurations and logs of the nodes; without it, they are deleted.
        program: Module that is run as a node.
    """
    reactor = _installed_reactor()
    folder = keep or Path(tempfile.mkdtemp(prefix="fault-soak-"))
    results: list[SoakResult] = []

    def finish(result: SoakResult) -> None:
        results.append(result)
        reactor.stop()

    run = SoakRun(reactor, schedule, folder, program)
    reactor.callWhenRunning(lambda: run.start().addCallback(finish))
    reactor.run()
    if keep is None:
        shutil.rmtree(folder, ignore_errors=True)
    if not results:
        os._exit(EXIT_NO_RESULT)
    return results[0]
