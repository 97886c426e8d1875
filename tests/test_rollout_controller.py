"""The controller against real nodes on an in-memory network and a driven clock, killed at every boundary."""

import os
import subprocess
import sys
import time
from functools import cache
from pathlib import Path
from tempfile import TemporaryDirectory

import numpy as np
import pytest
from fleet import Fleet

from myrtlehub.config.loader import parse_config
from myrtlehub.config.rollout_plan import RolloutPlanConfig
from myrtlehub.log_events import LogEvent
from myrtlehub.node.node import Node
from myrtlehub.rollout.journal_format import decode_journal, encode_line
from myrtlehub.rollout_controller.controller import RolloutController
from myrtlehub.rollout_controller.errors import ExitCode, RolloutError
from myrtlehub.rollout_controller.process_supervisor import ProcessIdentity, ProcessSupervisor

PLAN = """
change: {change}
settings: "{{name}}.yaml"
start: "node {{name}} old {{settings}}"
nodes: [{nodes}]
stages: [{{nodes: 1}}, {{share: 1.0}}]
most_away: 1
measure: 3s
warm: 1s
watch: 3s
block: 1s
look: 500ms
hold: 8s
drain_within: 5s
start_within: 8s
guards: [{{figure: served, worse: 0.5}}, {{figure: rejected, worse: 0.5}}]
"""
PROGRAM = '{program: {was: "node {name} old {settings}", now: "node {name} new {settings}"}}'
SETTINGS = '{settings: {was: "{name}.yaml", now: "{name}.new.yaml"}}'


class KilledError(BaseException):
    """The controller is killed here."""


class InMemorySupervisor(ProcessSupervisor):
    """Processes of the in-memory fleet."""

    def __init__(self, rig: "Rig") -> None:
        self.rig = rig
        self.started: set[int] = set()

    def start_ticks(self, pid: int) -> int:
        """Return that it is not known."""
        return 0

    def is_alive(self, node: int, known: ProcessIdentity | None) -> bool:
        """Whether the fleet has the node."""
        return f"n{node}" in self.rig.f.nodes

    def is_starting(self, node: int, known: ProcessIdentity | None) -> bool:
        """Return False: a node that is started answers at once."""
        return False

    def has_exited(self, node: int) -> bool:
        """Whether the node was started here and is gone."""
        return node in self.started and not self.is_alive(node, None)

    def start(self, node: int, name: str, command: str, generation: str) -> None:
        """Add the node to the fleet."""
        self.started.add(node)
        self.rig.begin(node, command.split()[2], generation)

    def kill(self, node: int, known: ProcessIdentity | None) -> None:
        """Take the node out of the fleet."""
        if self.is_alive(node, known):
            self.rig.gone(node)


