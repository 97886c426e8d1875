"""A small world around the lives: nodes, engines and a network that lose, delay and crash as they like.

What the module would decide is left open: any send, rejection or abort that the lives allow may come at
any moment. Beside what a node knows (its lives) stands what is true at the engines, and on that the five
rules are checked. So a table that says too little, or too much, is found by some interleaving.
"""

from collections.abc import Iterator
from typing import NamedTuple

from myrtlehub.state.lives import (
    ANSWER_LIFE,
    ATTEMPT,
    BREACH,
    HOLD,
    OUT,
    PASS,
    READ_ENDS,
    TELL_RELEASE,
    Table,
    may_have_run,
    write_ends,
)

REPEATABLE, TOKENED, ONCE = "repeatable", "tokened", "once-only"
# What is true of an attempt at its engine.
COMING, THERE, RUNS, DONE, READ, REFUSED, NO_STATE, DEAD, DEAD_RAN = (
    "coming",
    "there",
    "runs",
    "done",
    "read",
    "refused",
    "no state",
    "dead",
    "dead, ran",
)
RAN = (RUNS, DONE, DEAD_RAN)
COULD_RUN = (COMING, THERE)


class Shape(NamedTuple):
    """How large the world is, and which tables it lives by."""

    kinds: tuple[str, ...]  # by sequence
    nodes: int = 2
    readers: int = 2
    writers: int = 2
    attempts: int = 2  # most, by try
    tries: int = 2  # most, by sequence
    faults: int = 2  # crashes, restarts, losses and drains in one history, together
    cancels: bool = True  # whether engines can be told to stop what has not begun
    attempt: Table = ATTEMPT
    answer: Table = ANSWER_LIFE
    hold: Table = HOLD


class Att(NamedTuple):
    """An attempt: what the node knows, and what is true."""

    engine: int  # readers first
    life: str
    truth: str
    claims: int = -1  # the reader whose state it is to fetch
    link: bool = True  # whether the connection under it stands
    stop: bool = False  # a reset from the node is on its way


class Try(NamedTuple):
    """A sequence at one node."""

    seq: int
    node: int
    answer: str
    holds: tuple[str, ...]
    attempts: tuple[Att, ...] = ()
    late: bool = False
    lost: bool = False  # its node was killed


class World(NamedTuple):
    """All of it."""

    tries: tuple[Try, ...]
    up: tuple[bool, ...]
    states: frozenset[tuple[int, int]] = frozenset()  # held: reader, try
    told: frozenset[tuple[int, int]] = frozenset()  # drains: node, engine
    cold: frozenset[int] = frozenset()
    cold_sends: int = 0
    past_window: frozenset[int] = frozenset()
    faults: int = 0


def start(shape: Shape) -> World:
    """Each sequence taken by a node, nothing sent."""
    tries = tuple(
        Try(i, i % shape.nodes, shape.answer.first, (shape.hold.first,) * shape.readers)
        for i in range(len(shape.kinds))
    )
    return World(tries, (True,) * (shape.readers + shape.writers))


