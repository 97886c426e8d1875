"""Connections to other nodes, and the record updates that are queued for each of them."""

from typing import NamedTuple, Protocol

from twisted.python.failure import Failure

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.replication.wire import CALL_TIMEOUT, FORMAT_VERSION, PEERS_SERVICE, encode_record
from myrtlehub.proto import peers_pb2 as pb
from myrtlehub.recovery.sequence_records import SequenceRecord
from myrtlehub.rpc.channel import Channel, Dialer

BATCHING_DELAY = 0.05  # seconds that a non-urgent update is delayed, so that several updates share a message


class PendingUpdate(NamedTuple):
    """A version of a record to be sent to a peer."""

    version: int
    record: SequenceRecord
    is_completed: bool  # the final answer was sent


class PeerConnection:
    """A connection to another node, with the updates that are queued for it."""

    def __init__(self, name: str, channel: Channel) -> None:
        self.name = name
        self.channel = channel
        self.incarnation: str | None = None  # None: not called yet, or the last call failed
        self.outbox: dict[str, PendingUpdate] = {}  # by sequence id; only the newest version is sent
        self.is_flush_scheduled = False
        self.is_batch_flush_scheduled = False


class UpdateObserver(Protocol):
    """Receives the replies to updates."""

    def update_answered(
        self, replica: str, incarnation: str | None, sequence_id: str, version: int, reply: str
    ) -> None:
        """Handle a replica's reply: a value of `ReplicaReply`, or one that only a newer release defines."""

    def update_failed(self, replica: str, sequence_id: str) -> None:
        """Handle an update that got no reply."""


class _NoObserver:
    """Placeholder until `PeerConnections.observer` is set; no update is sent before that."""

    def update_answered(
        self, replica: str, incarnation: str | None, sequence_id: str, version: int, reply: str
    ) -> None:
        """Do nothing."""

    def update_failed(self, replica: str, sequence_id: str) -> None:
        """Do nothing."""


class PeerConnections:
    """The connections of one node to all other nodes; each is created on first use."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        addresses: dict[str, str],
        clock: Clock,
        dial: Dialer,
        log: Log,
    ) -> None:
        """Create the object without any connection.

        Args:
            node: this node's name.
            incarnation: this node's incarnation.
            addresses: the address of each node, by node name.
            clock: time and timers.
            dial: returns the connect function of an address.
            log: the operators' log.
        """
        self.node = node
        self.incarnation = incarnation
        self.addresses = addresses
        self.clock = clock
        self.dial = dial
        self.log = log
        self.observer: UpdateObserver = _NoObserver()
        self.peers: dict[str, PeerConnection] = {}

    def peer(self, name: str) -> PeerConnection:
        """Return the connection to another node, creating it on first use."""
        peer = self.peers.get(name)
        if peer is None:
            address = self.addresses[name]
            channel = Channel(self.clock, self.dial(address), address, connect_timeout=CALL_TIMEOUT)
            peer = PeerConnection(name, channel)
            self.peers[name] = peer
        return peer

    def reachable_incarnations(self, names: list[str]) -> dict[str, str]:
        """Return the incarnations, by name, of those of the named nodes that replied to the last call."""
        incarnations = {name: self.peer(name).incarnation for name in names}
        return {name: incarnation for name, incarnation in incarnations.items() if incarnation is not None}

    def schedule_flush(self, peer: PeerConnection, is_urgent: bool) -> None:
        """Schedule a message with all updates in the outbox.

        Args:
            peer: the connection.
            is_urgent: whether a send waits for the reply. If so, the outbox is sent in the next iteration
                of the event loop, else after `BATCHING_DELAY`.
        """
        if is_urgent and not peer.is_flush_scheduled:
            peer.is_flush_scheduled = True
            self.clock.callLater(0, self.flush, peer)
        elif not is_urgent and not peer.is_batch_flush_scheduled:
            peer.is_batch_flush_scheduled = True
            self.clock.callLater(BATCHING_DELAY, self._flush_batch, peer)

    def _flush_batch(self, peer: PeerConnection) -> None:
        peer.is_batch_flush_scheduled = False
        if peer.outbox:
            self.flush(peer)

    def flush(self, peer: PeerConnection) -> None:
        """Send all updates in the outbox; with an empty outbox, the message is only a heartbeat."""
        peer.is_flush_scheduled = False
        updates = peer.outbox
        peer.outbox = {}
        now = self.clock.seconds()
        request = pb.KeepRequest(
            format=FORMAT_VERSION,
            node=self.node,
            run=self.incarnation,
            records=[encode_record(update.record, now, update.is_completed) for update in updates.values()],
        )
        versions = {sequence_id: update.version for sequence_id, update in updates.items()}
        reply = peer.channel.unary(PEERS_SERVICE + "Keep", request.SerializeToString(), timeout=CALL_TIMEOUT)
        reply.addCallbacks(
            lambda data: self._flush_answered(peer, versions, pb.KeepReply.FromString(data)),
            lambda failure: self._flush_failed(peer, versions),
        )
        reply.addErrback(self._log_unexpected_error)

    def _flush_answered(self, peer: PeerConnection, versions: dict[str, int], reply: pb.KeepReply) -> None:
        peer.incarnation = reply.run or None
        for (sequence_id, version), update_reply in zip(versions.items(), reply.words, strict=True):
            self.observer.update_answered(peer.name, peer.incarnation, sequence_id, version, update_reply)

    def _flush_failed(self, peer: PeerConnection, versions: dict[str, int]) -> None:
        peer.incarnation = None
        for sequence_id in versions:
            self.observer.update_failed(peer.name, sequence_id)

    def _log_unexpected_error(self, failure: Failure) -> None:
        self.log(LogEvent.UNEXPECTED_ERROR, traceback=failure.getTraceback())

    def close(self) -> None:
        """Close all connections."""
        for peer in self.peers.values():
            peer.channel.close()
