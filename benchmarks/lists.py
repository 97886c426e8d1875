"""What a list of engines costs a node: reading, judging, taking it; memory a version. Simulated fleet.

Reading is done by a process of its own; judging and taking are turns of the node, one each.
"""

import tempfile
import time
import tracemalloc
from pathlib import Path

import click
from twisted.internet.task import Clock

from myrtlehub.config.load import load
from myrtlehub.config.sheets import KindRow, NodeSheet
from myrtlehub.membership import files
from myrtlehub.membership.judge import ListJudge, Terms
from myrtlehub.membership.version import digest_of
from myrtlehub.node.node import Node


def text(count: int, cell_of: int) -> str:
    """A file of engines; another `cell_of` changes every one of them."""
    return "engines:\n" + "".join(
        f"  - {{address: '10.{i >> 8}.{i & 255}.1:7200', kind: {'writer' if i % 2 else 'reader'}, "
        f"zone: north, cell: {i // 8 + cell_of}}}\n"
        for i in range(count)
    )


@click.command()
def main() -> None:
    """Print milliseconds by number of engines."""
    sheet = load(Path(__file__).parents[1] / "examples" / "node.yaml", NodeSheet)
    for count in (10, 200, 2000):
        with tempfile.TemporaryDirectory() as folder:
            base, clock = Path(folder), Clock()
            node = Node(sheet, clock, lambda address: None)
            kinds = {k.name: KindRow(name=k.name, reads=k.reads, writes=k.writes) for k in sheet.kinds}
            judge = ListJudge(Terms(1.0), kinds, sheet.zones)
            out = []
            for cell_of in (0, 1):  # the second time every engine changes
                (base / "a.yaml").write_text(text(count, cell_of))
                at = time.perf_counter()
                reading = files.read(("a.yaml",), base)
                read = time.perf_counter() - at
                digest = digest_of(reading.rows)  # as the reading process hands it over
                at = time.perf_counter()
                verdict = judge.read(float(cell_of), reading.rows, "files", digest=digest)
                judged = time.perf_counter() - at
                rows = verdict.change.rows() if verdict.change else list(verdict.version.engines.values())
                at = time.perf_counter()
                node.host.update_endpoints(rows, not verdict.change, verdict.version.number)
                out.append((read, judged, time.perf_counter() - at))
            tracemalloc.start()
            judge.read(9.0, files.read(("a.yaml",), base).rows[:-1], "files")
            grown = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
        click.echo(
            f"{count:>5} engines: "
            + "; ".join(
                f"{name} {r * 1e3:.1f} ms read, {j * 1e3:.1f} ms judged, {t * 1e3:.1f} ms taken"
                for name, (r, j, t) in zip(("first", "all changed"), out, strict=True)
            )
            + f"; {grown / 1024:.0f} KiB for a version with one engine less"
        )


if __name__ == "__main__":
    main()