class Rig:
    """A fleet with traffic, and a controller that may die. `bad`: what the new program does at its start."""

    def __init__(
        self,
        folder: Path,
        change: str = PROGRAM,
        nodes: int = 3,
        bad: str = "",
        old_bad: str = "",
        plan: str = "",
    ) -> None:
        self.folder, self.bad, self.old_bad = folder, bad, old_bad
        self.f = Fleet("R0 W0 W0", nodes=nodes)
        self.runs, self.asked, self.most_away = 0, 0, 0
        self.said: list[dict] = []
        for i, node in enumerate(self.f.nodes.values()):
            self._at_home(i, node, "old")
            (folder / f"n{i}.yaml").write_text(self.f.text(i))
            then = "max_wait: 2s" if "program" in change else "max_wait: 1s"
            (folder / f"n{i}.new.yaml").write_text(self.f.text(i).replace("max_wait: 2s", then))
        rows = ", ".join(f'{{name: n{i}, admin: "n{i}:2", zone: z}}' for i in range(nodes))
        self.text = PLAN.format(change=change, nodes=rows) + plan
        self.controller: RolloutController | None = None
        self.dead = False
        self.codes: list = []

    def _at_home(self, i: int, node: Node, program: str) -> None:
        node.program = program
        node.on_leave = lambda: (
            node.is_draining
            or node.drain().addCallback(lambda none: self.f.nodes.get(f"n{i}") is node and self.gone(i))
        )

    def gone(self, i: int) -> None:
        self.f.kill(f"n{i}")
        self.most_away = max(self.most_away, len(self.f.channels) - len(self.f.nodes))

    def begin(self, i: int, program: str, generation: str) -> None:
        assert f"n{i}" not in self.f.nodes, "a second process beside the first"
        bad = self.bad if program == "new" else self.old_bad
        if bad == "exits":
            return
        self.runs += 1
        node = self.f.node(i, run=f"b{self.runs}")
        self.f.nodes[f"n{i}"] = node
        self._at_home(i, node, program)
        number, _, controller = generation.partition(" ")
        node.admin_service.orders.validator.generation, node.admin_service.orders.validator.controller = (
            int(number),
            controller,
        )
        if bad == "never ready":
            node.front.is_closed = True

    def control(self, again: bool = False, die_at: int = 0, undo: bool = False) -> None:
        """Start a controller; it is killed at its boundary of this number, from 1."""
        steps = [0]

        self.dead = False

        def step(name: str) -> None:
            steps[0] += 1
            if steps[0] == die_at:
                self.dead = True
            if self.dead:
                raise KilledError(name)

        sheet = parse_config(self.text, RolloutPlanConfig)
        self.steps = steps
        self.controller = RolloutController(
            sheet,
            self.text,
            self.folder,
            self.f.clock,
            lambda address: self.f.net.dialer(address, "operator"),
            lambda event, **more: self.said.append({"event": event, **more}),
            step,
            InMemorySupervisor(self),
        )
        self.controller.run(again, undo).addBoth(self.codes.append)

    def bury(self) -> None:
        """The controller was killed: nothing of it happens any more, and its lock is free."""
        self.controller.abandon()
        self.dead = False
        self.codes = []
        for tracked in self.controller.nodes:
            tracked.client.close()
        self.controller.journal.close()

    def run_some(self) -> None:
        """One more sequence, and a fifth of a second."""
        name = f"n{self.asked % len(self.f.channels)}"
        self.asked += 1
        if name in self.f.nodes:
            self.f.ask("ask", prompt=300, node=name, output=4)
        self.f.run(0.2)

    def run(self, seconds: float = 150.0) -> int:
        """Until the controller ends; its exit code."""
        until = self.f.clock.seconds() + seconds
        while not self.codes and not self.dead and self.f.clock.seconds() < until:
            self.run_some()
        if self.dead:
            raise KilledError
        assert self.codes, f"no end after {seconds} s: {self.controller.state}"
        return self.codes[-1]

    def programs(self) -> list[str]:
        return [n.program for _, n in sorted(self.f.nodes.items())]

    def waits(self) -> list[float]:
        return [n.sheet.node.max_wait for _, n in sorted(self.f.nodes.items())]


