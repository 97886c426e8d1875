"""Batches: split or undivided, merged or one by one, and chat during a flood of embeddings. Simulated.

`python benchmarks/batch_throughput.py` starts emulated engines and nodes as processes on loopback. The two
sides of a comparison alternate within one run, so that both run under the same load of the machine.
"""

import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random

import click
from bench_processes import CLOCK, NODE_RULES, Processes, Settings, Steps, open_channel, run_reactor
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from myrtlehub.lab.processes import free_ports
from myrtlehub.proto import chat_pb2
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Status

KINDS: tuple[Settings, ...] = (
    {"name": "reader", "reads": True, "memory": "300k tokens"},
    {"name": "mixed", "writes": True, "embeds": True, "memory": "200k tokens", "batch": "2k tokens"},
    {"name": "embedder", "embeds": True, "memory": "200k tokens", "batch": "16k tokens"},
)
EMBEDDING_TRAFFIC: Settings = {
    "name": "vec",
    "front": "embed",
    "repeats": "repeatable",
    "latency_slo": "40s",
    "abandon_time": "60s",
    "utility": 1,
}
CHAT_TRAFFIC: Settings = {
    "name": "ask",
    "repeats": "repeatable",
    "latency_slo": "2s",
    "abandon_time": "10s",
    "utility": 3,
}
CHAT_RATE = 30.0  # sequences per second
FLOOD_INTERVAL = 0.05  # seconds; 240k tokens per second, more than all embedding engines can process


def fleet_settings(engines: dict[str, str], kind_settings: dict[str, Settings]) -> Settings:
    """Return the part of a node's settings that describes its engines (address: kind) and their traffic.

    Args:
        engines: the kind of each engine, by its address.
        kind_settings: further settings of a kind, by its name.
    """
    used_kinds = set(engines.values())
    return {
        "traffic": [EMBEDDING_TRAFFIC, *([CHAT_TRAFFIC] if "mixed" in used_kinds else [])],
        "kinds": [{**k, **kind_settings.get(k["name"], {})} for k in KINDS if k["name"] in used_kinds],
        "zones": ["z"],
        "rules": NODE_RULES,
        "list": {
            "engines": [
                {"address": a, "kind": k, "zone": "z", **({"model": "m1"} if k != "reader" else {})}
                for a, k in engines.items()
            ]
        },
    }


class CallResult(CallWatcher):
    """One call: when its first reply came, and its final answer."""

    def __init__(self, is_chat: bool) -> None:
        self.is_chat = is_chat
        self.started_at = CLOCK.seconds()
        self.first_reply_at = 0.0  # stays 0 without a reply, which makes the latency negative
        self.done: Deferred[CallResult] = Deferred()
        self.answer: str | None = None

    def latency(self) -> float:
        """Return the seconds until the first reply."""
        return self.first_reply_at - self.started_at

    def message(self, data: bytes) -> None:
        """Record the time of the first reply, and the final answer."""
        self.first_reply_at = self.first_reply_at or CLOCK.seconds()
        if self.is_chat:
            self.answer = chat_pb2.GenerateReply.FromString(data).WhichOneof("reply")
        else:
            self.answer = pb.EmbedReply.FromString(data).final.WhichOneof("answer") or self.answer

    def ended(self, status: Status) -> None:
        """Fire `done`."""
        self.done.callback(self)


