"""Plays a scenario with real processes on loopback, and judges it by what was recorded on the sockets."""

from collections import Counter
from collections.abc import Callable, Generator
from pathlib import Path
from random import Random
from typing import ClassVar

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from myrtlehub.lab.endpoint_list_writer import EndpointListWriter
from myrtlehub.lab.endpoint_publisher import GONE, SERVING, EndpointPublisher
from myrtlehub.lab.fault_scheduler import FaultScheduler
from myrtlehub.lab.fleet_layout import ZONE, make_layout
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.lab.process_calls import ProcessCalls
from myrtlehub.lab.process_files import NODE_PROGRAM, ProcessFiles
from myrtlehub.lab.processes import Process, Processes
from myrtlehub.lab.rule_checker.scenario_facts import SLACK
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.simulated_clients.batch_clients import BatchClients
from myrtlehub.lab.simulated_clients.chat_clients import ChatClients
from myrtlehub.lab.verdict import Verdict, judge_records
from myrtlehub.node.clock import SteadyClock
from myrtlehub.records import Recorder

ENGINE_PROGRAM = "myrtlehub.cli.emulator"
LAST_LIST_WRITE = (
    1.5  # seconds before the end of the traffic at which list files are written for the last time
)
REPORT_INTERVAL = 5.0  # seconds
OPEN_CALL_GRACE = 5.0  # seconds past their deadline in which open calls are waited for
RELEASE_GRACE = 0.3  # seconds past the release time after which a read state that is left shows


class ScenarioFailedError(Exception):
    """The scenario could not be played; the text says why."""


