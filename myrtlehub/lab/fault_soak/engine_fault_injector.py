"""Faults of engines: restarts, removals, network cuts and faulty responses."""

import time

from myrtlehub.lab.fault_soak.endpoint_list import EndpointList
from myrtlehub.lab.fault_soak.engine import Engine
from myrtlehub.lab.fault_soak.faults import Fault, FaultKind
from myrtlehub.lab.fault_soak.fleet import Fleet
from myrtlehub.lab.fault_soak.node_process import NodeProcess
from myrtlehub.lab.fault_soak.records import EngineCut, EngineHealth, RunRecords
from myrtlehub.lab.fault_soak.stream_plan import StreamFaults
from myrtlehub.lab.interfaces import Reactor

RESTART_DURATION_S = 0.8
DRAIN_DURATION_S = 0.7  # from the start of draining to the removal


class EngineFaultInjector:
    """Injects faults into engines."""

    def __init__(self, reactor: Reactor, fleet: Fleet) -> None:
        self._reactor = reactor
        self._engines: list[Engine] = fleet.engines
        self._nodes: list[NodeProcess] = fleet.nodes
        self._endpoints: EndpointList = fleet.endpoints
        self._records: RunRecords = fleet.records

    def begin(self, fault: Fault) -> None:
        """Start a fault, and schedule its end."""
        engine = self._engines[fault.target]
        match fault.kind:
            case FaultKind.ENGINE_RESTART:
                self._restart(engine)
            case FaultKind.ENGINE_DRAIN:
                self._endpoints.change(engine.name, EngineHealth.DRAINING)
                self._reactor.callLater(DRAIN_DURATION_S, self._remove, engine)
            case FaultKind.ENGINE_CUT:
                self._begin_cut(engine)
                self._reactor.callLater(fault.duration_s, self._end_cut, engine, time.monotonic())
            case FaultKind.ENGINE_SILENT:
                engine.proxy.stall()
                self._reactor.callLater(fault.duration_s, self._end_cut, engine, time.monotonic())
            case _:
                _set_response_fault(engine, fault.kind, True)
                self._reactor.callLater(fault.duration_s, _set_response_fault, engine, fault.kind, False)

    def _restart(self, engine: Engine) -> None:
        now = time.monotonic()
        self._records.cuts.append(EngineCut(engine.name, now, now + RESTART_DURATION_S))
        engine.stop()
        self._reactor.callLater(RESTART_DURATION_S, self._start, engine)

    def _start(self, engine: Engine) -> None:
        engine.start()
        self._endpoints.change(engine.name, EngineHealth.SERVING)

    def _remove(self, engine: Engine) -> None:
        self._endpoints.change(engine.name, EngineHealth.GONE)
        self._restart(engine)

    def _begin_cut(self, engine: Engine) -> None:
        engine.proxy.stall()
        for node in self._nodes:
            node.set_reachable(engine.proxy.address, False)

    def _end_cut(self, engine: Engine, begin: float) -> None:
        for node in self._nodes:
            node.set_reachable(engine.proxy.address, True)
        engine.proxy.cut()  # first, so that bytes of the time of the cut are lost and not forwarded
        engine.proxy.restore()
        self._records.cuts.append(EngineCut(engine.name, begin, time.monotonic()))


def _set_response_fault(engine: Engine, kind: FaultKind, is_active: bool) -> None:
    faults = engine.faults
    match kind:
        case FaultKind.ENGINE_FULL:
            faults.is_full = is_active
        case FaultKind.ENGINE_ERRORS:
            faults.returns_errors = is_active
        case FaultKind.ENGINE_RESETS:
            faults.resets_connections = is_active
        case FaultKind.ENGINE_INVALID_STREAMS:
            faults.sends_invalid_streams = is_active
        case FaultKind.ENGINE_HANGS:
            faults.hangs = is_active
            if not is_active:
                engine.reset_connections()  # requests that were accepted meanwhile get no response
        case _:
            _set_stream_fault(faults.streams, kind, is_active)


def _set_stream_fault(streams: StreamFaults, kind: FaultKind, is_active: bool) -> None:
    match kind:
        case FaultKind.ENGINE_TRUNCATES:
            streams.truncates = is_active
        case FaultKind.ENGINE_WRITES_SLOWLY:
            streams.writes_slowly = is_active
        case FaultKind.ENGINE_DELAYS:
            streams.delays = is_active
        case FaultKind.ENGINE_CLAIMS:
            streams.claims = is_active
        case FaultKind.ENGINE_TRICKLES:
            streams.trickles = is_active
