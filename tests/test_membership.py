"""The list: versions, what is taken, held back and refused, files caught half-written, a store that is
killed.
"""

import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from myrtlehub.cli.list import main as hub_list
from myrtlehub.config.sheets import EngineRow, KindRow
from myrtlehub.membership import files
from myrtlehub.membership.judge import HOLD, REFUSE, SAME, TAKE, ListJudge, Terms
from myrtlehub.membership.store import StoreBroken, VersionStore
from myrtlehub.membership.version import difference, make
from myrtlehub.membership.watched import WatchedList

KINDS = {"reader": KindRow(name="reader", reads=True), "writer": KindRow(name="writer", writes=True)}


def row(name: str, **more: object) -> EngineRow:
    kind = "reader" if name[0] == "r" else "writer"
    return EngineRow(**{"address": f"{name}:1", "kind": kind, "zone": "z", **more})


def rows(names: str, **more: object) -> list[EngineRow]:
    return [row(n, **more) for n in names.split()]


def judge(**terms: float) -> ListJudge:
    return ListJudge(Terms(**terms), KINDS, ["z"])


# -- versions and the judge ----------------------------------------------------------------------------


def test_a_difference_leads_from_one_version_to_the_next() -> None:
    a = make(1, rows("r1 w1 w2 w3"), "t", 0.0)
    b = make(2, [row("r1"), row("w1", state="draining"), row("w2", weight=0.0), row("w4", cell=2)], "t", 1.0)
    d = difference(a.engines, b.engines)
    assert [r.address for r in d.added] == ["w4:1"] and [r.address for r in d.gone] == ["w3:1"]
    assert [r.address for r in d.draining] == ["w1:1"]
    assert [(r.address, r.state, f) for r, f in d.changed] == [("w2:1", "draining", ("weight", "state"))]
    assert not difference(a.engines, make(9, reversed(rows("r1 w1 w2 w3")), "t", 5.0).engines)
    assert make(1, rows("r1 w1"), "t", 0.0).digest == make(7, rows("w1 r1"), "u", 9.0).digest


@pytest.mark.parametrize(
    ("listed", "said"),
    [
        (rows("r1"), "no engine that serves can write"),
        (rows("w1"), "no engine that serves can read"),
        (rows("r1 w1 w1"), "w1:1 is listed twice, with the same figures"),
        ([*rows("r1 w1"), row("w1", weight=2.0)], "w1:1 is listed twice, with different figures"),
        ([*rows("r1 w1"), row("r2", cell=3)], "cell 3 has readers and no writer"),
        ([*rows("r1 w1"), row("w2", kind="mixer")], "kind 'mixer' is not among kinds: reader, writer"),
        ([*rows("r1 w1"), row("w2", zone="y")], "zone 'y' is not among zones: z"),
        (rows("r1 w1", state="draining"), "no engine that serves can write"),
        ([], "no engine that serves can write"),
        (rows("r1 w1", weight=0.0), "no engine that serves can write"),
    ],
)
def test_lists_that_cannot_be_routed_by_are_refused_and_the_last_stays(listed: list, said: str) -> None:
    j = judge()
    assert j.read(0.0, rows("r1 w1 w2"), "t").do == TAKE
    verdict = j.read(1.0, listed, "t")
    assert verdict.do == REFUSE and said in verdict.why
    assert j.version.number == 1 and len(j.version.engines) == 3 and said in j.refused[-1][2]
    j.read(2.0, listed, "t")
    assert len(j.refused) == 1  # said once, not at each look


def test_too_large_a_removal_waits_for_a_second_reading_or_the_engines_silence() -> None:
    some, few = rows("r1 w1 w2 w3 w4 w5"), rows("r1 w1")
    j = judge(most_removed=0.5, confirm_after=2.0)
    j.read(0.0, some, "t")
    held = j.read(1.0, few, "t")
    assert held.do == HOLD and "67%" in held.why and held.again_at == 3.0
    assert j.read(2.0, few, "t").do == HOLD and j.read(2.5, some, "t").do == SAME
    assert j.read(2.6, few, "t").again_at == pytest.approx(4.6)  # taken back meanwhile: it waits anew
    taken = j.read(4.6, few, "t")
    assert taken.do == TAKE and len(taken.change.gone) == 4 and taken.version.number == 2
    j = judge(most_removed=0.5)
    j.read(0.0, some, "t")
    assert j.read(1.0, few, "t", silent=frozenset({"w4:1", "w5:1"})).do == TAKE
    j = judge(most_removed=1.0)  # "any": switched off
    j.read(0.0, some, "t")
    assert j.read(0.1, few, "t").do == TAKE
    j = judge(most_removed=0.5)  # drains and changes of kind count as well
    j.read(0.0, some, "t")
    assert j.read(1.0, [*rows("r1 w1"), *rows("w2 w3 w4 w5", state="draining")], "t").do == HOLD


