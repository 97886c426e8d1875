"""What replacing the routers of a fleet costs: new ones know nothing of their engines.

    python benchmarks/router_restart.py [--seeds 40]

Simulated, on a driven clock: modelled nodes and engines. After 40 s all routers of the fleet are replaced by
new ones at once, as a change of settings in place would at worst; beside it the same seed with nothing
replaced. Figures are of sequences asked in the stated seconds after it.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import mean, quantiles

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.machine import Machine
from myrtlehub.lab.in_process_client import InProcessClient
from myrtlehub.lab.in_process_fleet import InProcessFleet
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.node.router_config import router_config_of
from myrtlehub.routing.contract import EndpointUpdate, EngineState
from myrtlehub.routing.policy.router import Router

SHEET = """
node: {{name: n{i}, listen: "n{i}:1", index: {i}, nodes: {n}, zone: z, seed: {seed}}}
traffic:
  - {{name: ask, repeats: repeatable, latency_slo: 1s, abandon_time: 4s, pace: 50ms, utility: 1}}
kinds: [{{name: reader, reads: yes, memory: 200k tokens}}, {{name: writer, writes: yes, memory: 90k tokens}}]
zones: [z]
rules:
  {{drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 10s, fall_multiple: 2.5, fall_time: 1s}}
list: {{engines: []}}
"""
AT, SPANS, NODES = 40.0, ((0.0, 2.0), (2.0, 5.0), (5.0, 15.0)), 8
RATES = {"half load": 22.0, "near capacity": 40.0}


def run_fleet(args: tuple[int, bool, float]) -> list[tuple[float, float, float]]:
    """(asked at, seconds to the first token, 1.0 if in time) of what was asked after the change."""
    seed, fresh, rate = args
    rows = [
        EndpointConfig(address=f"{k}{i}:1", kind=kind, zone="z", cell=i % 2)
        for k, kind, n in (("r", "reader", 4), ("w", "writer", 6))
        for i in range(n)
    ]
    machines = {
        "reader": Machine(slots=4, read_rate=12000.0, memory=200_000.0, kept=60000.0),
        "writer": Machine(slots=12, memory=90_000.0, read_rate=9000.0, step=0.02, kept=30000.0),
    }
    sheets = [parse_config(SHEET.format(i=i, n=NODES, seed=seed * 100 + i), NodeConfig) for i in range(NODES)]
    fleet = InProcessFleet(NODES, sheets.__getitem__, rows, machines, seed)
    random, begin, out = Random(seed), fleet.clock.seconds(), []

    def ask(at: float) -> None:
        session, prefix = f"s{random.randrange(120)}", random.randrange(8)
        asked = DecodedRequest(
            "ask",
            session=session,
            prefix=f"p{prefix}",
            shared_tokens=1500,
            prompt_tokens=random.randint(1600, 4000),
            max_output_tokens=200,
        )

        def over(client: InProcessClient) -> None:
            if at >= AT:
                latency = client.first_token_latency or 0.0
                out.append((at - AT, latency, float(0.0 < latency <= 1.0)))

        fleet.send_request(random.randrange(NODES), asked, over)

    at = 0.0
    while at < AT + SPANS[-1][1]:
        at += random.expovariate(rate)
        fleet.clock.callLater(at, ask, at)

    def replace() -> None:
        for i, host in enumerate(fleet.executors):
            old = host.router
            new = host.router = _RouterHandover(Router(router_config_of(sheets[i])), old)
            new.begin(fleet.clock.seconds(), host.decoder.engines.index_of.values())

    if fresh:
        fleet.clock.callLater(AT, replace)
    fleet.run(begin + AT + SPANS[-1][1] + 8.0)
    return out


class _RouterHandover:
    """A new router for new sequences; the old one ends those that it has. Both receive wakes."""

    def __init__(self, new: Router, old: Router) -> None:
        self.new, self.old = new, old

    def begin(self, now: float, engines: object) -> None:
        old = self.old
        self.new.start(now)
        self.new.update_endpoints(
            now,
            [
                EndpointUpdate(i, True, EngineState.SERVING, e.kind, e.zone, e.cell, 0.0, 1.0, e.hash_seed)
                for i, e in ((i, old.estimates.engines[i]) for i in sorted(engines))
            ],
            True,
        )

    def __getattr__(self, name: str) -> object:
        def call(now: float, *args: object) -> list[tuple]:
            if name in ("update_endpoints", "wake"):
                return getattr(self.old, name)(now, *args) + getattr(self.new, name)(now, *args)
            mine = self.old if name != "arrive" and args[0] in self.old.sequences else self.new
            return getattr(mine, name)(now, *args)

        return call


def main() -> None:
    """Play all and print a row a span."""
    ask = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    ask.add_argument("--seeds", type=int, default=40)
    args = ask.parse_args()
    print("| load | seconds after | first token p50 / p99 kept on | fresh | in time kept on | fresh |")
    print("| --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor() as pool:
        for load, rate in RATES.items():
            ends = {
                fresh: [
                    x
                    for some in pool.map(run_fleet, [(s, fresh, rate) for s in range(args.seeds)])
                    for x in some
                ]
                for fresh in (False, True)
            }
            for a, b in SPANS:
                cells = []
                for fresh in (False, True):
                    some = [(f, ok) for at, f, ok in ends[fresh] if a <= at < b]
                    cuts = quantiles([f for f, _ in some if f], n=100)
                    cells.append(
                        (
                            f"{cuts[49] * 1000:.0f} / {cuts[98] * 1000:.0f} ms",
                            f"{mean(o for _, o in some):.4f}",
                        )
                    )
                print(
                    f"| {load} | {a:g} to {b:g} | {cells[0][0]} | {cells[1][0]} "
                    f"| {cells[0][1]} | {cells[1][1]} |"
                )


if __name__ == "__main__":
    main()
