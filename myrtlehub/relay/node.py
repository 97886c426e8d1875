"""A node on the platform's protocol, put together: desk, module, host, engines, front, discovery."""

from collections.abc import Callable
from random import Random

from myrtlehub.http1.client import ConnectionPool
from myrtlehub.http1.server import Site
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.relay.bootstrap import Bootstrap, Desk, ListUpdate, caps_of, router_config_of
from myrtlehub.relay.discovery import DIAL_WITHIN, Discovery
from myrtlehub.relay.engines import Engines
from myrtlehub.relay.front import Front
from myrtlehub.routing.policy.router import Router

DISCOVERY_MOST = 18  # connections to discovery: one in 120 ms while it is silent, each for 2 s at most
ACCEPTS_MOST = 32  # connections accepted in a turn: until the next one none of them can be closed
OWN = 14  # standard streams, selector, wakers, port and its spare, configuration, modules read late
RESERVE = DISCOVERY_MOST + ACCEPTS_MOST + OWN  # descriptors that neither clients nor engines get
# Parts of the descriptors beside these:
CLIENTS_PART = 0.47  # for clients' connections, lingering ones among them: a third may hold requests
AT_ONCE_PART = 0.13  # for clients' connections that have just come, until room is made
ENGINES_PART = 0.40  # for engines: a request has one attempt out, and releases come beside
KEPT_PART = 0.4  # of the time after which engines close unused connections, for which ours are used again
KNOWN_FOR = 1.0  # seconds after the start for which discovery is waited for, before the list given is used


class RelayNode:
    """One node. `dial(address, seconds)` gives a way there; `epoch`: Unix time when the clock showed 0."""

    def __init__(
        self,
        told: Bootstrap,
        clock: object,
        dial: Callable[[str, float], Callable],
        epoch: float = 0.0,
        log: Callable[..., None] = lambda event, **more: None,
        host_class: type[ActionExecutor] = ActionExecutor,
    ) -> None:
        self.told, self.clock, self.log = told, clock, log
        self.terms = router_config_of(told)
        caps, room = caps_of(told), told.sockets - RESERVE
        self.desk = Desk(told, self.terms, epoch)
        self.pool = ConnectionPool(
            clock,
            lambda address: dial(address, caps.connect),
            int(ENGINES_PART * room),
            KEPT_PART * caps.keep,
        )
        self.engines = Engines(clock, self.pool, log)
        self.host = host_class(Router(self.terms), self.desk, self.terms, clock, self.engines, "", log)
        self.engines.host = self.host
        self.host.on_attempt_ended = self.engines.ended
        self.front = Front(self.host, self.desk, caps.most_held)
        self.front.ready = self._ready
        self.site = Site(clock, self.front.asked, int(CLIENTS_PART * room), int(AT_ONCE_PART * room))
        there = ConnectionPool(clock, lambda address: dial(address, DIAL_WITHIN), DISCOVERY_MOST, 5.0)
        self.discovery = Discovery(
            clock, there, told.discovery, self.desk, self._heard, Random(told.seed + 1), log
        )
        self._known = self._opened = False
        self.on_open: Callable[[], None] = lambda: None  # clients may come from now on

    def start(self) -> None:
        """Follow discovery; clients are let in once it has answered, or after a while all the same."""
        self.host.start()
        self.discovery.start()
        self.clock.callLater(KNOWN_FOR, self._use_known)

    def _use_known(self) -> None:
        """Discovery is silent: what the configuration has is better than nothing.

        Not before: it may be from before this process was started, and what discovery has counts as told.
        """
        if not self.discovery.heard and self.told.known is not None:
            try:
                update = self.desk.update(self.told.known, self.clock.seconds())
            except ValueError as fault:
                self.log("known list left out", why=str(fault))
            else:
                self._known = True
                self._update(update._replace(whole=True))
        self.open()

    def open(self) -> None:
        """Let clients in, once."""
        if not self._opened:
            self._opened = True
            self.log("ready", name=self.told.name, engines=len(self.desk.engines.rows))
            self.on_open()

    def _ready(self) -> bool:
        """A list is held: the present one, or after a while the one that was given."""
        return self.discovery.heard or self._known

    def _heard(self, update: ListUpdate) -> None:
        self._update(update)
        self.open()

    def _update(self, update: ListUpdate) -> None:
        for line in update.lines:
            if line.dial:
                self.engines.moved(line.address, line.dial)
        self.host.update_endpoints(update.lines, update.whole, update.version)

    def busy(self) -> bool:
        """Whether anything is owed to a client, or to an engine.

        Of clients' connections each counts until it is lost: half a request may be whole yet, a last answer
        may not have left, and bytes that come as the process ends would reset what its client has not read.
        """
        return bool(self.host.in_flight) or bool(self.site.connections) or self.engines.owes()

    def measure_lag(self) -> None:
        """Beat from here on, so that the desk knows how late this process runs."""
        now = self.clock.seconds()
        due = self.desk.lag.beat(now)
        self.clock.callLater(max(0.0, due - now), self.measure_lag)
