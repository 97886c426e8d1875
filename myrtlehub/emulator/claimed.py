"""What a stand-in does for nodes that take work over: claims, streams that outlive their node, tokens kept.

Simulated, like the rest: a real engine would keep its streams in the same way, or answer that it cannot.
"""

from binascii import crc32

from myrtlehub.proto import chat_pb2 as chat
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.fencing import AttemptState, FenceTable
from myrtlehub.recovery.sequence_records import Ownership
from myrtlehub.rpc.server import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

FENCES_MOST = 20000  # sequences of which the highest claim is remembered: minutes of the busiest stand-in
VOCABULARY = 120  # ids of one byte on the wire


def ownership_of(message: object) -> Ownership:
    """Who has a sequence, by a message with `epoch` and `owner`."""
    return Ownership(message.epoch, message.owner)


def token(writer: str, sequence: str, attempt: int, index: int) -> int:
    """The id of a made-up token: no two answers are alike, so that one which was mixed of two is seen."""
    return crc32(f"{writer} {sequence} {attempt} {index}".encode()) % VOCABULARY + 1


def sum_of(tokens: list[int], before: int = 0) -> int:
    """A sum over token ids in their order, that goes on from the sum of those before."""
    for number in tokens:
        before = crc32(number.to_bytes(4, "big"), before)
    return before


class Line(Receiver):
    """A call by which an attempt's stream is read, the first one or one that attached later."""

    def __init__(self, job: object, call: ServerCall) -> None:
        self.job, self.call = job, call

    def lost(self, code: Code) -> None:
        self.job.lost_by(self.call, code)


class ClaimedWork:
    """Attempts of sequences that somebody may take over, by sequence, while a claim may still come."""

    def __init__(self, stand: object, bound: float) -> None:
        """`bound`: seconds for which a stream that nobody reads is kept, made on, and then ended."""
        self.stand, self.bound = stand, bound
        self.fences = FenceTable(FENCES_MOST, stand.clock.seconds())
        self.jobs: dict[str, list] = {}

    def keeps(self, job: object) -> bool:
        """Whether an attempt outlives its node."""
        return bool(self.bound and job.ownership.epoch)

    def admit(self, job: object) -> None:
        """Work comes by a claim: RpcError where there is a higher one."""
        if not job.ownership.epoch:
            return
        if not self.fences.admit(job.work.sequence, job.ownership):
            fence = self.fences.fence_of(job.work.sequence)
            raise RpcError(
                Code.FAILED_PRECONDITION,
                f"superseded: {job.work.sequence} is {fence.ownership.owner}'s "
                f"by epoch {fence.ownership.epoch}{', closed' if fence.is_closed else ''}",
            )
        if self.bound:
            self.jobs.setdefault(job.work.sequence, []).append(job)

    def over(self, job: object) -> None:
        """An attempt ended: what is known of it is kept for a while longer."""
        if self.keeps(job):
            self.stand.clock.callLater(self.bound, self._forget, job)

    def _forget(self, job: object) -> None:
        rows = self.jobs.get(job.work.sequence, [])
        if job in rows:
            rows.remove(job)
        if not rows:
            self.jobs.pop(job.work.sequence, None)

    def orphaned(self, job: object) -> None:
        """Nobody reads its stream: it goes on for a while."""
        job.call = None
        job.note("orphaned", ran=job.ran)
        self.stand.clock.callLater(self.bound, self._unread, job, len(job.lines))

    def _unread(self, job: object, lines: int) -> None:
        if job.call is None and not job.stopped and len(job.lines) == lines:
            job.stop("bound")

    def claim(self, data: bytes) -> bytes:
        """See `Engine.Claim`."""
        asked = pb.ClaimRequest.FromString(data)
        ownership, now = ownership_of(asked), self.stand.clock.seconds()
        if not self.bound:
            raise RpcError(Code.UNIMPLEMENTED, "this engine ends a stream with its connection")
        granted = self.fences.claim(asked.sequence, ownership, asked.close)
        self.stand.recorder.note(
            "claimed",
            seq=asked.sequence,
            epoch=ownership.epoch,
            owner=ownership.owner,
            granted=granted,
            close=asked.close,
        )
        # What is over is forgotten after the bound: of what was sent before that, nothing here is no proof.
        reply = pb.ClaimReply(granted=granted, age=min(now - self.fences.known_since, self.bound))
        if not granted:
            return reply.SerializeToString()
        jobs = self.jobs.get(asked.sequence, [])
        for job in jobs:
            if job.ownership < ownership and job.call is not None and not job.stopped:
                call = job.call
                if job.reads:
                    job.stop("superseded")  # its answer would go to who has it no longer
                else:
                    self.orphaned(job)
                    call.finish(Code.FAILED_PRECONDITION, "superseded")
        if asked.close:
            for job in jobs:
                if not job.stopped:
                    job.stop("closed")
            self.stand.act(self.stand.model.release(now, asked.sequence, "closed"))
        reply.attempts.extend(self._stood(job) for job in jobs)
        return reply.SerializeToString()

    def _stood(self, job: object) -> pb.Stood:
        says, state = job.says, None
        if says == AttemptState.HOLDS_READ_STATE:
            tokens = self.stand.model.state_tokens(job.work.sequence)
            if tokens:
                state = pb.State(engine=self.stand.sheet.listen, handle=job.work.sequence, tokens=int(tokens))
            else:
                says = AttemptState.NEVER  # a read has no effect: what it held is gone
        return pb.Stood(number=job.work.attempt, says=says, tokens=len(job.made), state=state)

    def attach(self, call: ServerCall, request: pb.WriteRequest) -> Receiver:
        """Go on with a stream from a token on."""
        work, start = request.work, getattr(request.attach, "from")
        ownership = ownership_of(work)
        if not self.fences.admit(work.sequence, ownership):
            raise RpcError(Code.FAILED_PRECONDITION, "superseded")
        job = next(
            (j for j in self.jobs.get(work.sequence, ()) if j.work.attempt == work.attempt and not j.reads),
            None,
        )
        if (
            job is None
            or job.says not in (AttemptState.WAITING, AttemptState.WRITING, AttemptState.ENDED)
            or start > len(job.made)
        ):
            call.send(pb.WriteReply(refused=pb.Refused()).SerializeToString())
            call.finish()
            return Receiver()
        job.note("attached", node=ownership.owner, start=start)
        line = Line(job, call)
        job.lines.append(line)
        job.call, job.ownership = call, ownership
        for at in range(start, len(job.made), 64):
            ids = job.made[at : at + 64]
            call.send(pb.WriteReply(tokens=chat.Tokens(ids=ids)).SerializeToString())
        if job.ended is not None:
            call.send(job.ended)
            call.finish()
        return line
