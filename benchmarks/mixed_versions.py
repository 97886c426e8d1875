"""Scenario over a fleet of two versions: every second node runs an earlier checkout. Simulated.

    git worktree add /tmp/earlier COMMIT
    python benchmarks/mixed_versions.py /tmp/earlier [--scenario bad-day] [--seeds 3]

Engines are of this version. The verdict is that of the scenario: the five rules, checked on what passed on
sockets. Exit 1 if one was broken.
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
from myrtlehub.lab.verdict_text import verdict_text


@inlineCallbacks
def run_scenarios(scenario: str, earlier: str, seeds: int) -> Deferred:
    """Run a scenario for each seed; whether every run obeyed the rules."""
    all_obeyed = True
    for seed in range(1, seeds + 1):
        with tempfile.TemporaryDirectory() as folder:
            runner = ScenarioRunner(
                load_config(find_scenario(scenario), Scenario), Path(folder), reactor, seed=seed
            )
            runner.fleet.checkouts = dict.fromkeys(sorted(runner.fleet.layout.admin_addresses)[::2], earlier)
            verdict = yield runner.play()
        node_count = len(runner.fleet.layout.admin_addresses)
        click.echo(f"seed {seed}, {len(runner.fleet.checkouts)} of {node_count} nodes of {earlier}")
        click.echo(verdict_text(verdict))
        all_obeyed = all_obeyed and verdict["kept"]
    returnValue(all_obeyed)


@click.command()
@click.argument("earlier", type=click.Path(exists=True, file_okay=False, resolve_path=True))
@click.option("--scenario", default="bad-day")
@click.option("--seeds", default=3)
def main(earlier: str, scenario: str, seeds: int) -> None:
    """Run scenarios with every second node of EARLIER, a checkout."""
    ends: list = []
    reactor.callWhenRunning(
        lambda: (
            run_scenarios(scenario, earlier, seeds)
            .addBoth(ends.append)
            .addBoth(lambda ignored: reactor.stop())
        )
    )
    reactor.run()
    if ends[0] not in (True, False):
        ends[0].printTraceback()
    sys.exit(0 if ends[0] is True else 1)


if __name__ == "__main__":
    main()
