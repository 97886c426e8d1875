"""hub-scenario: plays a scenario with real processes and prints the verdict on it."""

import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import click
from twisted.python.failure import Failure

from myrtlehub.cli.event_loop import EventLoopStoppedError, get_event_loop, run_until_fired
from myrtlehub.cli.exits import INVALID, fail, load_or_exit
from myrtlehub.lab.scenario_file import Scenario

if TYPE_CHECKING:
    from myrtlehub.lab.scenario_runner import ScenarioRunner
    from myrtlehub.lab.verdict_format import Verdict


class ScenarioKind(NamedTuple):
    """The class that plays a kind of scenario, and the function that formats its verdict."""

    runner_class: type["ScenarioRunner"]
    to_text: "Callable[[Verdict], str]"


def find_scenario(name: str) -> Path:
    """Return the path of a scenario, which is given by path or by its name in scenarios/."""
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
@click.option(
    "--sequences", type=click.IntRange(1), help="Approximate number of sequences; the length stays."
)
@click.option("--seed", type=int, help="Random seed, in place of the scenario's.")
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for files, logs and records; it must be empty or not exist.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as JSON.")
@click.option("--quiet", is_flag=True, help="Print no progress.")
def main(
    scenario: str, sequences: int | None, seed: int | None, keep: Path | None, as_json: bool, quiet: bool
) -> None:
    """Play SCENARIO: a YAML file, or the name of one in scenarios/ (example: hub-scenario bad-day).

    It starts nodes, emulated engines and clients on loopback, each node and engine as a process of its own,
    generates traffic and faults, and checks the five rules against what clients and engines recorded on their
    sockets. Exit status 0: all rules were kept. 1: a rule was broken, or a process exited unexpectedly. 2:
    the scenario could not be played.
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
) -> "Verdict":
    """Run the event loop until the scenario has ended; save its verdict in the folder, and return it."""
    from twisted.internet import reactor

    from myrtlehub.lab.scenario_runner import ScenarioFailedError
    from myrtlehub.lab.verdict import save

    def report(line: str) -> None:
        if not quiet:
            at = runner.clock.seconds() - runner.started if runner.started else 0.0
            click.echo(f"{at:6.1f} s  {line}", err=True)

    runner = runner_class(scenario, folder.resolve(), reactor, sequences, seed, report)

    try:
        verdict = run_until_fired(get_event_loop(), runner.play)
    except EventLoopStoppedError:
        fail("interrupted")
    if isinstance(verdict, Failure):
        if isinstance(verdict.value, ScenarioFailedError):
            fail(f"the day could not be played: {verdict.getErrorMessage()}")
        verdict.printTraceback(sys.stderr)  # type: ignore[no-untyped-call] # Twisted has no annotation
        sys.exit(INVALID)
    save(verdict, folder)
    return verdict


if __name__ == "__main__":
    main()
