"""All decisions of a myrtlehub node: which engine reads a sequence, which writes it, when to give up.

A host makes one `Router(terms)` a node and calls it with what happened (`arrive`, `ended`, `wake`, ...);
each call returns the list of results to carry out, verb first. Calls, results and types are described in
`myrtlehub/interface.py`. A sequence passes `Router.chain`, a stage after another: a stage passes it on, keeps
it for later or ends it; what comes back from an engine runs the same chain the other way. Every send goes
through `Router._gate`, where the five rules are kept.
"""

from collections import deque
from random import Random
from statistics import median

from myrtlehub.interface import (
    CANCELLED, DRAINING, FULL, GENERATED, ONCE_ONLY, READ, REPEATABLE, RESET, SERVING, TOKENED, UNREACHED,
    UNSENT, Arrival, Listing, Load, NodeCalls, Terms, TrafficType)

PASS, KEEP, END = "pass", "keep", "end"

COLD_PART = 0.5  # of what a cold engine may be sent in a span without falling, over all nodes
USUAL_SPAN = 10.0  # seconds over which our sends to a kind of engine are counted
USUAL_FADE = 30.0  # and in which the memory of that halves
COLD_RAMP = 0.5  # of an even ramp from cold to warm that is believed, as the true one is not told
SPLIT_TOKENS = 600.0  # uncached prompt tokens from which a prompt is read elsewhere; 0: never
KEPT_FOR = 30.0  # seconds for which a claim of the table counts in full
KEPT_FADE = 30.0  # and over which it then fades away
KEPT_ENTRIES = 4000  # claims held for each engine
ROOM_TOKENS = 20000.0  # what a wholly free writer is worth, in kept tokens
FAR_PACE = 1.0 / 24000.0  # seconds a token that a move between cells is taken to cost at least
SELF_DRAG = 3.0  # times longer that a pure writer's own reading counts, as its streams wait meanwhile
HOME_TOKENS = 500.0  # what lying in this node's zone is worth
MEMORY_LIKELY = 150000.0  # tokens, where no figure is stated
RATE_LIKELY = 12000.0  # prompt tokens a second, until answers have shown a rate
READ_ROOM = 0.5  # share of the remaining latency SLO that a reader's queue may take
WRITE_FULL = 0.92  # share of a writer's memory past which nothing new is begun for it
LIKELY_OUTPUT = 0.25  # share of the most that it may produce that an answer is taken to produce
REPORT_LAG = 0.6  # seconds in which what we sent fades into the reports
PATIENCE = 0.7  # share of the latency SLO for which a sequence waits here for room
KEPT_TRIES = 3  # sequences kept here that are tried again in vain at a time
SHARE_BURST = 2.0  # seconds of its share that a tenant may send at once
SLOW_FADE = 5.0  # seconds in which what we know of an engine's pace halves
DRAG_COST = 0.5  # share of a writer's room lost where answers take twice the usual time
TARDY_COST = 3.0  # seconds that each second of late beginnings counts against a writer
BLAME = 0.25  # share of failures above the fleet's median at which an engine is left alone
BLAME_FADE = 5.0  # seconds in which what an engine did fades to a third
TRIAL_EVERY = 1.0  # seconds between trials of an engine that is left alone
WINDOW_MARGIN = 0.05  # seconds before the end of a dedup window at which a repeat is not sent any more
SWEEP = 0.025  # seconds between looks at what is kept and at abandon times
FULL_PAUSE = 0.2  # seconds for which an engine that was full gets nothing more
READ_TIMEOUT = 0.6  # share of the time left for which a first read may be out


