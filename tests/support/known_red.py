"""KNOWN-RED.txt: tests that fail for a real fault not mended yet, a line each: test id | cause | issue.

They run; just these may fail, and each is printed with its outcome. Whatever the file says beyond three such
lines, or names that is no test, ends the run: the list is short, and does not outlive its tests.
"""

from pathlib import Path

import pytest

MOST = 3


def read_known_red(text: str) -> dict[str, tuple[str, str]]:
    """Cause and issue by test id; UsageError names the line that is none."""
    known: dict[str, tuple[str, str]] = {}
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or parts[0] in known:
            raise pytest.UsageError(
                f"KNOWN-RED.txt:{number}: {line!r} is not 'test id | cause | issue', each test once"
            )
        known[parts[0]] = (parts[1], parts[2])
    if len(known) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(known)} lines; {MOST} at most")
    return known


class KnownRed:
    """Lets these tests fail, and says at the end how each did."""

    def __init__(self, known: dict[str, tuple[str, str]]) -> None:
        self.known, self.outcomes = known, dict.fromkeys(known, "not run")

    @pytest.hookimpl(trylast=True)
    def pytest_collection_modifyitems(self, session: pytest.Session, items: list[pytest.Item]) -> None:
        there = {item.nodeid: item for item in items}
        files = {item.nodeid.partition("::")[0] for item in items}
        for name, (cause, issue) in self.known.items():
            file = name.partition("::")[0]
            if name in there:
                there[name].add_marker(pytest.mark.xfail(reason=f"{cause} ({issue})", strict=False))
            elif file in files or not (session.config.rootpath / file).exists():
                raise pytest.UsageError(f"KNOWN-RED.txt: {name} is no test")

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid in self.known and (report.when == "call" or report.outcome != "passed"):
            self.outcomes[report.nodeid] = "failed" if report.outcome == "skipped" else report.outcome

    def pytest_terminal_summary(self, terminalreporter: object) -> None:
        for name, outcome in self.outcomes.items():
            cause, issue = self.known[name]
            terminalreporter.write_line(f"KNOWN-RED {outcome}: {name} | {cause} | {issue}")


def pytest_configure(config: pytest.Config) -> None:
    path: Path = config.rootpath / "KNOWN-RED.txt"
    known = read_known_red(path.read_text()) if path.exists() else {}
    config.pluginmanager.register(KnownRed(known), "known red")
