"""Claims of sequences during a takeover, and streams that outlive the connection of the node that sent them.

A real engine either continues its streams in the same way, or answers `Engine.Claim` with UNIMPLEMENTED.
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

MAX_FENCES = 20000  # sequences; covers minutes of load on the busiest emulated engine
TOKENS_PER_MESSAGE = 64  # maximum tokens per message when earlier tokens are resent to an attached call


class ClaimableJobs:
    """The attempts that a claim can report, and the fences of their sequences."""

    def __init__(self, engine: EngineContext, detached_timeout: float) -> None:
        """Make an empty table.

        Args:
            engine: the engine that serves the attempts.
            detached_timeout: seconds for which a stream continues without a call; 0: it ends with its call.
        """
        self._engine = engine
        self._detached_timeout = detached_timeout
        self.fences = FenceTable(MAX_FENCES, engine.clock.seconds())
        self._jobs: dict[str, list[Job]] = {}  # by sequence

    def may_outlive_node(self, job: Job) -> bool:
        """Return whether a job may continue after the connection of the node that sent it is lost."""
        return self._detached_timeout > 0.0 and job.ownership.epoch > 0

    def admit(self, job: Job) -> None:
        """Admit an attempt if its owner still owns the sequence, or if it has none.

        Raises:
            RpcError: the sequence has an owner of a higher epoch, or is closed.
        """
        if not job.ownership.epoch:
            return
        sequence_id = job.work.sequence
        if not self.fences.admit(sequence_id, job.ownership):
            self._reject(sequence_id)
        if self._detached_timeout:
            self._jobs.setdefault(sequence_id, []).append(job)

    def _reject(self, sequence_id: str) -> NoReturn:
        (epoch, owner), is_closed = self.fences.fence_of(sequence_id)
        closed_suffix = ", closed" if is_closed else ""
        raise RpcError(
            Code.FAILED_PRECONDITION,
            f"superseded: {sequence_id} is {owner}'s by epoch {epoch}{closed_suffix}",
        )

    def retain_ended_job(self, job: Job) -> None:
        """Retain an ended job for `detached_timeout` seconds, so that claims report it."""
        if self.may_outlive_node(job):
            self._engine.clock.callLater(self._detached_timeout, self._remove, job)

    def _remove(self, job: Job) -> None:
        jobs = self._jobs.get(job.work.sequence, [])
        if job in jobs:
            jobs.remove(job)
        if not jobs:
            self._jobs.pop(job.work.sequence, None)

    def detach(self, job: Job) -> None:
        """Continue a job without a call; stop it if none attaches within `detached_timeout` seconds."""
        job.call = None
        job.record_event("orphaned", ran=job.has_started)
        self._engine.clock.callLater(
            self._detached_timeout, self._stop_if_detached, job, len(job.stream_calls)
        )

    def _stop_if_detached(self, job: Job, call_count: int) -> None:
        if job.call is None and not job.has_ended and len(job.stream_calls) == call_count:
            job.stop("bound")

    # -- Engine.Claim -----------------------------------------------------------------------------

    def claim(self, call: ServerCall, data: bytes) -> bytes:
        """Serve `Engine.Claim`: raise the fence of a sequence and report its attempts.

        Raises:
            RpcError: claims are disabled, as streams end with the connection of their node.
        """
        request = pb.ClaimRequest.FromString(data)
        ownership = Ownership(request.epoch, request.owner)
        now = self._engine.clock.seconds()
        if not self._detached_timeout:
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
        # Attempts are removed `detached_timeout` seconds after their end. The reply therefore states the age
        # up to which its list of attempts is complete; an older attempt may have run without being listed.
        age = min(now - self.fences.known_since, self._detached_timeout)
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
            if job.ownership >= ownership or job.call is None or job.has_ended:
                continue
            call = job.call
            if job.is_read:
                job.stop("superseded")  # the answer would be sent to a former owner
            else:
                self.detach(job)
                call.finish(Code.FAILED_PRECONDITION, "superseded")

    def _close(self, sequence_id: str, jobs: list[Job], now: float) -> None:
        for job in jobs:
            if not job.has_ended:
                job.stop("closed")
        self._engine.handle_events(self._engine.model.release(now, sequence_id, FreeReason.CLOSED))

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
        """Continue a stream on another call, from the token index that the call requests.

        Raises:
            RpcError: the sequence has an owner of a higher epoch, or is closed.
        """
        work = request.work
        first_index: int = getattr(request.attach, "from")  # `from` is a Python keyword
        ownership = Ownership(work.epoch, work.owner)
        if not self.fences.admit(work.sequence, ownership):
            raise RpcError(Code.FAILED_PRECONDITION, "superseded")
        job = self._find_write(work)
        if job is None or job.attempt_state not in STREAMING_STATES or first_index > len(job.token_ids):
            call.send(pb.WriteReply(refused=pb.Refused()).SerializeToString())
            call.finish()
            return Receiver()
        job.record_event("attached", node=ownership.owner, start=first_index)
        stream_call = StreamCall(job, call)
        job.stream_calls.append(stream_call)
        job.call = call
        job.ownership = ownership
        _send_earlier_tokens(job, call, first_index)
        return stream_call

    def _find_write(self, work: pb.Work) -> Job | None:
        for job in self._jobs.get(work.sequence, ()):
            if job.work.attempt == work.attempt and not job.is_read:
                return job
        return None


def _send_earlier_tokens(job: Job, call: ServerCall, first_index: int) -> None:
    for index in range(first_index, len(job.token_ids), TOKENS_PER_MESSAGE):
        token_ids = job.token_ids[index : index + TOKENS_PER_MESSAGE]
        call.send(pb.WriteReply(tokens=chat.Tokens(ids=token_ids)).SerializeToString())
    if job.final_message is not None:
        call.send(job.final_message)
        call.finish()