def test_an_engine_that_comes_and_goes_is_damped() -> None:
    j, states, again = judge(flaps=3, flap_time=30.0, damp_for=10.0), [], []
    for i in range(12):
        verdict = j.read(float(i), rows("r1 w1 w2" if i % 2 else "r1 w1 w2 w3"), "t")
        again.append(verdict.again_at)
        states.append(j.version.engines["w3:1"].state if "w3:1" in j.version.engines else "-")
    assert states[:3] == ["serving", "-", "serving"] and set(states[5:]) <= {"draining", "-"}
    assert again[10] == 13.0  # ten seconds after the last change that was taken
    quiet = j.read(40.0, rows("r1 w1 w2 w3"), "t")
    assert quiet.do in (TAKE, SAME) and j.version.engines["w3:1"].state == "serving"


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.sampled_from(["r1 w1", "r1 w1 w2", "r1 r2 w1 w2 w3", "r1 w9", "", "r1", "w1", "lost"]), max_size=12
    )
)
def test_any_versions_and_losses_end_in_the_last_sound_one(readings: list[str]) -> None:
    j, mirror, last = judge(most_removed=1.0, flaps=99), {}, None
    for i, names in enumerate(readings):
        verdict = j.lost(float(i), "t", "gone") if names == "lost" else j.read(float(i), rows(names), "t")
        if verdict.do == TAKE:
            for r in verdict.change.rows() if verdict.change else verdict.version.engines.values():
                mirror.pop(r.address, None)
                if r.state != "gone":
                    mirror[r.address] = r
        if names not in ("", "r1", "w1", "lost"):
            last = rows(names)
    assert mirror == ({r.address: r for r in last} if last else {})


# -- files ---------------------------------------------------------------------------------------------


def text(names: str, **more: object) -> str:
    lines = [
        f"  - {{address: '{r.address}', kind: {r.kind}, zone: z, cell: {r.cell}, weight: {r.weight}}}"
        for r in rows(names, **more)
    ]
    return "engines:\n" + "\n".join(lines) + "\n"


class Watch:
    def __init__(self, folder: Path, patterns: tuple[str, ...] = ("a.yaml",), **more: object) -> None:
        self.clock, self.taken, self.logged, self.folder = Clock(), [], [], folder
        self.engines: dict[str, EngineRow] = {}
        self.judge = judge(most_removed=1.0, flaps=10**6)
        self.list = WatchedList(
            patterns,
            folder,
            self.judge,
            self.clock,
            1.0,
            0.1,
            log=lambda event, **m: self.logged.append((event, m)),
            **more,
        )
        self.list.follow(self.take)

    def take(self, listed: list[EngineRow], whole: bool, number: int, digest: str) -> None:
        if whole:
            self.engines.clear()
        for r in listed:
            self.engines.pop(r.address, None)
            if r.state != "gone":
                self.engines[r.address] = r
        self.taken.append((number, sorted(self.engines)))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def names(self) -> str:
        return " ".join(a[:-2] for a in sorted(self.engines))


def test_a_file_caught_half_written_at_every_byte_is_never_routed_by(tmp_path: Path) -> None:
    path = tmp_path / "a.yaml"
    before, after = text("r1 w1 w2"), text("r1 w1 w2 w3 w4")
    path.write_text(before)
    w = Watch(tmp_path)
    sound = {"r1 w1 w2"}
    for cut in range(len(after)):
        # A prefix that parses as a whole list, and then lies quiet, is a list that somebody wrote.
        reading = files.read(("a.yaml",), tmp_path)
        path.write_text(after[:cut])
        w.list.changed()
        w.run(0.05)
        path.write_text(after[:cut] + " ")
        w.list.changed()
        w.run(0.05)
        assert w.names() == "r1 w1 w2", (cut, reading.faults)
    path.write_text(after)
    w.list.changed()
    w.run(0.5)
    sound.add("r1 w1 w2 w3 w4")
    assert w.names() == "r1 w1 w2 w3 w4"
    assert {" ".join(a[:-2] for a in taken) for _, taken in w.taken} <= sound


def test_torn_files_that_lie_quiet_are_refused_with_line_and_fix(tmp_path: Path) -> None:
    path = tmp_path / "a.yaml"
    path.write_text(text("r1 w1 w2"))
    w = Watch(tmp_path)
    for torn, said in (
        ("engines:\n  - {address: 'r1:1', kind: rea", "a.yaml:2: not YAML"),
        ("engines: [", "not YAML"),
        ("engine:\n", "did you mean 'engines'?"),
        ("", "a file of fields is wanted"),
        (text("r1 w1").replace("kind: writer", "kind: wirter"), "kind 'wirter' is not among"),
        (text("r1"), "no engine that serves can write"),
    ):
        path.write_text(torn)
        w.list.changed()
        w.run(0.5)
        assert w.names() == "r1 w1 w2" and w.logged[-1][0] == "list refused"
        assert said in w.logged[-1][1]["why"]


