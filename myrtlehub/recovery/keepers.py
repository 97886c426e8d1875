"""Which nodes keep what another has in hand: an order that all nodes share without a word. Pure.

Rendezvous hashing (Thaler and Ravishankar 1998): each node ranks all others by a hash of both names, so that
one node that comes or goes moves no other's keepers. Keepers are a node's and not a sequence's: a node then
has two connections to keep up, and hundreds of nodes no mesh of them. Other zones come first, as a zone may
be lost whole.
"""

from collections.abc import Mapping

import xxhash


def order(node: str, zones: Mapping[str, str]) -> list[str]:
    """All other nodes by how soon they keep for this one; `zones` by node.

    One of each other zone in turn comes before a second one of any, and those of its own zone last.
    """
    ranked = sorted(
        (n for n in zones if n != node), key=lambda n: (xxhash.xxh3_64_intdigest(f"{node}\0{n}".encode()), n)
    )
    home, place, turns = zones.get(node), {}, {}
    for n in ranked:
        place[n] = turns[zones[n]] = turns.get(zones[n], 0) + 1
    rank = {n: i for i, n in enumerate(ranked)}
    return sorted(ranked, key=lambda n: (zones[n] == home, place[n], rank[n]))


def keepers(node: str, zones: Mapping[str, str], copies: int) -> list[str]:
    """The nodes that keep for this one, the first taker first."""
    return order(node, zones)[:copies]


def node_of(sequence: str) -> str:
    """The node that took a sequence, by its id: NAME.RUN.NUMBER, where names may have dots."""
    return sequence.rsplit(".", 2)[0]
