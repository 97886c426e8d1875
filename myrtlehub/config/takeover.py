"""Replication of sequence records, and takeover by other nodes."""

from typing import Annotated

from pydantic import Field

from myrtlehub.config.field_types import Address, Count, Name, find_duplicates
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration


class PeerConfig(ConfigModel):
    """One node of the fleet, as other nodes reach it."""

    name: Name
    address: Address
    zone: Name


class TakeoverConfig(ConfigModel):
    """Sequences survive the loss of their node: other nodes replicate their records."""

    listen: Address  # for other nodes
    peers: Annotated[list[PeerConfig], Field(min_length=2)]  # all nodes of the fleet, this one too
    copies: Count = 2  # replicas of this node's records
    keep: Count = 20000  # records of other nodes, at most
    patience: Duration = 0.1  # longest that a send waits for a replica that does not answer
    comes_back: Duration = 2.0  # after the loss of a node, until a sequence whose client is absent is dropped

    def check_peers(self, node_name: str) -> None:
        """Raise ValueError where the peers are ambiguous, or this node is not among them."""
        names = [peer.name for peer in self.peers]
        addresses = [peer.address for peer in self.peers]
        for field, values in (("name", names), ("address", addresses)):
            duplicates = find_duplicates(values)
            if duplicates:
                raise ValueError(f"takeover.peers: {field} {', '.join(duplicates)} stands more than once")
        if node_name not in names:
            raise ValueError(f"takeover.peers: {node_name!r}, this node, is not among them")