def test_an_equal_program_is_kept_by_all_one_at_a_time(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.control()
    assert rig.run() == 0 and rig.programs() == ["new"] * 3 and rig.most_away == 1
    assert not [
        c for c in rig.f.calls if c.answer in ("aborted", "") and not (c.status and c.status.unprocessed)
    ][:-20]
    with pytest.raises(RolloutError, match="is there already; hub-rollout resume"):
        rig.control()
    with pytest.raises(RolloutError, match="the change is over: kept"):
        rig.control(again=True)
    text = rig.text.replace("most_away: 1", "most_away: 2")
    rig.text, whole = text, rig.text
    with pytest.raises(RolloutError, match="was written for another plan"):
        rig.control(again=True)
    rig.text = whole


def test_settings_are_changed_in_place_and_undone_the_same_way(tmp_path: Path) -> None:
    rig = Rig(tmp_path, SETTINGS)
    rig.control()
    assert rig.run() == 0 and rig.waits() == [1.0] * 3 and rig.programs() == ["old"] * 3 and not rig.runs
    rig.codes.clear()
    rig.control(again=True, undo=True)
    assert rig.run() == 1 and rig.waits() == [2.0] * 3 and not rig.runs


@pytest.mark.parametrize(("bad", "why"), [("exits", "quit"), ("never ready", "overdue")])
def test_a_program_that_does_not_come_up_is_undone_at_once(tmp_path: Path, bad: str, why: str) -> None:
    rig = Rig(tmp_path, bad=bad)
    rig.control()
    assert rig.run() == 1 and rig.programs() == ["old"] * 3 and rig.most_away == 1
    change = next(s for s in rig.said if s["event"] == LogEvent.PHASE_CHANGED and s["phase"] == "undoing")
    assert change["stage"] == 1 and any(
        s["event"] == LogEvent.NODE_STATE_CHANGED and s["cause"] == why for s in rig.said
    )


def test_settings_that_are_valid_and_bad_are_refused_by_the_first_node(tmp_path: Path) -> None:
    rig = Rig(tmp_path, SETTINGS)
    for i in range(3):
        path = tmp_path / f"n{i}.new.yaml"
        path.write_text(path.read_text().replace("name: writer, writes: yes", "name: writer, reads: yes"))
    rig.control()
    assert rig.run() == 1 and rig.waits() == [2.0] * 3
    assert "could end a sequence" in next(
        s["reason"] for s in rig.said if s["event"] == LogEvent.NODE_CALL_REJECTED
    )


def test_an_old_program_that_does_not_start_any_more_leaves_it_stuck_and_told(tmp_path: Path) -> None:
    rig = Rig(tmp_path, bad="never ready", old_bad="exits")
    rig.control()
    assert rig.run() == 3 and any(
        s["event"] == LogEvent.OPERATOR_NEEDED and s["node"] == "n0" for s in rig.said
    )
    rig.old_bad = ""  # somebody mended it
    rig.codes.clear()
    rig.control(again=True, undo=True)
    assert rig.run() == 1 and rig.programs() == ["old"] * 3


CHANGES = pytest.mark.parametrize("change", [SETTINGS, PROGRAM], ids=["settings", "program"])
SLICES = 12  # of the boundaries, so that they can run in parallel
BEYOND_THE_END = 4  # boundaries from this one on are behind the end of the change


@cache
def boundary_count(change: str) -> int:
    """Count the boundaries of a rollout that nobody kills: before and after each write, sync and action."""
    with TemporaryDirectory() as folder:
        rig = Rig(Path(folder), change)
        rig.control()
        assert rig.run() == 0
    return rig.steps[0]


def boundaries_of(change: str, part: int) -> range:
    """Return every twelfth boundary, from the one of this number on."""
    return range(1 + part, boundary_count(change) - BEYOND_THE_END + 1, SLICES)


@CHANGES
def test_the_slices_have_each_boundary_once(change: str) -> None:
    boundaries = boundary_count(change)
    assert boundaries > 60
    covered = [boundary for part in range(SLICES) for boundary in boundaries_of(change, part)]
    assert sorted(covered) == list(range(1, boundaries - 3))


@CHANGES
@pytest.mark.parametrize("part", range(SLICES))
def test_a_controller_killed_at_any_boundary_is_resumed_to_the_same_end(
    tmp_path: Path, change: str, part: int
) -> None:
    """Every boundary: before and after each write, sync and action. Nothing happens twice with harm."""
    for die_at in boundaries_of(change, part):
        folder = tmp_path / str(die_at)
        folder.mkdir()
        rig = Rig(folder, change)
        died = False
        try:
            rig.control(die_at=die_at)
            rig.run()
        except KilledError:
            died = True
        assert died, die_at
        rig.bury()
        journal = folder / "roll.journal"
        whole = journal.read_bytes() if journal.exists() else b""
        rig.control(again=bool(whole))
        assert rig.run() == 0, (die_at, rig.controller.state)
        changed = rig.waits() if change == SETTINGS else rig.programs()
        assert changed == ([1.0] * 3 if change == SETTINGS else ["new"] * 3), die_at
        assert rig.most_away <= 1 and rig.runs == (0 if change == SETTINGS else 3), die_at
        entries = decode_journal(journal.read_bytes()).entries
        assert sum(e.event in ("pass", "last") for e in entries) == 2


def test_of_two_controllers_the_older_one_does_nothing_more(tmp_path: Path) -> None:
    rig = Rig(tmp_path, plan="journal: one.journal\n")
    rig.control()
    first = rig.controller
    while first.state.phase != "watching":
        rig.run_some()
    with pytest.raises(RolloutError, match="another controller is at work"):
        rig.control(again=True)
    other = Rig.__new__(Rig)
    text = rig.text.replace("one.journal", "two.journal")
    other.__dict__.update(rig.__dict__, codes=[], said=[], text=text)
    (tmp_path / "two.journal").write_bytes((tmp_path / "one.journal").read_bytes())  # on another machine
    sheet = parse_config(other.text, RolloutPlanConfig)
    second = RolloutController(
        sheet,
        rig.text,
        tmp_path,
        rig.f.clock,
        lambda a: rig.f.net.dialer(a, "operator"),
        lambda event, **more: other.said.append({"event": event, **more}),
        supervisor=InMemorySupervisor(rig),
    )
    second.run(resume=True).addBoth(other.codes.append)
    code = rig.run()
    assert code == ExitCode.SUPERSEDED and "does nothing more" in first.reason
    rig.codes = other.codes
    assert rig.run() == 0 and rig.programs() == ["new"] * 3


def test_a_node_that_the_controller_cannot_reach_is_left_alone_until_it_can(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.control()
    while rig.controller.state.nodes[0] != "watched":
        rig.run_some()
    kept = rig.f.net.hosts["n0:2"]
    rig.f.net.kill("n0:2")
    runs, node = rig.runs, rig.f.nodes["n0"]
    for _ in range(100):  # longer than a stage may be held amid trouble
        rig.run_some()
    assert rig.runs == runs and rig.f.nodes["n0"] is node and rig.controller.nodes[0].is_unreachable
    assert rig.controller.state.phase == "holding" and "no contact with n0" in str(rig.said)
    rig.f.net.listen("n0:2", kept)
    assert rig.run() == 0 and rig.programs() == ["new"] * 3


def test_the_only_changed_node_killed_by_something_else_is_held_and_not_undone(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.control()
    while rig.controller.state.nodes[0] != "watched":
        rig.run_some()
    rig.gone(0)
    assert rig.run() == 0 and rig.programs() == ["new"] * 3
    assert any(s["event"] == LogEvent.PHASE_CHANGED and s["phase"] == "holding" for s in rig.said)


def test_a_resumed_controller_knows_the_time_before_the_change(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.control()
    while rig.controller.state.phase != "watching":
        rig.run_some()
    before = rig.controller.record.analysis
    rig.bury()
    rig.control(again=True)
    after = rig.controller.record.analysis
    assert before.disturbance.baseline_served
    assert after.disturbance.baseline_served == before.disturbance.baseline_served
    for key, tally in after.tallies.items():
        old = before.tallies[key].sums["pre_weight"]
        assert np.allclose(tally.sums["pre_weight"], old) and old.any()
    assert rig.run() == 0 and rig.programs() == ["new"] * 3
    entries = decode_journal((tmp_path / "roll.journal").read_bytes()).entries
    assert [e.event for e in entries if "judged" in e.details] == ["measured", "pass", "last"]


def test_figures_of_another_fleet_in_the_journal_only_widen_the_bounds(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.control()
    while rig.controller.state.phase != "watching":
        rig.run_some()
    rig.bury()
    path = tmp_path / "roll.journal"
    header, entries, _ = decode_journal(path.read_bytes())
    for entry in entries:
        if "judged" in entry.details:
            entry.details["judged"]["tallies"] = {}
    path.write_bytes(b"".join(map(encode_line, [header, *entries])))
    rig.control(again=True)
    assert any(s["event"] == LogEvent.SAMPLES_UNUSABLE for s in rig.said)
    assert rig.run() == 0 and rig.programs() == ["new"] * 3


def test_a_process_is_known_by_when_it_began_and_not_by_a_clock_that_is_set(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    supervisor = ProcessSupervisor(tmp_path)
    with subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) as process:
        known = ProcessIdentity(process.pid, supervisor.start_ticks(process.pid))
        assert known.start_ticks > 0 and supervisor.is_alive(0, known)
        now = time.time()
        monkeypatch.setattr(time, "time", lambda: now - 3600.0)
        assert supervisor.is_alive(0, known)  # by the wall clock it has not been begun yet
        earlier = known._replace(start_ticks=known.start_ticks - 1)
        assert not supervisor.is_alive(0, earlier)  # another process, which got its number
        process.kill()
        process.wait()
        assert not supervisor.is_alive(0, known) and supervisor.start_ticks(process.pid) == 0


def test_a_full_disk_stops_the_controller_and_nothing_follows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path)
    rig.control()
    while rig.controller.state.phase != "watching":
        rig.run_some()
    state, runs = rig.controller.state, rig.runs
    write = os.write

    def full(file: int, data: bytes) -> int:
        if file == rig.controller.journal._file:
            raise OSError(28, "No space left on device")
        return write(file, data)

    monkeypatch.setattr(os, "write", full)
    assert rig.run() == ExitCode.JOURNAL_NOT_WRITABLE and "No space left" in rig.controller.reason
    assert rig.controller.state == state and rig.runs == runs
    monkeypatch.setattr(os, "write", write)
    rig.codes.clear()
    rig.control(again=True)
    assert rig.run() == 0 and rig.programs() == ["new"] * 3


def test_an_undo_amid_a_stage_takes_back_all_and_starts_nothing_else(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.control()
    while rig.controller.state.stage < 1 or "starting" not in rig.controller.state.nodes:
        rig.run_some()
    Path(f"{rig.controller.journal.path}.undo").touch()
    assert rig.run() == 1 and rig.programs() == ["old"] * 3 and rig.most_away == 1
    assert "the operator asked for it" in str(rig.said)


@pytest.mark.parametrize(
    ("was", "now", "said"),
    [
        ("{nodes: 1}, {share: 1.0}", "{nodes: 2}, {nodes: 2}", "stages have to grow"),
        ("most_away: 1", "most_away: 3", "at least one of the 3 nodes has to stay"),
        ('settings: "{name}.yaml"', 'settings: "{nme}.yaml"', "{nme} is not known"),
        ("watch: 3s", "watch: 2s", "three blocks or more"),
        ("name: n1", "name: n0", "name n0 stands more than once"),
    ],
)
def test_a_plan_that_cannot_be_carried_out_is_refused(tmp_path: Path, was: str, now: str, said: str) -> None:
    rig = Rig(tmp_path)
    assert was in rig.text
    rig.text = rig.text.replace(was, now)
    with pytest.raises(Exception, match=said):
        rig.control()


def test_a_fleet_of_two_revisions_is_not_begun_with(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.f.nodes["n2"].program = "third"
    rig.control()
    assert rig.run() == 2 and "more than one revision already" in rig.controller.reason
