"""Delay until a node routes by a changed list file, and its longest event loop turn, by number of engines.

Simulated: all in one process over loopback, at 10, 200 and 2,000 engines; every address of the list leads to
one of four emulated engines. `python benchmarks/list_propagation.py`.
"""

import tempfile
from collections.abc import Callable
from pathlib import Path

import click
from bench_processes import (
    CLOCK,
    Connect,
    Result,
    Steps,
    connect_to,
    fast_writer_settings,
    open_channel,
    run_reactor,
)
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import LoopingCall, deferLater
from twisted.internet.threads import deferToThread

from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.server import EmulatedEngine
from myrtlehub.lab.processes import HOST, free_ports
from myrtlehub.membership.endpoint_watcher import EndpointWatcher
from myrtlehub.membership.file_notifier import FileNotifier
from myrtlehub.membership.reader_process import ReaderProcess
from myrtlehub.node.endpoint_list_source import FileAccess
from myrtlehub.node.node import Node, NodeEnvironment
from myrtlehub.node.sequences import Attempt
from myrtlehub.proto import chat_pb2
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.server import Server

NODE_SETTINGS = """
node: {name: n, listen: "127.0.0.1:1", zone: z}
traffic: [{name: ask, repeats: repeatable, latency_slo: 2s, abandon_time: 5s}]
kinds: [{name: writer, writes: yes, memory: 200k tokens}]
zones: [z]
rules:
  {drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 10s, fall_multiple: 2.5, fall_time: 1s}
list: {files: [engines.yaml], quiet: 100ms, confirm: {most_removed: any}, damp: {flaps: off},
  end_marked: yes, store: s.db}
"""


def list_text(count: int, weight: int, drained: int | None) -> str:
    """Return a complete list file; the drained engine has weight 0."""
    return (
        "engines:\n"
        + "".join(
            f"  - {{address: '{address(index)}', kind: writer, zone: z, "
            f"weight: {0 if index == drained else weight}}}\n"
            for index in range(count)
        )
        + "end: yes\n"
    )


def address(index: int) -> str:
    """Return the address of an engine."""
    return f"e{index}:1"


class SilentRecorder(Recorder):
    """A recorder that discards all records."""

    def note(self, what: str, **more: object) -> None:
        """Drop the record."""


class Heartbeat:
    """Measures the longest event loop turn with a timer of one millisecond."""

    INTERVAL = 0.001  # seconds

    def __init__(self) -> None:
        self.longest = 0.0  # seconds, since `restart`
        self._last_at = CLOCK.seconds()
        self._loop = LoopingCall(self._beat)

    def start(self) -> None:
        """Start the timer."""
        self._loop.start(self.INTERVAL)

    def stop(self) -> None:
        """Stop the timer."""
        self._loop.stop()

    def restart(self) -> None:
        """Discard the longest turn so far, and measure from now on."""
        self._last_at, self.longest = CLOCK.seconds(), 0.0

    def record_to(self, histogram: HdrHistogram) -> None:
        """Record the longest turn in microseconds."""
        histogram.record_value(int(self.longest * 1e6) or 1)

    def _beat(self) -> None:
        now = CLOCK.seconds()
        self.longest, self._last_at = max(self.longest, now - self._last_at - self.INTERVAL), now


