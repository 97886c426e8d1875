"""The nodes and emulated engines of a scenario, as processes."""

from collections import Counter
from random import Random

from twisted.internet.defer import Deferred, DeferredList

from myrtlehub.lab.endpoint_list_writer import EndpointListWriter
from myrtlehub.lab.endpoint_publisher import EndpointPublisher
from myrtlehub.lab.endpoint_row import EngineState
from myrtlehub.lab.fleet_layout import make_layout
from myrtlehub.lab.process_calls import ProcessCalls
from myrtlehub.lab.process_files import NODE_PROGRAM, ProcessFiles
from myrtlehub.lab.processes import LogLine, Process, Processes
from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.rpc.channel import Connect

ENGINE_PROGRAM = "myrtlehub.cli.emulator"
MAX_START_S = 10.0  # for which the end of a scenario waits for processes that are being started


class ScenarioFleet:
    """Starts, calls, kills and ends the processes, and publishes the endpoint list to them.

    Attributes:
        running: The last process of each name.
        expected_ends: Processes whose end is no failure, whatever their exit code.
        node_program: The module that nodes run, and its arguments before the settings file.
        environment: Environment variables of all processes, in addition to those of this process.
        checkouts: Folders of other versions of the program, by the name of the process that runs one.
    """

    def __init__(self, context: ScenarioContext) -> None:
        self.context = context
        self.layout = make_layout(context.scenario)
        self.node_program = [NODE_PROGRAM]
        self.environment: dict[str, str] = {}
        self.checkouts: dict[str, str] = {}
        self.processes = Processes(context.reactor, context.folder, self.process_ended)
        self.running: dict[str, Process] = {}
        self.expected_ends: set[Process] = set()
        self._incarnations: Counter[str] = Counter()
        self._calls = ProcessCalls(context.reactor, context.clock)
        self.publisher = EndpointPublisher(
            context.scenario,
            self.layout,
            context.clock,
            context.random,
            context.recorder,
            self.call_admin,
            self.is_node_running,
        )
        self.files = self.make_files()
        self.list_writers = self._make_list_writers()

    def make_files(self) -> ProcessFiles:
        """Return what writes the settings files."""
        context = self.context
        return ProcessFiles(context.scenario, context.folder, self.layout, self.publisher, context.seed)

    def _make_list_writers(self) -> list[EndpointListWriter]:
        context = self.context
        config = context.scenario.list_files
        if config is None:
            return []
        return [
            EndpointListWriter(
                node,
                context.folder / f"list-{node}",
                config,
                context.clock,
                Random(context.random.random()),
                context.recorder,
                self.publisher.rows_present,
            )
            for node in self.layout.nodes
        ]

    # -- calls ------------------------------------------------------------------------------------

    def call(self, address: str, method: str, request: bytes) -> Deferred[bytes]:
        """Make a unary call to a process."""
        return self._calls.call(address, method, request)

    def call_admin(self, node: str, method: str, request: bytes) -> Deferred[bytes]:
        """Make a unary call to the admin service of a node."""
        return self.call(self.layout.admin_addresses[node], method, request)

    def dial_by_node(self) -> dict[str, Connect]:
        """Return functions that connect a factory to each node."""
        return {node: self._calls.dial(self.layout.addresses[node]) for node in self.layout.admin_addresses}

    def is_node_running(self, node: str) -> bool:
        """Return whether a node can be called."""
        return node in self.running and self.running[node].is_running

    # -- start and end of processes ---------------------------------------------------------------

    def start(self, name: str, is_cold: bool = False) -> Deferred[LogLine]:
        """Start a process; the Deferred fires once it is ready."""
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

    def kill(self, name: str, restart_after: float | None = None) -> None:
        """Kill a process; if a number of seconds is given, start it again after them."""
        process = self.running[name]
        self.expected_ends.add(process)
        self.context.recorder.note("killed", who=self.layout.recorded_name(name))
        process.signal("KILL")
        if not self.layout.is_node(name):
            self.publish(name, EngineState.GONE)
        if restart_after is not None:
            self.context.clock.callLater(restart_after, self.restart, name)

    def restart(self, name: str) -> None:
        """Start a process again, with empty caches."""
        self.start(name, is_cold=True).addCallbacks(
            lambda line: self._restarted(name),
            lambda failure: self.context.failures.append(failure.getErrorMessage()),
        )

    def _restarted(self, name: str) -> None:
        self.context.report(f"{name} is back")
        if self.layout.is_node(name):
            self.publisher.record_list_at_start(name)
        else:
            self.publish(name, EngineState.SERVING, self.context.clock.seconds())

    def process_ended(self, process: Process) -> None:
        """Record a failure if the end of a process was not expected."""
        if process not in self.expected_ends and process.exit_code != 0:
            self.context.failures.append(f"{process.name} ended with {process.exit_code}")

    async def end(self) -> None:
        """End the nodes, then the engines."""
        await self._until_all_started()
        self._calls.close()
        for names in (self.layout.admin_addresses, self.layout.engines):
            running = [self.running[name] for name in names if name in self.running]
            await self.processes.end([process for process in running if process.is_running], self._overdue)

    async def _until_all_started(self) -> None:
        """Wait until the processes that are being started are ready or have failed, for a bounded time.

        A node may be restarted after a late fault. If it were ended meanwhile, the verdict would have a
        failed start. Test: `test_the_end_waits_for_a_process_that_is_being_restarted`.
        """
        starts = [process.ready for process in self.running.values() if process.is_running]
        await self.context.wait_for(DeferredList(starts), MAX_START_S)

    def _overdue(self, process: Process) -> None:
        self.context.failures.append(f"{process.name} did not end in time")

    # -- the endpoint list ------------------------------------------------------------------------

    def publish(self, engine: str, state: EngineState, started_at: float | None = None) -> None:
        """Change the state of an engine in the endpoint list."""
        self.publisher.publish(engine, state, started_at)
