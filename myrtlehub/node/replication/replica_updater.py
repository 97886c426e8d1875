"""Sends record updates to the replicas of a sequence."""

from collections.abc import Iterable

from myrtlehub.node.replication.peer_connections import PeerConnections, PendingUpdate
from myrtlehub.recovery.ownership import OwnedSequence, ReplicaIncarnation
from myrtlehub.recovery.replica_store import ReplicaStore


class ReplicaUpdater:
    """Sends updates to other nodes, and to this node's own store.

    If this node is a replica of the node from which it took over a sequence, then it is itself one of the
    replicas of that sequence.
    """

    def __init__(self, connections: PeerConnections, local_store: ReplicaStore) -> None:
        self.connections = connections
        self.local_store = local_store

    def update(self, owned: OwnedSequence) -> OwnedSequence:
        """Send the record to all replicas; a send may wait for their replies.

        Returns:
            The sequence with the reply of this node's own store; the other replies arrive later.
        """
        updated = owned
        for replica in owned.replicas:
            if replica.node == self.connections.node:
                updated = self._update_local_store(owned, replica)
            else:
                self._queue(owned, replica, is_completed=False)
        return updated

    def complete(self, owned: OwnedSequence) -> None:
        """Notify all replicas that the final answer was sent, so that they remove the record."""
        for replica in owned.replicas:
            if replica.node == self.connections.node:
                self.local_store.complete(owned.record.sequence_id, owned.record.ownership)
            else:
                self._queue(owned, replica, is_completed=True)

    def update_with_next_heartbeat(self, owned: OwnedSequence) -> None:
        """Queue the record for the next message to each replica, unless a newer update is already queued."""
        for replica in owned.replicas:
            outbox = self.connections.peer(replica.node).outbox
            outbox.setdefault(owned.record.sequence_id, PendingUpdate(owned.version, owned.record, False))

    def send_heartbeats(self, replicas: Iterable[str]) -> None:
        """Send a heartbeat to each of these nodes, with the updates that are queued for it."""
        for name in sorted(set(replicas) - {self.connections.node}):
            self.connections.flush(self.connections.peer(name))

    def _queue(self, owned: OwnedSequence, replica: ReplicaIncarnation, is_completed: bool) -> None:
        peer = self.connections.peer(replica.node)
        update = PendingUpdate(owned.version, owned.record, is_completed)
        peer.outbox[owned.record.sequence_id] = update
        self.connections.schedule_flush(peer, is_urgent=not is_completed)

    def _update_local_store(self, owned: OwnedSequence, replica: ReplicaIncarnation) -> OwnedSequence:
        reply = self.local_store.store(owned.record)
        return owned.acknowledge(replica.node, replica.incarnation, owned.version, reply)
