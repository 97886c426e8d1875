"""Watched endpoint list files: incomplete, renamed and missing files, and a start from the version store."""

from pathlib import Path
from random import Random

from endpointlists import list_text, make_validator
from twisted.internet.task import Clock

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.log_events import LogEvent
from myrtlehub.membership.endpoint_source import EndpointListUpdate
from myrtlehub.membership.endpoint_watcher import EndpointWatcher
from myrtlehub.membership.file_monitor import WatchConfig
from myrtlehub.membership.snapshot import read_snapshot
from myrtlehub.membership.version_store import VersionStore


class WatcherHarness:
    """A watcher on a test clock, and the endpoint list that its listener has received."""

    def __init__(
        self, folder: Path, patterns: tuple[str, ...] = ("a.yaml",), store: VersionStore | None = None
    ) -> None:
        self.clock = Clock()
        self.store = store
        self.received: list[tuple[int, list[str]]] = []  # version numbers and addresses
        self.logged: list[tuple[str, dict]] = []
        self.endpoints: dict[str, EndpointConfig] = {}
        self.validator = make_validator(max_removed=1.0, max_flaps=10**6)
        self.watcher = EndpointWatcher(
            WatchConfig(patterns, folder, poll_interval=1.0, quiet_time=0.1),
            self.validator,
            self.clock,
            store=store,
            log=lambda event, **fields: self.logged.append((event, fields)),
        )
        self.watcher.subscribe(self.receive)

    def receive(self, update: EndpointListUpdate) -> None:
        """Apply an update; the watcher's listener."""
        if update.is_complete:
            self.endpoints.clear()
        for endpoint in update.endpoints:
            self.endpoints.pop(endpoint.address, None)
            if endpoint.state != "gone":
                self.endpoints[endpoint.address] = endpoint
        self.received.append((update.version.number, sorted(self.endpoints)))

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of 50 ms."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def names(self) -> str:
        """Return the names of the endpoints on the listener's list."""
        return " ".join(address[:-2] for address in sorted(self.endpoints))

    def received_names(self) -> list[str]:
        """Return the names of the endpoints on the listener's list after each update."""
        return [" ".join(address[:-2] for address in addresses) for _, addresses in self.received]


def test_a_partly_written_file_is_never_used(tmp_path: Path) -> None:
    path = tmp_path / "a.yaml"
    before = list_text("r1 w1 w2")
    after = list_text("r1 w1 w2 w3 w4")
    path.write_text(before)
    harness = WatcherHarness(tmp_path)
    for length in range(len(after)):
        # Each prefix changes again within the quiet time. If it parses, it could be a valid list.
        snapshot = read_snapshot(("a.yaml",), tmp_path)
        path.write_text(after[:length])
        harness.watcher.files_changed()
        harness.run(0.05)
        path.write_text(after[:length] + " ")
        harness.watcher.files_changed()
        harness.run(0.05)
        assert harness.names() == "r1 w1 w2", (length, snapshot.faults)
    path.write_text(after)
    harness.watcher.files_changed()
    harness.run(0.5)
    assert harness.names() == "r1 w1 w2 w3 w4"
    assert set(harness.received_names()) <= {"r1 w1 w2", "r1 w1 w2 w3 w4"}


def test_incomplete_files_that_stay_unchanged_are_rejected_with_line_and_correction(tmp_path: Path) -> None:
    path = tmp_path / "a.yaml"
    path.write_text(list_text("r1 w1 w2"))
    harness = WatcherHarness(tmp_path)
    for text, reason in (
        ("engines:\n  - {address: 'r1:1', kind: rea", "a.yaml:2: not YAML"),
        ("engines: [", "not YAML"),
        ("engine:\n", "did you mean 'engines'?"),
        ("", "a file of fields is wanted"),
        (list_text("r1 w1").replace("kind: writer", "kind: wirter"), "kind 'wirter' is not among"),
        (list_text("r1"), "no engine that serves can write"),
    ):
        path.write_text(text)
        harness.watcher.files_changed()
        harness.run(0.5)
        assert harness.names() == "r1 w1 w2" and harness.logged[-1][0] == LogEvent.ENDPOINT_LIST_REJECTED
        assert reason in harness.logged[-1][1]["reason"]


