"""Replication of one node, as owner and as replica."""

from twisted.internet.defer import Deferred, succeed

from myrtlehub.clock import Clock
from myrtlehub.config.takeover import TakeoverConfig
from myrtlehub.log_events import Log
from myrtlehub.node.replication.peer_connections import PeerConnections
from myrtlehub.node.replication.record_publisher import RecordPublisher
from myrtlehub.node.replication.replica_service import ReplicaService
from myrtlehub.node.replication.wire import CALL_TIMEOUT, PEERS_SERVICE
from myrtlehub.proto import peers_pb2 as pb
from myrtlehub.recovery.failure_detector import HEARTBEAT_INTERVAL
from myrtlehub.recovery.replica_placement import origin_node, replicas_of
from myrtlehub.recovery.replica_store import ReplicaStore
from myrtlehub.rpc.channel import Dialer
from myrtlehub.rpc.server import Server


class Replication:
    """Replicates this node's records, stores those of other nodes, and sends heartbeats."""

    def __init__(
        self,
        settings: TakeoverConfig,
        node: str,
        incarnation: str,
        clock: Clock,
        dial: Dialer,
        log: Log,
    ) -> None:
        """Start replication.

        Args:
            settings: the `takeover` section of the node's settings.
            node: this node's name.
            incarnation: this node's incarnation.
            clock: time and timers.
            dial: returns the connect function of an address.
            log: the operators' log.
        """
        self.settings = settings
        self.node = node
        self.clock = clock
        self.log = log
        self.zones = {peer.name: peer.zone for peer in settings.peers}
        addresses = {peer.name: peer.address for peer in settings.peers}
        self.owner = f"{node}.{incarnation}"
        self.store = ReplicaStore(settings.keep)
        self.connections = PeerConnections(node, incarnation, addresses, clock, dial, log)
        self.publisher = RecordPublisher(
            self.owner,
            replicas_of(node, self.zones, settings.copies),
            settings.patience,
            self.connections,
            self.store,
            clock,
            log,
        )
        self.connections.observer = self.publisher
        self.service = ReplicaService(node, incarnation, self.store, settings.comes_back, clock, log)
        clock.callLater(0, self._heartbeat)

    @property
    def server(self) -> Server:
        """The server that other nodes connect to."""
        return self.service.server

    def _heartbeat(self) -> None:
        """Send heartbeats, check those of other nodes, and schedule the next call."""
        now = self.clock.seconds()
        self.clock.callLater(HEARTBEAT_INTERVAL, self._heartbeat)
        self.publisher.send_heartbeats()
        self.publisher.assign_missing_replicas()
        self.service.check_owners(now)

    def replicas_of_sequence(self, sequence_id: str) -> list[str]:
        """Return the replicas of the node that accepted a sequence."""
        return replicas_of(origin_node(sequence_id), self.zones, self.settings.copies)

    def fetch_record(self, replica: str, sequence_id: str) -> "Deferred[pb.TakeReply | None]":
        """Request a record from a replica.

        Returns:
            A Deferred that fires with the reply, or with None if the replica did not reply.
        """
        request = pb.TakeRequest(sequence=sequence_id, by=self.owner)
        if replica == self.node:
            return succeed(self.service.transfer_record(request))
        reply = self.connections.peer(replica).channel.unary(
            PEERS_SERVICE + "Take", request.SerializeToString(), timeout=CALL_TIMEOUT
        )
        return reply.addCallbacks(pb.TakeReply.FromString, lambda failure: None)

    def close(self) -> None:
        """Close all connections to other nodes."""
        self.connections.close()
