"""One client's call of the chat front."""

from myrtlehub.clock import Timer
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.chat_front.admission_queue import PendingAdmission
from myrtlehub.node.engine_transport.attempt_watcher import call_of
from myrtlehub.node.replication.takeover import Takeover
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code
from myrtlehub.rpc.transport import Producer

SEQUENCE_ID_HEADER = "myrtle-seq"
MAY_RESUME_HEADER = "myrtle-resume"


class ChatCall(Receiver):
    """Encodes the response to one sequence, and propagates the client's back-pressure to the writer.

    Implements `response_sink.ResponseSink`, `TakeoverClient`, `AdmissionClient` and `Producer`.

    Attributes:
        sequence: the sequence, once the executor has accepted it.
        takeover: the takeover, while the sequence is taken over from another node.
        is_resumable: whether the client can resume the sequence, at any node, if its call ends early.
        resume_grace: seconds after a lost connection until such a client counts as disconnected.
    """

    def __init__(self, executor: ActionExecutor, call: ServerCall) -> None:
        self.executor = executor
        self.call = call
        self.sequence: InFlightSequence | None = None
        self.takeover: Takeover | None = None
        self.deadline_timer: Timer | None = None
        self.is_resumable = False
        self.resume_grace = 0.0
        self._pending_admission: PendingAdmission | None = None  # None if the queue needs no notification

    # -- admission control ------------------------------------------------------------------------

    def wait_for_admission(self, pending: PendingAdmission) -> None:
        """Store the queue, which has to be notified of the first token or of an end without one."""
        self._pending_admission = pending

    def detach_from_admission(self) -> None:
        """Drop the reference to the queue, because the request is shed."""
        self._pending_admission = None

    def _end_admission(self) -> None:
        pending, self._pending_admission = self._pending_admission, None
        if pending is not None:
            pending.queue.request_ended(pending.queued)

    # -- the response -----------------------------------------------------------------------------

    def tokens(self, message: bytes) -> None:
        """Send tokens, encoded as the engine sent them."""
        if self._pending_admission is not None:
            pending, self._pending_admission = self._pending_admission, None
            pending.queue.first_token_sent(pending.queued)
        self.call.send(message)

    def generated(self, tokens: int) -> None:
        """Send the end of a complete answer."""
        self._send_final(pb.GenerateReply(generated=pb.Generated(tokens=tokens)))

    def rejected(self, retry_after: float) -> None:
        """Send a rejection."""
        self._send_final(pb.GenerateReply(rejected=pb.Rejected(wait_ms=round(retry_after * 1000))))

    def aborted(self, reason: str) -> None:
        """Send an abort."""
        self._send_final(pb.GenerateReply(aborted=pb.Aborted(reason=reason)))

    def migrated(self) -> None:
        """Tell the client to resume at another node, because this node shuts down; not a final answer."""
        self._send_final(pb.GenerateReply(moved=pb.Moved()))

    def sequence_id_assigned(self, sequence_id: str) -> None:
        """Send the client the id of its sequence."""
        self.call.set_initial([(SEQUENCE_ID_HEADER, sequence_id)])
        if self.is_resumable:
            self.call.set_initial([(MAY_RESUME_HEADER, "1")])
            self.call.begin()  # sends the id at once, because the client needs it to resume

    def superseded(self, reason: str) -> None:
        """End the call without an answer, because another node owns the sequence."""
        self._cancel_deadline()
        self.call.finish(Code.ABORTED, reason)

    def _send_final(self, reply: pb.GenerateReply) -> None:
        self._end_admission()
        self._cancel_deadline()
        self.call.stream.unregisterProducer()
        self.call.send(reply.SerializeToString())
        self.call.finish()

    def _cancel_deadline(self) -> None:
        if self.deadline_timer is not None and self.deadline_timer.active():
            self.deadline_timer.cancel()

    # -- ends that no engine caused ---------------------------------------------------------------

    def limit_exceeded(self, reason: str) -> None:
        """Abort the call, because the client exceeded a limit."""
        if self.sequence is not None:
            self.executor.abort(self.sequence, reason)
        else:
            self.rejected(0.0)  # not accepted yet, so no attempt was sent

    def deadline_passed(self, retry_after: float) -> None:
        """End the call at its deadline; a request that is still queued is rejected with `retry_after`."""
        if self.takeover is not None:
            self.takeover.deadline_passed()
        elif self.sequence is None:
            self.rejected(retry_after)
        else:
            self.executor.abort(self.sequence, "the call's deadline came before the end of the answer")

    def lost(self, code: Code) -> None:
        """Handle a cancelled call or a lost connection."""
        self._cancel_deadline()
        self._end_admission()
        if self.takeover is not None:
            self.takeover.client_disconnected()
        if self.sequence is None:
            return
        if self.is_resumable and self.resume_grace and code == Code.UNAVAILABLE:
            # The client is expected to resume, here or at another node, which supersedes this call.
            self.executor.clock.callLater(self.resume_grace, self.executor.client_disconnected, self.sequence)
        else:
            self.executor.client_disconnected(self.sequence)

    # -- back-pressure: a client that does not read pauses the writer's stream --------------------

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the writer's stream."""
        source = self._source()
        if source is not None:
            source.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the writer's stream."""
        source = self._source()
        if source is not None:
            source.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; `lost` handles the end of the call."""

    def _source(self) -> Producer | None:
        """Return the engine call whose tokens are relayed, or None."""
        if self.takeover is not None:
            return self.takeover.call
        attempt = self.sequence.streaming_attempt if self.sequence is not None else None
        return call_of(attempt) if attempt is not None and attempt.is_outstanding else None
