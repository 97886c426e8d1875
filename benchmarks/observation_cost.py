"""The cost of a controller's polls to a node, in time windows with and without polls. Simulated.

    python benchmarks/observation_cost.py [--windows 24] [--each 60] [--interval 1]

One node runs as a process on loopback with some thirty sequences per second; in every other window it is
polled for `Show` and `Figures` at the rate of a controller. Also measures, in this process, the cost of
updating the counters for an answer. Prints CPU time per sequence, and the fraction of a core that polls take.
"""

import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import click
from bench_processes import CLOCK, Steps, open_channel, run_reactor
from relay import ReplyWatcher, SingleNodeFleet, start_sequence
from twisted.internet import reactor
from twisted.internet.defer import DeferredList, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from myrtlehub.node.admin.service import ADMIN_SERVICE


class WindowCost(NamedTuple):
    """One window, in seconds."""

    processor_s: float  # of the node
    duration_s: float


@inlineCallbacks
def measure_windows(
    fleet: SingleNodeFleet, count: int, each: int, interval: float
) -> Steps[dict[bool, list[WindowCost]]]:
    """Measure windows; return those without polls, and those with polls, in order."""
    channel, admin = open_channel(fleet.node), open_channel(fleet.admin)

    def poll() -> None:
        for method in ("Show", "Figures"):
            admin.unary(ADMIN_SERVICE + method, b"", timeout=2.0)

    cost: dict[bool, list[WindowCost]] = {False: [], True: []}
    for window in range(count + 2):
        polls = LoopingCall(poll)
        if window % 2:
            polls.start(interval, now=True)
        before, began = fleet.node_cpu(), CLOCK.seconds()
        done = []
        for _ in range(each):
            watcher = ReplyWatcher(None, Counter())
            start_sequence(channel, False, watcher, 200, 20, "")
            done.append(watcher.done)
            yield deferLater(reactor, 0.03, lambda: None)  # some thirty sequences per second
        yield DeferredList(done)
        if polls.running:
            polls.stop()
        if window >= 2:  # the first window of each kind is a warm-up
            cost[bool(window % 2)].append(WindowCost(fleet.node_cpu() - before, CLOCK.seconds() - began))
    channel.close()
    admin.close()
    return cost


def counter_update_cost(times: int = 20000) -> float:
    """Return the seconds that it takes to update the counters for one answer."""
    from types import SimpleNamespace

    from myrtlehub.node.traffic_counters import TrafficCounters
    from myrtlehub.routing.contract import Arrival

    row = SimpleNamespace(name="ask", utility=1.0, latency_slo=1.0, slo_per_1000_tokens=0.0, late_share=0.0)
    observers: list[Any] = []
    # A stub, of which only these two attributes are used: an executor needs a node with its servers.
    executor: Any = SimpleNamespace(decoder=SimpleNamespace(rows=[row]), add_observer=observers.append)
    sequence = SimpleNamespace(
        arrival=Arrival(
            traffic=0,
            tenant=None,
            prompt_tokens=500.0,
            time_left=10.0,
            session=0,
            prefix=0,
            shared_tokens=0.0,
            max_output_tokens=400.0,
            expected_seconds=0.0,
        ),
        attempts=[1, 2],
        accepted_at=1.0,
        answer=SimpleNamespace(state="generated"),
        first_token_latency=0.2,
    )
    counters = TrafficCounters()
    counters.observe(executor, executor.decoder.traffic_types)
    began = time.process_time()
    for i in range(times):
        sequence.first_token_latency = 0.1 + i % 100 / 500.0
        observers[0].answered(sequence)
    return (time.process_time() - began) / times


@click.command()
@click.option("--windows", "count", default=24)
@click.option("--each", default=60)
@click.option("--interval", default=1.0, help="Seconds between polls.")
def main(count: int, each: int, interval: float) -> None:
    """Print the cost."""

    @inlineCallbacks
    def run() -> Steps[None]:
        with tempfile.TemporaryDirectory() as here:
            fleet = SingleNodeFleet(Path(here), 2, "2ms", 400)
            try:
                cost = yield measure_windows(fleet, count, each, interval)
            finally:
                fleet.stop()
        for polled, name in ((False, "without polls"), (True, "with polls")):
            mean_us = statistics.mean(window.processor_s for window in cost[polled]) / each * 1e6
            print(f"{name}: {mean_us:.0f} us of processor a sequence, {len(cost[polled])} windows of {each}")
        pairs = [
            (polled.processor_s - quiet.processor_s) / polled.duration_s
            for quiet, polled in zip(cost[False], cost[True], strict=True)
        ]
        print(
            f"a poll every {interval:g} s takes {statistics.mean(pairs) * 100:.2f}% of a core, pair by pair "
            f"(deviation of the mean {statistics.stdev(pairs) / len(pairs) ** 0.5 * 100:.2f})"
        )
        print(f"counters: {counter_update_cost() * 1e6:.1f} us an answer")

    run_reactor(run)


if __name__ == "__main__":
    main()
