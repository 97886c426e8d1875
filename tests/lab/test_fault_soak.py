"""The fault soak: short runs against processes, with fixed seeds."""

import subprocess
import sys

import msgspec
import pytest
from paths import ROOT

from myrtlehub.lab.fault_soak.faults import Fault, FaultKind
from myrtlehub.lab.fault_soak.schedule import Schedule
from myrtlehub.lab.fault_soak.soak_result import SoakResult

STREAM_FAULTS = (FaultKind.ENGINE_TRUNCATES, FaultKind.ENGINE_WRITES_SLOWLY, FaultKind.ENGINE_DELAYS)

ENDLESS_FAULTS = (FaultKind.ENGINE_CLAIMS, FaultKind.ENGINE_TRICKLES)


def play(schedule: Schedule) -> SoakResult:
    """Play a schedule in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "myrtlehub.cli.fault_soak", "play"],
        input=msgspec.json.encode(schedule),
        capture_output=True,
        check=False,
        cwd=ROOT,
        timeout=100,
    )
    assert done.returncode == 0, done.stderr.decode()[-2000:]
    return msgspec.json.decode(done.stdout, type=SoakResult)


def test_overlapping_faults_against_processes_break_no_rule() -> None:
    """Stops, a restart, a reload, failing calls and a clock that is set back, at five nodes."""
    faults = (
        Fault(FaultKind.ACCEPT_FAILS, 0, 2.0, 1.0, error="ENFILE"),
        Fault(FaultKind.NODE_STOP, 1, 2.2, 1.5),
        Fault(FaultKind.ENGINE_DRAIN, 6, 2.4, 1.0),
        Fault(FaultKind.CLOCK_STEP, 2, 2.5, 0.3, clock_step_s=-3600.0),
        Fault(FaultKind.NODE_TERM, 2, 3.0, 0.3),
        Fault(FaultKind.CONNECT_FAILS, 3, 3.2, 0.7, error="EADDRNOTAVAIL"),
        Fault(FaultKind.NODE_RELOAD, 4, 3.4, 0.3),
        Fault(FaultKind.WATCH_SILENT, 4, 3.6, 1.0),
        Fault(FaultKind.LOG_FAILS, 1, 4.0, 1.0, error="ENOSPC"),
    )
    result = play(Schedule(seed=1, duration_s=14.0, node_count=5, engine_count=8, faults=faults))
    assert result.findings == (), result.evidence
    assert result.requests > 100 and result.ends["complete"] > 80


@pytest.mark.parametrize(
    ("seed", "kinds"),
    [
        (1, (FaultKind.ENGINE_SILENT, FaultKind.ENGINE_CUT, FaultKind.ENGINE_HANGS, FaultKind.NODE_TERM)),
        (2, (FaultKind.NODE_SIGNALS, FaultKind.NODES_TERM, FaultKind.NODE_CROWD, FaultKind.ENGINE_DRAIN)),
        (3, (FaultKind.NODE_TERM, FaultKind.SHORT_CALLS, FaultKind.ACCEPT_FAILS, FaultKind.ENGINE_SILENT)),
        (6, (FaultKind.NODE_SIGNALS, FaultKind.ENGINE_RESETS, FaultKind.WATCH_SILENT, FaultKind.NODE_KILL)),
        (33, (*STREAM_FAULTS, FaultKind.NODE_SIGNALS)),
        (14, (*ENDLESS_FAULTS, FaultKind.NODES_TERM, FaultKind.NODE_CROWD)),
    ],
)
def test_a_seeded_soak_breaks_no_rule(seed: int, kinds: tuple[FaultKind, ...]) -> None:
    """Odd seeds have deadlines of 1.2 s, so that SIGKILL comes 1.9 s after SIGTERM."""
    schedule = Schedule.draw(seed, duration_s=20.0, node_count=4, engine_count=8, kinds=kinds)
    assert {fault.kind for fault in schedule.faults} == set(kinds)
    result = play(schedule)
    assert result.findings == (), result.evidence
    assert result.requests > 200 and result.shutdowns >= 4
