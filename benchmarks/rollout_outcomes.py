"""Rollouts of real processes: an equal program must be rolled out, a bad one rolled back.

    python benchmarks/rollout_outcomes.py [--each 20] [--at-once 2] [--kinds equal slow ...]

Simulated: `scenarios/rolling.yaml` (eight nodes, nine emulated engines on loopback) with the program of
each kind, and a new seed for each rollout. Prints Markdown: how many ended as expected, the stage in which
they ended, and their duration in seconds.
A rollout also fails here if a rule was broken or a process ended unexpectedly.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from ruamel.yaml import YAML

from myrtlehub.log_events import LogEvent

ROOT = Path(__file__).parents[1]
ENDS = {
    "equal": "kept",
    "settings": "kept",
    "exits": "undone",
    "crashes": "undone",
    "rejects-most": "undone",
    "spoils": "undone",
    "slow": "undone",
    "leaks": "undone",
    "half": "undone",
    "rejects": "undone",
}


class RolloutRun(NamedTuple):
    """One rollout that was played to its end."""

    verdict: dict[str, Any]  # of `hub-scenario --json`
    rollback_stage: int  # 0 without a rollback
    rollback_reason: str
    holds: int  # how often the controller held the rollout

    @property
    def is_as_expected(self) -> bool:
        """Whether the rollout ended as the scenario says."""
        return bool(self.verdict["roll"]["as_stated"])


class FailedRun(NamedTuple):
    """A scenario that could not be played."""

    error: str  # the end of what it wrote to standard error


def scenario_of(kind: str) -> dict[str, Any]:
    """Return the scenario with the program of this kind and its expected end."""
    with (ROOT / "scenarios" / "rolling.yaml").open() as file:
        scenario: dict[str, Any] = YAML(typ="safe").load(file)
    rollout = scenario["roll"]
    rollout["now"], rollout["ends"] = kind, ENDS[kind]
    if kind == "settings":
        rollout["now"], rollout["settings"] = "", {"node.max_wait": "1s"}
    return scenario


def phase_changes(folder: Path) -> list[dict[str, Any]]:
    """Return the log events of the controllers' phases, from the logs in a folder."""
    events = [
        json.loads(line)
        for path in sorted(folder.glob("controller-*.log"))
        for line in path.read_text().splitlines()
        if line.startswith("{")
    ]
    return [event for event in events if event["event"] == LogEvent.PHASE_CHANGED]


def play(kind: str, seed: int, folder: Path) -> RolloutRun | FailedRun:
    """Play a scenario in a folder of its own; return its verdict and what the controller logged."""
    run_folder = folder / f"{kind}-{seed}"
    run_folder.mkdir()
    scenario, logs = run_folder / "day.json", run_folder / "kept"
    scenario.write_text(json.dumps(scenario_of(kind)))
    options = ["--seed", str(seed), "--json", "--quiet", "--keep", str(logs)]
    done = subprocess.run(
        [sys.executable, "-m", "myrtlehub.cli.scenario", str(scenario), *options],
        capture_output=True,
        text=True,
    )
    if done.returncode not in (0, 1):
        return FailedRun(done.stderr[-500:])
    changes = phase_changes(logs)
    rollback = next((c for c in changes if c["phase"] == "undoing"), None)
    return RolloutRun(
        verdict=json.loads(done.stdout),
        rollback_stage=rollback["stage"] if rollback else 0,
        rollback_reason=rollback["reason"] if rollback else "",
        holds=sum(c["phase"] == "holding" for c in changes),
    )


def print_row(kind: str, runs: list[RolloutRun | FailedRun]) -> None:
    """Print the row of one kind of program."""
    complete = [run for run in runs if isinstance(run, RolloutRun)]
    good = [run for run in complete if run.is_as_expected]
    durations = [run.verdict["roll"]["seconds"] for run in complete]
    broken = sum(bool(rule["breaches"]) for run in complete for rule in run.verdict["rules"])
    traffic = [row for run in complete for row in run.verdict["traffic"].values()]
    goodput = [row["goodput"] for row in traffic if row["goodput"] is not None]
    print(
        f"| {kind} | {len(runs)} | {len(good)} | {sum(run.rollback_stage <= 2 for run in good)} | {broken} | "
        f"{sum(run.holds for run in complete)} | {median(durations):.0f}, {max(durations):.0f} | "
        f"{sum(goodput) / len(goodput):.3f} |",
        flush=True,
    )


def print_faults(kind: str, runs: list[RolloutRun | FailedRun]) -> None:
    """Print to standard error the runs that failed, ended unexpectedly or did not clean up."""
    for run in runs:
        fault: object = None
        if isinstance(run, FailedRun):
            fault = run.error
        elif not run.is_as_expected or run.verdict.get("unclean"):
            fault = (run.verdict["roll"], run.rollback_reason[:200], run.verdict["unclean"][:3])
        if fault is not None:
            print(f"    {kind}: {fault}", file=sys.stderr, flush=True)


def main() -> None:
    """Play the rollouts and print one row for each kind."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--each", type=int, default=20)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--kinds", nargs="*", default=list(ENDS))
    options = parser.parse_args()
    print("| program | rolls | as stated | by stage 2 | rules broken | held | s, p50 and max | goodput |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as name, ThreadPoolExecutor(options.at_once) as pool:
        for kind in options.kinds:
            runs = list(pool.map(lambda seed, kind=kind: play(kind, seed, Path(name)), range(options.each)))
            print_row(kind, runs)
            print_faults(kind, runs)


if __name__ == "__main__":
    main()
