"""hub-endpoints: checks and compares endpoint files, and asks a node what it routes by."""

import sys
from pathlib import Path

import click
from twisted.python.failure import Failure

from myrtlehub.cli.common import fail, load_or_exit
from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.membership.list_faults import find_list_faults
from myrtlehub.membership.list_version import ListDifference, compare_versions, make_version
from myrtlehub.membership.snapshot import Snapshot, read_snapshot
from myrtlehub.proto import admin_pb2 as pb

SHOW_METHOD = "/myrtlehub.v1.NodeAdmin/Show"
SHOW_TIMEOUT = 5.0  # seconds


@click.group()
def main() -> None:
    """Files of engines: check them, compare them, and see what a node routes by."""


def read_valid_snapshot(paths: tuple[str, ...], node_file: Path | None) -> Snapshot:
    """Read files; print all their faults a line each on standard error, and exit 2, if there are any."""
    snapshot = read_snapshot(paths, Path())
    faults = list(snapshot.faults)
    if not faults:
        faults = [f"{', '.join(paths)}: {fault}" for fault in _find_faults(snapshot, node_file)]
    if faults:
        fail("\n".join(faults))
    return snapshot


def _find_faults(snapshot: Snapshot, node_file: Path | None) -> list[str]:
    if node_file is None:
        kinds = {endpoint.kind: guess_kind(endpoint.kind) for endpoint in snapshot.endpoints}
        return find_list_faults(snapshot.endpoints, kinds, [endpoint.zone for endpoint in snapshot.endpoints])
    sheet = load_or_exit(node_file, NodeConfig)
    kinds = {kind.name: kind for kind in sheet.kinds}
    return find_list_faults(snapshot.endpoints, kinds, sheet.zones, sheet.engines_may.read_alone)


def guess_kind(name: str) -> EngineKindConfig:
    """Return what a kind of this name most likely does."""
    reads = any(part in name for part in ("read", "mixed", "both"))
    return EngineKindConfig(name=name, reads=reads, writes="read" not in name)


def describe_difference(difference: ListDifference) -> list[str]:
    """Return a difference, a line an endpoint."""
    lines = [f"+ {_describe(endpoint)}" for endpoint in difference.added]
    lines += [f"- {_describe(endpoint)}" for endpoint in difference.removed]
    lines += [f"~ {endpoint.address}: drains" for endpoint in difference.draining]
    for endpoint, fields in difference.changed:
        values = ", ".join(f"{field} is now {getattr(endpoint, field)}" for field in fields)
        lines.append(f"~ {endpoint.address}: {values}")
    return lines


def _describe(endpoint: EndpointConfig) -> str:
    return (
        f"{endpoint.address} ({endpoint.kind}, zone {endpoint.zone}, cell {endpoint.cell}, "
        f"weight {endpoint.weight:g}, {endpoint.state})"
    )


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
    snapshot = read_valid_snapshot(paths, node_file)
    version = make_version(1, snapshot.endpoints, "files", 0.0)
    click.echo(
        f"sound: {len(snapshot.files)} files, {len(version.endpoints)} engines, digest {version.digest}"
    )


@main.command()
@click.argument("before")
@click.argument("after")
@NODE_FILE
def diff(before: str, after: str, node_file: Path | None) -> None:
    """What changes from BEFORE to AFTER. Exit 0: nothing. 1: something. 2: one of them is not sound."""
    old, new = (
        make_version(number, read_valid_snapshot((path,), node_file).endpoints, path, 0.0)
        for number, path in enumerate((before, after))
    )
    lines = describe_difference(compare_versions(old.endpoints, new.endpoints))
    if lines:
        click.echo("\n".join(lines))
    sys.exit(1 if lines else 0)


@main.command()
@click.option("--node", required=True, help="The node's admin address, host:port.")
def show(node: str) -> None:
    """What a running node routes by: version, age, where from; and what was refused and why."""
    if ":" not in node:
        fail(f"--node {node}: write it as host:port")
    reply = _request_state(node)
    if isinstance(reply, Failure):
        fail(f"{node}: {reply.getErrorMessage()}")
    state = pb.NodeState.FromString(reply)
    from_store = ", OLD: no source had a good one at the start" if state.list_old else ""
    source = state.list_source or "its file"
    click.echo(
        f"version {state.list_version}, {state.list_age:.1f} s old, from {source}"
        f"{from_store}; digest {state.list_digest or '-'}"
    )
    for engine in state.engines:
        click.echo(
            f"  {engine.address} {engine.kind} zone {engine.zone} cell {engine.cell} "
            f"weight {engine.weight:g} {engine.state}"
        )
    for refusal in state.refused:
        click.echo(f"refused {refusal.age:.1f} s ago, {refusal.source}: {refusal.why}")


def _request_state(node: str) -> bytes | Failure:
    """Ask the node, in a reactor that runs until it has answered."""
    from twisted.internet import reactor

    from myrtlehub.cli.common import dialer
    from myrtlehub.rpc.channel import Channel

    channel = Channel(reactor, dialer(reactor)(node), node)
    replies: list[bytes | Failure] = []

    def ask() -> None:
        done = channel.unary(SHOW_METHOD, b"", timeout=SHOW_TIMEOUT)
        done.addBoth(replies.append).addBoth(lambda ignored: reactor.stop())

    reactor.callWhenRunning(ask)
    reactor.run()
    return replies[0]


if __name__ == "__main__":
    main()
