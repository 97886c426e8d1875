"""The controller with real nodes on an in-memory network and a test clock, killed at every boundary."""

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
    """Kills the controller at a boundary."""


class InMemorySupervisor(ProcessSupervisor):
    """Processes of the in-memory fleet."""

    def __init__(self, rig: "Rig") -> None:
        self.rig = rig
        self.started: set[int] = set()

    def start_ticks(self, pid: int) -> int:
        """Return 0: the start time is unknown."""
        return 0

    def is_alive(self, node: int, known: ProcessIdentity | None) -> bool:
        """Return whether the fleet has the node."""
        return f"n{node}" in self.rig.fleet.nodes

    def is_starting(self, node: int, known: ProcessIdentity | None) -> bool:
        """Return False: a node that is started answers at once."""
        return False

    def has_exited(self, node: int) -> bool:
        """Return whether the node was started here and has exited."""
        return node in self.started and not self.is_alive(node, None)

    def start(self, node: int, name: str, command: str, generation: str) -> None:
        """Add the node to the fleet."""
        self.started.add(node)
        self.rig.start_node(node, command.split()[2], generation)

    def kill(self, node: int, known: ProcessIdentity | None) -> None:
        """Remove the node from the fleet."""
        if self.is_alive(node, known):
            self.rig.remove_node(node)


class Rig:
    """A fleet with traffic and a controller that may be killed. Faults are "exits" or "never ready"."""

    def __init__(
        self,
        folder: Path,
        change: str = PROGRAM,
        nodes: int = 3,
        new_fault: str = "",
        old_fault: str = "",
        more_plan: str = "",
    ) -> None:
        self.folder, self.new_fault, self.old_fault = folder, new_fault, old_fault
        self.fleet = Fleet("R0 W0 W0", nodes=nodes)
        self.start_count, self.request_count, self.max_unavailable = 0, 0, 0
        self.events: list[dict] = []
        for i, node in enumerate(self.fleet.nodes.values()):
            self._attach(i, node, "old")
            (folder / f"n{i}.yaml").write_text(self.fleet.settings_text(i))
            then = "max_wait: 2s" if "program" in change else "max_wait: 1s"
            (folder / f"n{i}.new.yaml").write_text(self.fleet.settings_text(i).replace("max_wait: 2s", then))
        rows = ", ".join(f'{{name: n{i}, admin: "n{i}:2", zone: z}}' for i in range(nodes))
        self.text = PLAN.format(change=change, nodes=rows) + more_plan
        self.controller: RolloutController | None = None
        self.is_killed = False
        self.exit_codes: list = []

    def _attach(self, index: int, node: Node, program: str) -> None:
        node.program_digest = program
        node.on_drain_requested = lambda: (
            node.is_draining
            or node.drain().addCallback(
                lambda none: self.fleet.nodes.get(f"n{index}") is node and self.remove_node(index)
            )
        )

    def remove_node(self, index: int) -> None:
        self.fleet.kill(f"n{index}")
        self.max_unavailable = max(self.max_unavailable, len(self.fleet.channels) - len(self.fleet.nodes))

    def start_node(self, index: int, program: str, generation: str) -> None:
        assert f"n{index}" not in self.fleet.nodes, "a second process beside the first"
        fault = self.new_fault if program == "new" else self.old_fault
        if fault == "exits":
            return
        self.start_count += 1
        node = self.fleet.start_node(index, run=f"b{self.start_count}")
        self.fleet.nodes[f"n{index}"] = node
        self._attach(index, node, program)
        number, _, controller = generation.partition(" ")
        node.admin_service.orders.validator.generation, node.admin_service.orders.validator.controller = (
            int(number),
            controller,
        )
        if fault == "never ready":
            node.front.is_closed = True

    def start_controller(self, resume: bool = False, kill_at: int = 0, roll_back: bool = False) -> None:
        """Start a controller; it is killed at the boundary with number `kill_at`, counted from 1."""
        boundaries_reached = [0]
        self.is_killed = False

        def on_boundary(name: str) -> None:
            boundaries_reached[0] += 1
            if boundaries_reached[0] == kill_at:
                self.is_killed = True
            if self.is_killed:
                raise KilledError(name)

        plan = parse_config(self.text, RolloutPlanConfig)
        self.boundaries_reached = boundaries_reached
        self.controller = RolloutController(
            plan,
            self.text,
            self.folder,
            self.fleet.clock,
            lambda address: self.fleet.net.dialer(address, "operator"),
            lambda event, **fields: self.events.append({"event": event, **fields}),
            on_boundary,
            InMemorySupervisor(self),
        )
        self.controller.run(resume, roll_back).addBoth(self.exit_codes.append)

    def release_killed_controller(self) -> None:
        """Stop the callbacks of a killed controller and release its lock."""
        self.controller.abandon()
        self.is_killed = False
        self.exit_codes = []
        for tracked in self.controller.nodes:
            tracked.client.close()
        self.controller.journal.close()

    def advance(self) -> None:
        """Send one more request and advance the clock by a fifth of a second."""
        name = f"n{self.request_count % len(self.fleet.channels)}"
        self.request_count += 1
        if name in self.fleet.nodes:
            self.fleet.generate("ask", prompt=300, node=name, output=4)
        self.fleet.run(0.2)

    def run(self, seconds: float = 150.0) -> int:
        """Run until the controller ends, and return its exit code."""
        until = self.fleet.clock.seconds() + seconds
        while not self.exit_codes and not self.is_killed and self.fleet.clock.seconds() < until:
            self.advance()
        if self.is_killed:
            raise KilledError
        assert self.exit_codes, f"no end after {seconds} s: {self.controller.state}"
        return self.exit_codes[-1]

    def programs(self) -> list[str]:
        return [node.program_digest for _, node in sorted(self.fleet.nodes.items())]

    def max_waits(self) -> list[float]:
        return [node.settings.node.max_wait for _, node in sorted(self.fleet.nodes.items())]


