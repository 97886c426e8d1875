"""Which nodes are changed in which stage. Pure."""

from collections import Counter
from collections.abc import Sequence
from math import ceil


def deal(zones: Sequence[str], until: Sequence[int | float], one_zone: int) -> tuple[tuple[int, ...], ...]:
    """Nodes by stage, as indices. `zones` has a node's zone each; `until` how many have the change after a
    stage, as a count (int) or a share (float).

    In the first `one_zone` stages all come from a single zone, the largest: a change that breaks a zone
    breaks one. After that each stage takes from all zones alike. Raises ValueError where that cannot be.
    """
    counts = [n if isinstance(n, int) else max(1, ceil(n * len(zones) - 1e-9)) for n in until]
    if counts != sorted(set(counts)) or counts[-1] > len(zones):
        raise ValueError(f"stages have to grow, up to {len(zones)} nodes at most: they come to {counts}")
    sizes = Counter(zones)
    largest = max(sizes, key=lambda z: (sizes[z], z))
    at_first = counts[one_zone - 1] if one_zone else 0
    if at_first > sizes[largest]:
        raise ValueError(
            f"the first {one_zone} stages change {at_first} nodes and are to stay in one zone, "
            f"but the largest, {largest!r}, has {sizes[largest]}"
        )
    order = [i for i, z in enumerate(zones) if z == largest][:at_first]
    rest = [i for i in range(len(zones)) if i not in set(order)]
    place: Counter[str] = Counter()
    ranked = []
    for i in rest:
        place[zones[i]] += 1
        ranked.append((place[zones[i]] / sizes[zones[i]], i))  # zones take turns by their size
    order += [i for _, i in sorted(ranked)]
    starts = [0, *counts]
    return tuple(tuple(order[a:b]) for a, b in zip(starts, counts, strict=False))
