"""Nodes that follow endpoint files, seen from their engines: by which version was each attempt sent?

`MYRTLEHUB_VERSIONS=5000` plays that many; the default keeps the tests short.
"""

import os
import re
from pathlib import Path
from random import Random

import pytest
from fleet import Fleet
from test_request_path import assert_nothing_left, assert_rules_kept

from myrtlehub.lab.endpoint_list_checker import EndpointListChecker
from myrtlehub.lab.endpoint_list_writer import EndpointListWriter, list_text
from myrtlehub.lab.scenario_file import ListFilesConfig
from myrtlehub.membership.endpoint_watcher import EndpointWatcher
from myrtlehub.membership.snapshot import read_snapshot
from myrtlehub.records import Record

VERSIONS = int(os.environ.get("MYRTLEHUB_VERSIONS", "150"))
MARKED = ", end_marked: yes, quiet: 30ms, poll: 200ms, damp: {flaps: off}, confirm: {most_removed: any}"


def begin(base: Path, engines: str = "R0 R0 W0 W0 W0", lists: str = MARKED, **more: object) -> Fleet:
    """A fleet whose files stand before its nodes start."""
    for i in range(more.get("nodes", 1)):
        (base / f"list-n{i}").mkdir()
    rows = [
        {
            "address": f"{w}{chr(97 + i)}:1",
            "kind": "reader" if w[0] == "R" else "writer",
            "zone": "north",
            "cell": int(w[1]),
        }
        for i, w in enumerate(engines.split())
    ]
    for i in range(more.get("nodes", 1)):
        (base / f"list-n{i}" / "engines.yaml").write_text(list_text(rows))
    return Fleet(engines, base=base, lists=lists, **more)


def write(f: Fleet, node: str = "n0", **changed: dict) -> None:
    """The list with some engines changed, or left out where that is None."""
    rows = [
        {**r, **(changed.get(e) or {})}
        for e, r in f.rows.items()
        if e not in changed or changed[e] is not None
    ]
    path = f.base / f"list-{node}" / "engines.yaml"
    path.with_name(".new").write_text(list_text(rows))
    path.with_name(".new").rename(path)


def test_every_attempt_goes_by_a_version_that_was_complete_on_disk(tmp_path: Path) -> None:
    f = begin(tmp_path, read_rate=30000.0, slots=40, step="4ms")
    standing = [{**r, "state": "serving", "age": "0s"} for r in f.rows.values()]
    group = ListFilesConfig(every="200ms", burst=8)
    writer = EndpointListWriter(
        "n0", tmp_path / "list-n0", group, f.clock, Random(3), f.day, lambda: standing
    )
    version = f.nodes["n0"].endpoint_source.validator.version
    f.day.note("wrote", node="n0", digest=version.digest[:16], serving=sorted(version.endpoints))
    writer.start()
    random, asked = Random(4), 0
    while writer.versions < VERSIONS:
        f.ask(random.choice(["ask", "post", "note"]), prompt=random.choice([200, 1500]), output=20)
        asked += 1
        f.run(0.04)
    writer.stop()
    f.run(1.0)
    for _ in range(5):
        f.ask("ask", prompt=100, output=10)
    f.run(5.0)
    watch, told = EndpointListChecker(0.25), []
    for record in f.log:
        told += watch.see(record)
    watch.finish(f.clock.seconds())
    assert watch.breaches == []
    assert watch.attempts >= asked and watch.used > VERSIONS / 20 and len(told) > VERSIONS / 20
    assert writer.torn > VERSIONS / 5 and writer.wrong > VERSIONS / 10
    f.log[:] = sorted([*told, *f.log], key=lambda r: r.at)  # told before what goes by it
    assert_rules_kept(f)
    assert_nothing_left(f)
    refused = [rejection.reason for rejection in f.nodes["n0"].endpoint_source.validator.rejections]
    # Each names file and line of the fault, or says what to do.
    assert len(refused) > 5
    assert [why for why in refused if not (re.search(r"engines\.yaml:\d+: ", why) or "; " in why)] == []
    print(
        f"{writer.versions} versions, {writer.torn} torn, {writer.wrong} wrong, {writer.deleted} deleted; "
        f"{watch.used} seen in use; {watch.attempts} attempts"
    )


