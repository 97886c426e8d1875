"""A fleet of an earlier version of the program and of this one, side by side, through a day of faults.
Simulated.

    git worktree add /tmp/earlier COMMIT
    python benchmarks/between.py /tmp/earlier [--scenario bad-day] [--seeds 3]

Every second node is the earlier program, engines are of this one. The verdict is the day's own: the five
rules, from what passed on sockets. Exit 1 where one was broken.
"""

import sys
import tempfile
from pathlib import Path

import click
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks, returnValue

from myrtlehub.cli.scenario import find_scenario
from myrtlehub.config.loader import load_config
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.scenario_runner import ScenarioRunner
from myrtlehub.lab.verdict import verdict_text


@inlineCallbacks
def play(scenario: str, earlier: str, seeds: int) -> Deferred:
    """All days, one after another; whether the rules were kept in all."""
    kept = True
    for seed in range(1, seeds + 1):
        with tempfile.TemporaryDirectory() as folder:
            day = ScenarioRunner(
                load_config(find_scenario(scenario), Scenario), Path(folder), reactor, seed=seed
            )
            day.checkouts = dict.fromkeys(sorted(day.layout.admin_addresses)[::2], earlier)
            verdict = yield day.play()
        click.echo(
            f"seed {seed}, {len(day.checkouts)} of {len(day.layout.admin_addresses)} nodes of {earlier}"
        )
        click.echo(verdict_text(verdict))
        kept = kept and verdict["kept"]
    returnValue(kept)


@click.command()
@click.argument("earlier", type=click.Path(exists=True, file_okay=False, resolve_path=True))
@click.option("--scenario", default="bad-day")
@click.option("--seeds", default=3)
def main(earlier: str, scenario: str, seeds: int) -> None:
    """Play days with every second node of EARLIER, a checkout."""
    ends: list = []
    reactor.callWhenRunning(
        lambda: play(scenario, earlier, seeds).addBoth(ends.append).addBoth(lambda ignored: reactor.stop())
    )
    reactor.run()
    if ends[0] not in (True, False):
        ends[0].printTraceback()
    sys.exit(0 if ends[0] is True else 1)


if __name__ == "__main__":
    main()
