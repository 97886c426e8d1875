"""The list of tests that may fail: just these, three at most, and none that is no test."""

import subprocess
import sys
from pathlib import Path

import pytest
from paths import ROOT

TESTS = """
def test_red(): assert False
def test_green(): assert True
def test_other(): assert {other}
"""


def run(folder: Path, lines: str, other: bool = True) -> tuple[int, str]:
    (folder / "test_some.py").write_text(TESTS.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(lines)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider", str(folder)],
        capture_output=True,
        text=True,
        check=False,
        cwd=folder,
        env={"PYTHONPATH": str(ROOT / "tests" / "support")},
    )
    return done.returncode, done.stdout + done.stderr


def test_a_listed_test_may_fail_and_is_printed_with_its_outcome(tmp_path: Path) -> None:
    code, said = run(
        tmp_path, "test_some.py::test_red | a cause | issue 1\ntest_some.py::test_green | another | issue 2\n"
    )
    assert code == 0
    assert "KNOWN-RED failed: test_some.py::test_red | a cause | issue 1" in said
    assert "KNOWN-RED passed: test_some.py::test_green | another | issue 2" in said


def test_any_other_test_that_fails_fails_the_run(tmp_path: Path) -> None:
    code, said = run(tmp_path, "test_some.py::test_red | a cause | issue 1\n", other=False)
    assert code == 1 and "test_other" in said
    assert run(tmp_path, "")[0] == 1


@pytest.mark.parametrize(
    "lines",
    [
        "".join(f"test_some.py::test_{name} | c | issue 1\n" for name in ("red", "green", "other", "fourth")),
        "test_some.py::test_gone | c | issue 1\n",
        "test_gone.py::test_red | c | issue 1\n",
        "test_some.py::test_red | c\n",
        "test_some.py::test_red | | issue 1\n",
        "test_some.py | c | issue 1\n",
        "test_some.py::test_red | c | issue 1\n" * 2,
        "\n",
    ],
    ids=range(8),
)
def test_a_fourth_line_an_unknown_test_or_a_malformed_line_fails_the_run(tmp_path: Path, lines: str) -> None:
    code, said = run(tmp_path, lines)
    assert code == 4 and "KNOWN-RED.txt" in said