@pytest.mark.parametrize("fault", ["partial", "stale", "back"])
def test_the_checker_finds_attempts_by_wrong_versions(fault: str) -> None:
    """Records made by hand: the checker has to find what it is for."""

    def wrote(at: float, digest: str, *serving: str) -> Record:
        return Record(at, "day", "wrote", {"node": "n", "digest": digest, "serving": list(serving)})

    def got(at: float, version: str, engine: str = "a") -> Record:
        return Record(at, engine, "got", {"node": "n", "seq": "n.1.7", "list": version})

    sound = [wrote(0.0, "aa", "a", "b"), got(1.0, "1-aa"), wrote(2.0, "bb", "a"), got(3.0, "2-bb")]
    more = {"partial": [got(4.0, "3-cc")], "stale": [wrote(5.0, "dd", "a")], "back": [got(4.0, "1-aa")]}
    for extra, count in (([], 0), (more[fault], 1)):
        watch = EndpointListChecker(0.25)
        told = [t for r in [*sound, *extra] for t in watch.see(r)]
        watch.finish(9.0)
        assert len(watch.breaches) == count
    assert [(t.at, t.more["engine"], t.more["state"]) for t in told[:3]] == [
        (1.0, "a", "serving"),
        (1.0, "b", "serving"),
        (3.0, "b", "gone"),
    ]


def test_an_endpoint_changes_its_kind_with_attempts_in_flight(tmp_path: Path) -> None:
    f = begin(tmp_path, "R0 R0 W0 W0", read_rate=30000.0)
    stream = f.ask("post", prompt=2000, output=200)
    f.run(0.5)
    assert stream.tokens and not stream.answer
    where = f.what("ran")[-1].who[:-2]
    f.stands[where].config = f.stands[where].config.model_copy(update={"reads": True})
    write(f, **{where: {"kind": "reader"}})
    f.run(1.0)
    engines = f.nodes["n0"].executor.decoder.engines
    assert engines.rows[engines.index_of[f"{where}:1"]].kind == "reader"
    after = [f.ask("post", prompt=2000, output=20) for _ in range(6)]
    f.run(4.0)
    assert stream.answer == "generated" and [c.answer for c in after] == ["generated"] * 6
    late = [r for r in f.what("got", where) if r.at > f.what("ran")[0].at + 1.0]
    assert all(r.more["reads"] for r in late) and late  # it reads from now on, and writes nothing new
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_half_the_endpoints_are_removed_with_attempts_in_flight_at_nodes_seconds_apart(
    tmp_path: Path,
) -> None:
    f = begin(tmp_path, "R0 R0 W0 W0 R1 R1 W1 W1", nodes=3, read_rate=20000.0, slots=40)
    random = Random(9)
    gone = {e: None for e in f.rows if e[1] == "1"}
    calls, heard, began = [], {}, f.clock.seconds()
    for i in range(150):
        calls.append(
            f.ask(
                random.choice(["post", "post", "note"]),
                prompt=random.choice([300, 3000]),
                output=40,
                node=f"n{i % 3}",
            )
        )
        at = f.clock.seconds() - began
        for node, when in (("n0", 1.0), ("n1", 2.5), ("n2", 4.0)):
            if at >= when and node not in heard:
                heard[node] = f.clock.seconds()
                write(f, node, **gone)
        f.run(0.04)
    f.run(5.0)
    assert set(heard) == {"n0", "n1", "n2"}
    for node, when in heard.items():
        sends = [r.at for r in f.what("got") if r.more["node"] == node and r.who[:-2] in gone]
        assert sends and max(sends) < when + 0.5  # two snapshots with the quiet time between, and the grace
    assert all(c.answer for c in calls) and sum(c.answer == "generated" for c in calls) > 140
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_removal_of_half_the_endpoints_waits_for_a_second_snapshot(tmp_path: Path) -> None:
    lists = MARKED.replace("most_removed: any", "most_removed: 0.4, after: 1s")
    f = begin(tmp_path, "R0 R0 W0 W0 W0", lists=lists)
    write(f, W0c=None, W0d=None, R0a=None)
    f.run(0.6)
    assert len(f.nodes["n0"].executor.decoder.engines.index_of) == 5  # held back
    f.run(1.5)
    assert len(f.nodes["n0"].executor.decoder.engines.index_of) == 2


