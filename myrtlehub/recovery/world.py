"""A small world around a takeover: one sequence, its owner, two keepers, two nodes that may take it over at
once, and engines. Messages are late, lost and doubled as they like; owners pause, keepers and engines
restart.

What each side does are the functions that the program runs (`records`, `owner`, `fence`, `course`). Beside
what they know stands what is true: how often the sequence has had its effect, and what a client was told.
"""

from collections.abc import Iterator
from typing import NamedTuple

from myrtlehub.recovery import course, fence, owner, records
from myrtlehub.recovery.course import Standing
from myrtlehub.recovery.fence import Fence
from myrtlehub.recovery.owner import Owned
from myrtlehub.recovery.records import Claim, Intent, Record

FIRST = 0  # index of the owner that took the sequence; those that may take it over follow


class Shape(NamedTuple):
    """How large, which faults, and which functions it lives by."""

    repeats: str = records.ONCE_ONLY
    takers: int = 2
    keepers: int = 2
    engines: int = 2
    attempts: int = 2  # by the first owner; a taker has one
    faults: int = 1  # whom a taker does not reach, restarts of keepers and engines, in one history together
    kept: object = records.kept
    taken: object = records.taken
    admits: object = fence.admits
    raised: object = fence.raised
    may_send: object = Owned.may_send
    heard: object = Owned.heard
    decide: object = course.decide


class Owner(NamedTuple):
    """One node that has, had or may have the sequence."""

    owned: Owned | None = None
    phase: str = "idle"  # idle, asks, claims, intends, waits, told, over
    found: tuple[tuple[int, Record | None], ...] = ()  # by keeper asked: what it had
    unreached: frozenset[int] = frozenset()  # keepers of which nothing came
    stands: tuple[tuple[int, str, int], ...] = ()  # by engine: what it said, of which attempt
    answer: str = ""  # what its client was told


class Engine(NamedTuple):
    """One engine, and what is true there."""

    fence: Fence = Fence()
    work: tuple[tuple[int, str, Claim], ...] = ()  # attempts that came: number, standing, by which claim
    forgot: bool = False  # it restarted


class World(NamedTuple):
    """All of it."""

    owners: tuple[Owner, ...]
    kept: tuple[Record | None, ...]
    runs: tuple[int, ...]  # of keepers: how often they began anew
    engines: tuple[Engine, ...]
    tells: frozenset = frozenset()  # under way: owner, keeper, its run, record, version
    words: frozenset = frozenset()  # under way: owner, keeper, its run, version, word
    sends: frozenset = frozenset()  # under way: owner, engine, number, claim
    effects: int = 0
    faults: int = 0


def start(shape: Shape) -> World:
    """Taken by its first owner, nothing sent."""
    record = Record("s", Claim(1, "A"), shape.repeats, 9.0)
    runs = {f"k{i}": "0" for i in range(shape.keepers)}
    first = Owner(Owned.begun(record, runs), "intends")
    return World(
        (first,) + (Owner(),) * shape.takers,
        (None,) * shape.keepers,
        (0,) * shape.keepers,
        (Engine(),) * shape.engines,
    )


