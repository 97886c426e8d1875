"""A node on the platform's protocol, put together: desk, module, host, engines, front, discovery."""

from collections.abc import Callable
from random import Random

from myrtlehub.decide import Router
from myrtlehub.http1.client import Pool
from myrtlehub.http1.server import Site
from myrtlehub.node.host import Host
from myrtlehub.relay.discovery import Discovery
from myrtlehub.relay.engines import Engines
from myrtlehub.relay.front import Front
from myrtlehub.relay.told import Desk, News, Told, terms_of

CLIENTS_PART = 0.45  # of the descriptors, for clients' connections: a third may hold requests
AT_ONCE_PART = 0.12  # of them, for clients' connections that have just come, until room is made
ENGINES_PART = 0.38  # of them, for engines: a request has one attempt out, and releases come beside
KEPT_PART = 0.4  # of the time after which engines close unused connections, for which ours are used again
DISCOVERY_MOST = 12  # connections to discovery: as many calls are out at most, while it is silent
KNOWN_FOR = 1.0  # seconds after the start for which discovery is waited for, before the list given is used


class RelayNode:
    """One node. `dial(address, seconds)` gives a way there; `epoch`: Unix time when the clock showed 0."""

    def __init__(self, told: Told, clock: object, dial: Callable[[str, float], Callable],
                 epoch: float = 0.0, log: Callable[..., None] = lambda event, **more: None,
                 host_class: type[Host] = Host) -> None:
        self.told, self.clock, self.log = told, clock, log
        self.terms = terms_of(told)
        caps = told.settings.get("Caps", {})
        connect, keep = caps.get("ConnectTimeoutMs", 250.0) / 1e3, caps.get("KeepaliveMs", 30000.0) / 1e3
        self.desk = Desk(told, self.terms, epoch)
        self.pool = Pool(clock, lambda address: dial(address, connect), int(ENGINES_PART * told.sockets),
                         KEPT_PART * keep)
        self.engines = Engines(clock, self.pool, log)
        self.host = host_class(Router(self.terms), self.desk, self.terms, clock, self.engines, "", log)
        self.engines.host = self.host
        self.host.on_back = self.engines.ended
        self.front = Front(self.host, self.desk, caps.get("MostHeld", 20000))
        self.front.ready = self._ready
        self.site = Site(clock, self.front.asked, int(CLIENTS_PART * told.sockets),
                         int(AT_ONCE_PART * told.sockets))
        there = Pool(clock, lambda address: dial(address, 1.0), DISCOVERY_MOST, 5.0)
        self.discovery = Discovery(clock, there, told.discovery, self.desk, self._heard,
                                   Random(told.seed + 1), log)
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
                news = self.desk.news(self.told.known, self.clock.seconds())
            except ValueError as fault:
                self.log("known list left out", why=str(fault))
            else:
                self._known = True
                self._news(news._replace(whole=True))
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

    def _heard(self, news: News) -> None:
        self._news(news)
        self.open()

    def _news(self, news: News) -> None:
        for line in news.lines:
            if line.dial:
                self.engines.moved(line.address, line.dial)
        self.host.list_news(news.lines, news.whole, news.version)

    def busy(self) -> bool:
        """Whether anything is owed to a client, or to an engine."""
        return bool(self.host.held) or self.site.open_exchanges() > 0

    def measure_lag(self) -> None:
        """Beat from here on, so that the desk knows how late this process runs."""
        now = self.clock.seconds()
        due = self.desk.lag.beat(now)
        self.clock.callLater(max(0.0, due - now), self.measure_lag)
