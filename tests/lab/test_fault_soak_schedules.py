"""Schedules of the fault soak: drawing, storing and shrinking."""

import json
from pathlib import Path

from myrtlehub.lab.fault_soak.faults import FaultKind
from myrtlehub.lab.fault_soak.schedule import MAX_OVERLAP, Schedule
from myrtlehub.lab.fault_soak.schedule_shrinker import shrink

KIND_NAMES = [
    "node term",
    "node kill",
    "node stop",
    "node hangups",
    "clock step",
    "connect fails",
    "socket fails",
    "accept fails",
    "short calls",
    "broken sockets",
    "log fails",
    "engine drain",
    "engine restart",
    "engine cut",
    "engine resets",
    "engine full",
    "engine errors",
    "engine hangs",
    "engine spoils",
    "discovery silent",
    "discovery slow",
    "discovery torn",
    "watch silent",
    "node signals",
    "nodes term",
    "node crowd",
    "engine silent",
    "engine truncates",
    "engine slow",
    "engine delays",
    "engine claims",
    "engine trickles",
]


def test_schedules_depend_on_the_seed_alone_and_limit_the_overlap(tmp_path: Path) -> None:
    for seed in range(40):
        schedule = Schedule.draw(seed, 40.0, 10, 8)
        assert schedule == Schedule.draw(seed, 40.0, 10, 8) != Schedule.draw(seed + 1, 40.0, 10, 8)
        for fault in schedule.faults:
            active = [other for other in schedule.faults if other.begin_s <= fault.begin_s < other.end_s]
            assert 1 <= len(active) <= MAX_OVERLAP
    schedule.write(tmp_path / "schedule.json")
    assert Schedule.read(tmp_path / "schedule.json") == schedule
    assert {fault.kind for fault in Schedule.draw(1, 40.0, 10, 8, (FaultKind.CLOCK_STEP,)).faults} == {
        FaultKind.CLOCK_STEP
    }


def test_a_failing_schedule_is_shrunk_to_the_necessary_faults() -> None:
    schedule = Schedule.draw(3, 60.0, 10, 8)
    needed = {schedule.faults[2], schedule.faults[-1]}
    plays: list[int] = []

    def fails(candidate: Schedule) -> bool:
        plays.append(len(candidate.faults))
        return needed <= set(candidate.faults)

    assert set(shrink(schedule, fails).faults) == needed
    assert len(plays) < 4 * len(schedule.faults)


def test_stored_schedules_keep_their_field_names_and_kinds(tmp_path: Path) -> None:
    stored = {
        "seed": 1,
        "seconds": 14.0,
        "nodes": 5,
        "engines": 8,
        "troubles": [
            {
                "kind": kind,
                "target": 2,
                "begin": 2.5,
                "length": 0.3,
                "error": "ENFILE",
                "share": 0.3,
                "step": -5.0,
            }
            for kind in KIND_NAMES
        ],
        "deadline": 1.2,
    }
    path = tmp_path / "schedule.json"
    path.write_text(json.dumps(stored))
    schedule = Schedule.read(path)
    schedule.write(path)
    assert json.loads(path.read_text()) == stored
    del stored["deadline"]  # schedules of earlier versions have none
    path.write_text(json.dumps(stored))
    assert Schedule.read(path).deadline_s == 3.0
    assert [kind.value for kind in FaultKind] == KIND_NAMES  # draws depend on the order
