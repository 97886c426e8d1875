"""Splitting of a batch into parts by token cost, in at most as many parts as pay off."""

from collections.abc import Sequence
from heapq import heappop, heappush, heapreplace
from typing import NamedTuple


class PartLimits(NamedTuple):
    """The limits on the size of a part.

    Attributes:
        max_tokens: maximum of tokens per part; a longer input becomes a part of its own.
        max_items: maximum of items per part.
        min_tokens: fewest tokens for which it pays off to send an additional part.
    """

    max_tokens: float
    max_items: int
    min_tokens: float


def count_parts(costs: Sequence[float], limits: PartLimits, engine_count: int) -> int:
    """Return the number of parts for items of these costs.

    The number is at least what `max_tokens` and `max_items` require. It is raised to one part per engine, as
    long as the mean size of a part is not below `min_tokens`.

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
    end at about the same time. A part is closed when it has `max_items` items. A part is added when an item
    would exceed `max_tokens` in every open part.

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
            heappush(open_parts, (0.0, len(parts)))  # the first of the heap, as all others have tokens
            parts.append([])
        tokens, number = open_parts[0]
        parts[number].append(index)
        if len(parts[number]) < limits.max_items:
            heapreplace(open_parts, (tokens + cost, number))
        else:
            heappop(open_parts)
    return [sorted(part) for part in parts if part]


def _is_full(parts: list[list[int]], part: tuple[float, int], cost: float, limits: PartLimits) -> bool:
    """Return whether the item does not fit into `part`, the open part with the fewest tokens."""
    tokens, number = part
    return bool(parts[number]) and tokens + cost > limits.max_tokens
