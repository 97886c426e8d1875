"""Taking work over: the small world keeps the rules, seeded faults are found, and the pure parts by
themselves.
"""

from collections.abc import Callable

import pytest

from myrtlehub.recovery import course, fence, records
from myrtlehub.recovery.course import Doing, Standing, decide
from myrtlehub.recovery.detect import EVERY, SILENT, Detector
from myrtlehub.recovery.fence import Fence, Fences
from myrtlehub.recovery.keepers import keepers, node_of, order
from myrtlehub.recovery.owner import GO, NEVER, WAIT, Owned
from myrtlehub.recovery.records import (
    FULL,
    KEPT,
    ONCE_ONLY,
    REPEATABLE,
    SUPERSEDED,
    TOKENED,
    Book,
    Claim,
    Intent,
    Record,
)
from myrtlehub.recovery.world import Moves, Shape, start
from myrtlehub.state.explore import explore, replay


@pytest.mark.parametrize(
    "shape",
    [Shape(keepers=1, takers=1, attempts=2, faults=1), Shape(keepers=1, takers=2, attempts=1, faults=0)],
    ids=["paused, one fault", "two takers"],
)
def test_a_once_only_sequence_runs_once_whoever_takes_it_over(shape: Shape) -> None:
    """With one keeper the world is visited whole."""
    found = explore(start(shape), Moves(shape), 200, 200_000)
    assert found.complete and not found.breach, (found.breach, found.trace)
    assert found.states > 5000


@pytest.mark.parametrize(
    "shape",
    [Shape(takers=1, attempts=2, faults=1), Shape(takers=2, attempts=1, faults=0)],
    ids=["paused, one fault", "two takers"],
)
def test_the_same_with_two_keepers_as_far_as_it_is_looked_at(shape: Shape) -> None:
    """Cut off here; benchmarks/takes.py goes on."""
    found = explore(start(shape), Moves(shape), 200, 30_000)
    assert not found.breach and found.depth > 8, (found.breach, found.trace)


def _kept_by_anybody(held: Record | None, told: Record) -> tuple[Record, str]:
    return told, KEPT


def _forgets_intents(held: Record | None, told: Record) -> tuple[Record, str]:
    if held is not None and told.claim < held.claim:
        return held, SUPERSEDED
    return told, KEPT


def _sent_unless(skips: Callable[[Owned], bool]) -> Callable[[Owned], str]:
    return lambda o: GO if skips(o) else o.may_send()


def _unknown_is_harmless(repeats: str, standings: list[Standing], seen: int, whole: bool = True) -> Doing:
    return decide(
        repeats,
        [s._replace(says=fence.NEVER) if s.says == fence.UNKNOWN else s for s in standings],
        seen,
        whole,
    )


def _ended_is_harmless(repeats: str, standings: list[Standing], seen: int, whole: bool = True) -> Doing:
    return decide(
        repeats,
        [s._replace(says=fence.NEVER) if s.says in course.GOES_ON else s for s in standings],
        seen,
        whole,
    )


def _heard_of_any_process(o: Owned, keeper: str, run: str, version: int, word: str) -> Owned:
    return o.heard(keeper, dict(o.runs).get(keeper, run), version, word)


