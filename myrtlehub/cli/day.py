"""hub-day: plays a scripted day with real processes and judges it."""

import json
import sys
import tempfile
from pathlib import Path

import click

from myrtlehub.cli.common import fail, sheet_of
from myrtlehub.lab.scenario import Scenario


def found(name: str) -> Path:
    """A scenario by path, or by name among scenarios/."""
    for path in (
        Path(name),
        Path("scenarios") / f"{name}.yaml",
        Path(__file__).parents[2] / "scenarios" / f"{name}.yaml",
    ):
        if path.is_file():
            return path
    fail(f"no scenario {name!r}: neither a file nor a name under scenarios/")


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
    """Play SCENARIO: a YAML file, or the name of one under scenarios/ (try: hub-day bad-day).

    Starts nodes, stand-in engines and clients on loopback, each node and engine a process of its own, plays
    traffic and faults, and checks the five rules against what clients and engines recorded on their sockets.
    Exit 0: all kept. 1: a rule was broken, or a process ended as it should not. 2: it could not be played.
    """
    sheet = sheet_of(found(scenario), Scenario)
    if keep is not None and keep.exists() and any(keep.iterdir()):
        fail(f"--keep {keep}: not empty")
    from twisted.internet import reactor

    from myrtlehub.lab.day import Day, DayFailed, as_text, save
    from myrtlehub.lab.rolling import RollingDay, rolling_as_text
    from myrtlehub.lab.takeover import TakeoverDay, takeover_as_text

    kind, text = (
        (RollingDay, rolling_as_text)
        if sheet.roll
        else (TakeoverDay, takeover_as_text)
        if sheet.takeover
        else (Day, as_text)
    )
    with tempfile.TemporaryDirectory(prefix="hub-day-") as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        verdicts: list = []

        def say(line: str) -> None:
            if not quiet:
                at = day.clock.seconds() - day.started if day.started else 0.0
                click.echo(f"{at:6.1f} s  {line}", err=True)

        day = kind(sheet, folder.resolve(), reactor, sequences or 0, seed, say)

        def start() -> None:
            day.play().addBoth(verdicts.append).addBoth(lambda ignored: reactor.stop())

        reactor.callWhenRunning(start)
        reactor.run()
        if not verdicts:
            fail("interrupted")
        verdict = verdicts[0]
        if not isinstance(verdict, dict):
            if verdict.check(DayFailed):
                fail(f"the day could not be played: {verdict.getErrorMessage()}")
            verdict.printTraceback(sys.stderr)
            sys.exit(2)
        save(verdict, folder)
        click.echo(json.dumps(verdict) if as_json else text(verdict))
    sys.exit(0 if verdict["kept"] else 1)


if __name__ == "__main__":
    main()