# What we hold of each engine, in parallel arrays by its index, with the value at its start.
FIGURES = {
    "state": DRAINING, "kind": 0, "zone": 0, "cell": 0, "started": 0.0,
    "own_held": 0.0,  # tokens of our sequences at a writer
    "own_unread": 0.0,  # tokens that we sent to be read there and that are not read yet
    "own_reads": 0,
    "memory_used": 0.0, "memory_told": False, "others_unread": 0.0, "unread_told": False,  # as reported
    "bound": 0.0,  # tokens of our sequences that are meant for it and have not begun there
    "recent": 0.0, "recent_at": 0.0,  # tokens begun there that no report may show yet
    "rate": 0.0, "rate_at": 0.0,  # prompt tokens a second
    "far_pace": 0.0,  # seconds a token that fetches from other cells have taken
    "drag": 0.0,  # by how much of the usual time its answers have lately taken longer
    "tardy": 0.0, "tardy_at": 0.0,  # seconds by which its answers began late
    "tried": 0.0, "failed": 0.0, "faded_at": 0.0,  # schedule attempts, fading
    "trial_at": 0.0, "full_until": 0.0, "cold_next": 0.0,  # when it may be tried again
}


class Attempt:
    """One send of a sequence to an engine."""

    def __init__(self, engine: int, reads: bool, since: float, unread: float, backlog: float,
                 claim: tuple[float, float]) -> None:
        self.engine, self.reads, self.since, self.unread, self.backlog = engine, reads, since, unread, backlog
        self.claim, self.claimed_at = claim
        self.out = self.reading = True
        self.outcome, self.latency, self.settled, self.kept = "", 0.0, False, 0.0
        self.fetches = False


class Seq:
    """A sequence that this node holds."""

    def __init__(self, ident: int, a: Arrival, kind: TrafficType, now: float, answer_by: float) -> None:
        self.id, self.a, self.kind, self.since = ident, a, kind, now
        self.slo_at = now + kind.latency_slo + kind.slo_per_token * a.prompt
        self.abandon_at = answer_by
        self.writer = self.reader = self.state_at = self.bound = -1  # engines
        self.split, self.state_since = False, 0.0
        self.attempts: list[Attempt] = []
        self.avoid: set[int] = set()
        self.may_run: list = []  # [dedup group, sent at] of the first attempt that may have run
        self.over_share = self.begun = self.over = False

    def out(self) -> list[int]:
        return [i for i, t in enumerate(self.attempts) if t.out]


class KeptTable:
    """What we believe each engine keeps: sessions and shared prefixes, with when that was last shown."""

    def __init__(self) -> None:
        self.rows: list[dict[int, tuple[float, float]]] = []

    def claim(self, engine: int, a: Arrival, now: float) -> tuple[float, float]:
        """Tokens of this prompt that the engine should keep, and when we last saw that."""
        best = (0.0, 0.0)
        for key, most in ((a.session, a.prompt), (-a.prefix, a.shared)):
            tokens, seen = self.rows[engine].get(key, (0.0, 0.0)) if key else (0.0, 0.0)
            tokens = min(tokens, most) * min(1.0, max(0.0, 1.0 - (now - seen - KEPT_FOR) / KEPT_FADE))
            if tokens > best[0]:
                best = (tokens, seen)
        return best

    def feed(self, engine: int, a: Arrival, now: float) -> None:
        row = self.rows[engine]
        for key, tokens in ((a.session, a.prompt), (-a.prefix, a.shared)):
            if key:
                row.pop(key, None)
                row[key] = (tokens, now)
        while len(row) > KEPT_ENTRIES:
            del row[next(iter(row))]

    def retract(self, engine: int, a: Arrival, since: float) -> None:
        """Take back what a send claimed that came to nothing."""
        for key in (a.session, -a.prefix):
            if self.rows[engine].get(key, (0.0, -1.0))[1] == since:
                del self.rows[engine][key]

    def void_until(self, engine: int, seen: float) -> None:
        """Guards against a flush, a restart or eviction: what was shown at `seen` is gone, all older too."""
        self.rows[engine] = {k: v for k, v in self.rows[engine].items() if v[1] > seen}


