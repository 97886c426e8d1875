"""The rollout of a scenario: its controller processes, and the faults that they suffer."""

import signal
from typing import NamedTuple

from twisted.internet.defer import Deferred

from myrtlehub.lab.processes import LogLine, Process
from myrtlehub.lab.rollout_fleet import RolloutFleet
from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.lab.scenario_file import (
    KILL_CONTROLLER,
    SET_CLOCK_BACK,
    STALL,
    RolloutFaultConfig,
    RolloutScenarioConfig,
)
from myrtlehub.log_events import LogEvent

CONTROLLER_PROGRAM = "myrtlehub.cli.rollout"
CONTROLLER = "controller"  # in a fault's `whom`
REPORTED_EVENTS = (
    LogEvent.PHASE_CHANGED,
    LogEvent.OPERATOR_NEEDED,
    LogEvent.NODE_CALL_REJECTED,
    LogEvent.UNEXPECTED_ERROR,
    LogEvent.ROLLOUT_ENDED,
)


class NodeKill(NamedTuple):
    """A node that the controller killed."""

    at: float  # seconds of the machine's monotonic clock
    node: str


class RolloutControl:
    """Runs the controller of a rollout, kills and resumes it, and stalls its connections to nodes.

    Attributes:
        ended: Fires when the rollout has ended.
        exit_code: Exit code of the controller that ended the rollout; None until then.
        controller_count: Controllers that were started so far.
        kills: Nodes that controllers killed.
    """

    def __init__(self, context: ScenarioContext, fleet: RolloutFleet, rollout: RolloutScenarioConfig) -> None:
        self.ended: Deferred[None] = Deferred()
        self.exit_code: int | None = None
        self.started_at = 0.0
        self.ended_at = 0.0
        self.controller_count = 0
        self.kills: list[NodeKill] = []
        self._context = context
        self._fleet = fleet
        self._rollout = rollout
        self._controller: Process | None = None
        self._pending_faults: list[RolloutFaultConfig] = []  # that wait for a phase of the rollout

    def start(self) -> None:
        """Start the controller, and schedule its faults."""
        rollout = self._rollout
        clock = self._context.clock
        self._fleet.write_plan()
        self.started_at = clock.seconds()
        self._controller = self._start_controller("run")
        self._pending_faults = [fault for fault in rollout.faults if fault.after]
        for fault in rollout.faults:
            if not fault.after:
                clock.callLater(max(0.0, fault.at - rollout.at), self._begin_fault, fault)
        if rollout.undo_at:
            clock.callLater(max(0.0, rollout.undo_at - rollout.at), self._start_controller, "undo")

    def stop(self) -> None:
        """Send SIGTERM to a controller that still runs: the scenario was too short for the rollout."""
        if self._controller is not None and self._controller.is_running:
            self._controller.signal("TERM")

    def _start_controller(self, command: str) -> Process:
        self.controller_count += 1
        process = self._fleet.processes.start(
            f"controller-{self.controller_count}",
            [*self._fleet.files.clock_program, CONTROLLER_PROGRAM, command, str(self._fleet.files.plan_path)],
            self._fleet.environment,
        )
        self._fleet.expected_ends.add(process)
        process.ended.addCallback(self._controller_ended, process)
        process.on_line = self._on_controller_line
        process.ready.addErrback(lambda failure: None)  # controllers do not log the event `ready`
        return process

    def _on_controller_line(self, line: LogLine) -> None:
        event = line.get("event")
        if event == LogEvent.PHASE_CHANGED:
            self._schedule_faults_after(line["phase"])
        if event == LogEvent.PROCESS_KILLED:
            self.kills.append(NodeKill(line["killed_at_s"], line["node"]))
            self._fleet.expected_ends.add(self._fleet.running[line["node"]])
        elif event in REPORTED_EVENTS:
            self._context.report(" ".join(f"{name} {value}" for name, value in line.items() if value != ""))

    def _schedule_faults_after(self, phase: str) -> None:
        scheduled = [fault for fault in self._pending_faults if fault.after == phase]
        for fault in scheduled:
            self._pending_faults.remove(fault)
            self._context.clock.callLater(fault.at, self._begin_fault, fault)

    def _controller_ended(self, exit_code: int, process: Process) -> int:
        if exit_code != -signal.SIGKILL and process is self._controller:
            self.exit_code = exit_code
            self.ended_at = self._context.clock.seconds()
            self._context.report(f"the controller ended with {exit_code}")
            if not self.ended.called:
                self.ended.callback(None)
        return exit_code

    def _begin_fault(self, fault: RolloutFaultConfig) -> None:
        self._context.report(f"{fault.do} {', '.join(fault.whom)}")
        if fault.do == KILL_CONTROLLER:
            self._kill_controller(fault.lasts)
            return
        for name in fault.whom:
            if fault.do == SET_CLOCK_BACK:
                process = self._controller if name == CONTROLLER else self._fleet.running[name]
                if process is not None:
                    process.signal("USR1")
            elif fault.do == STALL:
                self._fleet.proxies[name].stall()
            else:
                self._fleet.proxies[name].restore()

    def _kill_controller(self, resume_after: float) -> None:
        if self._controller is not None and self._controller.is_running:
            self._controller.signal("KILL")
            self._context.clock.callLater(resume_after, self._resume)

    def _resume(self) -> None:
        self._controller = self._start_controller("resume")
