"""Tests of `benchmarks/compare_decisions.py` with unchanged copies of the tree and with planted faults."""

import subprocess
import sys

import pytest
from paths import ROOT

SCRIPT = ROOT / "benchmarks" / "compare_decisions.py"


def compare(*options: str) -> subprocess.CompletedProcess[str]:
    """Compare the working tree with a copy of itself."""
    command = [sys.executable, str(SCRIPT), ".", "--sequences", "1500", *options]
    return subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)


def test_a_tree_and_its_copy_make_the_same_decisions() -> None:
    done = compare()
    assert done.returncode == 0, done.stdout + done.stderr
    assert "1500 sequences, seed 1: no difference" in done.stdout


@pytest.mark.parametrize("fault", ["threshold", "draw"])
def test_the_first_difference_of_a_planted_fault_is_shown(fault: str) -> None:
    done = compare("--plant", fault)
    assert done.returncode == 1, done.stdout + done.stderr
    assert "first difference, scenario" in done.stdout
    assert not done.stderr