FAULTS = {
    "a keeper takes word of an owner that was superseded": Shape(kept=_kept_by_anybody),
    "a taker gets the record by the old claim": Shape(taken=lambda held, by, least: held),
    "an engine takes work by any claim": Shape(admits=lambda f, claim: True),
    "an engine grants any claim and says nothing of the higher one": Shape(
        raised=lambda f, claim, close: (Fence(claim, f.closed or close), True)
    ),
    "attempts are sent before their keepers know": Shape(may_send=_sent_unless(lambda o: not o.superseded)),
    "a later attempt goes with the keepers that answered": Shape(
        may_send=_sent_unless(lambda o: not o.superseded and set(o.behind()) <= o.unsure)
    ),
    "an owner goes on though it was superseded": Shape(may_send=_sent_unless(lambda o: o.superseded)),
    "an engine that restarted counts as one that got nothing": Shape(decide=_unknown_is_harmless),
    "what has run is sent again": Shape(decide=_ended_is_harmless),
    "a closed fence lets others past": Shape(
        raised=lambda f, claim, close: (Fence(claim, close), True) if claim >= f.claim else (f, False)
    ),
    "word of another process of a keeper counts": Shape(heard=_heard_of_any_process),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_seeded_fault_is_found_and_its_trace_replays(name: str) -> None:
    for more in (
        {"keepers": 1, "takers": 1, "faults": 0},
        {"keepers": 1, "takers": 1, "faults": 1},
        {"keepers": 1, "takers": 2, "faults": 0},
        {"takers": 1, "faults": 1},
        {"takers": 2, "attempts": 1, "faults": 0},
    ):
        shape = FAULTS[name]._replace(**more)
        found = explore(start(shape), Moves(shape), 200, 120_000)
        if found.breach:
            break
    assert found.breach, name
    assert replay(start(shape), Moves(shape), found.trace)[1] == found.breach


# -- the parts ------------------------------------------------------------------------------------------


def record(name: str, repeats: str = ONCE_ONLY, epoch: int = 1, until: float = 9.0, **more: object) -> Record:
    return Record(name, Claim(epoch, "a"), repeats, until, **more)


def test_keepers_are_the_same_for_all_and_move_little() -> None:
    zones = {f"n{i}": "xyz"[i % 3] for i in range(60)}
    for node in zones:
        first = keepers(node, zones, 2)
        assert node not in first and zones[node] not in {zones[k] for k in first}
        assert len({zones[k] for k in first}) == 2 and order(node, dict(reversed(zones.items())))[:2] == first
    without = {n: z for n, z in zones.items() if n != "n7"}
    moved = [n for n in without if keepers(n, without, 2) != keepers(n, zones, 2)]
    assert all("n7" in keepers(n, zones, 2) for n in moved) and len(moved) < 10
    load = [sum(k in keepers(n, zones, 2) for n in zones) for k in zones]
    assert max(load) <= 9 and sum(load) == 120
    assert keepers("a", {"a": "z", "b": "z"}, 2) == ["b"] and node_of("n.1.run~2.77") == "n.1"


def test_a_book_gives_way_in_the_stated_order_and_never_what_was_taken_over() -> None:
    book = Book(4)
    rows = [
        record("once"),
        record("token", TOKENED),
        record("streams", REPEATABLE, streams=True),
        record("plain", REPEATABLE),
    ]
    assert [book.keep(r) for r in rows] == [KEPT] * 4
    assert book.keep(record("more")) == KEPT and "plain" not in book.records
    assert book.keep(record("late", REPEATABLE)) == FULL  # worth less than all that is held
    assert book.keep(record("two")) == KEPT and "streams" not in book.records
    assert book.take("once", "b").claim == Claim(2, "b") and book.take("gone", "b") is None
    for i in range(6):
        book.keep(record(f"x{i}"))
    assert "once" in book.records and len(book.records) == 4
    assert book.keep(record("once")) == SUPERSEDED == book.end("once", Claim(1, "a"))
    assert book.end("once", Claim(2, "b")) == KEPT and "once" not in book.records
    assert book.overdue(8.9) == [] and len(book.overdue(9.0)) == 3


def test_a_record_told_late_takes_no_intent_away() -> None:
    first, second = Intent(0, "w1", False, 1.0), Intent(1, "w2", False, 2.0)
    held, word = records.kept(
        record("s", intents=(first, second), streams=True), record("s", intents=(first,))
    )
    assert word == KEPT and held.intents == (first, second) and held.streams


def test_what_an_owner_may_send_by_what_its_keepers_said() -> None:
    one, two = Intent(0, "w1", False, 0.0), Intent(1, "w2", False, 0.0)
    o = Owned.begun(record("s"), {"k1": "r", "k2": "r"}).intends(one)
    assert o.may_send() == WAIT
    half = o.heard("k1", "r", 1, KEPT)
    assert half.may_send() == WAIT and half.unheard("k2").may_send() == GO  # the very first one
    assert half.heard("k2", "r", 1, FULL).may_send() == GO
    later = half.unheard("k2").intends(two).heard("k1", "r", 2, KEPT)
    assert later.may_send() == NEVER and later.heard("k2", "r", 2, KEPT).may_send() == GO
    assert later.heard("k2", "other", 2, KEPT).may_send() == NEVER  # it began anew meanwhile
    assert o.heard("k1", "r", 1, SUPERSEDED).may_send() == NEVER
    free = Owned.begun(record("s", REPEATABLE), {"k1": "r"}).intends(one)
    assert free.may_send() == GO


@pytest.mark.parametrize(
    ("repeats", "says", "seen", "do"),
    [
        (ONCE_ONLY, fence.WRITING, 3, course.ATTACH),
        (ONCE_ONLY, fence.ENDED, 0, course.ATTACH),
        (ONCE_ONLY, fence.WAITING, 0, course.ATTACH),
        (ONCE_ONLY, fence.UNKNOWN, 0, course.ABORT),
        (ONCE_ONLY, fence.STOPPED, 0, course.ABORT),
        (ONCE_ONLY, fence.REFUSED, 0, course.AGAIN),
        (ONCE_ONLY, fence.NEVER, 0, course.AGAIN),
        (REPEATABLE, fence.UNKNOWN, 0, course.AGAIN),
        (REPEATABLE, fence.UNKNOWN, 3, course.ABORT),
        (TOKENED, fence.STOPPED, 0, course.AGAIN),
    ],
)
def test_what_becomes_of_a_sequence(repeats: str, says: str, seen: int, do: str) -> None:
    intent = Intent(0, "w1", False, 0.0)
    doing = decide(repeats, [Standing(intent, says, 20)], seen)
    assert doing.do == do
    assert doing.ran == (
        intent if (repeats, do) != (ONCE_ONLY, course.AGAIN) and do == course.AGAIN else None
    )


def test_a_held_state_is_written_from_and_a_missing_record_is_no_proof() -> None:
    read, write = Intent(0, "r1", True, 0.0), Intent(1, "w1", False, 0.0)
    found = [Standing(read, fence.HELD), Standing(write, fence.REFUSED)]
    assert decide(ONCE_ONLY, found, 0)[:3] == (course.HELD, "r1", 0)
    assert decide(ONCE_ONLY, [], 0, whole=False).do == course.ABORT
    assert decide(REPEATABLE, [], 0, whole=False).do == course.AGAIN
    gone = [Standing(write, fence.WRITING, 40, first=10)]
    assert decide(REPEATABLE, gone, 4).do == course.ABORT  # the tokens in between are not kept any more
    assert decide(REPEATABLE, gone, 10).do == course.ATTACH


def test_fences_refuse_whatever_is_older_and_forget_the_oldest() -> None:
    f = Fences(2, 0.0)
    assert f.admits("s", Claim(1, "a")) and f.claim("s", Claim(2, "b")) and not f.admits("s", Claim(1, "a"))
    assert not f.claim("s", Claim(2, "a")) and f.admits("s", Claim(2, "b"))
    assert f.claim("s", Claim(2, "b"), close=True) and not f.claim("s", Claim(3, "c"))
    assert not f.admits("s", Claim(2, "b")) and f.claim("s", Claim(2, "b"), close=True)
    assert f.admits("t", Claim(1, "a")) and f.admits("u", Claim(1, "a")) and f.of("s") == Fence()


def test_who_looks_late_accuses_nobody() -> None:
    d = Detector(0.0)
    assert d.heard("a", "1", 0.0) == "" and d.heard("b", "1", 0.0) == ""
    now = 0.0
    while now < SILENT + 2 * EVERY:
        now += EVERY
        d.heard("b", "1", now)
        silent = d.look(now)
    assert silent == [("a", "1")] and d.heard("b", "2", now) == "1"
    d.forget("a")
    assert d.look(now + 60.0) == [] and d.look(now + 60.0 + EVERY) == []  # it was paused itself
    for i in range(8):
        silent = d.look(now + 60.0 + EVERY * (2 + i))
    assert silent == [("b", "2")]
