"""Replica placement: every node computes the same replicas of a node, without messages.

Placement uses rendezvous hashing (Thaler and Ravishankar, 1998): each node ranks all others by a hash of
both names, so a node that joins or leaves changes the replicas of few others. Replicas are assigned to nodes
and not to sequences, so that a node keeps connections to its replicas only instead of to the whole fleet.
Nodes of other zones rank first, because a whole zone may fail at once.
"""

from collections.abc import Mapping

import xxhash


def rank_nodes(node: str, zones: Mapping[str, str]) -> list[str]:
    """Rank all other nodes as replicas of a node.

    The first node of every other zone comes before the second node of any; nodes of the same zone as `node`
    come last.

    Args:
        node: the node whose replicas are wanted.
        zones: the zone of each node, this one included.
    """
    by_weight = sorted((other for other in zones if other != node), key=lambda other: _weight(node, other))
    own_zone = zones.get(node)
    rank_in_zone: dict[str, int] = {}
    ranked_count: dict[str, int] = {}  # by zone
    for other in by_weight:
        ranked_count[zones[other]] = ranked_count.get(zones[other], 0) + 1
        rank_in_zone[other] = ranked_count[zones[other]]
    # The sort is stable: nodes with equal keys stay in the order of their weights.
    return sorted(by_weight, key=lambda other: (zones[other] == own_zone, rank_in_zone[other]))


def replicas_of(node: str, zones: Mapping[str, str], replica_count: int) -> list[str]:
    """Return the replicas of a node, the highest ranked first."""
    return rank_nodes(node, zones)[:replica_count]


def origin_node(sequence_id: str) -> str:
    """Return the node that accepted a sequence, from an id of the form NODE.INCARNATION.NUMBER.

    The id is split from its end, because the names of nodes may contain dots.
    """
    return sequence_id.rsplit(".", 2)[0]


def _weight(node: str, other: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{node}\0{other}".encode()), other
