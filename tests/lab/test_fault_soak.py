"""The fault soak: one run against processes."""

import json
import subprocess
import sys

import msgspec
from paths import ROOT

from myrtlehub.lab.fault_soak.faults import Fault, FaultKind
from myrtlehub.lab.fault_soak.schedule import Schedule
from myrtlehub.lab.fault_soak.soak_result import SoakResult


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
    schedule = Schedule(seed=1, duration_s=14.0, node_count=5, engine_count=8, faults=faults)
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
