"""The replica's side of replication: stores records of other nodes and transfers them for takeovers.

`recovery.replica_store` decides which records are stored and evicted, and `recovery.failure_detector` which
nodes have failed.
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
    """Serves the gRPC service `Peers`.

    `on_abandoned` is called with each record of a failed owner whose client did not resume in time.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        store: ReplicaStore,
        resume_timeout: float,
        clock: Clock,
        log: Log,
    ) -> None:
        """Create the service.

        Args:
            node: this node's name.
            incarnation: this node's incarnation.
            store: the records of other nodes.
            resume_timeout: seconds after the failure of an owner within which its clients may resume.
            clock: time and timers.
            log: the operators' log.
        """
        self.incarnation = incarnation
        self.owner = f"{node}.{incarnation}"
        self.store = store
        self.resume_timeout = resume_timeout
        self.clock = clock
        self.log = log
        self.detector = FailureDetector(clock.seconds())
        self.on_abandoned: Callable[[SequenceRecord], None] = lambda record: None
        self.transferred_count = 0  # records, since the start
        self.server = Server(clock)
        self.server.add(PEERS_SERVICE + "Keep", unary(self._serve_keep))
        self.server.add(PEERS_SERVICE + "Take", unary(self._serve_take))

    def check_owners(self, now: float) -> None:
        """Remove expired records, and handle failed owners; called once per heartbeat interval."""
        self.store.remove_expired(now)
        for suspect in self.detector.check(now):
            self.detector.forget(suspect.node)
            self._handle_owner_failure(suspect.node, suspect.incarnation)

    def _handle_owner_failure(self, node: str, incarnation: str) -> None:
        """Start the timeout within which the clients of a failed or restarted owner may resume."""
        records = self.store.records_of(f"{node}.{incarnation}")
        if records:
            self.log(LogEvent.OWNER_LOST, node=node, incarnation=incarnation, sequences=len(records))
            self.clock.callLater(self.resume_timeout, self._abandon, node, incarnation)

    def _abandon(self, node: str, incarnation: str) -> None:
        """Take ownership of sequences whose clients did not resume, so that engines close them."""
        if self.detector.is_alive(node, incarnation):
            return
        for record in self.store.records_of(f"{node}.{incarnation}"):
            transferred = self.store.hand_out(record.sequence_id, self.owner)
            if transferred is not None:
                self.on_abandoned(transferred)

    def _serve_keep(self, call: ServerCall, data: bytes) -> bytes:
        """Serve `Peers.Keep`: a heartbeat, with record updates."""
        request = pb.KeepRequest.FromString(data)
        now = self.clock.seconds()
        if request.format > FORMAT_VERSION:
            raise RpcError(
                Code.FAILED_PRECONDITION,
                f"records are in format {request.format}, and this node knows formats up to {FORMAT_VERSION}",
            )
        replaced_incarnation = self.detector.record_heartbeat(request.node, request.run, now)
        if replaced_incarnation is not None:
            self._handle_owner_failure(request.node, replaced_incarnation)
        replies = [self._update(message, now) for message in request.records]
        return pb.KeepReply(format=FORMAT_VERSION, run=self.incarnation, words=replies).SerializeToString()

    def _update(self, message: pb.Record, now: float) -> ReplicaReply:
        if message.ended:
            return self.store.complete(message.sequence, Ownership(message.epoch, message.owner))
        return self.store.store(decode_record(message, now))

    def _serve_take(self, call: ServerCall, data: bytes) -> bytes:
        """Serve `Peers.Take`: transfer a record."""
        return self.transfer_record(pb.TakeRequest.FromString(data)).SerializeToString()

    def transfer_record(self, request: pb.TakeRequest) -> pb.TakeReply:
        """Transfer a record to the node that takes its sequence over."""
        record = self.store.hand_out(request.sequence, request.by, request.least)
        self.transferred_count += record is not None
        message = encode_record(record, self.clock.seconds()) if record is not None else None
        return pb.TakeReply(run=self.incarnation, record=message)
