"""One attempt that an emulated engine serves, and the calls by which its stream is read."""

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

NODE_KEY = "myrtle-node"  # metadata: the node that sent the attempt

T = TypeVar("T")


class JobKindError(TypeError):
    """A property was read that this kind of job does not have, for example `batch` of a write."""


class JobOwner(Protocol):
    """What a job needs of the engine that serves it."""

    @property
    def recorder(self) -> Recorder:
        """Return the recorder of the engine."""

    def may_outlive_node(self, job: "Job") -> bool:
        """Return whether a job may continue after the connection of the node that sent it is lost."""

    def detach(self, job: "Job") -> None:
        """Continue a job whose stream has no reader."""

    def job_closed(self, job: "Job") -> None:
        """Record that a job has ended."""

    def cancel(self, job: "Job") -> None:
        """Remove a job from the engine model."""


class StreamCall(Receiver):
    """A call by which the stream of an attempt is read: the first call, or one that attached later."""

    def __init__(self, job: "Job", call: ServerCall) -> None:
        self.job = job
        self.call = call

    def lost(self, code: Code) -> None:
        """Report to the job that this call has ended."""
        self.job.call_lost(self.call, code)


class Job(Receiver):
    """One attempt that is being served: a read, a write or a batch.

    Attributes:
        call: the call by which the stream is read; None if it has no reader.
        fetch: the call that fetches the read state of a write, while it runs.
        has_run: whether its computation has started, so that it counts as executed.
        tokens_until_break: tokens until an injected fault breaks the stream; None without such a fault.
        attempt_state: the state that is reported to a node that claims the sequence.
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
        self.fetch: ClientCall | None = None
        self.is_over = False
        self.has_run = False
        self.tokens_until_break: int | None = None
        self.node = first(call.metadata, NODE_KEY)
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
        return _present(self._batch, "batch")

    @property
    def read_answer(self) -> "Deferred[bytes]":
        """The answer of a read, which fires once."""
        return _present(self._read_answer, "answer of a read")

    @property
    def read_state(self) -> pb.State:
        """The read state that a write fetches before it starts."""
        return _present(self._read_state, "read state to fetch")

    def note(self, what: str, **fields: object) -> None:
        """Record an event of this attempt."""
        self._owner.recorder.note(what, seq=self.work.sequence, attempt=self.work.attempt, **fields)

    def lost(self, code: Code) -> None:
        """Stop or detach the attempt, whose first call was reset, expired or lost its connection."""
        self.call_lost(self.stream_calls[0].call, code)

    def call_lost(self, call: ServerCall, code: Code) -> None:
        """Stop or detach the attempt if this call is the one by which its stream is read now.

        The loss of a call that a later one has superseded has no effect.
        """
        if self.is_over or call is not self.call:
            return
        if code == Code.UNAVAILABLE and not self.is_read and self._owner.may_outlive_node(self):
            self._owner.detach(self)
        else:
            self.stop(code.name)

    def stop(self, reason: str) -> None:
        """Stop the attempt, whose result is not needed any more."""
        self.note("stopped", why=reason, ran=self.has_run)
        if self.fetch is not None:
            self.fetch.cancel()
        self.close(AttemptState.STOPPED if self.has_run else AttemptState.NEVER_RAN)
        self._owner.cancel(self)

    def close(self, attempt_state: AttemptState) -> None:
        """End the attempt in this state."""
        self.is_over = True
        self.attempt_state = attempt_state
        self._owner.job_closed(self)

    def send(self, data: bytes) -> None:
        """Send a message on the call by which the stream is read, if there is one."""
        if self.call is not None:
            self.call.send(data)

    def finish(self) -> None:
        """End the call by which the stream is read, if there is one."""
        if self.call is not None:
            self.call.finish()


def _present(part: T | None, name: str) -> T:
    if part is None:
        raise JobKindError(f"this job has no {name}")
    return part
