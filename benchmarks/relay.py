"""Added latency, token throughput and memory per in-flight sequence of one node. Simulated.

`python benchmarks/relay.py` starts emulated engines and one node as processes on loopback and sends sequences
alternately to an engine directly and through the node, so that both run under the same load of the machine.
"""

import json
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

import click
from bench_processes import (
    CLOCK,
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
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

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

    def _node_settings(self) -> Settings:
        node = {"name": "n", "listen": self.node, "admin": self.admin, "zone": "z", "most_sequences": 100000}
        traffic = {"name": "ask", "repeats": "repeatable", "latency_slo": "500s", "abandon_time": "600s"}
        return {"node": node, "traffic": [traffic], **writer_pool_settings(self.engines)}

    def node_cpu(self) -> float:
        """CPU seconds that the node has used."""
        return cpu_seconds(self.node_process.pid)

    def node_memory(self) -> int:
        """Resident memory of the node in bytes."""
        return resident_bytes(self.node_process.pid)

    def stop(self) -> None:
        """Stop the processes."""
        self.processes.stop()


class ReplyWatcher(CallWatcher):
    """Records the time to the first token and counts tokens and statuses of a call."""

    def __init__(self, first: HdrHistogram | None, tally: Counter[str]) -> None:
        self.started_at = CLOCK.seconds()
        self.first = first
        self.tally = tally
        self.done: Deferred[None] = Deferred()
        self.tokens = 0

    def message(self, data: bytes) -> None:
        """Count a message of one token; others are final answers."""
        if data[:1] == TOKENS_FIELD_TAG:
            self.tokens += 1
            self.tally["tokens"] += 1
            if self.tokens == 1 and self.first is not None:
                self.first.record_value(max(1, int((CLOCK.seconds() - self.started_at) * 1e6)))

    def ended(self, status: Status) -> None:
        """Count the status and fire `done`."""
        self.tally[status.code.name] += 1
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
    """Start a sequence: directly at an engine under a name, or through a node with an idempotency key."""
    request: engine_pb2.WriteRequest | chat_pb2.GenerateRequest
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


def schedule_open_loop(
    rate: float, seconds: float, random: Random, start_one: Callable[[int], object]
) -> None:
    """Call `start_one` at times drawn in advance, independently of earlier results."""
    at, count = random.expovariate(rate), 0
    while at < seconds:
        CLOCK.callLater(at, start_one, count)
        at += random.expovariate(rate)
        count += 1


class Percentiles(NamedTuple):
    """Percentiles of a latency, in seconds."""

    p50: float
    p99: float


class LatencyResult(NamedTuple):
    """Time to the first token, directly from an engine and through the node."""

    straight: Percentiles
    through: Percentiles
    rate: float  # sequences per second through the node
    ended: dict[str, int]  # calls by status, and the number of tokens
    node_processor: float  # CPU seconds of the node per second

    @property
    def added(self) -> Percentiles:
        """The latency that the node adds."""
        return Percentiles(self.through.p50 - self.straight.p50, self.through.p99 - self.straight.p99)

    def as_json(self) -> dict[str, object]:
        """Return the result in the form that `--json` prints."""
        return {
            "straight": self.straight._asdict(),
            "through": self.through._asdict(),
            "added": self.added._asdict(),
            "rate": self.rate,
            "ended": self.ended,
            "node_processor": self.node_processor,
        }


class ThroughputResult(NamedTuple):
    """Tokens relayed; the fields are keys of `--json`."""

    streams: int
    tokens_a_second: float
    node_processor: float  # CPU seconds of the node per second
    tokens_a_processor_second: float


class MemoryResult(NamedTuple):
    """Memory of in-flight sequences; the fields are keys of `--json`."""

    sequences: int
    bytes_each: float
    ended_early: int


class RelayResult(NamedTuple):
    """All measurements of one run."""

    latency: LatencyResult
    relay: list[ThroughputResult]
    held: MemoryResult

    def as_json(self) -> dict[str, object]:
        """Return the result in the form that `--json` prints."""
        return {
            "latency": self.latency.as_json(),
            "relay": [row._asdict() for row in self.relay],
            "held": self.held._asdict(),
        }


def percentiles_of(histogram: HdrHistogram) -> Percentiles:
    """Return the percentiles of a histogram of microseconds."""
    p50, p99 = (histogram.get_value_at_percentile(p) / 1e6 for p in (50, 99))
    return Percentiles(p50, p99)


@inlineCallbacks
def run_background_load(address: str, rate: float, seconds: float) -> Steps[None]:
    """Send unmeasured sequences through the node, from a separate process."""
    channel, tally = open_channel(address), Counter[str]()
    schedule_open_loop(
        rate,
        seconds,
        Random(2),
        lambda count: start_sequence(channel, False, ReplyWatcher(None, tally), 200, 60, ""),
    )
    yield deferLater(reactor, seconds, lambda: None)
    channel.close()


def start_background_load(address: str, rate: float, seconds: float) -> subprocess.Popen[bytes]:
    """Start the process that runs `run_background_load`."""
    options = ["--load", address, "--rate", str(rate), "--seconds", str(seconds)]
    return subprocess.Popen([sys.executable, __file__, *options])


@inlineCallbacks
def measure_latency(
    fleet: SingleNodeFleet, rate: float, measured: float, seconds: float, random: Random
) -> Steps[LatencyResult]:
    """Run an open loop at `rate` through the node; this process sends `measured` of it, and as many directly.

    Another process sends the rest, whose tokens would delay the measured ones in this event loop.
    """
    through = open_channel(fleet.node)
    direct = [open_channel(address) for address in fleet.engines]
    first = {True: HdrHistogram(1, 60_000_000, 3), False: HdrHistogram(1, 60_000_000, 3)}
    tally: Counter[str] = Counter()
    background_load = start_background_load(fleet.node, rate - measured, seconds + 2.0)
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
    background_load.wait(30)
    for channel in (through, *direct):
        channel.close()
    return LatencyResult(percentiles_of(first[True]), percentiles_of(first[False]), rate, dict(tally), cpu)


@inlineCallbacks
def measure_throughput(fleet: SingleNodeFleet, streams: int, seconds: float) -> Steps[ThroughputResult]:
    """Run many streams through the node; return tokens per second and per CPU second of the node."""
    channels = [open_channel(fleet.node) for _ in range(4)]
    tally: Counter[str] = Counter()
    calls = [
        start_sequence(channels[i % 4], False, ReplyWatcher(None, tally), 200, 1_000_000, "")
        for i in range(streams)
    ]
    yield deferLater(reactor, 2.0, lambda: None)
    tokens, cpu, at = tally["tokens"], fleet.node_cpu(), CLOCK.seconds()
    yield deferLater(reactor, seconds, lambda: None)
    tokens, cpu, at = tally["tokens"] - tokens, fleet.node_cpu() - cpu, CLOCK.seconds() - at
    for call in calls:
        call.cancel()
    yield deferLater(reactor, 1.0, lambda: None)
    for channel in channels:
        channel.close()
    return ThroughputResult(streams, tokens / at, cpu / at, tokens / cpu)


@inlineCallbacks
def measure_memory(fleet: SingleNodeFleet, count: int) -> Steps[MemoryResult]:
    """Return bytes per in-flight sequence: the node's memory growth while many wait for hung engines."""
    for address in fleet.engines:
        yield open_channel(address).unary(
            "/myrtlehub.v1.Stand/Misbehave", engine_pb2.Misbehaviour(how="hang").SerializeToString()
        )
    channels = [open_channel(fleet.node) for _ in range(8)]
    tally: Counter[str] = Counter()
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
    return MemoryResult(count, grown / count, tally["OK"])


@inlineCallbacks
def measure_all(seconds: float) -> Steps[RelayResult]:
    """Run all measurements, of `seconds` each."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SingleNodeFleet(Path(folder), 3, "20ms", 200)
        try:
            latency = yield measure_latency(fleet, 130.0, 30.0, seconds, Random(1))
        finally:
            fleet.stop()
    with tempfile.TemporaryDirectory() as folder:
        fleet = SingleNodeFleet(Path(folder), 3, "10ms", 400)
        try:
            few = yield measure_throughput(fleet, 30, seconds / 3)
            some = yield measure_throughput(fleet, 100, seconds / 3)
            many = yield measure_throughput(fleet, 300, seconds / 3)
            held = yield measure_memory(fleet, 3000)
        finally:
            fleet.stop()
    return RelayResult(latency, [few, some, many], held)


def print_result(result: RelayResult) -> None:
    """Print the figures as text."""
    latency = result.latency
    for name, each in (
        ("straight", latency.straight),
        ("through", latency.through),
        ("added", latency.added),
    ):
        click.echo(f"first token {name:<9} p50 {each.p50 * 1000:6.2f} ms  p99 {each.p99 * 1000:6.2f} ms")
    for row in result.relay:
        click.echo(
            f"{row.streams:>4} streams: {row.tokens_a_second:8.0f} tokens a second, node uses "
            f"{row.node_processor:.2f} of a core, {row.tokens_a_processor_second:.0f} a core-second"
        )
    click.echo(f"node at {latency.rate:.0f} sequences a second: {latency.node_processor:.2f} of a core")
    click.echo(f"in-flight sequence: {result.held.bytes_each / 1024:.1f} KiB")


@click.command()
@click.option("--seconds", default=20.0, help="Length of each measurement.")
@click.option("--json", "as_json", is_flag=True)
@click.option("--load", "address", hidden=True)
@click.option("--rate", default=100.0, hidden=True)
def main(seconds: float, as_json: bool, address: str | None, rate: float) -> None:
    """Compare calls through one node with direct calls to engines, and print the results."""
    if address:
        run_reactor(lambda: run_background_load(address, rate, seconds))
        return
    results: list[RelayResult] = []
    run_reactor(lambda: measure_all(seconds).addCallback(results.append))
    (result,) = results
    if as_json:
        click.echo(json.dumps(result.as_json()))
    else:
        print_result(result)


if __name__ == "__main__":
    main()
