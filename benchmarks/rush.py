"""Overload: goodput by load, with and without ways of admission, in one process on a driven clock. Simulated.

`python benchmarks/rush.py` plays each load with each way on the same draws; goodput is the utility answered
within the latency SLO, against the most that any load and way reached.
"""

import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from random import Random

import click

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.machine import Machine
from myrtlehub.lab.in_process_fleet import InProcessClient, InProcessFleet
from myrtlehub.limits.admission import MAX_LIMIT, MIN_LIMIT, NEVER, AdmissionController, VegasLimiter
from myrtlehub.node.request_decoder import DecodedRequest

SHEET = """
node: {{name: n{i}, listen: "n{i}:1", index: {i}, nodes: {n}, zone: z, seed: {seed}}}
traffic:
  - {{name: ask, repeats: repeatable, latency_slo: 1.5s, abandon_time: 4s, pace: 50ms, utility: 1}}
  - {{name: post, repeats: once-only, latency_slo: 1.5s, abandon_time: 4s, pace: 50ms, utility: 4}}
  - {{name: bulk, repeats: repeatable, latency_slo: 3s, abandon_time: 8s, pace: 50ms, utility: 0.25}}
kinds: [{{name: reader, reads: yes, memory: 200k tokens}}, {{name: writer, writes: yes, memory: 60k tokens}}]
zones: [z]
rules:
  {{drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 10s, fall_multiple: 2.5, fall_time: 1s}}
list: {{engines: []}}
"""
MIX = (("ask", 0.5), ("post", 0.2), ("bulk", 0.3))
SLO = {"ask": 1.5, "post": 1.5, "bulk": 3.0}
UTILITY = {"ask": 1.0, "post": 4.0, "bulk": 0.25}
MACHINES = {
    "reader": Machine(slots=4, read_rate=12000.0, memory=200_000.0),
    "writer": Machine(slots=12, memory=60_000.0, read_rate=12000.0, step=0.02),
}
FIRST = 10.0
CAPACITY = 26.0  # sequences a second of this mix that the fleet below just keeps up with


class Unlimited:
    """No limit: everything goes to the module."""

    limit = MAX_LIMIT

    def sample(self, now: float, share: float | None, in_hand: int) -> None:
        """Nothing is learnt."""


class Gradient:
    """The limit follows the gradient of latency, long over short term, with room for a queue of its root
    (as Netflix's concurrency-limits describes its Gradient2).
    """

    def __init__(self) -> None:
        self.limit, self._long, self._short = FIRST, 0.0, 0.0

    def sample(self, now: float, share: float | None, in_hand: int) -> None:
        share = 2.0 if share is None else share
        self._short = share if not self._short else self._short + 0.1 * (share - self._short)
        self._long = share if not self._long else self._long + 0.01 * (share - self._long)
        if self._long > 2.0 * self._short:
            self._long *= 0.95
        if in_hand < 0.5 * self.limit:
            return
        gradient = max(0.5, min(1.0, 1.5 * self._long / max(self._short, 1e-6)))
        wanted = gradient * self.limit + self.limit**0.5
        self.limit = max(MIN_LIMIT, min(MAX_LIMIT, 0.98 * self.limit + 0.02 * wanted))


class Aimd:
    """Additive increase, multiplicative decrease, with a slow start (Jacobson 1988): late counts as lost."""

    def __init__(self) -> None:
        self.limit, self._cut_at = FIRST, -NEVER

    def sample(self, now: float, share: float | None, in_hand: int) -> None:
        """`share`: of its latency SLO that a beginning took; None: there was none in time."""
        if share is None or share > 1.0:
            if now > self._cut_at + 0.2:
                self.limit, self._cut_at = max(MIN_LIMIT, self.limit * 0.9), now
        elif in_hand >= 0.8 * self.limit:
            # Until something was late for the first time nobody knows how much is too much: twice as fast.
            self.limit = min(MAX_LIMIT, self.limit + (1.0 if self._cut_at < 0.0 else 1.0 / self.limit))


class Target:
    """Ours: the limit moves so that beginnings take a stated share of the latency SLO.

    What an answer is worth is stated by the SLO, not by the least latency ever seen; so the set point is too.
    """

    AIM = 0.5  # of the latency SLO
    GAIN = 0.15

    def __init__(self) -> None:
        self.limit, self._mean = FIRST, 0.0

    def sample(self, now: float, share: float | None, in_hand: int) -> None:
        share = 1.5 if share is None else min(share, 2.0)
        self._mean = share if not self._mean else self._mean + 0.1 * (share - self._mean)
        off = (self.AIM - self._mean) / self.AIM
        if off > 0.0 and in_hand < 0.8 * self.limit:
            return
        step = self.GAIN * max(-1.0, off) / self.limit**0.5
        self.limit = max(MIN_LIMIT, min(MAX_LIMIT, self.limit * (1.0 + step)))


