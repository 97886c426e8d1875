"""Plays a schedule: starts nodes, peers and clients, makes the troubles, and judges what was recorded."""

import os
import random
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec
from twisted.internet.defer import Deferred

from myrtlehub.lab.fault_soak.blackhole import Blackhole
from myrtlehub.lab.fault_soak.clients import ClientPopulation, Manner
from myrtlehub.lab.fault_soak.discovery import DiscoveryAgent, EndpointBook
from myrtlehub.lab.fault_soak.engines import Engine, StateStore
from myrtlehub.lab.fault_soak.fleet_settings import READER, TERMS, WRITER
from myrtlehub.lab.fault_soak.node_process import RELAY, NodeProcess
from myrtlehub.lab.fault_soak.oracle import Finding, Oracle
from myrtlehub.lab.fault_soak.records import EngineCut, RequestRecord, ResponseEnd, RunRecords, Span
from myrtlehub.lab.fault_soak.schedule import Schedule, Trouble, TroubleKind
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.log_events import LogEvent

CLIENT_RATE = 3.0  # clients a second that come to each node
READER_SHARE = 0.4  # of the engines
TICK_S = 0.02  # by which the driver's own lag is measured
STOP_S = (0.02, 0.15)  # for which a node is held up at a time
PAUSE_S = (0.05, 0.3)  # from one such hold-up to the next
DOWN_S = 0.8  # for which an engine that restarts is down
DRAINS_S = 0.7  # from an engine's drain to its end
END_TIMEOUT_S = 16.0  # for all nodes to end after SIGTERM
HALF_REQUEST_S = 3.0  # in which half a request is answered or closed
HELD_UP_S = 3.0  # likewise, longer at a node that was stopped or could not accept
CALLS = {
    TroubleKind.CONNECT_FAILS: ("connect",),
    TroubleKind.SOCKET_FAILS: ("socket",),
    TroubleKind.ACCEPT_FAILS: ("accept",),
    TroubleKind.SHORT_CALLS: ("send", "recv"),
    TroubleKind.BROKEN_SOCKETS: ("recv",),
    TroubleKind.LOG_FAILS: ("write",),
}
ENGINE_FLAGS = {
    TroubleKind.ENGINE_FULL: "is_full",
    TroubleKind.ENGINE_ERRORS: "fails",
    TroubleKind.ENGINE_HANGS: "hangs",
    TroubleKind.ENGINE_RESETS: "resets",
    TroubleKind.ENGINE_SPOILS: "spoils",
}


class SoakResult(msgspec.Struct, frozen=True):
    """What came of a run."""

    schedule: Schedule
    findings: tuple[Finding, ...]
    requests: int
    attempts: int
    ends: dict[str, int]  # requests by how they ended
    withheld: dict[str, int]  # sends that the nodes did not make, by reason
    driver_lag: float  # seconds


