"""Batches: split or whole, merged or one by one, and chat beside a flood of embeddings. Simulated.

`python benchmarks/batch_throughput.py` starts emulated engines and nodes as processes on loopback; what is
compared runs in turn in one run, so that both meet the same state of the machine.
"""

import json
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import click
from bench_processes import CLOCK, NODE_RULES, Processes, run_reactor
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from myrtlehub.cli.network import dialer
from myrtlehub.lab.processes import free_ports
from myrtlehub.proto import chat_pb2
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Status


class CallResult(CallWatcher):
    """One call: when the first token or the whole answer came, and what it was."""

    def __init__(self, chat: bool) -> None:
        self.chat, self.began, self.first, self.done = chat, CLOCK.seconds(), 0.0, Deferred()
        self.answer = ""

    def message(self, data: bytes) -> None:
        """Take a reply: the first token, or the final answer."""
        self.first = self.first or CLOCK.seconds()
        if self.chat:
            self.answer = chat_pb2.GenerateReply.FromString(data).WhichOneof("reply")
        else:
            self.answer = pb.EmbedReply.FromString(data).final.WhichOneof("answer") or self.answer

    def ended(self, status: Status) -> None:
        """Fire `done`."""
        self.done.callback(self)


def vectors(channel: Channel, texts: list[bytes], tokens: int) -> CallResult:
    """Ask for a batch."""
    watcher = CallResult(False)
    call = channel.call("/myrtlehub.v1.Embeddings/Embed", watcher)
    call.send(
        pb.EmbedRequest(
            terms=pb.Terms(traffic_type="vec"), inputs=[pb.Input(text=t, tokens=tokens) for t in texts]
        ).SerializeToString()
    )
    call.half_close()
    return watcher


def chat(channel: Channel, prompt: int, output: int) -> CallResult:
    """Ask a question."""
    watcher = CallResult(True)
    call = channel.call("/myrtlehub.v1.Chat/Generate", watcher)
    call.send(
        chat_pb2.GenerateRequest(
            traffic_type="ask", prompt_tokens=prompt, most_output=output
        ).SerializeToString()
    )
    call.half_close()
    return watcher


