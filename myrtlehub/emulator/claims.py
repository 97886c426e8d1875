"""The engine's part in a takeover: claims, and streams that continue without the node that sent them.

A real engine would continue its streams in the same way, or answer that it cannot.
"""

from typing import NoReturn

from myrtlehub.emulator.engine_context import EngineContext
from myrtlehub.emulator.events import FreeReason
from myrtlehub.emulator.job import Job, StreamCall
from myrtlehub.proto import chat_pb2 as chat
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.fencing import AttemptState, FenceTable
from myrtlehub.recovery.recovery_decision import STREAMING_STATES
from myrtlehub.recovery.sequence_records import Ownership
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

MAX_FENCES = 20000  # sequences; covers minutes of work of the busiest emulated engine
TOKENS_PER_MESSAGE = 64  # maximum tokens in one message that resends earlier tokens to an attached call


class ClaimableJobs:
    """The attempts that a claim may still report, and the fences of their sequences."""

    def __init__(self, engine: EngineContext, stream_bound: float) -> None:
        """Make an empty table; `stream_bound` is how long a stream continues without a reader, in seconds."""
        self._engine = engine
        self._stream_bound = stream_bound
        self.fences = FenceTable(MAX_FENCES, engine.clock.seconds())
        self._jobs: dict[str, list[Job]] = {}  # by sequence

    def may_outlive_node(self, job: Job) -> bool:
        """Return whether a job may continue after the connection of the node that sent it is lost."""
        return self._stream_bound > 0.0 and job.ownership.epoch > 0

    def admit(self, job: Job) -> None:
        """Admit an attempt if its owner still owns the sequence, or if it has no owner.

        Raises:
            RpcError: the sequence has an owner of a higher epoch, or is closed.
        """
        if not job.ownership.epoch:
            return
        sequence_id = job.work.sequence
        if not self.fences.admit(sequence_id, job.ownership):
            self._reject(sequence_id)
        if self._stream_bound:
            self._jobs.setdefault(sequence_id, []).append(job)

    def _reject(self, sequence_id: str) -> NoReturn:
        (epoch, owner), is_closed = self.fences.fence_of(sequence_id)
        closed = ", closed" if is_closed else ""
        raise RpcError(
            Code.FAILED_PRECONDITION, f"superseded: {sequence_id} is {owner}'s by epoch {epoch}{closed}"
        )

    def job_ended(self, job: Job) -> None:
        """Retain a job that ended for `stream_bound` seconds, so that a claim reports it."""
        if self.may_outlive_node(job):
            self._engine.clock.callLater(self._stream_bound, self._forget, job)

    def _forget(self, job: Job) -> None:
        jobs = self._jobs.get(job.work.sequence, [])
        if job in jobs:
            jobs.remove(job)
        if not jobs:
            self._jobs.pop(job.work.sequence, None)

    def detach(self, job: Job) -> None:
        """Let a job continue without a reader; stop it if no call attaches within `stream_bound` seconds."""
        job.call = None
        job.note("orphaned", ran=job.has_run)
        self._engine.clock.callLater(self._stream_bound, self._stop_if_unread, job, len(job.stream_calls))

    def _stop_if_unread(self, job: Job, call_count: int) -> None:
        if job.call is None and not job.is_over and len(job.stream_calls) == call_count:
            job.stop("bound")

    # -- Engine.Claim -----------------------------------------------------------------------------

    def claim(self, call: ServerCall, data: bytes) -> bytes:
        """Serve `Engine.Claim`: raise the fence of a sequence and report its attempts.

        Raises:
            RpcError: this engine ends a stream with the connection of its node.
        """
        request = pb.ClaimRequest.FromString(data)
        ownership = Ownership(request.epoch, request.owner)
        now = self._engine.clock.seconds()
        if not self._stream_bound:
            raise RpcError(Code.UNIMPLEMENTED, "this engine ends a stream with its connection")
        granted = self.fences.claim(request.sequence, ownership, request.close)
        self._engine.recorder.note(
            "claimed",
            seq=request.sequence,
            epoch=ownership.epoch,
            owner=ownership.owner,
            granted=granted,
            close=request.close,
        )
        # An attempt is forgotten `stream_bound` seconds after its end. The reply therefore contains the age
        # up to which its list of attempts is complete; an older attempt may have run without being listed.
        age = min(now - self.fences.known_since, self._stream_bound)
        reply = pb.ClaimReply(granted=granted, age=age)
        if granted:
            jobs = self._jobs.get(request.sequence, [])
            self._supersede(jobs, ownership)
            if request.close:
                self._close(request.sequence, jobs, now)
            reply.attempts.extend(self._report(job) for job in jobs)
        return reply.SerializeToString()

    def _supersede(self, jobs: list[Job], ownership: Ownership) -> None:
        for job in jobs:
            if job.ownership >= ownership or job.call is None or job.is_over:
                continue
            call = job.call
            if job.is_read:
                job.stop("superseded")  # the answer would go to a former owner
            else:
                self.detach(job)
                call.finish(Code.FAILED_PRECONDITION, "superseded")

    def _close(self, sequence_id: str, jobs: list[Job], now: float) -> None:
        for job in jobs:
            if not job.is_over:
                job.stop("closed")
        self._engine.act(self._engine.model.release(now, sequence_id, FreeReason.CLOSED))

    def _report(self, job: Job) -> pb.Stood:
        attempt_state = job.attempt_state
        read_state = None
        if attempt_state == AttemptState.HAS_READ_STATE:
            tokens = self._engine.model.state_tokens(job.work.sequence)
            if tokens:
                address = self._engine.config.listen
                read_state = pb.State(engine=address, handle=job.work.sequence, tokens=int(tokens))
            else:
                attempt_state = AttemptState.NEVER_RAN  # a read without its state has no effect
        return pb.Stood(
            number=job.work.attempt, says=attempt_state, tokens=len(job.token_ids), state=read_state
        )

    # -- Engine.Write with `attach` ---------------------------------------------------------------

    def attach(self, call: ServerCall, request: pb.WriteRequest) -> Receiver:
        """Continue a stream on another call, from the token with the index that the call names.

        Raises:
            RpcError: the sequence has an owner of a higher epoch, or is closed.
        """
        work = request.work
        start: int = getattr(request.attach, "from")  # `from` is a keyword in Python
        ownership = Ownership(work.epoch, work.owner)
        if not self.fences.admit(work.sequence, ownership):
            raise RpcError(Code.FAILED_PRECONDITION, "superseded")
        job = self._find_write(work)
        if job is None or job.attempt_state not in STREAMING_STATES or start > len(job.token_ids):
            call.send(pb.WriteReply(refused=pb.Refused()).SerializeToString())
            call.finish()
            return Receiver()
        job.note("attached", node=ownership.owner, start=start)
        stream_call = StreamCall(job, call)
        job.stream_calls.append(stream_call)
        job.call = call
        job.ownership = ownership
        _send_earlier_tokens(job, call, start)
        return stream_call

    def _find_write(self, work: pb.Work) -> Job | None:
        for job in self._jobs.get(work.sequence, ()):
            if job.work.attempt == work.attempt and not job.is_read:
                return job
        return None


def _send_earlier_tokens(job: Job, call: ServerCall, start: int) -> None:
    for index in range(start, len(job.token_ids), TOKENS_PER_MESSAGE):
        ids = job.token_ids[index : index + TOKENS_PER_MESSAGE]
        call.send(pb.WriteReply(tokens=chat.Tokens(ids=ids)).SerializeToString())
    if job.final_message is not None:
        call.send(job.final_message)
        call.finish()
