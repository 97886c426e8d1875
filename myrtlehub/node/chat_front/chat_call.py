"""One client's call of the chat front."""

from __future__ import annotations

from typing import TYPE_CHECKING

from myrtlehub.clock import Timer
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.replication.takeover import Takeover
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code
from myrtlehub.rpc.transport import Producer

if TYPE_CHECKING:
    from myrtlehub.node.chat_front.admission_queue import AdmissionQueue, QueuedRequest

SEQUENCE_ID_HEADER = "myrtle-seq"
MAY_RESUME_HEADER = "myrtle-resume"


class ChatCall(Receiver):
    """Encodes the response to one sequence, and applies its client's back-pressure to the writer's stream.

    Implements `protocols.ResponseSink`, `TakeoverClient` and `Producer`.
    """

    def __init__(self, executor: ActionExecutor, call: ServerCall) -> None:
        self.executor = executor
        self.call = call
        self.sequence: InFlightSequence | None = None  # once the executor has accepted it
        self.takeover: Takeover | None = None  # while it is taken over from another node
        self.deadline_timer: Timer | None = None
        self.may_move = False  # its client resumes by itself, at any node
        self.resume_grace = 0.0  # seconds for which such a client may be gone until it counts as having left
        self._admission: AdmissionQueue | None = None
        self._queued: QueuedRequest | None = None  # until its first token, where there is admission control

    # -- admission control ------------------------------------------------------------------------

    def wait_for_admission(self, admission: AdmissionQueue, queued: QueuedRequest) -> None:
        """Note where it is queued."""
        self._admission = admission
        self._queued = queued

    def leave_admission(self) -> None:
        """Note that it was shed: nothing is to be reported to the admission queue any more."""
        self._queued = None

    def _end_admission(self) -> None:
        if self._queued is not None:
            queued = self._queued
            self._queued = None
            self._admission.ended(queued)

    # -- the response -----------------------------------------------------------------------------

    def tokens(self, message: bytes) -> None:
        """Send tokens as the engine sent them."""
        if self._queued is not None:
            queued = self._queued
            self._queued = None
            self._admission.started(queued)
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

    def moved(self) -> None:
        """Tell the client to resume at another node: this one ends. Not a final answer."""
        self._send_final(pb.GenerateReply(moved=pb.Moved()))

    def named(self, label: str) -> None:
        """Tell the client by which id its sequence is known from now on."""
        self.call.set_initial([(SEQUENCE_ID_HEADER, label)])
        if self.may_move:
            self.call.set_initial([(MAY_RESUME_HEADER, "1")])
            self.call.begin()  # the client has to know the id before anything else arrives

    def superseded(self, reason: str) -> None:
        """End the call without an answer: another node owns the sequence."""
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

    # -- its end from outside ---------------------------------------------------------------------

    def cut_off(self, reason: str) -> None:
        """End it by a limit on its client."""
        if self.sequence is not None:
            self.executor.deadline_passed(self.sequence, reason)
        else:
            self.rejected(0.0)  # it was not admitted yet: nothing ran

    def deadline_passed(self, retry_after: float) -> None:
        """End it at the call's deadline; `retry_after` is sent if it is still queued."""
        if self.takeover is not None:
            self.takeover.deadline_passed()
        elif self.sequence is None:
            self.rejected(retry_after)
        else:
            self.executor.deadline_passed(
                self.sequence, "the call's deadline came before the end of the answer"
            )

    def lost(self, code: Code) -> None:
        """Take note that the client left, or that its connection broke."""
        self._cancel_deadline()
        self._end_admission()
        if self.takeover is not None:
            self.takeover.client_left()
        if self.sequence is None:
            return
        if self.may_move and self.resume_grace and code == Code.UNAVAILABLE:
            # Its client resumes, here or at another node, and that supersedes this call.
            self.executor.clock.callLater(self.resume_grace, self.executor.client_left, self.sequence)
        else:
            self.executor.client_left(self.sequence)

    # -- back-pressure: a client that does not read pauses its writer's stream --------------------

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
        """Do nothing: `lost` is called as well."""

    def _source(self) -> Producer | None:
        """Return the call from which the tokens come."""
        if self.takeover is not None:
            return self.takeover.call
        attempt = self.sequence.streaming_attempt if self.sequence is not None else None
        return attempt.call if attempt is not None and attempt.is_outstanding else None
