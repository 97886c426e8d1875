"""A whole node: file, door, module, host, links and fronts put together. Where it listens is the caller's."""

from collections.abc import Callable
from pathlib import Path
from random import Random

from twisted.internet.defer import Deferred

from myrtlehub.config.sheets import NodeSheet
from myrtlehub.decide import Router
from myrtlehub.limits.admit import Admission
from myrtlehub.limits.retries import RetryBudget
from myrtlehub.membership.judge import NEVER_DAMPED, ListJudge
from myrtlehub.membership.judge import Terms as Confirmation
from myrtlehub.membership.source import StaticList
from myrtlehub.membership.store import VersionStore
from myrtlehub.membership.watched import WatchedList
from myrtlehub.node.admin import NodeAdmin
from myrtlehub.node.batches import BatchDesk
from myrtlehub.node.calls import serve
from myrtlehub.node.chat import ChatFront
from myrtlehub.node.door import Door
from myrtlehub.node.embed import EMBED
from myrtlehub.node.fields import Fields
from myrtlehub.node.host import Host
from myrtlehub.node.links import Links
from myrtlehub.node.peers import PeerWatch
from myrtlehub.node.rank import RANK
from myrtlehub.node.terms import fronts_of, terms_of
from myrtlehub.rpc.guards import TransportBounds
from myrtlehub.rpc.server import Server

FRONTS = (EMBED, RANK)  # beside chat
LAG_SAID = 0.1  # seconds; a new worst lateness of the process above this is logged


class Node:
    """One node on a clock. `server` and `admin` are factories to listen with; `dial` reaches engines."""

    def __init__(self, sheet: NodeSheet, clock: object, dial: Callable[[str], Callable], run: str = "0",
                 log: Callable[..., None] = lambda event, **more: None,
                 host_class: type[Host] = Host, base: Path = Path("."),
                 notify: Callable = lambda paths, changed: None,
                 reader: Callable | None = None,
                 beside: Callable = lambda work, then: then(work())) -> None:
        self.sheet, self.clock, self.log = sheet, clock, log
        node, terms, fronts = sheet.node, terms_of(sheet), fronts_of(sheet)
        self.links = Links(clock, dial, node.name, Random(node.seed + 1), node.connect_timeout)
        # The id names the run as well: a node that came back must not speak of old sequences at engines.
        self.host = host_class(self._router(fronts), Door(sheet), terms, clock, self.links,
                               f"{node.name}.{run}.", log)
        self.links.host = self.host
        self.host.probe_timeout = sheet.reports.probe_timeout
        limits = sheet.limits
        self.server = Server(clock, TransportBounds(message=node.prompt_limit, idle_streamless=limits.idle),
                             most=limits.connections, most_by_peer=limits.peer_connections)
        retries = None if limits.retries == "any" else RetryBudget(limits.retries, Random(node.seed + 3))
        self.peers = PeerWatch(limits, clock, log, retries, node.max_wait)
        self.desk = BatchDesk(self.host, sheet, clock)
        gate = Admission(Random(node.seed + 2), {t.name: t.utility for t in sheet.traffic}) if (
            limits.admit) else None
        self.desk.fields = fronts if len(fronts) > 1 else []
        self.front = ChatFront(self.host, node.most_sequences, node.max_wait, self.desk.shares, self.peers,
                               gate)
        self.front.serve(self.server)
        for front in FRONTS:
            if front.name in fronts:
                serve(front, self.desk, self.server, lambda: self.front.closed, self.peers)
        self.admin = Server(clock)
        self.source = self._source(base, notify, reader, beside)
        NodeAdmin(self.host, sheet, self.source, self.peers).serve(self.admin)
        self.host.reread_list = self.source.reread
        self.host.start()
        self.source.follow(self._list_news)

    def _list_news(self, *news: object) -> None:
        self.host.list_news(*news)
        self.desk.list_changed()

    def _router(self, fronts: list[str]) -> object:
        """The module; where several fronts are served, once a field of engines."""
        if len(fronts) == 1:
            return Router(terms_of(self.sheet, fronts[0]))
        kinds = [frozenset(i for i, k in enumerate(self.sheet.kinds) if k.does(f)) for f in fronts]
        return Fields(Router, [terms_of(self.sheet, f) for f in fronts], kinds,
                      [fronts.index(t.front) for t in self.sheet.traffic])

    def _source(self, base: Path, notify: Callable, reader: Callable | None,
                beside: Callable) -> StaticList | WatchedList:
        part, sheet = self.sheet.list, self.sheet
        if not part.files:
            return StaticList(part.engines)
        most = 1.0 if part.confirm.most_removed == "any" else part.confirm.most_removed
        damp = part.damp
        flaps = NEVER_DAMPED if damp.flaps == "off" else damp.flaps
        judge = ListJudge(
            Confirmation(most, part.confirm.after, flaps, damp.within, damp.quiet_for),
            {k.name: k for k in sheet.kinds}, sheet.zones, sheet.engines_may.read_alone)
        store = VersionStore(base / part.store) if part.store else None
        return WatchedList(part.files, base, judge, self.clock, part.poll, part.quiet, store, self.log,
                           notify, self.links.silent, reader, part.end_marked, beside)

    def measure_lag(self) -> None:
        """Beat from here on, so that the door knows how late this process runs."""
        now = self.clock.seconds()
        before = self.host.door.lag.worst
        due = self.host.door.lag.beat(now)
        if self.host.door.lag.worst > max(before, LAG_SAID):
            self.log("lag", seconds=round(self.host.door.lag.worst, 3))
        self.clock.callLater(max(0.0, due - now), self.measure_lag)

    def drain(self) -> Deferred:
        """Take nothing new; fires once all held is answered, at the latest after `drain_within`."""
        done = Deferred()
        self.front.closed = True
        self.server.drain()
        self.log("draining", sequences=len(self.host.held), within=self.sheet.node.drain_within)
        limit = self.clock.callLater(self.sheet.node.drain_within, self._cut)

        def idle() -> None:
            if not done.called and not self.host.held and not self.desk.open:
                if limit.active():
                    limit.cancel()
                # a turn or two for the last answers to leave
                self.clock.callLater(0.05, done.callback, None)
                self.host.on_idle = lambda: None
        self.host.on_idle = idle
        idle()
        return done

    def _cut(self) -> None:
        for batch in list(self.desk.open):
            batch.late()
        for held in list(self.host.held.values()):
            self.host.out_of_time(held, "the node is going down")
