"""A scenario during which program or settings of all nodes are changed in stages, by `hub-rollout`."""

import os
import signal
from collections.abc import Generator
from enum import StrEnum
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import deferLater

from myrtlehub.lab.fault_proxy import FaultProxy
from myrtlehub.lab.processes import LogLine, Process
from myrtlehub.lab.rollout_files import RolloutFiles
from myrtlehub.lab.scenario_file import RolloutFaultConfig, RolloutScenarioConfig
from myrtlehub.lab.scenario_runner import ScenarioRunner
from myrtlehub.lab.verdict import Verdict, verdict_text
from myrtlehub.log_events import LogEvent
from myrtlehub.proto import admin_pb2
from myrtlehub.records import Recorder

FOLDER_VARIABLE = "HUB_VARIANT_FOLDER"  # where faulty nodes leave files for one another
NODE_COUNT_VARIABLE = "HUB_VARIANT_NODES"  # how many nodes the fleet has
CONTROLLER_PROGRAM = "myrtlehub.cli.rollout"
SHOW_METHOD = "/myrtlehub.v1.NodeAdmin/Show"
END_PAUSE = 0.5  # seconds in which nodes of other parents can end, once they were told to
CONTROLLER = "controller"  # in a fault's `whom`
REPORTED_EVENTS = (
    LogEvent.PHASE_CHANGED,
    LogEvent.OPERATOR_NEEDED,
    LogEvent.NODE_CALL_REJECTED,
    LogEvent.UNEXPECTED_ERROR,
    LogEvent.ROLLOUT_ENDED,
)


class RolloutEnd(StrEnum):
    """How a rollout ended, by the words of scenario files and verdicts."""

    KEPT = "kept"
    ROLLED_BACK = "undone"
    STUCK = "stuck"


END_OF_EXIT_CODE = {0: RolloutEnd.KEPT, 1: RolloutEnd.ROLLED_BACK, 3: RolloutEnd.STUCK}


class _Kill(NamedTuple):
    """A node that the controller killed."""

    at: float
    node: str


class _Incarnation(NamedTuple):
    """Who runs a node at the end; nobody where the process id is 0."""

    process_id: int
    revision: str


class _SetClock:
    """A clock that shows the time to which it was set, for records of the past."""

    def __init__(self) -> None:
        self.now = 0.0

    def seconds(self) -> float:
        """Return the time that was set."""
        return self.now


