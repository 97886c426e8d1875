"""A day amid which the program or the settings of all nodes are changed in stages, by `hub-rollout`."""

import json
import os
import signal
import sys
from collections.abc import Iterator
from pathlib import Path

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks, returnValue
from twisted.internet.task import deferLater

from myrtlehub.lab.day import Day, as_text
from myrtlehub.lab.fault_proxy import FaultProxy
from myrtlehub.lab.processes import Process
from myrtlehub.lab.scenario import RollFault
from myrtlehub.proto import admin_pb2
from myrtlehub.records import Recorder

FOLDER = "HUB_VARIANT_FOLDER"  # variable: where variants of a program leave word for one another
NODES = "HUB_VARIANT_NODES"  # variable: how many nodes the fleet has
ENDS = {"kept": 0, "undone": 1, "stuck": 3}  # exit codes of hub-rollout


class RollingDay(Day):
    """One day with a roll. The controller reaches each node by a fault proxy; clients do so directly."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)
        roll = self.roll = self.s.roll
        self.stepped = ["myrtlehub.cli.stepped_clock"] if roll.sets_clocks else []
        self.node_program = self.stepped + (
            ["myrtlehub.cli.faulty_node", roll.was] if roll.was else ["myrtlehub.cli.node"]
        )
        self.env = {FOLDER: str(self.folder), NODES: str(len(self.admin))}
        self.proxies: dict[str, FaultProxy] = {}
        self.controller: Process | None = None
        self.ended: Deferred = Deferred()
        self.roll_code: int | None = None
        self.began_at = self.over_at = 0.0
        self.controllers = 0
        self.pending: list[RollFault] = []  # that wait for a word of the controller
        self.kills: list[tuple[float, str]] = []
        self.revisions: list[str] = []

    # -- files ------------------------------------------------------------------------------------

    def _node_file(self, name: str) -> dict:
        tree = super()._node_file(name)
        tree["node"]["drain_within"] = "3s"
        return tree

    def _new_file(self, name: str) -> dict:
        tree = self._node_file(name)
        for field, value in self.roll.settings.items():
            group = tree
            *path, last = field.split(".")
            for part in path:
                group = group.setdefault(part, {})
            group[last] = json.loads(json.dumps(value))  # plain, whatever reader it came by
        return tree

    def _command(self, kind: str) -> str:
        program = ["myrtlehub.cli.faulty_node", kind] if kind else ["myrtlehub.cli.node"]
        return " ".join([sys.executable, "-m", *self.stepped, *program, "{settings}"])

    def _plan(self) -> Path:
        roll = self.roll
        for name in self.admin:
            self._write(f"{name}.new", self._new_file(name))
            self.proxies[name] = FaultProxy(self.reactor, self.admin[name], self.say).listen()
        change = (
            {"program": {"was": self._command(roll.was), "now": self._command(roll.now)}}
            if roll.now
            else {"settings": {"was": "{name}.yaml", "now": "{name}.new.yaml"}}
        )
        tree = {
            "change": change,
            "settings": "{name}.yaml",
            "start": self._command(roll.was),
            "nodes": [
                {"name": n, "admin": self.proxies[n].address, "zone": "north"} for n in sorted(self.admin)
            ],
            "stages": [{"nodes" if isinstance(s, int) else "share": s} for s in roll.stages],
            **roll.plan,
        }
        path = self.folder / "roll.yaml"
        path.write_text(json.dumps(tree))  # which is YAML, and takes numbers of any reader's kind
        return path

    # -- the list: a process that the controller began is told like any other ----------------------

    def news(self, engine: str, state: str, started: float = 0.0) -> None:
        super().news(engine, state, started)
        for name in self.admin:  # whoever begins anew reads it from its file
            self._write(name, self._node_file(name))
            if self.proxies:
                self._write(f"{name}.new", self._new_file(name))

    def _runs(self, node: str) -> bool:
        return True

    # -- the roll ---------------------------------------------------------------------------------

    def _spawn_controller(self, *words: str) -> Process:
        self.controllers += 1
        process = self.processes.start(
            f"controller-{self.controllers}",
            [*self.stepped, "myrtlehub.cli.rollout", *words, str(self.folder / "roll.yaml")],
            self.env,
        )
        self.expected_dead.add(process)
        process.ended.addCallback(self._controller_ended, process)
        process.on_line = self._heard
        process.ready.addErrback(lambda failure: None)  # it says how it goes on, and never that it is ready
        return process

    def _heard(self, said: dict) -> None:
        """What the controller says: what it kills is gone from the moment that it names."""
        for fault in [f for f in self.pending if said.get("event") == "change" and f.after == said["now"]]:
            self.pending.remove(fault)
            self.clock.callLater(fault.at, self._roll_fault, fault)
        if said.get("event") == "kill":
            self.kills.append((said["at"], said["node"]))
            self.expected_dead.add(self.running[said["node"]])
        elif said.get("event") in ("change", "tell", "refused", "fault", "end"):
            self.say(" ".join(f"{k} {v}" for k, v in said.items() if v != ""))

    def _controller_ended(self, code: int, process: Process) -> int:
        if code != -signal.SIGKILL and process is self.controller:
            self.roll_code, self.over_at = code, self.clock.seconds()
            self.say(f"the controller ended with {code}")
            if not self.ended.called:
                self.ended.callback(code)
        return code

    def begin_roll(self) -> None:
        """Start the controller, and what goes wrong with it."""
        self._plan()
        self.began_at = self.clock.seconds()
        self.controller = self._spawn_controller("run")
        self.pending = [f for f in self.roll.faults if f.after]
        for fault in self.roll.faults:
            if not fault.after:
                self.clock.callLater(max(0.0, fault.at - self.roll.at), self._roll_fault, fault)
        if self.roll.undo_at:
            self.clock.callLater(max(0.0, self.roll.undo_at - self.roll.at), self._spawn_controller, "undo")

    def _roll_fault(self, fault: RollFault) -> None:
        self.say(f"{fault.do} {', '.join(fault.whom)}")
        if fault.do == "kill controller":
            if self.controller.running:
                self.controller.signal("KILL")
                self.clock.callLater(fault.lasts, self._resume)
            return
        if fault.do == "set clock back":
            for name in fault.whom:
                (self.controller if name == "controller" else self.running[name]).signal("USR1")
            return
        for name in fault.whom:
            (self.proxies[name].stall if fault.do == "stall" else self.proxies[name].restore)()

    def _resume(self) -> None:
        self.controller = self._spawn_controller("resume")

    # -- the day ----------------------------------------------------------------------------------

    def begun(self) -> None:
        super().begun()
        self.clock.callLater(self.roll.at, self.begin_roll)

    def until_over(self) -> Deferred:
        """Until a moment after the roll has ended, however long that takes, or the day is over."""
        return DeferredList([super().until_over(), self.ended], fireOnOneCallback=True)

    @inlineCallbacks
    def _end(self) -> Iterator:
        """Whoever runs a node now need not be a child of ours: each says its process and is told to end."""
        if self.controller is not None and self.controller.running:
            self.controller.signal("TERM")  # the day was too short for it: no end, and so not as stated
        pids = yield DeferredList([self._pid(n) for n in self.admin])
        self.revisions = sorted({revision for _, (_, revision) in pids if revision})
        mine = {p.transport.pid for p in self.processes.alive() if p.transport.pid}
        for _, (pid, _) in pids:
            if pid and pid not in mine:
                os.kill(pid, signal.SIGTERM)
        yield deferLater(self.reactor, 0.5 if self.started else 0.0, lambda: None)
        for proxy in self.proxies.values():
            yield proxy.close()
        result = yield super()._end()
        returnValue(result)

    _at = 0.0

    def seconds(self) -> float:
        """The moment of the kill that is being recorded."""
        return self._at

    def _pid(self, node: str) -> Deferred:
        done = self._channel(self.admin[node]).unary("/myrtlehub.v1.NodeAdmin/Show", b"", timeout=2.0)
        done.addCallback(admin_pb2.NodeState.FromString)
        return done.addCallbacks(lambda s: (s.pid, f"{s.program}/{s.settings}"), lambda failure: (0, ""))

    def verdict(self) -> dict:
        kills = Recorder("controller", self, self.folder / "controller.rec")
        for at, node in sorted(self.kills):
            self._at = at
            kills.note("killed", who=node)
        kills.close()
        verdict = super().verdict()
        as_stated = self.roll_code == ENDS[self.roll.ends]
        verdict["roll"] = {
            "ends": {v: k for k, v in ENDS.items()}.get(self.roll_code, f"exit {self.roll_code}"),
            "as_stated": as_stated,
            "seconds": round(self.over_at - self.began_at, 1),
            "revisions_at_the_end": len(self.revisions),
            "controllers": self.controllers,
        }
        if len(self.revisions) > 1 and self.roll.ends != "stuck":
            verdict["unclean"].append(f"{len(self.revisions)} revisions are left in the fleet")
        verdict["kept"] = verdict["kept"] and as_stated and not verdict["unclean"]
        return verdict


def rolling_as_text(verdict: dict) -> str:
    """The verdict for people, the roll's last."""
    r = verdict["roll"]
    return (
        f"{as_text(verdict)}\nthe roll: {r['ends']} after {r['seconds']} s, "
        f"{'as stated' if r['as_stated'] else 'NOT AS STATED'}; {r['controllers']} controllers, "
        f"{r['revisions_at_the_end']} revisions at the end"
    )
