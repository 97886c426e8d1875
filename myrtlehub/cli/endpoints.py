"""hub-endpoints: validates and compares files of endpoint lists, and shows the list that a node uses."""

import sys
from pathlib import Path

import click
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from myrtlehub.cli.event_loop import get_event_loop, run_until_fired
from myrtlehub.cli.exits import exit_invalid, load_or_exit
from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.membership.list_faults import find_list_faults
from myrtlehub.membership.list_version import ListDifference, compare_versions, make_version
from myrtlehub.membership.snapshot import Snapshot, read_snapshot
from myrtlehub.proto import admin_pb2 as pb

SHOW_METHOD = "/myrtlehub.v1.NodeAdmin/Show"
SHOW_TIMEOUT_S = 5.0


@click.group()
def main() -> None:
    """Validate and compare files of endpoint lists, and show the list that a node uses."""


def read_valid_snapshot(paths: tuple[str, ...], node_file: Path | None) -> Snapshot:
    """Return the snapshot of files; print one line per error and exit with EXIT_INVALID if there are any."""
    snapshot = read_snapshot(paths, Path())
    faults = list(snapshot.faults)
    if not faults:
        faults = [f"{', '.join(paths)}: {fault}" for fault in _find_faults(snapshot, node_file)]
    if faults:
        exit_invalid("\n".join(faults))
    return snapshot


def _find_faults(snapshot: Snapshot, node_file: Path | None) -> list[str]:
    if node_file is None:
        kinds = {endpoint.kind: guess_engine_kind(endpoint.kind) for endpoint in snapshot.endpoints}
        return find_list_faults(snapshot.endpoints, kinds, [endpoint.zone for endpoint in snapshot.endpoints])
    settings = load_or_exit(node_file, NodeConfig)
    kinds = {kind.name: kind for kind in settings.kinds}
    return find_list_faults(snapshot.endpoints, kinds, settings.zones, settings.engines_may.read_alone)


def guess_engine_kind(name: str) -> EngineKindConfig:
    """Return an engine kind whose tasks are guessed from its name."""
    reads = any(word in name for word in ("read", "mixed", "both"))
    return EngineKindConfig(name=name, reads=reads, writes="read" not in name)


def describe_difference(difference: ListDifference) -> list[str]:
    """Return one line per endpoint that differs."""
    lines = [f"+ {_describe_endpoint(endpoint)}" for endpoint in difference.added]
    lines += [f"- {_describe_endpoint(endpoint)}" for endpoint in difference.removed]
    lines += [f"~ {endpoint.address}: drains" for endpoint in difference.draining]
    for endpoint, fields in difference.changed:
        values = ", ".join(f"{field} is now {getattr(endpoint, field)}" for field in fields)
        lines.append(f"~ {endpoint.address}: {values}")
    return lines


def _describe_endpoint(endpoint: EndpointConfig) -> str:
    return (
        f"{endpoint.address} ({endpoint.kind}, zone {endpoint.zone}, cell {endpoint.cell}, "
        f"weight {endpoint.weight:g}, {endpoint.state})"
    )


NODE_FILE = click.option(
    "--node-file",
    type=click.Path(path_type=Path),
    help="A node's file, for its kinds and zones; without it, kinds are guessed from their names.",
)


@main.command()
@click.argument("paths", nargs=-1, required=True, metavar="FILE...")
@NODE_FILE
def check(paths: tuple[str, ...], node_file: Path | None) -> None:
    """Validate FILEs (paths, globs, directories) as a node would.

    Exit 0: they are valid. 2: they are not; one line per error.
    """
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
    """Print the differences between BEFORE and AFTER.

    Exit 0: there are none. 1: there are some. 2: one of the two is invalid.
    """
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
    """Print the endpoint list that a running node uses, its source, and the lists that it rejected."""
    if ":" not in node:
        exit_invalid(f"--node {node}: must be host:port")
    reply = _request_state(node)
    if isinstance(reply, Failure):
        exit_invalid(f"{node}: {reply.getErrorMessage()}")
    state = pb.NodeState.FromString(reply)
    from_store = " (version store, as no source had a valid list at the start)" if state.list_old else ""
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
    for rejected in state.refused:
        click.echo(f"rejected {rejected.age:.1f} s ago, {rejected.source}: {rejected.why}")


def _request_state(node: str) -> bytes | Failure:
    """Call the node's admin service; return the encoded NodeState, or the failure of the call."""
    from myrtlehub.cli.network import dialer
    from myrtlehub.rpc.channel import Channel

    event_loop = get_event_loop()
    channel = Channel(event_loop, dialer(event_loop)(node), node)

    def request() -> Deferred[bytes]:
        return channel.unary(SHOW_METHOD, b"", timeout=SHOW_TIMEOUT_S)

    return run_until_fired(event_loop, request)


if __name__ == "__main__":
    main()
