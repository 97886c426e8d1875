"""The timed faults of a scenario."""

from typing import TYPE_CHECKING

from myrtlehub.lab.endpoint_publisher import SERVING
from myrtlehub.lab.scenario_file import LEAVE, NODE_FAULTS, PAUSE, FaultConfig
from myrtlehub.proto import engine_pb2

if TYPE_CHECKING:
    from myrtlehub.lab.scenario_runner import ScenarioRunner

FAULT_METHOD = "/myrtlehub.v1.Stand/Misbehave"
CRASH_FAULTS = ("crash", "kill")
DRAIN = "drain"
DRAINING = "draining"
CHANGE_MODEL = "model"
CHANGED_MODEL = "m2"


class FaultScheduler:
    """Begins each fault at its time, and ends it where it lasts for some."""

    def __init__(self, runner: "ScenarioRunner") -> None:
        self.runner = runner

    def start(self) -> None:
        """Schedule all faults, from now on."""
        for fault in self.runner.scenario.faults:
            self.runner.clock.callLater(fault.at, self._begin, fault)

    def _begin(self, fault: FaultConfig) -> None:
        lasts = f" for {fault.lasts:g} s" if fault.lasts else ""
        self.runner.report(f"{fault.do} {', '.join(fault.whom)}{lasts}")
        for name in fault.whom:
            if fault.do in CRASH_FAULTS:
                self.runner.kill(name, fault.lasts)
            elif fault.do in NODE_FAULTS:
                self.begin_node_fault(fault, name)
            elif fault.do == DRAIN:
                self._drain(fault, name)
            else:
                self._inject_into_engine(fault, name)

    def begin_node_fault(self, fault: FaultConfig, name: str) -> None:
        """Begin a fault of a node, other than a kill."""
        runner = self.runner
        process = runner.running[name]
        if fault.do == PAUSE:
            process.signal("STOP")
            runner.recorder.note("paused", who=name, lasts=fault.lasts)
            runner.clock.callLater(fault.lasts, process.signal, "CONT")
        elif fault.do == LEAVE:
            runner.recorder.note("leaves", who=name)
            process.signal("TERM")
            if fault.lasts:
                process.ended.addCallback(
                    lambda exit_code: runner.clock.callLater(fault.lasts, runner.restart, name)
                )

    def _drain(self, fault: FaultConfig, name: str) -> None:
        self.runner.publish(name, DRAINING)
        if fault.lasts:
            self.runner.clock.callLater(fault.lasts, self.runner.publish, name, SERVING)

    def _inject_into_engine(self, fault: FaultConfig, name: str) -> None:
        runner = self.runner
        models = runner.publisher.models
        if fault.do == CHANGE_MODEL:
            models[name] = CHANGED_MODEL
            runner.publish(name, SERVING)
        request = engine_pb2.Misbehaviour(
            how=fault.do, factor=fault.factor, seconds=fault.lasts, model=models[name]
        )
        done = runner.call(runner.layout.addresses[name], FAULT_METHOD, request.SerializeToString())
        done.addErrback(
            lambda failure: runner.unclean.append(
                f"{name} could not be told to misbehave: {failure.getErrorMessage()}"
            )
        )
