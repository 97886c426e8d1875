"""Added latency, tokens relayed and memory held by one node, side by side in one run. Simulated.

`python benchmarks/relay.py` starts stand-in engines and one node as processes of their own on loopback and
asks
in turn straight at an engine and through the node, so that both see the same machine at the same moment.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import click
from hdrh.histogram import HdrHistogram
from rig import CLOCK, Processes, play
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from myrtlehub.cli.common import dialer
from myrtlehub.lab.processes import free_ports
from myrtlehub.proto import chat_pb2, engine_pb2
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Status

TICKS = os.sysconf("SC_CLK_TCK")


class Rig:
    """One node, some writers."""

    def __init__(self, folder: Path, engines: int, step: str, slots: int, node_from: str = ".") -> None:
        ports = free_ports(engines + 2)
        self.engines = [f"127.0.0.1:{p}" for p in ports[2:]]
        self.node, self.admin = f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"
        self.processes = Processes(folder)
        for i, address in enumerate(self.engines):
            self.processes.start(
                "emulator",
                f"e{i}",
                {
                    "name": f"e{i}",
                    "listen": address,
                    "writes": True,
                    "slots": slots,
                    "queue": 5000,
                    "step": step,
                    "step_crowd": 0.0,
                    "read_rate": 10000000,
                    "memory": "100M tokens",
                },
            )
        self.node_process = self.processes.start(
            "node",
            "n",
            {
                "node": {
                    "name": "n",
                    "listen": self.node,
                    "admin": self.admin,
                    "zone": "z",
                    "most_sequences": 100000,
                },
                "traffic": [
                    {"name": "ask", "repeats": "repeatable", "latency_slo": "500s", "abandon_time": "600s"}
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
                "list": {"engines": [{"address": a, "kind": "writer", "zone": "z"} for a in self.engines]},
            },
            node_from,
        )

    def node_cpu(self) -> float:
        """Seconds of processor that the node has used."""
        fields = Path(f"/proc/{self.node_process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def node_memory(self) -> int:
        """Bytes resident."""
        for line in Path(f"/proc/{self.node_process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        raise RuntimeError("no VmRSS")

    def stop(self) -> None:
        """End what was started."""
        self.processes.stop()


class Watch(CallWatcher):
    """Time to the first token, and tokens."""

    def __init__(self, first: HdrHistogram | None, tally: dict) -> None:
        self.asked, self.first, self.tally = CLOCK.seconds(), first, tally
        self.done = Deferred()
        self.tokens = 0

    def message(self, data: bytes) -> None:
        if data[:1] == b"\x0a":
            self.tokens += 1
            self.tally["tokens"] = self.tally.get("tokens", 0) + 1
            if self.tokens == 1 and self.first is not None:
                self.first.record_value(max(1, int((CLOCK.seconds() - self.asked) * 1e6)))

    def ended(self, status: Status) -> None:
        self.tally[status.code.name] = self.tally.get(status.code.name, 0) + 1
        self.done.callback(None)


def ask(channel: Channel, straight: bool, watch: Watch, prompt: int, output: int, name: str) -> object:
    """One sequence, straight at an engine or through a node."""
    if straight:
        request = engine_pb2.WriteRequest(
            work=engine_pb2.Work(sequence=name, traffic_type="ask", prompt_tokens=prompt, most_output=output)
        )
        call = channel.call("/myrtlehub.v1.Engine/Write", watch)
    else:
        request = chat_pb2.GenerateRequest(traffic_type="ask", prompt_tokens=prompt, most_output=output)
        call = channel.call("/myrtlehub.v1.Chat/Generate", watch)
    call.send(request.SerializeToString())
    call.half_close()
    return call


def opened(rate: float, seconds: float, random: Random, ask_one: Callable[[int], None]) -> None:
    """Call `ask_one` at moments drawn ahead, whatever becomes of earlier ones."""
    at, count = random.expovariate(rate), 0
    while at < seconds:
        CLOCK.callLater(at, ask_one, count)
        at += random.expovariate(rate)
        count += 1


@inlineCallbacks
def load(address: str, rate: float, seconds: float) -> Iterator:
    """Sequences through the node that nobody measures; in a process of its own."""
    channel, tally = Channel(CLOCK, dialer(reactor)(address), address), {}
    opened(rate, seconds, Random(2), lambda count: ask(channel, False, Watch(None, tally), 200, 60, ""))
    yield deferLater(reactor, seconds, lambda: None)
    channel.close()


@inlineCallbacks
def latency(rig: Rig, rate: float, measured: float, seconds: float, random: Random) -> Iterator:
    """Open loop at `rate` through the node, `measured` of it from here, and as many straight at the engines.

    The rest comes from another process: tokens of others would queue in this one ahead of those timed.
    """
    dial = dialer(reactor)
    through = Channel(CLOCK, dial(rig.node), rig.node)
    direct = [Channel(CLOCK, dial(a), a) for a in rig.engines]
    first = {True: HdrHistogram(1, 60_000_000, 3), False: HdrHistogram(1, 60_000_000, 3)}
    tally: dict = {}
    other = subprocess.Popen(
        [
            sys.executable,
            __file__,
            "--load",
            rig.node,
            "--rate",
            str(rate - measured),
            "--seconds",
            str(seconds + 2.0),
        ]
    )
    yield deferLater(reactor, 2.0, lambda: None)

    def one(count: int) -> None:
        straight = count % 2 == 1
        ask(
            direct[count // 2 % len(direct)] if straight else through,
            straight,
            Watch(first[straight], tally),
            200,
            60,
            f"d{count}",
        )

    cpu = rig.node_cpu()
    opened(2 * measured, seconds, random, one)
    yield deferLater(reactor, seconds, lambda: None)
    cpu = (rig.node_cpu() - cpu) / seconds
    yield deferLater(reactor, 1.5, lambda: None)
    other.wait(30)
    for channel in (through, *direct):
        channel.close()
    out = {}
    for name, straight in (("straight", True), ("through", False)):
        out[name] = {f"p{p}": first[straight].get_value_at_percentile(p) / 1e6 for p in (50, 99)}
    out["added"] = {p: out["through"][p] - out["straight"][p] for p in ("p50", "p99")}
    out["rate"], out["ended"], out["node_processor"] = rate, tally, cpu
    return out


@inlineCallbacks
def relay(rig: Rig, streams: int, seconds: float) -> Iterator:
    """Many streams through the node: tokens a second, and tokens for each second of its processor."""
    channels = [Channel(CLOCK, dialer(reactor)(rig.node), rig.node) for _ in range(4)]
    tally: dict = {}
    calls = [ask(channels[i % 4], False, Watch(None, tally), 200, 1_000_000, "") for i in range(streams)]
    yield deferLater(reactor, 2.0, lambda: None)
    tokens, cpu, at = tally.get("tokens", 0), rig.node_cpu(), CLOCK.seconds()
    yield deferLater(reactor, seconds, lambda: None)
    tokens, cpu, at = tally["tokens"] - tokens, rig.node_cpu() - cpu, CLOCK.seconds() - at
    for call in calls:
        call.cancel()
    yield deferLater(reactor, 1.0, lambda: None)
    for channel in channels:
        channel.close()
    return {
        "streams": streams,
        "tokens_a_second": tokens / at,
        "node_processor": cpu / at,
        "tokens_a_processor_second": tokens / cpu,
    }


@inlineCallbacks
def held(rig: Rig, count: int) -> Iterator:
    """Bytes a held sequence: the node's growth with many that wait, engines hung."""
    dial = dialer(reactor)
    for address in rig.engines:
        yield Channel(CLOCK, dial(address), address).unary(
            "/myrtlehub.v1.Stand/Misbehave", engine_pb2.Misbehaviour(how="hang").SerializeToString()
        )
    channels = [Channel(CLOCK, dial(rig.node), rig.node) for _ in range(8)]
    tally: dict = {}
    calls = [ask(channels[i % 8], False, Watch(None, tally), 200, 200, "") for i in range(400)]
    yield deferLater(reactor, 2.0, lambda: None)
    before = rig.node_memory()
    calls += [ask(channels[i % 8], False, Watch(None, tally), 200, 200, "") for i in range(count)]
    yield deferLater(reactor, 6.0, lambda: None)
    grown = rig.node_memory() - before
    for call in calls:
        call.cancel()
    yield deferLater(reactor, 1.0, lambda: None)
    return {"sequences": count, "bytes_each": grown / count, "ended_early": tally.get("OK", 0)}


