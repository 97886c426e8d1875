"""The client fleet: an open loop of sequences drawn ahead from a seed, and how clients take what they are
told.
"""

from binascii import crc32
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from myrtlehub.lab.scenario_file import Scenario, TrafficMix
from myrtlehub.limits.event_loop_lag import LagMeter
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Code, Status
from myrtlehub.rpc.transport_limits import TransportLimits

PATH, RESUME = "/myrtlehub.v1.Chat/Generate", "/myrtlehub.v1.Chat/Resume"
COME_BACKS = 12  # of one sequence, at most


class Wanted(NamedTuple):
    """One sequence that a client will ask for."""

    at: float
    row: TrafficMix
    mark: str
    session: str
    prefix: str
    shared: int
    prompt: int
    output: int
    tenant: str
    leaves: float  # seconds after asking; infinite: stays
    silent: bool
    leaves_on: int  # token on which the client goes away; 0: none
    leaves_after: float  # seconds after that token
    left: float  # seconds that it waits for the first token


def draw(scenario: Scenario, rate: float, random: Random) -> list[Wanted]:
    """All sequences of a day, by the time of their arrival."""
    wanted, at, count = [], 0.0, 0
    rows = [t for t in scenario.traffic if t.front == "chat"]
    sessions: dict[str, list[tuple[str, int, str, int]]] = {}
    while True:
        at += random.expovariate(rate)
        if at >= scenario.length:
            return wanted
        count += 1
        row = random.choices(rows, [t.share for t in rows])[0]
        prefix = f"{row.name}-{min(int(random.expovariate(0.7)), row.prefixes - 1)}" if row.prefixes else ""
        shared = row.shared[0] + (hash_of(prefix) % (row.shared[1] - row.shared[0] + 1) if prefix else 0)
        open_sessions = sessions.setdefault(row.name, [])
        if open_sessions and row.turns > 1 and random.random() < 1.0 - 1.0 / row.turns:
            session, before, prefix, shared = open_sessions.pop(random.randrange(len(open_sessions)))
        else:
            session, before = f"s{count}", shared
        prompt = before + random.randint(*row.prompt)
        output = random.randint(*row.output)
        open_sessions.append((session, prompt + output // 4, prefix, shared))
        del open_sessions[:-40]
        draws = random.random(), random.random(), random.random()
        wanted.append(
            Wanted(
                at,
                row,
                f"m{count}",
                session,
                prefix,
                shared,
                prompt,
                output,
                random.choice(scenario.tenants).name if scenario.tenants else "",
                scenario.clients.leave_within * draws[1]
                if draws[0] < scenario.clients.leave
                else float("inf"),
                draws[2] < scenario.clients.silent,
                random.randint(1, 4) if random.random() < scenario.clients.leave_on_token else 0,
                0.015 * random.random(),
                0.1 + 0.5 * random.random()
                if random.random() < scenario.clients.hurried
                else row.abandon_time,
            )
        )


def hash_of(text: str) -> int:
    """A number of a text, the same in every process."""
    return sum((i + 1) * ord(c) for i, c in enumerate(text)) * 2654435761 % 2**32


class Tally:
    """What clients saw of one traffic type. Latencies are kept in microseconds."""

    def __init__(self) -> None:
        self.asked = self.tries = 0
        self.utility = self.good = 0.0
        self.answers: Counter[str] = Counter()
        self.first = HdrHistogram(1, 120_000_000, 3)
        self.gap = HdrHistogram(1, 120_000_000, 3)

    def figures(self) -> dict:
        """For the verdict: counts, seconds at p50 and p99, goodput."""

        def quantiles(h: HdrHistogram) -> dict:
            if not h.total_count:
                return {}
            return {f"p{p}": round(h.get_value_at_percentile(p) / 1e6, 4) for p in (50, 99)}

        return {
            "sequences": self.asked,
            "tries": self.tries,
            "answers": dict(sorted(self.answers.items())),
            "first_token": quantiles(self.first),
            "per_token": quantiles(self.gap),
            "goodput": round(self.good / self.utility, 4) if self.utility else None,
        }


class Callers:
    """A channel to each node, and what clients record on them."""

    def __init__(
        self,
        scenario: Scenario,
        clock: object,
        nodes: dict[str, Callable],
        recorder: Recorder,
        random: Random,
    ) -> None:
        self.scenario, self.clock, self.recorder, self.random = scenario, clock, recorder, random
        takeover = scenario.takeover
        bounds = (
            TransportLimits()
            if takeover is None
            else TransportLimits(keepalive_interval=takeover.keepalive, keepalive_timeout=takeover.keepalive)
        )
        self.channels = {
            name: Channel(clock, dial, name, bounds, Random(random.random()), connect_timeout=0.5)
            for name, dial in nodes.items()
        }
        self.names = sorted(nodes)
        self.open = 0
        self.on_quiet: Callable[[], None] = lambda: None

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()


class Try(CallWatcher):
    """One try of what a client wants, recorded from asking to its end."""

    def __init__(self, fleet: Callers, wanted: object, number: int, node: str) -> None:
        self.fleet, self.wanted, self.number, self.node = fleet, wanted, number, node
        self.name = f"{wanted.mark}.{number}"
        self.answer, self.wait = "", 0.0
        self.asked_at = 0.0
        self.gone = False
        self.call = None

    def asks(self, left: float, whole: float) -> None:
        """Record that it is asked now: seconds until the first of an answer is owed, and all of it."""
        f, w = self.fleet, self.wanted
        self.asked_at = f.clock.seconds()
        f.recorder.note(
            "ask", call=self.name, node=self.node, traffic=w.row.name, mark=w.mark, left=left, whole=whole
        )

    def leave(self) -> None:
        """The client goes away."""
        if not self.call.over:
            self.gone = True
            self.fleet.recorder.note("left", call=self.name)
            self.call.cancel()

    def ended(self, status: Status) -> None:
        self.fleet.recorder.note(
            "over", call=self.name, code=status.code.name, unprocessed=status.unprocessed
        )
        self.fleet.over(self, status)


class _Try(Try):
    """Of one sequence; `back`: the one before, for whose rest it comes."""

    def __init__(
        self, fleet: "ClientFleet", wanted: Wanted, number: int, node: str, back: "_Try | None" = None
    ) -> None:
        super().__init__(fleet, wanted, number, node)
        self.tokens, self.token_at, self.in_time = 0, 0.0, False
        self.back, self.seq, self.moved = back, "", False
        self.ids = self.sum = 0  # tokens that it has, by number, and a sum over them in their order
        if back is not None:
            self.ids, self.sum, self.seq = back.ids, back.sum, back.seq
        self.ids_before = self.ids

    @property
    def first_of_all(self) -> "_Try":
        """The call with which this sequence began."""
        return self if self.back is None else self.back.first_of_all

    def start(self) -> None:
        f, w = self.fleet, self.wanted
        left, whole = w.left, f.whole
        if self.back is not None:
            gone = f.clock.seconds() - self.first_of_all.asked_at
            left, whole = max(0.01, left - gone) if not self.ids else whole, max(0.01, whole - gone)
        self.asks(left, whole)
        f.tallies[w.row.name].tries += 1
        request = pb.GenerateRequest(
            traffic_type=w.row.name,
            tenant=w.tenant,
            session=w.session,
            shared_prefix=w.prefix,
            shared_tokens=w.shared,
            prompt_tokens=w.prompt,
            most_output=w.output,
            mark=w.mark,
            repeated=self.number > 0,
            time_left_ms=int(left * 1000) if not self.ids else 0,
            may_move=f.comes_back,
        )
        if self.back is not None:
            f.recorder.note("goes on", call=self.name, after=self.back.name, tokens=self.ids)
            request.resume.sequence, request.resume.tokens = self.seq, self.ids
        self.call = f.channels[self.node].call(RESUME if self.back is not None else PATH, self, timeout=whole)
        self.call.send(request.SerializeToString())
        self.call.half_close()
        if w.silent:
            self.call.pauseProducing()
            f.clock.callLater(left + 1.0, self.leave)
        elif w.leaves < f.whole:
            f.clock.callLater(w.leaves, self.leave)

    def headers(self, meta: tuple) -> None:
        self.seq = dict(meta).get("myrtle-seq", "")
        self.fleet.recorder.note("seq", call=self.name, seq=self.seq)

    def message(self, data: bytes) -> None:
        f, now = self.fleet, self.fleet.clock.seconds()
        if data[:1] == b"\x0a":
            tally = f.tallies[self.wanted.row.name]
            self.tokens += 1
            if f.comes_back:
                for number in pb.GenerateReply.FromString(data).tokens.ids:
                    self.ids, self.sum = self.ids + 1, crc32(number.to_bytes(4, "big"), self.sum)
            if self.tokens == 1 or self.answer:
                f.recorder.note("token", call=self.name, behind=f.behind(now))
            if self.tokens == 1 and self.back is not None:
                f.pauses.append(now - (self.back.token_at or self.back.asked_at))
            if self.tokens == 1 and self.ids_before == 0:
                asked_at = self.first_of_all.asked_at
                tally.first.record_value(max(1, int((now - asked_at) * 1e6)))
                row = self.wanted.row
                slo = row.latency_slo + row.slo_per_1000_tokens * self.wanted.prompt / 1000.0
                self.in_time = now - asked_at <= slo
            elif self.tokens == 1:
                self.in_time = self.back.in_time
            else:
                tally.gap.record_value(max(1, int((now - self.token_at) * 1e6)))
            self.token_at = now
            if self.tokens == self.wanted.leaves_on:
                f.clock.callLater(self.wanted.leaves_after, self.leave)
            return
        reply = pb.GenerateReply.FromString(data)
        which = reply.WhichOneof("reply") or "nothing"
        if which == "moved":
            self.moved = True
            f.recorder.note("moved", call=self.name)
            return
        more = {"ids": self.ids, "sum": self.sum, "seq": self.seq} if f.comes_back else {}
        f.recorder.note(
            "final", call=self.name, answer=which, tokens=self.tokens, behind=f.behind(now), **more
        )
        self.answer = self.answer or which
        self.wait = reply.rejected.wait_ms / 1000.0


class ClientFleet(Callers):
    """All clients. `dial(node)` is a channel's way to a node."""

    def __init__(
        self,
        scenario: Scenario,
        clock: object,
        nodes: dict[str, Callable],
        recorder: Recorder,
        random: Random,
        rate: float,
    ) -> None:
        super().__init__(scenario, clock, nodes, recorder, random)
        takeover = scenario.takeover
        self.comes_back = takeover is not None and takeover.on
        self.pauses: list[float] = []  # seconds from the last token at a lost node to the next one
        self.lost: Counter[tuple[str, str, str]] = Counter()  # repeats, where it stood, how it ended
        self.whole = scenario.clients.whole
        self.wanted = draw(scenario, rate, random)
        self.tallies = {t.name: Tally() for t in scenario.traffic if t.front == "chat"}
        self.asked = 0
        self.stopped = False
        self.lag = LagMeter()  # of this process, not of a node
        self._beating: object = None

    def _beat(self) -> None:
        now = self.clock.seconds()
        self._beating = self.clock.callLater(self.lag.tick(now) - now, self._beat)

    def behind(self, now: float) -> float:
        """By how much this process may itself be late to see what it now sees."""
        return round(self.lag.age(now), 4)

    def start(self) -> None:
        """Every sequence is asked for at its moment, whatever became of others."""
        self._beat()
        for wanted in self.wanted:
            self.clock.callLater(wanted.at, self._ask, wanted)

    def stop(self) -> None:
        """Ask for nothing more; what was asked for goes on."""
        self.stopped = True

    def _ask(self, wanted: Wanted) -> None:
        if self.stopped:
            return
        tally = self.tallies[wanted.row.name]
        tally.asked += 1
        tally.utility += wanted.row.utility
        self.open += 1
        self.asked += 1
        self._try(wanted, 0, self.random.choice(self.names))

    def _try(self, wanted: Wanted, number: int, node: str) -> None:
        _Try(self, wanted, number, node).start()

    def _back(self, done: _Try, node: str) -> None:
        """Come back for what a lost node had in hand."""
        _Try(self, done.wanted, done.number + 1, node, done).start()

    def over(self, done: _Try, status: Status) -> None:
        """A try ended: count it, or come again where the promise of its answer allows that."""
        w, row = done.wanted, done.wanted.row
        tally = self.tallies[row.name]
        again = done.number < self.scenario.clients.retries and not done.gone
        lost = not done.answer and not done.gone and done.seq and not status.unprocessed
        if lost and self.comes_back and done.number < COME_BACKS and status.code != Code.ABORTED:
            others = [n for n in self.names if n != done.node] or self.names
            self.clock.callLater(
                0.15 * self.random.random() * (1 + done.number), self._back, done, self.random.choice(others)
            )
            return
        if not done.answer and status.unprocessed and done.back is not None and done.number < COME_BACKS:
            self.clock.callLater(0.1 * (1 + done.number), self._back, done, self.random.choice(self.names))
            return
        if (done.back is not None or lost) and status.code != Code.ABORTED:
            begun = done.first_of_all.ids if self.comes_back else done.tokens
            stood = "streaming" if begun else "waiting"
            self.lost[row.repeats, stood, done.answer or "lost"] += 1
        if not done.answer and status.unprocessed and done.number < 2 + self.scenario.clients.retries:
            # The node never saw it: another one, at once.
            others = [n for n in self.names if n != done.node] or self.names
            self._try(w, done.number + 1, self.random.choice(others))
            return
        safe = done.answer == "rejected" or (
            row.repeats == "repeatable" and (done.answer == "aborted" or not done.answer)
        )
        if again and safe:
            wait = done.wait * (1.0 + 0.5 * self.random.random()) if done.answer == "rejected" else 0.05
            self.clock.callLater(wait, self._try, w, done.number + 1, self.random.choice(self.names))
            return
        self.open -= 1
        tally.answers[
            done.answer
            or (
                "left"
                if done.gone
                else "node lost"
                if status.code == Code.UNAVAILABLE
                else status.code.name.lower()
            )
        ] += 1
        if done.answer == "generated":
            tally.good += row.utility * (1.0 if done.in_time else row.late_share)
        elif done.gone:
            tally.utility -= row.utility  # nobody waited for it
        if not self.open:
            self.on_quiet()

    def close(self) -> None:
        """Close all channels."""
        if self._beating is not None and self._beating.active():
            self._beating.cancel()
        super().close()
