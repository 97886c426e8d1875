"""Cost of an endpoint list to a node: time to read, validate and apply it; memory per version. Simulated.

A separate process reads the list; validation and application each take one turn of the node's event loop.
"""

import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import NamedTuple

import click
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.internet.task import Clock

from myrtlehub.config.loader import load_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.membership.list_version import content_digest
from myrtlehub.membership.snapshot import read_snapshot
from myrtlehub.membership.validation import Accepted, ListValidator, ValidationConfig
from myrtlehub.node.node import Node, NodeEnvironment
from myrtlehub.rpc.client_protocol import ClientProtocol

LIST_FILE = "a.yaml"
OTHER_KINDS = ("embedder", "ranker")  # of examples/node.yaml
MAX_REMOVED = 1.0  # fraction of endpoints that one update may remove without confirmation


class Durations(NamedTuple):
    """Duration of each step of one update, in seconds."""

    read: float
    validated: float
    applied: float

    def __str__(self) -> str:
        """Return the durations as text, in milliseconds."""
        return (
            f"{self.read * 1e3:.1f} ms read, {self.validated * 1e3:.1f} ms validated, "
            f"{self.applied * 1e3:.1f} ms applied"
        )


class ListUpdates:
    """A node, and the file and validator of its endpoint list."""

    def __init__(self, config: NodeConfig, folder: Path) -> None:
        self.folder = folder
        self.node = Node(config, NodeEnvironment(Clock(), lambda address: _never_connect))
        kinds = {kind.name: kind for kind in config.kinds}
        self.validator = ListValidator(ValidationConfig(MAX_REMOVED), kinds, config.zones)

    def update(self, now: float, text: str) -> Durations:
        """Write a list file, then read, validate and apply it."""
        (self.folder / LIST_FILE).write_text(text)
        started_at = time.perf_counter()
        snapshot = read_snapshot((LIST_FILE,), self.folder)
        read_at = time.perf_counter()
        digest = content_digest(snapshot.endpoints)  # the reading process passes it on with the list
        validation_started_at = time.perf_counter()
        verdict = self.validator.validate(now, snapshot.endpoints, "files", digest=digest)
        validated_at = time.perf_counter()
        if not isinstance(verdict, Accepted):
            raise click.ClickException(f"the list was not accepted: {verdict}")
        difference = verdict.difference
        rows = difference.updates() if difference else list(verdict.version.endpoints.values())
        applied_from = time.perf_counter()
        self.node.executor.update_endpoints(rows, not difference, verdict.version.number)
        applied_at = time.perf_counter()
        return Durations(
            read_at - started_at, validated_at - validation_started_at, applied_at - applied_from
        )

    def version_bytes(self, now: float) -> int:
        """Return the memory in use by one more version of the list, with one engine fewer."""
        tracemalloc.start()
        self.validator.validate(now, read_snapshot((LIST_FILE,), self.folder).endpoints[:-1], "files")
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return size


def _never_connect(factory: Factory) -> "Deferred[ClientProtocol]":
    """Stand in for connecting to an engine: never completes, as this benchmark sends no requests."""
    return Deferred()


def list_text(count: int, first_cell: int) -> str:
    """Return the text of a list file; a different `first_cell` changes every engine.

    One engine of each other kind comes first, as the settings require; then readers and writers alternate.
    """
    kinds = [*OTHER_KINDS, *("writer" if i % 2 else "reader" for i in range(count - len(OTHER_KINDS)))]
    return "engines:\n" + "".join(
        f"  - {{address: '10.{i >> 8}.{i & 255}.1:7200', kind: {kind}, zone: north, "
        f"cell: {i // 8 + first_cell}}}\n"
        for i, kind in enumerate(kinds)
    )


@click.command()
def main() -> None:
    """Print milliseconds by number of engines."""
    config = load_config(Path(__file__).parents[1] / "examples" / "node.yaml", NodeConfig)
    for count in (10, 200, 2000):
        with tempfile.TemporaryDirectory() as folder:
            updates = ListUpdates(config, Path(folder))
            first = updates.update(0.0, list_text(count, 0))
            changed = updates.update(1.0, list_text(count, 1))
            size = updates.version_bytes(9.0)
        click.echo(
            f"{count:>5} engines: first {first}; all changed {changed}; "
            f"{size / 1024:.0f} KiB for a version with one engine less"
        )


if __name__ == "__main__":
    main()
