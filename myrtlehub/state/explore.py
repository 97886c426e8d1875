"""An exhaustive explorer: breadth first, so the first breach found has a shortest trace, which replays."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple, TypeVar

W = TypeVar("W", bound=Hashable)
Moves = Callable[[W], Iterable[tuple[str, W, str]]]  # label, next world, breach or ""


class Found(NamedTuple):
    """What an exploration came to."""

    states: int
    moves: int
    depth: int
    complete: bool  # every reachable world was visited
    breach: str
    trace: tuple[str, ...]


def explore(first: W, moves: Moves, depth: int, most: int = 10_000_000) -> Found:
    """Visit all worlds within `depth` moves of the first, or `most` of them; stop at the first breach."""
    parent: dict[W, tuple[W, str] | None] = {first: None}
    queue: deque[tuple[W, int]] = deque([(first, 0)])
    tried, deepest, cut = 0, 0, False
    while queue:
        world, at = queue.popleft()
        deepest = max(deepest, at)
        for label, after, breach in moves(world):
            tried += 1
            if breach:
                return Found(len(parent), tried, at + 1, False, breach, (*_way(parent, world), label))
            if after in parent:
                continue
            if at + 1 > depth or len(parent) >= most:
                cut = True
                continue
            parent[after] = (world, label)
            queue.append((after, at + 1))
    return Found(len(parent), tried, deepest, not cut, "", ())


def _way(parent: dict, world: object) -> tuple[str, ...]:
    labels = []
    while parent[world] is not None:
        world, label = parent[world]
        labels.append(label)
    return tuple(reversed(labels))


def replay(first: W, moves: Moves, trace: Iterable[str]) -> tuple[W, str]:
    """Follow a trace by its labels; the last world and the breach. KeyError: a label is no move there."""
    world, breach = first, ""
    for label in trace:
        world, breach = {name: (after, found) for name, after, found in moves(world)}[label]
    return world, breach
