"""hub-rollout: changes the program or settings of a fleet in stages; rolls back a change that does worse."""

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click

from myrtlehub.cli.common import dialer, fail, load_or_exit
from myrtlehub.config.rollout_plan import RolloutPlanConfig
from myrtlehub.log_events import LogEvent

if TYPE_CHECKING:
    from myrtlehub.rollout.journal_format import DecodedJournal
    from myrtlehub.rollout_controller.controller import RolloutController

PLAN = click.argument("plan", type=click.Path(path_type=Path))


@click.group()
def main() -> None:
    """Rolling changes by a PLAN, a YAML file (docs/operators/rolling-change.md).

    Exit 0: the change is kept. 1: it was undone; the last line says why. 2: the plan or the fleet is wrong,
    and nothing was done. 3: stuck, people are needed. 4: the journal cannot be written. 5: another controller
    has taken over. In 4 and 5 nodes are left as they are.
    """


@contextmanager
def _plan_errors(plan: Path | None = None) -> Iterator[None]:
    """End the program with one line where the plan cannot be carried out."""
    from myrtlehub.rollout_controller.errors import RolloutError

    try:
        yield
    except RolloutError as error:
        fail(f"{plan}: {error}" if plan else str(error))


def _controller(plan: Path) -> "RolloutController":
    from twisted.internet import reactor

    from myrtlehub.node.clock import SteadyClock
    from myrtlehub.rollout_controller.controller import RolloutController

    sheet = load_or_exit(plan, RolloutPlanConfig)
    with _plan_errors(plan):
        return RolloutController(
            sheet,
            plan.read_text(),
            plan.resolve().parent,
            SteadyClock(reactor),
            dialer(reactor),
            _print_event,
        )


def _print_event(event: LogEvent, /, **fields: object) -> None:
    """Print a line for people on a terminal, JSON otherwise."""
    if not sys.stdout.isatty():
        click.echo(json.dumps({"event": event, **fields}))
    elif event is LogEvent.NODE_STATE_CHANGED:
        click.echo(f"  {fields['node']}: {fields['previous_state']} -> {fields['state']} ({fields['cause']})")
    elif event is LogEvent.PHASE_CHANGED:
        reason = f": {fields['reason']}" if fields["reason"] else ""
        click.echo(
            f"{fields['previous_phase']} -> {fields['phase']}, "
            f"stage {fields['stage']} ({fields['cause']}){reason}"
        )
    else:
        click.echo(f"{event}: " + ", ".join(f"{name} {value}" for name, value in fields.items()))


def _run_controller(plan: Path, resume: bool, roll_back: bool = False) -> None:
    """Run a controller until it ends, and exit with its code."""
    from twisted.internet import reactor

    from myrtlehub.node.process import on_term
    from myrtlehub.rollout_controller.errors import ExitCode, RolloutError

    controller = _controller(plan)
    results: list = []

    def begin() -> None:
        try:
            done = controller.run(resume, roll_back)
        except RolloutError as error:
            click.echo(f"{plan}: {error}", err=True)
            results.append(error.exit_code)
            reactor.stop()
            return
        done.addBoth(results.append).addBoth(lambda ignored: reactor.stop())

    on_term(reactor.stop, reactor)  # the journal has all: `resume` goes on
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    is_code = bool(results) and isinstance(results[0], int)
    sys.exit(int(results[0] if is_code else ExitCode.INVALID))


@main.command()
@PLAN
def check(plan: Path) -> None:
    """Check PLAN and all files that it names, and say what it would do. Exit 0: sound. 2: not."""
    from myrtlehub.rollout_controller.plan_files import EACH_TRAFFIC_TYPE, PlanSide

    files = _controller(plan).files
    with _plan_errors():
        for node in range(len(files.names)):
            for side in PlanSide:
                files.settings(node, side)
    for number, stage in enumerate(files.plan.stages, 1):
        click.echo(f"stage {number}: {', '.join(files.names[node] for node in stage)}")
    guards = files.analysis([EACH_TRAFFIC_TYPE]).guards
    click.echo(
        f"{plan}: sound; {len(files.names)} nodes, {len(files.plan.stages)} stages, {len(guards)} guards"
    )


@main.command()
@PLAN
def run(plan: Path) -> None:
    """Begin the change of PLAN and see it through."""
    _run_controller(plan, resume=False)


@main.command()
@PLAN
def resume(plan: Path) -> None:
    """Go on with a change whose controller ended, from its journal."""
    _run_controller(plan, resume=True)


@main.command()
@PLAN
def undo(plan: Path) -> None:
    """Take back a change, whatever it has come to. Where a controller is at work, it is told."""
    from filelock import Timeout

    from myrtlehub.rollout_controller.journal_store import journal_lock, rollback_request

    path = _controller(plan).journal.path
    if not path.exists():
        fail(f"{path}: there is no such journal, so there is nothing to undo")
    try:
        with journal_lock(path).acquire(timeout=0):
            pass
    except Timeout:
        rollback_request(path).touch()
        click.echo("the controller at work was asked to undo")
        return
    _run_controller(plan, resume=True, roll_back=True)


@main.command()
@PLAN
def show(plan: Path) -> None:
    """Where the change of PLAN stands, by its journal, and what led there. Asks no node."""
    controller = _controller(plan)
    journal = _read_journal(controller.journal.path)
    names = journal.header.nodes
    for entry in journal.entries:
        controller.record.replay(entry)
        if entry.reason:
            subject = names[entry.node] if entry.node >= 0 else "change"
            click.echo(f"{subject}: {entry.event}: {entry.reason}")
    state = controller.state
    click.echo(
        f"{state.phase}, stage {state.stage + 1} of {len(controller.files.plan.stages)}, "
        f"{state.stages_passed} let pass"
    )
    for name, node_state in zip(names, state.nodes, strict=True):
        click.echo(f"  {name}: {node_state}")


def _read_journal(path: Path) -> "DecodedJournal":
    from myrtlehub.rollout.journal_format import JournalFormatError, decode_journal

    try:
        return decode_journal(path.read_bytes())
    except FileNotFoundError:
        fail(f"{path}: there is no such journal; the change was not begun")
    except JournalFormatError as error:
        fail(f"{path}: {error}")


if __name__ == "__main__":
    main()
