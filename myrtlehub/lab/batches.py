"""Clients of the batch fronts: they ask for batches, and check each answer for value, order and completeness.

What stand-ins answer is a function of the input and the model's version, so whoever asked can tell.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from myrtlehub.emulator.vectors import score_of, vector_of
from myrtlehub.lab.clients import Callers, Try
from myrtlehub.lab.scenario_file import Scenario, TrafficMix
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.records import Recorder
from myrtlehub.rpc.status import Status

PATHS = {"embed": "/myrtlehub.v1.Embeddings/Embed", "rank": "/myrtlehub.v1.Rerank/Rank"}
TIERS = ((0.5, (1, 4)), (0.35, (5, 80)), (0.15, (100, 600)))  # share of batches, and how many items


class WantedBatch(NamedTuple):
    """One batch that a client will ask for."""

    at: float
    row: TrafficMix
    mark: str
    inputs: tuple[tuple[bytes, int], ...]
    streams: bool
    top: int
    leaves: float  # seconds after asking; infinite: stays


def draw(scenario: Scenario, rate: float, random: Random) -> list[WantedBatch]:
    """All batches of a day; inputs by Zipf, so that some come again and again."""
    rows = [t for t in scenario.traffic if t.front != "chat"]
    wanted, at = [], 0.0
    while rows and rate:
        at += random.expovariate(rate)
        if at >= scenario.length:
            break
        row = random.choices(rows, [t.share for t in rows])[0]
        low, high = random.choices([t[1] for t in TIERS], [t[0] for t in TIERS])[0]
        count = random.randint(low, high)
        if row.repeats != "repeatable":
            count = min(count, 200)  # such a batch goes whole to one engine
        inputs = tuple(
            (f"{row.name}-{min(int(random.paretovariate(0.6)), 10**7)}".encode(), random.randint(*row.prompt))
            for _ in range(count)
        )
        # The tokens of a text are a function of the text.
        inputs = tuple(
            (text, row.prompt[0] + sum(text) % (row.prompt[1] - row.prompt[0] + 1)) for text, _ in inputs
        )
        wanted.append(
            WantedBatch(
                at,
                row,
                f"b{len(wanted)}",
                inputs,
                random.random() < 0.4,
                random.randint(1, 10) if row.front == "rank" and random.random() < 0.3 else 0,
                0.3 * random.random() if random.random() < scenario.clients.leave else float("inf"),
            )
        )
    return wanted


class _Try(Try):
    """Of one batch."""

    def __init__(self, fleet: "BatchClients", wanted: WantedBatch, number: int, node: str) -> None:
        super().__init__(fleet, wanted, number, node)
        self.streams = wanted.streams and not wanted.top
        self.items: dict[int, object] = {}
        self.order: list[int] = []
        self.model = ""

    def start(self) -> None:
        f, w = self.fleet, self.wanted
        left = w.row.abandon_time
        self.asks(left, left)
        f.tries += 1
        terms = pb.Terms(
            traffic_type=w.row.name, time_left_ms=int(left * 1000), mark=w.mark, repeated=self.number > 0
        )
        inputs = [pb.Input(text=t, tokens=n) for t, n in w.inputs]
        if w.row.front == "embed":
            request = pb.EmbedRequest(terms=terms, inputs=inputs)
        else:
            request = pb.RankRequest(
                terms=terms, documents=inputs, top=w.top, query=pb.Input(text=w.mark.encode(), tokens=12)
            )
        path = PATHS[w.row.front] + ("Stream" if self.streams else "")
        self.call = f.channels[self.node].call(path, self, timeout=left + 5.0)
        self.call.send(request.SerializeToString())
        self.call.half_close()
        if w.leaves < left:
            f.clock.callLater(w.leaves, self.leave)

    def message(self, data: bytes) -> None:
        f = self.fleet
        reply = (pb.EmbedReply if self.wanted.row.front == "embed" else pb.RankReply).FromString(data)
        if self.answer:
            f.wrong(self, "something came after the final answer")
        items = reply.vectors if self.wanted.row.front == "embed" else reply.scores
        if items and not self.items:
            f.recorder.note("token", call=self.name, behind=f.behind(f.clock.seconds()))
        for item in items:
            if item.index in self.items:
                f.wrong(self, f"item {item.index} came twice")
            self.items[item.index] = item
            self.order.append(item.index)
        if reply.HasField("final"):
            self.answer = reply.final.WhichOneof("answer")
            self.wait = reply.final.rejected.wait_ms / 1000.0
            self.model = reply.final.generated.model
            f.kept += reply.final.generated.kept
            f.recorder.note(
                "final",
                call=self.name,
                answer=self.answer,
                tokens=len(self.items),
                behind=f.behind(f.clock.seconds()),
            )
            self.check()

    def check(self) -> None:
        """Every item is right, in its place and of one version; a generated batch is whole."""
        w, f = self.wanted, self.fleet
        for model in [self.model] if self.model else f.models:
            wrong = [i for i, item in self.items.items() if not self.right(i, item, model)]
            if not wrong:
                break
        else:
            f.wrong(self, f"item {wrong[0]} of {len(w.inputs)} has not the value of any one version")
        f.checked += len(self.items)
        if self.answer == "generated":
            whole = list(range(len(w.inputs)))
            if w.top:
                scores = [score_of(w.mark.encode(), t, self.model) for t, _ in w.inputs]
                whole = sorted(whole, key=lambda i: (-scores[i], i))[: w.top]
            if (sorted(self.order) if self.streams else self.order) != whole:
                f.wrong(self, f"{len(self.order)} of {len(whole)} items, or not in order")
        elif self.items and not self.streams:
            f.wrong(self, f"{self.answer}, and yet {len(self.items)} items")

    def right(self, index: int, item: object, model: str) -> bool:
        text = self.wanted.inputs[index][0]
        if self.wanted.row.front == "embed":
            return item.packed == vector_of(text, model, 16, False)
        return item.score == score_of(self.wanted.mark.encode(), text, model)


class BatchClients(Callers):
    """All clients of the batch fronts. `models`: versions that engines have in the course of the day."""

    def __init__(
        self,
        scenario: Scenario,
        clock: object,
        nodes: dict[str, Callable],
        recorder: Recorder,
        random: Random,
        rate: float,
        behind: Callable[[float], float],
        models: tuple[str, ...] = ("m1", "m2"),
    ) -> None:
        super().__init__(scenario, clock, nodes, recorder, random)
        self.behind, self.models = behind, models
        self.wanted = draw(scenario, rate, random)
        self.tries = self.checked = self.kept = 0
        self.answers: dict[str, dict[str, int]] = {}
        self.faults: list[str] = []

    def start(self) -> None:
        """An open loop, as for chat."""
        self.open = len(self.wanted)
        for wanted in self.wanted:
            self.clock.callLater(wanted.at, self._try, wanted, 0)

    def _try(self, wanted: WantedBatch, number: int) -> None:
        _Try(self, wanted, number, self.random.choice(self.names)).start()

    def wrong(self, done: _Try, text: str) -> None:
        """An answer is not what was asked for."""
        self.faults.append(f"{done.name} ({done.wanted.row.name}, {len(done.wanted.inputs)} items): {text}")

    def over(self, done: _Try, status: Status) -> None:
        """A try ended; it comes again where its answer allows that."""
        w = done.wanted
        safe = done.answer == "rejected" or (w.row.repeats == "repeatable" and done.answer != "generated")
        safe = safe or (not done.answer and status.unprocessed)
        if safe and not done.gone and done.number < self.scenario.clients.retries:
            wait = done.wait * (1.0 + 0.5 * self.random.random()) if done.wait else 0.05
            self.clock.callLater(wait, self._try, w, done.number + 1)
            return
        self.open -= 1
        answers = self.answers.setdefault(w.row.name, {})
        word = done.answer or ("left" if done.gone else status.code.name.lower())
        answers[word] = answers.get(word, 0) + 1
        if not self.open:
            self.on_quiet()

    def figures(self) -> dict:
        """For the verdict."""
        return {
            "batches": len(self.wanted),
            "tries": self.tries,
            "items": self.checked,
            "kept": self.kept,
            "answers": self.answers,
            "faults": self.faults,
        }