class SoakRun:
    """One run; `start` returns what fires with its result."""

    def __init__(self, reactor: Reactor, schedule: Schedule, folder: Path, program: str = RELAY) -> None:
        self.reactor = reactor
        self.schedule = schedule
        self.folder = folder
        self.records = RunRecords()
        self.random = random.Random(schedule.seed)
        self.store = StateStore(self.records)
        names = [
            f"{READER if number < READER_SHARE * schedule.engines else WRITER}{number}"
            for number in range(schedule.engines)
        ]
        self.engines = [
            Engine(reactor, name, self.store, self.records, schedule.seed + number)
            for number, name in enumerate(names)
        ]
        self.book = EndpointBook(self.engines, self.records)
        self.agents = [DiscoveryAgent(reactor, number, self.book) for number in range(schedule.nodes)]
        self.nodes = [
            NodeProcess(
                reactor,
                agent.node,
                schedule.nodes,
                folder / f"n{agent.node}",
                agent.addresses,
                self.records,
                program,
            )
            for agent in self.agents
        ]
        self.clients = ClientPopulation(reactor, self.records, schedule.seed, CLIENT_RATE)
        self.blackhole = Blackhole()
        for node in self.nodes:
            node.set_faults(blackhole=self.blackhole.address)
        self._done = Deferred()
        self._probes: dict[int, list[RequestRecord]] = {}

    def start(self) -> Deferred:
        """Begin."""
        self._tick(time.monotonic())
        for node in self.nodes:
            node.start()
            self.clients.serve_node(node.number, node.address_for_clients)
        for trouble in self.schedule.troubles:
            self.reactor.callLater(trouble.begin, self._begin, trouble)
        self.reactor.callLater(self.schedule.seconds - 2.0, self._probe_nodes)
        self.reactor.callLater(self.schedule.seconds, self._end)
        return self._done

    def _tick(self, due: float) -> None:
        now = time.monotonic()
        self.records.driver_lag = max(self.records.driver_lag, now - due)
        self.reactor.callLater(TICK_S, self._tick, now + TICK_S)

    # -- troubles ---------------------------------------------------------------------------------

    def _begin(self, trouble: Trouble) -> None:
        kind = trouble.kind
        if kind in CALLS:
            self._fail_calls(trouble)
        elif kind in ENGINE_FLAGS:
            engine = self.engines[trouble.target]
            setattr(engine, ENGINE_FLAGS[kind], True)
            self.reactor.callLater(trouble.length, self._end_flag, engine, kind)
        else:
            handler: Callable[[Trouble], None] = getattr(self, "_" + kind.replace(" ", "_"))
            handler(trouble)

    def _end_flag(self, engine: Engine, kind: TroubleKind) -> None:
        setattr(engine, ENGINE_FLAGS[kind], False)
        if kind == TroubleKind.ENGINE_HANGS:
            engine.reset_connections()  # whoever waits hears of it only now

    def _fail_calls(self, trouble: Trouble) -> None:
        node = self.nodes[trouble.target]
        span = self.records.begin(node.number, trouble.kind.value, time.monotonic())
        error = trouble.error or "short"
        node.set_faults(share=trouble.share, **dict.fromkeys(CALLS[trouble.kind], error))
        self.reactor.callLater(trouble.length, self._end_calls, trouble, span)

    def _end_calls(self, trouble: Trouble, span: Span) -> None:
        self.nodes[trouble.target].set_faults(**dict.fromkeys(CALLS[trouble.kind]))
        span.end = time.monotonic()

    def _clock_step(self, trouble: Trouble) -> None:
        self.nodes[trouble.target].set_faults(clock=trouble.step)  # for good

    def _node_term(self, trouble: Trouble) -> None:
        self.nodes[trouble.target].terminate()

    def _node_kill(self, trouble: Trouble) -> None:
        node = self.nodes[trouble.target]
        span = self.records.begin(node.number, "kill", time.monotonic())
        node.kill()
        self.reactor.callLater(0.3, self._end_span, span)

    def _node_hangups(self, trouble: Trouble) -> None:
        self.nodes[trouble.target].move_discovery()

    def _node_stop(self, trouble: Trouble) -> None:
        self._stop(trouble, time.monotonic() + trouble.length)

    def _stop(self, trouble: Trouble, until: float) -> None:
        node = self.nodes[trouble.target]
        if time.monotonic() > until:
            return
        span = self.records.begin(node.number, "stop", time.monotonic())
        node.signal("STOP")
        self.reactor.callLater(self.random.uniform(*STOP_S), self._go_on, trouble, until, span)

    def _go_on(self, trouble: Trouble, until: float, span: Span) -> None:
        self.nodes[trouble.target].signal("CONT")
        self._end_span(span)
        self.reactor.callLater(self.random.uniform(*PAUSE_S), self._stop, trouble, until)

    def _end_span(self, span: Span) -> None:
        span.end = time.monotonic()

    def _engine_restart(self, trouble: Trouble) -> None:
        engine = self.engines[trouble.target]
        self._stop_engine(engine)

    def _stop_engine(self, engine: Engine) -> None:
        now = time.monotonic()
        self.records.cuts.append(EngineCut(engine.name, now, now + DOWN_S))
        engine.stop()
        self.reactor.callLater(DOWN_S, self._engine_back, engine)

    def _engine_back(self, engine: Engine) -> None:
        engine.start()
        self.book.change(engine.name, "active")

    def _engine_drain(self, trouble: Trouble) -> None:
        engine = self.engines[trouble.target]
        self.book.change(engine.name, "leaving")
        self.reactor.callLater(DRAINS_S, self._engine_left, engine)

    def _engine_left(self, engine: Engine) -> None:
        self.book.change(engine.name, "left")
        self._stop_engine(engine)

    def _engine_cut(self, trouble: Trouble) -> None:
        engine = self.engines[trouble.target]
        engine.proxy.stall()
        for node in self.nodes:
            node.cut_off(engine.proxy.address, True)
        self.reactor.callLater(trouble.length, self._end_cut, engine, time.monotonic())

    def _end_cut(self, engine: Engine, begin: float) -> None:
        for node in self.nodes:
            node.cut_off(engine.proxy.address, False)
        engine.proxy.cut()  # what waited is lost, and all connections are reset
        engine.proxy.restore()
        self.records.cuts.append(EngineCut(engine.name, begin, time.monotonic()))

    def _discovery_silent(self, trouble: Trouble) -> None:
        agent = self.agents[trouble.target]
        agent.set_silent(True)
        self.reactor.callLater(trouble.length, agent.set_silent, False)

    def _discovery_slow(self, trouble: Trouble) -> None:
        agent = self.agents[trouble.target]
        agent.is_slow = True
        self.reactor.callLater(trouble.length, setattr, agent, "is_slow", False)

    def _discovery_torn(self, trouble: Trouble) -> None:
        agent = self.agents[trouble.target]
        agent.is_torn = True
        self.reactor.callLater(trouble.length, setattr, agent, "is_torn", False)

    def _watch_silent(self, trouble: Trouble) -> None:
        self.agents[trouble.target].lose_watches()

    # -- the end ----------------------------------------------------------------------------------

    def _probe_nodes(self) -> None:
        """Have each node answer once more, though all troubles are over."""
        self.clients.is_stopped = True
        before = set(self.records.requests)
        for node in self.nodes:
            for _ in range(3):
                self.clients.connect(node.number, node.address, Manner.PATIENT)
        self.reactor.callLater(1.9, self._judge_probes, before)

    def _judge_probes(self, before: set[str]) -> None:
        for request_id in set(self.records.requests) - before:
            request = self.records.requests[request_id]
            self._probes.setdefault(request.node, []).append(request)
        for node in self.nodes:
            probes = self._probes.get(node.number, [])
            if not any(request.end != ResponseEnd.OPEN and request.status for request in probes):
                self.records.failed_probes.append(f"n{node.number}")

    def _end(self) -> None:
        for node in self.nodes:
            node.terminate(restarts=False)
        self._wait_for_nodes(time.monotonic() + END_TIMEOUT_S)

    def _wait_for_nodes(self, until: float) -> None:
        running = [node for node in self.nodes if node.is_running]
        if running and time.monotonic() < until:
            self.reactor.callLater(0.1, self._wait_for_nodes, until)
            return
        for node in running:
            self.records.failed_probes.append(f"n{node.number} does not end")
            node.kill()
        self.reactor.callLater(0.3, self._finish)

    def _finish(self) -> None:
        self._read_logs()
        now = time.monotonic()
        for state in self.records.states:
            state.until = state.until or now
        findings = [*Oracle(self.records, TERMS).findings(), *self._judge_half_requests()]
        self._done.callback(
            SoakResult(
                self.schedule,
                tuple(findings),
                len(self.records.requests),
                len(self.records.attempts),
                dict(Counter(request.end.value for request in self.records.requests.values())),
                self.records.withheld,
                round(self.records.driver_lag, 3),
            )
        )

    def _judge_half_requests(self) -> list[Finding]:
        allowed = HALF_REQUEST_S + self.records.driver_lag + 0.03
        held_up = {span.node for span in self.records.spans if span.what in ("stop", "accept fails")}
        return [
            Finding("half request", f"n{half.node}", f"kept for {half.closed_at - half.sent_at:.3f} s")
            for half in self.clients.half_requests
            if half.closed_at - half.sent_at > allowed + (HELD_UP_S if half.node in held_up else 0.0)
        ]

    def _read_logs(self) -> None:
        withheld: Counter[str] = Counter()
        for node in self.nodes:
            last: dict[str, int] = {}
            for line in node.logged():
                if line["event"] == LogEvent.INVARIANT_VIOLATED:
                    self.records.node_violations.append(line["invariant"])
                elif line["event"] == LogEvent.COUNTERS:
                    last = line["withheld"]
                elif line["event"] == LogEvent.ENDED:
                    withheld.update(last)
        self.records.withheld = dict(withheld)


def play(schedule: Schedule, keep: Path | None = None, program: str = RELAY) -> SoakResult:
    """Play one schedule in this process, which ends its reactor; use a process for each run."""
    from twisted.internet import reactor

    folder = keep or Path(tempfile.mkdtemp(prefix="fault-soak-"))
    results: list[SoakResult] = []

    def finished(result: SoakResult) -> None:
        results.append(result)
        reactor.stop()

    run = SoakRun(reactor, schedule, folder, program)
    reactor.callWhenRunning(lambda: run.start().addCallback(finished))
    reactor.run()
    if keep is None:
        shutil.rmtree(folder, ignore_errors=True)
    if not results:
        os._exit(3)
    return results[0]
