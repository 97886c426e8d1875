"""The fault soak: its schedules, its oracle with a planted breach for each rule, and one run of processes."""

import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from paths import ROOT

from myrtlehub.lab.fault_soak.fleet_settings import ASK, KEEP, POST, TERMS
from myrtlehub.lab.fault_soak.oracle import Oracle
from myrtlehub.lab.fault_soak.records import (
    AttemptEnd,
    AttemptRecord,
    EngineChange,
    HeldState,
    NodeExit,
    RequestRecord,
    ResponseEnd,
    RunRecords,
)
from myrtlehub.lab.fault_soak.runner import SoakResult
from myrtlehub.lab.fault_soak.schedule import MAX_OVERLAP, Schedule, Trouble, TroubleKind, shrink

STREAM_EVENTS = 5


def sound_records(traffic: str = ASK) -> RunRecords:
    """Return records of one request that was read, written and answered, with nothing wrong."""
    records = RunRecords()
    records.requests["a"] = RequestRecord(
        "a",
        0,
        traffic,
        10.0,
        2.0,
        True,
        ended_at=11.0,
        status=200,
        events=STREAM_EVENTS,
        end=ResponseEnd.COMPLETE,
    )
    records.attempts = [
        AttemptRecord("a", "r0", True, 10.01, 10.01, 1900, 0, 10.2, AttemptEnd.FINISHED),
        AttemptRecord("a", "w1", False, 10.21, 10.21, 1700, STREAM_EVENTS, 11.0, AttemptEnd.FINISHED),
    ]
    records.states = [HeldState("a", "r0", 10.2, 10.3)]
    return records


def rules_broken(records: RunRecords) -> list[str]:
    return [finding.rule for finding in Oracle(records, TERMS).findings()]


@pytest.mark.parametrize("traffic", [ASK, POST, KEEP])
def test_sound_records_break_no_rule(traffic: str) -> None:
    assert rules_broken(sound_records(traffic)) == []


def test_a_request_without_an_answer_is_lost() -> None:
    records = sound_records()
    request = records.requests["a"]
    request.status = request.events = 0
    request.end = ResponseEnd.UNANSWERED
    assert rules_broken(records) == ["lost"]
    request.is_first_on_connection = False  # a close that crosses a request on a resting connection
    assert rules_broken(records) == ["lost"]  # it was forwarded all the same
    records.attempts = []
    assert rules_broken(records) == []
    request.end = ResponseEnd.OPEN
    assert rules_broken(records) == ["lost"]


def test_a_late_refusal_is_lost_and_half_a_second_is_not() -> None:
    records = sound_records()
    request = records.requests["a"]
    request.status, request.events = 503, 0
    records.attempts = []
    records.states = []
    request.ended_at = request.deadline + 0.45
    assert rules_broken(records) == []
    request.ended_at = request.deadline + 0.6
    assert rules_broken(records) == ["lost"]


def test_a_stream_of_no_engine_is_spoilt_and_one_cut_short_is_lost() -> None:
    records = sound_records()
    records.requests["a"].events = STREAM_EVENTS - 1
    assert rules_broken(records) == ["spoilt"]
    records.requests["a"].end = ResponseEnd.CUT
    assert rules_broken(records) == ["lost"]


@pytest.mark.parametrize(
    ("traffic", "first_end", "gap", "broken"),
    [
        (ASK, AttemptEnd.LOST, 0.1, []),
        (POST, AttemptEnd.LOST, 0.1, ["twice"]),
        (POST, AttemptEnd.FAILED, 0.1, ["twice"]),
        (POST, AttemptEnd.TURNED_AWAY, 0.1, []),
        (KEEP, AttemptEnd.LOST, 0.5, []),
        (KEEP, AttemptEnd.LOST, 1.2, ["twice"]),
    ],
)
def test_what_may_have_run_runs_again_only_as_its_type_allows(
    traffic: str, first_end: AttemptEnd, gap: float, broken: list[str]
) -> None:
    records = sound_records(traffic)
    records.states = []
    write = records.attempts[1]
    write.arrived_at = write.began_at = 10.05 + gap
    write.told_ms = 500
    records.attempts[0] = AttemptRecord("a", "w2", False, 10.05, 10.05, 1900, 0, 10.06, first_end)
    assert rules_broken(records) == broken


def test_an_attempt_after_the_client_and_too_much_time_told() -> None:
    records = sound_records()
    request = records.requests["a"]
    request.end, request.left_at = ResponseEnd.CLIENT_LEFT, 10.05
    assert rules_broken(records) == ["after the client"]
    request.left_at = 10.15
    assert rules_broken(records) == []
    records.attempts[1].told_ms = 2500
    assert rules_broken(records) == ["time told"]


