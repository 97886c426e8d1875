"""A node on the platform's protocol, put together from its parts."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from myrtlehub.clock import Clock
from myrtlehub.http1.connection_pool import ConnectionPool, Dial
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.limits.event_loop_lag import TICK_PERIOD
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.relay.client_front import ClientFront
from myrtlehub.relay.discovery_client import CONNECT_TIMEOUT_S, DiscoveryClient
from myrtlehub.relay.endpoint_list import EndpointListDecoder, EndpointListUpdate
from myrtlehub.relay.engine_client import EngineClient
from myrtlehub.relay.errors import EndpointListError
from myrtlehub.relay.invariant_monitor import InvariantMonitor, RecurringTimer
from myrtlehub.relay.node_settings import NodeSettings, router_config_of
from myrtlehub.relay.platform_limits import platform_limits_of
from myrtlehub.relay.request_decoder import RequestDecoder
from myrtlehub.routing.policy.router import Router

# Connections to discovery: one in 120 ms while it is silent, each for 2 s at most.
MAX_DISCOVERY_CONNECTIONS = 18
DISCOVERY_MAX_IDLE_S = 5.0
MAX_ACCEPTS_PER_TURN = 32  # until the next turn none of these connections can be closed
# Standard streams, selector, wakers, port and its spare, settings file, modules read late.
PROCESS_DESCRIPTORS = 14
RESERVED_DESCRIPTORS = MAX_DISCOVERY_CONNECTIONS + MAX_ACCEPTS_PER_TURN + PROCESS_DESCRIPTORS
# Shares of the descriptors beside these:
CLIENT_SHARE = 0.47  # for clients' connections, lingering ones among them: a third may hold requests
BURST_SHARE = 0.13  # for clients' connections that have just come, until room is made
ENGINE_SHARE = 0.40  # for engines: a request has one attempt out, and releases come beside
REUSE_SHARE = 0.4  # of the time after which engines close idle connections, for which ours are reused
FALLBACK_DELAY_S = 1.0  # after the start, for which discovery is waited for before the fallback list is used


class DescriptorBudget(NamedTuple):
    """File descriptors by what they are for."""

    clients: int
    client_burst: int
    engines: int

    @classmethod
    def of(cls, descriptors: int) -> "DescriptorBudget":
        """Divide what the process itself and discovery leave."""
        free = descriptors - RESERVED_DESCRIPTORS
        return cls(int(CLIENT_SHARE * free), int(BURST_SHARE * free), int(ENGINE_SHARE * free))


class RelayNode:
    """One node.

    `dialer(address, timeout)` returns what connects a factory to an address; `epoch` is the Unix time when
    the clock showed 0.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        dialer: Callable[[str, float], Dial],
        epoch: float = 0.0,
        log: Log = no_log,
        executor_class: type[ActionExecutor] = ActionExecutor,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.config = router_config_of(settings)
        limits = platform_limits_of(settings)
        budget = DescriptorBudget.of(settings.descriptors)
        self.decoder = RequestDecoder(settings, self.config)
        self.endpoint_list = EndpointListDecoder(self.decoder.kinds, self.decoder.zones, epoch)
        self.pool = ConnectionPool(
            clock,
            lambda address: dialer(address, limits.connect_timeout),
            budget.engines,
            REUSE_SHARE * limits.keepalive,
        )
        self.monitor = InvariantMonitor(clock, log)
        self.engine_client = EngineClient(clock, self.pool, self.decoder, self.monitor.counter, log)
        self.executor = executor_class(
            Router(self.config), self.decoder, self.config, clock, self.engine_client, "", log
        )
        self.engine_client.attach(self.executor)
        self.monitor.attach(self.executor)
        self.monitor.worst_lag = lambda: self.decoder.lag.worst
        self.front = ClientFront(self.executor, self.decoder, self.monitor.counter, limits.max_in_flight)
        self.front.is_ready = self._is_ready
        self.listener = ConnectionListener(clock, self.front.on_request, budget.clients, budget.client_burst)
        self.listener.on_closing = self.monitor.connection_closing
        self.discovery = self._make_discovery(dialer)
        self.monitor.timers = [
            RecurringTimer("discovery", self.discovery.is_armed),
            RecurringTimer("stream monitor", self.engine_client.stream_monitor.is_armed),
        ]
        self.on_open: Callable[[], None] = lambda: None  # clients may come from now on
        self._uses_fallback = False
        self._opened = False

    def _make_discovery(self, dialer: Callable[[str, float], Dial]) -> DiscoveryClient:
        pool = ConnectionPool(
            self.clock,
            lambda address: dialer(address, CONNECT_TIMEOUT_S),
            MAX_DISCOVERY_CONNECTIONS,
            DISCOVERY_MAX_IDLE_S,
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
        """Follow discovery; clients are let in once it has answered, or after a while all the same."""
        self.executor.start()
        self.monitor.start()
        self.discovery.start()
        self.clock.callLater(FALLBACK_DELAY_S, self._use_fallback_list)

    def _use_fallback_list(self) -> None:
        """Use the settings' list if discovery is silent: that is better than nothing.

        Not before: it may be from before this process was started, and what discovery has counts.
        """
        try:
            if not self.discovery.has_answered and self.settings.fallback_list is not None:
                update = self.endpoint_list.decode(self.settings.fallback_list, self.clock.seconds())
                self._uses_fallback = True
                self._apply(update._replace(complete=True))
        except EndpointListError as error:
            self.log(LogEvent.FALLBACK_LIST_REJECTED, reason=str(error))
        finally:
            self.open()

    def open(self) -> None:
        """Let clients in, once."""
        if not self._opened:
            self._opened = True
            self.on_open()
            self.log(LogEvent.READY, name=self.settings.name, engines=len(self.decoder.engines.rows))

    def _is_ready(self) -> bool:
        """Return whether a list is there: the present one, or after a while the fallback."""
        return self.discovery.has_answered or self._uses_fallback

    def _on_update(self, update: EndpointListUpdate) -> None:
        self._apply(update)
        self.open()

    def _apply(self, update: EndpointListUpdate) -> None:
        for entry in update.entries:
            if entry.dial_address:
                self.engine_client.directory.set_address(entry.address, entry.dial_address)
        self.executor.update_endpoints(update.entries, update.complete, update.version)

    def is_busy(self) -> bool:
        """Return whether anything is due to a client, or to an engine.

        Of clients' connections each counts until it is lost: half a request may become complete yet, a last
        response may not have left, and bytes that come as the process ends would reset what its client has
        not read.
        """
        return (
            bool(self.executor.in_flight)
            or bool(self.listener.connections)
            or self.engine_client.releaser.is_busy()
        )

    def measure_lag(self) -> None:
        """Beat from here on, so that the decoder knows how late this process runs."""
        now = self.clock.seconds()
        due = now + TICK_PERIOD
        try:
            due = self.decoder.lag.tick(now)
        finally:
            self.clock.callLater(max(0.0, due - now), self.measure_lag)
