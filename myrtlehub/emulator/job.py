"""One attempt that an emulated engine serves, and the calls that belong to it."""

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from myrtlehub.emulator.events import Refused
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.sequence_records import Ownership
from myrtlehub.rpc.channel import ClientCall
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.metadata import first
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, Status

if TYPE_CHECKING:
    from myrtlehub.emulator.server import EmulatedEngine


class StreamCall(Receiver):
    """A call by which an attempt's stream is read, the first one or one that attached later."""

    def __init__(self, job: "Job", call: ServerCall) -> None:
        self.job = job
        self.call = call

    def lost(self, code: Code) -> None:
        """Tell the attempt that this call has ended."""
        self.job.lost_by(self.call, code)


class Job(Receiver):
    """One attempt being served."""

    def __init__(
        self,
        engine: "EmulatedEngine",
        call: ServerCall,
        work: pb.Work,
        reads: bool,
        read_state: pb.State | None,
    ) -> None:
        self.engine = engine
        self.call: ServerCall | None = call  # None: nobody reads the stream
        self.work = work
        self.reads = reads
        self.read_state = read_state  # that a writer fetches first
        self.answer: Deferred | None = None
        self.fetch: ClientCall | None = None
        self.is_over = False
        self.has_run = False
        self.batch: pb.BatchRequest | None = None
        self.breaks_after = 0  # tokens; 0: it does not
        self.node = first(call.metadata, "myrtle-node")
        self.ownership = Ownership(work.epoch, work.owner)
        # What is reported to whoever claims the sequence.
        self.attempt_state = AttemptState.READING if reads else AttemptState.WAITING
        self.stream_calls = [StreamCall(self, call)]
        self.token_ids: list[int] = []
        self.final_message: bytes | None = None

    def note(self, what: str, **fields: object) -> None:
        """Record an event of this attempt."""
        self.engine.recorder.note(what, seq=self.work.sequence, attempt=self.work.attempt, **fields)

    def lost(self, code: Code) -> None:
        """The node reset the call, its deadline passed or its connection broke."""
        self.lost_by(self.stream_calls[0].call, code)

    def lost_by(self, call: ServerCall, code: Code) -> None:
        """The same of any call by which the stream is read; one that was superseded stops nothing."""
        if self.is_over or call is not self.call:
            return
        if code == Code.UNAVAILABLE and not self.reads and self.engine.claims.outlives_its_node(self):
            self.engine.claims.detach(self)
        else:
            self.stop(code.name)

    def stop(self, why: str) -> None:
        """Stop the attempt: nobody wants it any more."""
        self.note("stopped", why=why, ran=self.has_run)
        if self.fetch is not None:
            self.fetch.cancel()
        self.close(AttemptState.STOPPED if self.has_run else AttemptState.NEVER_RAN)
        self.engine.act(self.engine.model.cancel(self.engine.clock.seconds(), self))

    def close(self, attempt_state: AttemptState) -> None:
        """End the attempt in this state."""
        self.is_over = True
        self.attempt_state = attempt_state
        self.engine.jobs.discard(self)
        self.engine.claims.ended(self)

    def send(self, data: bytes) -> None:
        """Send a message to whoever reads the stream now."""
        if self.call is not None:
            self.call.send(data)

    def finish(self) -> None:
        """End the call by which the stream is read."""
        if self.call is not None:
            self.call.finish()


class StateFetch(CallWatcher):
    """A writer's call to a reader that fetches a read state."""

    def __init__(self, engine: "EmulatedEngine", job: Job) -> None:
        self.engine = engine
        self.job = job
        self.tokens = 0

    def message(self, data: bytes) -> None:
        """Take one piece of the state."""
        self.tokens += pb.StatePiece.FromString(data).tokens

    def ended(self, status: Status) -> None:
        """Take the end of the call."""
        job = self.job
        job.fetch = None
        if job.is_over:
            return
        now = self.engine.clock.seconds()
        is_whole = status.code == Code.OK and self.tokens >= job.read_state.tokens
        job.note("fetched", whole=is_whole)
        if is_whole and self.engine.hits("full_after_fetch"):
            self.engine.act([*self.engine.model.cancel(now, job), Refused(job)])
            return
        self.engine.act(self.engine.model.fetched(now, job, is_whole))
