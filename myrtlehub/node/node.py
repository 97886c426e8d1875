"""A whole node: its servers, its endpoint list and the runtime of its settings.

Where it listens is the caller's.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock
from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.membership.endpoint_watcher import SnapshotReader, WatchDirectories, poll_only
from myrtlehub.membership.interfaces import RunInBackground, run_now
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.admin.service import NodeAdmin
from myrtlehub.node.batch_fronts.coordinator import BatchCoordinator
from myrtlehub.node.chat_front.chat_front import ChatFront
from myrtlehub.node.client_limits import ClientLimits
from myrtlehub.node.drain import Drain
from myrtlehub.node.endpoint_list_source import FileAccess, make_endpoint_source
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.node_runtime import NodeRuntime, RuntimeContext
from myrtlehub.node.replication.engine_claims import close_at_engines
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.revision import program_digest
from myrtlehub.node.traffic_counters import TrafficCounters
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.transport_limits import TransportLimits

MIN_LOGGED_LAG = 0.1  # seconds; a new worst event loop lag above this is logged
IDLE_CHECK_INTERVAL = 0.5  # seconds between checks whether replaced runtimes still have sequences


def _ignore() -> None:
    """Take no note."""


class Node:
    """One node on a clock. `server` and `admin` are factories to listen with."""

    def __init__(
        self,
        sheet: NodeConfig,
        clock: Clock,
        dial: Callable[[str], Callable],
        run: str = "0",
        log: Log = no_log,
        executor_class: type[ActionExecutor] = ActionExecutor,
        base: Path = Path(),
        notify: WatchDirectories = poll_only,
        reader: SnapshotReader | None = None,
        beside: RunInBackground = run_now,
    ) -> None:
        """Start a node.

        Args:
            sheet: its settings.
            clock: its clock.
            dial: returns how a channel connects to an address.
            run: names its incarnation.
            log: the operators' log.
            executor_class: executes the actions of its router.
            base: folder that relative paths of the settings start from.
            notify: tells of changes in folders.
            reader: reads the files of the endpoint list.
            beside: runs what may block.
        """
        self.clock = clock
        self.log = log
        self.run = run
        self.program = program_digest()
        self.started_at = clock.seconds()
        self.counters = TrafficCounters()
        self.replication = self._make_replication(sheet, dial)
        self.context = RuntimeContext(clock, dial, run, log, executor_class, self.counters, self.replication)
        self.runtime = NodeRuntime(sheet, self.context)
        self._follow_replication()
        self.replaced_runtimes: list[NodeRuntime] = []  # that have sequences in flight
        self._generated_before = 0  # answers that were generated before the present settings were applied
        self.is_draining = False
        self._drain: Drain | None = None
        self.server = self._make_server()
        self.runtime.serve(self.server)
        self.admin = Server(clock)
        self.endpoint_source = make_endpoint_source(
            sheet,
            FileAccess(base, notify, reader, beside),
            clock,
            log,
            lambda: self.transport.unreachable_engines(),
        )
        self.on_leave: Callable[[], None] = _ignore  # an order to leave came: the caller drains
        self.admin_service = NodeAdmin(self)
        self.admin_service.serve(self.admin)
        self.executor.poll_endpoints = self.endpoint_source.republish
        self.endpoint_source.follow(self._update_endpoints)

    # -- parts ------------------------------------------------------------------------------------

    def _make_replication(self, sheet: NodeConfig, dial: Callable[[str], Callable]) -> Replication | None:
        if not sheet.takeover:
            return None
        return Replication(sheet.takeover, sheet.node.name, self.run, self.clock, dial, self.log)

    def _follow_replication(self) -> None:
        if self.replication is None:
            return
        self.replication.service.on_abandoned = lambda record: close_at_engines(self.transport, record)
        if not self.sheet.engines_may.claims:
            self.log(
                LogEvent.TAKEOVER_LIMITED,
                reason="engines answer no claims here: streams end with their node, and what "
                "may have run is not sent again",
            )

    def _make_server(self) -> Server:
        limits = self.sheet.limits
        return Server(
            self.clock,
            TransportLimits(max_message=self.sheet.node.prompt_limit, idle_timeout=limits.idle),
            max_connections=limits.connections,
            max_connections_per_host=limits.peer_connections,
        )

    @property
    def sheet(self) -> NodeConfig:
        """The present settings."""
        return self.runtime.sheet

    @property
    def executor(self) -> ActionExecutor:
        """The action executor of the present settings."""
        return self.runtime.executor

    @property
    def transport(self) -> GrpcEngineTransport:
        """The engine transport of the present settings."""
        return self.runtime.transport

    @property
    def batches(self) -> BatchCoordinator:
        """The batches of the present settings."""
        return self.runtime.batches

    @property
    def front(self) -> ChatFront:
        """The chat front of the present settings."""
        return self.runtime.front

    @property
    def client_limits(self) -> ClientLimits:
        """The limits on clients of the present settings."""
        return self.runtime.client_limits

    @property
    def is_proven(self) -> bool:
        """Whether it has an endpoint list and has generated an answer by its present settings."""
        has_endpoints = bool(self.executor.decoder.engines.index_of)
        return has_endpoints and self.counters.generated > self._generated_before

    def _all_runtimes(self) -> tuple[NodeRuntime, ...]:
        return (self.runtime, *self.replaced_runtimes)

    def _update_endpoints(
        self, endpoints: Sequence[EndpointConfig], is_complete: bool, version: int = 0, digest: str = ""
    ) -> None:
        for runtime in self._all_runtimes():
            runtime.update_endpoints(endpoints, is_complete, version, digest)

    # -- change of settings -----------------------------------------------------------------------

    def apply(self, sheet: NodeConfig) -> None:
        """Apply settings from the next sequence on; `settings_change.validate_change` has passed them."""
        former = self.runtime
        endpoints = self.endpoint_source.endpoints(sheet.list.engines if not sheet.list.pushed else None)
        self.runtime = NodeRuntime(sheet, self.context, former.number + 1, former)
        self._generated_before = self.counters.generated
        self.front.is_closed = former.front.is_closed
        self.executor.poll_endpoints = former.executor.poll_endpoints
        former.executor.poll_endpoints = _ignore
        self.runtime.update_endpoints(endpoints, True, former.executor.list_version + 1)
        # Replaced runtimes go on sending for their sequences: the list is theirs, too.
        for runtime in (former, *self.replaced_runtimes):
            runtime.update_endpoints(endpoints, True, former.executor.list_version + 1)
        self.runtime.serve(self.server)
        self.server.limits = replace(self.server.limits, max_message=sheet.node.prompt_limit)
        self.replaced_runtimes.append(former)
        self._drop_idle_runtimes()

    def _drop_idle_runtimes(self) -> None:
        self.replaced_runtimes = [runtime for runtime in self.replaced_runtimes if not runtime.is_idle]
        if self.replaced_runtimes:
            self.clock.callLater(IDLE_CHECK_INTERVAL, self._drop_idle_runtimes)

    def replaced_sequence_count(self) -> int:
        """Count the in-flight sequences of replaced settings."""
        return sum(len(runtime.executor.in_flight) for runtime in self.replaced_runtimes)

    # -- event loop lag ---------------------------------------------------------------------------

    def measure_lag(self) -> None:
        """Measure the event loop lag from here on: the request decoder takes it off deadlines."""
        lag = self.executor.decoder.lag
        now = self.clock.seconds()
        worst_before = lag.worst
        due = lag.tick(now)
        if lag.worst > max(worst_before, MIN_LOGGED_LAG):
            self.log(LogEvent.EVENT_LOOP_LAG, lag_s=round(lag.worst, 3))
        self.clock.callLater(max(0.0, due - now), self.measure_lag)

    # -- drain ------------------------------------------------------------------------------------

    def drain(self) -> Deferred:
        """Accept nothing new; fires once all is answered, at the latest after `drain_within`.

        A second call, as where SIGTERM comes amid an order to leave, fires with the first.
        """
        if self._drain is None:
            self._start_drain()
        return self._drain.wait()

    def _start_drain(self) -> None:
        self.is_draining = True
        self.front.is_closed = True
        self.server.drain()
        within = self.sheet.node.drain_within
        runtimes = self._all_runtimes()
        sequences = sum(len(runtime.executor.in_flight) for runtime in runtimes)
        self.log(LogEvent.DRAINING, in_flight=sequences, timeout_s=within)
        self._drain = Drain(self.clock, runtimes, within)
        self._drain.start(hands_over=self.replication is not None and self.sheet.engines_may.claims)