class Moves:
    """All that can happen next: labels, worlds, breaches."""

    def __init__(self, shape: Shape) -> None:
        self.s = shape

    def __call__(self, w: World) -> Iterator[tuple[str, World, str]]:
        for i, t in enumerate(w.tries):
            if t.lost:
                yield from self._returns(w, i, t)
                continue
            yield from self._router(w, i, t)
            yield from self._client(w, i, t)
            for j, a in enumerate(t.attempts):
                yield from self._engine(w, i, j, a)
                yield from self._heard(w, i, j, a)
            yield from self._let_go(w, i, t)
            yield from self._returns(w, i, t)
        if w.faults < self.s.faults:
            yield from self._faults(w)

    # -- small steps ------------------------------------------------------------------------------

    def _step(self, table: Table, state: str, event: str) -> tuple[str, str]:
        step = table.steps.get((state, event))
        return step if step is not None else (state, BREACH)

    def _put(self, w: World, i: int, t: Try) -> World:
        return w._replace(tries=w.tries[:i] + (t,) + w.tries[i + 1 :])

    def _att(self, w: World, i: int, j: int, a: Att) -> World:
        t = w.tries[i]
        return self._put(w, i, t._replace(attempts=t.attempts[:j] + (a,) + t.attempts[j + 1 :]))

    def _reader(self, engine: int) -> bool:
        return engine < self.s.readers

    def _out(self, t: Try) -> bool:
        return any(a.life in OUT for a in t.attempts)

    def _lives(self, t: Try) -> tuple[str, ...]:
        return tuple(a.life for a in t.attempts if not self._reader(a.engine))

    def _effects(self, w: World, seq: int) -> int:
        return sum(
            a.truth in RAN for t in w.tries if t.seq == seq for a in t.attempts if not self._reader(a.engine)
        )

    # -- what the node may do ---------------------------------------------------------------------

    def _router(self, w: World, i: int, t: Try) -> Iterator[tuple[str, World, str]]:
        if t.answer != "owed":
            return
        kind, ran = self.s.kinds[t.seq], may_have_run(self._lives(t))
        if not self._out(t) and len(t.attempts) < self.s.attempts and not t.late:
            for engine in range(len(w.up)):
                if (t.node, engine) in w.told or not self._may_go(w, t, engine, kind, ran):
                    continue
                if engine in w.cold and t.seq % 2:
                    continue  # its lot is not for cold engines
                yield self._send(w, i, t, engine)
        if kind == REPEATABLE or not ran:
            yield self._answer(w, i, "reject", f"reject {i}")
        yield self._answer(w, i, "abort", f"abort {i}")

    def _may_go(self, w: World, t: Try, engine: int, kind: str, ran: bool) -> bool:
        if not ran or kind == REPEATABLE:
            return True
        if kind == ONCE or self._reader(engine):
            return False
        first = next(a for a in t.attempts if not self._reader(a.engine) and may_have_run((a.life,)))
        return engine == first.engine and t.seq not in w.past_window  # each writer is a dedup group here

    def _send(self, w: World, i: int, t: Try, engine: int) -> tuple[str, World, str]:
        breach, holds, claims = "", list(t.holds), -1
        if self._reader(engine):
            holds[engine], do = self._step(self.s.hold, holds[engine], "send")
            breach = "hold: send" if do == BREACH else ""
        else:
            claims = max((r for r, h in enumerate(holds) if h in ("held", "maybe")), default=-1)
            if claims >= 0:
                holds[claims], do = self._step(self.s.hold, holds[claims], "claim")
        a = Att(
            engine, "reading" if self._reader(engine) else "writing", COMING if w.up[engine] else DEAD, claims
        )
        after = self._put(w, i, t._replace(holds=tuple(holds), attempts=(*t.attempts, a)))
        if (t.node, engine) in w.told:
            breach = "rule 3: sent to an engine that drains"
        if engine in w.cold:
            after = after._replace(cold_sends=w.cold_sends + 1)
            if after.cold_sends > (len(self.s.kinds) + 1) // 2 * self.s.attempts:
                breach = "rule 4: a cold engine got more than its lots"
        return f"send {i} to {engine}", after, breach

    def _answer(self, w: World, i: int, event: str, label: str) -> tuple[str, World, str]:
        t = w.tries[i]
        answer, do = self._step(self.s.answer, t.answer, event)
        if answer == t.answer:
            return label, w, f"rule 1: {event} left sequence {t.seq} unanswered" if answer == "owed" else ""
        w = self._put(w, i, t._replace(answer=answer))
        if answer == "rejected":
            bad = self.s.kinds[t.seq] != REPEATABLE and any(
                a.truth in RAN + COULD_RUN for a in t.attempts if not self._reader(a.engine)
            )
            if bad:
                return label, w, f"rule 2: {t.seq} was rejected, and an attempt has run or still can"
        return label, self._cancel_all(w, i), ""

    def _cancel_all(self, w: World, i: int) -> World:
        if not self.s.cancels:
            return w
        for j, a in enumerate(w.tries[i].attempts):
            if a.life in OUT:
                w = self._learn(w, i, j, "cancelled")[0]
                w = self._att(w, i, j, w.tries[i].attempts[j]._replace(stop=True))
        return w

    def _learn(self, w: World, i: int, j: int, outcome: str, no_state: bool = False) -> tuple[World, str]:
        """The node hears, or makes, the end of an attempt."""
        t = w.tries[i]
        a = t.attempts[j]
        began = a.life == "streaming"
        life, do = self._step(self.s.attempt, a.life, outcome)
        if do == BREACH:
            return w, f"attempt: {outcome} in {a.life}"
        holds, breach = list(t.holds), ""
        if a.life in OUT and self._reader(a.engine):
            holds[a.engine], do = self._step(self.s.hold, holds[a.engine], READ_ENDS[outcome])
            breach = f"hold: {READ_ENDS[outcome]}" if do == BREACH else ""
        elif a.life in OUT and a.claims >= 0 and not began:
            event = write_ends(outcome, no_state)
            holds[a.claims], do = self._step(self.s.hold, holds[a.claims], event)
            breach = f"hold: {event}" if do == BREACH else ""
        w = self._put(w, i, t._replace(holds=tuple(holds)))
        return self._att(w, i, j, a._replace(life=life)), breach

    # -- the client -------------------------------------------------------------------------------

    def _client(self, w: World, i: int, t: Try) -> Iterator[tuple[str, World, str]]:
        if t.answer in ("owed", "flowing"):
            yield self._answer(w, i, "leave", f"client {i} leaves")
        if t.answer == "owed" and not t.late:
            late = self._put(w, i, t._replace(late=True))
            free = self.s.kinds[t.seq] == REPEATABLE or not may_have_run(self._lives(t))
            label, after, breach = self._answer(
                late, i, "reject" if free else "abort", f"abandon time of {i}"
            )
            yield label, after, breach
        if t.seq not in w.past_window and self.s.kinds[t.seq] == TOKENED and t.attempts:
            yield f"window of {t.seq} passes", w._replace(past_window=w.past_window | {t.seq}), ""

    def _returns(self, w: World, i: int, t: Try) -> Iterator[tuple[str, World, str]]:
        kind = self.s.kinds[t.seq]
        again = t.answer == "rejected" or (kind == REPEATABLE and (t.answer == "aborted" or t.lost))
        mine = [x for x in w.tries if x.seq == t.seq]
        if again and mine[-1] is t and len(mine) < self.s.tries:
            new = Try(
                t.seq, (t.node + 1) % self.s.nodes, self.s.answer.first, (self.s.hold.first,) * self.s.readers
            )
            yield f"client of {i} returns", w._replace(tries=(*w.tries, new)), ""

    # -- the engines ------------------------------------------------------------------------------

    def _engine(self, w: World, i: int, j: int, a: Att) -> Iterator[tuple[str, World, str]]:
        name = f"{i}.{j}"
        if a.stop and a.link and a.truth in (COMING, THERE, RUNS, READ):
            yield f"reset of {name} arrives", self._reset(w, i, j), ""
        if not w.up[a.engine]:
            return
        if a.truth == COMING and a.link:
            before = w
            for k, b in enumerate(w.tries[i].attempts[:j]):
                if b.engine == a.engine and b.stop and b.link:
                    before = self._reset(before, i, k)  # sent earlier on the same connection
            yield f"{name} arrives", self._att(before, i, j, a._replace(truth=THERE)), ""
            yield f"{name} is refused", self._att(before, i, j, a._replace(truth=REFUSED)), ""
        if a.truth != THERE:
            return
        if self._reader(a.engine):
            done = self._att(w, i, j, a._replace(truth=READ))
            yield f"{name} is read", done._replace(states=w.states | {(a.engine, i)}), ""
            return
        if a.claims >= 0 and (a.claims, i) not in w.states:
            yield f"{name} finds no state", self._att(w, i, j, a._replace(truth=NO_STATE)), ""
            return
        ran = self._att(w, i, j, a._replace(truth=RUNS))._replace(states=w.states - {(a.claims, i)})
        seq = w.tries[i].seq
        twice = self.s.kinds[seq] == ONCE and self._effects(ran, seq) > 1
        yield f"{name} runs", ran, f"rule 2: once-only {seq} ran twice" if twice else ""

    def _reset(self, w: World, i: int, j: int) -> World:
        """The engine hears that nobody waits: it stops."""
        a = w.tries[i].attempts[j]
        truth = {COMING: DEAD, THERE: DEAD, RUNS: DEAD_RAN}.get(a.truth, a.truth)
        return self._att(w, i, j, a._replace(truth=truth, stop=False))

    def _heard(self, w: World, i: int, j: int, a: Att) -> Iterator[tuple[str, World, str]]:
        """What the node may hear next of an attempt, by what is true of it."""
        name = f"{i}.{j}"
        if a.life not in OUT:
            if a.truth == RUNS and a.life not in OUT and w.tries[i].answer in self.s.answer.finals:
                _, do = self._step(self.s.answer, w.tries[i].answer, "more")
                if do == PASS:
                    yield f"late tokens of {name}", w, f"rule 1: tokens after {w.tries[i].answer}"
            return
        if not a.link or a.truth in (DEAD, DEAD_RAN):
            # A connection that could not be made is known not to have carried anything.
            outcome = "unreached" if a.truth == DEAD and a.link and not w.up[a.engine] else "reset"
            yield self._end(w, i, j, outcome, f"{name} {outcome}")
            return
        if a.truth == RUNS:
            if a.life == "writing":
                yield self._first(w, i, j, f"first tokens of {name}")
            elif not a.stop:
                yield f"{name} completes", self._att(w, i, j, a._replace(truth=DONE)), ""
        for truth, outcome in ((READ, "read"), (REFUSED, "full"), (NO_STATE, "full"), (DONE, "generated")):
            if a.truth == truth:
                yield self._end(w, i, j, outcome, f"{name} {outcome}", truth == NO_STATE)
        if a.life != "streaming" and not a.stop:
            label, after, breach = self._end(w, i, j, "timeout", f"{name} times out")
            yield label, self._att(after, i, j, after.tries[i].attempts[j]._replace(stop=True)), breach

    def _first(self, w: World, i: int, j: int, label: str) -> tuple[str, World, str]:
        t = w.tries[i]
        a = t.attempts[j]
        life, _ = self._step(self.s.attempt, a.life, "tokens")
        answer, do = self._step(self.s.answer, t.answer, "first")
        holds = list(t.holds)
        if a.claims >= 0:
            holds[a.claims], _ = self._step(self.s.hold, holds[a.claims], "fetched")
        breach = f"rule 1: tokens after {t.answer}" if do == PASS and t.answer in self.s.answer.finals else ""
        w = self._put(w, i, t._replace(answer=answer, holds=tuple(holds)))
        return label, self._att(w, i, j, a._replace(life=life)), breach

    def _end(
        self, w: World, i: int, j: int, outcome: str, label: str, no_state: bool = False
    ) -> tuple[str, World, str]:
        began = w.tries[i].attempts[j].life == "streaming"
        w, breach = self._learn(w, i, j, outcome, no_state)
        t = w.tries[i]
        if not self._reader(t.attempts[j].engine) and (began or outcome == "generated"):
            before = t.answer
            answer, do = self._step(self.s.answer, before, "whole" if outcome == "generated" else "broke")
            if do == "answer" and before in self.s.answer.finals:
                breach = f"rule 1: a second answer after {before}"
            w = self._put(w, i, t._replace(answer=answer))
            if answer in ("owed", "flowing") and began:
                breach = breach or f"rule 1: the stream of {t.seq} ended and its client was told nothing"
        return label, w, breach

    # -- what is held -----------------------------------------------------------------------------

    def _let_go(self, w: World, i: int, t: Try) -> Iterator[tuple[str, World, str]]:
        """The time for letting go is over with nothing out: by now what the node knows of was released."""
        if self._out(t) or not (any(h != "none" for h in t.holds) or any(x == i for _, x in w.states)):
            return
        holds, states = list(t.holds), w.states
        for reader in range(self.s.readers):
            holds[reader], do = self._step(self.s.hold, holds[reader], "release")
            if do == TELL_RELEASE:
                # It follows the reset of the read on the same connection, so that is settled first.
                for j, a in enumerate(w.tries[i].attempts):
                    if a.engine == reader and a.stop:
                        w = self._reset(w, i, j)
                states = states - {(reader, i)}
        after = self._put(w, i, w.tries[i]._replace(holds=tuple(holds)))._replace(states=states)
        left = [r for r, x in states if x == i]
        breach = f"rule 5: reader {left[0]} still holds the state of {i}" if left else ""
        yield f"let go of {i}", after, breach

    # -- faults -----------------------------------------------------------------------------------

    def _faults(self, w: World) -> Iterator[tuple[str, World, str]]:
        hit = w._replace(faults=w.faults + 1)
        for engine, up in enumerate(w.up):
            flipped = hit._replace(up=w.up[:engine] + (not up,) + w.up[engine + 1 :])
            if up:
                yield f"engine {engine} crashes", self._crash(flipped, engine), ""
            else:
                back = flipped._replace(cold=w.cold | ({engine} if not self._reader(engine) else set()))
                yield f"engine {engine} is back, cold", back, ""
            for node in range(self.s.nodes):
                if (node, engine) not in w.told:
                    yield (
                        f"node {node} is told that {engine} drains",
                        hit._replace(told=w.told | {(node, engine)}),
                        "",
                    )
        for i, t in enumerate(w.tries):
            for j, a in enumerate(t.attempts):
                if a.link and a.life in OUT and not t.lost:
                    yield f"connection under {i}.{j} breaks", self._break(hit, i, j), ""
        for node in range(self.s.nodes):
            if any(t.node == node and not t.lost for t in w.tries):
                yield f"node {node} is killed", self._kill(hit, node), ""

    def _crash(self, w: World, engine: int) -> World:
        for i, t in enumerate(w.tries):
            for j, a in enumerate(t.attempts):
                if a.engine == engine and a.truth in (COMING, THERE, RUNS, READ, DONE):
                    # What it had said is lost with it; a read that was done held its state, which is gone.
                    truth = DEAD_RAN if a.truth in (RUNS, DONE) else DEAD
                    w = self._att(w, i, j, a._replace(truth=truth, link=a.truth == COMING))
        return w._replace(states=frozenset(x for x in w.states if x[0] != engine))

    def _break(self, w: World, i: int, j: int) -> World:
        """The connection goes: the engine stops what it had not finished, its last word may be lost."""
        a = w.tries[i].attempts[j]
        truth = {COMING: DEAD, THERE: DEAD, RUNS: DEAD_RAN, DONE: DEAD_RAN}.get(a.truth, a.truth)
        return self._att(w, i, j, a._replace(truth=truth, link=False))

    def _kill(self, w: World, node: int) -> World:
        gone = set()
        for i, t in enumerate(w.tries):
            if t.node == node and not t.lost:
                gone.add(i)
                for j in range(len(t.attempts)):
                    w = self._reset(self._break(w, i, j), i, j)
                w = self._put(w, i, w.tries[i]._replace(lost=True))
        # Engines stop with the connections; what they held is let go by their own bound.
        return w._replace(states=frozenset(x for x in w.states if x[1] not in gone))