@click.command()
@click.option("--seconds", default=20.0, help="Length of each measurement.")
@click.option("--json", "as_json", is_flag=True)
@click.option("--load", "address", hidden=True)
@click.option("--rate", default=100.0, hidden=True)
def main(seconds: float, as_json: bool, address: str | None, rate: float) -> None:
    """Measure one node beside the straight way."""
    if address:
        reactor.callWhenRunning(lambda: load(address, rate, seconds).addBoth(lambda ignored: reactor.stop()))
        reactor.run()
        return
    result: dict = {}

    @inlineCallbacks
    def run() -> Iterator:
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(Path(folder), 3, "20ms", 200)
            try:
                result["latency"] = yield latency(rig, 130.0, 30.0, seconds, Random(1))
            finally:
                rig.stop()
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(Path(folder), 3, "10ms", 400)
            try:
                result["relay"] = []
                for streams in (30, 100, 300):
                    result["relay"].append((yield relay(rig, streams, seconds / 3)))
                result["held"] = yield held(rig, 3000)
            finally:
                rig.stop()

    play(run)
    if as_json:
        click.echo(json.dumps(result))
        return
    lat = result["latency"]
    for name in ("straight", "through", "added"):
        p50, p99 = (lat[name][p] * 1000 for p in ("p50", "p99"))
        click.echo(f"first token {name:<9} p50 {p50:6.2f} ms  p99 {p99:6.2f} ms")
    for row in result["relay"]:
        each = row["tokens_a_processor_second"]
        click.echo(
            f"{row['streams']:>4} streams: {row['tokens_a_second']:8.0f} tokens a second, node uses "
            f"{row['node_processor']:.2f} of a core, {each:.0f} a core-second"
        )
    click.echo(f"node at {lat['rate']:.0f} sequences a second: {lat['node_processor']:.2f} of a core")
    click.echo(f"held sequence: {result['held']['bytes_each'] / 1024:.1f} KiB")


if __name__ == "__main__":
    main()
