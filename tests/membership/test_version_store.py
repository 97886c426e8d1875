"""The version store: bit flips, later schemas, and a process that is killed at each step of a save."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest
from endpointlists import list_text, make_endpoints, make_validator
from paths import ROOT, TESTS
from twisted.internet.task import Clock

from myrtlehub.log_events import LogEvent
from myrtlehub.membership.endpoint_watcher import EndpointWatcher
from myrtlehub.membership.file_monitor import WatchConfig
from myrtlehub.membership.list_version import make_version
from myrtlehub.membership.version_store import VersionStore, VersionStoreError


def test_a_corrupted_or_truncated_store_is_not_used(tmp_path: Path) -> None:
    path = tmp_path / "s.db"
    store = VersionStore(path)
    store.save(make_version(1, make_endpoints("r1 w1"), "t", 0.0))
    store.save(make_version(2, make_endpoints("r1 w1 w2"), "t", 0.0))
    store.close()
    intact = path.read_bytes()
    loaded_count = 0
    for offset in range(0, len(intact), 37):
        path.write_bytes(intact[:offset] + bytes([intact[offset] ^ 0x10]) + intact[offset + 1 :])
        for suffix in ("-wal", "-shm"):
            Path(f"{path}{suffix}").unlink(missing_ok=True)
        store = VersionStore(path)
        try:
            found = store.load_latest()
        except VersionStoreError:
            continue
        finally:
            store.close()
        if found is not None:
            loaded_count += 1
            addresses = [endpoint.address for endpoint in found.endpoints]
            assert addresses in (["r1:1", "w1:1"], ["r1:1", "w1:1", "w2:1"]), offset
    assert loaded_count > 10
    path.write_bytes(intact[: len(intact) // 2])
    with pytest.raises(VersionStoreError):
        VersionStore(path).load_latest()


def test_a_store_of_a_later_schema_is_reported_and_not_changed(tmp_path: Path) -> None:
    """After a rollback, the earlier program finds such a store."""
    path = tmp_path / "s.db"
    later_store = VersionStore(path)
    later_store.save(make_version(1, make_endpoints("r1 w1"), "t", 0.0))
    later_store._connection.execute("ALTER TABLE versions ADD COLUMN more TEXT NOT NULL DEFAULT ''")
    same_schema = VersionStore(path)
    assert same_schema.load_latest().number == 1  # an additional column is ignored
    same_schema.close()  # an open connection would prevent the checkpoint of the write-ahead log
    later_store._connection.execute(
        "INSERT INTO versions SELECT 7, source, digest, sum, rows, 'x' FROM versions"
    )
    later_store._connection.execute("PRAGMA user_version=2")
    later_store.close()
    before = path.read_bytes()
    store = VersionStore(path)
    with pytest.raises(
        VersionStoreError, match="has schema version 2, and this program knows versions up to 1"
    ):
        store.save(make_version(8, make_endpoints("r1 w1 w2"), "t", 0.0))
    listed = tmp_path / "list"
    listed.mkdir()
    (listed / "engines.yaml").write_text(list_text("reader1 w1"))
    received: list[int] = []
    logged: list[str] = []
    clock = Clock()
    watcher = EndpointWatcher(
        WatchConfig([str(listed)], tmp_path, poll_interval=1.0, quiet_time=0.1),
        make_validator(),
        clock,
        store=store,
        log=lambda event, **fields: logged.append(event),
    )
    watcher.subscribe(lambda update: received.append(len(update.endpoints)))
    clock.pump([0.5] * 10)
    assert received and {LogEvent.VERSION_STORE_READ_FAILED, LogEvent.VERSION_STORE_WRITE_FAILED} & set(
        logged
    )
    assert path.read_bytes() == before


SAVE_KILLED_AT_STEP = """
import os, signal, sys
sys.path[:0] = [{root!r}, {tests!r}]
from endpointlists import make_endpoints
from myrtlehub.membership.list_version import make_version
from myrtlehub.membership.version_store import VersionStore
def on_step(step):
    if step == sys.argv[1]:
        os.kill(os.getpid(), signal.SIGKILL)
VersionStore(sys.argv[2], on_step).save(make_version(2, make_endpoints("r1 w1 w2"), "t", 0.0))
"""


@pytest.mark.parametrize("step", ["open", "begin", "insert", "prune", "commit", "done"])
def test_a_save_killed_at_any_step_leaves_an_intact_version(step: str, tmp_path: Path) -> None:
    path = tmp_path / "s.db"
    store = VersionStore(path)
    store.save(make_version(1, make_endpoints("r1 w1"), "t", 0.0))
    store.close()
    script = SAVE_KILLED_AT_STEP.format(root=str(ROOT), tests=str(TESTS / "support"))
    process = subprocess.run([sys.executable, "-c", script, step, path], timeout=60)
    assert process.returncode == -signal.SIGKILL
    found = VersionStore(path).load_latest()
    assert (found.number, len(found.endpoints)) == ((2, 3) if step == "done" else (1, 2))
