"""Connections to other nodes, and the record updates that are gathered for each of them."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.replication.wire import CALL_TIMEOUT, FORMAT_VERSION, PEERS_SERVICE, encode_record
from myrtlehub.proto import peers_pb2 as pb
from myrtlehub.recovery.sequence_records import SequenceRecord
from myrtlehub.rpc.channel import Channel

GATHER_DELAY = 0.05  # seconds to gather updates that nothing waits for: messages cost more than records


class PendingUpdate(NamedTuple):
    """A version of a record that a peer is to be told of."""

    version: int
    record: SequenceRecord
    is_ended: bool


class PeerConnection:
    """Another node: its channel, the incarnation that answers there, and updates that wait to be sent."""

    def __init__(self, name: str, channel: Channel) -> None:
        self.name = name
        self.channel = channel
        self.incarnation = ""  # empty: it did not answer the last call
        self.outbox: dict[str, PendingUpdate] = {}  # by sequence
        self.is_flush_scheduled = False
        self.is_gathering = False


class UpdateObserver(Protocol):
    """Who hears what became of the updates that were sent."""

    def update_answered(
        self, replica: str, incarnation: str, sequence_id: str, version: int, reply: str
    ) -> None:
        """Take a replica's reply, a value of `ReplicaReply`."""

    def update_failed(self, replica: str, sequence_id: str) -> None:
        """Note that no reply came."""


class PeerConnections:
    """The connections of one node to all others, made at their first use."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        addresses: dict[str, str],
        clock: Clock,
        dial: Callable[[str], Callable],
        log: Log,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.addresses = addresses
        self.clock = clock
        self.dial = dial
        self.log = log
        self.observer: UpdateObserver | None = None
        self.peers: dict[str, PeerConnection] = {}

    def peer(self, name: str) -> PeerConnection:
        """Return another node's connection."""
        peer = self.peers.get(name)
        if peer is None:
            address = self.addresses[name]
            channel = Channel(self.clock, self.dial(address), address, connect_timeout=CALL_TIMEOUT)
            peer = PeerConnection(name, channel)
            self.peers[name] = peer
        return peer

    def reachable_incarnations(self, names: list[str]) -> dict[str, str]:
        """Return the incarnations of those of these nodes that answered the last call."""
        return {name: self.peer(name).incarnation for name in names if self.peer(name).incarnation}

    def schedule_flush(self, peer: PeerConnection, is_urgent: bool) -> None:
        """Send the outbox after this turn, or a little later if nothing waits, all in one message."""
        if is_urgent and not peer.is_flush_scheduled:
            peer.is_flush_scheduled = True
            self.clock.callLater(0, self.flush, peer)
        elif not is_urgent and not peer.is_gathering:
            peer.is_gathering = True
            self.clock.callLater(GATHER_DELAY, self._flush_gathered, peer)

    def _flush_gathered(self, peer: PeerConnection) -> None:
        peer.is_gathering = False
        if peer.outbox:
            self.flush(peer)

    def flush(self, peer: PeerConnection) -> None:
        """Send the outbox; with nothing in it the message is a heartbeat."""
        peer.is_flush_scheduled = False
        updates = peer.outbox
        peer.outbox = {}
        now = self.clock.seconds()
        request = pb.KeepRequest(
            format=FORMAT_VERSION,
            node=self.node,
            run=self.incarnation,
            records=[encode_record(update.record, now, update.is_ended) for update in updates.values()],
        )
        versions = {sequence_id: update.version for sequence_id, update in updates.items()}
        done = peer.channel.unary(PEERS_SERVICE + "Keep", request.SerializeToString(), timeout=CALL_TIMEOUT)
        done.addCallbacks(
            lambda data: self._answered(peer, versions, pb.KeepReply.FromString(data)),
            lambda failure: self._failed(peer, versions),
        )
        done.addErrback(lambda failure: self.log(LogEvent.UNEXPECTED_ERROR, traceback=failure.getTraceback()))

    def _answered(self, peer: PeerConnection, versions: dict[str, int], reply: pb.KeepReply) -> None:
        peer.incarnation = reply.run
        for (sequence_id, version), word in zip(versions.items(), reply.words, strict=True):
            self.observer.update_answered(peer.name, reply.run, sequence_id, version, word)

    def _failed(self, peer: PeerConnection, versions: dict[str, int]) -> None:
        peer.incarnation = ""
        for sequence_id in versions:
            self.observer.update_failed(peer.name, sequence_id)

    def close(self) -> None:
        """Close all connections."""
        for peer in self.peers.values():
            peer.channel.close()