class RolloutRunner(ScenarioRunner):
    """Plays one scenario with a rollout; the controller reaches each node by a fault proxy."""

    files_class = RolloutFiles

    def __init__(self, *args: Any, **options: Any) -> None:  # noqa: ANN401
        super().__init__(*args, **options)
        self._rollout: RolloutScenarioConfig = self.scenario.roll
        self.node_program = self.files.node_program(self._rollout.was)
        self.environment = {
            FOLDER_VARIABLE: str(self.folder),
            NODE_COUNT_VARIABLE: str(len(self.layout.nodes)),
        }
        self._proxies: dict[str, FaultProxy] = {}  # by node
        self._controller: Process | None = None
        self._controller_count = 0
        self._rollout_ended: Deferred = Deferred()
        self._exit_code: int | None = None
        self._rollout_started_at = 0.0
        self._rollout_ended_at = 0.0
        self._pending_faults: list[RolloutFaultConfig] = []  # that wait for a state of the change
        self._kills: list[_Kill] = []
        self._revisions: list[str] = []

    # -- the endpoint list: a node that the controller started hears of changes like any other -----

    def publish(self, engine: str, state: str, started_at: float = 0.0) -> None:
        """Change the endpoint list, also in the files, which nodes read when they start again."""
        super().publish(engine, state, started_at)
        for node in self.layout.admin_addresses:
            self.files.write(node, self.files.node_file(node))
            if self._proxies:
                self.files.write_new_file(node)

    def is_node_running(self, node: str) -> bool:
        """Return True: another process than the one that was started here may run the node."""
        return True

    # -- the rollout ------------------------------------------------------------------------------

    def on_traffic_started(self) -> None:
        """Begin what is timed from the start of the traffic, the rollout too."""
        super().on_traffic_started()
        self.clock.callLater(self._rollout.at, self._start_rollout)

    def until_traffic_ends(self) -> Deferred:
        """Fire a moment after the rollout has ended, or when the traffic is nearly over."""
        return DeferredList([super().until_traffic_ends(), self._rollout_ended], fireOnOneCallback=True)

    def _start_rollout(self) -> None:
        """Start the controller, and schedule its faults."""
        rollout = self._rollout
        self._write_plan()
        self._rollout_started_at = self.clock.seconds()
        self._controller = self._start_controller("run")
        self._pending_faults = [fault for fault in rollout.faults if fault.after]
        for fault in rollout.faults:
            if not fault.after:
                self.clock.callLater(max(0.0, fault.at - rollout.at), self._begin_fault, fault)
        if rollout.undo_at:
            self.clock.callLater(max(0.0, rollout.undo_at - rollout.at), self._start_controller, "undo")

    def _write_plan(self) -> None:
        for node, address in self.layout.admin_addresses.items():
            self.files.write_new_file(node)
            self._proxies[node] = FaultProxy(self.reactor, address, self.report).listen()
        self.files.write_plan({node: proxy.address for node, proxy in self._proxies.items()})

    def _start_controller(self, command: str) -> Process:
        self._controller_count += 1
        process = self.processes.start(
            f"controller-{self._controller_count}",
            [*self.files.clock_program, CONTROLLER_PROGRAM, command, str(self.files.plan_path)],
            self.environment,
        )
        self.expected_ends.add(process)
        process.ended.addCallback(self._controller_ended, process)
        process.on_line = self._on_controller_line
        process.ready.addErrback(lambda failure: None)  # a controller never says that it is ready
        return process

    def _on_controller_line(self, line: LogLine) -> None:
        event = line.get("event")
        if event == LogEvent.PHASE_CHANGED:
            self._begin_faults_after(line["phase"])
        if event == LogEvent.PROCESS_KILLED:
            # What it kills is gone from the time that it names.
            self._kills.append(_Kill(line["killed_at_s"], line["node"]))
            self.expected_ends.add(self.running[line["node"]])
        elif event in REPORTED_EVENTS:
            self.report(" ".join(f"{name} {value}" for name, value in line.items() if value != ""))

    def _begin_faults_after(self, state: str) -> None:
        due = [fault for fault in self._pending_faults if fault.after == state]
        for fault in due:
            self._pending_faults.remove(fault)
            self.clock.callLater(fault.at, self._begin_fault, fault)

    def _controller_ended(self, exit_code: int, process: Process) -> int:
        if exit_code != -signal.SIGKILL and process is self._controller:
            self._exit_code = exit_code
            self._rollout_ended_at = self.clock.seconds()
            self.report(f"the controller ended with {exit_code}")
            if not self._rollout_ended.called:
                self._rollout_ended.callback(exit_code)
        return exit_code

    def _begin_fault(self, fault: RolloutFaultConfig) -> None:
        self.report(f"{fault.do} {', '.join(fault.whom)}")
        if fault.do == "kill controller":
            self._kill_controller(fault.lasts)
            return
        for name in fault.whom:
            if fault.do == "set clock back":
                process = self._controller if name == CONTROLLER else self.running[name]
                process.signal("USR1")
            elif fault.do == "stall":
                self._proxies[name].stall()
            else:
                self._proxies[name].restore()

    def _kill_controller(self, lasts: float) -> None:
        if self._controller.is_running:
            self._controller.signal("KILL")
            self.clock.callLater(lasts, self._resume)

    def _resume(self) -> None:
        self._controller = self._start_controller("resume")

    # -- the end ----------------------------------------------------------------------------------

    @inlineCallbacks
    def end_processes(self) -> Generator[Deferred, Any, None]:
        """End the nodes, which need not be children of this process: each is asked who runs it."""
        if self._controller is not None and self._controller.is_running:
            self._controller.signal("TERM")  # the scenario was too short for it: no end, so not as stated
        results = yield DeferredList([self._incarnation_of(node) for node in self.layout.admin_addresses])
        incarnations = [incarnation for _, incarnation in results]
        self._revisions = sorted({each.revision for each in incarnations if each.revision})
        children = {process.transport.pid for process in self.processes.running()}
        for incarnation in incarnations:
            if incarnation.process_id and incarnation.process_id not in children:
                os.kill(incarnation.process_id, signal.SIGTERM)
        yield deferLater(self.reactor, END_PAUSE if self.started else 0.0, lambda: None)
        for proxy in self._proxies.values():
            yield proxy.close()
        yield super().end_processes()

    def _incarnation_of(self, node: str) -> Deferred:
        done = self.call(self.layout.admin_addresses[node], SHOW_METHOD, b"")
        done.addCallback(admin_pb2.NodeState.FromString)
        return done.addCallbacks(
            lambda state: _Incarnation(state.pid, f"{state.program}/{state.settings}"),
            lambda failure: _Incarnation(0, ""),
        )

    def verdict(self) -> Verdict:
        """Return rules and figures, with how the rollout ended."""
        self._record_kills()
        verdict = super().verdict()
        expected_end = self._rollout.ends
        end = END_OF_EXIT_CODE.get(self._exit_code)
        verdict["roll"] = {
            "ends": f"exit {self._exit_code}" if end is None else end.value,
            "as_stated": end == expected_end,
            "seconds": round(self._rollout_ended_at - self._rollout_started_at, 1),
            "revisions_at_the_end": len(self._revisions),
            "controllers": self._controller_count,
        }
        if len(self._revisions) > 1 and expected_end != RolloutEnd.STUCK:
            verdict["unclean"].append(f"{len(self._revisions)} revisions are left in the fleet")
        verdict["kept"] = verdict["kept"] and end == expected_end and not verdict["unclean"]
        return verdict

    def _record_kills(self) -> None:
        clock = _SetClock()
        recorder = Recorder("controller", clock, self.folder / "controller.rec")
        for kill in sorted(self._kills):
            clock.now = kill.at
            recorder.note("killed", who=kill.node)
        recorder.close()


def rollout_text(verdict: Verdict) -> str:
    """Return the verdict for people, the rollout's end last."""
    rollout = verdict["roll"]
    stated = "as stated" if rollout["as_stated"] else "NOT AS STATED"
    return (
        f"{verdict_text(verdict)}\nthe roll: {rollout['ends']} after {rollout['seconds']} s, "
        f"{stated}; {rollout['controllers']} controllers, "
        f"{rollout['revisions_at_the_end']} revisions at the end"
    )
