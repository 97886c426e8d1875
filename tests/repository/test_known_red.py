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


def run(folder: Path, lines: str, other: bool = True, arguments: tuple[str, ...] = ()) -> tuple[int, str]:
    (folder / "test_some.py").write_text(TESTS.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(lines)
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "known_red",
            "-p",
            "no:cacheprovider",
            *(arguments or [str(folder)]),
        ],
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
        "gone.sh | c | issue 1\n",
        "".join(f"test_some.py::test_{name} | c | issue 1\n" for name in ("red", "green", "other", "fourth"))
        + "case.sh | c | issue 1\n",
    ],
    ids=range(10),
)
def test_a_fourth_line_an_unknown_test_or_a_malformed_line_fails_the_run(tmp_path: Path, lines: str) -> None:
    code, said = run(tmp_path, lines)
    assert code == 4 and "KNOWN-RED.txt" in said


@pytest.mark.parametrize(
    "selection",
    [
        ("-k", "green"),
        ("-k", "some"),
        ("--deselect", "test_some.py::test_red"),
        ("test_some.py::test_green",),
    ],
    ids=range(4),
)
def test_a_line_must_name_a_test_of_its_file_but_the_run_need_not_select_it(
    tmp_path: Path, selection: tuple[str, ...]
) -> None:
    code, said = run(tmp_path, "test_some.py::test_red | a cause | issue 1\n", arguments=selection)
    assert code == 0 and "is no test" not in said
    outcome = "failed" if "some" in selection else "not run"
    assert f"KNOWN-RED {outcome}: test_some.py::test_red | a cause | issue 1" in said
    code, said = run(tmp_path, "test_some.py::test_gone | a cause | issue 1\n", arguments=selection)
    assert code == 4 and "KNOWN-RED.txt: test_some.py::test_gone is no test" in said


def test_a_line_may_name_a_script_which_lets_no_test_fail_and_is_printed(tmp_path: Path) -> None:
    (tmp_path / "case.sh").write_text("exit 1\n")
    tests = "".join(f"test_some.py::test_{name} | c | issue 1\n" for name in ("red", "green"))
    code, said = run(tmp_path, tests + "case.sh | a cause | issue 1\n")
    assert code == 0 and "KNOWN-RED not run: case.sh | a cause | issue 1" in said
    code, said = run(tmp_path, tests + "case.sh | a cause | issue 1\n", other=False)
    assert code == 1 and "test_other" in said


def test_a_line_may_name_a_method_or_a_parameter_set(tmp_path: Path) -> None:
    (tmp_path / "test_more.py").write_text(
        "import pytest\n"
        "class TestGroup:\n"
        "    @pytest.mark.parametrize('word', ['a::b'])\n"
        "    def test_red(self, word): assert False\n"
    )
    line = "test_more.py::TestGroup::test_red[{}] | a cause | issue 1\n"
    code, said = run(tmp_path, line.format("a::b") + "test_some.py::test_red | a cause | issue 1\n")
    assert code == 0 and "KNOWN-RED failed: test_more.py::TestGroup::test_red[a::b]" in said
    assert run(tmp_path, line.format("gone"), arguments=("-k", "green"))[0] == 4
