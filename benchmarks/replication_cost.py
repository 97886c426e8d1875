"""The cost of replicating sequence records: the same fleet with and without takeover. Simulated.

    python benchmarks/replication_cost.py [--rounds 21] [--each 90] [--repeats once-only]

Two fleets of three nodes and two engines each, all processes on loopback; rounds of sequences alternate
between them. Prints CPU time of all three nodes per sequence, time to the first token, and memory per node.
"""

import statistics
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import click
from bench_processes import (
    Processes,
    Settings,
    Steps,
    cpu_seconds,
    fast_writer_settings,
    free_addresses,
    open_channel,
    resident_bytes,
    run_reactor,
    writer_pool_settings,
)
from hdrh.histogram import HdrHistogram
from relay import ReplyWatcher, start_sequence
from twisted.internet import reactor
from twisted.internet.defer import DeferredList, inlineCallbacks
from twisted.internet.task import deferLater

NODES, ENGINES = 3, 2


class ReplicatedFleet:
    """Three nodes and their engines, as processes, with takeover or without."""

    def __init__(self, folder: Path, takeover: bool, repeats: str) -> None:
        addresses = free_addresses(2 * NODES + ENGINES)
        self.nodes = addresses[:NODES]
        self.peers = addresses[NODES : 2 * NODES]
        self.engines = addresses[2 * NODES :]
        self.takeover = takeover
        self.repeats = repeats
        self.processes = Processes(folder)
        for index, address in enumerate(self.engines):
            settings = fast_writer_settings(f"e{index}", address, "2ms", 400)
            if takeover:
                settings["stream_bound"] = "5s"
            self.processes.start("emulator", f"e{index}", settings)
        self.running = [
            self.processes.start("node", f"n{index}", self._node_settings(index)) for index in range(NODES)
        ]

    def _node_settings(self, index: int) -> Settings:
        node = {
            "name": f"n{index}",
            "listen": self.nodes[index],
            "zone": "z",
            "index": index,
            "nodes": NODES,
        }
        traffic = {"name": "ask", "repeats": self.repeats, "latency_slo": "20s", "abandon_time": "30s"}
        if self.repeats == "tokened":
            traffic["dedup_window"] = "5s"
        settings: Settings = {"node": node, "traffic": [traffic], **writer_pool_settings(self.engines)}
        if self.takeover:
            peers = [
                {"name": f"n{number}", "address": address, "zone": "z"}
                for number, address in enumerate(self.peers)
            ]
            settings["engines_may"] = {"claims": True}
            settings["takeover"] = {"listen": self.peers[index], "peers": peers}
        return settings

    def cpu(self) -> float:
        """CPU seconds that all nodes have used."""
        return sum(cpu_seconds(process.pid) for process in self.running)

    def memory(self) -> float:
        """Mean resident memory of a node in megabytes."""
        return statistics.mean(resident_bytes(process.pid) / 2**20 for process in self.running)


class FleetCost(NamedTuple):
    """CPU time and latency of the sequences of one fleet."""

    processor_s: list[float]  # CPU seconds of all nodes per sequence, for each round
    first_token: HdrHistogram  # microseconds


@inlineCallbacks
def measure_rounds(fleets: dict[str, ReplicatedFleet], rounds: int, each: int) -> Steps[dict[str, FleetCost]]:
    """Run rounds of sequences, alternately at each fleet."""
    channels = {name: [open_channel(address) for address in fleet.nodes] for name, fleet in fleets.items()}
    first = {name: HdrHistogram(1, 60_000_000, 3) for name in fleets}
    used: dict[str, list[float]] = {name: [] for name in fleets}
    yield deferLater(reactor, 1.0, lambda: None)
    for round_index in range(rounds):
        for name, fleet in fleets.items():
            before, done = fleet.cpu(), []
            for number in range(each):
                watcher = ReplyWatcher(first[name] if round_index else None, Counter())
                key = f"{round_index}-{number}" if fleets[name].repeats == "tokened" else ""
                start_sequence(channels[name][number % NODES], False, watcher, 200, 20, "", key)
                done.append(watcher.done)
                yield deferLater(reactor, 0.008, lambda: None)
            yield DeferredList(done)
            if round_index:  # the first round is a warm-up
                used[name].append((fleet.cpu() - before) / each)
    for some in channels.values():
        for channel in some:
            channel.close()
    return {name: FleetCost(used[name], first[name]) for name in fleets}


@click.command()
@click.option("--rounds", default=21)
@click.option("--each", default=90)
@click.option("--repeats", default="once-only")
def main(rounds: int, each: int, repeats: str) -> None:
    """Print the cost."""

    @inlineCallbacks
    def run() -> Steps[None]:
        with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
            fleets = {
                "off": ReplicatedFleet(Path(one), False, repeats),
                "on": ReplicatedFleet(Path(two), True, repeats),
            }
            try:
                costs = yield measure_rounds(fleets, rounds, each)
                memory = {name: fleet.memory() for name, fleet in fleets.items()}
            finally:
                for fleet in fleets.values():
                    fleet.processes.stop()
        for name in fleets:
            p50, p99 = (costs[name].first_token.get_value_at_percentile(p) / 1000 for p in (50, 99))
            print(
                f"{name:<4} {statistics.median(costs[name].processor_s) * 1e6:.0f} us of processor a "
                f"sequence, "
                f"first token p50 {p50:.1f} ms, p99 {p99:.1f} ms, {memory[name]:.0f} MB a node"
            )
        ratios = [b / a for a, b in zip(costs["off"].processor_s, costs["on"].processor_s, strict=True)]
        p99_off, p99_on = (costs[name].first_token.get_value_at_percentile(99) for name in ("off", "on"))
        print(
            f"{repeats}: processor on/off {statistics.median(ratios):.3f} (median of {len(ratios)} pairs), "
            f"first token p99 {p99_on / p99_off:.3f}"
        )

    run_reactor(run)


if __name__ == "__main__":
    main()
