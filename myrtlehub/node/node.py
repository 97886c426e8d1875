"""A complete node: its servers, its endpoint list and the runtime of its current settings.

A node opens no ports: its process listens and passes connections to the node's servers.
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

MIN_LOGGED_LAG = 0.1  # seconds; a new maximum of the event loop lag is logged only above this
IDLE_CHECK_INTERVAL = 0.5  # seconds between checks for replaced runtimes that have become idle


class NodeEnvironment(NamedTuple):
    """What a process or a test provides to its node: clock, network, log and files.

    Attributes:
        clock: The only clock of the node.
        dial: Returns how a channel connects to an address.
        incarnation: Identifies this process among those of the same node; part of sequence ids.
        log: Writes log events.
        executor_class: Executes the actions of the router.
        files: How the files of the endpoint list are read.
    """

    clock: Clock
    dial: Dialer
    incarnation: str = "0"
    log: Log = no_log
    executor_class: type[ActionExecutor] = ActionExecutor
    files: FileAccess = FileAccess()


def _ignore_drain_request() -> None:
    """Do nothing; the default for a process that the admin service cannot end."""


class _EndpointRepublisher(ExecutorObserver):
    """Publishes the complete endpoint list when the router requests it."""

    def __init__(self, source: EndpointSource) -> None:
        self._source = source

    def endpoints_requested(self) -> None:
        """Publish the list."""
        self._source.republish()


class Node:
    """One node on a clock.

    Attributes:
        server: Serves clients on the connections that the process accepts.
        admin: Serves the admin service on the connections that the process accepts.
        on_drain_requested: Called when the admin service is asked to drain the node; set by the process.
    """

    def __init__(self, settings: NodeConfig, environment: NodeEnvironment) -> None:
        """Start a node with these settings."""
        self.clock = environment.clock
        self.log = environment.log
        self.incarnation = environment.incarnation
        self.program_digest = program_digest()
        self.started_at = self.clock.seconds()
        self.counters = TrafficCounters()
        self.replication = self._make_replication(settings, environment.dial)
        self.context = RuntimeContext(
            self.clock,
            environment.dial,
            self.incarnation,
            self.log,
            environment.executor_class,
            self.counters,
            self.replication,
        )
        self.runtime = NodeRuntime(settings, self.context)
        self._set_up_takeover()
        self.replaced_runtimes: list[NodeRuntime] = []  # may still have sequences in flight
        self._generated_with_previous_settings = 0  # answers generated before the current settings applied
        self.is_draining = False
        self._drain: Drain | None = None
        self.on_drain_requested: Callable[[], None] = _ignore_drain_request
        self.server = self._make_server()
        self.runtime.serve(self.server)
        self.endpoint_source = make_endpoint_source(
            settings, environment.files, self.clock, self.log, lambda: self.transport.unreachable_engines()
        )
        self.admin = Server(self.clock)
        self.admin_service = NodeAdmin(self)
        self.admin_service.serve(self.admin)
        self._endpoint_republisher = _EndpointRepublisher(self.endpoint_source)
        self.executor.add_observer(self._endpoint_republisher)
        self.endpoint_source.subscribe(self._update_endpoints)

    # -- construction ------------------------------------------------------------------------------------

    def _make_replication(self, settings: NodeConfig, dial: Dialer) -> Replication | None:
        if not settings.takeover:
            return None
        return Replication(
            settings.takeover, settings.node.name, self.incarnation, self.clock, dial, self.log
        )

    def _set_up_takeover(self) -> None:
        if self.replication is None:
            return
        self.replication.service.on_abandoned = lambda record: close_at_engines(self.transport, record)
        if not self.settings.engines_may.claims:
            self.log(
                LogEvent.TAKEOVER_LIMITED,
                reason="the engines do not support claims: a stream ends when its node is lost, and a "
                "sequence that may have run is not sent again",
            )

    def _make_server(self) -> Server:
        limits = self.settings.limits
        return Server(
            self.clock,
            TransportLimits(max_message=self.settings.node.prompt_limit, idle_timeout=limits.idle),
            max_connections=limits.connections,
            max_connections_per_host=limits.peer_connections,
        )

    @property
    def settings(self) -> NodeConfig:
        """The current settings."""
        return self.runtime.settings

    @property
    def executor(self) -> ActionExecutor:
        """The action executor of the current settings."""
        return self.runtime.executor

    @property
    def transport(self) -> GrpcEngineTransport:
        """The engine transport of the current settings."""
        return self.runtime.transport

    @property
    def batches(self) -> BatchCoordinator:
        """The batch coordinator of the current settings."""
        return self.runtime.batches

    @property
    def front(self) -> ChatFront:
        """The chat front of the current settings."""
        return self.runtime.front

    @property
    def client_limits(self) -> ClientLimits:
        """The limits on clients of the current settings."""
        return self.runtime.client_limits

    @property
    def has_answered_with_settings(self) -> bool:
        """Whether the node has an endpoint list and has generated an answer with the current settings."""
        has_endpoints = bool(self.executor.decoder.engines.index_by_address)
        return has_endpoints and self.counters.generated_count > self._generated_with_previous_settings

    def _all_runtimes(self) -> tuple[NodeRuntime, ...]:
        return (self.runtime, *self.replaced_runtimes)

    def _update_endpoints(self, update: EndpointListUpdate) -> None:
        number, digest = update.version if update.version is not None else (None, None)
        for runtime in self._all_runtimes():
            runtime.update_endpoints(update.endpoints, update.is_complete, number, digest)

    # -- change of settings -----------------------------------------------------------------------

    def apply(self, settings: NodeConfig) -> None:
        """Apply settings that `settings_change.validate_change` accepted; only new sequences use them."""
        previous = self.runtime
        endpoints = self.endpoint_source.endpoints(
            settings.list.engines if not settings.list.pushed else None
        )
        self.runtime = NodeRuntime(settings, self.context, previous.settings_change_count + 1, previous)
        self._generated_with_previous_settings = self.counters.generated_count
        self.front.is_closed = previous.front.is_closed
        self.executor.add_observer(self._endpoint_republisher)
        previous.executor.remove_observer(self._endpoint_republisher)
        self.runtime.update_endpoints(endpoints, True, previous.executor.list_version + 1)
        # Replaced runtimes still send attempts of their sequences, so they need the list as well.
        for runtime in (previous, *self.replaced_runtimes):
            runtime.update_endpoints(endpoints, True, previous.executor.list_version + 1)
        self.runtime.serve(self.server)
        self.server.limits = replace(self.server.limits, max_message=settings.node.prompt_limit)
        self.replaced_runtimes.append(previous)
        self._discard_idle_runtimes()

    def _discard_idle_runtimes(self) -> None:
        self.replaced_runtimes = [runtime for runtime in self.replaced_runtimes if not runtime.is_idle]
        if self.replaced_runtimes:
            self.clock.callLater(IDLE_CHECK_INTERVAL, self._discard_idle_runtimes)

    def replaced_sequence_count(self) -> int:
        """Return the number of in-flight sequences that began with settings since replaced."""
        return sum(len(runtime.executor.in_flight) for runtime in self.replaced_runtimes)

    # -- event loop lag ---------------------------------------------------------------------------

    def measure_lag(self) -> None:
        """Start to measure the event loop lag, which the request decoder subtracts from deadlines."""
        lag = self.runtime.decoder.lag
        now = self.clock.seconds()
        previous_max_lag = lag.max_lag
        next_tick_at = lag.tick(now)
        if lag.max_lag > max(previous_max_lag, MIN_LOGGED_LAG):
            self.log(LogEvent.EVENT_LOOP_LAG, lag_s=round(lag.max_lag, 3))
        self.clock.callLater(max(0.0, next_tick_at - now), self.measure_lag)

    # -- drain ------------------------------------------------------------------------------------

    def request_drain(self) -> None:
        """Ask the process to drain the node and exit."""
        self.on_drain_requested()

    def drain(self) -> "Deferred[None]":
        """Reject new requests and wait until the node is idle, at most for `drain_within`.

        It may be called again during a drain, for example by SIGTERM after a request to the admin service;
        the Deferreds of all calls fire together.
        """
        if self._drain is None:
            self._drain = self._start_drain()
        return self._drain.wait()

    def _start_drain(self) -> Drain:
        self.is_draining = True
        self.front.is_closed = True
        connections_closed = self.server.drain()
        timeout = self.settings.node.drain_within
        runtimes = self._all_runtimes()
        sequence_count = sum(len(runtime.executor.in_flight) for runtime in runtimes)
        self.log(LogEvent.DRAINING, in_flight=sequence_count, timeout_s=timeout)
        drain = Drain(self.clock, runtimes, timeout)
        hand_over_sequences = self.replication is not None and self.settings.engines_may.claims
        drain.start(hand_over_sequences, connections_closed)
        return drain
