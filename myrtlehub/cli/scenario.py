"""hub-scenario: plays a scenario with real processes and gives a verdict on it."""

import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import click
from twisted.python.failure import Failure

from myrtlehub.cli.common import fail, load_or_exit
from myrtlehub.lab.scenario_file import Scenario

if TYPE_CHECKING:
    from myrtlehub.lab.scenario_runner import ScenarioRunner


class ScenarioKind(NamedTuple):
    """What plays a scenario, and how its verdict is printed."""

    runner_class: type["ScenarioRunner"]
    to_text: Callable[[dict], str]


def find_scenario(name: str) -> Path:
    """Return a scenario by path, or by name among scenarios/."""
    for path in (
        Path(name),
        Path("scenarios") / f"{name}.yaml",
        Path(__file__).parents[2] / "scenarios" / f"{name}.yaml",
    ):
        if path.is_file():
            return path
    return fail(f"no scenario {name!r}: neither a file nor a name under scenarios/")


@click.command()
@click.argument("scenario")
@click.option("--sequences", type=click.IntRange(1), help="About how many sequences, over the same length.")
@click.option("--seed", type=int, help="Instead of the scenario's.")
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    help="Keep files, logs and records in this folder, which must be empty or not be there.",
)
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON, for programs.")
@click.option("--quiet", is_flag=True, help="No progress.")
def main(
    scenario: str, sequences: int | None, seed: int | None, keep: Path | None, as_json: bool, quiet: bool
) -> None:
    """Play SCENARIO: a YAML file, or the name of one under scenarios/ (try: hub-scenario bad-day).

    Starts nodes, emulated engines and clients on loopback, each node and engine a process of its own, plays
    traffic and faults, and checks the five rules against what clients and engines recorded on their sockets.
    Exit 0: all kept. 1: a rule was broken, or a process ended as it should not. 2: it could not be played.
    """
    plan = load_or_exit(find_scenario(scenario), Scenario)
    if keep is not None and keep.exists() and any(keep.iterdir()):
        fail(f"--keep {keep}: not empty")
    kind = _kind_of(plan)
    with tempfile.TemporaryDirectory(prefix="hub-scenario-") as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        verdict = _play(kind.runner_class, plan, folder, sequences or 0, seed, quiet)
        click.echo(json.dumps(verdict) if as_json else kind.to_text(verdict))
    sys.exit(0 if verdict["kept"] else 1)


def _kind_of(scenario: Scenario) -> ScenarioKind:
    from myrtlehub.lab.rollout_scenario import RolloutRunner, rollout_text
    from myrtlehub.lab.scenario_runner import ScenarioRunner
    from myrtlehub.lab.takeover_scenario import TakeoverRunner, takeover_text
    from myrtlehub.lab.verdict_text import verdict_text

    if scenario.roll:
        return ScenarioKind(RolloutRunner, rollout_text)
    if scenario.takeover:
        return ScenarioKind(TakeoverRunner, takeover_text)
    return ScenarioKind(ScenarioRunner, verdict_text)


def _play(
    runner_class: type["ScenarioRunner"],
    scenario: Scenario,
    folder: Path,
    sequences: int,
    seed: int | None,
    quiet: bool,
) -> dict:
    """Play in a reactor that runs until the end; return the verdict, and save it in the folder."""
    from twisted.internet import reactor

    from myrtlehub.lab.scenario_runner import ScenarioFailedError
    from myrtlehub.lab.verdict import save

    results: list[dict | Failure] = []

    def report(line: str) -> None:
        if not quiet:
            at = runner.clock.seconds() - runner.started if runner.started else 0.0
            click.echo(f"{at:6.1f} s  {line}", err=True)

    runner = runner_class(scenario, folder.resolve(), reactor, sequences, seed, report)

    def start() -> None:
        runner.play().addBoth(results.append).addBoth(lambda ignored: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if not results:
        fail("interrupted")
    verdict = results[0]
    if isinstance(verdict, Failure):
        if verdict.check(ScenarioFailedError):
            fail(f"the day could not be played: {verdict.getErrorMessage()}")
        verdict.printTraceback(sys.stderr)
        sys.exit(2)
    save(verdict, folder)
    return verdict


if __name__ == "__main__":
    main()
