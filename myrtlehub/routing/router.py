"""All decisions of a myrtlehub node: which engine reads a sequence, which writes it, when to give up.

A host makes one `Router(config)` a node and calls it with what happened (`arrive`, `ended`, `wake`, ...);
each call returns the list of results to carry out, verb first. Calls, results and types are described in
`myrtlehub/interface.py`. A sequence passes `Router.chain`, a stage after another: a stage passes it on, keeps
it for later or ends it; what comes back from an engine runs the same chain the other way. Every send goes
through `Router._gate`, where the five rules are kept.
"""

from collections import Counter, deque
from collections.abc import Callable
from random import Random
from statistics import median, median_high

from myrtlehub.routing.contract import (
    Abort,
    Action,
    Arrival,
    CancelAttempt,
    DedupGroup,
    EndpointUpdate,
    EngineState,
    Forget,
    LoadReport,
    Outcome,
    Probe,
    Reject,
    Release,
    RetrySemantics,
    RouterConfig,
    ScheduleWakeup,
    Send,
    TrafficType,
    UnusedCalls,
    WatchEndpoints,
)

PASS, KEEP, END = "pass", "keep", "end"

COLD_PART = 0.3  # of what a cold engine may be sent in a span without falling, over all nodes
USUAL_SPAN = 20.0  # seconds over which what is done for us, and what tenants send, is counted, fading
COLD_RAMP = 0.5  # of an even ramp from cold to warm that is believed, as the true one is not told
SPLIT_TOKENS = 600.0  # uncached prompt tokens from which a prompt is read elsewhere; 0: never
KEPT_FOR = 30.0  # seconds for which a claim of the table counts in full, and over which it then fades away
KEPT_ENTRIES = 4000  # claims held for each engine
ROOM_TOKENS = 20000.0  # what a wholly free writer is worth, in kept tokens
FAR_PACE = 1.0 / 24000.0  # seconds a token that a move between cells takes, until some were seen
SELF_DRAG = 3.0  # times longer that a writer's own reading counts, as its streams wait meanwhile
HOME_TOKENS = 500.0  # what lying in this node's zone is worth
MEMORY_LIKELY = 150000.0  # tokens, where no figure is stated
TIE = 0.1  # seconds within which chance picks among readers, lest all nodes send to one
CELL_SLACK = 1.3  # times their even part that a cell's readers are trusted with unseen
RATE_LIKELY = 12000.0  # prompt tokens a second, until answers have shown a rate
PACES = 20  # reads by which the rate of a kind is judged
READ_ROOM = 0.5  # share of the remaining latency SLO that a reader's queue may take
WRITE_FULL = 0.92  # share of a writer's memory past which nothing new is begun for it
LIKELY_OUTPUT = 0.25  # share of the most that it may produce that an answer is taken to produce
ALIKE_NODES = 3.0  # other nodes at most that are taken to lean the way that we lean
SURE_PART = 0.7  # of the time left that a beginning may be reckoned to take, where load has to be asked for
PATIENCE = 0.7  # share of the latency SLO for which a sequence waits here for room
HOPE = 0.5  # share of what we reckon that a beginning takes, until some have been seen
LOOK_AGAIN = (0.08, 0.4)  # seconds from look to look at a sequence kept here: as load comes, or is asked for
KEPT_TRIES = 3  # sequences kept here that are tried again in vain at a time
SHARE_SLACK = 1.5  # sequences a span that a tenant may send besides, as few make no share
SHARE_SKEW = 1.25  # times its even part of a share that a node lets pass, as nodes get unequal parts
SEEN_FADE = 5.0  # seconds in which what we have seen of an engine halves
QUEUE_FADE = 1.0  # seconds in which the word on what waits at a reader is half worthless
RARE_FADE = 3.0  # times longer at most for engines that we rarely hear of
DRAG_COST = 0.5  # share of a writer's room lost where answers take twice the usual time
TARDY_COST = 3.0  # seconds that each second of late beginnings counts against a writer
BLAME = 0.25  # share of failures above the fleet's median at which an engine is left alone
DYING = 0.8  # share of failures from which an engine that cannot be reached, or resets, counts as restarted
WINDOW_MARGIN = 0.05  # seconds that a repeat may take to an engine once its connection stands
SWEEP = 0.04  # seconds between looks at what is kept here
REFUSED_FOR = 20.0  # seconds for which an engine that was full for a tenant and type is their last choice
HOMES = 6  # readers at which a prefix is kept first of all
HOME_LUCK = (0.5, 0.3, 0.0)  # share of a prompt that its home, second homes and others keep, until seen
NEAR_KEPT = 10.0  # what a token kept by a reader beside a writer is worth, where we can ask that writer
PROBE_SPEND = 0.01  # of the utility asked for, that probes may cost where load is told to them alone
PROBES_MOST = 6.0  # a sequence, however cheap they are
LIKELY_WRITERS = 8  # of which one is chosen once the word is there
PROBE_AGAIN = 0.3  # seconds for which word of an engine's load is not asked for anew
SILENT_QUEUE = 0.5  # seconds of queue that an engine is taken to have whose probe found no answer
READ_TIMEOUT = 0.6  # share of the time left for which a first read may be out


