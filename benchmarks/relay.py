"""Added latency, tokens relayed and memory per in-flight sequence of one node. Simulated.

`python benchmarks/relay.py` starts emulated engines and one node as processes on loopback and sends sequences
in turn straight to an engine and through the node, so that both meet the same state of the machine.
"""

import json
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import click
from bench_processes import (
    CLOCK,
    Processes,
    cpu_seconds,
    fast_writer_settings,
    free_addresses,
    resident_bytes,
    run_reactor,
    writer_pool_settings,
)
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from myrtlehub.cli.common import dialer
from myrtlehub.proto import chat_pb2, engine_pb2
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.status import Status

TOKENS_FIELD_TAG = b"\x0a"  # first byte of a reply that has tokens


class SingleNodeFleet:
    """One node and some writers, as processes."""

    def __init__(self, folder: Path, engines: int, step: str, slots: int, node_checkout: str = ".") -> None:
        self.node, self.admin, *self.engines = free_addresses(engines + 2)
        self.processes = Processes(folder)
        for index, address in enumerate(self.engines):
            name = f"e{index}"
            self.processes.start("emulator", name, fast_writer_settings(name, address, step, slots))
        self.node_process = self.processes.start("node", "n", self._node_settings(), node_checkout)

    def _node_settings(self) -> dict:
        node = {"name": "n", "listen": self.node, "admin": self.admin, "zone": "z", "most_sequences": 100000}
        traffic = {"name": "ask", "repeats": "repeatable", "latency_slo": "500s", "abandon_time": "600s"}
        return {"node": node, "traffic": [traffic], **writer_pool_settings(self.engines)}

    def node_cpu(self) -> float:
        """Seconds of processor that the node has used."""
        return cpu_seconds(self.node_process.pid)

    def node_memory(self) -> int:
        """Bytes of the node that are resident."""
        return resident_bytes(self.node_process.pid)

    def stop(self) -> None:
        """End the processes."""
        self.processes.stop()


class ReplyWatcher(CallWatcher):
    """Records the time to the first token and counts tokens and statuses of a call."""

    def __init__(self, first: HdrHistogram | None, tally: dict) -> None:
        self.started_at = CLOCK.seconds()
        self.first = first
        self.tally = tally
        self.done = Deferred()
        self.tokens = 0

    def message(self, data: bytes) -> None:
        """Count a message of one token; others are final answers."""
        if data[:1] == TOKENS_FIELD_TAG:
            self.tokens += 1
            self.tally["tokens"] = self.tally.get("tokens", 0) + 1
            if self.tokens == 1 and self.first is not None:
                self.first.record_value(max(1, int((CLOCK.seconds() - self.started_at) * 1e6)))

    def ended(self, status: Status) -> None:
        """Count the status and fire `done`."""
        self.tally[status.code.name] = self.tally.get(status.code.name, 0) + 1
        self.done.callback(None)


def start_sequence(
    channel: Channel,
    straight: bool,
    watcher: ReplyWatcher,
    prompt: int,
    output: int,
    name: str,
    idempotency_key: str = "",
) -> ClientCall:
    """Start a sequence, straight at an engine under a name or through a node with an idempotency key."""
    if straight:
        request = engine_pb2.WriteRequest(
            work=engine_pb2.Work(sequence=name, traffic_type="ask", prompt_tokens=prompt, most_output=output)
        )
        call = channel.call("/myrtlehub.v1.Engine/Write", watcher)
    else:
        request = chat_pb2.GenerateRequest(
            traffic_type="ask", prompt_tokens=prompt, most_output=output, mark=idempotency_key
        )
        call = channel.call("/myrtlehub.v1.Chat/Generate", watcher)
    call.send(request.SerializeToString())
    call.half_close()
    return call


def schedule_open_loop(rate: float, seconds: float, random: Random, start_one: Callable[[int], None]) -> None:
    """Call `start_one` at moments drawn in advance, whatever becomes of earlier ones."""
    at, count = random.expovariate(rate), 0
    while at < seconds:
        CLOCK.callLater(at, start_one, count)
        at += random.expovariate(rate)
        count += 1


@inlineCallbacks
def run_background_load(address: str, rate: float, seconds: float) -> Iterator:
    """Send unmeasured sequences through the node, in a process of its own."""
    channel, tally = Channel(CLOCK, dialer(reactor)(address), address), {}
    schedule_open_loop(
        rate,
        seconds,
        Random(2),
        lambda count: start_sequence(channel, False, ReplyWatcher(None, tally), 200, 60, ""),
    )
    yield deferLater(reactor, seconds, lambda: None)
    channel.close()


