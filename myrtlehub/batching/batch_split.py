"""Splitting of a batch into parts of similar token cost, without parts that are too small to be efficient."""

from collections.abc import Sequence
from heapq import heappop, heappush, heapreplace
from typing import NamedTuple


class PartLimits(NamedTuple):
    """The limits on the size of a part.

    Attributes:
        max_tokens: maximum tokens per part; a longer input becomes a part of its own.
        max_items: maximum items per part.
        min_tokens: minimum mean size of parts that are added for parallelism.
    """

    max_tokens: float
    max_items: int
    min_tokens: float


def count_parts(costs: Sequence[float], limits: PartLimits, engine_count: int) -> int:
    """Return the number of parts for items of these costs.

    `max_tokens` and `max_items` determine the minimum. Parts are added up to one per engine, as long as the
    mean size of a part is at least `min_tokens`.

    Args:
        costs: the tokens of each item.
        limits: the limits of each part.
        engine_count: number of engines that can run parts concurrently.
    """
    total_tokens = sum(costs)
    min_by_items = -(-len(costs) // limits.max_items)
    min_by_tokens = int(-(-total_tokens // max(1.0, limits.max_tokens)))
    min_count = max(min_by_items, min_by_tokens, 1)
    max_by_min_tokens = int(total_tokens // max(1.0, limits.min_tokens))
    return min(len(costs), max(min_count, min(engine_count, max_by_min_tokens)))


def split_batch(costs: Sequence[float], limits: PartLimits, engine_count: int) -> list[list[int]]:
    """Return the item indices of each part in ascending order; every index occurs once.

    The longest inputs are assigned first, each to the part with the fewest tokens so far, so that all parts
    take about the same time. A part is closed when it has `max_items` items. A new part is added when an item
    would exceed `max_tokens` in every open part.

    Args:
        costs: the tokens of each item.
        limits: the limits of each part.
        engine_count: number of engines that can run parts concurrently.
    """
    if not costs:
        return []
    parts: list[list[int]] = [[] for _ in range(count_parts(costs, limits, engine_count))]
    open_parts = [(0.0, part_index) for part_index in range(len(parts))]  # heap of tokens and part index
    for index in sorted(range(len(costs)), key=lambda index: (-costs[index], index)):
        cost = costs[index]
        if not open_parts or _exceeds_token_limit(parts, open_parts[0], cost, limits):
            heappush(open_parts, (0.0, len(parts)))  # the first of the heap, as all others have tokens
            parts.append([])
        part_tokens, part_index = open_parts[0]
        parts[part_index].append(index)
        if len(parts[part_index]) < limits.max_items:
            heapreplace(open_parts, (part_tokens + cost, part_index))
        else:
            heappop(open_parts)
    return [sorted(part) for part in parts if part]


def _exceeds_token_limit(
    parts: list[list[int]], least_loaded: tuple[float, int], cost: float, limits: PartLimits
) -> bool:
    """Return whether an item would exceed `max_tokens` in the open part with the fewest tokens."""
    part_tokens, part_index = least_loaded
    return bool(parts[part_index]) and part_tokens + cost > limits.max_tokens