UNSEEN = (0.0, float("-inf"))
# What we hold of each engine, in parallel arrays by its index, with the value at its start.
FIGURES = {
    "state": EngineState.DRAINING, "kind": 0, "zone": 0, "cell": 0, "started": 0.0, "mark": 0,
    "own_unread": 0.0,  # tokens that we sent to be read there and that are not read yet
    "own_reads": 0,
    "asked": float("-inf"),  # when it was last probed
    "bound": 0.0,  # tokens of our sequences that are meant for it and have not begun there
    # what was seen of it against what is usual for its kind, fading, and when:
    "memory": UNSEEN,  # share of it held
    "unread": UNSEEN,  # prompt tokens of others that wait there
    "fast": UNSEEN,  # by how much of the usual rate it reads faster
    "drag": UNSEEN,  # by how much of the usual time its answers take longer
    "tardy": UNSEEN,  # seconds by which its answers begin late
    "failing": UNSEEN,  # share of schedule attempts
}


class Attempt:
    """One send of a sequence to an engine."""

    def __init__(self, engine: int, reads: bool, since: float, unread: float, backlog: float,
                 claim: tuple[float, float]) -> None:
        self.engine, self.reads, self.since, self.unread, self.backlog = engine, reads, since, unread, backlog
        self.claim, self.claimed_at = claim
        self.out, self.fetches, self.home = True, False, 2
        self.outcome, self.latency, self.settled, self.kept = "", 0.0, False, 0.0


class Seq:
    """A sequence that this node holds."""

    def __init__(self, ident: int, a: Arrival, kind: TrafficType, now: float, answer_by: float) -> None:
        self.id, self.a, self.kind, self.since = ident, a, kind, now
        self.whose = (a.tenant, a.traffic)
        self.abandon_at = answer_by
        # some come with little time left: what this try has left is what counts
        self.slo_at = min(answer_by, now + kind.latency_slo + kind.slo_per_token * a.prompt_tokens)
        self.writer = self.reader = self.state_at = self.bound = -1  # engines
        self.split, self.state_since, self.plan, self.due = False, 0.0, None, (0.0, 0.0)
        self.attempts: list[Attempt] = []
        self.avoid: set[int] = set()
        self.may_run: list = []  # [dedup group, sent at] of the first attempt that may have run
        self.over_share = self.begun = self.over = self.refused = False
        self.awaits: set[int] = set()  # engines whose load was asked for on its behalf
        self.likely: list[int] = []  # writers that ranked best when load was asked for
        self.looked = 0.0  # when it was last tried
        self.homes: dict[int, int] = {}  # places of readers that should keep its prompt
        self.lot = 0.0  # by chance: which cold engines it may go to

    def out(self) -> list[int]:
        return [i for i, t in enumerate(self.attempts) if t.out]


class KeptTable:
    """What we believe each engine keeps: sessions and shared prefixes, with when that was last shown."""

    def __init__(self) -> None:
        self.rows: list[dict[int, tuple[float, float]]] = []

    def claim(self, engine: int, a: Arrival, now: float) -> tuple[float, float]:
        """Tokens of this prompt that the engine should keep, and when we last saw that."""
        best, row = (0.0, 0.0), self.rows[engine]
        for key, most in ((a.session, a.prompt_tokens), (-a.prefix, a.shared_tokens)) if row else ():
            if not key or key not in row:
                continue
            tokens, seen = row[key]
            tokens = min(tokens, most) * min(1.0, max(0.0, 1.0 - (now - seen - KEPT_FOR) / KEPT_FOR))
            if tokens > best[0]:
                best = (tokens, seen)
        return best

    def feed(self, engine: int, a: Arrival, now: float) -> None:
        row = self.rows[engine]
        for key, tokens in ((a.session, a.prompt_tokens), (-a.prefix, a.shared_tokens)):
            if key:
                row.pop(key, None)
                row[key] = (tokens, now)
        # Guards against memory that grows with every session ever seen: what has faded away claims nothing.
        while row and (len(row) > KEPT_ENTRIES or next(iter(row.values()))[1] < now - 2.0 * KEPT_FOR):
            del row[next(iter(row))]

    def void_until(self, engine: int, seen: float) -> None:
        """Guards against a flush, a restart or eviction: what was shown at `seen` is gone, all older too."""
        self.rows[engine] = {k: v for k, v in self.rows[engine].items() if v[1] > seen}