@inlineCallbacks
def measure_latency(
    fleet: SingleNodeFleet, rate: float, measured: float, seconds: float, random: Random
) -> Iterator:
    """Run an open loop at `rate` through the node, `measured` of it from here, and as many straight.

    The rest comes from another process: its tokens would queue in this one ahead of those that are timed.
    """
    dial = dialer(reactor)
    through = Channel(CLOCK, dial(fleet.node), fleet.node)
    direct = [Channel(CLOCK, dial(a), a) for a in fleet.engines]
    first = {True: HdrHistogram(1, 60_000_000, 3), False: HdrHistogram(1, 60_000_000, 3)}
    tally: dict = {}
    other = subprocess.Popen(
        [
            sys.executable,
            __file__,
            "--load",
            fleet.node,
            "--rate",
            str(rate - measured),
            "--seconds",
            str(seconds + 2.0),
        ]
    )
    yield deferLater(reactor, 2.0, lambda: None)

    def start_measured(count: int) -> None:
        straight = count % 2 == 1
        start_sequence(
            direct[count // 2 % len(direct)] if straight else through,
            straight,
            ReplyWatcher(first[straight], tally),
            200,
            60,
            f"d{count}",
        )

    cpu = fleet.node_cpu()
    schedule_open_loop(2 * measured, seconds, random, start_measured)
    yield deferLater(reactor, seconds, lambda: None)
    cpu = (fleet.node_cpu() - cpu) / seconds
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
def measure_throughput(fleet: SingleNodeFleet, streams: int, seconds: float) -> Iterator:
    """Run many streams through the node; tokens per second, and per second of its processor."""
    channels = [Channel(CLOCK, dialer(reactor)(fleet.node), fleet.node) for _ in range(4)]
    tally: dict = {}
    calls = [
        start_sequence(channels[i % 4], False, ReplyWatcher(None, tally), 200, 1_000_000, "")
        for i in range(streams)
    ]
    yield deferLater(reactor, 2.0, lambda: None)
    tokens, cpu, at = tally.get("tokens", 0), fleet.node_cpu(), CLOCK.seconds()
    yield deferLater(reactor, seconds, lambda: None)
    tokens, cpu, at = tally["tokens"] - tokens, fleet.node_cpu() - cpu, CLOCK.seconds() - at
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
def measure_memory(fleet: SingleNodeFleet, count: int) -> Iterator:
    """Bytes per in-flight sequence: the node's growth with many that wait for hung engines."""
    dial = dialer(reactor)
    for address in fleet.engines:
        yield Channel(CLOCK, dial(address), address).unary(
            "/myrtlehub.v1.Stand/Misbehave", engine_pb2.Misbehaviour(how="hang").SerializeToString()
        )
    channels = [Channel(CLOCK, dial(fleet.node), fleet.node) for _ in range(8)]
    tally: dict = {}
    calls = [
        start_sequence(channels[i % 8], False, ReplyWatcher(None, tally), 200, 200, "") for i in range(400)
    ]
    yield deferLater(reactor, 2.0, lambda: None)
    before = fleet.node_memory()
    calls += [
        start_sequence(channels[i % 8], False, ReplyWatcher(None, tally), 200, 200, "") for i in range(count)
    ]
    yield deferLater(reactor, 6.0, lambda: None)
    grown = fleet.node_memory() - before
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
    """Measure one node beside direct calls to engines."""
    if address:
        reactor.callWhenRunning(
            lambda: run_background_load(address, rate, seconds).addBoth(lambda ignored: reactor.stop())
        )
        reactor.run()
        return
    result: dict = {}

    @inlineCallbacks
    def run() -> Iterator:
        with tempfile.TemporaryDirectory() as folder:
            fleet = SingleNodeFleet(Path(folder), 3, "20ms", 200)
            try:
                result["latency"] = yield measure_latency(fleet, 130.0, 30.0, seconds, Random(1))
            finally:
                fleet.stop()
        with tempfile.TemporaryDirectory() as folder:
            fleet = SingleNodeFleet(Path(folder), 3, "10ms", 400)
            try:
                result["relay"] = []
                for streams in (30, 100, 300):
                    result["relay"].append((yield measure_throughput(fleet, streams, seconds / 3)))
                result["held"] = yield measure_memory(fleet, 3000)
            finally:
                fleet.stop()

    run_reactor(run)
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
    click.echo(f"in-flight sequence: {result['held']['bytes_each'] / 1024:.1f} KiB")


if __name__ == "__main__":
    main()
