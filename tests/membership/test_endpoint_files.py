"""Nodes that read their endpoint list from files, checked by the list version of each attempt.

The environment variable `MYRTLEHUB_VERSIONS` sets the number of versions to write, for example 5000; the
default keeps the tests short.
"""

import os
import re
from pathlib import Path
from random import Random

import pytest
from fleet import Fleet
from fleet_checks import assert_nothing_left, assert_rules_kept

from myrtlehub.lab.endpoint_list_checker import EndpointListChecker
from myrtlehub.lab.endpoint_list_writer import EndpointListWriter, list_text
from myrtlehub.lab.scenario_file import ListFilesConfig
from myrtlehub.membership.endpoint_watcher import EndpointWatcher
from myrtlehub.membership.snapshot import read_snapshot
from myrtlehub.records import Record

VERSION_COUNT = int(os.environ.get("MYRTLEHUB_VERSIONS", "150"))
LIST_SETTINGS = (
    ", end_marked: yes, quiet: 30ms, poll: 200ms, damp: {flaps: off}, confirm: {most_removed: any}"
)


def start_fleet(
    base: Path, engines: str = "R0 R0 W0 W0 W0", lists: str = LIST_SETTINGS, **options: object
) -> Fleet:
    """Write the endpoint list files of a fleet, and start its nodes."""
    endpoints = [
        {
            "address": f"{role_and_cell}{chr(97 + number)}:1",
            "kind": "reader" if role_and_cell[0] == "R" else "writer",
            "zone": "north",
            "cell": int(role_and_cell[1]),
        }
        for number, role_and_cell in enumerate(engines.split())
    ]
    for number in range(options.get("nodes", 1)):
        (base / f"list-n{number}").mkdir()
        (base / f"list-n{number}" / "engines.yaml").write_text(list_text(endpoints))
    return Fleet(engines, list_folder=base, list_options=lists, **options)


def write_list(fleet: Fleet, node: str = "n0", **changed: dict) -> None:
    """Replace a node's list file, with some engines changed, or removed if their change is None."""
    endpoints = [
        {**row, **(changed.get(engine) or {})}
        for engine, row in fleet.endpoints.items()
        if engine not in changed or changed[engine] is not None
    ]
    path = fleet.list_folder / f"list-{node}" / "engines.yaml"
    path.with_name(".new").write_text(list_text(endpoints))
    path.with_name(".new").rename(path)


def test_every_attempt_uses_a_list_version_that_was_complete_on_disk(tmp_path: Path) -> None:
    fleet = start_fleet(tmp_path, read_rate=30000.0, slots=40, step="4ms")
    endpoints = [{**row, "state": "serving", "age": "0s"} for row in fleet.endpoints.values()]
    config = ListFilesConfig(every="200ms", burst=8)
    writer = EndpointListWriter(
        "n0", tmp_path / "list-n0", config, fleet.clock, Random(3), fleet.scenario_recorder, lambda: endpoints
    )
    version = fleet.nodes["n0"].endpoint_source.validator.version
    fleet.scenario_recorder.note(
        "wrote", node="n0", digest=version.digest[:16], serving=sorted(version.endpoints)
    )
    writer.start()
    random = Random(4)
    request_count = 0
    while writer.versions < VERSION_COUNT:
        fleet.generate(random.choice(["ask", "post", "note"]), prompt=random.choice([200, 1500]), output=20)
        request_count += 1
        fleet.run(0.04)
    writer.stop()
    fleet.run(1.0)
    for _ in range(5):
        fleet.generate("ask", prompt=100, output=10)
    fleet.run(5.0)
    checker = EndpointListChecker(0.25)
    changes = []
    for record in fleet.log:
        changes += checker.see(record)
    checker.finish(fleet.clock.seconds())
    assert checker.violations == []
    assert (
        checker.attempts >= request_count
        and checker.versions_used > VERSION_COUNT / 20
        and len(changes) > VERSION_COUNT / 20
    )
    assert writer.torn > VERSION_COUNT / 5 and writer.invalid > VERSION_COUNT / 10
    # The sort is stable, so a change precedes the attempts that use it.
    fleet.log[:] = sorted([*changes, *fleet.log], key=lambda record: record.at)
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)
    reasons = [rejection.reason for rejection in fleet.nodes["n0"].endpoint_source.validator.rejections]
    # Each reason states the file and line of the fault, or how to correct it.
    assert len(reasons) > 5
    unclear = [text for text in reasons if not (re.search(r"engines\.yaml:\d+: ", text) or "; " in text)]
    assert unclear == []
    print(
        f"{writer.versions} versions, {writer.torn} torn, {writer.invalid} invalid, "
        f"{writer.deleted} deleted; {checker.versions_used} seen in use; {checker.attempts} attempts"
    )