def test_renames_symlinks_directories_losses_and_returns(tmp_path: Path) -> None:
    (tmp_path / "d").mkdir()
    (tmp_path / "d" / "1.yaml").write_text(text("r1 w1"))
    (tmp_path / "d" / ".hidden.yaml").write_text("garbage: [")
    w = Watch(tmp_path, ("d",))
    (tmp_path / "new").write_text(text("w2"))
    os.replace(tmp_path / "new", tmp_path / "d" / "2.yaml")  # atomic rename, found by the poll alone
    w.run(1.6)
    assert w.names() == "r1 w1 w2"
    (tmp_path / "real").write_text(text("w3"))
    os.symlink(tmp_path / "real", tmp_path / "d" / "3.yaml")
    w.run(1.6)
    assert w.names() == "r1 w1 w2 w3"
    (tmp_path / "real2").write_text(text("w4"))
    os.symlink(tmp_path / "real2", tmp_path / "link")
    os.replace(tmp_path / "link", tmp_path / "d" / "3.yaml")  # symlink swapped
    w.run(1.6)
    assert w.names() == "r1 w1 w2 w4"
    os.rename(tmp_path / "d", tmp_path / "away")
    w.run(1.6)
    assert w.names() == "r1 w1 w2 w4" and w.logged[-1][0] == "list refused"
    assert w.judge.lost_at is not None and w.judge.age(w.clock.seconds() + 5.0) > 5.0
    (tmp_path / "d").mkdir()
    (tmp_path / "d" / "9.yaml").write_text(text("r1 w9"))
    w.run(1.6)
    assert w.names() == "r1 w9" and w.judge.lost_at is None
    (tmp_path / "d" / "8.yaml").write_text(text("w9", weight=2.0))  # two files in conflict
    w.run(1.6)
    assert w.names() == "r1 w9" and "has other figures in" in w.logged[-1][1]["why"]


