"""The assignment of nodes to the stages of a rollout."""

from collections import Counter
from collections.abc import Sequence
from itertools import pairwise
from math import ceil

from myrtlehub.rollout.errors import StagePlanError

ROUNDING_TOLERANCE = 1e-9  # nodes; floating-point error must not round a whole number of nodes up


def assign_stages(
    zones: Sequence[str], sizes: Sequence[int | float], single_zone_stages: int
) -> tuple[tuple[int, ...], ...]:
    """Return the indices of the nodes of each stage.

    The first `single_zone_stages` stages change nodes of the largest zone only, so that a faulty change
    affects only one zone. Later stages take nodes from all zones in proportion to their sizes.

    Args:
        zones: the zone of each node.
        sizes: number of changed nodes after each stage, as a count (int) or a fraction of the fleet (float).
        single_zone_stages: number of stages, from the first on, that are limited to one zone.

    Raises:
        StagePlanError: the sizes do not increase, or exceed the fleet or the largest zone.
    """
    counts = _node_counts(sizes, len(zones))
    zone_sizes = Counter(zones)
    largest = max(zone_sizes, key=lambda zone: (zone_sizes[zone], zone))
    single_zone_count = counts[single_zone_stages - 1] if single_zone_stages else 0
    if single_zone_count > zone_sizes[largest]:
        raise StagePlanError(
            f"the first {single_zone_stages} stages change {single_zone_count} nodes and are limited to one "
            f"zone, but the largest zone, {largest!r}, has only {zone_sizes[largest]}"
        )
    single_zone_nodes = [node for node, zone in enumerate(zones) if zone == largest][:single_zone_count]
    order = single_zone_nodes + _interleaved_by_zone(zones, zone_sizes, set(single_zone_nodes))
    return tuple(tuple(order[start:end]) for start, end in pairwise([0, *counts]))


def _node_counts(sizes: Sequence[int | float], node_count: int) -> list[int]:
    counts = [
        size if isinstance(size, int) else max(1, ceil(size * node_count - ROUNDING_TOLERANCE))
        for size in sizes
    ]
    if counts != sorted(set(counts)) or counts[-1] > node_count:
        raise StagePlanError(
            f"stages have to grow, up to at most {node_count} nodes; the plan changes {counts} nodes"
        )
    return counts


def _interleaved_by_zone(zones: Sequence[str], zone_sizes: Counter[str], assigned: set[int]) -> list[int]:
    """Order the unassigned nodes so that every prefix contains about the same fraction of each zone."""
    ranks: Counter[str] = Counter()
    ranked = []
    for node, zone in enumerate(zones):
        if node not in assigned:
            ranks[zone] += 1
            ranked.append((ranks[zone] / zone_sizes[zone], node))
    return [node for _, node in sorted(ranked)]