@pytest.mark.parametrize("fault", ["partial", "stale", "back"])
def test_the_checker_finds_attempts_with_wrong_list_versions(fault: str) -> None:
    """The test constructs the records; the checker has to find each fault once."""

    def write_record(at: float, digest: str, *serving: str) -> Record:
        return Record(at, "day", "wrote", {"node": "n", "digest": digest, "serving": list(serving)})

    def attempt_record(at: float, version: str, engine: str = "a") -> Record:
        return Record(at, engine, "got", {"node": "n", "seq": "n.1.7", "list": version})

    valid_records = [
        write_record(0.0, "aa", "a", "b"),
        attempt_record(1.0, "1-aa"),
        write_record(2.0, "bb", "a"),
        attempt_record(3.0, "2-bb"),
    ]
    invalid_records = {
        "partial": [attempt_record(4.0, "3-cc")],
        "stale": [write_record(5.0, "dd", "a")],
        "back": [attempt_record(4.0, "1-aa")],
    }
    for extra, count in (([], 0), (invalid_records[fault], 1)):
        checker = EndpointListChecker(0.25)
        changes = [change for record in [*valid_records, *extra] for change in checker.see(record)]
        checker.finish(9.0)
        assert len(checker.violations) == count
    assert [(change.at, change.more["engine"], change.more["state"]) for change in changes[:3]] == [
        (1.0, "a", "serving"),
        (1.0, "b", "serving"),
        (3.0, "b", "gone"),
    ]


def test_an_endpoint_changes_its_kind_with_attempts_in_flight(tmp_path: Path) -> None:
    fleet = start_fleet(tmp_path, "R0 R0 W0 W0", read_rate=30000.0)
    stream = fleet.generate("post", prompt=2000, output=200)
    fleet.run(0.5)
    assert stream.tokens and not stream.answer
    writer = fleet.records("ran")[-1].who[:-2]
    fleet.engines[writer].config = fleet.engines[writer].config.model_copy(update={"reads": True})
    write_list(fleet, **{writer: {"kind": "reader"}})
    fleet.run(1.0)
    engines = fleet.nodes["n0"].executor.decoder.engines
    assert engines.endpoints[engines.index_by_address[f"{writer}:1"]].kind == "reader"
    after = [fleet.generate("post", prompt=2000, output=20) for _ in range(6)]
    fleet.run(4.0)
    assert stream.answer == "generated" and [call.answer for call in after] == ["generated"] * 6
    late = [record for record in fleet.records("got", writer) if record.at > fleet.records("ran")[0].at + 1.0]
    # From now on the engine gets reads, and no new writes.
    assert all(record.more["reads"] for record in late) and late
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_half_the_endpoints_are_removed_with_attempts_in_flight_at_different_times_per_node(
    tmp_path: Path,
) -> None:
    fleet = start_fleet(tmp_path, "R0 R0 W0 W0 R1 R1 W1 W1", nodes=3, read_rate=20000.0, slots=40)
    random = Random(9)
    removed = {engine: None for engine in fleet.endpoints if engine[1] == "1"}
    calls = []
    written_at = {}
    started_at = fleet.clock.seconds()
    for i in range(150):
        calls.append(
            fleet.generate(
                random.choice(["post", "post", "note"]),
                prompt=random.choice([300, 3000]),
                output=40,
                node=f"n{i % 3}",
            )
        )
        elapsed = fleet.clock.seconds() - started_at
        for node, due in (("n0", 1.0), ("n1", 2.5), ("n2", 4.0)):
            if elapsed >= due and node not in written_at:
                written_at[node] = fleet.clock.seconds()
                write_list(fleet, node, **removed)
        fleet.run(0.04)
    fleet.run(5.0)
    assert set(written_at) == {"n0", "n1", "n2"}
    for node, written in written_at.items():
        sends = [
            record.at
            for record in fleet.records("got")
            if record.more["node"] == node and record.who[:-2] in removed
        ]
        # Within this time the node reads two snapshots, with the quiet time between them.
        assert sends and max(sends) < written + 0.5
    assert all(call.answer for call in calls) and sum(call.answer == "generated" for call in calls) > 140
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_removal_of_half_the_endpoints_waits_for_a_second_snapshot(tmp_path: Path) -> None:
    lists = LIST_SETTINGS.replace("most_removed: any", "most_removed: 0.4, after: 1s")
    fleet = start_fleet(tmp_path, "R0 R0 W0 W0 W0", lists=lists)
    write_list(fleet, W0c=None, W0d=None, R0a=None)
    fleet.run(0.6)
    assert len(fleet.nodes["n0"].executor.decoder.engines.index_by_address) == 5  # deferred
    fleet.run(1.5)
    assert len(fleet.nodes["n0"].executor.decoder.engines.index_by_address) == 2


