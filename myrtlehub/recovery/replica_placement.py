"""Replica placement: all nodes compute the same replicas for a node, without exchanging messages.

Placement uses rendezvous hashing (Thaler and Ravishankar, 1998): each node ranks all others by a hash of
both names, so a node that joins or leaves changes the replicas of few others. Replicas are assigned to nodes
and not to sequences, so that a node needs connections to its replicas only and not to the whole fleet. Nodes
in other zones rank first, because a whole zone may fail at once.
"""

from collections.abc import Mapping

import xxhash


def rank_nodes(node: str, zones: Mapping[str, str]) -> list[str]:
    """Rank all other nodes as candidates for the replicas of a node.

    The first node of every other zone precedes the second node of any zone. Nodes in the zone of `node` come
    last.

    Args:
        node: the node that needs replicas.
        zones: the zone of each node, `node` included.
    """
    candidates = sorted(
        (other for other in zones if other != node), key=lambda other: _rendezvous_weight(node, other)
    )
    own_zone = zones.get(node)
    rank_in_zone: dict[str, int] = {}
    nodes_ranked_by_zone: dict[str, int] = {}
    for other in candidates:
        nodes_ranked_by_zone[zones[other]] = nodes_ranked_by_zone.get(zones[other], 0) + 1
        rank_in_zone[other] = nodes_ranked_by_zone[zones[other]]
    # The sort is stable, so nodes with equal keys stay in the order of their rendezvous weights.
    return sorted(candidates, key=lambda other: (zones[other] == own_zone, rank_in_zone[other]))


def replicas_of(node: str, zones: Mapping[str, str], replica_count: int) -> list[str]:
    """Return the replicas of a node, the highest ranked first."""
    return rank_nodes(node, zones)[:replica_count]


def origin_node(sequence_id: str) -> str:
    """Return the node that accepted a sequence, from an id of the form NODE.INCARNATION.NUMBER.

    The id is split from its end, because node names may contain dots.
    """
    return sequence_id.rsplit(".", 2)[0]


def _rendezvous_weight(node: str, other: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{node}\0{other}".encode()), other