class Moves:
    """All that can happen next: labels, worlds, breaches."""

    def __init__(self, shape: Shape) -> None:
        self.s = shape

    def __call__(self, w: World) -> Iterator[tuple[str, World, str]]:
        for label, after in self._all(w):
            yield label, after, self._wrong(after)

    def _wrong(self, w: World) -> str:
        if self.s.repeats == records.ONCE_ONLY and w.effects > 1:
            return f"rule 2: it ran {w.effects} times"
        heard = [o.answer for o in w.owners if o.answer]
        if "rejected" in heard and w.effects and self.s.repeats != records.REPEATABLE:
            return "rule 2: a client was told that nothing ran, and it ran"
        return ""

    def _all(self, w: World) -> Iterator[tuple[str, World]]:
        for i, o in enumerate(w.owners):
            if o.phase == "idle" and not w.owners[FIRST].answer:
                yield f"client comes to {i}", self._put(w, i, o._replace(phase="asks"))
            elif o.phase == "asks":
                yield from self._asks(w, i, o)
            elif o.phase == "claims":
                yield from self._claims(w, i, o)
            elif o.phase == "intends":
                yield from self._intends(w, i, o)
            elif o.phase == "waits":
                yield from self._waits(w, i, o)
            elif o.phase == "told":
                yield from self._hears(w, i, o)
        yield from self._deliver(w)
        yield from self._work(w)
        if w.faults < self.s.faults:
            yield from self._faults(w._replace(faults=w.faults + 1))

    # -- small steps ------------------------------------------------------------------------------

    def _put(self, w: World, i: int, o: Owner) -> World:
        """What an owner knew, and what is on its way to it, makes no difference once it is done."""
        if o.phase == "over":
            o = Owner(phase="over", answer=o.answer)
        words = w.words if o.phase == "waits" else frozenset(x for x in w.words if x[0] != i)
        return w._replace(owners=w.owners[:i] + (o,) + w.owners[i + 1 :], words=words)

    def _engine(self, w: World, e: int, engine: Engine) -> World:
        return w._replace(engines=w.engines[:e] + (engine,) + w.engines[e + 1 :])

    def _keep(self, w: World, k: int, record: Record | None) -> World:
        return w._replace(kept=w.kept[:k] + (record,) + w.kept[k + 1 :])

    def _says(self, engine: Engine) -> tuple[str, int]:
        """What an engine says of the sequence, and of which attempt."""
        if engine.forgot:
            return fence.UNKNOWN, -1
        alive = [(number, says) for number, says, _ in engine.work if says != fence.REFUSED]
        if alive:
            return alive[-1][1], alive[-1][0]
        return (fence.REFUSED, engine.work[-1][0]) if engine.work else (fence.NEVER, -1)

    # -- an owner ---------------------------------------------------------------------------------

    def _intends(self, w: World, i: int, o: Owner) -> Iterator[tuple[str, World]]:
        """It may send to any engine: the intent is told first."""
        mine = sum(x.at == i for x in o.owned.record.intents)
        if mine >= (self.s.attempts if i == FIRST else 1):
            yield from self._gives_up(w, i, o)
            return
        # Engines are alike: the first one of all is the first one here.
        for e in range(self.s.engines if o.owned.record.intents else 1):
            number = len(o.owned.record.intents)
            owned = o.owned.intends(Intent(number, f"e{e}", False, float(i)))
            yield f"{i} intends {number} at e{e}", self._tell(w, i, o._replace(owned=owned, phase="waits"))

    def _tell(self, w: World, i: int, o: Owner) -> World:
        """All keepers are told, and what may go now goes in the same turn."""
        # to whichever process is there now, which need not be the one that was told first
        tells = frozenset(
            (i, int(k[1:]), str(w.runs[int(k[1:])]), o.owned.record, o.owned.version) for k, _ in o.owned.runs
        )
        return self._go(w._replace(tells=w.tells | tells), i, o)

    def _go(self, w: World, i: int, o: Owner) -> World:
        """What an owner knows has changed: an attempt that waits is sent at once, if it may be."""
        if o.phase == "waits" and self.s.may_send(o.owned) == owner.GO:
            intent = o.owned.record.intents[-1]
            send = (i, int(intent.engine[1:]), intent.number, o.owned.record.claim)
            w, o = w._replace(sends=w.sends | {send}), o._replace(phase="told")
        return self._put(w, i, o)

    def _waits(self, w: World, i: int, o: Owner) -> Iterator[tuple[str, World]]:
        if self.s.may_send(o.owned) == owner.NEVER:
            yield from self._gives_up(w, i, o)
        owned = o.owned
        for k in set(owned.behind()) - owned.unsure:
            owned = owned.unheard(k)
        if owned != o.owned:
            # waited in vain: their words may still come, or not
            yield f"{i} waits no longer", self._go(w, i, o._replace(owned=owned))

    def _hears(self, w: World, i: int, o: Owner) -> Iterator[tuple[str, World]]:
        """What became of the attempt that it sent last."""
        intent = o.owned.record.intents[-1]
        engine = w.engines[int(intent.engine[1:])]
        mine = next((s for n, s, c in engine.work if n == intent.number and c == o.owned.record.claim), "")
        if mine == fence.REFUSED:
            yield f"{i} hears that {intent.number} was refused", self._put(w, i, o._replace(phase="intends"))
        elif mine == fence.ENDED and engine.fence.claim <= o.owned.record.claim:
            yield f"{i} generates", self._put(w, i, o._replace(phase="over", answer="generated"))
        yield (
            f"{i} loses sight of {intent.number}",
            self._put(w, i, o._replace(phase="over", answer="aborted")),
        )

    def _gives_up(self, w: World, i: int, o: Owner) -> Iterator[tuple[str, World]]:
        """Nothing more is sent. Rejected only where that is sure: the first owner's client may have gone to
        another node meanwhile, who takes over closes all engines first.
        """
        yield f"{i} aborts", self._put(w, i, o._replace(phase="over", answer="aborted"))
        if i == FIRST:
            refused = all(
                any(n == x.number and s == fence.REFUSED for n, s, _ in w.engines[int(x.engine[1:])].work)
                for x in o.owned.record.intents
            )
            if refused and all(x.phase == "idle" for x in w.owners[1:]):
                yield f"{i} rejects", self._put(w, i, o._replace(phase="over", answer="rejected"))
            return
        closed, whole = w, True
        for e in sorted({int(x.engine[1:]) for x in o.owned.record.intents}):
            engine = closed.engines[e]
            after, granted = self.s.raised(engine.fence, o.owned.record.claim, True)
            whole = (
                whole
                and granted
                and not engine.forgot
                and self._says(engine)[0] in (fence.NEVER, fence.REFUSED)
            )
            if granted:
                closed = self._engine(closed, e, engine._replace(fence=after))
        yield (
            f"{i} closes",
            self._put(closed, i, o._replace(phase="over", answer="rejected" if whole else "aborted")),
        )

    # -- a node that takes over -------------------------------------------------------------------

    def _asks(self, w: World, i: int, o: Owner) -> Iterator[tuple[str, World]]:
        asked = {k for k, _ in o.found} | o.unreached
        todo = [k for k in range(self.s.keepers) if k not in asked]
        if not todo:
            yield from self._asked(w, i, o)
            return
        k = todo[0]
        held = w.kept[k]
        record = self.s.taken(held, "ACD"[i], 0) if held is not None else None
        after = self._keep(w, k, record) if record is not None else w
        yield f"{i} asks k{k}", self._put(after, i, o._replace(found=(*o.found, (k, record))))
        if w.faults < self.s.faults:
            gone = o._replace(unreached=o.unreached | {k})
            yield f"{i} does not reach k{k}", self._put(w, i, gone)._replace(faults=w.faults + 1)
            yield f"{i} hears nothing of k{k}", self._put(after, i, gone)._replace(faults=w.faults + 1)

    def _asked(self, w: World, i: int, o: Owner) -> Iterator[tuple[str, World]]:
        found = [r for _, r in o.found if r is not None]
        if not found:
            doing = self.s.decide(self.s.repeats, [], 0, False)
            assert doing.do == course.ABORT or self.s.repeats == records.REPEATABLE
            yield f"{i} aborts", self._put(w, i, o._replace(phase="over", answer="aborted"))
            return
        record = records.joined(found)
        runs = {f"k{k}": str(w.runs[k]) for k in range(self.s.keepers)}
        owned = Owned.begun(record, runs, taken=True)
        for k in o.unreached:
            owned = owned.unheard(f"k{k}")
        yield f"{i} claims as {record.claim}", self._put(w, i, o._replace(owned=owned, phase="claims"))

    def _claims(self, w: World, i: int, o: Owner) -> Iterator[tuple[str, World]]:
        claimed = {e for e, _, _ in o.stands}
        todo = sorted({int(x.engine[1:]) for x in o.owned.record.intents} - claimed)
        if not todo:
            yield from self._decided(w, i, o)
            return
        e, engine = todo[0], w.engines[todo[0]]
        after, granted = self.s.raised(engine.fence, o.owned.record.claim, False)
        if not granted:
            yield f"{i} is refused by e{e}", self._put(w, i, o._replace(phase="over", answer="lost"))
        else:
            says, number = self._says(engine)
            yield (
                f"{i} claims at e{e}",
                self._put(
                    self._engine(w, e, engine._replace(fence=after)),
                    i,
                    o._replace(stands=(*o.stands, (e, says, number))),
                ),
            )
        if w.faults < self.s.faults:
            unknown = o._replace(stands=(*o.stands, (e, fence.UNKNOWN, -1)))
            yield f"{i} does not reach e{e}", self._put(w, i, unknown)._replace(faults=w.faults + 1)

    def _decided(self, w: World, i: int, o: Owner) -> Iterator[tuple[str, World]]:
        says = {e: (s, number) for e, s, number in o.stands}
        standings = []
        for x in o.owned.record.intents:
            word, number = says[int(x.engine[1:])]
            if word not in (fence.NEVER, fence.UNKNOWN, fence.REFUSED) and number != x.number:
                word = fence.NEVER  # it is another attempt that the engine speaks of
            standings.append(Standing(x, word))
        doing = self.s.decide(self.s.repeats, standings, 0, True)
        if doing.do == course.ATTACH:
            engine = w.engines[int(doing.engine[1:])]
            if self.s.admits(engine.fence, o.owned.record.claim):
                yield f"{i} attaches", self._put(w, i, o._replace(phase="over", answer="attached"))
            else:
                yield f"{i} is refused", self._put(w, i, o._replace(phase="over", answer="lost"))
        elif doing.do == course.ABORT:
            yield f"{i} aborts", self._put(w, i, o._replace(phase="over", answer="aborted"))
        else:
            yield f"{i} goes again", self._put(w, i, o._replace(phase="intends"))

    # -- messages ---------------------------------------------------------------------------------

    def _deliver(self, w: World) -> Iterator[tuple[str, World]]:
        for tell in w.tells:
            i, k, run, record, version = tell
            rest = w._replace(tells=w.tells - {tell})
            if str(w.runs[k]) != run:
                continue  # its connection broke with the process
            after, word = self.s.kept(w.kept[k], record)
            heard = (i, k, run, version, word)
            words = w.words | ({heard} if w.owners[i].phase == "waits" else set())
            yield f"k{k} hears {version} of {i}", self._keep(rest, k, after)._replace(words=words)
        for word in w.words:
            i, k, run, version, said = word
            o, rest = w.owners[i], w._replace(words=w.words - {word})
            yield (
                f"{i} hears {said} {version} of k{k}",
                self._go(rest, i, o._replace(owned=self.s.heard(o.owned, f"k{k}", run, version, said))),
            )
        for send in w.sends:
            i, e, number, claim = send
            rest, engine = w._replace(sends=w.sends - {send}), w.engines[e]
            if not self.s.admits(engine.fence, claim):
                yield f"e{e} refuses {number} by {claim}", rest
                continue
            raised = engine._replace(fence=engine.fence._replace(claim=claim))
            for says in (fence.REFUSED, fence.WAITING):
                yield (
                    f"e{e} has {number} {says}",
                    self._engine(rest, e, raised._replace(work=(*engine.work, (number, says, claim)))),
                )

    def _work(self, w: World) -> Iterator[tuple[str, World]]:
        for e, engine in enumerate(w.engines):
            for at, (number, says, claim) in enumerate(engine.work):
                if says == fence.WAITING:
                    work = engine.work[:at] + ((number, fence.ENDED, claim),) + engine.work[at + 1 :]
                    yield (
                        f"e{e} runs {number}",
                        self._engine(w, e, engine._replace(work=work))._replace(effects=w.effects + 1),
                    )

    def _faults(self, w: World) -> Iterator[tuple[str, World]]:
        for k in range(self.s.keepers):
            runs = w.runs[:k] + (w.runs[k] + 1,) + w.runs[k + 1 :]
            yield f"k{k} begins anew", self._keep(w, k, None)._replace(runs=runs)
        for e in range(len(w.engines)):
            # What is on its way to it is lost with its connections; what waited there never runs.
            sends = frozenset(s for s in w.sends if s[1] != e)
            after = self._engine(w, e, Engine(forgot=True))._replace(sends=sends)
            for i, o in enumerate(after.owners):
                if o.phase == "waits":
                    # It takes longer than a word may be old (`STALE` in node/keeping): keepers are told anew.
                    owned = o.owned._replace(version=o.owned.version + 1)
                    after = self._tell(after, i, o._replace(owned=owned))
            yield f"e{e} begins anew", after
