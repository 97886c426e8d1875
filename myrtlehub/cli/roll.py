"""hub-roll: changes the program or the settings of a fleet in stages, and undoes a change that does worse."""

import json
import sys
from pathlib import Path

import click

from myrtlehub.cli.common import dialer, fail, sheet_of
from myrtlehub.config.plans import PlanSheet

PLAN = click.argument("plan", type=click.Path(path_type=Path))


@click.group()
def main() -> None:
    """Rolling changes by a PLAN, a YAML file (docs/operators/rolling-change.md).

    Exit 0: the change is kept. 1: it was undone; the last line says why. 2: the plan or the fleet is wrong,
    and nothing was done. 3: stuck, people are needed. 4: the journal cannot be written. 5: another controller
    has taken over. In 4 and 5 nodes are left as they are.
    """


def _roller(plan: Path, say: object) -> object:
    from twisted.internet import reactor

    from myrtlehub.cli.roller import CannotRoll, Roller
    from myrtlehub.node.clock import SteadyClock

    sheet = sheet_of(plan, PlanSheet)
    try:
        return Roller(
            sheet, plan.read_text(), plan.resolve().parent, SteadyClock(reactor), dialer(reactor), say
        )
    except CannotRoll as fault:
        fail(f"{plan}: {fault}")


def _say(event: str, **more: object) -> None:
    """A line for people on a terminal, JSON otherwise."""
    if not sys.stdout.isatty():
        click.echo(json.dumps({"event": event, **more}))
    elif event == "node":
        click.echo(f"  {more['node']}: {more['was']} -> {more['now']} ({more['by']})")
    elif event == "change":
        why = f": {more['why']}" if more["why"] else ""
        click.echo(f"{more['was']} -> {more['now']}, stage {more['stage']} ({more['by']}){why}")
    else:
        click.echo(f"{event}: " + ", ".join(f"{k} {v}" for k, v in more.items()))


def _go(plan: Path, again: bool, undo: bool = False) -> None:
    from twisted.internet import reactor

    from myrtlehub.cli.roller import CannotRoll
    from myrtlehub.node.process import on_term

    roller, codes = _roller(plan, _say), []

    def begin() -> None:
        try:
            done = roller.run(again, undo)
        except CannotRoll as fault:
            click.echo(f"{plan}: {fault}", err=True)
            codes.append(fault.code)
            reactor.stop()
            return
        done.addBoth(codes.append).addBoth(lambda ignored: reactor.stop())

    on_term(reactor.stop, reactor)  # the journal has all: `resume` goes on
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    sys.exit(codes[0] if codes and isinstance(codes[0], int) else 2)


@main.command()
@PLAN
def check(plan: Path) -> None:
    """Check PLAN and all files that it names, and say what it would do. Exit 0: sound. 2: not."""
    from myrtlehub.cli.roller import CannotRoll

    roller = _roller(plan, _say)
    names = [n.name for n in roller.sheet.nodes]
    try:
        for i in range(len(names)):
            for which in ("was", "now"):
                roller._file(i, which)
    except CannotRoll as fault:
        fail(str(fault))
    for number, stage in enumerate(roller.plan.stages, 1):
        click.echo(f"stage {number}: {', '.join(names[i] for i in stage)}")
    click.echo(
        f"{plan}: sound; {len(names)} nodes, {len(roller.plan.stages)} stages, "
        f"{len(roller._judge(['each']).guards)} guards"
    )


@main.command()
@PLAN
def run(plan: Path) -> None:
    """Begin the change of PLAN and see it through."""
    _go(plan, False)


@main.command()
@PLAN
def resume(plan: Path) -> None:
    """Go on with a change whose controller ended, from its journal."""
    _go(plan, True)


@main.command()
@PLAN
def undo(plan: Path) -> None:
    """Take back a change, whatever it has come to. Where a controller is at work, it is told."""
    from filelock import FileLock, Timeout

    path = _roller(plan, _say).journal.path
    if not path.exists():
        fail(f"{path}: there is no such journal, so there is nothing to undo")
    lock = FileLock(f"{path}.lock")
    try:
        lock.acquire(timeout=0)
    except Timeout:
        Path(f"{path}.undo").touch()
        click.echo("the controller at work was asked to undo")
        return
    lock.release()
    _go(plan, True, True)


@main.command()
@PLAN
def show(plan: Path) -> None:
    """Where the change of PLAN stands, by its journal, and what led there. Asks no node."""
    from myrtlehub.rollout.journal import JournalBroken, unpack

    roller = _roller(plan, _say)
    path = roller.journal.path
    try:
        head, entries, whole = unpack(path.read_bytes())
    except FileNotFoundError:
        fail(f"{path}: there is no such journal; the change was not begun")
    except JournalBroken as fault:
        fail(f"{path}: {fault}")
    for entry in entries:
        roller._replay(entry)
        if entry.why:
            who = head.nodes[entry.who] if entry.who >= 0 else "change"
            click.echo(f"{who}: {entry.event}: {entry.why}")
    standing = roller.standing
    click.echo(
        f"{standing.change}, stage {standing.stage + 1} of {len(roller.plan.stages)}, "
        f"{standing.verdicts} let pass"
    )
    for name, state in zip(head.nodes, standing.nodes, strict=True):
        click.echo(f"  {name}: {state}")


if __name__ == "__main__":
    main()
