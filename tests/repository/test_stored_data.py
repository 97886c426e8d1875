"""Files that commit cc6ab61 wrote are read whole; `data/README.md` says how they were written."""

import shutil
from pathlib import Path

from paths import TESTS

from myrtlehub.membership.version_store import VersionStore
from myrtlehub.records import Record, Recorder
from myrtlehub.records import read as read_records
from myrtlehub.rollout.journal_format import (
    JournalEntry,
    JournalHeader,
    decode_journal,
    encode_line,
    last_generation,
)

DATA = TESTS / "data"


def stored(name: str, folder: Path) -> Path:
    """A copy, as readers may write beside a file or into it."""
    return Path(shutil.copy(DATA / name, folder))


def test_the_newest_endpoint_list_version_is_read_completely(tmp_path: Path) -> None:
    store = VersionStore(stored("endpoint_versions.db", tmp_path))
    number, source, endpoints = store.load_latest()
    store.close()
    assert (number, source) == (7, "files")
    assert [one.field_values for one in sorted(endpoints, key=lambda one: one.address)] == [
        ("10.0.0.1:8000", "reader", "a", 0, 1.0, "serving", 2.5, ""),
        ("10.0.0.2:8000", "writer", "a", 1, 0.0, "draining", 5.0, ""),
        ("10.0.0.3:8000", "reader", "b", 1, 1.0, "serving", 7.5, ""),
        ("10.0.0.4:8000", "writer", "b", 2, 1.0, "serving", 10.0, "m1"),
    ]


def test_a_rollout_journal_is_read_completely_and_written_with_the_same_bytes() -> None:
    data = (DATA / "rollout_journal.log").read_bytes()
    header, entries, intact_size = decode_journal(data)
    assert header == JournalHeader(1, "a1b2c3", ["n0", "n1", "n2"])
    assert entries == [
        JournalEntry(1700000000.5, "controller", details={"generation": 3}),
        JournalEntry(1700000001.25, "begin"),
        JournalEntry(1700000002.0, "staged", 1, "", {"revision": "r2"}),
        JournalEntry(1700000003.0, "lost", 2, "did not answer"),
        JournalEntry(1700000004.0, "controller", details={"generation": 4}),
    ]
    assert intact_size == len(data)
    assert last_generation(entries) == 4
    assert b"".join(map(encode_line, [header, *entries])) == data


RECORDS = [
    Record(5.25, "node-1", "take", {"seq": "s1", "tokens": 3}),
    Record(5.5, "node-1", "answer", {"seq": "s1", "answer": "generated", "engines": ["e1", "e2"]}),
    Record(5.75, "node-1", "begin", {"at_once": True}),
]


def test_records_of_two_processes_in_one_file_are_read_completely() -> None:
    assert list(read_records(DATA / "scenario_records.rec")) == RECORDS


def test_records_that_were_cut_off_are_read_up_to_there(tmp_path: Path) -> None:
    cut = tmp_path / "cut.rec"
    cut.write_bytes((DATA / "scenario_records.rec").read_bytes()[:-20])
    assert list(read_records(cut)) == RECORDS[:2]


def test_records_are_written_with_the_same_bytes(tmp_path: Path) -> None:
    class StepClock:
        now = 5.0

        def seconds(self) -> float:
            self.now += 0.25
            return self.now

    clock, path = StepClock(), tmp_path / "new.rec"
    for records in (RECORDS[:2], RECORDS[2:]):
        recorder = Recorder("node-1", clock, path)
        for record in records:
            recorder.note(record.what, **record.more)
        recorder.close()
    assert path.read_bytes() == (DATA / "scenario_records.rec").read_bytes()