class AttemptWatcher:
    """Watches the attempts that a node sends."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.list_version = node.executor.list_version
        self.latest_engine = -1
        self.drained_engine = -1
        self.last_sent_to_drained: float | None = None
        self.first_by_new_version: Deferred[float] | None = None
        self._start = node.transport.start
        node.transport.start = self._started  # type: ignore[method-assign] # to see each attempt

    def expect_new_version(self) -> "Deferred[float]":
        """Return a Deferred of the time of the first attempt that was routed by a new list version."""
        self.last_sent_to_drained = None
        self.first_by_new_version = Deferred()
        return self.first_by_new_version

    def _started(self, attempt: Attempt) -> None:
        now = CLOCK.seconds()
        self.latest_engine = attempt.engine
        if attempt.engine == self.drained_engine:
            self.last_sent_to_drained = now
        version, expected = self.node.executor.list_version, self.first_by_new_version
        if expected is not None and version > self.list_version:
            self.list_version, self.first_by_new_version = version, None
            expected.callback(now)
        self._start(attempt)


class Run:
    """One node at one number of engines."""

    def __init__(self, count: int, folder: Path, rounds: int, rate: float) -> None:
        self.count, self.path, self.rounds = count, folder / "engines.yaml", rounds
        self.rate = min(rate, 8000 / count)  # a decision costs more with more engines
        self.first, self.last, self.turns, self.calm = (HdrHistogram(1, 600_000_000, 3) for _ in range(4))
        self.node_port, *self.engine_ports = free_ports(5)
        self.heartbeat = Heartbeat()
        self.listening: list[IListeningPort] = []

    def dial(self, engine: str) -> Connect:
        """Return the function that connects to the emulated engine behind an address of the list."""
        return connect_to(f"{HOST}:{self.engine_ports[int(engine[1:-2]) % 4]}")

    def _listen(self, port: int, server: Server) -> None:
        listening = reactor.listenTCP(port, server, interface=HOST)  # type: ignore[arg-type] # zope
        self.listening.append(listening)

    def _start_engines(self) -> None:
        for index, port in enumerate(self.engine_ports):
            config = EmulatedEngineConfig.model_validate(
                fast_writer_settings(f"s{index}", f"{HOST}:{port}", "1ms", 400)
            )
            engine = EmulatedEngine(config, CLOCK, connect_to, SilentRecorder("s", CLOCK))
            self._listen(port, engine.server)

    def _start_node(self, reader: ReaderProcess) -> Node:
        files = FileAccess(self.path.parent, FileNotifier(reactor).watch, reader.read, run_in_thread)
        node = Node(parse_config(NODE_SETTINGS, NodeConfig), NodeEnvironment(CLOCK, self.dial, files=files))
        self._listen(self.node_port, node.server)
        return node

    @inlineCallbacks
    def play(self) -> Steps[None]:
        """Run all rounds."""
        self.path.write_text(list_text(self.count, 1, None))
        self._start_engines()
        reader = ReaderProcess(reactor).start()
        node = self._start_node(reader)
        watcher = AttemptWatcher(node)
        channel = open_channel(f"{HOST}:{self.node_port}")
        requests = LoopingCall(send_request, channel)
        requests.start(1.0 / self.rate)
        self.heartbeat.start()
        yield deferLater(reactor, 1.0, lambda: None)
        for number in range(self.rounds):
            yield self._play_round(number, watcher)
        self.heartbeat.stop()
        requests.stop()
        channel.close()
        if isinstance(node.endpoint_source, EndpointWatcher):
            node.endpoint_source.stop()
        reader.close()
        yield deferLater(reactor, 0.5, lambda: None)
        node.transport.close()
        for port in self.listening:
            stopping = port.stopListening()  # type: ignore[misc] # Twisted declares an attribute
            if stopping is not None:
                yield stopping

    @inlineCallbacks
    def _play_round(self, number: int, watcher: AttemptWatcher) -> Steps[None]:
        """Change the list file once, and measure its propagation."""
        expected = watcher.expect_new_version()
        self.heartbeat.restart()
        yield deferLater(reactor, 0.6, lambda: None)
        self.heartbeat.record_to(self.calm)
        # Drain the engine that got the last attempt: the worst case.
        watcher.drained_engine = watcher.latest_engine
        row = watcher.node.executor.decoder.engines.endpoints[watcher.latest_engine]
        started_at = CLOCK.seconds()
        new = self.path.with_name("new")
        new.write_text(list_text(self.count, 2 + number, int(row.address[1:-2])))
        new.rename(self.path)
        self.heartbeat.restart()  # excludes the time to write the file, which is not work of the node
        routed_at = yield expected
        self.first.record_value(int((routed_at - started_at) * 1e6))
        yield deferLater(reactor, 0.6, lambda: None)
        last_sent = watcher.last_sent_to_drained
        if last_sent is not None and last_sent > started_at:
            self.last.record_value(int((last_sent - started_at) * 1e6))
        self.heartbeat.record_to(self.turns)


def run_in_thread(work: Callable[[], Result], callback: Callable[[Result], None], /) -> None:
    """Run `work` in a thread, and pass its result to `callback` in the event loop."""
    deferToThread(work).addCallback(callback)


def send_request(channel: Channel) -> None:
    """Send a sequence to the node."""
    call = channel.call("/myrtlehub.v1.Chat/Generate", CallWatcher())
    call.send(
        chat_pb2.GenerateRequest(traffic_type="ask", prompt_tokens=100, most_output=8).SerializeToString()
    )
    call.half_close()


def shown(h: HdrHistogram) -> str:
    """Return the percentiles in milliseconds."""
    if not h.total_count:
        return "none"
    p50, p99 = (h.get_value_at_percentile(p) / 1e3 for p in (50, 99))
    return f"p50 {p50:.1f}, p99 {p99:.1f} ms ({h.total_count})"


@click.command()
@click.option("--rounds", default=30)
@click.option("--rate", default=100.0, help="Sequences a second.")
@click.option("--counts", default="10,200,2000")
def main(rounds: int, rate: float, counts: str) -> None:
    """Print milliseconds by number of engines."""

    @inlineCallbacks
    def run() -> Steps[None]:
        for count in map(int, counts.split(",")):
            with tempfile.TemporaryDirectory() as folder:
                one = Run(count, Path(folder), rounds, rate)
                yield one.play()
            click.echo(
                f"{count:>5} engines: file to first send by it {shown(one.first)}; "
                f"weight 0 in the file to last send {shown(one.last)}; "
                f"longest turn meanwhile {shown(one.turns)}, in 0.6 s before {shown(one.calm)}; "
                f"{one.rate:g} sequences a second"
            )

    run_reactor(run)


if __name__ == "__main__":
    main()
