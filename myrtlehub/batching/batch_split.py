"""Splitting a batch into parts by token cost, over as many engines as pays off."""

from collections.abc import Sequence
from heapq import heappop, heappush, heapreplace
from typing import NamedTuple


class PartLimits(NamedTuple):
    """What one engine takes in one part, and from which size a part is worth sending."""

    max_tokens: float  # a single longer input becomes a part of its own
    max_items: int
    min_tokens: float  # below this a further part costs more to send than it saves


def count_parts(costs: Sequence[float], limits: PartLimits, engine_count: int) -> int:
    """Return the number of parts for items of these costs, where each engine could run one at the same time.

    There are as many as the limits of one part require, and beyond that one for each engine as long as each
    is worth sending.
    """
    total = sum(costs)
    needed_by_items = -(-len(costs) // limits.max_items)
    needed_by_tokens = int(-(-total // max(1.0, limits.max_tokens)))
    needed = max(needed_by_items, needed_by_tokens, 1)
    worth_sending = int(total // max(1.0, limits.min_tokens))
    return min(len(costs), max(needed, min(engine_count, worth_sending)))


def split_batch(costs: Sequence[float], limits: PartLimits, engine_count: int) -> list[list[int]]:
    """Return the item indices of each part in rising order; every index occurs once.

    The longest inputs are assigned first, each to the part with the fewest tokens so far, so that parts end
    at about the same time. A part that has all its items, or would exceed its tokens, takes no more, and
    another one is added for what fits nowhere.
    """
    if not costs:
        return []
    parts: list[list[int]] = [[] for _ in range(count_parts(costs, limits, engine_count))]
    open_parts = [(0.0, number) for number in range(len(parts))]  # heap of tokens so far and part number
    for index in sorted(range(len(costs)), key=lambda i: (-costs[i], i)):
        tokens, number = open_parts[0] if open_parts else (0.0, -1)
        if number < 0 or (parts[number] and tokens + costs[index] > limits.max_tokens):
            parts.append([])  # the emptiest part has no capacity for it, so none has
            tokens = 0.0
            number = len(parts) - 1
            heappush(open_parts, (tokens, number))  # comes first, as all others hold something
        parts[number].append(index)
        if len(parts[number]) < limits.max_items:
            heapreplace(open_parts, (tokens + costs[index], number))
        else:
            heappop(open_parts)
    return [sorted(part) for part in parts if part]
