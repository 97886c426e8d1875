"""Settings of replication and takeover: `takeover` in a node's file."""

from typing import Annotated

from pydantic import Field

from myrtlehub.config.field_types import Address, Count, Name, find_duplicates
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration


class PeerConfig(ConfigModel):
    """One node of the fleet, by the address at which other nodes reach it."""

    name: Name
    address: Address
    zone: Name


class TakeoverConfig(ConfigModel):
    """Replication of sequence records to other nodes, which can then take the sequences over."""

    listen: Address  # address for connections of other nodes, not of clients
    peers: Annotated[list[PeerConfig], Field(min_length=2)]  # all nodes of the fleet, this one included
    copies: Count = 2  # number of replicas of this node's records
    keep: Count = 20000  # largest number of records that this node stores for others
    patience: Duration = 0.1  # longest time that a send waits for a replica that does not reply
    comes_back: Duration = 2.0  # time after the loss of a node within which its clients may resume

    def check_peers(self, node_name: str) -> None:
        """Check that names and addresses are unique, and that this node is among the peers.

        Raises:
            ValueError: they are not; pydantic reports it as an error of the settings file.
        """
        names = [peer.name for peer in self.peers]
        addresses = [peer.address for peer in self.peers]
        for field, values in (("name", names), ("address", addresses)):
            duplicates = find_duplicates(values)
            if duplicates:
                raise ValueError(f"takeover.peers: {field} {', '.join(duplicates)} stands more than once")
        if node_name not in names:
            raise ValueError(f"takeover.peers: {node_name!r}, this node, is not among them")
