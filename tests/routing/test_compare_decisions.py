"""The comparison of decisions finds none between a tree and its copy, and finds planted faults."""

import subprocess
import sys

import pytest
from paths import ROOT

SCRIPT = ROOT / "benchmarks" / "compare_decisions.py"


def compare(*options: str) -> subprocess.CompletedProcess[str]:
    """Run the comparison of the working tree with a copy of itself."""
    command = [sys.executable, str(SCRIPT), ".", "--sequences", "1500", *options]
    return subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)


def test_a_tree_decides_as_its_copy_does() -> None:
    done = compare()
    assert done.returncode == 0, done.stdout + done.stderr
    assert "1500 sequences, seed 1: no difference" in done.stdout


@pytest.mark.parametrize("fault", ["threshold", "draw"])
def test_a_planted_fault_is_found_and_shown(fault: str) -> None:
    done = compare("--plant", fault)
    assert done.returncode == 1, done.stdout + done.stderr
    assert "first difference, scenario" in done.stdout
    assert not done.stderr