def test_renames_symlinks_and_missing_directories_are_detected(tmp_path: Path) -> None:
    folder = tmp_path / "d"
    folder.mkdir()
    (folder / "1.yaml").write_text(list_text("r1 w1"))
    (folder / ".hidden.yaml").write_text("garbage: [")
    harness = WatcherHarness(tmp_path, ("d",))
    (tmp_path / "new").write_text(list_text("w2"))
    (tmp_path / "new").replace(folder / "2.yaml")  # an atomic rename, detected by polling only
    harness.run(1.6)
    assert harness.names() == "r1 w1 w2"
    (tmp_path / "real").write_text(list_text("w3"))
    (folder / "3.yaml").symlink_to(tmp_path / "real")
    harness.run(1.6)
    assert harness.names() == "r1 w1 w2 w3"
    (tmp_path / "real2").write_text(list_text("w4"))
    (tmp_path / "link").symlink_to(tmp_path / "real2")
    (tmp_path / "link").replace(folder / "3.yaml")  # replaces the symbolic link
    harness.run(1.6)
    assert harness.names() == "r1 w1 w2 w4"
    folder.rename(tmp_path / "elsewhere")
    harness.run(1.6)
    assert harness.names() == "r1 w1 w2 w4" and harness.logged[-1][0] == LogEvent.ENDPOINT_LIST_REJECTED
    assert harness.validator.source_lost_at is not None
    assert harness.validator.version_age(harness.clock.seconds() + 5.0) > 5.0
    folder.mkdir()
    (folder / "9.yaml").write_text(list_text("r1 w9"))
    harness.run(1.6)
    assert harness.names() == "r1 w9" and harness.validator.source_lost_at is None
    (folder / "8.yaml").write_text(list_text("w9", weight=2.0))  # two files contradict each other
    harness.run(1.6)
    assert harness.names() == "r1 w9" and "has other figures in" in harness.logged[-1][1]["reason"]


def test_a_burst_of_complete_and_incomplete_writes_ends_in_the_last_valid_list(tmp_path: Path) -> None:
    path = tmp_path / "a.yaml"
    random = Random(5)
    path.write_text(list_text("r1 w1"))
    harness = WatcherHarness(tmp_path)
    written = {"r1 w1"}
    for step in range(150):
        names = f"r1 w{step % 7} w{7 + step % 3}"
        complete = list_text(names)
        path.write_text(complete[: random.randrange(len(complete))] if step % 3 else complete)
        harness.watcher.files_changed()
        harness.clock.advance(random.choice([0.01, 0.01, 0.03, 0.15]))
        path.write_text(complete)
        harness.watcher.files_changed()
        written.add(" ".join(sorted(names.split())))
        harness.clock.advance(0.01)
    harness.run(1.0)
    assert harness.names() == " ".join(sorted(names.split()))
    for received in harness.received_names():
        assert received in written
    assert [number for number, _ in harness.received] == list(range(1, len(harness.received) + 1))


def test_a_start_without_valid_files_uses_the_stored_version(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text(list_text("r1 w1"))
    harness = WatcherHarness(tmp_path, store=VersionStore(tmp_path / "s.db"))
    (tmp_path / "a.yaml").write_text(list_text("r1 w1 w2"))
    harness.run(1.6)
    harness.store.close()
    (tmp_path / "a.yaml").unlink()
    harness = WatcherHarness(tmp_path, store=VersionStore(tmp_path / "s.db"))
    version = harness.validator.version
    assert harness.names() == "r1 w1 w2" and version.is_from_store and "version 2" in version.source
    (tmp_path / "a.yaml").write_text(list_text("r1 w5"))
    harness.run(1.6)
    version = harness.validator.version
    assert harness.names() == "r1 w5" and not version.is_from_store and version.number == 4
    harness.store.close()
