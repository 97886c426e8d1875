"""What a sequence costs a node, here and in another checkout of ours, asked in turn in one run. Simulated.

`python benchmarks/versions.py DIR` with DIR a checkout of an earlier commit.
"""

import tempfile
from collections.abc import Iterator
from pathlib import Path

import click
from relay import Rig, Watch, ask
from rig import CLOCK, play
from twisted.internet import reactor
from twisted.internet.defer import DeferredList, inlineCallbacks

from myrtlehub.cli.common import dialer
from myrtlehub.rpc.channel import Channel


@inlineCallbacks
def sequences(rigs: dict[str, Rig], rounds: int, each: int) -> Iterator:
    """Rounds of sequences at each node in turn, so that both see the machine at its best and worst."""
    channels = {name: Channel(CLOCK, dialer(reactor)(rig.node), rig.node) for name, rig in rigs.items()}
    used = dict.fromkeys(rigs, 0.0)
    for i in range(rounds):
        for name, rig in rigs.items():
            before = rig.node_cpu()
            watches = []
            for _ in range(each):
                watch = Watch(None, {})
                ask(channels[name], False, watch, 200, 20, "")
                watches.append(watch.done)
            yield DeferredList(watches)
            if i:  # the first round warms both up
                used[name] += rig.node_cpu() - before
    for channel in channels.values():
        channel.close()
    return {name: cpu / (each * (rounds - 1)) for name, cpu in used.items()}


@click.command()
@click.argument("other", type=click.Path(exists=True, file_okay=False))
@click.option("--rounds", default=21)
@click.option("--each", default=100)
def main(other: str, rounds: int, each: int) -> None:
    """Compare the processor time of a sequence with that in OTHER."""

    @inlineCallbacks
    def run() -> Iterator:
        with tempfile.TemporaryDirectory() as here, tempfile.TemporaryDirectory() as there:
            rigs = {"other": Rig(Path(there), 2, "2ms", 400, other), "here": Rig(Path(here), 2, "2ms", 400)}
            try:
                cost = yield sequences(rigs, rounds, each)
            finally:
                for rig in rigs.values():
                    rig.stop()
        for name, seconds in cost.items():
            click.echo(f"{name:<6} {seconds * 1e6:.0f} us of processor a sequence")
        click.echo(f"ratio  {cost['here'] / cost['other']:.3f}")

    play(run)


if __name__ == "__main__":
    main()
