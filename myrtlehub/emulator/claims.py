"""What an emulated engine does for takeover: claims, and streams that outlive their node.

Simulated, like the rest: a real engine would keep its streams in the same way, or answer that it can't.
"""

from typing import TYPE_CHECKING, NoReturn

from myrtlehub.emulator.events import FreeReason
from myrtlehub.emulator.job import Job, StreamCall
from myrtlehub.proto import chat_pb2 as chat
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.fencing import AttemptState, FenceTable
from myrtlehub.recovery.recovery_decision import STREAMING_STATES
from myrtlehub.recovery.sequence_records import Ownership
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

if TYPE_CHECKING:
    from myrtlehub.emulator.server import EmulatedEngine

MAX_FENCES = 20000  # minutes of the busiest emulated engine
TOKENS_PER_MESSAGE = 64  # when earlier tokens are sent to a call that attached


class ClaimableJobs:
    """Attempts of sequences that may be taken over, by sequence, for as long as a claim may still come."""

    def __init__(self, engine: "EmulatedEngine", stream_bound: float) -> None:
        """Make an empty one; `stream_bound`: seconds for which a stream that nobody reads continues."""
        self.engine = engine
        self.stream_bound = stream_bound
        self.fences = FenceTable(MAX_FENCES, engine.clock.seconds())
        self.jobs: dict[str, list[Job]] = {}

    def outlives_its_node(self, job: Job) -> bool:
        """Return whether an attempt continues without the node that sent it."""
        return bool(self.stream_bound and job.ownership.epoch)

    def admit(self, job: Job) -> None:
        """Admit an attempt by its ownership.

        Raises:
            RpcError: the sequence has a higher owner, or is closed.
        """
        if not job.ownership.epoch:
            return
        sequence_id = job.work.sequence
        if not self.fences.admit(sequence_id, job.ownership):
            self._refuse(sequence_id)
        if self.stream_bound:
            self.jobs.setdefault(sequence_id, []).append(job)

    def _refuse(self, sequence_id: str) -> NoReturn:
        (epoch, owner), is_closed = self.fences.fence_of(sequence_id)
        closed = ", closed" if is_closed else ""
        raise RpcError(
            Code.FAILED_PRECONDITION, f"superseded: {sequence_id} is {owner}'s by epoch {epoch}{closed}"
        )

    def ended(self, job: Job) -> None:
        """Remember an attempt that ended for a while longer."""
        if self.outlives_its_node(job):
            self.engine.clock.callLater(self.stream_bound, self._forget, job)

    def _forget(self, job: Job) -> None:
        jobs = self.jobs.get(job.work.sequence, [])
        if job in jobs:
            jobs.remove(job)
        if not jobs:
            self.jobs.pop(job.work.sequence, None)

    def detach(self, job: Job) -> None:
        """Continue an attempt whose stream nobody reads, for a while."""
        job.call = None
        job.note("orphaned", ran=job.has_run)
        self.engine.clock.callLater(self.stream_bound, self._stop_unread, job, len(job.stream_calls))

    def _stop_unread(self, job: Job, call_count: int) -> None:
        if job.call is None and not job.is_over and len(job.stream_calls) == call_count:
            job.stop("bound")

    # -- Engine.Claim -----------------------------------------------------------------------------

    def claim(self, data: bytes) -> bytes:
        """Serve `Engine.Claim`."""
        request = pb.ClaimRequest.FromString(data)
        ownership = Ownership(request.epoch, request.owner)
        now = self.engine.clock.seconds()
        if not self.stream_bound:
            raise RpcError(Code.UNIMPLEMENTED, "this engine ends a stream with its connection")
        granted = self.fences.claim(request.sequence, ownership, request.close)
        self.engine.recorder.note(
            "claimed",
            seq=request.sequence,
            epoch=ownership.epoch,
            owner=ownership.owner,
            granted=granted,
            close=request.close,
        )
        # What is over is forgotten after the bound: of what was sent before that, no report is no proof.
        age = min(now - self.fences.known_since, self.stream_bound)
        reply = pb.ClaimReply(granted=granted, age=age)
        if granted:
            jobs = self.jobs.get(request.sequence, [])
            self._take_from_former_owners(jobs, ownership)
            if request.close:
                self._close(request.sequence, jobs, now)
            reply.attempts.extend(self._report(job) for job in jobs)
        return reply.SerializeToString()

    def _take_from_former_owners(self, jobs: list[Job], ownership: Ownership) -> None:
        for job in jobs:
            if job.ownership >= ownership or job.call is None or job.is_over:
                continue
            call = job.call
            if job.reads:
                job.stop("superseded")  # its answer would go to a former owner
            else:
                self.detach(job)
                call.finish(Code.FAILED_PRECONDITION, "superseded")

    def _close(self, sequence_id: str, jobs: list[Job], now: float) -> None:
        for job in jobs:
            if not job.is_over:
                job.stop("closed")
        self.engine.act(self.engine.model.release(now, sequence_id, FreeReason.CLOSED))

    def _report(self, job: Job) -> pb.Stood:
        attempt_state = job.attempt_state
        read_state = None
        if attempt_state == AttemptState.HOLDS_READ_STATE:
            tokens = self.engine.model.state_tokens(job.work.sequence)
            if tokens:
                address = self.engine.config.listen
                read_state = pb.State(engine=address, handle=job.work.sequence, tokens=int(tokens))
            else:
                attempt_state = AttemptState.NEVER_RAN  # a read has no effect, and its state is gone
        return pb.Stood(
            number=job.work.attempt, says=attempt_state, tokens=len(job.token_ids), state=read_state
        )

    # -- attaching to a stream --------------------------------------------------------------------

    def attach(self, call: ServerCall, request: pb.WriteRequest) -> Receiver:
        """Continue a stream from a token on, on another call."""
        work = request.work
        start = getattr(request.attach, "from")  # a keyword of the language
        ownership = Ownership(work.epoch, work.owner)
        if not self.fences.admit(work.sequence, ownership):
            raise RpcError(Code.FAILED_PRECONDITION, "superseded")
        job = self._write_of(work)
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

    def _write_of(self, work: pb.Work) -> Job | None:
        for job in self.jobs.get(work.sequence, ()):
            if job.work.attempt == work.attempt and not job.reads:
                return job
        return None


def _send_earlier_tokens(job: Job, call: ServerCall, start: int) -> None:
    for index in range(start, len(job.token_ids), TOKENS_PER_MESSAGE):
        ids = job.token_ids[index : index + TOKENS_PER_MESSAGE]
        call.send(pb.WriteReply(tokens=chat.Tokens(ids=ids)).SerializeToString())
    if job.final_message is not None:
        call.send(job.final_message)
        call.finish()