class ScenarioRunner:
    """Plays one scenario; `report` gets a line of progress at a time."""

    files_class: ClassVar[type[ProcessFiles]] = ProcessFiles
    faults_class: ClassVar[type[FaultScheduler]] = FaultScheduler

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        reactor: Reactor,
        sequences: int = 0,
        seed: int | None = None,
        report: Callable[[str], None] = lambda line: None,
    ) -> None:
        """Make one; `sequences` and `seed` replace what the scenario says."""
        self.scenario = scenario
        self.folder = folder
        self.reactor = reactor
        self.report = report
        self.clock = SteadyClock(reactor)
        self.seed = scenario.seed if seed is None else seed
        self.random = Random(self.seed)
        self.rate = sequences / scenario.length if sequences else scenario.rate
        self.layout = make_layout(scenario)
        self.node_program = [NODE_PROGRAM]
        self.environment: dict[str, str] = {}
        self.checkouts: dict[str, str] = {}  # processes that another version of the program runs, by name
        self.processes = Processes(reactor, folder, self.on_process_end)
        self.running: dict[str, Process] = {}
        self.expected_ends: set[Process] = set()
        self.unclean: list[str] = []  # what went wrong beside the rules
        self.recorder = Recorder("day", self.clock, folder / "day.rec")
        self.clients: ChatClients | None = None
        self.batches: BatchClients | None = None
        self.started = 0.0
        self._incarnations: Counter[str] = Counter()
        self._calls = ProcessCalls(reactor, self.clock)
        self.publisher = EndpointPublisher(
            scenario,
            self.layout,
            self.clock,
            self.random,
            self.recorder,
            self._call_admin,
            self.is_node_running,
        )
        self.files = self.files_class(scenario, folder, self.layout, self.publisher, self.seed)
        self.faults = self.faults_class(self)
        self._list_writers = self._make_list_writers()

    def _make_list_writers(self) -> list[EndpointListWriter]:
        group = self.scenario.list_files
        if group is None:
            return []
        return [
            EndpointListWriter(
                node,
                self.folder / f"list-{node}",
                group,
                self.clock,
                Random(self.random.random()),
                self.recorder,
                self.publisher.rows_present,
            )
            for node in self.layout.nodes
        ]

    # -- processes --------------------------------------------------------------------------------

    def call(self, address: str, method: str, request: bytes) -> Deferred:
        """Make a unary call to a process."""
        return self._calls.call(address, method, request)

    def _call_admin(self, node: str, method: str, request: bytes) -> Deferred:
        return self.call(self.layout.admin_addresses[node], method, request)

    def is_node_running(self, node: str) -> bool:
        """Return whether a node can be called."""
        return node in self.running and self.running[node].is_running

    def on_process_end(self, process: Process) -> None:
        """Note an end that was not expected."""
        if process not in self.expected_ends and process.exit_code != 0:
            self.unclean.append(f"{process.name} ended with {process.exit_code}")

    def _start_process(self, name: str, is_cold: bool = False) -> Deferred:
        """Start a process; fires once it is ready."""
        self._incarnations[name] += 1
        if self.layout.is_node(name):
            path = self.files.write(name, self.files.node_file(name))
            program = [*self.node_program, str(path)]
        else:
            tree = self.files.engine_file(name, self._incarnations[name], is_cold)
            program = [ENGINE_PROGRAM, str(self.files.write(name, tree))]
        process = self.processes.start(name, program, self.environment, self.checkouts.get(name))
        self.running[name] = process
        return process.ready

    def kill(self, name: str, lasts: float) -> None:
        """Kill a process, and start it again after so many seconds (0: never)."""
        process = self.running[name]
        self.expected_ends.add(process)
        self.recorder.note("killed", who=self.layout.recorded_name(name))
        process.signal("KILL")
        if not self.layout.is_node(name):
            self.publish(name, GONE)
        if lasts:
            self.clock.callLater(lasts, self.restart, name)

    def restart(self, name: str) -> None:
        """Start a process again, cold."""
        self._start_process(name, is_cold=True).addCallbacks(
            lambda line: self._restarted(name),
            lambda failure: self.unclean.append(failure.getErrorMessage()),
        )

    def _restarted(self, name: str) -> None:
        self.report(f"{name} is back")
        if self.layout.is_node(name):
            self.publisher.record_list_at_start(name)
        else:
            self.publish(name, SERVING, self.clock.seconds())

    def publish(self, engine: str, state: str, started_at: float = 0.0) -> None:
        """Change the endpoint list."""
        self.publisher.publish(engine, state, started_at)

    # -- the course of the scenario ---------------------------------------------------------------

    @inlineCallbacks
    def play(self) -> Generator[Deferred, object, Verdict]:
        """Play it all; fires with the verdict."""
        self._record_terms()
        for writer in self._list_writers:
            writer.start()
        self.report(f"starting {len(self.layout.nodes)} nodes and {len(self.layout.engines)} engines")
        try:
            yield self._start_all()
            yield self._run_clients()
        finally:
            yield self.end_processes()
        self.recorder.note("ends")
        self.recorder.close()
        return self.verdict()

    def _record_terms(self) -> None:
        rules = self.scenario.rules
        engines = self.layout.engines
        self.recorder.note(
            "terms",
            traffic=self.files.traffic,
            let_go=rules.let_go,
            slack=SLACK,
            answer_slack=rules.answer_slack,
            engines=[(self.layout.addresses[name], self.layout.cells[name], ZONE) for name in engines],
        )

    @inlineCallbacks
    def _start_all(self) -> Generator[Deferred, list, None]:
        starts = [self._start_process(name) for name in self.scenario.names()]
        results = yield DeferredList(starts, consumeErrors=True)
        failures = [failure.getErrorMessage() for is_ready, failure in results if not is_ready]
        if failures:
            raise ScenarioFailedError(failures[0])

    @inlineCallbacks
    def _run_clients(self) -> Generator[Deferred, object, None]:
        recorder = Recorder("client", self.clock, self.folder / "client.rec")
        self._make_clients(recorder)
        self.started = self.clock.seconds()
        self.clients.start()
        self.batches.start()
        self.on_traffic_started()
        progress = LoopingCall(self._report_progress)
        progress.start(REPORT_INTERVAL, now=False)
        yield self.until_traffic_ends()
        for writer in self._list_writers:
            writer.stop()
        yield deferLater(self.reactor, LAST_LIST_WRITE, lambda: None)
        self.clients.stop()
        self.report(f"no more is asked; {self.clients.open} open")
        for fleet in (self.clients, self.batches):
            yield self._until_quiet(fleet)
        progress.stop()
        yield deferLater(self.reactor, self.scenario.rules.let_go + RELEASE_GRACE, lambda: None)
        self.clients.close()
        self.batches.close()
        recorder.close()

    def _make_clients(self, recorder: Recorder) -> None:
        self.clients = ChatClients(
            self.scenario, self.clock, self._dial_nodes(), recorder, self.random, self.rate
        )
        self.batches = BatchClients(
            self.scenario,
            self.clock,
            self._dial_nodes(),
            recorder,
            self.random,
            self.scenario.batch_rate,
            self.clients.behind,
        )

    def _dial_nodes(self) -> dict[str, Callable]:
        return {node: self._calls.dial(self.layout.addresses[node]) for node in self.layout.admin_addresses}

    def on_traffic_started(self) -> None:
        """Begin what is timed from the start of the traffic."""
        self.faults.start()

    def until_traffic_ends(self) -> Deferred:
        """Fire when the traffic is nearly over."""
        return deferLater(self.reactor, self.scenario.length - LAST_LIST_WRITE, lambda: None)

    def _until_quiet(self, fleet: ChatClients | BatchClients) -> Deferred:
        """Fire once its last call is over, or is long past its time."""
        quiet = Deferred()
        fleet.on_quiet = lambda: None if quiet.called else quiet.callback(None)
        timeout = self.scenario.clients.whole + OPEN_CALL_GRACE
        limit = self.clock.callLater(timeout, fleet.on_quiet)
        quiet.addCallback(lambda ignored: limit.active() and limit.cancel())
        if not fleet.open:
            fleet.on_quiet()
        return quiet

    @inlineCallbacks
    def end_processes(self) -> Generator[Deferred, object, None]:
        """End the nodes, then the engines."""
        self._calls.close()
        for names in (self.layout.admin_addresses, self.layout.engines):
            running = [self.running[name] for name in names if name in self.running]
            yield self.processes.end([process for process in running if process.is_running], self._overdue)

    def _overdue(self, process: Process) -> None:
        self.unclean.append(f"{process.name} did not end in time")

    def _report_progress(self) -> None:
        answers: Counter[str] = Counter()
        for tally in self.clients.tallies.values():
            answers.update(tally.answers)
        counts = ", ".join(f"{count} {answer}" for answer, count in sorted(answers.items()))
        self.report(f"{self.clients.requested} asked, {self.clients.open} open, {counts}")

    def verdict(self) -> Verdict:
        """Return rules and figures, from the records alone."""
        return judge_records(
            self.folder,
            self.scenario,
            self.seed,
            self.unclean,
            self.clients,
            self.batches,
            self._list_writers,
        )
