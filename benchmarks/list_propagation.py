"""How soon a node routes by a changed list file, and its longest event loop turn, by number of engines.

Simulated: all in one process over loopback, at 10, 200 and 2,000 engines; every address of the list leads to
one of four emulated engines. `python benchmarks/list_propagation.py`.
"""

import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path

import click
from bench_processes import CLOCK, run_reactor
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.task import LoopingCall, deferLater
from twisted.internet.threads import deferToThread

from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.server import EmulatedEngine
from myrtlehub.lab.processes import free_ports
from myrtlehub.membership.file_notifier import FileNotifier
from myrtlehub.membership.reader_process import ReaderProcess
from myrtlehub.node.endpoint_list_source import FileAccess
from myrtlehub.node.node import Node, NodeEnvironment
from myrtlehub.proto import chat_pb2
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher

SHEET = """
node: {name: n, listen: "127.0.0.1:1", zone: z}
traffic: [{name: ask, repeats: repeatable, latency_slo: 2s, abandon_time: 5s}]
kinds: [{name: writer, writes: yes, memory: 200k tokens}]
zones: [z]
rules:
  {drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 10s, fall_multiple: 2.5, fall_time: 1s}
list: {files: [engines.yaml], quiet: 100ms, confirm: {most_removed: any}, damp: {flaps: off},
  end_marked: yes, store: s.db}
"""


def list_text(count: int, weight: int, drained: int) -> str:
    """Return a whole list file; the drained engine has weight 0."""
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


class Run:
    """One node at one number of engines."""

    def __init__(self, count: int, folder: Path, rounds: int, rate: float) -> None:
        self.count, self.folder, self.rounds = count, folder, rounds
        self.rate = min(rate, 8000 / count)  # a decision weighs every engine
        self.version = 0
        self.first, self.last, self.turns, self.calm = (HdrHistogram(1, 600_000_000, 3) for _ in range(4))
        self.wanted: Deferred | None = None
        self.without, self.last_sent = -1, 0.0
        ports = free_ports(5)
        self.ports = ports
        self.node = self.channel = None

    def dial(self, where: str) -> Callable:
        """Any engine's address leads to a stand-in; who is meant is told to it by the connection used."""
        port = self.ports[1 + int(where[1:-2]) % 4]
        return TCP4ClientEndpoint(reactor, "127.0.0.1", port, timeout=5).connect

    def sent(self, attempt: object) -> None:
        """An attempt leaves for an engine."""
        now = CLOCK.seconds()
        self.latest = attempt.engine
        if attempt.engine == self.index_without:
            self.last_sent = now
        if self.wanted is not None and self.node.executor.list_version > self.version:
            self.version, wanted, self.wanted = self.node.executor.list_version, self.wanted, None
            wanted.callback(now)

    index_without = latest = -1

    @inlineCallbacks
    def play(self) -> Iterator:
        """All rounds."""
        path, listening = self.folder / "engines.yaml", []
        path.write_text(list_text(self.count, 1, -1))
        for i in range(4):
            sheet = EmulatedEngineConfig(
                name=f"s{i}",
                listen=f"127.0.0.1:{self.ports[1 + i]}",
                writes=True,
                slots=400,
                queue=5000,
                step="1ms",
                step_crowd=0.0,
                read_rate=10000000,
                memory="100M tokens",
            )
            stand = EmulatedEngine(sheet, CLOCK, None, Recorder("s", CLOCK))
            stand.recorder.note = lambda *args, **more: None
            listening.append(reactor.listenTCP(self.ports[1 + i], stand.server, interface="127.0.0.1"))
        aside = ReaderProcess(reactor).start()
        node = self.node = Node(
            parse_config(SHEET, NodeConfig),
            NodeEnvironment(
                CLOCK,
                self.dial,
                files=FileAccess(
                    base=self.folder,
                    notify=FileNotifier(reactor).watch,
                    reader=aside.read,
                    run_in_background=lambda work, then: deferToThread(work).addCallback(then),
                ),
            ),
        )
        start = node.transport.start

        def carried(attempt: object) -> None:
            self.sent(attempt)
            start(attempt)

        node.transport.start = carried
        listening.append(reactor.listenTCP(self.ports[0], node.server, interface="127.0.0.1"))
        self.version = node.executor.list_version
        self.channel = Channel(CLOCK, TCP4ClientEndpoint(reactor, "127.0.0.1", self.ports[0]).connect, "n")
        asking = LoopingCall(self.ask)
        asking.start(1.0 / self.rate)
        beat = LoopingCall(self.beat)
        beat.start(0.001)
        yield deferLater(reactor, 1.0, lambda: None)
        for i in range(self.rounds):
            self.last_sent, self.wanted = 0.0, Deferred()
            self.beat_at, self.worst = CLOCK.seconds(), 0.0
            yield deferLater(reactor, 0.6, lambda: None)
            self.calm.record_value(int(self.worst * 1e6) or 1)
            # the engine that drains is the one that was just sent to: the worst case
            self.index_without = self.latest
            self.without = int(node.executor.decoder.engines.rows[self.latest].address[1:-2])
            at = CLOCK.seconds()
            path.with_name("new").write_text(list_text(self.count, 2 + i, self.without))
            path.with_name("new").rename(path)
            written = CLOCK.seconds()
            self.beat_at, self.worst = written, 0.0  # writing the file is not the node's doing
            taken = yield self.wanted
            self.first.record_value(int((taken - at) * 1e6))
            yield deferLater(reactor, 0.6, lambda: None)
            if self.last_sent > at:
                self.last.record_value(int((self.last_sent - at) * 1e6))
            self.turns.record_value(int(self.worst * 1e6) or 1)
        beat.stop()
        asking.stop()
        self.channel.close()
        node.endpoint_source.stop()
        aside.close()
        yield deferLater(reactor, 0.5, lambda: None)
        node.transport.close()
        for port in listening:
            yield port.stopListening()

    beat_at, worst = 0.0, 0.0

    def beat(self) -> None:
        """Due each millisecond: what is between two is a turn in which nobody else was heard."""
        now = CLOCK.seconds()
        self.worst, self.beat_at = max(self.worst, now - self.beat_at - 0.001), now

    def ask(self) -> None:
        """Send a sequence to the node."""
        call = self.channel.call("/myrtlehub.v1.Chat/Generate", CallWatcher())
        call.send(
            chat_pb2.GenerateRequest(traffic_type="ask", prompt_tokens=100, most_output=8).SerializeToString()
        )
        call.half_close()


def shown(h: HdrHistogram) -> str:
    """Quantiles in milliseconds."""
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
    def run() -> Iterator:
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
