"""hub-scenario: runs a scenario with real processes and prints its verdict."""

import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import click
from twisted.python.failure import Failure

from myrtlehub.cli.event_loop import EventLoopStoppedError, get_event_loop, run_until_fired
from myrtlehub.cli.exits import EXIT_INVALID, exit_invalid, load_or_exit
from myrtlehub.lab.scenario_file import Scenario

if TYPE_CHECKING:
    from myrtlehub.lab.scenario_runner import ScenarioRunner
    from myrtlehub.lab.verdict_format import Verdict


class ScenarioKind(NamedTuple):
    """The class that runs a kind of scenario, and the function that formats its verdict."""

    runner_class: type["ScenarioRunner"]
    format_verdict: "Callable[[Verdict], str]"


def find_scenario(name: str) -> Path:
    """Return the path of a scenario, given by its path or its name in scenarios/."""
    for path in (
        Path(name),
        Path("scenarios") / f"{name}.yaml",
        Path(__file__).parents[2] / "scenarios" / f"{name}.yaml",
    ):
        if path.is_file():
            return path
    return exit_invalid(f"no scenario {name!r}: neither a file nor a name under scenarios/")


@click.command()
@click.argument("scenario")
@click.option(
    "--sequences", type=click.IntRange(1), help="Approximate number of sequences; the duration is unchanged."
)
@click.option("--seed", type=int, help="Random seed; replaces the scenario's.")
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    help="Directory for files, logs and records; it must be empty or not exist.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as JSON.")
@click.option("--quiet", is_flag=True, help="Do not print progress.")
def main(
    scenario: str, sequences: int | None, seed: int | None, keep: Path | None, as_json: bool, quiet: bool
) -> None:
    """Run SCENARIO: a YAML file, or the name of one in scenarios/ (example: hub-scenario bad-day).

    It starts nodes, emulated engines and clients on loopback, each node and engine as a process of its own,
    generates traffic and faults, and checks the five rules against what clients and engines recorded on their
    sockets. Exit status 0: all rules were kept. 1: a rule was broken, or a process exited unexpectedly. 2:
    the scenario could not be run.
    """
    settings = load_or_exit(find_scenario(scenario), Scenario)
    if keep is not None and keep.exists() and any(keep.iterdir()):
        exit_invalid(f"--keep {keep}: the directory is not empty")
    kind = _select_kind(settings)
    with tempfile.TemporaryDirectory(prefix="hub-scenario-") as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        verdict = _play(kind.runner_class, settings, folder, sequences or 0, seed, quiet)
        click.echo(json.dumps(verdict) if as_json else kind.format_verdict(verdict))
    sys.exit(0 if verdict["kept"] else 1)


def _select_kind(scenario: Scenario) -> ScenarioKind:
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
    """Run the event loop until the scenario has ended; save its verdict in the folder and return it."""
    from twisted.internet import reactor

    from myrtlehub.lab.scenario_runner import ScenarioFailedError
    from myrtlehub.lab.verdict import save

    def print_progress(line: str) -> None:
        if not quiet:
            elapsed_s = runner.clock.seconds() - runner.started if runner.started else 0.0
            click.echo(f"{elapsed_s:6.1f} s  {line}", err=True)

    runner = runner_class(scenario, folder.resolve(), reactor, sequences, seed, print_progress)

    try:
        verdict = run_until_fired(get_event_loop(), runner.play)
    except EventLoopStoppedError:
        exit_invalid("interrupted")
    if isinstance(verdict, Failure):
        if isinstance(verdict.value, ScenarioFailedError):
            exit_invalid(f"the scenario could not be run: {verdict.getErrorMessage()}")
        verdict.printTraceback(sys.stderr)  # type: ignore[no-untyped-call] # Twisted has no annotations
        sys.exit(EXIT_INVALID)
    save(verdict, folder)
    return verdict


if __name__ == "__main__":
    main()