WAYS = {"none": Unlimited, "aimd": Aimd, "gradient": Gradient, "vegas": VegasLimiter, "target": Target}


def play(way: str, load: float, seed: int, seconds: float, nodes: int = 2) -> dict:
    """One run: utility within the SLO, all of it asked for, answers, attempts a first try."""
    rows = [EndpointConfig(address=f"r{i}:1", kind="reader", zone="z") for i in range(2)]
    rows += [EndpointConfig(address=f"w{i}:1", kind="writer", zone="z") for i in range(4)]
    fleet = InProcessFleet(
        nodes,
        lambda i: parse_config(SHEET.format(i=i, n=nodes, seed=seed + i), NodeConfig),
        rows,
        MACHINES,
        seed,
    )
    random, begin = Random(seed), fleet.clock.seconds()
    gates = [AdmissionController(Random(seed + i), UTILITY, WAYS[way]()) for i in range(nodes)]
    good = asked_for = 0.0
    armed: list = [None] * nodes
    answers: Counter[str] = Counter()

    def over(client: InProcessClient) -> None:
        nonlocal good
        name, now = client.request.traffic_type, fleet.clock.seconds()
        answers[client.answer] += 1
        if client.answer == "generated" and client.waited + client.first_token <= SLO[name]:
            good += UTILITY[name]
        if not client.first_token:
            gates[client.node].failed(now, True)
            pump(client.node)

    def send(node: int, asked: DecodedRequest, arrived: float) -> None:
        now = fleet.clock.seconds()
        left = (4.0 if asked.traffic_type != "bulk" else 8.0) - (now - arrived)

        def ended(client: InProcessClient) -> None:
            client.node, client.waited = node, now - arrived
            over(client)

        def begun(client: InProcessClient) -> None:
            gates[node].started(
                fleet.clock.seconds(), now - arrived + client.first_token, SLO[asked.traffic_type]
            )
            pump(node)

        fleet.ask(node, asked._replace(time_left=max(0.05, left)), ended, begun)

    def pump(node: int) -> None:
        now = fleet.clock.seconds()
        while (item := gates[node].admit_next(now)) is not None:
            send(node, *item)

    def shed(node: int) -> None:
        now = fleet.clock.seconds()
        for _ in gates[node].take_shed(now):
            answers["shed"] += 1
        due = gates[node].next_shed_at()
        if due < float("inf") and (armed[node] is None or not armed[node].active()):
            armed[node] = fleet.clock.callLater(max(0.001, due - now), shed, node)

    def arrive() -> None:
        nonlocal asked_for
        now = fleet.clock.seconds()
        if now - begin > seconds:
            return
        fleet.clock.callLater(random.expovariate(CAPACITY * load), arrive)
        name = random.choices([n for n, _ in MIX], [s for _, s in MIX])[0]
        asked_for += UTILITY[name]
        asked = DecodedRequest(
            name,
            prompt_tokens=random.choice([300, 900, 2500]),
            max_output_tokens=random.randint(60, 240),
            session=f"s{random.randrange(400)}",
            mark=f"m{random.randrange(10**9)}",
        )
        node = random.randrange(nodes)
        gates[node].enqueue(now, name, SLO[name], (asked, now))
        pump(node)
        shed(node)

    arrive()
    at = time.perf_counter()
    fleet.run(begin + seconds + 12.0)
    return {
        "way": way,
        "load": load,
        "seed": seed,
        "good": good / seconds,
        "asked": asked_for / seconds,
        "answers": dict(answers),
        "took": time.perf_counter() - at,
    }


@click.command()
@click.option("--seconds", default=30.0)
@click.option("--seeds", default=3)
@click.option("--loads", default="0.5,1,1.5,2,4,10")
@click.option("--ways", default=",".join(WAYS))
@click.option("--jobs", default=6)
def main(seconds: float, seeds: int, loads: str, ways: str, jobs: int) -> None:
    """Print a table of goodput."""
    plays = [
        (w, float(x), s, seconds) for w in ways.split(",") for x in loads.split(",") for s in range(seeds)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        runs = list(pool.map(play, *zip(*plays, strict=True)))
    best = max(
        sum(r["good"] for r in runs if (r["way"], r["load"]) == key) / seeds
        for key in {(r["way"], r["load"]) for r in runs}
    )
    click.echo(
        f"utility within the SLO a second, share of the best ({best:.1f}); mean of {seeds} seeds, "
        f"{seconds:g} s each (simulated)"
    )
    click.echo("way        " + "".join(f"{float(x):>8g}x" for x in loads.split(",")))
    for way in ways.split(","):
        line = f"{way:<11}"
        for x in loads.split(","):
            mine = [r["good"] for r in runs if r["way"] == way and r["load"] == float(x)]
            line += f"{sum(mine) / len(mine) / best:>9.3f}"
        click.echo(line)


if __name__ == "__main__":
    main()