def test_an_equal_program_is_committed_one_node_at_a_time(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.start_controller()
    assert rig.run() == 0 and rig.programs() == ["new"] * 3 and rig.max_unavailable == 1
    assert not [
        call
        for call in rig.fleet.calls
        if call.answer in ("aborted", "") and not (call.status and call.status.unprocessed)
    ][:-20]
    with pytest.raises(RolloutError, match="is there already; hub-rollout resume"):
        rig.start_controller()
    with pytest.raises(RolloutError, match="the change is over: kept"):
        rig.start_controller(resume=True)
    text = rig.text.replace("most_away: 1", "most_away: 2")
    rig.text, whole = text, rig.text
    with pytest.raises(RolloutError, match="was written for another plan"):
        rig.start_controller(resume=True)
    rig.text = whole


def test_settings_are_changed_in_place_and_rolled_back_in_place(tmp_path: Path) -> None:
    rig = Rig(tmp_path, SETTINGS)
    rig.start_controller()
    assert (
        rig.run() == 0
        and rig.max_waits() == [1.0] * 3
        and rig.programs() == ["old"] * 3
        and not rig.start_count
    )
    rig.exit_codes.clear()
    rig.start_controller(resume=True, roll_back=True)
    assert rig.run() == 1 and rig.max_waits() == [2.0] * 3 and not rig.start_count


@pytest.mark.parametrize(("fault", "cause"), [("exits", "quit"), ("never ready", "overdue")])
def test_a_program_that_does_not_start_is_rolled_back_at_once(tmp_path: Path, fault: str, cause: str) -> None:
    rig = Rig(tmp_path, new_fault=fault)
    rig.start_controller()
    assert rig.run() == 1 and rig.programs() == ["old"] * 3 and rig.max_unavailable == 1
    change = next(
        event
        for event in rig.events
        if event["event"] == LogEvent.PHASE_CHANGED and event["phase"] == "undoing"
    )
    assert change["stage"] == 1 and any(
        event["event"] == LogEvent.NODE_STATE_CHANGED and event["cause"] == cause for event in rig.events
    )


def test_settings_without_a_writer_are_rejected_by_the_first_node(tmp_path: Path) -> None:
    rig = Rig(tmp_path, SETTINGS)
    for i in range(3):
        path = tmp_path / f"n{i}.new.yaml"
        path.write_text(path.read_text().replace("name: writer, writes: yes", "name: writer, reads: yes"))
    rig.start_controller()
    assert rig.run() == 1 and rig.max_waits() == [2.0] * 3
    assert "could end a sequence" in next(
        event["reason"] for event in rig.events if event["event"] == LogEvent.NODE_CALL_REJECTED
    )


def test_an_old_program_that_does_not_start_leaves_the_node_stuck_and_reported(tmp_path: Path) -> None:
    rig = Rig(tmp_path, new_fault="never ready", old_fault="exits")
    rig.start_controller()
    assert rig.run() == 3 and any(
        event["event"] == LogEvent.OPERATOR_NEEDED and event["node"] == "n0" for event in rig.events
    )
    rig.old_fault = ""  # an operator repaired it
    rig.exit_codes.clear()
    rig.start_controller(resume=True, roll_back=True)
    assert rig.run() == 1 and rig.programs() == ["old"] * 3


CHANGES = pytest.mark.parametrize("change", [SETTINGS, PROGRAM], ids=["settings", "program"])
SLICES = 12  # of the boundaries, so that they can run in parallel
BEYOND_THE_END = 4  # boundaries after the end of the rollout


@cache
def boundary_count(change: str) -> int:
    """Count the boundaries of an undisturbed rollout: before and after each write, sync and action."""
    with TemporaryDirectory() as folder:
        rig = Rig(Path(folder), change)
        rig.start_controller()
        assert rig.run() == 0
    return rig.boundaries_reached[0]


def boundaries_of(change: str, part: int) -> range:
    """Return every twelfth boundary, beginning with number `part` + 1."""
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
    """Boundaries are before and after each write, sync and action; repeated actions do no harm."""
    for kill_at in boundaries_of(change, part):
        folder = tmp_path / str(kill_at)
        folder.mkdir()
        rig = Rig(folder, change)
        was_killed = False
        try:
            rig.start_controller(kill_at=kill_at)
            rig.run()
        except KilledError:
            was_killed = True
        assert was_killed, kill_at
        rig.release_killed_controller()
        journal = folder / "roll.journal"
        whole = journal.read_bytes() if journal.exists() else b""
        rig.start_controller(resume=bool(whole))
        assert rig.run() == 0, (kill_at, rig.controller.state)
        changed = rig.max_waits() if change == SETTINGS else rig.programs()
        assert changed == ([1.0] * 3 if change == SETTINGS else ["new"] * 3), kill_at
        assert rig.max_unavailable <= 1 and rig.start_count == (0 if change == SETTINGS else 3), kill_at
        entries = decode_journal(journal.read_bytes()).entries
        assert sum(entry.event in ("pass", "last") for entry in entries) == 2


def test_of_two_controllers_the_superseded_one_stops(tmp_path: Path) -> None:
    rig = Rig(tmp_path, more_plan="journal: one.journal\n")
    rig.start_controller()
    first = rig.controller
    while first.state.phase != "watching":
        rig.advance()
    with pytest.raises(RolloutError, match="another controller is at work"):
        rig.start_controller(resume=True)
    other = Rig.__new__(Rig)
    text = rig.text.replace("one.journal", "two.journal")
    other.__dict__.update(rig.__dict__, exit_codes=[], events=[], text=text)
    (tmp_path / "two.journal").write_bytes((tmp_path / "one.journal").read_bytes())  # on another machine
    plan = parse_config(other.text, RolloutPlanConfig)
    second = RolloutController(
        plan,
        rig.text,
        tmp_path,
        rig.fleet.clock,
        lambda address: rig.fleet.net.dialer(address, "operator"),
        lambda event, **fields: other.events.append({"event": event, **fields}),
        supervisor=InMemorySupervisor(rig),
    )
    second.run(resume=True).addBoth(other.exit_codes.append)
    code = rig.run()
    assert code == ExitCode.SUPERSEDED and "does nothing more" in first.reason
    rig.exit_codes = other.exit_codes
    assert rig.run() == 0 and rig.programs() == ["new"] * 3


def test_an_unreachable_node_is_left_unchanged_until_it_is_reachable(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.start_controller()
    while rig.controller.state.nodes[0] != "watched":
        rig.advance()
    kept = rig.fleet.net.hosts["n0:2"]
    rig.fleet.net.kill("n0:2")
    start_count, node = rig.start_count, rig.fleet.nodes["n0"]
    for _ in range(100):  # longer than a disturbance may hold a stage
        rig.advance()
    assert (
        rig.start_count == start_count
        and rig.fleet.nodes["n0"] is node
        and rig.controller.nodes[0].is_unreachable
    )
    assert rig.controller.state.phase == "holding" and "no contact with n0" in str(rig.events)
    rig.fleet.net.listen("n0:2", kept)
    assert rig.run() == 0 and rig.programs() == ["new"] * 3


def test_a_killed_changed_node_puts_the_stage_on_hold_and_is_not_rolled_back(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.start_controller()
    while rig.controller.state.nodes[0] != "watched":
        rig.advance()
    rig.remove_node(0)
    assert rig.run() == 0 and rig.programs() == ["new"] * 3
    assert any(
        event["event"] == LogEvent.PHASE_CHANGED and event["phase"] == "holding" for event in rig.events
    )


def test_a_resumed_controller_knows_the_time_before_the_change(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.start_controller()
    while rig.controller.state.phase != "watching":
        rig.advance()
    before = rig.controller.record.analysis
    rig.release_killed_controller()
    rig.start_controller(resume=True)
    after = rig.controller.record.analysis
    assert before.disturbance.baseline_served
    assert after.disturbance.baseline_served == before.disturbance.baseline_served
    for key, tally in after.tallies.items():
        old = before.tallies[key].sums["pre_weight"]
        assert np.allclose(tally.sums["pre_weight"], old) and old.any()
    assert rig.run() == 0 and rig.programs() == ["new"] * 3
    entries = decode_journal((tmp_path / "roll.journal").read_bytes()).entries
    assert [entry.event for entry in entries if "judged" in entry.details] == ["measured", "pass", "last"]


def test_a_stored_analysis_of_another_fleet_only_widens_the_bounds(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.start_controller()
    while rig.controller.state.phase != "watching":
        rig.advance()
    rig.release_killed_controller()
    path = tmp_path / "roll.journal"
    header, entries, _ = decode_journal(path.read_bytes())
    for entry in entries:
        if "judged" in entry.details:
            entry.details["judged"]["tallies"] = {}
    path.write_bytes(b"".join(map(encode_line, [header, *entries])))
    rig.start_controller(resume=True)
    assert any(event["event"] == LogEvent.SAMPLES_UNUSABLE for event in rig.events)
    assert rig.run() == 0 and rig.programs() == ["new"] * 3


def test_a_process_is_identified_by_its_start_time_even_if_the_clock_is_set(
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


def test_a_full_disk_stops_the_controller_without_further_actions(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path)
    rig.start_controller()
    while rig.controller.state.phase != "watching":
        rig.advance()
    state, start_count = rig.controller.state, rig.start_count
    write = os.write

    def full(file: int, data: bytes) -> int:
        if file == rig.controller.journal._file:
            raise OSError(28, "No space left on device")
        return write(file, data)

    monkeypatch.setattr(os, "write", full)
    assert rig.run() == ExitCode.JOURNAL_NOT_WRITABLE and "No space left" in rig.controller.reason
    assert rig.controller.state == state and rig.start_count == start_count
    monkeypatch.setattr(os, "write", write)
    rig.exit_codes.clear()
    rig.start_controller(resume=True)
    assert rig.run() == 0 and rig.programs() == ["new"] * 3


def test_a_requested_rollback_during_a_stage_reverts_all_nodes_and_starts_no_other(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.start_controller()
    while rig.controller.state.stage < 1 or "starting" not in rig.controller.state.nodes:
        rig.advance()
    Path(f"{rig.controller.journal.path}.undo").touch()
    assert rig.run() == 1 and rig.programs() == ["old"] * 3 and rig.max_unavailable == 1
    assert "the operator asked for it" in str(rig.events)


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
def test_an_invalid_plan_is_rejected(tmp_path: Path, was: str, now: str, said: str) -> None:
    rig = Rig(tmp_path)
    assert was in rig.text
    rig.text = rig.text.replace(was, now)
    with pytest.raises(Exception, match=said):
        rig.start_controller()


def test_no_rollout_begins_on_a_fleet_with_two_revisions(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.fleet.nodes["n2"].program_digest = "third"
    rig.start_controller()
    assert rig.run() == 2 and "more than one revision already" in rig.controller.reason