def test_a_file_without_its_end_mark_is_never_accepted(tmp_path: Path) -> None:
    f = begin(tmp_path)
    path = tmp_path / "list-n0" / "engines.yaml"
    whole = path.read_text()
    node = f.nodes["n0"]
    first = node.executor.list_label
    cuts = [i for i, c in enumerate(whole) if c == "\n"][:-1]  # whole lines: these parse, most of them
    parsed = 0
    for cut in cuts:
        path.write_text(whole[: cut + 1])
        f.run(0.4)
        assert node.executor.list_label == first
        parsed += not read_snapshot(["list-n0"], tmp_path).faults
    assert parsed > len(cuts) / 2
    assert "write the file whole, end: yes last" in node.endpoint_source.validator.rejections[-1].reason


def test_a_modification_time_in_the_past_hides_no_change(tmp_path: Path) -> None:
    f = begin(tmp_path)
    path = tmp_path / "list-n0" / "engines.yaml"
    os.utime(path, (2e9, 2e9))
    f.run(0.5)
    first = f.nodes["n0"].executor.list_label
    write(f, W0c={"weight": 3})
    os.utime(path, (1e9, 1e9))  # older than what it replaces
    f.run(0.5)
    assert f.nodes["n0"].executor.list_label != first
    again = f.nodes["n0"].executor.list_label
    before = path.stat()
    write(f, W0c={"weight": 4})
    os.utime(path, ns=(before.st_atime_ns, before.st_mtime_ns))  # the same time and size as before
    assert path.stat().st_size == before.st_size
    f.run(0.5)
    assert f.nodes["n0"].executor.list_label != again


def test_an_unreadable_file_leaves_the_last_list_in_use(tmp_path: Path, monkeypatch: object) -> None:
    f = begin(tmp_path)
    real, node = Path.read_bytes, f.nodes["n0"]
    label = node.executor.list_label

    def refused(path: Path) -> bytes:  # tests may run as one who may read everything
        raise PermissionError(13, "Permission denied", str(path))

    monkeypatch.setattr(Path, "read_bytes", refused)
    write(f, W0c={"weight": 3})
    f.run(0.5)
    assert node.executor.list_label == label
    assert "cannot be read: Permission denied" in node.endpoint_source.validator.rejections[-1].reason
    monkeypatch.setattr(Path, "read_bytes", real)
    write(f, W0c={"weight": 5})
    f.run(0.5)
    assert node.executor.list_label != label


def test_two_thousand_endpoints_that_all_change_at_once(tmp_path: Path) -> None:
    f = begin(tmp_path, "R0 W0 W0")
    more = {
        f"X{i}": {
            "address": f"x{i}:1",
            "kind": "writer" if i % 2 else "reader",
            "zone": "north",
            "cell": 1 + i // 50,
        }
        for i in range(1997)
    }
    f.rows.update(more)
    write(f)
    f.run(0.5)
    node = f.nodes["n0"]
    assert len(node.executor.decoder.engines.index_of) == 2000
    write(f, **{e: {"cell": r["cell"] + 100, "weight": 2} for e, r in f.rows.items()})
    f.run(0.5)
    rows = node.executor.decoder.engines.rows
    assert len(rows) == 2000 and all(r.cell >= 100 and r.weight == 2 for r in rows)
    f.rows = {e: {**f.rows[e], "cell": 100} for e in ("R0a", "W0b", "W0c")}
    write(f)
    f.run(0.5)
    assert sorted(node.executor.decoder.engines.index_of) == ["R0a:1", "W0b:1", "W0c:1"]
    c = f.ask(prompt=2000, output=10)
    f.run(2.0)
    assert c.answer == "generated"
    assert (
        isinstance(node.endpoint_source, EndpointWatcher) and node.endpoint_source.validator.last_number == 4
    )