class Bench:
    """All three comparisons."""

    def __init__(self, folder: Path, rounds: int) -> None:
        self.p, self.rounds, self.count = Processes(folder), rounds, 0
        self.random = Random(1)

    def node(self, name: str, engines: dict[str, str], batches: dict, **more: object) -> Channel:
        """A node for these engines (address: kind), and a channel to it."""
        listen, admin = (f"127.0.0.1:{p}" for p in free_ports(2))
        kinds = [
            {"name": "reader", "reads": True, "memory": "300k tokens"},
            {"name": "mixed", "writes": True, "embeds": True, "memory": "200k tokens", "batch": "2k tokens"},
            {"name": "embedder", "embeds": True, "memory": "200k tokens", "batch": "16k tokens"},
        ]
        used = set(engines.values())
        traffic = [
            {
                "name": "vec",
                "front": "embed",
                "repeats": "repeatable",
                "latency_slo": "40s",
                "abandon_time": "60s",
                "utility": 1,
            }
        ]
        if "mixed" in used:
            traffic.append(
                {
                    "name": "ask",
                    "repeats": "repeatable",
                    "latency_slo": "2s",
                    "abandon_time": "10s",
                    "utility": 3,
                }
            )
        self.p.start(
            "node",
            name,
            {
                "node": {"name": name, "listen": listen, "admin": admin, "zone": "z"},
                "traffic": traffic,
                "kinds": [{**k, **more.get(k["name"], {})} for k in kinds if k["name"] in used],
                "zones": ["z"],
                "rules": NODE_RULES,
                "batches": batches,
                "list": {
                    "engines": [
                        {"address": a, "kind": k, "zone": "z", **({"model": "m1"} if k != "reader" else {})}
                        for a, k in engines.items()
                    ]
                },
            },
        )
        return Channel(CLOCK, dialer(reactor)(listen), listen)

    def engine(self, kind: str, **more: object) -> str:
        """A stand-in."""
        self.count += 1
        address = f"127.0.0.1:{free_ports(1)[0]}"
        does = {
            "reader": {"reads": True},
            "mixed": {"writes": True, "embeds": True},
            "embedder": {"embeds": True},
        }[kind]
        name = f"e{self.count}"
        self.p.start("emulator", name, {"name": name, "listen": address, **does, **more})
        return address

    def texts(self, count: int) -> list[bytes]:
        """Never the same again."""
        return [self.random.randbytes(12) for _ in range(count)]

    @inlineCallbacks
    def cut(self) -> Iterator:
        """2,048 inputs: cut over four engines, and whole at one."""
        engines = {self.engine("embedder", batch_rate=120000, batch_queue=64): "embedder" for _ in range(4)}
        channels = {
            "cut over four engines": self.node("cut", engines, {"gather": "0ms", "keep": "0B"}),
            "whole at one": self.node(
                "whole",
                engines,
                {"gather": "0ms", "keep": "0B", "least_part": "1M tokens"},
                embedder={"batch": "1M tokens", "batch_items": 4096},
            ),
        }
        took = {name: HdrHistogram(1, 60_000_000, 3) for name in channels}
        for i in range(self.rounds + 1):
            for name, channel in channels.items():
                done = yield vectors(channel, self.texts(2048), 60).done
                if i and done.answer == "generated":
                    took[name].record_value(int((done.first - done.began) * 1e6))
        for name, h in took.items():
            p50 = h.get_value_at_percentile(50) / 1e6
            click.echo(
                f"batch of 2,048 inputs, 123k tokens, {name}: p50 {p50 * 1e3:.0f} ms "
                f"({2048 / p50:,.0f} inputs a second; {h.total_count} of {self.rounds})"
            )

    @inlineCallbacks
    def gathered(self) -> Iterator:
        """400 small requests in flight at any time: gathered, and one by one."""
        engines = {self.engine("embedder", batch_rate=120000, batch_queue=64): "embedder" for _ in range(2)}
        channels = {
            "gathered within 4 ms": self.node("g", engines, {"keep": "0B"}),
            "one by one": self.node("o", engines, {"keep": "0B", "gather": "0ms"}),
        }
        for name in (*channels, *channels):
            channel, at, each = channels[name], CLOCK.seconds(), 600
            waiting = DeferredList([self.small(channel, i) for i in range(each)])
            results = yield waiting
            took = CLOCK.seconds() - at
            good = sum(r.answer == "generated" for _, r in results)
            click.echo(
                f"requests of 2 inputs, 300 a second, {name}: {good} of {each} answered in "
                f"{took:.2f} s, p50 {quantile(results, 50):.0f}, p99 {quantile(results, 99):.0f} ms"
            )

    def small(self, channel: Channel, i: int) -> Deferred:
        """One of an open loop."""
        started = deferLater(reactor, i / 300, vectors, channel, self.texts(2), 30)
        return started.addCallback(lambda watcher: watcher.done)

    @inlineCallbacks
    def beside(self, seconds: float) -> Iterator:
        """Chat at seventy per cent of its engines, alone and beside ten times its share of embeddings."""
        engines = {self.engine("reader", slots=8, read_rate=20000): "reader" for _ in range(2)}
        engines |= {
            self.engine(
                "mixed",
                slots=16,
                read_rate=12000,
                step="15ms",
                batch_rate=60000,
                batch_drag=0.5,
                batch_queue=64,
            ): "mixed"
            for _ in range(3)
        }
        engines |= {self.engine("embedder", batch_rate=60000, batch_queue=64): "embedder" for _ in range(2)}
        channel = self.node("chat", engines, {"keep": "0B"})
        flood_channel = Channel(CLOCK, channel.dial, "flood")
        seen = {False: HdrHistogram(1, 60_000_000, 3), True: HdrHistogram(1, 60_000_000, 3)}
        good = {False: 0, True: 0}
        floods: list[CallResult] = []
        for i in range(2 * self.rounds):
            flooded = bool(i % 2)
            loop = LoopingCall(lambda: floods.append(vectors(flood_channel, self.texts(200), 60)))
            if flooded:
                loop.start(0.05)  # 240k tokens a second, over what all that embed can do
            chats = []
            asking = LoopingCall(
                lambda chats=chats: chats.append(chat(channel, self.random.choice([300, 400, 2000]), 120))
            )
            asking.start(1.0 / 30)
            yield deferLater(reactor, seconds, lambda: None)
            asking.stop()
            if flooded:
                loop.stop()
            yield DeferredList([c.done for c in chats])
            if i > 1:
                for c in chats:
                    good[flooded] += c.answer == "generated"
                    seen[flooded].record_value(int((c.first - c.began) * 1e6))
            if flooded:
                yield DeferredList([f.done for f in floods])
        for flooded, h in seen.items():
            p50, p99 = (h.get_value_at_percentile(p) / 1e3 for p in (50, 99))
            click.echo(
                f"chat {'beside a flood of embeddings' if flooded else 'alone'}: first token p50 "
                f"{p50:.0f}, p99 {p99:.0f} ms, {good[flooded]} of {h.total_count} generated"
            )
        done = sum(f.answer == "generated" for f in floods)
        click.echo(f"of the flood {done} of {len(floods)} batches were generated")
        ratio = seen[True].get_value_at_percentile(99) / seen[False].get_value_at_percentile(99)
        click.echo(json.dumps({"chat_p99_beside_to_alone": round(ratio, 3)}))


def quantile(results: list[tuple[bool, CallResult]], q: float) -> float:
    """Milliseconds."""
    times = sorted((r.first - r.began) * 1e3 for _, r in results)
    return times[min(len(times) - 1, int(len(times) * q / 100))]


@click.command()
@click.option("--rounds", default=6)
@click.option("--seconds", default=5.0, help="Of chat, a round.")
@click.option("--only", type=click.Choice(["cut", "gathered", "beside"]))
def main(rounds: int, seconds: float, only: str | None) -> None:
    """Run the comparisons."""

    @inlineCallbacks
    def run() -> Iterator:
        parts: dict[str, Callable] = {
            "cut": lambda b: b.cut(),
            "gathered": lambda b: b.gathered(),
            "beside": lambda b: b.beside(seconds),
        }
        for name, part in parts.items():
            if only in (None, name):
                with tempfile.TemporaryDirectory() as folder:
                    bench = Bench(Path(folder), rounds)
                    try:
                        yield part(bench)
                    finally:
                        bench.p.stop()

    run_reactor(run)


if __name__ == "__main__":
    main()
