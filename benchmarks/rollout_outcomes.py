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
from typing import Any

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


def play(kind: str, seed: int, folder: Path) -> dict[str, Any]:
    """Play a scenario; return the verdict of `hub-scenario --json` and what the controller logged."""
    with (ROOT / "scenarios" / "rolling.yaml").open() as file:
        tree = YAML(typ="safe").load(file)
    roll = tree["roll"]
    roll["now"], roll["ends"] = kind, ENDS[kind]
    if kind == "settings":
        roll["now"], roll["settings"] = "", {"node.max_wait": "1s"}
    where = folder / f"{kind}-{seed}"
    where.mkdir()
    (where / "day.json").write_text(json.dumps(tree))
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "myrtlehub.cli.scenario",
            str(where / "day.json"),
            "--seed",
            str(seed),
            "--json",
            "--quiet",
            "--keep",
            str(where / "kept"),
        ],
        capture_output=True,
        text=True,
    )
    if done.returncode not in (0, 1):
        return {"failed": done.stderr[-500:]}
    verdict: dict[str, Any] = json.loads(done.stdout)
    lines = [
        json.loads(line)
        for path in sorted((where / "kept").glob("controller-*.log"))
        for line in path.read_text().splitlines()
        if line.startswith("{")
    ]
    changes = [line for line in lines if line["event"] == LogEvent.PHASE_CHANGED]
    verdict["stage"] = next((c["stage"] for c in changes if c["phase"] == "undoing"), 0)
    verdict["why"] = next((c["reason"] for c in changes if c["phase"] == "undoing"), "")
    verdict["held"] = sum(c["phase"] == "holding" for c in changes)
    return verdict


def main() -> None:
    """Play the rollouts and print one row for each kind."""
    ask = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    ask.add_argument("--each", type=int, default=20)
    ask.add_argument("--at-once", type=int, default=2)
    ask.add_argument("--kinds", nargs="*", default=list(ENDS))
    args = ask.parse_args()
    print("| program | rolls | as stated | by stage 2 | rules broken | held | s, p50 and max | goodput |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as name, ThreadPoolExecutor(args.at_once) as pool:
        for kind in args.kinds:
            days = list(pool.map(lambda seed, kind=kind: play(kind, seed, Path(name)), range(args.each)))
            whole = [d for d in days if "failed" not in d]
            good = [d for d in whole if d["roll"]["as_stated"]]
            took = [d["roll"]["seconds"] for d in whole]
            broken = sum(bool(r["breaches"]) for d in whole for r in d["rules"])
            goodput = [t["goodput"] for d in whole for t in d["traffic"].values() if t["goodput"] is not None]
            print(
                f"| {kind} | {len(days)} | {len(good)} | {sum(d['stage'] <= 2 for d in good)} | {broken} | "
                f"{sum(d['held'] for d in whole)} | {median(took):.0f}, {max(took):.0f} | "
                f"{sum(goodput) / len(goodput):.3f} |",
                flush=True,
            )
            for d in days:
                if d not in good or d.get("unclean"):
                    print(
                        f"    {kind}: {d.get('failed') or (d['roll'], d['why'][:200], d['unclean'][:3])}",
                        file=sys.stderr,
                        flush=True,
                    )


if __name__ == "__main__":
    main()
