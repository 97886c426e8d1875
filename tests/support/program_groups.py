"""Groups of tests that start programs: a group's tests run one after another, on one worker of pytest-xdist.

The number of groups thus bounds how many of these tests run in parallel, for any number of workers. They
depend on real time, and must not compete for ports or take all cores. All other tests go to any free worker.
"""

from pathlib import Path

import pytest
from paths import TESTS

GROUP_OF_FILE = {
    "test_rollout_processes.py": "rollout programs",
    "test_takeover_processes.py": "other programs",
    "test_client.py": "other programs",
    "test_load_probes.py": "other programs",
    "test_relay_process.py": "other programs",
    "test_relay_races.py": "other programs",
    "test_relay_unarrived_attempts.py": "other programs",
    "test_relay_local_failures.py": "other programs",
    "test_relay_floods.py": "other programs",
    "test_relay_memory_process.py": "other programs",
    "test_relay_incomplete_streams.py": "other programs",
    "test_relay_slow_engines.py": "other programs",
    "test_relay_endless_responses.py": "other programs",
    "test_relay_slow_readers.py": "other programs",
    "test_relay_response_endings.py": "other programs",
    "test_fault_soak.py": "fault soak",
}


def group_of(node_id: str) -> str:
    """Return the group of a test; a test that starts no program forms a group by itself."""
    return GROUP_OF_FILE.get(Path(node_id.partition("::")[0]).name, node_id)


class ProgramGroupPlugin:
    """Makes pytest-xdist schedule tests by these groups."""

    @pytest.hookimpl
    def pytest_xdist_make_scheduler(self, config: pytest.Config, log: object) -> object:
        """Make the scheduler of a run with workers."""
        from xdist.scheduler import LoadScopeScheduling  # type: ignore[import-untyped] # it has no annotations

        class GroupScheduling(LoadScopeScheduling):  # type: ignore[misc] # as above
            def _split_scope(self, nodeid: str) -> str:
                return group_of(nodeid)

        return GroupScheduling(config, log)


def pytest_configure(config: pytest.Config) -> None:
    """Abort the run if a file of the table is missing, since its tests would be in no group.

    Raises:
        pytest.UsageError: a file is missing.
    """
    names = {path.name for path in TESTS.rglob("test_*.py")}
    missing = [name for name in GROUP_OF_FILE if name not in names]
    if missing:
        raise pytest.UsageError(f"program_groups.py: there is no {', '.join(missing)}")
    if config.pluginmanager.hasplugin("xdist"):
        config.pluginmanager.register(ProgramGroupPlugin(), "program groups")
