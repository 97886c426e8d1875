"""Rollout controller with real nodes on an in-memory network and a test clock.

Some tests kill the controller before or after every write, sync and action and resume the rollout.
"""

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
PROGRAM_CHANGE = '{program: {was: "node {name} old {settings}", now: "node {name} new {settings}"}}'
SETTINGS_CHANGE = '{settings: {was: "{name}.yaml", now: "{name}.new.yaml"}}'


class KilledError(BaseException):
    """Raised at a boundary to stop the controller as if it were killed there."""


class InMemorySupervisor(ProcessSupervisor):
    """Starts and kills the nodes of the in-memory fleet."""

    def __init__(self, harness: "RolloutHarness") -> None:
        self.harness = harness
        self.started: set[int] = set()

    def start_ticks(self, pid: int) -> int:
        """Return 0: the start time is unknown."""
        return 0

    def is_alive(self, node: int, known_process: ProcessIdentity | None) -> bool:
        """Return whether the fleet has the node."""
        return f"n{node}" in self.harness.fleet.nodes

    def is_starting(self, node: int, known_process: ProcessIdentity | None) -> bool:
        """Return False: a started node answers at once."""
        return False

    def has_exited(self, node: int) -> bool:
        """Return whether the node was started here and has exited."""
        return node in self.started and not self.is_alive(node, None)

    def start(self, node: int, name: str, command: str, generation: str) -> None:
        """Add the node to the fleet."""
        self.started.add(node)
        self.harness.start_node(node, command.split()[2], generation)

    def kill(self, node: int, known_process: ProcessIdentity | None) -> None:
        """Remove the node from the fleet."""
        if self.is_alive(node, known_process):
            self.harness.remove_node(node)


