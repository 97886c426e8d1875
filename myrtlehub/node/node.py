"""A whole node: settings, decoder, router, executor, transport and fronts. Where it listens is the caller's."""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from twisted.internet.defer import Deferred

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.membership.endpoint_source import StaticEndpointSource
from myrtlehub.membership.endpoint_watcher import EndpointWatcher, WatchConfig
from myrtlehub.membership.flap_damping import NEVER_DAMPED
from myrtlehub.membership.validation import ANY_REMOVED, ListValidator, ValidationConfig
from myrtlehub.membership.version_store import VersionStore
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.admin import NodeAdmin
from myrtlehub.node.figures import Figures
from myrtlehub.node.replication.engine_claims import close_at_engines
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.revision import program_digest
from myrtlehub.node.works import Around, Works
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.transport_limits import TransportLimits

LAG_SAID = 0.1  # seconds; a new worst lateness of the process above this is logged
LOOK_IDLE = 0.5  # seconds between looks at whether replaced settings still have work in hand


class Node:
    """One node on a clock. `server` and `admin` are factories to listen with; `dial` reaches engines."""

    def __init__(
        self,
        sheet: NodeConfig,
        clock: object,
        dial: Callable[[str], Callable],
        run: str = "0",
        log: Callable[..., None] = lambda event, **more: None,
        executor_class: type[ActionExecutor] = ActionExecutor,
        base: Path = Path(),
        notify: Callable = lambda paths, changed: None,
        reader: Callable | None = None,
        beside: Callable = lambda work, then: then(work()),
    ) -> None:
        self.clock, self.log, self.run = clock, log, run
        self.program = program_digest()
        self.started = clock.seconds()
        self.figures = Figures()
        group = sheet.takeover
        self.replication = group and Replication(group, sheet.node.name, run, clock, dial, log)
        self.around = Around(clock, dial, run, log, executor_class, self.figures, self.replication)
        self.works = Works(sheet, self.around)
        if self.replication is not None:
            self.replication.service.on_abandoned = lambda record: close_at_engines(self.transport, record)
            if not sheet.engines_may.claims:
                log(
                    "takeover",
                    why="engines answer no claims here: streams end with their node, and what "
                    "may have run is not sent again",
                )
        self.old: list[Works] = []  # replaced, with sequences in hand
        self.proven_from = 0  # generated before the settings that hold were applied
        self.leaving = False
        self._done: Deferred | None = None
        self._limit: object | None = None  # while it drains
        limits = sheet.limits
        self.server = Server(
            clock,
            TransportLimits(max_message=sheet.node.prompt_limit, idle_timeout=limits.idle),
            max_connections=limits.connections,
            max_connections_per_host=limits.peer_connections,
        )
        self.works.serve(self.server)
        self.admin = Server(clock)
        self.source = self._source(sheet, base, notify, reader, beside)
        self.on_leave: Callable[[], None] = lambda: None  # an order to leave came: the caller drains
        self.control = NodeAdmin(self)
        self.control.serve(self.admin)
        self.executor.poll_endpoints = self.source.republish
        self.source.follow(self._list_news)

    @property
    def sheet(self) -> NodeConfig:
        """The settings that hold."""
        return self.works.sheet

    executor = property(lambda self: self.works.executor)
    transport = property(lambda self: self.works.transport)
    batches = property(lambda self: self.works.batches)
    front = property(lambda self: self.works.front)
    client_limits = property(lambda self: self.works.client_limits)

    @property
    def proven(self) -> bool:
        """Whether it holds a list and has generated a sequence by what it now runs."""
        return bool(self.executor.decoder.engines.index_of) and self.figures.generated > self.proven_from

    def _list_news(self, rows: list[EndpointConfig], whole: bool, number: int = 0, digest: str = "") -> None:
        for works in (self.works, *self.old):
            works.list_news(rows, whole, number, digest)

    def _source(
        self, sheet: NodeConfig, base: Path, notify: Callable, reader: Callable | None, beside: Callable
    ) -> StaticEndpointSource | EndpointWatcher:
        part = sheet.list
        if not part.files:
            return StaticEndpointSource(part.engines)
        most = ANY_REMOVED if part.confirm.most_removed == "any" else part.confirm.most_removed
        damp = part.damp
        flaps = NEVER_DAMPED if damp.flaps == "off" else damp.flaps
        validator = ListValidator(
            ValidationConfig(most, part.confirm.after, flaps, damp.within, damp.quiet_for),
            {k.name: k for k in sheet.kinds},
            sheet.zones,
            sheet.engines_may.read_alone,
        )
        store = VersionStore(base / part.store) if part.store else None
        return EndpointWatcher(
            WatchConfig(tuple(part.files), base, part.poll, part.quiet, part.end_marked),
            validator,
            self.clock,
            store=store,
            log=self.log,
            notify=notify,
            unresponsive=lambda: self.transport.unreachable_engines(),
            reader=reader,
            run_in_background=beside,
        )

    def apply(self, sheet: NodeConfig) -> None:
        """From the next sequence on these settings hold. What `changes.unfit` says of them has to be
        nothing.
        """
        before = self.works
        rows = self.source.endpoints(sheet.list.engines if not sheet.list.pushed else None)
        self.works = Works(sheet, self.around, before.number + 1, before)
        self.proven_from = self.figures.generated
        self.works.front.is_closed = before.front.is_closed
        self.executor.poll_endpoints = before.executor.poll_endpoints
        before.executor.poll_endpoints = lambda: None
        self.works.list_news(rows, True, before.executor.list_version + 1)
        for old in (before, *self.old):  # they send on, for what they hold: the list is theirs too
            old.list_news(rows, True, before.executor.list_version + 1)
        self.works.serve(self.server)
        self.server.limits = replace(self.server.limits, max_message=sheet.node.prompt_limit)
        self.old.append(before)
        self._retire()

    def _retire(self) -> None:
        """Let go of replaced settings that have nothing in hand."""
        self.old = [w for w in self.old if not w.idle]
        if self.old:
            self.clock.callLater(LOOK_IDLE, self._retire)

    def measure_lag(self) -> None:
        """Beat from here on, so that the door knows how late this process runs."""
        now = self.clock.seconds()
        before = self.executor.decoder.lag.worst
        due = self.executor.decoder.lag.tick(now)
        if self.executor.decoder.lag.worst > max(before, LAG_SAID):
            self.log("lag", seconds=round(self.executor.decoder.lag.worst, 3))
        self.clock.callLater(max(0.0, due - now), self.measure_lag)

    def drain(self) -> Deferred:
        """Take nothing new; fires once all held is answered, at the latest after `drain_within`.

        A second call, as where SIGTERM comes amid an order to leave, fires with the first.
        """
        done = Deferred()
        if self._done is not None:
            self._done.addCallback(lambda none: done.callback(None))
            return done
        self._done, self.leaving = Deferred(), True
        self.front.is_closed = True
        self.server.drain()
        within = self.sheet.node.drain_within
        self.log(
            "draining",
            sequences=sum(len(w.executor.in_flight) for w in (self.works, *self.old)),
            within=within,
        )
        self._limit = self.clock.callLater(within, self._cut)
        for works in (self.works, *self.old):
            works.executor.on_idle = self._idle
            if self.replication is not None and self.sheet.engines_may.claims:
                works.front.hand_over()
        self._done.addCallback(lambda none: done.callback(None))
        self._idle()
        return done

    def _idle(self) -> None:
        if self._limit is not None and all(w.idle for w in (self.works, *self.old)):
            for works in (self.works, *self.old):
                works.executor.on_idle = lambda: None
            limit, self._limit = self._limit, None  # once: whoever was replaced may say again that it is idle
            if limit.active():
                limit.cancel()
            # a turn or two for the last answers to leave
            self.clock.callLater(0.05, self._done.callback, None)

    def _cut(self) -> None:
        for works in (self.works, *self.old):
            works.cut("the node is going down")
