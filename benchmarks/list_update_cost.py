"""What an endpoint list costs a node: reading, validating, applying it; memory per version. Simulated fleet.

Reading is done by a process of its own; validating and applying are turns of the node, one each.
"""

import tempfile
import time
import tracemalloc
from pathlib import Path

import click
from twisted.internet.task import Clock

from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.config.loader import load_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.membership.list_version import content_digest
from myrtlehub.membership.snapshot import read_snapshot
from myrtlehub.membership.validation import Accepted, ListValidator, ValidationConfig
from myrtlehub.node.node import Node


def list_text(count: int, first_cell: int) -> str:
    """Return a list file; another `first_cell` changes every engine."""
    return "engines:\n" + "".join(
        f"  - {{address: '10.{i >> 8}.{i & 255}.1:7200', kind: {'writer' if i % 2 else 'reader'}, "
        f"zone: north, cell: {i // 8 + first_cell}}}\n"
        for i in range(count)
    )


@click.command()
def main() -> None:
    """Print milliseconds by number of engines."""
    sheet = load_config(Path(__file__).parents[1] / "examples" / "node.yaml", NodeConfig)
    for count in (10, 200, 2000):
        with tempfile.TemporaryDirectory() as folder:
            base, clock = Path(folder), Clock()
            node = Node(sheet, clock, lambda address: None)
            kinds = {
                k.name: EngineKindConfig(name=k.name, reads=k.reads, writes=k.writes) for k in sheet.kinds
            }
            validator = ListValidator(ValidationConfig(1.0), kinds, sheet.zones)
            out = []
            for first_cell in (0, 1):  # the second time every engine changes
                (base / "a.yaml").write_text(list_text(count, first_cell))
                at = time.perf_counter()
                snapshot = read_snapshot(("a.yaml",), base)
                read = time.perf_counter() - at
                digest = content_digest(snapshot.endpoints)  # as the reading process hands it over
                at = time.perf_counter()
                verdict = validator.validate(float(first_cell), snapshot.endpoints, "files", digest=digest)
                validated = time.perf_counter() - at
                if not isinstance(verdict, Accepted):
                    raise click.ClickException(f"the list was not accepted: {verdict}")
                rows = (
                    verdict.difference.updates()
                    if verdict.difference
                    else list(verdict.version.endpoints.values())
                )
                at = time.perf_counter()
                node.executor.update_endpoints(rows, not verdict.difference, verdict.version.number)
                out.append((read, validated, time.perf_counter() - at))
            tracemalloc.start()
            validator.validate(9.0, read_snapshot(("a.yaml",), base).endpoints[:-1], "files")
            grown = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
        click.echo(
            f"{count:>5} engines: "
            + "; ".join(
                f"{name} {r * 1e3:.1f} ms read, {j * 1e3:.1f} ms validated, {t * 1e3:.1f} ms applied"
                for name, (r, j, t) in zip(("first", "all changed"), out, strict=True)
            )
            + f"; {grown / 1024:.0f} KiB for a version with one engine less"
        )


if __name__ == "__main__":
    main()
