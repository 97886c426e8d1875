"""How a batch is cut into parts: by token cost, over as many engines as pay. Pure."""

from collections.abc import Sequence
from heapq import heappop, heappush, heapreplace
from typing import NamedTuple


class Room(NamedTuple):
    """What one engine takes at once, and what a part is worth."""

    tokens: float  # of a part, at most; a single longer input makes a part of its own
    items: int  # of a part, at most
    least: float  # tokens below which a part costs more to send than it saves


def count_of(costs: Sequence[float], room: Room, engines: int) -> int:
    """Parts that this batch is cut into, where `engines` could each do one at the same time.

    As many as the room of one engine asks for, and beyond that one an engine as long as each is worth it.
    """
    total = sum(costs)
    needed = max(-(-len(costs) // room.items), int(-(-total // max(1.0, room.tokens))), 1)
    worth = int(total // max(1.0, room.least))
    return min(len(costs), max(needed, min(engines, worth)))


def split(costs: Sequence[float], room: Room, engines: int) -> list[list[int]]:
    """Indices of each part, rising; every index once.

    The longest inputs are dealt first, each to the part with the least so far, so that parts end together; a
    part that is full of items or would grow over the room takes no more, and a new one is opened for what
    fits nowhere.
    """
    if not costs:
        return []
    parts: list[list[int]] = [[] for _ in range(count_of(costs, room, engines))]
    with_room = [(0.0, n) for n in range(len(parts))]  # tokens so far, and which part
    for index in sorted(range(len(costs)), key=lambda i: (-costs[i], i)):
        so_far, n = with_room[0] if with_room else (0.0, -1)
        if n < 0 or (parts[n] and so_far + costs[index] > room.tokens):
            parts.append([])  # the least filled has no room, so none has
            so_far, n = 0.0, len(parts) - 1
            heappush(with_room, (so_far, n))  # on top, as all others hold something
        parts[n].append(index)
        if len(parts[n]) < room.items:
            heapreplace(with_room, (so_far + costs[index], n))
        else:
            heappop(with_room)
    return [sorted(p) for p in parts if p]
