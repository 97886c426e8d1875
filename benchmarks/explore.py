"""Explores the lives in a larger world than the tests do; prints worlds visited, depth and any breach."""

import sys
import time

import click

from myrtlehub.state.explore import explore
from myrtlehub.state.world import Moves, Shape, start


@click.command()
@click.argument("kinds", nargs=-1, required=True)
@click.option("--nodes", default=2)
@click.option("--readers", default=2)
@click.option("--writers", default=2)
@click.option("--attempts", default=2)
@click.option("--tries", default=2)
@click.option("--faults", default=2)
@click.option("--depth", default=1000, help="Moves from the start at most.")
@click.option("--most", default=1_000_000, help="Worlds at most.")
def main(kinds: tuple[str, ...], depth: int, most: int, **shape: int) -> None:
    """Explore a world with a sequence of each of KINDS: repeatable, tokened, once-only."""
    world = Shape(kinds, **shape)
    at = time.perf_counter()
    found = explore(start(world), Moves(world), depth, most)
    click.echo(
        f"{' '.join(kinds)}: {found.states} worlds, {found.moves} moves, depth {found.depth}, "
        f"{'all reachable' if found.complete else 'cut off'}, {time.perf_counter() - at:.0f} s"
    )
    if found.breach:
        click.echo("\n".join((found.breach, *("    " + label for label in found.trace))))
        sys.exit(1)


if __name__ == "__main__":
    main()
