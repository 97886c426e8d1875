"""One attempt that an emulated engine serves, and the calls that receive its stream."""

from typing import Protocol, TypeVar

from twisted.internet.defer import Deferred

from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.records import Recorder
from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.sequence_records import Ownership
from myrtlehub.rpc.client_call import ClientCall
from myrtlehub.rpc.metadata import first
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code

NODE_METADATA_KEY = "myrtle-node"  # the node that sent the attempt

T = TypeVar("T")


class JobKindError(TypeError):
    """A property was accessed that this kind of job lacks, for example `batch` of a write."""


class JobOwner(Protocol):
    """The interface of the engine that a job depends on."""

    @property
    def recorder(self) -> Recorder:
        """The recorder of the engine."""

    def may_outlive_node(self, job: "Job") -> bool:
        """Return whether a job may continue after the connection of the node that sent it is lost."""

    def detach(self, job: "Job") -> None:
        """Continue a job without a call that receives its stream."""

    def job_ended(self, job: "Job") -> None:
        """Handle the end of a job."""

    def cancel(self, job: "Job") -> None:
        """Remove a job from the engine model."""


class StreamCall(Receiver):
    """A call that receives the stream of an attempt: the first call, or one that attached later."""

    def __init__(self, job: "Job", call: ServerCall) -> None:
        self.job = job
        self.call = call

    def lost(self, code: Code) -> None:
        """Report to the job that this call has ended."""
        self.job.call_lost(self.call, code)


class Job(Receiver):
    """One attempt that is being served: a read, a write or a batch.

    Attributes:
        call: the call that receives the stream; None if the job is detached.
        fetch_call: the ongoing call that fetches the read state of a write; None if there is none.
        has_started: whether its computation has started, so that it counts as executed.
        tokens_until_break: tokens until an injected fault breaks the stream; None without such a fault.
        attempt_state: the state reported to a node that claims the sequence.
    """

    def __init__(
        self,
        owner: JobOwner,
        call: ServerCall,
        work: pb.Work,
        *,
        is_read: bool = False,
        read_state: pb.State | None = None,
        batch: pb.BatchRequest | None = None,
    ) -> None:
        self._owner = owner
        self._read_state = read_state
        self._batch = batch
        self._read_answer: Deferred[bytes] | None = None
        if is_read:
            self._read_answer = Deferred(lambda deferred: self.lost(Code.CANCELLED))
        self.call: ServerCall | None = call
        self.work = work
        self.is_read = is_read
        self.fetch_call: ClientCall | None = None
        self.has_ended = False
        self.has_started = False
        self.tokens_until_break: int | None = None
        self.node = first(call.metadata, NODE_METADATA_KEY)
        self.ownership = Ownership(work.epoch, work.owner)
        self.attempt_state = AttemptState.READING if is_read else AttemptState.WAITING
        self.stream_calls = [StreamCall(self, call)]
        self.token_ids: list[int] = []
        self.final_message: bytes | None = None

    @property
    def is_batch(self) -> bool:
        """Whether this is a batch of embedding or rerank items."""
        return self._batch is not None

    @property
    def batch(self) -> pb.BatchRequest:
        """The request of a batch."""
        return _require(self._batch, "batch")

    @property
    def read_answer(self) -> "Deferred[bytes]":
        """The answer of a read, which fires once."""
        return _require(self._read_answer, "answer of a read")

    @property
    def read_state(self) -> pb.State:
        """The read state that a write fetches before it starts."""
        return _require(self._read_state, "read state to fetch")

    def record_event(self, what: str, **fields: object) -> None:
        """Record an event of this attempt."""
        self._owner.recorder.note(what, seq=self.work.sequence, attempt=self.work.attempt, **fields)

    def lost(self, code: Code) -> None:
        """Stop or detach the attempt, whose first call was reset, expired or lost its connection."""
        self.call_lost(self.stream_calls[0].call, code)

    def call_lost(self, call: ServerCall, code: Code) -> None:
        """Stop or detach the attempt if this is the call that receives its stream.

        The loss of a call that a later one has superseded has no effect.
        """
        if self.has_ended or call is not self.call:
            return
        if code == Code.UNAVAILABLE and not self.is_read and self._owner.may_outlive_node(self):
            self._owner.detach(self)
        else:
            self.stop(code.name)

    def stop(self, reason: str) -> None:
        """Stop the attempt, whose result is no longer needed."""
        self.record_event("stopped", why=reason, ran=self.has_started)
        if self.fetch_call is not None:
            self.fetch_call.cancel()
        self.end(AttemptState.STOPPED if self.has_started else AttemptState.NEVER_RAN)
        self._owner.cancel(self)

    def end(self, attempt_state: AttemptState) -> None:
        """End the attempt in this state."""
        self.has_ended = True
        self.attempt_state = attempt_state
        self._owner.job_ended(self)

    def send(self, data: bytes) -> None:
        """Send a message on the call that receives the stream, if there is one."""
        if self.call is not None:
            self.call.send(data)

    def finish(self) -> None:
        """End the call that receives the stream, if there is one."""
        if self.call is not None:
            self.call.finish()


def _require(part: T | None, name: str) -> T:
    if part is None:
        raise JobKindError(f"this job has no {name}")
    return part
