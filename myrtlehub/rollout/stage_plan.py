"""The assignment of nodes to the stages of a rollout."""

from collections import Counter
from collections.abc import Sequence
from itertools import pairwise
from math import ceil

from myrtlehub.rollout.errors import StagePlanError

ROUNDING_SLACK = 1e-9  # nodes; keeps floating-point error from rounding a whole number of nodes up


def assign_stages(
    zones: Sequence[str], sizes: Sequence[int | float], single_zone_stages: int
) -> tuple[tuple[int, ...], ...]:
    """Return the indices of the nodes of each stage.

    The first `single_zone_stages` stages change nodes of the largest zone only, so that a change that breaks
    a zone breaks only that one. Later stages take nodes from all zones in proportion to their sizes.

    Args:
        zones: the zone of each node.
        sizes: how many nodes have the change after each stage, as a count (int) or a fraction (float).
        single_zone_stages: how many of the first stages stay within one zone.

    Raises:
        StagePlanError: the stages do not grow, or do not fit into the fleet or the largest zone.
    """
    counts = _node_counts(sizes, len(zones))
    zone_sizes = Counter(zones)
    largest = max(zone_sizes, key=lambda zone: (zone_sizes[zone], zone))
    first_count = counts[single_zone_stages - 1] if single_zone_stages else 0
    if first_count > zone_sizes[largest]:
        raise StagePlanError(
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
        raise StagePlanError(f"stages have to grow, up to {node_count} nodes at most: they come to {counts}")
    return counts


def _alternating_by_zone(zones: Sequence[str], zone_sizes: Counter[str], assigned: set[int]) -> list[int]:
    """Order the unassigned nodes so that every prefix takes about the same fraction of each zone."""
    seen: Counter[str] = Counter()
    ranked = []
    for node, zone in enumerate(zones):
        if node not in assigned:
            seen[zone] += 1
            ranked.append((seen[zone] / zone_sizes[zone], node))
    return [node for _, node in sorted(ranked)]
