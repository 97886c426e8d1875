"""A relay node, assembled from its parts."""

from collections.abc import Callable, Mapping
from random import Random

from myrtlehub.clock import Clock
from myrtlehub.http1.connection_pool import ConnectionPool, Dial
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.limits.event_loop_lag import TICK_PERIOD
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.platform_settings import KILL_MARGIN_S
from myrtlehub.relay.clients.client_front import ClientFront
from myrtlehub.relay.clients.request_decoder import RequestDecoder
from myrtlehub.relay.discovery.discovery_client import CONNECT_TIMEOUT_S, DiscoveryClient
from myrtlehub.relay.discovery.endpoint_list import EndpointListDecoder, EndpointListUpdate
from myrtlehub.relay.engines.engine_client import EngineClient
from myrtlehub.relay.errors import EndpointListError
from myrtlehub.relay.monitoring.invariant_monitor import InvariantMonitor, RecurringTimer
from myrtlehub.relay.process.descriptor_budget import MAX_DISCOVERY_CONNECTIONS, DescriptorBudget
from myrtlehub.relay.process.pending_work import PendingWork, count_connections, count_sequences
from myrtlehub.relay.settings.node_settings import NodeSettings, router_config_of
from myrtlehub.relay.settings.platform_limits import platform_limits_of
from myrtlehub.routing.policy.router import Router

DISCOVERY_MAX_IDLE_S = 5.0  # for which an idle connection to discovery stays open
# Fraction of the engines' keep-alive time for which idle connections are reused. Near the end of that time,
# an engine might close the connection while a request is in transit.
REUSE_SHARE = 0.4
# Time after SIGTERM until which requests are still accepted. Later than KILL_MARGIN_S they would have to be
# answered completely before the earliest SIGKILL. This process may handle the signal late, and for a request
# that it may have read late it assumes the earliest time.
LAST_REQUEST_S = KILL_MARGIN_S - 0.2
FALLBACK_DELAY_S = 1.0  # from the start until the fallback list is used, if discovery has not answered

Dialer = Callable[[str, float], Dial]


class RelayNode:
    """One relay node.

    Args:
        settings: The node settings.
        clock: The clock of the node and its timers.
        dialer: Called with HOST:PORT and a timeout in seconds; returns a function that connects a protocol
            factory to that address.
        epoch: The Unix time in seconds at which the clock showed 0.
        log: The event log.
        executor_class: The class of the action executor.

    Attributes:
        on_open: Called once, when the node starts to accept clients.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        dialer: Dialer,
        epoch: float = 0.0,
        log: Log = no_log,
        executor_class: type[ActionExecutor] = ActionExecutor,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.config = router_config_of(settings)
        self.limits = platform_limits_of(settings)
        self.budget = DescriptorBudget.of(settings.descriptors)
        self.decoder = RequestDecoder(settings, self.config)
        self.endpoint_list = EndpointListDecoder(self.decoder.kinds, self.decoder.zones, epoch)
        self.pool = ConnectionPool(
            clock,
            lambda address: dialer(address, self.limits.connect_timeout),
            self.budget.engines,
            REUSE_SHARE * self.limits.keepalive,
            log,
        )
        self.monitor = InvariantMonitor(clock, log)
        self.engine_client = EngineClient(clock, self.pool, self.decoder, self.monitor.counter, log)
        self.executor = self._make_executor(executor_class)
        self.front = self._make_front()
        self.listener = self._make_listener()
        self.discovery = self._make_discovery(dialer)
        self.monitor.timers = [
            RecurringTimer("discovery", self.discovery.is_armed),
            RecurringTimer("stream monitor", self.engine_client.stream_monitor.is_armed),
        ]
        self.on_open: Callable[[], None] = lambda: None
        self._uses_fallback_list = False
        self._is_open = False

    def _make_executor(self, executor_class: type[ActionExecutor]) -> ActionExecutor:
        executor = executor_class(
            Router(self.config), self.decoder, self.config, self.clock, self.engine_client, "", self.log
        )
        self.engine_client.attach(executor)
        self.monitor.attach(executor, self)
        return executor

    def _make_front(self) -> ClientFront:
        front = ClientFront(self.executor, self.decoder, self.monitor.counter, self.limits.max_in_flight)
        front.is_ready = self._is_ready
        return front

    def _make_listener(self) -> ConnectionListener:
        listener = ConnectionListener(
            self.clock, self.front.on_request, self.budget.clients, self.budget.client_burst
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
        )
        return DiscoveryClient(
            self.clock,
            pool,
            self.settings.discovery,
            self.endpoint_list,
            self._on_update,
            Random(self.settings.seed + 1),
            self.log,
        )

    def start(self) -> None:
        """Start following discovery; open to clients once it has answered, or after FALLBACK_DELAY_S."""
        self.executor.start()
        self.monitor.start()
        self.discovery.start()
        self.clock.callLater(FALLBACK_DELAY_S, self._use_fallback_list)

    def _use_fallback_list(self) -> None:
        """Apply the fallback list of the settings if discovery has not answered, and open.

        It is not applied earlier, because discovery's list may be newer.
        """
        try:
            if not self.discovery.has_answered and self.settings.fallback_list is not None:
                update = self.endpoint_list.decode(self.settings.fallback_list, self.clock.seconds())
                self._uses_fallback_list = True
                self._apply(update._replace(is_complete=True))
        except EndpointListError as error:
            self.log(LogEvent.FALLBACK_LIST_REJECTED, reason=str(error))
        finally:
            self.open()

    def open(self) -> None:
        """Open to clients. Further calls have no effect."""
        if not self._is_open:
            self._is_open = True
            self.on_open()
            self.log(LogEvent.READY, name=self.settings.name, engines=len(self.decoder.engines.rows))

    def _is_ready(self) -> bool:
        """Return whether there is an endpoint list, from discovery or from the settings."""
        return self.discovery.has_answered or self._uses_fallback_list

    def _on_update(self, update: EndpointListUpdate) -> None:
        self._apply(update)
        self.open()

    def _apply(self, update: EndpointListUpdate) -> None:
        for entry in update.entries:
            if entry.dial_address:
                self.engine_client.directory.set_address(entry.address, entry.dial_address)
        self.executor.update_endpoints(update.entries, update.is_complete, update.version or None)

    def is_busy(self) -> bool:
        """Return whether a sequence, a client's connection or a release of read state needs this process.

        Each client's connection counts until it is closed. Its partial request may still be completed, or its
        last response may not have been sent completely. If data arrived after the process has exited, the
        connection would be reset before the client has read its response.
        """
        return (
            bool(self.executor.in_flight)
            or bool(self.listener.connections)
            or self.engine_client.releaser.is_busy()
        )

    def begin_shutdown(self) -> None:
        """Reject requests that come too late to be answered completely before the earliest SIGKILL."""
        refuses_from = self.clock.seconds() + LAST_REQUEST_S
        self.front.refuses_from = min(self.front.refuses_from, refuses_from)

    def worst_lag(self) -> float:
        """Return the largest event loop lag so far, in seconds."""
        return self.decoder.lag.worst

    def release_counts(self) -> Mapping[str, int]:
        """Return the ended releases of read state, by result."""
        return self.engine_client.releaser.result_counts

    def pending_work(self) -> PendingWork:
        """Return what this node still owes to clients and engines."""
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
            next_tick_at = self.decoder.lag.tick(now)
        finally:
            self.clock.callLater(max(0.0, next_tick_at - now), self.measure_lag)