def test_a_send_to_a_draining_engine_past_the_grace() -> None:
    records = sound_records()
    records.changes = [EngineChange("w1", "leaving", 9.95, {0: 9.95})]
    assert rules_broken(records) == []
    records.changes = [EngineChange("w1", "leaving", 9.5, {0: 9.5})]
    assert rules_broken(records) == ["drain"]
    records.changes.append(EngineChange("w1", "active", 9.9, {0: 9.9}))
    assert rules_broken(records) == []


def test_a_state_held_with_no_attempt_out() -> None:
    records = sound_records()
    records.states = [HeldState("a", "r0", 10.2, 11.9)]
    assert rules_broken(records) == []  # 0.9 s after the write ended
    records.states = [HeldState("a", "r0", 10.2, 12.2)]
    assert rules_broken(records) == ["pinned"]


def test_an_exit_unasked_and_a_traceback_are_crashes() -> None:
    records = sound_records()
    records.exits = [NodeExit(0, 12.0, 0, True, ""), NodeExit(1, 12.0, 1, False, "")]
    assert rules_broken(records) == ["crash"]
    records.exits = [NodeExit(0, 12.0, 0, True, "Traceback")]
    assert rules_broken(records) == ["crash"]


def test_schedules_are_drawn_from_the_seed_alone_and_overlap_within_the_bound(tmp_path: Path) -> None:
    for seed in range(40):
        schedule = Schedule.draw(seed, 40.0, 10, 8)
        assert schedule == Schedule.draw(seed, 40.0, 10, 8) != Schedule.draw(seed + 1, 40.0, 10, 8)
        for trouble in schedule.troubles:
            active = [t for t in schedule.troubles if t.begin <= trouble.begin < t.begin + t.length]
            assert 1 <= len(active) <= MAX_OVERLAP
    schedule.write(tmp_path / "schedule.json")
    assert Schedule.read(tmp_path / "schedule.json") == schedule
    assert {
        trouble.kind for trouble in Schedule.draw(1, 40.0, 10, 8, (TroubleKind.CLOCK_STEP,)).troubles
    } == {TroubleKind.CLOCK_STEP}


def test_a_failing_schedule_is_shrunk_to_the_troubles_that_it_takes() -> None:
    schedule = Schedule.draw(3, 60.0, 10, 8)
    needed = {schedule.troubles[2], schedule.troubles[-1]}
    plays: list[int] = []

    def fails(candidate: Schedule) -> bool:
        plays.append(len(candidate.troubles))
        return needed <= set(candidate.troubles)

    assert set(shrink(schedule, fails).troubles) == needed
    assert len(plays) < 4 * len(schedule.troubles)


def test_overlapping_troubles_against_processes_break_no_rule(tmp_path: Path) -> None:
    """Stops, a restart, a moved discovery, failing calls and a clock set back, at five nodes."""
    troubles = (
        Trouble(TroubleKind.ACCEPT_FAILS, 0, 2.0, 1.0, error="ENFILE"),
        Trouble(TroubleKind.NODE_STOP, 1, 2.2, 1.5),
        Trouble(TroubleKind.ENGINE_DRAIN, 6, 2.4, 1.0),
        Trouble(TroubleKind.CLOCK_STEP, 2, 2.5, 0.3, step=-3600.0),
        Trouble(TroubleKind.NODE_TERM, 2, 3.0, 0.3),
        Trouble(TroubleKind.CONNECT_FAILS, 3, 3.2, 0.7, error="EADDRNOTAVAIL"),
        Trouble(TroubleKind.NODE_HANGUPS, 4, 3.4, 0.3),
        Trouble(TroubleKind.WATCH_SILENT, 4, 3.6, 1.0),
        Trouble(TroubleKind.LOG_FAILS, 1, 4.0, 1.0, error="ENOSPC"),
    )
    schedule = Schedule(seed=1, seconds=14.0, nodes=5, engines=8, troubles=troubles)
    done = subprocess.run(
        [sys.executable, "-m", "myrtlehub.cli.fault_soak", "play"],
        input=msgspec.json.encode(schedule),
        capture_output=True,
        check=False,
        cwd=ROOT,
        timeout=100,
    )
    assert done.returncode == 0, done.stderr.decode()[-2000:]
    result = msgspec.json.decode(done.stdout, type=SoakResult)
    assert result.findings == (), json.loads(done.stdout)["findings"]
    assert result.requests > 100 and result.ends["complete"] > 80