def test_a_file_without_its_end_mark_is_never_accepted(tmp_path: Path) -> None:
    fleet = start_fleet(tmp_path)
    path = tmp_path / "list-n0" / "engines.yaml"
    complete = path.read_text()
    node = fleet.nodes["n0"]
    first = node.executor.list_label
    # Truncate after complete lines, because most of these prefixes parse.
    truncation_points = [index for index, character in enumerate(complete) if character == "\n"][:-1]
    parsed_count = 0
    for end in truncation_points:
        path.write_text(complete[: end + 1])
        fleet.run(0.4)
        assert node.executor.list_label == first
        parsed_count += not read_snapshot(["list-n0"], tmp_path).faults
    assert parsed_count > len(truncation_points) / 2
    assert (
        "write the complete file, with end: yes last" in node.endpoint_source.validator.rejections[-1].reason
    )


def test_a_change_with_an_older_modification_time_is_detected(tmp_path: Path) -> None:
    fleet = start_fleet(tmp_path)
    path = tmp_path / "list-n0" / "engines.yaml"
    os.utime(path, (2e9, 2e9))
    fleet.run(0.5)
    first = fleet.nodes["n0"].executor.list_label
    write_list(fleet, W0c={"weight": 3})
    os.utime(path, (1e9, 1e9))  # older than the file that it replaces
    fleet.run(0.5)
    assert fleet.nodes["n0"].executor.list_label != first
    second = fleet.nodes["n0"].executor.list_label
    before = path.stat()
    write_list(fleet, W0c={"weight": 4})
    os.utime(path, ns=(before.st_atime_ns, before.st_mtime_ns))  # same modification time and size as before
    assert path.stat().st_size == before.st_size
    fleet.run(0.5)
    assert fleet.nodes["n0"].executor.list_label != second


def test_the_current_list_stays_in_use_while_a_file_is_unreadable(
    tmp_path: Path, monkeypatch: object
) -> None:
    fleet = start_fleet(tmp_path)
    read_bytes = Path.read_bytes
    node = fleet.nodes["n0"]
    label = node.executor.list_label

    def deny(path: Path) -> bytes:  # tests may run as root, for which file modes have no effect
        raise PermissionError(13, "Permission denied", str(path))

    monkeypatch.setattr(Path, "read_bytes", deny)
    write_list(fleet, W0c={"weight": 3})
    fleet.run(0.5)
    assert node.executor.list_label == label
    assert "cannot be read: Permission denied" in node.endpoint_source.validator.rejections[-1].reason
    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    write_list(fleet, W0c={"weight": 5})
    fleet.run(0.5)
    assert node.executor.list_label != label


def test_two_thousand_endpoints_change_at_once(tmp_path: Path) -> None:
    fleet = start_fleet(tmp_path, "R0 W0 W0")
    further_endpoints = {
        f"X{number}": {
            "address": f"x{number}:1",
            "kind": "writer" if number % 2 else "reader",
            "zone": "north",
            "cell": 1 + number // 50,
        }
        for number in range(1997)
    }
    fleet.endpoints.update(further_endpoints)
    write_list(fleet)
    fleet.run(0.5)
    node = fleet.nodes["n0"]
    assert len(node.executor.decoder.engines.index_by_address) == 2000
    write_list(
        fleet, **{engine: {"cell": row["cell"] + 100, "weight": 2} for engine, row in fleet.endpoints.items()}
    )
    fleet.run(0.5)
    rows = node.executor.decoder.engines.endpoints
    assert len(rows) == 2000 and all(row.cell >= 100 and row.weight == 2 for row in rows)
    fleet.endpoints = {engine: {**fleet.endpoints[engine], "cell": 100} for engine in ("R0a", "W0b", "W0c")}
    write_list(fleet)
    fleet.run(0.5)
    assert sorted(node.executor.decoder.engines.index_by_address) == ["R0a:1", "W0b:1", "W0c:1"]
    call = fleet.generate(prompt=2000, output=10)
    fleet.run(2.0)
    assert call.answer == "generated"
    assert (
        isinstance(node.endpoint_source, EndpointWatcher) and node.endpoint_source.validator.last_number == 4
    )
