"""The relay node, which connects the parts of the relay."""

from collections.abc import Callable, Mapping
from random import Random

from myrtlehub.clock import Clock
from myrtlehub.http1.connection_pool import ConnectionPool, Dial
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.http1.parse_scheduler import ParseScheduler
from myrtlehub.limits.event_loop_lag import TICK_PERIOD
from myrtlehub.limits.time_bucket import TimeBucket
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.platform_settings import KILL_MARGIN_S
from myrtlehub.relay.clients.client_front import ClientRequestHandler
from myrtlehub.relay.clients.request_decoder import RequestDecoder
from myrtlehub.relay.discovery.discovery_client import CONNECT_TIMEOUT_S, DiscoveryClient
from myrtlehub.relay.discovery.endpoint_list import EndpointListDecoder, EndpointListUpdate
from myrtlehub.relay.engines.engine_client import EngineClient
from myrtlehub.relay.engines.engine_connections import EngineConnections
from myrtlehub.relay.engines.state_release import REQUEST_INTERVAL_S
from myrtlehub.relay.errors import EndpointListError
from myrtlehub.relay.monitoring.invariant_monitor import InvariantMonitor, RecurringTimer
from myrtlehub.relay.process.descriptor_budget import MAX_DISCOVERY_CONNECTIONS, DescriptorBudget
from myrtlehub.relay.process.memory_budget import request_memory_limits
from myrtlehub.relay.process.pending_work import PendingWork, count_connections, count_sequences
from myrtlehub.relay.settings.node_settings import NodeSettings, router_config_of
from myrtlehub.relay.settings.platform_limits import platform_limits_of
from myrtlehub.routing.policy.router import MAX_PLACEMENT_BURST, MAX_PLACEMENT_TIME_SHARE, Router

DISCOVERY_MAX_IDLE_S = 5.0  # after which an idle connection to discovery is closed
# Fraction of the engines' keep-alive timeout during which an idle connection is reused. Near the end of the
# timeout, the engine might close the connection while a request is in transit.
IDLE_REUSE_FRACTION = 0.4
# Time after SIGTERM for which requests are still accepted. A request that arrives later than KILL_MARGIN_S
# after SIGTERM would have to be answered completely before the earliest SIGKILL. The difference is a safety
# margin: this process may handle the signal late, and it takes the earliest possible arrival time for a
# request that it may have read late.
SHUTDOWN_ACCEPT_TIME_S = KILL_MARGIN_S - 0.2
FALLBACK_DELAY_S = 1.0  # after the start, if discovery has not answered, the fallback list is used

Dialer = Callable[[str, float], Dial]


