"""All log events are registered, logged somewhere, and explained on the on-call page."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

from paths import ROOT

from myrtlehub.log_events import LogEvent

LOG_FUNCTIONS = ("log", "_print_event", "_log_not_accepted")
# Registered, but written as bytes that the log writer has encoded beforehand.
WRITTEN_AS_BYTES = {LogEvent.LOG_LINES_DROPPED}


def package_trees() -> Iterator[tuple[Path, ast.Module]]:
    """The syntax tree of each module of the package."""
    for path in sorted((ROOT / "myrtlehub").rglob("*.py")):
        yield path, ast.parse(path.read_text())


def is_registered(node: ast.expr) -> bool:
    """Whether an expression is a member of the registry, or a parameter that holds one."""
    is_member = isinstance(node, ast.Attribute) and ast.unparse(node.value) == "LogEvent"
    return is_member or (isinstance(node, ast.Name) and node.id == "event")


def called_name(call: ast.Call) -> str:
    """The last part of the name of what is called."""
    function = call.func
    return function.attr if isinstance(function, ast.Attribute) else getattr(function, "id", "")


def test_every_log_call_names_a_registered_event() -> None:
    calls = [
        (f"{path.relative_to(ROOT)}:{node.lineno}", node)
        for path, tree in package_trees()
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and called_name(node) in LOG_FUNCTIONS
    ]
    logging = [(place, call) for place, call in calls if ast.unparse(call.func) not in ("np.log", "math.log")]
    assert len(logging) >= 40
    assert [place for place, call in logging if not call.args or not is_registered(call.args[0])] == []


def test_every_registered_event_is_logged() -> None:
    used = {
        node.attr
        for path, tree in package_trees()
        if path.name != "log_events.py"
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "LogEvent"
    }
    assert {event.name for event in set(LogEvent) - WRITTEN_AS_BYTES} == used


def test_every_event_is_explained_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "oncall.md").read_text()
    rows = [line.split("|")[1] for line in page.splitlines() if line.startswith("|")]
    explained = {name for row in rows for name in re.findall(r"`([a-z_]+)`", row)}
    assert set(LogEvent) <= explained


def test_event_names_are_snake_case() -> None:
    assert [event for event in LogEvent if not re.fullmatch(r"[a-z]+(_[a-z]+)*", event)] == []
