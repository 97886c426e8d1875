"""KNOWN-RED.txt: tests that fail because of an open defect, one per line: test id | cause | issue.

They run; only these may fail, and each is printed with its outcome. A malformed line, more than three tests
or a line that names no test end the run, so that the list stays short and does not outlive its tests. A file
that the run does not collect is only checked to exist.

A line may also name a script that shows a defect, by its path. The run does not start scripts, so such a line
lets no test fail; it is printed, and the script has to exist.
"""

from collections.abc import Generator
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

import pytest

MAX_TESTS = 3  # each listed test no longer guards against regressions
SCRIPT_SUFFIX = ".sh"
MadeItems = pytest.Item | pytest.Collector | list[pytest.Item | pytest.Collector] | None


class KnownRedLine(NamedTuple):
    """Why a listed test fails."""

    cause: str
    issue: str


def read_known_red(text: str) -> dict[str, KnownRedLine]:
    """Return the lines of the list by test id.

    Raises:
        pytest.UsageError: a line is malformed or repeated, or there are too many.
    """
    known: dict[str, KnownRedLine] = {}
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not _is_id(parts[0]) or parts[0] in known:
            raise pytest.UsageError(
                f"KNOWN-RED.txt:{number}: {line!r} is not 'test id | cause | issue', each test once"
            )
        known[parts[0]] = KnownRedLine(parts[1], parts[2])
    test_count = sum(not _is_script(name) for name in known)
    if test_count > MAX_TESTS:
        raise pytest.UsageError(f"KNOWN-RED.txt: {test_count} tests; {MAX_TESTS} at most")
    return known


def _is_id(name: str) -> bool:
    return _is_script(name) or "::" in name


def _is_script(name: str) -> bool:
    return "::" not in name and name.endswith(SCRIPT_SUFFIX)


class KnownRed:
    """Lets these tests fail, and prints the outcome of each at the end of the run."""

    def __init__(self, known: dict[str, KnownRedLine]) -> None:
        self.known, self.outcomes = known, dict.fromkeys(known, "not run")
        self.children: dict[str, set[str]] = {}  # ids of all that a module or class defines, by its own id

    @pytest.hookimpl(wrapper=True)
    def pytest_pycollect_makeitem(
        self, collector: pytest.Module | pytest.Class
    ) -> Generator[None, MadeItems, MadeItems]:
        """Record what a file defines before `-k`, a test id among the arguments or `--lf` select from it."""
        made = yield
        nodes = made if isinstance(made, list) else [made] if made else []
        self.children.setdefault(collector.nodeid, set()).update(node.nodeid for node in nodes)
        return made

    @pytest.hookimpl(trylast=True)
    def pytest_collection_modifyitems(self, session: pytest.Session, items: list[pytest.Item]) -> None:
        """Mark the listed tests as expected failures.

        Raises:
            pytest.UsageError: a line names no script and no test, as far as its file was collected.
        """
        for name in self.known:
            if not self._may_exist(name, session.config.rootpath):
                raise pytest.UsageError(f"KNOWN-RED.txt: {name} is no test")
        for item in items:
            if line := self.known.get(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{line.cause} ({line.issue})", strict=False))

    def _may_exist(self, name: str, root: Path) -> bool:
        """Return False if the file is missing, or a collected file or class does not define the test."""
        if _is_script(name):
            return (root / name).is_file()
        path, bracket, parameters = name.partition("[")
        parts = path.split("::")
        ids = ["::".join(parts[:length]) for length in range(1, len(parts))] + [path + bracket + parameters]
        return (root / parts[0]).exists() and all(
            child in self.children.get(parent, {child}) for parent, child in pairwise(ids)
        )

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the outcome of a listed test; an expected failure is reported as skipped."""
        if report.nodeid in self.known and (report.when == "call" or report.outcome != "passed"):
            self.outcomes[report.nodeid] = "failed" if report.outcome == "skipped" else report.outcome

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the outcome of each listed test."""
        for name, outcome in self.outcomes.items():
            line = self.known[name]
            terminalreporter.write_line(f"KNOWN-RED {outcome}: {name} | {line.cause} | {line.issue}")


def pytest_configure(config: pytest.Config) -> None:
    """Read the list and register the plugin."""
    path: Path = config.rootpath / "KNOWN-RED.txt"
    known = read_known_red(path.read_text()) if path.exists() else {}
    config.pluginmanager.register(KnownRed(known), "known red")
