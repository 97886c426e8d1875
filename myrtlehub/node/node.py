"""A complete node: its servers, its endpoint list and the runtime of its settings.

The node opens no ports: the process listens, and the servers handle its connections.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.membership.endpoint_source import EndpointListUpdate, EndpointSource
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.admin.service import NodeAdmin
from myrtlehub.node.batch_fronts.coordinator import BatchCoordinator
from myrtlehub.node.chat_front.chat_front import ChatFront
from myrtlehub.node.client_limits import ClientLimits
from myrtlehub.node.drain import Drain
from myrtlehub.node.endpoint_list_source import FileAccess, make_endpoint_source
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.node_runtime import NodeRuntime, RuntimeContext
from myrtlehub.node.replication.engine_claims import close_at_engines
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.revision import program_digest
from myrtlehub.node.traffic_counters import TrafficCounters
from myrtlehub.rpc.channel import Dialer
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.transport_limits import TransportLimits

MIN_LOGGED_LAG = 0.1  # seconds; a new maximum of the event loop lag is logged if it is above this
IDLE_CHECK_INTERVAL = 0.5  # seconds between two checks whether replaced runtimes have become idle


class NodeEnvironment(NamedTuple):
    """What a process, or a test, gives its node: clock, network, log and files.

    Attributes:
        clock: its only clock.
        dial: returns how a channel connects to an address.
        incarnation: identifies this process among those of the same node; part of sequence ids.
        log: writes log events.
        executor_class: executes the actions of its router.
        files: access to the files of its endpoint list.
    """

    clock: Clock
    dial: Dialer
    incarnation: str = "0"
    log: Log = no_log
    executor_class: type[ActionExecutor] = ActionExecutor
    files: FileAccess = FileAccess()


def _ignore_drain_request() -> None:
    """Do nothing; the default of a node whose process cannot be ended by an order."""


class _EndpointRepublisher(ExecutorObserver):
    """Publishes the complete endpoint list whenever the router asks for it."""

    def __init__(self, source: EndpointSource) -> None:
        self._source = source

    def endpoints_requested(self) -> None:
        """Publish the list."""
        self._source.republish()


class Node:
    """One node on a clock.

    Attributes:
        server: serves clients; the process listens with it.
        admin: serves the admin service; the process listens with it.
        on_drain_requested: called when the admin service is asked to drain the node; set by the process.
    """

    def __init__(self, sheet: NodeConfig, environment: NodeEnvironment) -> None:
        """Start a node with the settings `sheet`."""
        self.clock = environment.clock
        self.log = environment.log
        self.incarnation = environment.incarnation
        self.program = program_digest()
        self.started_at = self.clock.seconds()
        self.counters = TrafficCounters()
        self.replication = self._make_replication(sheet, environment.dial)
        self.context = RuntimeContext(
            self.clock,
            environment.dial,
            self.incarnation,
            self.log,
            environment.executor_class,
            self.counters,
            self.replication,
        )
        self.runtime = NodeRuntime(sheet, self.context)
        self._follow_replication()
        self.replaced_runtimes: list[NodeRuntime] = []  # those that still have sequences in flight
        self._generated_before = 0  # answers generated before the present settings were applied
        self.is_draining = False
        self._drain: Drain | None = None
        self.on_drain_requested: Callable[[], None] = _ignore_drain_request
        self.server = self._make_server()
        self.runtime.serve(self.server)
        self.endpoint_source = make_endpoint_source(
            sheet, environment.files, self.clock, self.log, lambda: self.transport.unreachable_engines()
        )
        self.admin = Server(self.clock)
        self.admin_service = NodeAdmin(self)
        self.admin_service.serve(self.admin)
        self._endpoint_republisher = _EndpointRepublisher(self.endpoint_source)
        self.executor.add_observer(self._endpoint_republisher)
        self.endpoint_source.follow(self._update_endpoints)

    # -- construction ------------------------------------------------------------------------------------

    def _make_replication(self, sheet: NodeConfig, dial: Dialer) -> Replication | None:
        if not sheet.takeover:
            return None
        return Replication(sheet.takeover, sheet.node.name, self.incarnation, self.clock, dial, self.log)

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
        """Whether the node has an endpoint list and has generated an answer with its present settings."""
        has_endpoints = bool(self.executor.decoder.engines.index_of)
        return has_endpoints and self.counters.generated > self._generated_before

    def _all_runtimes(self) -> tuple[NodeRuntime, ...]:
        return (self.runtime, *self.replaced_runtimes)

    def _update_endpoints(self, update: EndpointListUpdate) -> None:
        number, digest = update.version if update.version is not None else (None, None)
        for runtime in self._all_runtimes():
            runtime.update_endpoints(update.endpoints, update.is_complete, number, digest)

    # -- change of settings -----------------------------------------------------------------------

    def apply(self, sheet: NodeConfig) -> None:
        """Apply settings that `settings_change.validate_change` accepted, from the next sequence on."""
        former = self.runtime
        endpoints = self.endpoint_source.endpoints(sheet.list.engines if not sheet.list.pushed else None)
        self.runtime = NodeRuntime(sheet, self.context, former.number + 1, former)
        self._generated_before = self.counters.generated
        self.front.is_closed = former.front.is_closed
        self.executor.add_observer(self._endpoint_republisher)
        former.executor.remove_observer(self._endpoint_republisher)
        self.runtime.update_endpoints(endpoints, True, former.executor.list_version + 1)
        # Replaced runtimes continue to send attempts of their sequences, so they need the list too.
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
        """Return the number of in-flight sequences that began with settings that have been replaced since."""
        return sum(len(runtime.executor.in_flight) for runtime in self.replaced_runtimes)

    # -- event loop lag ---------------------------------------------------------------------------

    def measure_lag(self) -> None:
        """Measure the event loop lag from now on; the request decoder subtracts it from deadlines."""
        lag = self.runtime.decoder.lag
        now = self.clock.seconds()
        worst_before = lag.max_lag
        due = lag.tick(now)
        if lag.max_lag > max(worst_before, MIN_LOGGED_LAG):
            self.log(LogEvent.EVENT_LOOP_LAG, lag_s=round(lag.max_lag, 3))
        self.clock.callLater(max(0.0, due - now), self.measure_lag)

    # -- drain ------------------------------------------------------------------------------------

    def request_drain(self) -> None:
        """Ask the process to drain the node and to end."""
        self.on_drain_requested()

    def drain(self) -> "Deferred[None]":
        """Reject new requests; the Deferred fires once the node is idle or `drain_within` has passed.

        It may be called again, for example by SIGTERM during a drain that the admin service requested: both
        Deferreds fire together.
        """
        if self._drain is None:
            self._drain = self._start_drain()
        return self._drain.wait()

    def _start_drain(self) -> Drain:
        self.is_draining = True
        self.front.is_closed = True
        connections_closed = self.server.drain()
        timeout = self.sheet.node.drain_within
        runtimes = self._all_runtimes()
        sequences = sum(len(runtime.executor.in_flight) for runtime in runtimes)
        self.log(LogEvent.DRAINING, in_flight=sequences, timeout_s=timeout)
        drain = Drain(self.clock, runtimes, timeout)
        hands_over = self.replication is not None and self.sheet.engines_may.claims
        drain.start(hands_over, connections_closed)
        return drain
