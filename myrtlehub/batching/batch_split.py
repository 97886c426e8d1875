"""Splitting of a batch into parts by token cost, over as many engines as are worth using."""

from collections.abc import Sequence
from heapq import heappop, heappush, heapreplace
from typing import NamedTuple


class PartLimits(NamedTuple):
    """The bounds of one part.

    Attributes:
        max_tokens: tokens that an engine takes in one part; a longer input becomes a part of its own.
        max_items: items that an engine takes in one part.
        min_tokens: tokens below which a further part costs more to send than it saves.
    """

    max_tokens: float
    max_items: int
    min_tokens: float


def count_parts(costs: Sequence[float], limits: PartLimits, engine_count: int) -> int:
    """Return the number of parts for items of these costs.

    There are as many parts as the limits of one part require. Beyond that there is one part for each engine,
    as long as each part is worth sending.

    Args:
        costs: the tokens of each item.
        limits: the bounds of one part.
        engine_count: engines that can run parts at the same time.
    """
    total = sum(costs)
    needed_by_items = -(-len(costs) // limits.max_items)
    needed_by_tokens = int(-(-total // max(1.0, limits.max_tokens)))
    needed = max(needed_by_items, needed_by_tokens, 1)
    worth_sending = int(total // max(1.0, limits.min_tokens))
    return min(len(costs), max(needed, min(engine_count, worth_sending)))


def split_batch(costs: Sequence[float], limits: PartLimits, engine_count: int) -> list[list[int]]:
    """Return the item indices of each part in ascending order; every index occurs once.

    The longest inputs are assigned first, each to the part with the fewest tokens so far, so that all parts
    end at about the same time. A part is closed when it has all its items. A part is added when an item would
    exceed the tokens of all open parts.

    Args:
        costs: the tokens of each item.
        limits: the bounds of one part.
        engine_count: engines that can run parts at the same time.
    """
    if not costs:
        return []
    parts: list[list[int]] = [[] for _ in range(count_parts(costs, limits, engine_count))]
    open_parts = [(0.0, number) for number in range(len(parts))]  # heap of tokens so far and part number
    for index in sorted(range(len(costs)), key=lambda index: (-costs[index], index)):
        cost = costs[index]
        if not open_parts or _is_full(parts, open_parts[0], cost, limits):
            heappush(open_parts, (0.0, len(parts)))  # becomes the first, as all other parts have tokens
            parts.append([])
        tokens, number = open_parts[0]
        parts[number].append(index)
        if len(parts[number]) < limits.max_items:
            heapreplace(open_parts, (tokens + cost, number))
        else:
            heappop(open_parts)
    return [sorted(part) for part in parts if part]


def _is_full(parts: list[list[int]], part: tuple[float, int], cost: float, limits: PartLimits) -> bool:
    """Return whether an item of this cost exceeds the part with the fewest tokens, and so every open part."""
    tokens, number = part
    return bool(parts[number]) and tokens + cost > limits.max_tokens
