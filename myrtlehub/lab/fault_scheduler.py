"""The timed faults of a scenario."""

from myrtlehub.lab.endpoint_row import EngineState
from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.lab.scenario_file import (
    CHANGE_MODEL,
    CRASH,
    DRAIN,
    KILL,
    NODE_FAULTS,
    PAUSE,
    SHUT_DOWN,
    FaultConfig,
)
from myrtlehub.lab.scenario_fleet import ScenarioFleet
from myrtlehub.proto import engine_pb2

FAULT_METHOD = "/myrtlehub.v1.Stand/Misbehave"
CHANGED_MODEL = "m2"


class FaultScheduler:
    """Begins each fault at its time, and ends it if it has a duration."""

    def __init__(self, context: ScenarioContext, fleet: ScenarioFleet) -> None:
        self._context = context
        self._fleet = fleet

    def start(self) -> None:
        """Schedule all faults; their times count from now."""
        for fault in self._context.scenario.faults:
            self._context.clock.callLater(fault.at, self._begin, fault)

    def _begin(self, fault: FaultConfig) -> None:
        duration = f" for {fault.lasts:g} s" if fault.lasts else ""
        self._context.report(f"{fault.do} {', '.join(fault.whom)}{duration}")
        for name in fault.whom:
            if fault.do in (CRASH, KILL):
                self._fleet.kill(name, fault.lasts or None)
            elif fault.do in NODE_FAULTS:
                self.begin_node_fault(fault, name)
            elif fault.do == DRAIN:
                self._drain(fault, name)
            else:
                self._inject_into_engine(fault, name)

    def begin_node_fault(self, fault: FaultConfig, name: str) -> None:
        """Begin a fault of a node, other than a kill."""
        clock = self._context.clock
        process = self._fleet.running[name]
        if fault.do == PAUSE:
            process.signal("STOP")
            self._context.recorder.note("paused", who=name, lasts=fault.lasts)
            clock.callLater(fault.lasts, process.signal, "CONT")
        elif fault.do == SHUT_DOWN:
            self._context.recorder.note("leaves", who=name)
            process.signal("TERM")
            if fault.lasts:
                process.ended.addCallback(
                    lambda exit_code: clock.callLater(fault.lasts, self._fleet.restart, name)
                )

    def _drain(self, fault: FaultConfig, name: str) -> None:
        self._fleet.publish(name, EngineState.DRAINING)
        if fault.lasts:
            self._context.clock.callLater(fault.lasts, self._fleet.publish, name, EngineState.SERVING)

    def _inject_into_engine(self, fault: FaultConfig, name: str) -> None:
        models = self._fleet.publisher.models
        if fault.do == CHANGE_MODEL:
            models[name] = CHANGED_MODEL
            self._fleet.publish(name, EngineState.SERVING)
        request = engine_pb2.Misbehaviour(
            how=fault.do, factor=fault.factor, seconds=fault.lasts, model=models[name]
        )
        address = self._fleet.layout.addresses[name]
        self._fleet.call(address, FAULT_METHOD, request.SerializeToString()).addErrback(
            lambda failure: self._context.failures.append(
                f"{name} could not be told to misbehave: {failure.getErrorMessage()}"
            )
        )