def embed(channel: Channel, texts: list[bytes], tokens: int) -> CallResult:
    """Send a batch of embeddings."""
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
    """Send a chat request."""
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
        self.processes, self.rounds, self.engine_count = Processes(folder), rounds, 0
        self.random = Random(1)

    def node(
        self, name: str, engines: dict[str, str], batches: Settings, **kind_settings: Settings
    ) -> Channel:
        """Start a node for these engines (address: kind), and return a channel to it."""
        listen, admin = (f"127.0.0.1:{p}" for p in free_ports(2))
        addresses = {"name": name, "listen": listen, "admin": admin, "zone": "z"}
        fleet = fleet_settings(engines, kind_settings)
        self.processes.start("node", name, {"node": addresses, "batches": batches, **fleet})
        return open_channel(listen)

    def engine(self, kind: str, **settings: object) -> str:
        """Start an emulated engine, and return its address."""
        self.engine_count += 1
        address = f"127.0.0.1:{free_ports(1)[0]}"
        tasks = {
            "reader": {"reads": True},
            "mixed": {"writes": True, "embeds": True},
            "embedder": {"embeds": True},
        }[kind]
        name = f"e{self.engine_count}"
        self.processes.start("emulator", name, {"name": name, "listen": address, **tasks, **settings})
        return address

    def texts(self, count: int) -> list[bytes]:
        """Return inputs that occur in no other batch."""
        return [self.random.randbytes(12) for _ in range(count)]

    @inlineCallbacks
    def compare_splitting(self) -> Steps[None]:
        """Compare a batch of 2,048 inputs split over four engines with the same batch at one engine."""
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
                done = yield embed(channel, self.texts(2048), 60).done
                if i and done.answer == "generated":
                    took[name].record_value(int(done.latency() * 1e6))
        for name, h in took.items():
            p50 = h.get_value_at_percentile(50) / 1e6
            click.echo(
                f"batch of 2,048 inputs, 123k tokens, {name}: p50 {p50 * 1e3:.0f} ms "
                f"({2048 / p50:,.0f} inputs a second; {h.total_count} of {self.rounds})"
            )

    @inlineCallbacks
    def compare_merging(self) -> Steps[None]:
        """Compare 300 small requests per second, merged into batches, with the same requests sent singly."""
        engines = {self.engine("embedder", batch_rate=120000, batch_queue=64): "embedder" for _ in range(2)}
        channels = {
            "gathered within 4 ms": self.node("g", engines, {"keep": "0B"}),
            "one by one": self.node("o", engines, {"keep": "0B", "gather": "0ms"}),
        }
        for name in (*channels, *channels):
            channel, started_at, each = channels[name], CLOCK.seconds(), 600
            results = yield DeferredList([self.small(channel, i) for i in range(each)])
            took_s = CLOCK.seconds() - started_at
            good = sum(r.answer == "generated" for _, r in results)
            click.echo(
                f"requests of 2 inputs, 300 a second, {name}: {good} of {each} answered in "
                f"{took_s:.2f} s, p50 {quantile(results, 50):.0f}, p99 {quantile(results, 99):.0f} ms"
            )

    def small(self, channel: Channel, i: int) -> "Deferred[CallResult]":
        """Send one small request at its scheduled time (open loop)."""
        started = deferLater(reactor, i / 300, embed, channel, self.texts(2), 30)
        return started.addCallback(_done_of)

    @inlineCallbacks
    def compare_flood(self, seconds: float) -> Steps[None]:
        """Compare chat traffic at 70% of its engines' capacity, alone and during a flood of embeddings."""
        channel = self.node("chat", self.chat_and_embedding_engines(), {"keep": "0B"})
        flood_channel = Channel(CLOCK, channel.dial, "flood")
        figures = {False: ChatFigures(), True: ChatFigures()}
        floods: list[CallResult] = []
        for i in range(2 * self.rounds):
            is_flooded = bool(i % 2)
            flood = LoopingCall(lambda: floods.append(embed(flood_channel, self.texts(200), 60)))
            if is_flooded:
                flood.start(FLOOD_INTERVAL)
            chats = yield self.send_chats(channel, seconds)
            if is_flooded:
                flood.stop()
            yield DeferredList([c.done for c in chats])
            if i > 1:  # the first round of each kind is a warm-up
                figures[is_flooded].add(chats)
            if is_flooded:
                yield DeferredList([f.done for f in floods])
        print_flood(figures[False], figures[True], floods)

    def chat_and_embedding_engines(self) -> dict[str, str]:
        """Start readers, writers that also embed, and embedders; return their kinds by address."""
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
        return engines

    @inlineCallbacks
    def send_chats(self, channel: Channel, seconds: float) -> Steps[list[CallResult]]:
        """Send chat requests for this time; return the calls, some of which still run."""
        chats: list[CallResult] = []
        arrivals = LoopingCall(lambda: chats.append(chat(channel, self.random.choice([300, 400, 2000]), 120)))
        arrivals.start(1.0 / CHAT_RATE)
        yield deferLater(reactor, seconds, lambda: None)
        arrivals.stop()
        return chats


class ChatFigures:
    """Latencies and answers of chat requests."""

    def __init__(self) -> None:
        self.latencies = HdrHistogram(1, 60_000_000, 3)  # microseconds
        self.generated = 0

    def add(self, chats: list[CallResult]) -> None:
        """Add calls that have ended."""
        for call in chats:
            self.generated += call.answer == "generated"
            self.latencies.record_value(int(call.latency() * 1e6))


def print_flood(alone: ChatFigures, flooded: ChatFigures, floods: list[CallResult]) -> None:
    """Print the chat figures without and during the flood, and how much of the flood was answered."""
    for name, figures in (("alone", alone), ("beside a flood of embeddings", flooded)):
        p50, p99 = (figures.latencies.get_value_at_percentile(p) / 1e3 for p in (50, 99))
        click.echo(
            f"chat {name}: first token p50 {p50:.0f}, p99 {p99:.0f} ms, "
            f"{figures.generated} of {figures.latencies.total_count} generated"
        )
    done = sum(f.answer == "generated" for f in floods)
    click.echo(f"of the flood {done} of {len(floods)} batches were generated")
    ratio = flooded.latencies.get_value_at_percentile(99) / alone.latencies.get_value_at_percentile(99)
    click.echo(json.dumps({"chat_p99_beside_to_alone": round(ratio, 3)}))


def _done_of(watcher: CallResult) -> "Deferred[CallResult]":
    return watcher.done


def quantile(results: list[tuple[bool, CallResult]], q: float) -> float:
    """Return a percentile of the latencies in milliseconds."""
    times = sorted(r.latency() * 1e3 for _, r in results)
    return times[min(len(times) - 1, int(len(times) * q / 100))]


@click.command()
@click.option("--rounds", default=6)
@click.option("--seconds", default=5.0, help="Of chat, a round.")
@click.option("--only", type=click.Choice(["cut", "gathered", "beside"]))
def main(rounds: int, seconds: float, only: str | None) -> None:
    """Run the comparisons."""

    @inlineCallbacks
    def run() -> Steps[None]:
        parts: dict[str, Callable[[Bench], Deferred[None]]] = {
            "cut": lambda bench: bench.compare_splitting(),
            "gathered": lambda bench: bench.compare_merging(),
            "beside": lambda bench: bench.compare_flood(seconds),
        }
        for name, part in parts.items():
            if only in (None, name):
                with tempfile.TemporaryDirectory() as folder:
                    bench = Bench(Path(folder), rounds)
                    try:
                        yield part(bench)
                    finally:
                        bench.processes.stop()

    run_reactor(run)


if __name__ == "__main__":
    main()
