"""What it costs a node that a controller looks at it, in windows of time with and without looks. Simulated.

    python benchmarks/told.py [--windows 24] [--each 60] [--look 1]

One node as a process on loopback, sequences one after another at a time; in every second window it is asked
for `Show` and `Figures` as often as a controller does. Beside it: what keeping the sums costs an answer, in
this process. Prints processor time a sequence, and the share of a core that looks take.
"""

import statistics
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import click
from relay import Rig, Watch, ask
from rig import CLOCK, play
from twisted.internet import reactor
from twisted.internet.defer import DeferredList, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from myrtlehub.cli.common import dialer
from myrtlehub.node.admin.service import SERVICE
from myrtlehub.rpc.channel import Channel


@inlineCallbacks
def windows(rig: Rig, count: int, each: int, look: float) -> Iterator:
    """Seconds of processor a sequence, and seconds a window, without looks and with them."""
    channel = Channel(CLOCK, dialer(reactor)(rig.node), rig.node)
    admin = Channel(CLOCK, dialer(reactor)(rig.admin), rig.admin)

    def looked() -> None:
        for method in ("Show", "Figures"):
            admin.unary(SERVICE + method, b"", timeout=2.0)

    cost: dict[bool, list[float]] = {False: [], True: []}
    for i in range(count + 2):
        looks = LoopingCall(looked)
        if i % 2:
            looks.start(look, now=True)
        before, began = rig.node_cpu(), CLOCK.seconds()
        done = []
        for _ in range(each):
            watch = Watch(None, {})
            ask(channel, False, watch, 200, 20, "")
            done.append(watch.done)
            yield deferLater(reactor, 0.03, lambda: None)  # some thirty a second, as a node sees them
        yield DeferredList(done)
        if looks.running:
            looks.stop()
        if i >= 2:  # the first of each warm up
            cost[bool(i % 2)].append((rig.node_cpu() - before, CLOCK.seconds() - began))
    channel.close()
    admin.close()
    return cost


def counting(times: int = 20000) -> float:
    """Seconds that one answer's sums take."""
    from types import SimpleNamespace

    from myrtlehub.node.traffic_counters import TrafficCounters

    row = SimpleNamespace(name="ask", utility=1.0, latency_slo=1.0, slo_per_1000_tokens=0.0, late_share=0.0)
    host = SimpleNamespace(decoder=SimpleNamespace(rows=[row]))
    held = SimpleNamespace(
        arrival=SimpleNamespace(traffic=0, prompt=500.0),
        attempts=[1, 2],
        accepted_at=1.0,
        answer=SimpleNamespace(state="generated"),
        first_token_at=1.2,
    )
    counters = TrafficCounters()
    counters.follow(host)
    began = time.process_time()
    for i in range(times):
        held.first_token_at = 1.1 + i % 100 / 500.0
        host.on_answered(held)
    return (time.process_time() - began) / times


@click.command()
@click.option("--windows", "count", default=24)
@click.option("--each", default=60)
@click.option("--look", default=1.0, help="seconds from look to look")
def main(count: int, each: int, look: float) -> None:
    """Print the cost."""

    @inlineCallbacks
    def run() -> Iterator:
        with tempfile.TemporaryDirectory() as here:
            rig = Rig(Path(here), 2, "2ms", 400)
            try:
                cost = yield windows(rig, count, each, look)
            finally:
                rig.stop()
        for looks, name in ((False, "without looks"), (True, "with looks")):
            print(
                f"{name}: {statistics.mean(c for c, _ in cost[looks]) / each * 1e6:.0f} us of processor a "
                f"sequence, {len(cost[looks])} windows of {each}"
            )
        pairs = [(b - a) / seconds for (a, _), (b, seconds) in zip(cost[False], cost[True], strict=True)]
        print(
            f"a look every {look:g} s takes {statistics.mean(pairs) * 100:.2f}% of a core, pair by pair "
            f"(deviation of the mean {statistics.stdev(pairs) / len(pairs) ** 0.5 * 100:.2f})"
        )
        print(f"sums: {counting() * 1e6:.1f} us an answer")

    play(run)


if __name__ == "__main__":
    main()
