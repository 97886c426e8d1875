"""hub-list: checks and compares files of engines, and asks a node what it routes by."""

import sys
from pathlib import Path

import click

from myrtlehub.cli.common import fail, sheet_of
from myrtlehub.config.sheets import EngineRow, KindRow, NodeSheet
from myrtlehub.membership import files
from myrtlehub.membership.judge import unsound
from myrtlehub.membership.version import Difference, difference, make


@click.group()
def main() -> None:
    """Files of engines: check them, compare them, and see what a node routes by."""


def sound(paths: tuple[str, ...], node_file: Path | None) -> files.Reading:
    """Read files whole; all their faults a line each on standard error, and exit 2."""
    reading = files.read(paths, Path())
    faults = list(reading.faults)
    if not faults:
        sheet = sheet_of(node_file, NodeSheet) if node_file else None
        kinds = (
            {k.name: k for k in sheet.kinds}
            if sheet
            else {
                r.kind: KindRow(
                    name=r.kind,
                    reads="read" in r.kind or "mixed" in r.kind or "both" in r.kind,
                    writes="read" not in r.kind,
                )
                for r in reading.rows
            }
        )
        zones = sheet.zones if sheet else [r.zone for r in reading.rows]
        faults = [
            f"{', '.join(paths)}: {f}"
            for f in unsound(reading.rows, kinds, zones, sheet.engines_may.read_alone if sheet else True)
        ]
    if faults:
        fail("\n".join(faults))
    return reading


def shown(change: Difference) -> list[str]:
    """A difference, a line an engine."""

    def row(r: EngineRow) -> str:
        return f"{r.address} ({r.kind}, zone {r.zone}, cell {r.cell}, weight {r.weight:g}, {r.state})"

    lines = [f"+ {row(r)}" for r in change.added] + [f"- {row(r)}" for r in change.gone]
    lines += [f"~ {r.address}: drains" for r in change.draining]
    return lines + [
        f"~ {r.address}: " + ", ".join(f"{f} is now {getattr(r, f)}" for f in fields)
        for r, fields in change.changed
    ]


NODE_FILE = click.option(
    "--node-file",
    type=click.Path(path_type=Path),
    help="A node's file, for its kinds and zones; without it kinds are guessed by name.",
)


@main.command()
@click.argument("paths", nargs=-1, required=True, metavar="FILE...")
@NODE_FILE
def check(paths: tuple[str, ...], node_file: Path | None) -> None:
    """Check FILEs (paths, globs, directories) as a node would. Exit 0: sound. 2: not, a line a fault."""
    reading = sound(paths, node_file)
    version = make(1, reading.rows, "files", 0.0)
    click.echo(f"sound: {len(reading.files)} files, {len(version.engines)} engines, digest {version.digest}")


@main.command()
@click.argument("before")
@click.argument("after")
@NODE_FILE
def diff(before: str, after: str, node_file: Path | None) -> None:
    """What changes from BEFORE to AFTER. Exit 0: nothing. 1: something. 2: one of them is not sound."""
    old, new = (make(i, sound((p,), node_file).rows, p, 0.0) for i, p in enumerate((before, after)))
    lines = shown(difference(old.engines, new.engines))
    if lines:
        click.echo("\n".join(lines))
    sys.exit(1 if lines else 0)


@main.command()
@click.option("--node", required=True, help="The node's admin address, host:port.")
def show(node: str) -> None:
    """What a running node routes by: version, age, where from; and what was refused and why."""
    from twisted.internet import reactor

    from myrtlehub.cli.common import dialer
    from myrtlehub.proto import admin_pb2 as pb
    from myrtlehub.rpc.channel import Channel

    if ":" not in node:
        fail(f"--node {node}: write it as host:port")
    channel, got = Channel(reactor, dialer(reactor)(node), node), []

    def ask() -> None:
        done = channel.unary("/myrtlehub.v1.NodeAdmin/Show", b"", timeout=5.0)
        done.addBoth(got.append).addBoth(lambda ignored: reactor.stop())

    reactor.callWhenRunning(ask)
    reactor.run()
    if not isinstance(got[0], bytes):
        fail(f"{node}: {got[0].getErrorMessage()}")
    state = pb.NodeState.FromString(got[0])
    old = ", OLD: no source had a good one at the start" if state.list_old else ""
    where = state.list_source or "its file"
    click.echo(
        f"version {state.list_version}, {state.list_age:.1f} s old, from {where}"
        f"{old}; digest {state.list_digest or '-'}"
    )
    for e in state.engines:
        click.echo(f"  {e.address} {e.kind} zone {e.zone} cell {e.cell} weight {e.weight:g} {e.state}")
    for r in state.refused:
        click.echo(f"refused {r.age:.1f} s ago, {r.source}: {r.why}")


if __name__ == "__main__":
    main()