class Router(NodeCalls):
    """The decisions of one node."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.random = Random(terms.seed).random
        self.seqs: dict[int, Seq] = {}
        self.kept: dict[int, Seq] = {}
        self.table = KeptTable()
        self.share_left: dict[int, tuple[float, float]] = {}  # by tenant: sequences left, and when
        self.results: list[tuple] = []
        self.wake_at = float("inf")
        self.usual_stream: dict[int, float] = {}  # by traffic type: seconds that an answer takes
        self.now = self.fleet_at = self.rates_at = 0.0
        self.fleet_fails, self.usual_rate = 0.0, {}  # medians: share of failures; tokens a second by kind
        self.usual: dict[int, tuple[float, float]] = {}  # by kind: what we send to one a second, and when
        self.usual_unread = SPLIT_TOKENS  # tokens that a send of ours gives an engine to read, on average
        for name in FIGURES:
            setattr(self, name, [])
        self.sends: list[deque] = []  # when we last sent to it
        # (the stage on the way in, the stage on the way back)
        self.chain = ((self._admit, self._conclude), (self._pick_writer, self._follow),
                      (self._split, self._learn), (self._gate, self._settle))

    # -- calls ------------------------------------------------------------------------------------

    def start(self, now: float) -> list[tuple]:
        return [("watch", True)] if self.terms.ask_for_list else []

    list_failed = start

    def engines(self, now: float, listings: list, whole: bool) -> list[tuple]:
        self.now = now
        for e in listings:
            while len(self.state) <= e.engine:
                self._grow()
            if e.fresh or e.started > self.started[e.engine] + 0.001:
                self._reset(e.engine, e)
            i = e.engine
            self.state[i], self.kind[i], self.zone[i], self.cell[i] = e.state, e.kind, e.zone, e.cell
        if whole:
            for i in set(self._all()) - {e.engine for e in listings}:
                self.state[i] = DRAINING
        return self._finish(now)

    def arrive(self, now: float, ident: int, a: Arrival) -> list[tuple]:
        self.now = now
        margin = max(2 * self.terms.tick, 0.004)
        seq = self.seqs[ident] = Seq(ident, a, self.terms.traffic[a.traffic], now, now + a.time_left - margin)
        seq.over_share = self._over_share(a.tenant, now)
        self._run(seq, now)
        return self._finish(now)

    def began(self, now: float, ident: int, attempt: int, latency: float) -> list[tuple]:
        self.now = now
        seq = self.seqs.get(ident)
        if seq is not None and attempt < len(seq.attempts):
            t = seq.attempts[attempt]
            e, seq.begun, seq.state_at = t.engine, True, -1
            self._bind(seq, -1)
            self.recent[e], self.recent_at[e] = self._recent(e, now) + self._need(seq), now
            self._read_over(t)
            self._judge(e, 0.0, now)
            self._pace(t, latency)
            if t.fetches and self.cell[seq.reader] != self.cell[e]:
                self.far_pace[e] += 0.2 * (latency / max(500.0, seq.a.prompt) - self.far_pace[e])
            else:
                late = max(0.0, latency - t.unread / self._rate(e))
                self.tardy[e], self.tardy_at[e] = self._tardy(e) + 0.3 * (late - self._tardy(e)), now
        return self._finish(now)

    def ended(self, now: float, ident: int, attempt: int, outcome: str, latency: float, settled: bool,
              kept: float, load: Load | None) -> list[tuple]:
        self.now = now
        seq = self.seqs.get(ident)
        if seq is not None and attempt < len(seq.attempts) and seq.attempts[attempt].out:
            t = seq.attempts[attempt]
            t.outcome, t.latency, t.settled, t.kept = outcome, latency, settled, kept
            if load is not None:
                self._report(t.engine, load, now)
            for _, back in reversed(self.chain):
                back(seq, t, now)
        return self._finish(now)

    def left(self, now: float, ident: int) -> list[tuple]:
        seq = self.seqs.get(ident)
        if seq is not None and not seq.over:
            self._end(seq, None)
        return self._finish(now)

    def wake(self, now: float, token: int) -> list[tuple]:
        self.now = now
        if now >= self.wake_at - 0.001:
            self.wake_at = float("inf")
        for seq in list(self.seqs.values()):
            if not seq.over and not seq.begun and now >= seq.abandon_at:
                self._give_up(seq)
        return self._finish(now)

    def _over_share(self, tenant: int, now: float) -> bool:
        """Whether a tenant sends more than this node's part of its share."""
        quota = self.terms.quotas[tenant] / self.terms.nodes if tenant >= 0 else 0.0
        if not quota:
            return False
        left, at = self.share_left.get(tenant, (SHARE_BURST * quota, now))
        left = min(SHARE_BURST * quota, left + (now - at) * quota)
        self.share_left[tenant] = (max(0.0, left - 1.0), now)
        return left < 1.0

    # -- the chain --------------------------------------------------------------------------------

    def _run(self, seq: Seq, now: float) -> None:
        self.kept.pop(seq.id, None)
        if now >= seq.abandon_at:
            self._give_up(seq)
            return
        for stage, _ in self.chain:
            verdict = stage(seq, now)
            if verdict == KEEP:
                self.kept[seq.id] = seq
                if seq.attempts and not seq.out() and now > seq.state_since + 0.5 * self.terms.let_go:
                    # rule 5: what no writer takes in time is let go, and would be read anew
                    self.results.append(("release", seq.id))
                    seq.state_at, seq.state_since = -1, float("inf")
            if verdict != PASS:
                return

    def _admit(self, seq: Seq, now: float) -> str:
        """New work waits here while no writer has room, and is turned away in time to come again.

        Guards against writers that run out of memory, put answers back into their queues and read them anew,
        which keeps them full, whatever filled them. What a tenant sends beyond its share goes first.
        """
        if seq.attempts:
            return PASS
        writers = [w for w in self._all() if self._writes(w) and self._usable(w, seq, now)]
        if not writers or any(self._free(w, seq, now) > 1.0 - WRITE_FULL for w in writers):
            return PASS
        return self._wait_here(seq, now)

    def _wait_here(self, seq: Seq, now: float) -> str:
        if seq.over_share or now - seq.since > PATIENCE * (seq.slo_at - seq.since):
            return self._give_up(seq, self.terms.max_wait)
        return KEEP

    def _pick_writer(self, seq: Seq, now: float) -> str:
        """Writer first: by room, raised by the tokens it should keep."""
        if seq.writer >= 0 and seq.writer not in seq.avoid and self._usable(seq.writer, seq, now):
            return PASS
        usable = [w for w in self._all() if self._writes(w) and self._usable(w, seq, now)]
        usable = [w for w in usable if w not in seq.avoid] or usable
        roomy = [w for w in usable if self._free(w, seq, now) > 1.0 - WRITE_FULL] or usable
        if not roomy:
            return KEEP
        readers, at = self._readers(seq, now), seq.state_at

        def score(w: int) -> float:
            delay = self._move(at, w, seq) if at >= 0 else self._read_plan(w, seq, now, readers)[0]
            delay += self._wait(w) + TARDY_COST * self._tardy(w)
            room = ROOM_TOKENS * (self._free(w, seq, now) - DRAG_COST * max(0.0, self.drag[w]))
            home = HOME_TOKENS * (self.zone[w] == self.terms.zone) - RATE_LIKELY * delay
            return room + self.table.claim(w, seq.a, now)[0] + home + self.random()
        seq.writer = max(roomy, key=score)
        return PASS

    def _split(self, seq: Seq, now: float) -> str:
        """Read elsewhere when the writer would have to read too much itself, or cannot read."""
        seq.split = False
        if seq.state_at < 0:
            delay, seq.reader = self._read_plan(seq.writer, seq, now, self._readers(seq, now))
            delay += self._wait(seq.writer) + self._tardy(seq.writer)
            if not seq.attempts and delay > seq.slo_at - now:
                # Guards against engines whose queues hold only what comes too late, whatever filled them.
                return self._wait_here(seq, now)
            if seq.reader == -2:
                return KEEP  # no reader to be had, and the writer cannot read
            seq.split = seq.reader >= 0
        return PASS

    def _read_plan(self, w: int, seq: Seq, now: float, roomy: list[int]) -> tuple[float, int]:
        """Seconds until the prompt is read for this writer, and by which reader (-1: by itself)."""
        uncached = seq.a.prompt - self.table.claim(w, seq.a, now)[0]
        both = self.terms.reads[self.kind[w]]
        able, alone = both or self.terms.self_read, uncached / self._rate(w) * (1.0 if both else SELF_DRAG)
        if able and (SPLIT_TOKENS <= 0 or uncached < SPLIT_TOKENS):
            return alone, -1
        near = [r for r in roomy if self.cell[r] == self.cell[w]]
        if near:
            best = max(near, key=lambda r: (round(self.table.claim(r, seq.a, now)[0]), -self.own_reads[r],
                                            -self._wait(r), -r))
            return self._reading(best, seq, now), best
        # Guards against readers flooded by a lasting heavy mix, and against states queueing on the links
        # between cells: where no reader of the cell has room, the prompt goes where it should be ready first,
        # the writer included.
        others = roomy or [r for r in self._all() if self._reads_only(r) and self._usable(r, seq, now)]
        if not others:
            return (alone, -1) if able else (seq.abandon_at - now, -2)
        best = min(others, key=lambda r: (self._reading(r, seq, now) + self._move(r, w, seq), r))
        far = self._reading(best, seq, now) + self._move(best, w, seq)
        return (alone, -1) if able and alone + self._wait(w) < far else (far, best)

    def _reading(self, r: int, seq: Seq, now: float) -> float:
        return self._wait(r) + (seq.a.prompt - self.table.claim(r, seq.a, now)[0]) / self._rate(r)

    def _move(self, r: int, w: int, seq: Seq) -> float:
        return 0.0 if self.cell[r] == self.cell[w] else seq.a.prompt * (FAR_PACE + self.far_pace[w])

    def _readers(self, seq: Seq, now: float) -> list[int]:
        """Readers with room."""
        limit = max(0.1, READ_ROOM * (seq.slo_at - now))
        return [r for r in self._all() if self._reads_only(r) and self._usable(r, seq, now)
                and r not in seq.avoid and self._reading(r, seq, now) < limit]

    def _gate(self, seq: Seq, now: float) -> str:
        """The one place that every send passes; each of the five rules is kept here."""
        engine = seq.reader if seq.split else seq.writer
        if seq.over or now >= seq.abandon_at or len(seq.attempts) >= self.terms.most_attempts:
            return self._give_up(seq)  # rule 1: answered by now, or nothing more may be sent
        if seq.out() or not self._may_go_again(seq, engine, now):
            return KEEP if seq.out() else self._give_up(seq)  # rule 2
        if self.state[engine] != SERVING:
            return KEEP  # rule 3: nothing new from the moment we are told
        if not self._cold_pass(engine, now):
            return KEEP  # rule 4
        claim = (0.0, 0.0) if seq.state_at >= 0 else self.table.claim(engine, seq.a, now)
        unread = 0.0 if seq.state_at >= 0 else max(0.0, seq.a.prompt - claim[0])
        t = Attempt(engine, seq.split, now, unread, self._backlog(engine), claim)
        timeout = 0.0
        if not seq.attempts:
            # one time-out a sequence: those that fire under mere load make load
            timeout = READ_TIMEOUT * (seq.abandon_at - now) if seq.split else 0.0
        self._bind(seq, seq.writer)
        t.fetches = seq.state_at >= 0
        seq.attempts.append(t)
        self.sends[engine].append(now)
        self.trial_at[engine] = now + TRIAL_EVERY
        self.own_unread[engine] += unread
        self.own_reads[engine] += seq.split
        if not seq.split:
            self.own_held[engine] += self._need(seq)
        if not t.fetches:  # a fetched state is not kept for the next prompt
            self.table.feed(engine, seq.a, now)
            self.usual_unread += 0.05 * (unread - self.usual_unread)
        self.results.append(("send", seq.id, engine, timeout))
        return PASS

    def _may_go_again(self, seq: Seq, engine: int, now: float) -> bool:
        """Rule 2: what may have run goes again only as its traffic type allows."""
        if not seq.may_run or seq.kind.repeats == REPEATABLE:
            return True
        if seq.kind.repeats == ONCE_ONLY:
            return False
        remembered = now < seq.may_run[1] + seq.kind.dedup_window - WINDOW_MARGIN
        return remembered and self._group(seq.kind, engine) == seq.may_run[0]

    def _group(self, kind: TrafficType, engine: int) -> int:
        return getattr(self, kind.dedup_group)[engine] if kind.dedup_group != "all" else 0

    # -- the way back -----------------------------------------------------------------------------

    def _settle(self, seq: Seq, t: Attempt, now: float) -> None:
        t.out = False
        self._read_over(t)
        if not t.reads:
            self.own_held[t.engine] = max(0.0, self.own_held[t.engine] - self._need(seq))
            if t.outcome not in (GENERATED, READ, FULL, UNREACHED, UNSENT) and not seq.may_run:
                seq.may_run = [self._group(seq.kind, t.engine), t.since]

    def _learn(self, seq: Seq, t: Attempt, now: float) -> None:
        """What an outcome tells of the engine: health, pace, kept tokens."""
        if t.outcome in (GENERATED, READ):
            if not seq.begun:
                self._judge(t.engine, 0.0, now)
            if t.reads:
                self._pace(t, t.latency)
            if seq.begun:
                # Guards against engines that begin in time and write slowly, against the usual of the type.
                usual = self.usual_stream.setdefault(seq.a.traffic, t.latency)
                self.usual_stream[seq.a.traffic] += 0.05 * (t.latency - usual)
                self.drag[t.engine] += 0.15 * (t.latency / max(usual, 0.01) - 1.0 - self.drag[t.engine])
            if not t.fetches:
                if t.claim >= 64.0 and t.kept < 0.5 * t.claim:
                    self.table.void_until(t.engine, t.claimed_at)
                self.table.feed(t.engine, seq.a, now)
            return
        if not t.fetches:
            self.table.retract(t.engine, seq.a, t.since)
        if t.outcome == FULL:
            if not t.kept:
                self.full_until[t.engine] = now + FULL_PAUSE
        elif t.outcome not in (UNSENT, CANCELLED):
            if t.outcome in (UNREACHED, RESET):
                # Guards against pushing over what died and came back, seconds before the list says so.
                self.started[t.engine], self.table.rows[t.engine] = now, {}
            self._judge(t.engine, 2.0 if t.outcome == UNREACHED else 1.0, now)

    def _follow(self, seq: Seq, t: Attempt, now: float) -> None:
        """Where the sequence stands after an outcome."""
        if t.outcome == READ and t.reads and not seq.begun:
            seq.state_at, seq.state_since = t.engine, now
        elif t.outcome == FULL and t.kept and not t.reads:
            seq.state_at = -1
        elif t.outcome not in (GENERATED, READ, UNSENT):
            seq.avoid.add(t.engine)
            seq.state_since = now

    def _conclude(self, seq: Seq, t: Attempt, now: float) -> None:
        seq.over = seq.over or t.settled
        if seq.over:
            self._let_go(seq)
        elif not self._may_go_again(seq, t.engine, now):
            self._give_up(seq)  # nothing more may be tried: say so at once
        elif not seq.out():
            self._run(seq, now)

    # -- ends -------------------------------------------------------------------------------------

    def _give_up(self, seq: Seq, wait: float = 0.0) -> str:
        """A final answer at once: a rejection where that is true, else an abort."""
        unsure = bool(seq.may_run or seq.out())  # a read still out counts until it is known to have ended
        free = seq.kind.repeats == REPEATABLE or (
            seq.kind.repeats == TOKENED and seq.kind.dedup_group == "all")
        self._end(seq, ("reject", seq.id, wait) if free or not unsure else ("abort", seq.id))
        return END

    def _end(self, seq: Seq, answer: tuple | None) -> None:
        seq.over = True
        if answer:
            self.results.append(answer)
        if self.terms.may_cancel and not seq.begun:
            self.results.extend(("cancel", seq.id, i) for i in seq.out())
        self._let_go(seq)

    def _bind(self, seq: Seq, writer: int) -> None:
        """Count what a sequence will take at the writer that it is meant for, until it begins there."""
        if seq.bound >= 0:
            self.bound[seq.bound] -= self._need(seq)
        if writer >= 0:
            self.bound[writer] += self._need(seq)
        seq.bound = writer

    def _let_go(self, seq: Seq) -> None:
        """Rule 5: nothing stays held for an ended sequence once none of its attempts is out."""
        self.kept.pop(seq.id, None)
        self._bind(seq, -1)
        if not seq.out():
            if any(t.reads for t in seq.attempts):
                self.results.append(("release", seq.id))
            self.results.append(("done", seq.id))
            self.seqs.pop(seq.id, None)

    def _finish(self, now: float) -> list[tuple]:
        misses = 0
        for seq in sorted(self.kept.values(), key=lambda s: (s.over_share, s.slo_at, s.id)):
            # Guards against the time that a long queue here would take: a few are tried, and all due.
            due = seq.attempts or now - seq.since > PATIENCE * (seq.slo_at - seq.since)
            if seq.id in self.kept and (due or misses < KEPT_TRIES):
                self._run(seq, now)
                misses += seq.id in self.kept
        if self.wake_at < now:
            self.wake_at = float("inf")
        waiting = [s.abandon_at for s in self.seqs.values() if not s.over and not s.begun]
        if waiting:
            pause = max(0.001, min(SWEEP if self.kept else 4 * SWEEP, min(waiting) - now))
            if now + pause < self.wake_at - 0.0005:
                self.wake_at = now + pause
                self.results.append(("wake", pause, 0))
        results, self.results = self.results, []
        return results

    # -- figures of the engines -------------------------------------------------------------------

    def _grow(self) -> None:
        for name, zero in FIGURES.items():
            getattr(self, name).append(zero)
        self.sends.append(deque(maxlen=64))
        self.table.rows.append({})

    def _reset(self, i: int, e: Listing) -> None:
        """A process that has just started keeps nothing, and has done nothing yet."""
        for name, zero in FIGURES.items():
            if e.fresh or not (name.startswith("own_") or name == "bound"):
                getattr(self, name)[i] = zero
        if e.fresh:
            self.sends[i].clear()
        self.started[i], self.table.rows[i] = e.started, {}

    def _all(self) -> range:
        return range(len(self.state))

    def _writes(self, i: int) -> bool:
        return self.terms.writes[self.kind[i]]

    def _reads_only(self, i: int) -> bool:
        return self.terms.reads[self.kind[i]] and not self.terms.writes[self.kind[i]]

    def _usable(self, i: int, seq: Seq, now: float) -> bool:
        if self.state[i] != SERVING or now < self.full_until[i] or not self._cold_pass(i, now, spend=False):
            return False
        # one that is left alone gets a trial now and then, never with a sequence that could be lost by it
        lost = seq.kind.repeats == ONCE_ONLY and self._writes(i)
        return not self._blamed(i, now) or (now >= self.trial_at[i] and not lost)

    def _cold_pass(self, i: int, now: float, spend: bool = True) -> bool:
        """Rule 4: each node keeps to its part of what a cold engine may be sent, refused sends too."""
        terms = self.terms
        if not terms.fall_time or not self.started[i] or now > self.started[i] + terms.cold_time:
            return True
        if now < self.cold_next[i]:
            return False
        if spend:
            alike = [j for j in self._all() if self.state[j] == SERVING and self.kind[j] == self.kind[i]]
            sent = sum(s > now - USUAL_SPAN for j in alike for s in self.sends[j]) / USUAL_SPAN / len(alike)
            # remembered, as there is nothing to go by once most of a kind have broken at once
            known, at = self.usual.get(self.kind[i], (0.0, now))
            usual = max(sent, known * 0.5 ** ((now - at) / USUAL_FADE))
            self.usual[self.kind[i]] = (usual, now)
            warmed = COLD_RAMP * (now - self.started[i]) / terms.cold_time
            share = terms.cold_share + (1.0 - terms.cold_share) * warmed
            rate = max(COLD_PART * share * terms.fall_multiple * usual, 0.25 / terms.fall_time)
            self.cold_next[i] = now + 1.0 / rate
        return True

    def _blamed(self, i: int, now: float) -> bool:
        """Our operators' way: an engine's share of failures against the median of the fleet."""
        if not self.failed[i]:
            return False
        if self.fleet_at != now:
            shares = [self._failing(j, now) for j in self._all() if self.state[j] == SERVING]
            self.fleet_fails, self.fleet_at = median(shares), now
        return self._failing(i, now) > self.fleet_fails + BLAME

    def _failing(self, i: int, now: float) -> float:
        fade = 0.5 ** ((now - self.faded_at[i]) / BLAME_FADE) if self.tried[i] else 0.0
        return self.failed[i] * fade / (self.tried[i] * fade + 1.0)

    def _judge(self, i: int, failures: float, now: float) -> None:
        fade = 0.5 ** ((now - self.faded_at[i]) / BLAME_FADE)
        self.tried[i] = self.tried[i] * fade + max(1.0, failures)
        self.failed[i] = self.failed[i] * fade + failures
        self.faded_at[i] = now

    def _report(self, i: int, load: Load, now: float) -> None:
        if load.memory_share is not None:
            self.memory_used[i], self.memory_told[i] = load.memory_share * self._memory(i), True
        told, scale = (load.waiting, self.usual_unread) if load.unread is None else (load.unread, 1.0)
        if told is not None:
            self.others_unread[i], self.unread_told[i] = max(0.0, told * scale - self.own_unread[i]), True

    def _memory(self, i: int) -> float:
        return self.terms.memory[self.kind[i]] or MEMORY_LIKELY

    def _recent(self, i: int, now: float) -> float:
        return self.recent[i] * max(0.0, 1.0 - (now - self.recent_at[i]) / REPORT_LAG)

    def _need(self, seq: Seq) -> float:
        return seq.a.prompt + LIKELY_OUTPUT * seq.a.most_output

    def _free(self, i: int, seq: Seq, now: float) -> float:
        """Share of a writer's memory left with this sequence, if other nodes promise as much as we do."""
        if self.memory_told[i]:
            coming = self._recent(i, now) + self.bound[i]
            used = max(self.memory_used[i] + coming * self.terms.nodes, self.own_held[i])
        else:
            used = self.own_held[i] * self.terms.nodes
        return 1.0 - (used + self._need(seq)) / self._memory(i)

    def _backlog(self, i: int) -> float:
        others = self.others_unread[i] if self.unread_told[i] else self.own_unread[i] * (self.terms.nodes - 1)
        return self.own_unread[i] + others

    def _wait(self, i: int) -> float:
        """Seconds until what waits there has been read."""
        return self._backlog(i) / self._rate(i)

    def _rate(self, i: int) -> float:
        """Prompt tokens a second that it has shown, fading to what is usual for its kind."""
        if self.now != self.rates_at:
            self.rates_at, self.usual_rate = self.now, {}
        usual = self.usual_rate.get(self.kind[i])
        if usual is None:
            alike = [self.rate[j] for j in self._all() if self.kind[j] == self.kind[i] and self.rate[j]]
            usual = self.usual_rate[self.kind[i]] = median(alike) if alike else RATE_LIKELY
        fade = 0.5 ** ((self.now - self.rate_at[i]) / SLOW_FADE)
        return usual + (self.rate[i] - usual) * fade if self.rate[i] else usual

    def _tardy(self, i: int) -> float:
        """Seconds by which its answers have lately begun late."""
        return self.tardy[i] * 0.5 ** ((self.now - self.tardy_at[i]) / SLOW_FADE)

    def _pace(self, t: Attempt, latency: float) -> None:
        if t.unread >= 200.0 and latency > 0.0:
            seen = min(100000.0, max(200.0, (t.backlog + t.unread) / latency))
            weight = 0.3 * min(1.0, t.unread / 2000.0)
            self.rate[t.engine] = self._rate(t.engine) if self.rate[t.engine] else 0.0
            self.rate_at[t.engine] = self.now
            self.rate[t.engine] += weight * (seen - self.rate[t.engine]) if self.rate[t.engine] else seen

    def _read_over(self, t: Attempt) -> None:
        """The tokens that we sent to be read there are read, or will not be."""
        if t.reading:
            t.reading = False
            self.own_unread[t.engine] = max(0.0, self.own_unread[t.engine] - t.unread)
            self.own_reads[t.engine] -= t.reads
