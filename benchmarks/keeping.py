"""What it costs nodes to keep word of one another's work: the same fleet with takeover and without, asked
in turn. Simulated.

    python benchmarks/keeping.py [--rounds 21] [--each 90] [--repeats once-only]

Two fleets of three nodes and two engines each, all processes on loopback. Prints processor time of all
three nodes a sequence, time to the first token, and memory a node.
"""

import statistics
import tempfile
from collections.abc import Iterator
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram
from relay import TICKS, Watch, ask
from rig import CLOCK, Processes, play
from twisted.internet import reactor
from twisted.internet.defer import DeferredList, inlineCallbacks
from twisted.internet.task import deferLater

from myrtlehub.cli.common import dialer
from myrtlehub.lab.processes import HOST, free_ports
from myrtlehub.rpc.channel import Channel

NODES, ENGINES = 3, 2


class Rig:
    """Three nodes and their engines."""

    def __init__(self, folder: Path, on: bool, repeats: str) -> None:
        ports = free_ports(2 * NODES + ENGINES)
        engines = [f"{HOST}:{p}" for p in ports[2 * NODES :]]
        peers = [f"{HOST}:{p}" for p in ports[NODES : 2 * NODES]]
        self.nodes = [f"{HOST}:{p}" for p in ports[:NODES]]
        self.processes = Processes(folder)
        for i, address in enumerate(engines):
            self.processes.start(
                "emulator",
                f"e{i}",
                {
                    "name": f"e{i}",
                    "listen": address,
                    "writes": True,
                    "slots": 400,
                    "queue": 5000,
                    "step": "2ms",
                    "step_crowd": 0.0,
                    "read_rate": 10000000,
                    "memory": "100M tokens",
                    **({"stream_bound": "5s"} if on else {}),
                },
            )
        self.running = []
        for i, address in enumerate(self.nodes):
            tree = {
                "node": {"name": f"n{i}", "listen": address, "zone": "z", "index": i, "nodes": NODES},
                "traffic": [
                    {
                        "name": "ask",
                        "repeats": repeats,
                        "latency_slo": "20s",
                        "abandon_time": "30s",
                        **({"dedup_window": "5s"} if repeats == "tokened" else {}),
                    }
                ],
                "kinds": [{"name": "writer", "writes": True, "memory": "100M tokens"}],
                "zones": ["z"],
                "rules": {
                    "drain_grace": "250ms",
                    "let_go": "500ms",
                    "cold_share": 0.25,
                    "cold_time": "10s",
                    "fall_multiple": 2.5,
                    "fall_time": "1s",
                },
                "list": {"engines": [{"address": a, "kind": "writer", "zone": "z"} for a in engines]},
            }
            if on:
                tree["engines_may"] = {"claims": True}
                tree["takeover"] = {
                    "listen": peers[i],
                    "peers": [{"name": f"n{j}", "address": a, "zone": "z"} for j, a in enumerate(peers)],
                }
            self.running.append(self.processes.start("node", f"n{i}", tree))

    def cpu(self) -> float:
        """Seconds of processor that all nodes have used."""
        total = 0
        for process in self.running:
            fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS

    def memory(self) -> float:
        """Megabytes resident, the mean of the nodes."""
        return statistics.mean(
            int(line.split()[1]) / 1024
            for p in self.running
            for line in Path(f"/proc/{p.pid}/status").read_text().splitlines()
            if line.startswith("VmRSS:")
        )


@inlineCallbacks
def rounds_of(rigs: dict[str, Rig], rounds: int, each: int) -> Iterator:
    """Rounds of sequences at each fleet in turn."""
    dial = dialer(reactor)
    channels = {name: [Channel(CLOCK, dial(a), a) for a in rig.nodes] for name, rig in rigs.items()}
    first = {name: HdrHistogram(1, 60_000_000, 3) for name in rigs}
    used: dict[str, list[float]] = {name: [] for name in rigs}
    yield deferLater(reactor, 1.0, lambda: None)
    for i in range(rounds):
        for name, rig in rigs.items():
            before, done = rig.cpu(), []
            for j in range(each):
                watch = Watch(first[name] if i else None, {})
                ask(channels[name][j % NODES], False, watch, 200, 20, "")
                done.append(watch.done)
                yield deferLater(reactor, 0.008, lambda: None)
            yield DeferredList(done)
            if i:
                used[name].append((rig.cpu() - before) / each)
    for some in channels.values():
        for channel in some:
            channel.close()
    return used, first


@click.command()
@click.option("--rounds", default=21)
@click.option("--each", default=90)
@click.option("--repeats", default="once-only")
def main(rounds: int, each: int, repeats: str) -> None:
    """Print the cost."""

    @inlineCallbacks
    def run() -> Iterator:
        with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
            rigs = {"off": Rig(Path(one), False, repeats), "on": Rig(Path(two), True, repeats)}
            try:
                used, first = yield rounds_of(rigs, rounds, each)
                memory = {name: rig.memory() for name, rig in rigs.items()}
            finally:
                for rig in rigs.values():
                    rig.processes.stop()
        for name in rigs:
            p50, p99 = (first[name].get_value_at_percentile(p) / 1000 for p in (50, 99))
            print(
                f"{name:<4} {statistics.median(used[name]) * 1e6:.0f} us of processor a sequence, "
                f"first token p50 {p50:.1f} ms, p99 {p99:.1f} ms, {memory[name]:.0f} MB a node"
            )
        ratios = [b / a for a, b in zip(used["off"], used["on"], strict=True)]
        p99 = [first[n].get_value_at_percentile(99) for n in ("off", "on")]
        print(
            f"{repeats}: processor on/off {statistics.median(ratios):.3f} (median of {len(ratios)} pairs), "
            f"first token p99 {p99[1] / p99[0]:.3f}"
        )

    play(run)


if __name__ == "__main__":
    main()
