"""The replica's side of replication: records of other nodes are stored, and handed out for a takeover.

What is held and evicted is decided in `recovery.replica_store`, which node has failed in
`recovery.failure_detector`.
"""

from collections.abc import Callable

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.replication.wire import FORMAT_VERSION, PEERS_SERVICE, decode_record, encode_record
from myrtlehub.proto import peers_pb2 as pb
from myrtlehub.recovery.failure_detector import FailureDetector
from myrtlehub.recovery.replica_store import ReplicaStore
from myrtlehub.recovery.sequence_records import Ownership, ReplicaReply, SequenceRecord
from myrtlehub.rpc.method_handlers import unary
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code, RpcError


class ReplicaService:
    """Serves `Peers`. `on_abandoned` gets each record of a failed owner that no client came back for."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        store: ReplicaStore,
        return_timeout: float,
        clock: Clock,
        log: Log,
    ) -> None:
        """Make the service; `return_timeout`: seconds for which clients of a failed owner are waited for."""
        self.incarnation = incarnation
        self.owner = f"{node}.{incarnation}"
        self.store = store
        self.return_timeout = return_timeout
        self.clock = clock
        self.log = log
        self.detector = FailureDetector(clock.seconds())
        self.on_abandoned: Callable[[SequenceRecord], None] = lambda record: None
        self.handed_out = 0  # records, since the start
        self.server = Server(clock)
        self.server.add(PEERS_SERVICE + "Keep", unary(self._keep))
        self.server.add(PEERS_SERVICE + "Take", unary(self._take))

    def check_owners(self, now: float) -> None:
        """Drop expired records, and find out which owners have failed; once per heartbeat interval."""
        self.store.remove_expired(now)
        for suspect in self.detector.check(now):
            self.detector.forget(suspect.node)
            self._owner_lost(suspect.node, suspect.incarnation)

    def _owner_lost(self, node: str, incarnation: str) -> None:
        """Give the clients of a failed or restarted owner a while to come back elsewhere."""
        records = self.store.records_of(f"{node}.{incarnation}")
        if records:
            self.log(LogEvent.OWNER_LOST, node=node, incarnation=incarnation, sequences=len(records))
            self.clock.callLater(self.return_timeout, self._abandon, node, incarnation)

    def _abandon(self, node: str, incarnation: str) -> None:
        """Take over what no client came back for, so that engines can be told to drop it."""
        if self.detector.is_alive(node, incarnation):
            return
        for record in self.store.records_of(f"{node}.{incarnation}"):
            self.on_abandoned(self.store.hand_out(record.sequence_id, self.owner))

    def _keep(self, call: ServerCall, data: bytes) -> bytes:
        request = pb.KeepRequest.FromString(data)
        now = self.clock.seconds()
        if request.format > FORMAT_VERSION:
            raise RpcError(
                Code.FAILED_PRECONDITION,
                f"records are in format {request.format}, and this node knows formats up to {FORMAT_VERSION}",
            )
        former_incarnation = self.detector.record_heartbeat(request.node, request.run, now)
        if former_incarnation:
            self._owner_lost(request.node, former_incarnation)
        replies = [self._update(message, now) for message in request.records]
        return pb.KeepReply(format=FORMAT_VERSION, run=self.incarnation, words=replies).SerializeToString()

    def _update(self, message: pb.Record, now: float) -> ReplicaReply:
        if message.ended:
            return self.store.end(message.sequence, Ownership(message.epoch, message.owner))
        return self.store.store(decode_record(message, now))

    def _take(self, call: ServerCall, data: bytes) -> bytes:
        return self.hand_out(pb.TakeRequest.FromString(data)).SerializeToString()

    def hand_out(self, request: pb.TakeRequest) -> pb.TakeReply:
        """Hand a record out to the node that takes its sequence over."""
        record = self.store.hand_out(request.sequence, request.by, request.least)
        self.handed_out += record is not None
        message = encode_record(record, self.clock.seconds()) if record is not None else None
        return pb.TakeReply(run=self.incarnation, record=message)