class RelayNode:
    """One relay node.

    Args:
        settings: The node settings.
        clock: The clock of the node and its timers.
        dialer: Called with HOST:PORT and a timeout in seconds; returns a function that connects a protocol
            factory to that address.
        clock_epoch: The Unix time in seconds at which the clock was 0.
        log: The event log.
        executor_class: The class of the action executor.

    Attributes:
        on_open: Called once, when the node starts to accept clients' connections.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        dialer: Dialer,
        clock_epoch: float = 0.0,
        log: Log = no_log,
        executor_class: type[ActionExecutor] = ActionExecutor,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.config = router_config_of(settings)
        self.limits = platform_limits_of(settings)
        self.descriptor_budget = DescriptorBudget.for_process(settings.max_descriptors)
        self.decoder = RequestDecoder(settings, self.config)
        self.endpoint_list = EndpointListDecoder(self.decoder.kinds, self.decoder.zones, clock_epoch)
        # Separate from that of the listener, so that streams in progress do not wait for new requests.
        self._response_scheduler = ParseScheduler(clock)
        self.engine_connections = self._make_engine_connections(dialer)
        self.monitor = InvariantMonitor(clock, log)
        self.memory_limits = request_memory_limits(settings.max_memory_mb)
        self.engine_client = EngineClient(
            clock,
            self.engine_connections,
            self.decoder,
            self.config,
            self.monitor.counter,
            self.memory_limits.incomplete_bytes,
            log,
        )
        self.placement_budget = TimeBucket(clock, MAX_PLACEMENT_TIME_SHARE, MAX_PLACEMENT_BURST)
        self.executor = self._make_executor(executor_class)
        self.front = self._make_front()
        self.listener = self._make_listener()
        self.discovery = self._make_discovery(dialer)
        self.monitor.recurring_timers = [
            RecurringTimer("discovery", self.discovery.is_armed),
            RecurringTimer("stream monitor", self.engine_client.stream_monitor.is_armed),
        ]
        self.on_open: Callable[[], None] = lambda: None
        self._uses_fallback_list = False
        self._is_open = False

    def _make_engine_connections(self, dialer: Dialer) -> EngineConnections:
        def make_pool(max_connections: int, preemption_age: float) -> ConnectionPool:
            return ConnectionPool(
                self.clock,
                lambda address: dialer(address, self.limits.connect_timeout),
                max_connections,
                IDLE_REUSE_FRACTION * self.limits.keepalive,
                self.log,
                self._response_scheduler,
                preemption_age,
            )

        budget = self.descriptor_budget
        return EngineConnections(
            make_pool(budget.attempts, float("inf")), make_pool(budget.cleanup, REQUEST_INTERVAL_S)
        )

    def _make_executor(self, executor_class: type[ActionExecutor]) -> ActionExecutor:
        executor = executor_class(
            Router(self.config, self.placement_budget),
            self.decoder,
            self.config,
            self.clock,
            self.engine_client,
            "",
            self.log,
        )
        self.engine_client.attach(executor)
        self.monitor.attach(executor, self)
        return executor

    def _make_front(self) -> ClientRequestHandler:
        front = ClientRequestHandler(
            self.executor,
            self.decoder,
            self.engine_client.run_history,
            self.monitor.counter,
            self.limits.max_in_flight,
        )
        front.is_ready = self._is_ready
        return front

    def _make_listener(self) -> ConnectionListener:
        listener = ConnectionListener(
            self.clock,
            self.front.on_request,
            self.descriptor_budget.clients,
            self.descriptor_budget.client_burst,
            ParseScheduler(self.clock),
            self.memory_limits,
        )
        listener.on_closing = self.monitor.connection_closing
        return listener

    def _make_discovery(self, dialer: Dialer) -> DiscoveryClient:
        pool = ConnectionPool(
            self.clock,
            lambda address: dialer(address, CONNECT_TIMEOUT_S),
            MAX_DISCOVERY_CONNECTIONS,
            DISCOVERY_MAX_IDLE_S,
            self.log,
            self._response_scheduler,
        )
        return DiscoveryClient(
            self.clock,
            pool,
            self.settings.discovery_address,
            self.endpoint_list,
            self._on_list_update,
            Random(self.settings.seed + 1),
            self.log,
        )

    def start(self) -> None:
        """Start the discovery client; accept clients once it has a list, or after FALLBACK_DELAY_S."""
        self.executor.start()
        self.monitor.start()
        self.discovery.start()
        self.clock.callLater(FALLBACK_DELAY_S, self._use_fallback_list)

    def _use_fallback_list(self) -> None:
        """Apply the fallback list of the settings if discovery has not answered, then accept clients.

        The list is not applied earlier, because discovery may have a newer one.
        """
        try:
            if not self.discovery.has_answered and self.settings.fallback_list is not None:
                update = self.endpoint_list.decode(self.settings.fallback_list, self.clock.seconds())
                self._uses_fallback_list = True
                self._apply_update(update._replace(is_complete=True))
        except EndpointListError as error:
            self.log(LogEvent.FALLBACK_LIST_REJECTED, reason=str(error))
        finally:
            self.open()

    def open(self) -> None:
        """Start to accept clients. Further calls have no effect."""
        if not self._is_open:
            self._is_open = True
            self.on_open()
            self.log(LogEvent.READY, name=self.settings.name, engines=len(self.decoder.engines.endpoints))

    def _is_ready(self) -> bool:
        """Return whether there is an endpoint list, from discovery or from the settings."""
        return self.discovery.has_answered or self._uses_fallback_list

    def _on_list_update(self, update: EndpointListUpdate) -> None:
        self._apply_update(update)
        self.open()

    def _apply_update(self, update: EndpointListUpdate) -> None:
        for entry in update.entries:
            if entry.dial_address:
                self.engine_client.directory.set_address(entry.address, entry.dial_address)
        self.executor.update_endpoints(update.entries, update.is_complete, update.version or None)

    def is_busy(self) -> bool:
        """Return whether a sequence, a client's connection or a release of read state needs this process.

        Each client's connection counts until it is closed, because a partial request may still be completed,
        or the last response may not have been sent completely. Data that arrived after the process exit would
        reset the connection before the client has read its response.
        """
        return (
            bool(self.executor.in_flight)
            or bool(self.listener.connections)
            or self.engine_client.releaser.is_busy()
        )

    def begin_shutdown(self) -> None:
        """Reject requests that arrive too late to be answered completely before the earliest SIGKILL."""
        reject_after = self.clock.seconds() + SHUTDOWN_ACCEPT_TIME_S
        self.front.reject_after = min(self.front.reject_after, reject_after)

    def max_lag(self) -> float:
        """Return the largest event loop lag so far, in seconds."""
        return self.decoder.lag_meter.max_lag

    def postponed_placement_count(self) -> int:
        """Return how often a sequence had to wait because the time for placements was used up."""
        return self.placement_budget.refused_count

    def release_counts(self) -> Mapping[str, int]:
        """Return the number of ended releases of read state, by result."""
        return self.engine_client.releaser.result_counts

    def attempt_failure_counts(self) -> Mapping[str, int]:
        """Return the number of failed attempts, by reason."""
        return self.engine_client.failure_counts

    def pending_work(self) -> PendingWork:
        """Return the sequences, client connections and releases that are not finished."""
        return PendingWork(
            count_sequences(self.executor.in_flight.values()),
            count_connections(self.listener.connections),
            self.engine_client.releaser.pending_count(),
        )

    def measure_lag(self) -> None:
        """Measure the event loop lag now and periodically; see `LagMeter`."""
        now = self.clock.seconds()
        next_tick_at = now + TICK_PERIOD
        try:
            next_tick_at = self.decoder.lag_meter.tick(now)
        finally:
            self.clock.callLater(max(0.0, next_tick_at - now), self.measure_lag)
