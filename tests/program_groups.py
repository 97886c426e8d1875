"""Groups of tests that start programs: a group's tests run one after another, on one worker of pytest-xdist.

So at most as many of them run at once as there are groups, however many workers there are: they are bound to
real time, and programs of two tests neither take one another's ports nor all cores.
"""

from pathlib import Path

import pytest

GROUP_OF_FILE = {
    "test_rollout_processes.py": "rollout programs",
    "test_takeover_processes.py": "other programs",
    "test_client.py": "other programs",
    "test_probe.py": "other programs",
    "test_relay_process.py": "other programs",
    "test_relay_races.py": "other programs",
}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark each test that starts programs with its group."""
    for item in items:
        group = GROUP_OF_FILE.get(item.path.name)
        if group is not None:
            item.add_marker(pytest.mark.xdist_group(group))


def pytest_configure(config: pytest.Config) -> None:
    """Refuse to run where a file of the table is missing, as its tests would run in no group.

    Raises:
        pytest.UsageError: a file is missing.
    """
    folder = Path(__file__).parent
    missing = [name for name in GROUP_OF_FILE if not (folder / name).exists()]
    if missing:
        raise pytest.UsageError(f"program_groups.py: there is no {', '.join(missing)}")
