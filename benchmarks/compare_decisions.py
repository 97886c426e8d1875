"""Compares the decisions of the working tree's router with those of a commit's router, to the last bit.

    python benchmarks/compare_decisions.py cc6ab61 [--sequences 100000] [--seed 1] [--plant threshold]

The same seeded fleet (`driven_fleet.py`) drives each router in a separate process, and their actions are
compared one by one. Exits with 0 if nothing differs, else with 1, and prints the first difference. `--plant`
puts a small fault into a copy of the working tree, which the comparison must find. The commit `.` is the
working tree itself.
"""

import argparse
import io
import itertools
import os
import re
import shutil
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import IO, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
DRIVER = Path(__file__).resolve().with_name("driven_fleet.py")
THRESHOLD = re.compile(r"^(\s*\w*split\w*\s*(?::\s*\w+\s*)?=\s*)600\.0\b", re.IGNORECASE | re.MULTILINE)
PLANTED_THRESHOLD = r"\g<1>615.0"
PLANTED_DRAW = "40"  # number of the draw that each random generator skips


class PlantError(Exception):
    """The constant to change was not found exactly once."""


def tree_of(commit: str, folder: Path) -> Path:
    """Copy the package at a commit into a folder and return the folder; `.` is the working tree."""
    if commit == ".":
        shutil.copytree(
            ROOT / "myrtlehub", folder / "myrtlehub", ignore=shutil.ignore_patterns("__pycache__")
        )
        return folder
    archive = subprocess.run(
        ["git", "archive", commit, "myrtlehub"], cwd=ROOT, check=True, stdout=subprocess.PIPE
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as packed:
        packed.extractall(folder, filter="data")
    return folder


def plant_threshold(tree: Path) -> None:
    """Change one constant: the number of uncached tokens from which a sequence is disaggregated."""
    places = [path for path in tree.glob("myrtlehub/routing/**/*.py") if THRESHOLD.search(path.read_text())]
    if len(places) != 1:
        raise PlantError(f"the split threshold stands in {len(places)} files")
    text, count = THRESHOLD.subn(PLANTED_THRESHOLD, places[0].read_text())
    if count != 1:
        raise PlantError(f"the split threshold stands {count} times in {places[0].name}")
    places[0].write_text(text)


class Driver(NamedTuple):
    """The driver of one tree, as a process."""

    process: subprocess.Popen[str]
    output: IO[str]


def start(tree: Path, options: argparse.Namespace, *more: str) -> Driver:
    """Start the driver for one tree."""
    process = subprocess.Popen(
        [
            sys.executable,
            str(DRIVER),
            str(tree),
            *("--seed", str(options.seed)),
            *("--sequences", str(options.sequences)),
            *more,
        ],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONHASHSEED": "1", "PYTHONPATH": str(tree)},
    )
    if process.stdout is None:
        raise RuntimeError("the driver was started without a pipe for its output")
    return Driver(process, process.stdout)


def first_difference(one: Iterator[str], other: Iterator[str]) -> tuple[str, str, str] | None:
    """Return the scenario and both lines of the first difference, None if there is none."""
    scenario, last = "", ""
    for left, right in itertools.zip_longest(one, other, fillvalue="(nothing)\n"):
        if left != right:
            return scenario, left, right
        if left.startswith("0 "):
            scenario = left[2:].strip()
        last = left
    if not last.startswith("#"):
        return scenario, last, "(neither came to its end)"
    sys.stdout.write(last)
    return None


def compare(base: Driver, present: Driver) -> int:
    """Compare the output of both drivers, and return the exit status."""
    found = first_difference(base.output, present.output)
    for driver in (base, present):
        if found is not None:
            driver.process.kill()
        driver.output.close()
        driver.process.wait()
    if found is not None:
        scenario, left, right = found
        sys.stdout.write(f"first difference, {scenario}, lines begin with the event's number:\n")
        sys.stdout.write(f"  commit:       {left}  working tree: {right}")
        return 1
    return max(base.process.returncode, present.process.returncode)


def main() -> int:
    """Compare a commit with the working tree."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("commit")
    parser.add_argument("--sequences", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plant", choices=("threshold", "draw"))
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        trees = Path(folder, "commit"), Path(folder, "present")
        base = tree_of(options.commit, trees[0])
        present = tree_of(".", trees[1])
        if options.plant == "threshold":
            plant_threshold(present)
        more = ("--skip-draw", PLANTED_DRAW) if options.plant == "draw" else ()
        status = compare(start(base, options), start(present, options, *more))
    if status == 0:
        sys.stdout.write(f"{options.sequences} sequences, seed {options.seed}: no difference\n")
    return status


if __name__ == "__main__":
    sys.exit(main())
