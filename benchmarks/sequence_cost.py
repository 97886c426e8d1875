"""CPU time of a node per sequence, compared with that of another checkout in alternate rounds. Simulated.

`python benchmarks/sequence_cost.py DIR` with DIR a checkout of an earlier commit.
"""

import tempfile
from collections import Counter
from pathlib import Path

import click
from bench_processes import Steps, open_channel, run_reactor
from relay import ReplyWatcher, SingleNodeFleet, start_sequence
from twisted.internet.defer import DeferredList, inlineCallbacks


@inlineCallbacks
def cpu_per_sequence(fleets: dict[str, SingleNodeFleet], rounds: int, each: int) -> Steps[dict[str, float]]:
    """Run rounds of sequences at both nodes alternately, so that both see the same load of the machine."""
    channels = {name: open_channel(fleet.node) for name, fleet in fleets.items()}
    used = dict.fromkeys(fleets, 0.0)
    for round_index in range(rounds):
        for name, fleet in fleets.items():
            before = fleet.node_cpu()
            done = []
            for _ in range(each):
                watcher = ReplyWatcher(None, Counter())
                start_sequence(channels[name], False, watcher, 200, 20, "")
                done.append(watcher.done)
            yield DeferredList(done)
            if round_index:  # the first round is a warm-up
                used[name] += fleet.node_cpu() - before
    for channel in channels.values():
        channel.close()
    return {name: cpu / (each * (rounds - 1)) for name, cpu in used.items()}


@click.command()
@click.argument("other", type=click.Path(exists=True, file_okay=False))
@click.option("--rounds", default=21)
@click.option("--each", default=100)
def main(other: str, rounds: int, each: int) -> None:
    """Compare the CPU time per sequence with that of the other checkout."""

    @inlineCallbacks
    def run() -> Steps[None]:
        with tempfile.TemporaryDirectory() as here, tempfile.TemporaryDirectory() as there:
            fleets = {
                "other": SingleNodeFleet(Path(there), 2, "2ms", 400, other),
                "here": SingleNodeFleet(Path(here), 2, "2ms", 400),
            }
            try:
                cost = yield cpu_per_sequence(fleets, rounds, each)
            finally:
                for fleet in fleets.values():
                    fleet.stop()
        for name, seconds in cost.items():
            click.echo(f"{name:<6} {seconds * 1e6:.0f} us of processor a sequence")
        click.echo(f"ratio  {cost['here'] / cost['other']:.3f}")

    run_reactor(run)


if __name__ == "__main__":
    main()