def test_includes_and_their_circles(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text("include: ['parts/*.yaml']\n" + text("r1"))
    (tmp_path / "parts").mkdir()
    (tmp_path / "parts" / "w.yaml").write_text(text("w1 w2"))
    assert [r.address for r in files.read(("a.yaml",), tmp_path).rows] == ["r1:1", "w1:1", "w2:1"]
    (tmp_path / "parts" / "w.yaml").write_text("include: ['../a.yaml']\n" + text("w1"))
    assert "break the circle" in files.read(("a.yaml",), tmp_path).faults[0]


def test_a_burst_of_writes_and_torn_ones_ends_in_the_last_sound_list(tmp_path: Path) -> None:
    path, random = tmp_path / "a.yaml", Random(5)
    path.write_text(text("r1 w1"))
    w, sound = Watch(tmp_path), {"r1 w1"}
    for i in range(150):
        names = f"r1 w{i % 7} w{7 + i % 3}"
        whole = text(names)
        path.write_text(whole[: random.randrange(len(whole))] if i % 3 else whole)
        w.list.changed()
        w.clock.advance(random.choice([0.01, 0.01, 0.03, 0.15]))
        path.write_text(whole)
        w.list.changed()
        sound.add(" ".join(sorted(names.split())))
        w.clock.advance(0.01)
    w.run(1.0)
    assert w.names() == " ".join(sorted(names.split()))
    for _, taken in w.taken:
        assert " ".join(a[:-2] for a in taken) in sound
    assert [n for n, _ in w.taken] == list(range(1, len(w.taken) + 1))


# -- the store -----------------------------------------------------------------------------------------


def test_a_start_without_good_files_uses_the_stored_version_marked_old(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text(text("r1 w1"))
    w = Watch(tmp_path, store=VersionStore(tmp_path / "s.db"))
    (tmp_path / "a.yaml").write_text(text("r1 w1 w2"))
    w.run(1.6)
    w.list.store.close()
    (tmp_path / "a.yaml").unlink()
    w = Watch(tmp_path, store=VersionStore(tmp_path / "s.db"))
    assert w.names() == "r1 w1 w2" and w.judge.version.old and "version 2" in w.judge.version.source
    (tmp_path / "a.yaml").write_text(text("r1 w5"))
    w.run(1.6)
    assert w.names() == "r1 w5" and not w.judge.version.old and w.judge.version.number == 4
    w.list.store.close()


def test_a_flipped_or_torn_store_is_not_used(tmp_path: Path) -> None:
    path = tmp_path / "s.db"
    store = VersionStore(path)
    store.keep(make(1, rows("r1 w1"), "t", 0.0))
    store.keep(make(2, rows("r1 w1 w2"), "t", 0.0))
    store.close()
    whole = path.read_bytes()
    used = 0
    for at in range(0, len(whole), 37):
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 0x10]) + whole[at + 1 :])
        for extra in ("-wal", "-shm"):
            Path(f"{path}{extra}").unlink(missing_ok=True)
        store = VersionStore(path)
        try:
            found = store.last()
        except StoreBroken:
            continue
        finally:
            store.close()
        if found is not None:
            used += 1
            assert [r.address for r in found[2]] in (["r1:1", "w1:1"], ["r1:1", "w1:1", "w2:1"]), at
    assert used > 10
    path.write_bytes(whole[: len(whole) // 2])
    with pytest.raises(StoreBroken):
        VersionStore(path).last()


def test_a_store_of_a_later_form_is_said_and_left_as_it_is(tmp_path: Path) -> None:
    """As after a change of the program that was undone."""
    path = tmp_path / "s.db"
    later = VersionStore(path)
    later.keep(make(1, rows("r1 w1"), "t", 0.0))
    later._db.execute("ALTER TABLE versions ADD COLUMN more TEXT NOT NULL DEFAULT ''")
    assert VersionStore(path).last()[0] == 1  # a column more is no hindrance
    later._db.execute("INSERT INTO versions SELECT 7, source, digest, sum, rows, 'x' FROM versions")
    later._db.execute("PRAGMA user_version=2")
    later.close()
    before = path.read_bytes()
    said, store = [], VersionStore(path)
    with pytest.raises(StoreBroken, match="of form 2, and this version knows forms up to 1"):
        store.keep(make(8, rows("r1 w1 w2"), "t", 0.0))
    listed = tmp_path / "list"
    listed.mkdir()
    (listed / "engines.yaml").write_text(text("reader1 w1"))
    taken, clock = [], Clock()
    watched = WatchedList(
        [str(listed)],
        tmp_path,
        judge(),
        clock,
        1.0,
        0.1,
        store,
        lambda event, **more: said.append((event, more)),
    )
    watched.follow(lambda rows, *more: taken.append(len(rows)))
    clock.pump([0.5] * 10)
    assert taken and [e for e, _ in said if e in ("store not used", "list not stored")]
    assert path.read_bytes() == before


KILLED = """
import os, signal, sys
sys.path[:0] = [{root!r}, {tests!r}]
from test_membership import rows
from myrtlehub.membership.store import VersionStore
from myrtlehub.membership.version import make
def step(name):
    if name == sys.argv[1]:
        os.kill(os.getpid(), signal.SIGKILL)
VersionStore(sys.argv[2], step).keep(make(2, rows("r1 w1 w2"), "t", 0.0))
"""


@pytest.mark.parametrize("step", ["open", "begin", "insert", "prune", "commit", "done"])
def test_killed_at_each_step_of_storing(step: str, tmp_path: Path) -> None:
    path, here = tmp_path / "s.db", Path(__file__).parent
    store = VersionStore(path)
    store.keep(make(1, rows("r1 w1"), "t", 0.0))
    store.close()
    run = subprocess.run(
        [sys.executable, "-c", KILLED.format(root=str(here.parent), tests=str(here)), step, path], timeout=60
    )
    assert run.returncode == -signal.SIGKILL
    number, _, found = VersionStore(path).last()
    assert (number, len(found)) == ((2, 3) if step == "done" else (1, 2))


# -- the program ---------------------------------------------------------------------------------------


def test_hub_list(tmp_path: Path) -> None:
    a, b, c = (tmp_path / f"{n}.yaml" for n in "abc")
    a.write_text(text("reader1 w1 w2"))
    b.write_text(text("w2 reader1 w1"))
    c.write_text(text("reader1 w1").replace("weight: 1.0", "weight: heavy", 1))
    run = CliRunner().invoke
    assert run(hub_list, ["check", str(a)]).output.startswith("sound: 1 files, 3 engines")
    assert run(hub_list, ["diff", str(a), str(b)]).exit_code == 0  # only the order differs
    b.write_text(text("reader1 w1 w9", weight=0.5))
    differs = run(hub_list, ["diff", str(a), str(b)])
    assert differs.exit_code == 1 and "+ w9:1" in differs.output and "weight is now 0.5" in differs.output
    bad = run(hub_list, ["check", str(c)])
    assert bad.exit_code == 2
    assert f"{c}:2: engines[0](reader1:1).weight: should be a valid number" in bad.output
