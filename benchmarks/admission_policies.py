"""Overload: goodput by load, with admission policies and without, on a driven clock. Simulated.

`python benchmarks/admission_policies.py` runs each load with each policy on the same draws; goodput is the
utility of answers within the latency SLO, relative to the highest of all loads and policies.
"""

from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import NamedTuple

import click
from twisted.internet.base import DelayedCall

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.machine import Machine
from myrtlehub.lab.in_process_client import InProcessClient
from myrtlehub.lab.in_process_fleet import InProcessFleet
from myrtlehub.limits.admission import (
    MAX_LIMIT,
    MIN_LIMIT,
    NEVER,
    AdmissionController,
    ConcurrencyLimiter,
    VegasLimiter,
)
from myrtlehub.node.request_decoder import DecodedRequest

NODE_SETTINGS = """
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
ABANDON_TIME = {"ask": 4.0, "post": 4.0, "bulk": 8.0}
UTILITY = {"ask": 1.0, "post": 4.0, "bulk": 0.25}
MACHINES = {
    "reader": Machine(slots=4, read_rate=12000.0, memory=200_000.0),
    "writer": Machine(slots=12, memory=60_000.0, read_rate=12000.0, step=0.02),
}
INITIAL_LIMIT = 10.0
SETTLE_SECONDS = 12.0  # from the last arrival to the end of a run, so that answers arrive
CAPACITY = 26.0  # sequences per second of this mix that the fleet below can just sustain


class Unlimited:
    """No limit: the router receives every request."""

    limit: float = MAX_LIMIT

    def sample(self, now: float, latency_ratio: float | None, in_flight: int) -> None:
        """Ignore the latency."""


class Gradient:
    """The limit follows the latency gradient: the long-term mean over the short-term one.

    The limit includes a queue allowance of its square root, as in Gradient2 of Netflix's concurrency-limits.
    """

    def __init__(self) -> None:
        self.limit, self._long, self._short = INITIAL_LIMIT, 0.0, 0.0

    def sample(self, now: float, latency_ratio: float | None, in_flight: int) -> None:
        """Adjust the limit after a start; `latency_ratio` as for `Aimd`."""
        share = 2.0 if latency_ratio is None else latency_ratio
        self._short = share if not self._short else self._short + 0.1 * (share - self._short)
        self._long = share if not self._long else self._long + 0.01 * (share - self._long)
        if self._long > 2.0 * self._short:
            self._long *= 0.95
        if in_flight < 0.5 * self.limit:
            return
        gradient = max(0.5, min(1.0, 1.5 * self._long / max(self._short, 1e-6)))
        wanted = gradient * self.limit + self.limit**0.5
        self.limit = max(MIN_LIMIT, min(MAX_LIMIT, 0.98 * self.limit + 0.02 * wanted))


class Aimd:
    """AIMD with slow start (Jacobson 1988), where a late start counts as a loss."""

    def __init__(self) -> None:
        self.limit, self._cut_at = INITIAL_LIMIT, -NEVER

    def sample(self, now: float, latency_ratio: float | None, in_flight: int) -> None:
        """Adjust the limit after a start; `latency_ratio`: latency over SLO, None without a first token."""
        if latency_ratio is None or latency_ratio > 1.0:
            if now > self._cut_at + 0.2:
                self.limit, self._cut_at = max(MIN_LIMIT, self.limit * 0.9), now
        elif in_flight >= 0.8 * self.limit:
            # Slow start: the capacity is unknown until a first token was late for the first time.
            self.limit = min(MAX_LIMIT, self.limit + (1.0 if self._cut_at < 0.0 else 1.0 / self.limit))


class Target:
    """A controller that holds the mean first-token latency at a fixed fraction of the latency SLO.

    The SLO decides the utility of an answer, so it also gives the set point, not the lowest latency seen.
    """

    TARGET_SHARE = 0.5  # of the latency SLO
    GAIN = 0.15

    def __init__(self) -> None:
        self.limit, self._mean = INITIAL_LIMIT, 0.0

    def sample(self, now: float, latency_ratio: float | None, in_flight: int) -> None:
        """Adjust the limit after a start; `latency_ratio` as for `Aimd`."""
        share = 1.5 if latency_ratio is None else min(latency_ratio, 2.0)
        self._mean = share if not self._mean else self._mean + 0.1 * (share - self._mean)
        off = (self.TARGET_SHARE - self._mean) / self.TARGET_SHARE
        if off > 0.0 and in_flight < 0.8 * self.limit:
            return
        step = self.GAIN * max(-1.0, off) / self.limit**0.5
        self.limit = max(MIN_LIMIT, min(MAX_LIMIT, self.limit * (1.0 + step)))


POLICIES: dict[str, type[ConcurrencyLimiter]] = {
    "none": Unlimited,
    "aimd": Aimd,
    "gradient": Gradient,
    "vegas": VegasLimiter,
    "target": Target,
}


class RunResult(NamedTuple):
    """The goodput of one run of a policy at a load."""

    policy: str
    load: float
    goodput: float  # utility per second of answers within the latency SLO


class QueuedRequest(NamedTuple):
    """A request in the queue of its node."""

    request: DecodedRequest
    arrived_at: float


class OverloadRun:
    """One run of a policy at a load: arrivals, admission at each node, and the utility of the answers."""

    def __init__(self, policy: str, load: float, seed: int, seconds: float, nodes: int) -> None:
        self.load = load
        self.seconds = seconds
        self.nodes = nodes
        self.fleet = InProcessFleet(
            nodes, lambda index: node_config(index, nodes, seed), endpoints(), MACHINES, seed
        )
        self.random = Random(seed)
        self.started_at = self.fleet.clock.seconds()
        self.controllers: list[AdmissionController[QueuedRequest]] = [
            AdmissionController(Random(seed + index), UTILITY, POLICIES[policy]()) for index in range(nodes)
        ]
        self.shed_timers: list[DelayedCall | None] = [None] * nodes
        self.utility_in_time = 0.0

    def run(self) -> float:
        """Play the run; return the utility per second of answers within the latency SLO."""
        self._arrive()
        self.fleet.run(self.started_at + self.seconds + SETTLE_SECONDS)
        return self.utility_in_time / self.seconds

    def _arrive(self) -> None:
        """Draw one request and schedule the next arrival."""
        now = self.fleet.clock.seconds()
        if now - self.started_at > self.seconds:
            return
        self.fleet.clock.callLater(self.random.expovariate(CAPACITY * self.load), self._arrive)
        name = self.random.choices([name for name, _ in MIX], [share for _, share in MIX])[0]
        request = DecodedRequest(
            name,
            prompt_tokens=self.random.choice([300, 900, 2500]),
            max_output_tokens=self.random.randint(60, 240),
            session=f"s{self.random.randrange(400)}",
            idempotency_key=f"m{self.random.randrange(10**9)}",
        )
        node = self.random.randrange(self.nodes)
        self.controllers[node].enqueue(now, name, SLO[name], QueuedRequest(request, now))
        self._admit(node)
        self._shed(node)

    def _admit(self, node: int) -> None:
        """Send the queued requests that the node's controller admits now."""
        while (item := self.controllers[node].admit_next()) is not None:
            self._send(node, item.request, item.arrived_at)

    def _shed(self, node: int) -> None:
        """Shed the requests that waited too long, and schedule the next check."""
        now = self.fleet.clock.seconds()
        for _ in self.controllers[node].take_shed(now):
            pass
        due = self.controllers[node].next_shed_at()
        timer = self.shed_timers[node]
        if due is not None and (timer is None or not timer.active()):
            self.shed_timers[node] = self.fleet.clock.callLater(max(0.001, due - now), self._shed, node)

    def _send(self, node: int, request: DecodedRequest, arrived_at: float) -> None:
        """Send an admitted request to its node."""
        waited = self.fleet.clock.seconds() - arrived_at
        name = request.traffic_type

        def started(client: InProcessClient) -> None:
            now = self.fleet.clock.seconds()
            latency = client.first_token_latency or 0.0
            self.controllers[node].record_first_token(now, waited + latency, SLO[name])
            self._admit(node)

        def ended(client: InProcessClient) -> None:
            self._ended(node, waited, client)

        time_left = max(0.05, ABANDON_TIME[name] - waited)
        self.fleet.send_request(node, request._replace(time_left=time_left), ended, started)

    def _ended(self, node: int, waited: float, client: InProcessClient) -> None:
        """Add the utility of an answer, if it came in time, and record a failure if no token came."""
        name = client.request.traffic_type
        if client.answer == "generated" and waited + (client.first_token_latency or 0.0) <= SLO[name]:
            self.utility_in_time += UTILITY[name]
        if client.first_token_latency is None:
            self.controllers[node].record_failure(self.fleet.clock.seconds(), True)
            self._admit(node)


