"""The service `Engine` of an emulated engine: admits attempts and passes them to the engine model."""

from twisted.internet.defer import Deferred

from myrtlehub.emulator.batch_results import EMBED_TASK, RANK_TASK
from myrtlehub.emulator.claims import ClaimableJobs
from myrtlehub.emulator.engine_context import EngineContext
from myrtlehub.emulator.event_handlers import EventHandlers
from myrtlehub.emulator.events import Failed, Rejected
from myrtlehub.emulator.job import Job, JobOwner
from myrtlehub.emulator.load_report import load_report
from myrtlehub.emulator.machine import NEVER, Task
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.sequence_records import Ownership
from myrtlehub.rpc.metadata import first
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

LIST_VERSION_METADATA_KEY = "myrtle-list"  # version of the endpoint list that the node used
MIN_LATE_FAILURE_DELAY = 0.2  # seconds until the fault `fail_late` fails an attempt
LATE_FAILURE_DELAY_RANGE = 0.4  # seconds added to the minimum, times a random number from 0 to 1


class EngineService:
    """Implements the methods for reads, writes, batches, releases of read states, and probes."""

    def __init__(
        self, engine: EngineContext, owner: JobOwner, claims: ClaimableJobs, event_handlers: EventHandlers
    ) -> None:
        """Make the service of an engine; `owner` becomes the owner of the jobs that it creates."""
        self._engine = engine
        self._owner = owner
        self._claims = claims
        self._event_handlers = event_handlers

    def read(self, call: ServerCall, data: bytes) -> "Deferred[bytes]":
        """Serve `Engine.Read`."""
        engine = self._engine
        if not engine.config.reads:
            raise RpcError(Code.FAILED_PRECONDITION, "this engine does not read for others")
        job = Job(self._owner, call, pb.ReadRequest.FromString(data).work, is_read=True)
        self._admit(job, fetches_state=False)
        engine.handle_events(engine.model.read(engine.clock.seconds(), job, self._task_of(job.work)))
        return job.read_answer

    def write(self, call: ServerCall, data: bytes) -> Receiver:
        """Serve `Engine.Write`: a new attempt, or a call that attaches to the stream of an earlier one."""
        engine = self._engine
        if not engine.config.writes:
            raise RpcError(Code.FAILED_PRECONDITION, "this engine does not write")
        request = pb.WriteRequest.FromString(data)
        if request.HasField("attach"):
            return self._claims.attach(call, request)
        state = request.state if request.HasField("state") else None
        job = Job(self._owner, call, request.work, read_state=state)
        self._admit(job, state is not None)
        engine.jobs.add(job)
        if engine.fault_occurs(engine.config.mishaps.fail_late):
            delay = MIN_LATE_FAILURE_DELAY + LATE_FAILURE_DELAY_RANGE * engine.random.random()
            engine.clock.callLater(delay, self._fail_late, job)
            return job
        engine.handle_events(
            engine.model.write(engine.clock.seconds(), job, self._task_of(job.work), state is not None)
        )
        return job

    def batch(self, call: ServerCall, data: bytes) -> Receiver:
        """Serve `Engine.Batch`."""
        engine = self._engine
        request = pb.BatchRequest.FromString(data)
        if not self._supports_batch_task(request.task):
            raise RpcError(Code.FAILED_PRECONDITION, f"this engine has no work {request.task!r}")
        tokens = sum(item.tokens for item in request.items)
        tokens += len(request.items) * request.work.shared_tokens
        job = Job(self._owner, call, request.work, batch=request)
        slot_seconds = tokens / engine.model.machine.batch_rate
        self._record_attempt(job, items=len(request.items), work=slot_seconds)
        engine.jobs.add(job)
        if request.model and request.model != engine.model_name:
            engine.handle_events([Rejected(job)])
            return job
        expires_at = self._expiry_of(request.work)
        engine.handle_events(engine.model.batch(engine.clock.seconds(), job, tokens, expires_at))
        return job

    def release(self, call: ServerCall, data: bytes) -> bytes:
        """Serve `Engine.Release`; a release by a former owner of the sequence has no effect."""
        engine = self._engine
        request = pb.ReleaseRequest.FromString(data)
        sequence_id = request.sequence
        ownership = Ownership(request.epoch, request.owner)
        if request.epoch and not self._claims.fences.admit(sequence_id, ownership):
            return pb.ReleaseReply().SerializeToString()
        tokens = engine.model.state_tokens(sequence_id)
        engine.handle_events(engine.model.release(engine.clock.seconds(), sequence_id))
        return pb.ReleaseReply(tokens=int(tokens)).SerializeToString()

    def probe(self, call: ServerCall, data: bytes) -> "bytes | Deferred[bytes]":
        """Serve `Engine.Probe`; an engine that hangs does not answer."""
        self._engine.recorder.note("probed")
        if self._engine.model.is_hung:
            return Deferred()
        return pb.ProbeReply(load=load_report(self._engine.model)).SerializeToString()

    def _supports_batch_task(self, task: str) -> bool:
        config = self._engine.config
        return (task == EMBED_TASK and config.embeds) or (task == RANK_TASK and config.ranks)

    def _task_of(self, work: pb.Work) -> Task:
        return Task(
            sequence_id=work.sequence,
            prompt_tokens=work.prompt_tokens,
            max_output_tokens=work.most_output,
            session=work.session,
            prefix=work.shared_prefix,
            shared_tokens=work.shared_tokens,
            idempotency_key=work.mark,
            expires_at=self._expiry_of(work),
        )

    def _expiry_of(self, work: pb.Work) -> float:
        if not work.first_within_ms:
            return NEVER
        return self._engine.clock.seconds() + work.first_within_ms / 1000.0

    def _admit(self, job: Job, fetches_state: bool) -> None:
        self._claims.admit(job)
        slot_seconds = self._engine.model.estimate_slot_seconds(
            self._task_of(job.work), job.is_read, fetches_state
        )
        self._record_attempt(job, work=slot_seconds)

    def _record_attempt(self, job: Job, **fields: float) -> None:
        job.record_event(
            "got",
            reads=job.is_read,
            node=job.node,
            mark=job.work.mark,
            traffic=job.work.traffic_type,
            list=first(job.stream_calls[0].call.metadata, LIST_VERSION_METADATA_KEY),
            hung=self._engine.model.is_hung,
            **fields,
        )

    def _fail_late(self, job: Job) -> None:
        if not job.has_ended:
            self._event_handlers.handle([Failed(job)])