class RolloutHarness:
    """A fleet with traffic, and a controller that may be killed.

    `new_fault` and `old_fault` are the faults of the new and the old program: "exits", "never ready" or none.
    """

    def __init__(
        self,
        directory: Path,
        change: str = PROGRAM_CHANGE,
        nodes: int = 3,
        new_fault: str = "",
        old_fault: str = "",
        extra_plan: str = "",
    ) -> None:
        self.directory, self.new_fault, self.old_fault = directory, new_fault, old_fault
        self.fleet = Fleet("R0 W0 W0", nodes=nodes)
        self.start_count, self.request_count, self.max_unavailable = 0, 0, 0
        self.events: list[dict] = []
        for i, node in enumerate(self.fleet.nodes.values()):
            self._attach(i, node, "old")
            (directory / f"n{i}.yaml").write_text(self.fleet.settings_text(i))
            new_max_wait = "max_wait: 2s" if "program" in change else "max_wait: 1s"
            (directory / f"n{i}.new.yaml").write_text(
                self.fleet.settings_text(i).replace("max_wait: 2s", new_max_wait)
            )
        node_entries = ", ".join(f'{{name: n{i}, admin: "n{i}:2", zone: z}}' for i in range(nodes))
        self.plan_text = PLAN.format(change=change, nodes=node_entries) + extra_plan
        self.controller: RolloutController | None = None
        self.is_killed = False
        self.exit_codes: list = []

    def _attach(self, index: int, node: Node, program: str) -> None:
        node.program_digest = program
        node.on_drain_requested = lambda: (
            node.is_draining
            or node.drain().addCallback(
                lambda _ignored: self.fleet.nodes.get(f"n{index}") is node and self.remove_node(index)
            )
        )

    def remove_node(self, index: int) -> None:
        self.fleet.kill(f"n{index}")
        self.max_unavailable = max(self.max_unavailable, len(self.fleet.channels) - len(self.fleet.nodes))

    def start_node(self, index: int, program: str, generation: str) -> None:
        assert f"n{index}" not in self.fleet.nodes, "node started while its previous process is running"
        fault = self.new_fault if program == "new" else self.old_fault
        if fault == "exits":
            return
        self.start_count += 1
        node = self.fleet.start_node(index, run=f"b{self.start_count}")
        self.fleet.nodes[f"n{index}"] = node
        self._attach(index, node, program)
        number, _, controller_id = generation.partition(" ")
        node.admin_service.orders.validator.generation, node.admin_service.orders.validator.controller = (
            int(number),
            controller_id,
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

        plan = parse_config(self.plan_text, RolloutPlanConfig)
        self.boundaries_reached = boundaries_reached
        self.controller = RolloutController(
            plan,
            self.plan_text,
            self.directory,
            self.fleet.clock,
            lambda address: self.fleet.net.dialer(address, "operator"),
            lambda event, **fields: self.events.append({"event": event, **fields}),
            on_boundary,
            InMemorySupervisor(self),
        )
        self.controller.run(resume, roll_back).addBoth(self.exit_codes.append)

    def release_killed_controller(self) -> None:
        """Stop the callbacks of a killed controller and release its journal lock."""
        self.controller.abandon()
        self.is_killed = False
        self.exit_codes = []
        for tracked in self.controller.nodes:
            tracked.client.close()
        self.controller.journal.close()

    def advance(self) -> None:
        """Send a request and advance the clock by 0.2 seconds."""
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
        assert self.exit_codes, f"the rollout did not end within {seconds} s: {self.controller.state}"
        return self.exit_codes[-1]

    def programs(self) -> list[str]:
        return [node.program_digest for _, node in sorted(self.fleet.nodes.items())]

    def max_waits(self) -> list[float]:
        return [node.settings.node.max_wait for _, node in sorted(self.fleet.nodes.items())]


def test_an_equal_program_is_committed_one_node_at_a_time(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path)
    harness.start_controller()
    assert harness.run() == 0 and harness.programs() == ["new"] * 3 and harness.max_unavailable == 1
    assert not [
        call
        for call in harness.fleet.calls
        if call.answer in ("aborted", "") and not (call.status and call.status.unprocessed)
    ][:-20]
    with pytest.raises(
        RolloutError, match="journal already exists; continue its rollout with hub-rollout resume"
    ):
        harness.start_controller()
    with pytest.raises(RolloutError, match="the rollout has already ended: kept"):
        harness.start_controller(resume=True)
    other_plan_text = harness.plan_text.replace("most_away: 1", "most_away: 2")
    harness.plan_text, original_plan_text = other_plan_text, harness.plan_text
    with pytest.raises(RolloutError, match="was written for another plan"):
        harness.start_controller(resume=True)
    harness.plan_text = original_plan_text


def test_settings_are_changed_in_place_and_rolled_back_in_place(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path, SETTINGS_CHANGE)
    harness.start_controller()
    assert (
        harness.run() == 0
        and harness.max_waits() == [1.0] * 3
        and harness.programs() == ["old"] * 3
        and not harness.start_count
    )
    harness.exit_codes.clear()
    harness.start_controller(resume=True, roll_back=True)
    assert harness.run() == 1 and harness.max_waits() == [2.0] * 3 and not harness.start_count


@pytest.mark.parametrize(("fault", "cause"), [("exits", "quit"), ("never ready", "overdue")])
def test_a_program_that_does_not_start_is_rolled_back_at_once(tmp_path: Path, fault: str, cause: str) -> None:
    harness = RolloutHarness(tmp_path, new_fault=fault)
    harness.start_controller()
    assert harness.run() == 1 and harness.programs() == ["old"] * 3 and harness.max_unavailable == 1
    change = next(
        event
        for event in harness.events
        if event["event"] == LogEvent.PHASE_CHANGED and event["phase"] == "undoing"
    )
    assert change["stage"] == 1 and any(
        event["event"] == LogEvent.NODE_STATE_CHANGED and event["cause"] == cause for event in harness.events
    )


def test_settings_without_a_writer_are_rejected_by_the_first_node(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path, SETTINGS_CHANGE)
    for i in range(3):
        path = tmp_path / f"n{i}.new.yaml"
        path.write_text(path.read_text().replace("name: writer, writes: yes", "name: writer, reads: yes"))
    harness.start_controller()
    assert harness.run() == 1 and harness.max_waits() == [2.0] * 3
    assert "could end a sequence" in next(
        event["reason"] for event in harness.events if event["event"] == LogEvent.NODE_CALL_REJECTED
    )


def test_an_old_program_that_does_not_start_leaves_the_node_stuck_and_reported(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path, new_fault="never ready", old_fault="exits")
    harness.start_controller()
    assert harness.run() == 3 and any(
        event["event"] == LogEvent.OPERATOR_NEEDED and event["node"] == "n0" for event in harness.events
    )
    harness.old_fault = ""  # the operator has repaired the old program
    harness.exit_codes.clear()
    harness.start_controller(resume=True, roll_back=True)
    assert harness.run() == 1 and harness.programs() == ["old"] * 3


BOTH_CHANGES = pytest.mark.parametrize(
    "change", [SETTINGS_CHANGE, PROGRAM_CHANGE], ids=["settings", "program"]
)
BOUNDARY_SLICES = 12  # test cases among which the boundaries are divided, so that they run in parallel
BOUNDARIES_AFTER_END = 4  # boundaries after the end of the rollout


@cache
def boundary_count(change: str) -> int:
    """Count the boundaries of a rollout without faults: before and after each write, sync and action."""
    with TemporaryDirectory() as directory:
        harness = RolloutHarness(Path(directory), change)
        harness.start_controller()
        assert harness.run() == 0
    return harness.boundaries_reached[0]


def boundaries_in_slice(change: str, slice_index: int) -> range:
    """Return every twelfth boundary, from number `slice_index` + 1 on."""
    return range(1 + slice_index, boundary_count(change) - BOUNDARIES_AFTER_END + 1, BOUNDARY_SLICES)


@BOTH_CHANGES
def test_the_slices_contain_each_boundary_once(change: str) -> None:
    boundaries = boundary_count(change)
    assert boundaries > 60
    covered = [
        boundary
        for slice_index in range(BOUNDARY_SLICES)
        for boundary in boundaries_in_slice(change, slice_index)
    ]
    assert sorted(covered) == list(range(1, boundaries - 3))


@BOTH_CHANGES
@pytest.mark.parametrize("slice_index", range(BOUNDARY_SLICES))
def test_a_controller_killed_at_any_boundary_is_resumed_to_the_same_end(
    tmp_path: Path, change: str, slice_index: int
) -> None:
    """The controller is killed before or after each write, sync and action.

    The resumed controller may repeat actions, which must do no harm.
    """
    for kill_at in boundaries_in_slice(change, slice_index):
        directory = tmp_path / str(kill_at)
        directory.mkdir()
        harness = RolloutHarness(directory, change)
        was_killed = False
        try:
            harness.start_controller(kill_at=kill_at)
            harness.run()
        except KilledError:
            was_killed = True
        assert was_killed, kill_at
        harness.release_killed_controller()
        journal = directory / "roll.journal"
        journal_bytes = journal.read_bytes() if journal.exists() else b""
        harness.start_controller(resume=bool(journal_bytes))
        assert harness.run() == 0, (kill_at, harness.controller.state)
        values = harness.max_waits() if change == SETTINGS_CHANGE else harness.programs()
        assert values == ([1.0] * 3 if change == SETTINGS_CHANGE else ["new"] * 3), kill_at
        assert harness.max_unavailable <= 1 and harness.start_count == (
            0 if change == SETTINGS_CHANGE else 3
        ), kill_at
        entries = decode_journal(journal.read_bytes()).entries
        assert sum(entry.event in ("pass", "last") for entry in entries) == 2


def test_of_two_controllers_the_superseded_one_stops(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path, extra_plan="journal: one.journal\n")
    harness.start_controller()
    first = harness.controller
    while first.state.phase != "watching":
        harness.advance()
    with pytest.raises(RolloutError, match="another controller has locked this journal"):
        harness.start_controller(resume=True)
    second_harness = RolloutHarness.__new__(RolloutHarness)
    second_plan_text = harness.plan_text.replace("one.journal", "two.journal")
    second_harness.__dict__.update(harness.__dict__, exit_codes=[], events=[], plan_text=second_plan_text)
    # Emulates a controller on another machine, whose copy of the journal has its own lock.
    (tmp_path / "two.journal").write_bytes((tmp_path / "one.journal").read_bytes())
    plan = parse_config(second_harness.plan_text, RolloutPlanConfig)
    second = RolloutController(
        plan,
        harness.plan_text,
        tmp_path,
        harness.fleet.clock,
        lambda address: harness.fleet.net.dialer(address, "operator"),
        lambda event, **fields: second_harness.events.append({"event": event, **fields}),
        supervisor=InMemorySupervisor(harness),
    )
    second.run(resume=True).addBoth(second_harness.exit_codes.append)
    code = harness.run()
    assert code == ExitCode.SUPERSEDED and "stops without further actions" in first.reason
    harness.exit_codes = second_harness.exit_codes
    assert harness.run() == 0 and harness.programs() == ["new"] * 3


def test_an_unreachable_node_is_left_unchanged_until_it_is_reachable(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path)
    harness.start_controller()
    while harness.controller.state.nodes[0] != "watched":
        harness.advance()
    admin_listener = harness.fleet.net.hosts["n0:2"]
    harness.fleet.net.kill("n0:2")
    start_count, node = harness.start_count, harness.fleet.nodes["n0"]
    for _ in range(100):  # 20 s, longer than `hold`, the time that a disturbance may last
        harness.advance()
    assert (
        harness.start_count == start_count
        and harness.fleet.nodes["n0"] is node
        and harness.controller.nodes[0].is_unreachable
    )
    assert harness.controller.state.phase == "holding" and "no contact with n0" in str(harness.events)
    harness.fleet.net.listen("n0:2", admin_listener)
    assert harness.run() == 0 and harness.programs() == ["new"] * 3


def test_a_killed_changed_node_puts_the_stage_on_hold_and_is_not_rolled_back(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path)
    harness.start_controller()
    while harness.controller.state.nodes[0] != "watched":
        harness.advance()
    harness.remove_node(0)
    assert harness.run() == 0 and harness.programs() == ["new"] * 3
    assert any(
        event["event"] == LogEvent.PHASE_CHANGED and event["phase"] == "holding" for event in harness.events
    )


def test_a_resumed_controller_restores_the_baseline(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path)
    harness.start_controller()
    while harness.controller.state.phase != "watching":
        harness.advance()
    before = harness.controller.record.analysis
    harness.release_killed_controller()
    harness.start_controller(resume=True)
    after = harness.controller.record.analysis
    assert before.disturbance.baseline_served
    assert after.disturbance.baseline_served == before.disturbance.baseline_served
    for key, tally in after.tallies.items():
        old_weights = before.tallies[key].sums["pre_weight"]
        assert np.allclose(tally.sums["pre_weight"], old_weights) and old_weights.any()
    assert harness.run() == 0 and harness.programs() == ["new"] * 3
    entries = decode_journal((tmp_path / "roll.journal").read_bytes()).entries
    assert [entry.event for entry in entries if "judged" in entry.details] == ["measured", "pass", "last"]


def test_a_stored_analysis_of_another_fleet_only_widens_the_bounds(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path)
    harness.start_controller()
    while harness.controller.state.phase != "watching":
        harness.advance()
    harness.release_killed_controller()
    path = tmp_path / "roll.journal"
    header, entries, _ = decode_journal(path.read_bytes())
    for entry in entries:
        if "judged" in entry.details:
            entry.details["judged"]["tallies"] = {}
    path.write_bytes(b"".join(map(encode_line, [header, *entries])))
    harness.start_controller(resume=True)
    assert any(event["event"] == LogEvent.SAMPLES_UNUSABLE for event in harness.events)
    assert harness.run() == 0 and harness.programs() == ["new"] * 3


def test_a_process_is_identified_by_its_start_time_even_if_the_clock_is_set(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    supervisor = ProcessSupervisor(tmp_path)
    with subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) as process:
        known_process = ProcessIdentity(process.pid, supervisor.start_ticks(process.pid))
        assert known_process.start_ticks > 0 and supervisor.is_alive(0, known_process)
        now = time.time()
        monkeypatch.setattr(time, "time", lambda: now - 3600.0)
        assert supervisor.is_alive(0, known_process)  # its start is in the future of the wall clock
        reused_pid = known_process._replace(start_ticks=known_process.start_ticks - 1)
        assert not supervisor.is_alive(0, reused_pid)  # an earlier process with the same PID
        process.kill()
        process.wait()
        assert not supervisor.is_alive(0, known_process) and supervisor.start_ticks(process.pid) == 0


def test_a_full_disk_stops_the_controller_without_further_actions(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = RolloutHarness(tmp_path)
    harness.start_controller()
    while harness.controller.state.phase != "watching":
        harness.advance()
    state, start_count = harness.controller.state, harness.start_count
    original_write = os.write

    def write_to_full_disk(file_descriptor: int, data: bytes) -> int:
        if file_descriptor == harness.controller.journal._file_descriptor:
            raise OSError(28, "No space left on device")
        return original_write(file_descriptor, data)

    monkeypatch.setattr(os, "write", write_to_full_disk)
    assert harness.run() == ExitCode.JOURNAL_NOT_WRITABLE and "No space left" in harness.controller.reason
    assert harness.controller.state == state and harness.start_count == start_count
    monkeypatch.setattr(os, "write", original_write)
    harness.exit_codes.clear()
    harness.start_controller(resume=True)
    assert harness.run() == 0 and harness.programs() == ["new"] * 3


def test_a_requested_rollback_during_a_stage_reverts_all_nodes_and_starts_no_other(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path)
    harness.start_controller()
    while harness.controller.state.stage < 1 or "starting" not in harness.controller.state.nodes:
        harness.advance()
    Path(f"{harness.controller.journal.path}.undo").touch()
    assert harness.run() == 1 and harness.programs() == ["old"] * 3 and harness.max_unavailable == 1
    assert "the operator asked for it" in str(harness.events)


@pytest.mark.parametrize(
    ("old_text", "new_text", "expected_message"),
    [
        ("{nodes: 1}, {share: 1.0}", "{nodes: 2}, {nodes: 2}", "stages have to grow"),
        ("most_away: 1", "most_away: 3", "at least one of the 3 nodes has to stay"),
        ('settings: "{name}.yaml"', 'settings: "{nme}.yaml"', "{nme} is not known"),
        ("watch: 3s", "watch: 2s", "three blocks or more"),
        ("name: n1", "name: n0", "name n0 stands more than once"),
    ],
)
def test_an_invalid_plan_is_rejected(
    tmp_path: Path, old_text: str, new_text: str, expected_message: str
) -> None:
    harness = RolloutHarness(tmp_path)
    assert old_text in harness.plan_text
    harness.plan_text = harness.plan_text.replace(old_text, new_text)
    with pytest.raises(Exception, match=expected_message):
        harness.start_controller()


def test_no_rollout_begins_on_a_fleet_with_two_revisions(tmp_path: Path) -> None:
    harness = RolloutHarness(tmp_path)
    harness.fleet.nodes["n2"].program_digest = "third"
    harness.start_controller()
    assert harness.run() == 2 and "the nodes have different revisions" in harness.controller.reason