def node_config(index: int, nodes: int, seed: int) -> NodeConfig:
    """Return the settings of a node."""
    return parse_config(NODE_SETTINGS.format(i=index, n=nodes, seed=seed + index), NodeConfig)


def endpoints() -> list[EndpointConfig]:
    """Return two readers and four writers."""
    readers = [EndpointConfig(address=f"r{index}:1", kind="reader", zone="z") for index in range(2)]
    writers = [EndpointConfig(address=f"w{index}:1", kind="writer", zone="z") for index in range(4)]
    return readers + writers


def run_policy(policy: str, load: float, seed: int, seconds: float, nodes: int = 2) -> RunResult:
    """Run a policy once at a load; a work item of the process pool."""
    return RunResult(policy, load, OverloadRun(policy, load, seed, seconds, nodes).run())


@click.command()
@click.option("--seconds", default=30.0)
@click.option("--seeds", default=3)
@click.option("--loads", default="0.5,1,1.5,2,4,10")
@click.option("--policies", default=",".join(POLICIES))
@click.option("--jobs", default=6)
def main(seconds: float, seeds: int, loads: str, policies: str, jobs: int) -> None:
    """Print a table of goodput."""
    load_values = [float(load) for load in loads.split(",")]
    names = policies.split(",")
    cells = [(name, load, seed, seconds) for name in names for load in load_values for seed in range(seeds)]
    totals: defaultdict[tuple[str, float], float] = defaultdict(float)
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(run_policy, *zip(*cells, strict=True)):
            totals[result.policy, result.load] += result.goodput / seeds
    best = max(totals.values())
    click.echo(
        f"utility within the SLO a second, share of the best ({best:.1f}); mean of {seeds} seeds, "
        f"{seconds:g} s each (simulated)"
    )
    click.echo("policy     " + "".join(f"{load:>8g}x" for load in load_values))
    for name in names:
        click.echo(f"{name:<11}" + "".join(f"{totals[name, load] / best:>9.3f}" for load in load_values))


if __name__ == "__main__":
    main()
