"""Which nodes are the replicas of which: a ranking that all nodes compute alike, without a message.

Rendezvous hashing (Thaler and Ravishankar 1998): each node ranks all others by a hash of both names, so
that one node that joins or leaves moves no other's replicas. Replicas are chosen by node and not by
sequence: a node then keeps two connections open, and hundreds of nodes form no mesh. Other zones come
first, as a zone may be lost whole.
"""

from collections.abc import Mapping

import xxhash


def rank_nodes(node: str, zones: Mapping[str, str]) -> list[str]:
    """Rank all other nodes as replicas of this one; `zones` by node.

    One of each other zone in turn comes before a second one of any, and those of its own zone last.
    """
    by_weight = sorted((other for other in zones if other != node), key=lambda other: _weight(node, other))
    own_zone = zones.get(node)
    place_in_zone: dict[str, int] = {}
    ranked_of_zone: dict[str, int] = {}
    for other in by_weight:
        ranked_of_zone[zones[other]] = ranked_of_zone.get(zones[other], 0) + 1
        place_in_zone[other] = ranked_of_zone[zones[other]]
    # Sorting is stable: what ranks alike stays in the order of the weights.
    return sorted(by_weight, key=lambda other: (zones[other] == own_zone, place_in_zone[other]))


def replicas_of(node: str, zones: Mapping[str, str], copies: int) -> list[str]:
    """Return the replicas of a node, the highest ranked first."""
    return rank_nodes(node, zones)[:copies]


def origin_node(sequence_id: str) -> str:
    """Return the node that accepted a sequence, by its id: NAME.INCARNATION.NUMBER; names may have dots."""
    return sequence_id.rsplit(".", 2)[0]


def _weight(node: str, other: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{node}\0{other}".encode()), other
