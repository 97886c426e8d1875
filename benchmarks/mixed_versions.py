"""Plays a scenario with a fleet of two versions: every other node runs an earlier checkout. Simulated.

    git worktree add /tmp/earlier COMMIT
    python benchmarks/mixed_versions.py /tmp/earlier [--scenario bad-day] [--seeds 3]

Engines run this version. The verdict is that of the scenario: the five rules, checked on the observed
traffic. Exits with 1 if a rule was broken.
"""

import sys
import tempfile
from pathlib import Path

import click
from bench_processes import Steps, run_reactor
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from myrtlehub.cli.scenario import find_scenario
from myrtlehub.config.loader import load_config
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.scenario_runner import ScenarioRunner
from myrtlehub.lab.verdict_text import verdict_text


@inlineCallbacks
def run_scenarios(scenario: str, earlier: str, seeds: int) -> Steps[bool]:
    """Run a scenario for each seed; return whether every run obeyed the rules."""
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
    return all_obeyed


@click.command()
@click.argument("earlier", type=click.Path(exists=True, file_okay=False, resolve_path=True))
@click.option("--scenario", default="bad-day")
@click.option("--seeds", default=3)
def main(earlier: str, scenario: str, seeds: int) -> None:
    """Run scenarios in which every other node runs the checkout EARLIER."""
    verdicts: list[bool] = []
    run_reactor(lambda: run_scenarios(scenario, earlier, seeds).addCallback(verdicts.append))
    sys.exit(0 if verdicts == [True] else 1)


if __name__ == "__main__":
    main()