class Router(UnusedCalls):
    """The decisions of one node."""

    def __init__(self, config: RouterConfig) -> None:
        self.config = config
        self.random = Random(config.seed).random
        self.seqs: dict[int, Seq] = {}
        self.kept: dict[int, Seq] = {}
        self.table = KeptTable()
        self.results: list[Action] = []
        self.wake_at = float("inf")
        self.now = self.timed_at = self.heard_at = 0.0
        self.usual: dict[tuple, float] = {}  # running means: what of, and of which kind, cell or traffic type
        self.counts: dict[tuple, tuple[float, float]] = {}  # done for us by kind, sent by tenant
        self.refused: dict[tuple[int, int, int], float] = {}  # until when: engine, tenant, traffic type
        self.taken: dict[tuple[int, int, int], float] = {}  # the same of engines that took such a sequence
        self.promised = 0.0  # tokens bound for all writers
        self.probes = PROBES_MOST  # that may be sent now
        self.writers: list[int] = []
        self.readers: list[int] = []
        # reckoned of engines in this call, as the chain asks for them more than once
        self.waits: dict[int, float] = {}
        self.frees: dict[int, float] = {}
        self.paces: dict[int, deque[float]] = {}  # prompt tokens a second of the last reads, by kind
        self.rates: dict[int, float] = {}  # and those that a kind of engine is taken to read
        self.reach: dict[int, float] = {}  # by cell: readers a writer, against the fleet
        self.alike = Counter()  # engines that serve, by kind
        for name in FIGURES:
            setattr(self, name, [])
        # (the stage on the way in, the stage on the way back)
        self.chain = ((self._pick_writer, self._conclude), (self._split, self._follow),
                      (self._gate, self._learn))

    # -- calls ------------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        return [WatchEndpoints(True)] if self.config.polls_endpoints else []

    endpoint_list_failed = start

    def update_endpoints(self, now: float, listings: list, whole: bool) -> list[Action]:
        self.now = self.heard_at = now
        for e in listings:
            while len(self.state) <= e.engine:
                for name, zero in FIGURES.items():
                    getattr(self, name).append(zero)
                self.table.rows.append({})
            if e.is_new or e.started_at > self.started[e.engine] + 0.001:
                self._reset(e.engine, e)
            i = e.engine
            self.state[i], self.kind[i], self.zone[i], self.cell[i] = e.state, e.kind, e.zone, e.cell
            self.mark[i] = e.hash_seed
        if whole:
            for i in set(range(len(self.state))) - {e.engine for e in listings}:
                self.state[i] = EngineState.DRAINING
        up = [i for i, state in enumerate(self.state) if state == EngineState.SERVING]
        self.writers = [i for i in up if self.config.writes[self.kind[i]]]
        writers = set(self.writers)
        self.readers = [i for i in up if self.config.reads[self.kind[i]] and i not in writers]
        ratio = CELL_SLACK * len(self.writers) / max(1, len(self.readers))
        beside = Counter(self.cell[i] for i in self.writers)
        near = Counter(self.cell[i] for i in self.readers)
        self.reach = {cell: ratio * count / max(1, beside[cell]) for cell, count in near.items()}
        self.alike = Counter(self.kind[i] for i in up)
        return self._finish(now)

    def arrive(self, now: float, ident: int, a: Arrival) -> list[Action]:
        self.now = now
        answer_by = now + a.time_left - max(2 * self.config.tick, 0.004)
        seq = self.seqs[ident] = Seq(ident, a, self.config.traffic[a.traffic], now, answer_by)
        seq.lot = self.random()
        if a.state_held_by >= 0:
            seq.state_at, seq.reader, seq.state_since = a.state_held_by, a.state_held_by, now
        if a.may_have_run_at >= 0:
            seq.may_run = [self._group(seq.kind, a.may_have_run_at), now - a.may_have_run_ago]
        self._count("sent", a.tenant)
        quota = self.config.quotas[a.tenant] / self.config.node_count if a.tenant >= 0 else 0.0
        seq.over_share = 0.0 < quota * SHARE_SKEW < self._often("sent", a.tenant) - SHARE_SLACK / USUAL_SPAN
        if self.config.load_by_probe_only and self.config.may_probe:
            allowed = min(PROBES_MOST, PROBE_SPEND / max(self.config.probe_price, 1e-6))
            self.probes = min(self.probes + allowed, 3.0 * PROBES_MOST)
            self._ask(seq, now)
        if seq.awaits:
            self.kept[ident] = seq
        else:
            self._run(seq, now)
        return self._finish(now)

    def probe_ended(self, now: float, engine: int, sound: bool, latency: float, load: LoadReport | None) -> list[Action]:
        self.now = self.heard_at = now
        if load is not None:
            self._report(engine, load, now)
        else:
            # Guards against queues too long to tell of: a deep probe waits like a request, and its time-out
            # means a full writer or a reader's long queue, not a dead engine.
            usual, kind = self.usual, self.kind[engine]
            told = SILENT_QUEUE * self._rate(engine) - usual.get(("unread", kind), 0.0)
            self._note(self.unread, engine, told, 1.0)
            self._note(self.memory, engine, 1.0 - usual.get(("memory", kind), 0.0), 1.0)
        for seq in [s for s in self.kept.values() if engine in s.awaits]:
            seq.awaits.discard(engine)
            if not seq.awaits and seq.id in self.kept:
                self._run(seq, now)
        return self._finish(now)

    def _ask(self, seq: Seq, now: float) -> None:
        """Where load is told to probes alone: asks those that it might go to, and one by chance."""
        usable = [w for w in self.writers if self._usable(w, seq, now)]
        plan = self._plan_reads(seq, now)
        ranked = sorted(usable, key=self._score(seq, now, plan), reverse=True)
        best, seq.likely = ranked[:2], ranked[:LIKELY_WRITERS]
        wanted = best + [self._read_plan(w, seq, now, plan)[1] for w in best]
        up = self.writers + self.readers
        wanted += [up[int(self.random() * len(up))]] if up else []
        for e in wanted:
            if e >= 0 and self.probes >= 1.0 and now > self.asked[e] + PROBE_AGAIN:
                self.probes, self.asked[e] = self.probes - 1.0, now
                seq.awaits.add(e)
                self.results.append(Probe(e))

    def began(self, now: float, ident: int, attempt: int, latency: float) -> list[Action]:
        self.now = self.heard_at = now
        seq = self.seqs.get(ident)
        if seq is not None and attempt < len(seq.attempts):
            t = seq.attempts[attempt]
            e, seq.begun, seq.state_at = t.engine, True, -1
            self._bind(seq, -1 if ("memory", self.kind[e]) in self.usual else seq.bound)  # reports show it
            self._note(self.failing, e, 0.0, 0.3)
            self._count("done", self.kind[e])
            self._pace(t, latency, t.unread)
            self._timed(seq, now)
            if t.fetches and self.cell[seq.reader] != self.cell[e]:
                way = 2 * self.cell[seq.reader] + (self.zone[seq.reader] != self.zone[e])
                self._mean("link", way, latency / max(500.0, seq.a.prompt_tokens), 0.2)
            else:
                self._note(self.tardy, e, max(0.0, latency - t.unread / self._rate(e)), 0.3)
            self.own_unread[e], t.unread = max(0.0, self.own_unread[e] - t.unread), 0.0
        return self._finish(now)

    def ended(self, now: float, ident: int, attempt: int, outcome: str, latency: float, settled: bool,
              kept: float, load: LoadReport | None) -> list[Action]:
        self.now = self.heard_at = now
        seq = self.seqs.get(ident)
        if seq is not None and attempt < len(seq.attempts) and seq.attempts[attempt].out:
            t = seq.attempts[attempt]
            t.outcome, t.latency, t.settled, t.kept = outcome, latency, settled, kept
            if load is not None:
                self._report(t.engine, load, now)
            for _, back in reversed(self.chain):
                back(seq, t, now)
        return self._finish(now)

    def client_left(self, now: float, ident: int) -> list[Action]:
        seq = self.seqs.get(ident)
        if seq is not None and not seq.over:
            self._end(seq, None)
        return self._finish(now)

    def wake(self, now: float, token: int) -> list[Action]:
        self.now = now
        if now >= self.wake_at - 0.001:
            self.wake_at = float("inf")
        misses, pause = 0, LOOK_AGAIN[self.config.load_by_probe_only]
        for seq in sorted(self.seqs.values(), key=lambda s: (s.over_share, s.slo_at, s.id)):
            if seq.over or seq.begun:
                continue
            # Guards against the time that a long queue here would take: a few are tried, and all due.
            due = seq.attempts or now - seq.since > PATIENCE * (seq.slo_at - seq.since)
            if now >= seq.abandon_at:
                self._give_up(seq)
            elif seq.id in self.kept and (due or (misses < KEPT_TRIES and (
                    now > seq.looked + pause and self.heard_at > seq.looked))):
                self._run(seq, now)
                misses += seq.id in self.kept
        return self._finish(now)

    # -- the chain --------------------------------------------------------------------------------

    def _run(self, seq: Seq, now: float) -> None:
        self.kept.pop(seq.id, None)
        seq.looked = now
        for stage, _ in self.chain:
            verdict = stage(seq, now)
            if verdict == KEEP:
                self.kept[seq.id] = seq
                if seq.attempts and not seq.out():
                    self._unpin(seq, now, 0.5)
            if verdict != PASS:
                return

    def _unpin(self, seq: Seq, now: float, share: float) -> None:
        """Rule 5: what no writer takes in this share of the time is let go, and would be read anew."""
        if now > seq.state_since + share * self.config.state_timeout:
            self.results.append(Release(seq.id))
            seq.state_at, seq.state_since = -1, float("inf")

    def _wait_here(self, seq: Seq, now: float) -> str:
        if seq.over_share or now - seq.since > PATIENCE * (seq.slo_at - seq.since):
            return self._give_up(seq, self.config.max_retry_after)
        return KEEP

    def _timed(self, seq: Seq, now: float) -> None:
        """How long a beginning took, or was waited for in vain, against what was reckoned."""
        if seq.due[1] > 0.0:
            weight = min(0.3, 1.0 - 0.5 ** ((now - self.timed_at) / SEEN_FADE))
            self._mean("reckoned", 0, seq.due[1], weight)
            self._mean("took", 0, min(now - seq.due[0], 5.0 * seq.due[1]), weight)
            seq.due, self.timed_at = (0.0, 0.0), now

    def _pick_writer(self, seq: Seq, now: float) -> str:
        """Writer first: by room, raised by the tokens it should keep."""
        if seq.writer >= 0 and seq.writer not in seq.avoid and self._usable(seq.writer, seq, now):
            return PASS
        # Of those that ranked low when load was asked for nothing new was heard since, a moment ago.
        pool, seq.likely = seq.likely or self.writers, []
        usable = [w for w in pool if self._usable(w, seq, now)]
        # Guards against what failed it, and refusals meant for its tenant and traffic type: elsewhere first.
        usable = [w for w in usable if w not in seq.avoid] or usable
        usable = self._willing(usable, seq, now) or usable
        # Guards against engines whose queue, or end, keeps even a probe waiting.
        usable = [w for w in usable if w not in seq.awaits] or usable
        roomy = [w for w in usable if self._free(w, seq) > 1.0 - WRITE_FULL]
        if not roomy and pool is not self.writers:
            return self._pick_writer(seq, now)
        if not usable:
            return KEEP
        if not roomy and not seq.attempts:
            # Guards against writers that run out of memory, put answers back into their queues and read them
            # anew, which keeps them full, whatever filled them: new work waits here, or is turned away in
            # time to come again. What a tenant sends beyond its share goes first.
            return self._wait_here(seq, now)
        plan = seq.plan = None if seq.state_at >= 0 else self._plan_reads(seq, now)
        seq.writer = max(roomy or usable, key=self._score(seq, now, plan))
        return PASS

    def _willing(self, engines: list[int], seq: Seq, now: float) -> list[int]:
        """Those that did not refuse its tenant and type of late; once refused, those that took such."""
        willing = [e for e in engines if self.refused.get((e, *seq.whose), now) <= now]
        sure = seq.refused and [e for e in willing if self.taken.get((e, *seq.whose), now) > now]
        return sure or willing

    def _score(self, seq: Seq, now: float, plan: tuple[dict, dict] | None) -> Callable[[int], float]:
        """What a writer is worth to a sequence, in kept tokens."""
        at = seq.state_at
        # Guards against many nodes that all follow a prefix to writers of which they cannot ask.
        near_kept = NEAR_KEPT * self.config.load_by_probe_only

        def score(w: int) -> float:
            kept = self.table.claim(w, seq.a, now)[0]
            delay = self._fetch(at, w, seq) if at >= 0 else self._read_plan(w, seq, now, plan, kept)[0]
            delay += self._wait(w) + TARDY_COST * self._seen(self.tardy, w)
            drag = self.usual.get(("drag", self.kind[w]), 0.0) + self._seen(self.drag, w)
            room = ROOM_TOKENS * (self._free(w, seq) - DRAG_COST * drag)
            home = HOME_TOKENS * (self.zone[w] == self.config.zone) - RATE_LIKELY * delay
            beside = plan[0].get(self.cell[w]) if plan else None
            near = near_kept * beside[0][0] if beside else 0.0
            return room + max(kept, near) + home + self.random()
        return score

    def _split(self, seq: Seq, now: float) -> str:
        """Read elsewhere when the writer would have to read too much itself, or cannot read."""
        seq.split, w = False, seq.writer
        if seq.state_at < 0:
            plan, seq.plan = seq.plan or self._plan_reads(seq, now), None
            delay, seq.reader = self._read_plan(w, seq, now, plan)
            delay += self._wait(w) + self._seen(self.tardy, w)
            # fading, as what turns all away learns nothing more
            off = self.usual.get(("took", 0), HOPE) / max(0.001, self.usual.get(("reckoned", 0), 1.0)) - HOPE
            off = HOPE + off * 0.5 ** ((now - self.timed_at) / SEEN_FADE)
            sure = SURE_PART if self.config.load_by_probe_only else 1.0
            if not seq.attempts and delay * off > sure * (seq.slo_at - now):
                # Guards against engines whose queues hold only what comes too late, whatever filled them.
                return self._wait_here(seq, now)
            seq.due = (now, delay)
            if seq.reader == -2:
                return KEEP  # no reader to be had, and the writer cannot read
            # Guards against running out of attempts where many refuse: a read would take the last two.
            short = seq.refused and self.config.max_attempts - len(seq.attempts) <= 2 and self._reads_alone(w)
            seq.split = seq.reader >= 0 and not short
        return PASS

    def _plan_reads(self, seq: Seq, now: float) -> tuple[dict, dict]:
        """Seconds to the read, and reader: the pick of a cell with room; the soonest of a zone (-1: all)."""
        limit = max(0.1, READ_ROOM * (seq.slo_at - now))
        near, far, chance = {}, {}, self.random()
        key = self._key(seq)
        fade = QUEUE_FADE * (1.0 + ALIKE_NODES / self.config.node_count)
        able = [r for r in self.readers if r not in seq.avoid and self._usable(r, seq, now)]
        able = self._willing(able, seq, now)
        homes = seq.homes = self._homes(seq, key, able)
        for r in able:
            claim = self._expect(r, seq, now, homes.get(r, 2))
            takes = (self._backlog(r) + seq.a.prompt_tokens - claim) / self._rate(r)
            # Guards against cells whose few readers all nodes take to be free: what is not known of them is
            # judged by how many readers a writer of that cell has, against the fleet.
            known = 0.5 ** ((now - self.unread[r][1]) / fade)
            if chance > known + (1.0 - known) * self.reach[self.cell[r]]:
                takes += seq.slo_at - now
            if takes < limit:
                worth = (round(claim), -self.own_reads[r], self._order(key, r))
                near[self.cell[r]] = max(near.get(self.cell[r], (worth,)), (worth, takes, r))
            for area in (self.zone[r], -1):
                move = self._move(r, area < 0, seq)
                reach = (takes + move + TIE * self.random(), takes, r)
                far[area] = min(far.get(area, reach), reach)
        return near, far

    def _read_plan(self, w: int, seq: Seq, now: float, plan: tuple[dict, dict],
                   kept: float | None = None) -> tuple[float, int]:
        """Seconds until the prompt is read for this writer, and by which reader (-1: by itself)."""
        uncached = seq.a.prompt_tokens - (self.table.claim(w, seq.a, now)[0] if kept is None else kept)
        able = self._reads_alone(w)
        alone = SELF_DRAG * uncached / self._rate(w)
        if able and (SPLIT_TOKENS <= 0 or uncached < SPLIT_TOKENS):
            return alone, -1
        near, far = plan
        if self.cell[w] in near:
            return near[self.cell[w]][1:]
        # Guards against readers flooded by a lasting heavy mix, and against states queueing on the links
        # between cells: where no reader of the cell has room, the prompt goes where it should be ready first,
        # the writer included.
        others = [far[a][1:] for a in (self.zone[w], -1) if a in far]
        none = (seq.abandon_at - now, -2)
        best = min((t + self._fetch(r, w, seq), r) for t, r in others) if others else none
        return (alone, -1) if able and (best[1] < 0 or alone + self._wait(w) < best[0]) else best

    def _key(self, seq: Seq) -> int:
        return seq.a.prefix or seq.a.session or int(seq.lot * 2 ** 40)

    def _order(self, key: int, r: int) -> int:
        return (key ^ self.mark[r]) * 0x9E3779B97F4A7C15 >> 20 & 0xFFFFFFF

    def _homes(self, seq: Seq, key: int, readers: list[int]) -> dict[int, int]:
        """Guards against many nodes that each know little: an order by prefix that all nodes share.

        So a prefix is kept at few readers, and a session at one of them (0); the others of the few, and the
        first of each cell, are 1, all the rest 2.
        """
        ranked = sorted(readers, key=lambda r: -self._order(key, r))
        homes: dict[int, int] = {}
        for r in ranked:
            homes.setdefault(self.cell[r], r)
        places = dict.fromkeys(homes.values(), 1)
        places.update(dict.fromkeys(ranked[:HOMES], 1))
        if ranked:
            places[max(ranked[:HOMES], key=lambda r: self._order(seq.a.session, r))] = 0
        return places

    def _reads_alone(self, w: int) -> bool:
        return self.config.reads[self.kind[w]] or self.config.writers_can_read

    def _expect(self, r: int, seq: Seq, now: float, home: int) -> float:
        """Tokens that a reader should keep: by our table, or as others have lately turned out."""
        luck = self.usual.get(("luck", home), HOME_LUCK[home]) * seq.a.prompt_tokens if seq.a.shared_tokens else 0.0
        return max(self.table.claim(r, seq.a, now)[0], luck)

    def _fetch(self, r: int, w: int, seq: Seq) -> float:
        return 0.0 if self.cell[r] == self.cell[w] else self._move(r, self.zone[r] != self.zone[w], seq)

    def _move(self, r: int, zones: bool, seq: Seq) -> float:
        """Seconds that moves out of a reader's cell, or to another zone, have lately taken."""
        return seq.a.prompt_tokens * self.usual.get(("link", 2 * self.cell[r] + zones), FAR_PACE)

    def _gate(self, seq: Seq, now: float) -> str:
        """The one place that every send passes; each of the five rules is kept here."""
        engine = seq.reader if seq.split else seq.writer
        if seq.over or now >= seq.abandon_at or len(seq.attempts) >= self.config.max_attempts:
            return self._give_up(seq)  # rule 1: answered by now, or nothing more may be sent
        if seq.out() or not self._may_go_again(seq, engine, now):
            return KEEP if seq.out() else self._give_up(seq)  # rule 2
        if self.state[engine] != EngineState.SERVING:
            return KEEP  # rule 3: nothing new from the moment we are told
        if not self._slow_start(engine, seq, now):
            return KEEP  # rule 4
        claim = (0.0, 0.0) if seq.state_at >= 0 else self.table.claim(engine, seq.a, now)
        home = seq.homes.get(engine, 2) if seq.split else 2
        sure = self._expect(engine, seq, now, home) if seq.split else claim[0]
        unread = 0.0 if seq.state_at >= 0 else max(0.0, seq.a.prompt_tokens - sure)
        t = Attempt(engine, seq.split, now, unread, self._backlog(engine), claim)
        t.home = home
        # one time-out a sequence: those that fire under mere load make load
        timeout = READ_TIMEOUT * (seq.abandon_at - now) if seq.split and not seq.attempts else 0.0
        self._bind(seq, seq.writer)
        t.fetches = seq.state_at >= 0
        seq.attempts.append(t)
        self.own_unread[engine] += unread
        self.own_reads[engine] += seq.split
        if not t.fetches:  # a fetched state is not kept for the next prompt
            self.table.feed(engine, seq.a, now)
            self._mean("unread", -1, unread, 0.05)
        self.waits, self.frees = {}, {}
        self.results.append(Send(seq.id, engine, timeout))
        return PASS

    def _may_go_again(self, seq: Seq, engine: int, now: float) -> bool:
        """Rule 2: what may have run goes again only as its traffic type allows."""
        if not seq.may_run or seq.kind.retry_semantics == RetrySemantics.IDEMPOTENT:
            return True
        if seq.kind.retry_semantics == RetrySemantics.AT_MOST_ONCE:
            return False
        until = seq.may_run[1] + seq.kind.dedup_window  # it has to be there by then
        remembered = now + self.config.connect_timeout + WINDOW_MARGIN < until
        return remembered and self._group(seq.kind, engine) == seq.may_run[0]

    def _group(self, kind: TrafficType, engine: int) -> int:
        return getattr(self, kind.dedup_group)[engine] if kind.dedup_group != DedupGroup.ALL else 0

    # -- the way back -----------------------------------------------------------------------------

    def _learn(self, seq: Seq, t: Attempt, now: float) -> None:
        """What an outcome tells: what may have run; of the engine, its health, pace and kept tokens."""
        t.out, kind = False, self.kind[t.engine]
        gap = self.alike[kind] / max(self._often("done", kind), 0.01)
        self.usual["half", kind] = min(max(SEEN_FADE, gap), RARE_FADE * SEEN_FADE)
        if t.outcome in (Outcome.GENERATED, Outcome.READ):
            self.taken[t.engine, *seq.whose] = now + REFUSED_FOR
            if t.reads:
                self._note(self.failing, t.engine, 0.0, 0.3)
                self._pace(t, t.latency, seq.a.prompt_tokens - t.kept)
                self._count("done", kind)
                if t.claim < 64.0 and seq.a.shared_tokens:
                    self._mean("luck", t.home, t.kept / seq.a.prompt_tokens, 0.1)
            if seq.begun:
                # Guards against engines, and kinds of them, that begin in time and write slowly.
                more = t.latency / max(self._mean("stream", seq.a.traffic, t.latency, 0.05), 0.01) - 1.0
                more -= self._mean("drag", kind, more, 0.1)
                self._note(self.drag, t.engine, more, 0.2)
            if not t.fetches:
                if t.claim >= 64.0 and t.kept < 0.5 * t.claim:
                    self.table.void_until(t.engine, t.claimed_at)
                self.table.feed(t.engine, seq.a, now)
        elif t.outcome == Outcome.FULL and not t.kept:
            seq.refused = True
            self.refused[t.engine, *seq.whose] = now + REFUSED_FOR
            self.taken.pop((t.engine, *seq.whose), None)
        elif t.outcome not in (Outcome.FULL, Outcome.UNSENT, Outcome.CANCELLED):
            self._note(self.failing, t.engine, 1.0, 0.7 if t.outcome == Outcome.UNREACHED else 0.5)
            if t.outcome in (Outcome.UNREACHED, Outcome.RESET) and self._seen(self.failing, t.engine) > DYING:
                # Guards against pushing over what died and came back, seconds before the list says so. One
                # reset is no death: connections break, and streams are spoilt, at engines that run on.
                self.started[t.engine], self.table.rows[t.engine] = now, {}
        self.own_unread[t.engine] = max(0.0, self.own_unread[t.engine] - t.unread)
        self.own_reads[t.engine] -= t.reads
        if not (seq.may_run or t.reads or t.outcome in (Outcome.GENERATED, Outcome.READ, Outcome.FULL, Outcome.UNREACHED, Outcome.UNSENT)):
            seq.may_run = [self._group(seq.kind, t.engine), t.since]

    def _follow(self, seq: Seq, t: Attempt, now: float) -> None:
        """Where the sequence stands after an outcome."""
        if t.outcome == Outcome.READ and t.reads and not seq.begun:
            seq.state_at, seq.state_since = t.engine, now
        elif t.outcome == Outcome.FULL and t.kept and not t.reads:
            seq.state_at = -1
        elif t.outcome not in (Outcome.GENERATED, Outcome.READ, Outcome.UNSENT):
            seq.avoid.add(t.engine)
            if t.outcome != Outcome.UNREACHED:  # the time runs on while connections fail to come up
                seq.state_since = now

    def _conclude(self, seq: Seq, t: Attempt, now: float) -> None:
        seq.over = seq.over or t.settled
        if seq.over:
            self._let_go(seq)
        elif not self._may_go_again(seq, t.engine, now):
            self._give_up(seq)  # nothing more may be tried: say so at once
        elif not seq.out():
            if t.outcome == Outcome.UNREACHED and seq.state_since > 0.0:
                # Guards against writers that are cut off: try after try, each a connection that does not come
                # up, the state would stay held. One more may be tried while it cannot outlast the time.
                self._unpin(seq, now, 0.75)
            self._run(seq, now)

    # -- ends -------------------------------------------------------------------------------------

    def _give_up(self, seq: Seq, wait: float = 0.0) -> str:
        """A final answer at once: a rejection where that is true, else an abort."""
        self._timed(seq, self.now)
        unsure = bool(seq.may_run or seq.out())  # a read still out counts until it is known to have ended
        free = seq.kind.retry_semantics == RetrySemantics.IDEMPOTENT or (
            seq.kind.retry_semantics == RetrySemantics.IDEMPOTENCY_KEY and seq.kind.dedup_group == DedupGroup.ALL)
        self._end(seq, Reject(seq.id, wait) if free or not unsure else Abort(seq.id))
        return END

    def _end(self, seq: Seq, answer: Action | None) -> None:
        seq.over = True
        if answer:
            self.results.append(answer)
        if self.config.may_cancel and not seq.begun:
            self.results.extend(CancelAttempt(seq.id, i) for i in seq.out())
        self._let_go(seq)

    def _bind(self, seq: Seq, writer: int) -> None:
        """Count what a sequence will take at the writer that it is meant for, until it begins there."""
        self.waits, self.frees = {}, {}
        if seq.bound >= 0:
            self.bound[seq.bound] -= self._need(seq)
            self.promised -= self._need(seq)
        if writer >= 0:
            self.bound[writer] += self._need(seq)
            self.promised += self._need(seq)
        seq.bound = writer

    def _let_go(self, seq: Seq) -> None:
        """Rule 5: nothing stays held for an ended sequence once none of its attempts is out."""
        self.kept.pop(seq.id, None)
        self._bind(seq, -1)
        if not seq.out():
            if seq.a.state_held_by >= 0 or any(t.reads for t in seq.attempts):
                self.results.append(Release(seq.id))
            self.results.append(Forget(seq.id))
            self.seqs.pop(seq.id, None)

    def _finish(self, now: float) -> list[Action]:
        waiting = [s.abandon_at for s in self.seqs.values() if not s.over and not s.begun]
        if waiting:
            pause = max(0.001, min(SWEEP, min(waiting) - now) if self.kept else min(waiting) - now)
            if now + pause < self.wake_at - 0.0005:
                self.wake_at = now + pause
                self.results.append(ScheduleWakeup(pause, 0))
        results, self.results = self.results, []
        self.waits, self.frees = {}, {}
        return results

    # -- figures of the engines -------------------------------------------------------------------

    def _reset(self, i: int, e: EndpointUpdate) -> None:
        """A process that has just started keeps nothing, and has done nothing yet."""
        for name, zero in FIGURES.items():
            if e.is_new or not (name.startswith("own_") or name == "bound"):
                getattr(self, name)[i] = zero
        self.memory[i] = (-self.usual.get(("memory", e.kind), 0.0), self.now)  # it holds nothing
        self.started[i], self.table.rows[i] = e.started_at, {}

    def _usable(self, i: int, seq: Seq, now: float) -> bool:
        return self.state[i] == EngineState.SERVING and self._slow_start(i, seq, now) and not self._blamed(i, now)

    def _slow_start(self, i: int, seq: Seq, now: float) -> bool:
        """Rule 4: a cold engine is only for a part of all sequences, which each draws once.

        So the sends of all nodes come to that part of what an engine is usually sent, however many nodes
        there are and however little each has seen; none saves up sends, or draws again by trying again.
        """
        config, age = self.config, now - self.started[i]
        if not config.overload_window or not self.started[i] or age > config.cold_time:
            return True
        warmed = COLD_RAMP * max(0.0, age) / max(config.cold_time, 0.001)
        share = config.cold_share + (1.0 - config.cold_share) * warmed
        alike = len(self.writers if config.writes[self.kind[i]] else self.readers)
        lot = (seq.lot + self.mark[i] * 0.6180339887) % 1.0
        return lot * max(1, alike) < COLD_PART * share * config.overload_multiple

    def _often(self, what: str, which: int) -> float:
        """How many of what is counted there have lately been a second."""
        count, at = self.counts.get((what, which), (0.0, self.now))
        return count * 0.5 ** ((self.now - at) / USUAL_SPAN) * 0.69 / USUAL_SPAN

    def _count(self, what: str, which: int) -> None:
        self.counts[what, which] = (self._often(what, which) * USUAL_SPAN / 0.69 + 1.0, self.now)

    def _seen(self, figure: list[tuple[float, float]], i: int) -> float:
        """What was seen of an engine, fading; for longer if we rarely hear of its kind."""
        value, at = figure[i]
        return value * self._fresh(at, i) if value else 0.0

    def _fresh(self, at: float, i: int) -> float:
        return 0.5 ** ((self.now - at) / self.usual.get(("half", self.kind[i]), SEEN_FADE))

    def _note(self, figure: list[tuple[float, float]], i: int, seen: float, weight: float) -> None:
        known = self._seen(figure, i)
        figure[i] = (known + weight * (seen - known), self.now)

    def _mean(self, what: str, which: int, seen: float, weight: float) -> float:
        known = self.usual.get((what, which), seen)
        self.usual[what, which] = known + weight * (seen - known)
        return known

    def _blamed(self, i: int, now: float) -> bool:
        """Our operators' way: an engine's share of failures against the median of the fleet."""
        share = self._seen(self.failing, i)
        return share > BLAME and share > BLAME + median(
            self._seen(self.failing, j) for j in self.writers + self.readers)

    def _report(self, i: int, load: LoadReport, now: float) -> None:
        kind, share = self.kind[i], load.memory_share
        if share is not None:
            self._note(self.memory, i, share - self._mean("memory", kind, share, 0.1), 1.0)
        told = load.unread
        if told is None and load.waiting is not None:
            told = load.waiting * self.usual.get(("unread", -1), SPLIT_TOKENS)
        if told is not None:
            told = max(0.0, told - self.own_unread[i])
            self._note(self.unread, i, told - self._mean("unread", kind, told, 0.1), 1.0)

    def _need(self, seq: Seq) -> float:
        return seq.a.prompt_tokens + LIKELY_OUTPUT * seq.a.max_output_tokens

    def _free(self, i: int, seq: Seq) -> float:
        """Share of a writer's memory left with this sequence and all that is meant for it.

        A few nodes that see the same reports lean as we do; of many, our own few sends tell nothing.
        """
        memory = self.config.memory[self.kind[i]] or MEMORY_LIKELY
        free = self.frees.get(i)
        if free is None:
            mean, others = self.promised / max(1, len(self.writers)), self._others()
            coming = self.bound[i] + others * mean + min(others, ALIKE_NODES) * (self.bound[i] - mean)
            held = self.usual.get(("memory", self.kind[i]), 0.0) + self._seen(self.memory, i)
            free = self.frees[i] = 1.0 - held - coming / memory
        return free - self._need(seq) / memory

    def _others(self) -> float:
        """As many nodes with our traffic as the rest of the fleet's is worth.

        Guards against uneven entry: a node that gets several times its even part, and takes the others to get
        as much, would see all writers full of what nobody sends. What tenants may send in all bounds it.
        """
        ours = sum(self._often("sent", tenant) for tenant in range(len(self.config.quotas)))
        all_sent = sum(self.config.quotas)
        return min(self.config.node_count - 1.0, max(0.0, all_sent / ours - 1.0)) if ours and all_sent else (
            self.config.node_count - 1.0)

    def _backlog(self, i: int) -> float:
        alike = self.own_unread[i] * min(self.config.node_count - 1, ALIKE_NODES)
        others = self.usual.get(("unread", self.kind[i]), alike) + self._seen(self.unread, i)
        return self.own_unread[i] + max(0.0, others)

    def _wait(self, i: int) -> float:
        """Seconds until what waits there has been read."""
        if i not in self.waits:
            self.waits[i] = self._backlog(i) / self._rate(i)
        return self.waits[i]

    def _rate(self, i: int) -> float:
        """Prompt tokens a second: what is usual for its kind, and how it has lately differed."""
        return self.rates.get(self.kind[i], RATE_LIKELY) * (1.0 + self._seen(self.fast, i))

    def _pace(self, t: Attempt, latency: float, unread: float) -> None:
        """How fast a kind reads: the median of its last reads.

        Guards against slow beginnings, and queues that nobody told us of: where a node sees little, one would
        make all look too slow to send to, and nothing would be learnt any more. And against very short reads.
        """
        if unread >= 200.0 and latency > 0.0:
            kind, seen = self.kind[t.engine], min(100000.0, max(200.0, (t.backlog + unread) / latency))
            paces = self.paces.setdefault(kind, deque((RATE_LIKELY,), maxlen=PACES))
            paces.append(seen)
            self.rates[kind] = median_high(paces)
            off = max(-0.95, min(1.0, seen / self.rates[kind] - 1.0))
            self._note(self.fast, t.engine, off, 0.3 * min(1.0, unread / 2000.0))
