"""The cost of replacing all routers of a fleet: new routers have no estimates of their engines.

    python benchmarks/router_restart.py [--seeds 40]

Simulated, on a driven clock: modelled nodes and engines. After 40 s all routers of the fleet are replaced at
once, the worst case of a settings change in place; the control is the same seed without replacement. Figures
cover the sequences sent within the stated time spans after the replacement.
"""

import argparse
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from itertools import chain, repeat
from random import Random
from statistics import mean, quantiles
from typing import NamedTuple

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.machine import Machine
from myrtlehub.lab.in_process_client import InProcessClient
from myrtlehub.lab.in_process_fleet import InProcessFleet
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.node.router_config import router_config_of
from myrtlehub.routing.contract import Action, EndpointUpdate, EngineState
from myrtlehub.routing.policy.router import Router

NODE_SETTINGS = """
node: {{name: n{i}, listen: "n{i}:1", index: {i}, nodes: {n}, zone: z, seed: {seed}}}
traffic:
  - {{name: ask, repeats: repeatable, latency_slo: 1s, abandon_time: 4s, pace: 50ms, utility: 1}}
kinds: [{{name: reader, reads: yes, memory: 200k tokens}}, {{name: writer, writes: yes, memory: 90k tokens}}]
zones: [z]
rules:
  {{drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 10s, fall_multiple: 2.5, fall_time: 1s}}
list: {{engines: []}}
"""
REPLACED_AT = 40.0  # seconds
SPANS = ((0.0, 2.0), (2.0, 5.0), (5.0, 15.0))  # seconds after the replacement
SETTLE_SECONDS = 8.0  # from the last arrival to the end of a run, so that answers arrive
NODES = 8
LATENCY_SLO = 1.0  # seconds, as in the settings above
RATES = {"half load": 22.0, "near capacity": 40.0}  # sequences per second
MACHINES = {
    "reader": Machine(slots=4, read_rate=12000.0, memory=200_000.0, kept=60000.0),
    "writer": Machine(slots=12, memory=90_000.0, read_rate=9000.0, step=0.02, kept=30000.0),
}


class Answer(NamedTuple):
    """A sequence that was sent after the replacement."""

    sent_at: float  # seconds after the replacement
    first_token: float  # seconds; 0.0 if there was none

    @property
    def is_in_time(self) -> bool:
        """Whether the first token came within the SLO."""
        return 0.0 < self.first_token <= LATENCY_SLO


class FleetRun:
    """One run of a fleet, with its routers replaced or not."""

    def __init__(self, seed: int, rate: float) -> None:
        self.rate = rate
        endpoints = [
            EndpointConfig(address=f"{letter}{i}:1", kind=kind, zone="z", cell=i % 2)
            for letter, kind, count in (("r", "reader", 4), ("w", "writer", 6))
            for i in range(count)
        ]
        self.configs = [
            parse_config(NODE_SETTINGS.format(i=i, n=NODES, seed=seed * 100 + i), NodeConfig)
            for i in range(NODES)
        ]
        self.fleet = InProcessFleet(NODES, self.configs.__getitem__, endpoints, MACHINES, seed)
        self.random = Random(seed)
        self.answers: list[Answer] = []

    def run(self, is_replaced: bool) -> list[Answer]:
        """Play the run; return the sequences that were sent after the replacement."""
        started_at = self.fleet.clock.seconds()
        last_arrival = REPLACED_AT + SPANS[-1][1]
        at = 0.0
        while at < last_arrival:
            at += self.random.expovariate(self.rate)
            self.fleet.clock.callLater(at, self._send, at)
        if is_replaced:
            self.fleet.clock.callLater(REPLACED_AT, self._replace_routers)
        self.fleet.run(started_at + last_arrival + SETTLE_SECONDS)
        return self.answers

    def _send(self, at: float) -> None:
        """Send a sequence."""
        session, prefix = f"s{self.random.randrange(120)}", self.random.randrange(8)
        request = DecodedRequest(
            "ask",
            session=session,
            prefix=f"p{prefix}",
            shared_tokens=1500,
            prompt_tokens=self.random.randint(1600, 4000),
            max_output_tokens=200,
        )

        def ended(client: InProcessClient) -> None:
            if at >= REPLACED_AT:
                self.answers.append(Answer(at - REPLACED_AT, client.first_token_latency or 0.0))

        self.fleet.send_request(self.random.randrange(NODES), request, ended)

    def _replace_routers(self) -> None:
        for config, executor in zip(self.configs, self.fleet.executors, strict=True):
            old = executor.router
            if not isinstance(old, Router):
                raise TypeError(f"a node has another router: {old!r}")
            handover = _RouterHandover(Router(router_config_of(config)), old)
            executor.router = handover  # type: ignore[assignment] # it passes all calls on
            handover.begin(self.fleet.clock.seconds(), executor.decoder.engines.index_by_address.values())


class _RouterHandover:
    """Sends new sequences to a new router; the old one completes its own. Both get wake-ups and lists."""

    def __init__(self, new: Router, old: Router) -> None:
        self.new, self.old = new, old

    def begin(self, now: float, engines: Iterable[int]) -> None:
        """Start the new router with the endpoint list of the old one."""
        updates = []
        for index in sorted(engines):
            engine = self.old.estimates.engines[index]
            updates.append(
                EndpointUpdate(
                    index,
                    True,
                    EngineState.SERVING,
                    engine.kind,
                    engine.zone,
                    engine.cell,
                    0.0,
                    1.0,
                    engine.hash_seed,
                )
            )
        self.new.start(now)
        self.new.update_endpoints(now, updates, True)

    def __getattr__(self, name: str) -> Callable[..., list[Action]]:
        def call(now: float, *args: object) -> list[Action]:
            if name in ("update_endpoints", "wake"):
                return [*getattr(self.old, name)(now, *args), *getattr(self.new, name)(now, *args)]
            owner = self.old if name != "arrive" and args[0] in self.old.sequences else self.new
            return list(getattr(owner, name)(now, *args))

        return call


def run_fleet(seed: int, is_replaced: bool, rate: float) -> list[Answer]:
    """Run a fleet; a work item of the process pool."""
    return FleetRun(seed, rate).run(is_replaced)


class SpanFigures(NamedTuple):
    """The figures of one time span: a row of the table."""

    first_token: str
    share_in_time: str


def figures_of(answers: list[Answer], start: float, end: float) -> SpanFigures:
    """Return the figures of the sequences that were sent in a time span, in seconds."""
    sent = [answer for answer in answers if start <= answer.sent_at < end]
    cuts = quantiles([answer.first_token for answer in sent if answer.first_token], n=100)
    return SpanFigures(
        f"{cuts[49] * 1000:.0f} / {cuts[98] * 1000:.0f} ms",
        f"{mean(float(answer.is_in_time) for answer in sent):.4f}",
    )


def main() -> None:
    """Run all fleets and print a row for each time span."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=40)
    seeds = range(parser.parse_args().seeds)
    print(
        "| load | seconds after | first token p50 / p99, kept routers | replaced | in time, kept | replaced |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor() as pool:
        for load, rate in RATES.items():
            kept, replaced = (
                list(chain(*pool.map(run_fleet, seeds, repeat(is_replaced), repeat(rate))))
                for is_replaced in (False, True)
            )
            for start, end in SPANS:
                before, after = figures_of(kept, start, end), figures_of(replaced, start, end)
                print(
                    f"| {load} | {start:g} to {end:g} | {before.first_token} | {after.first_token} "
                    f"| {before.share_in_time} | {after.share_in_time} |"
                )


if __name__ == "__main__":
    main()
