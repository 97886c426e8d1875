"""The processes of a scenario: their end."""

from pathlib import Path
from random import Random

import pytest
from paths import ROOT
from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.task import Clock

from myrtlehub.config.loader import load_config
from myrtlehub.lab.processes import Process
from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.scenario_fleet import MAX_START_S, ScenarioFleet
from myrtlehub.records import Recorder


class RecordedProcesses:
    """Records which processes are ended."""

    def __init__(self) -> None:
        self.ended: list[Process] = []

    def end(self, processes: list[Process], on_overdue: object) -> Deferred[None]:
        self.ended += processes
        return succeed(None)


@pytest.mark.parametrize("becomes_ready", [True, False], ids=["ready", "never ready"])
def test_the_end_waits_for_a_process_that_is_being_restarted(tmp_path: Path, becomes_ready: bool) -> None:
    """A node that was ended while it started counted as a failed start."""
    clock = Clock()
    scenario = load_config(ROOT / "scenarios" / "bad-day.yaml", Scenario)
    recorder = Recorder("day", clock)
    context = ScenarioContext(scenario, tmp_path, clock, clock, 1, Random(1), recorder, lambda line: None)
    fleet = ScenarioFleet(context)
    fleet.processes = RecordedProcesses()
    node = fleet.running["node-1"] = Process("node-1", tmp_path / "node-1.log")
    ended = ensureDeferred(fleet.end())
    clock.advance(MAX_START_S - 1.0)
    assert not fleet.processes.ended
    if becomes_ready:
        node.outReceived(b'{"event":"ready"}\n')
    else:
        clock.advance(1.0)
    assert fleet.processes.ended == [node] and ended.called
