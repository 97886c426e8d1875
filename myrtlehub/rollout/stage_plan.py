"""Which nodes are changed in which stage."""

from collections import Counter
from collections.abc import Sequence
from itertools import pairwise
from math import ceil

ROUNDING_SLACK = 1e-9  # a share of nodes that is a whole number but for rounding is not rounded up


def assign_stages(
    zones: Sequence[str], sizes: Sequence[int | float], single_zone_stages: int
) -> tuple[tuple[int, ...], ...]:
    """Return the nodes of each stage, as indices.

    In the first `single_zone_stages` stages all come from one zone, the largest: a change that breaks a zone
    breaks one. After that each stage takes from all zones alike.

    Args:
        zones: each node's zone.
        sizes: how many nodes have the change after each stage, as a count (int) or a share (float).
        single_zone_stages: how many stages stay within one zone at first.

    Raises:
        ValueError: the stages do not grow, or do not fit into the fleet or the largest zone.
    """
    counts = _node_counts(sizes, len(zones))
    zone_sizes = Counter(zones)
    largest = max(zone_sizes, key=lambda zone: (zone_sizes[zone], zone))
    first_count = counts[single_zone_stages - 1] if single_zone_stages else 0
    if first_count > zone_sizes[largest]:
        raise ValueError(
            f"the first {single_zone_stages} stages change {first_count} nodes and are to stay in one zone, "
            f"but the largest, {largest!r}, has {zone_sizes[largest]}"
        )
    first_nodes = [node for node, zone in enumerate(zones) if zone == largest][:first_count]
    order = first_nodes + _alternating_by_zone(zones, zone_sizes, set(first_nodes))
    return tuple(tuple(order[start:end]) for start, end in pairwise([0, *counts]))


def _node_counts(sizes: Sequence[int | float], node_count: int) -> list[int]:
    counts = [
        size if isinstance(size, int) else max(1, ceil(size * node_count - ROUNDING_SLACK)) for size in sizes
    ]
    if counts != sorted(set(counts)) or counts[-1] > node_count:
        raise ValueError(f"stages have to grow, up to {node_count} nodes at most: they come to {counts}")
    return counts


def _alternating_by_zone(zones: Sequence[str], zone_sizes: Counter[str], taken: set[int]) -> list[int]:
    """Order the nodes that are not taken yet so that zones take turns by their size."""
    seen: Counter[str] = Counter()
    ranked = []
    for node, zone in enumerate(zones):
        if node not in taken:
            seen[zone] += 1
            ranked.append((seen[zone] / zone_sizes[zone], node))
    return [node for _, node in sorted(ranked)]
