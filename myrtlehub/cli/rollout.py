"""hub-rollout: changes the program or settings of a fleet in stages, and rolls back a regression."""

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from myrtlehub.cli.event_loop import EventLoopStoppedError, get_event_loop, run_until_fired
from myrtlehub.cli.exits import exit_invalid, load_or_exit
from myrtlehub.cli.network import dialer
from myrtlehub.config.rollout_plan import RolloutPlanConfig
from myrtlehub.log_events import LogEvent

if TYPE_CHECKING:
    from myrtlehub.rollout.journal_format import DecodedJournal
    from myrtlehub.rollout_controller.controller import RolloutController
    from myrtlehub.rollout_controller.errors import ExitCode

PLAN = click.argument("plan", type=click.Path(path_type=Path))


@click.group()
def main() -> None:
    """Roll out a change by a PLAN, a YAML file (docs/operators/rolling-change.md).

    Exit status 0: the change is committed. 1: it was rolled back; the last line gives the reason. 2: the plan
    or the fleet does not permit it, and nothing was changed. 3: stuck, an operator must intervene. 4: the
    journal cannot be written. 5: another controller has taken over. After 4 and 5, nodes stay unchanged.
    """


@contextmanager
def _plan_errors(plan: Path | None = None) -> Iterator[None]:
    """Print one line and exit with EXIT_INVALID if the block raises a RolloutError."""
    from myrtlehub.rollout_controller.errors import RolloutError

    try:
        yield
    except RolloutError as error:
        exit_invalid(f"{plan}: {error}" if plan else str(error))


def _make_controller(plan: Path) -> "RolloutController":
    from myrtlehub.node.clock import MonotonicClock
    from myrtlehub.rollout_controller.controller import RolloutController

    config = load_or_exit(plan, RolloutPlanConfig)
    event_loop = get_event_loop()
    with _plan_errors(plan):
        return RolloutController(
            config,
            plan.read_text(),
            plan.resolve().parent,
            MonotonicClock(event_loop),
            dialer(event_loop),
            _print_event,
        )


def _print_event(event: LogEvent, /, **fields: object) -> None:
    """Print an event: as text on a terminal, as a JSON object otherwise."""
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
    """Run a controller until the rollout ends, and exit with its exit code."""
    from myrtlehub.node.process import call_on_termination
    from myrtlehub.rollout_controller.errors import ExitCode, RolloutError

    controller = _make_controller(plan)
    event_loop = get_event_loop()

    def begin() -> "Deferred[ExitCode]":
        try:
            return controller.run(resume, roll_back)
        except RolloutError as error:
            click.echo(f"{plan}: {error}", err=True)
            return succeed(error.exit_code)

    # A signal may stop the controller at any point: `resume` continues from the journal.
    call_on_termination(event_loop.stop, event_loop)
    try:
        result = run_until_fired(event_loop, begin, install_signal_handlers=False)
    except EventLoopStoppedError:
        sys.exit(ExitCode.INVALID)
    sys.exit(ExitCode.INVALID if isinstance(result, Failure) else result)


@main.command()
@PLAN
def check(plan: Path) -> None:
    """Validate PLAN and all files that it names, and print its stages. Exit 0: valid. 2: invalid."""
    from myrtlehub.rollout_controller.plan_files import EACH_TRAFFIC_TYPE, PlanSide

    files = _make_controller(plan).files
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
    """Run the rollout of PLAN from start to end."""
    _run_controller(plan, resume=False)


@main.command()
@PLAN
def resume(plan: Path) -> None:
    """Continue, from its journal, a rollout whose controller exited."""
    _run_controller(plan, resume=True)


@main.command()
@PLAN
def undo(plan: Path) -> None:
    """Roll back the rollout of PLAN in any state. A running controller is notified and performs it."""
    from filelock import Timeout

    from myrtlehub.rollout_controller.journal_store import journal_lock, rollback_request

    path = _make_controller(plan).journal.path
    if not path.exists():
        exit_invalid(f"{path}: no such journal; there is nothing to roll back")
    try:
        with journal_lock(path).acquire(timeout=0):
            pass
    except Timeout:
        rollback_request(path).touch()
        click.echo("requested the rollback from the running controller")
        return
    _run_controller(plan, resume=True, roll_back=True)


@main.command()
@PLAN
def show(plan: Path) -> None:
    """Print the state and the events of a rollout, from its journal. No node is polled."""
    from myrtlehub.rollout.rollout_state import FLEET

    controller = _make_controller(plan)
    journal = _read_journal(controller.journal.path)
    names = journal.header.nodes
    for entry in journal.entries:
        controller.record.replay(entry)
        if entry.reason:
            subject = "change" if entry.node == FLEET else names[entry.node]
            click.echo(f"{subject}: {entry.event}: {entry.reason}")
    state = controller.state
    click.echo(
        f"{state.phase}, stage {state.stage + 1} of {len(controller.files.plan.stages)}, "
        f"{state.stages_passed} passed"
    )
    for name, node_state in zip(names, state.nodes, strict=True):
        click.echo(f"  {name}: {node_state}")


def _read_journal(path: Path) -> "DecodedJournal":
    from myrtlehub.rollout.journal_format import JournalFormatError, decode_journal

    try:
        return decode_journal(path.read_bytes())
    except FileNotFoundError:
        exit_invalid(f"{path}: no such journal; the rollout was not started")
    except JournalFormatError as error:
        exit_invalid(f"{path}: {error}")


if __name__ == "__main__":
    main()
