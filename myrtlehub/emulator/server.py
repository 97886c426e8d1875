"""An emulated engine on sockets: a thin gRPC server around the model, which records what passes."""

from collections.abc import Callable, Iterable
from random import Random

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock
from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.emulator.batch_results import EMBED_TASK, RANK_TASK
from myrtlehub.emulator.claims import ClaimableJobs
from myrtlehub.emulator.event_handlers import EventHandlers
from myrtlehub.emulator.events import Failed, ModelEvent, Refused
from myrtlehub.emulator.fault_service import FaultService
from myrtlehub.emulator.job import Job
from myrtlehub.emulator.machine import NEVER, Machine, Task
from myrtlehub.emulator.model import EngineModel
from myrtlehub.emulator.state_transfer import StateTransfers
from myrtlehub.emulator.timer import ModelTimer
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.records import Recorder
from myrtlehub.recovery.sequence_records import Ownership
from myrtlehub.rpc.channel import Channel, ClientCall
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.metadata import first
from myrtlehub.rpc.method_handlers import server_stream, unary
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

SERVICE = "/myrtlehub.v1.Engine/"
FAULT_METHOD = "/myrtlehub.v1.Stand/Misbehave"
SHORTEST_LATE_FAILURE = 0.2  # seconds until an attempt fails by `fail_late`
LATE_FAILURE_SPREAD = 0.4


def machine_of(config: EmulatedEngineConfig) -> Machine:
    """Return the model's figures of an emulated engine's file."""
    return Machine(**{name: getattr(config, name) for name in Machine.__dataclass_fields__})


class EmulatedEngine:
    """One emulated engine. `dial(address)` makes a channel's way to another engine."""

    def __init__(
        self,
        config: EmulatedEngineConfig,
        clock: Clock,
        dial: Callable[[str], Callable],
        recorder: Recorder,
        on_crashed: Callable[[], None] = lambda: None,
    ) -> None:
        self.config = config
        self.clock = clock
        self.dial = dial
        self.recorder = recorder
        self.on_crashed = on_crashed
        now = clock.seconds()
        self.model = EngineModel(machine_of(config), config.seed, now if config.cold else None)
        self.random = Random(config.seed + 1)
        self.server = Server(clock)
        self.channels: dict[str, Channel] = {}
        self.jobs: set[Job] = set()
        self.model_name = config.model
        self.claims = ClaimableJobs(self, config.stream_bound)
        self._timer = ModelTimer(clock, self._tick)
        self._event_handlers = EventHandlers(self)
        self._add_methods()
        self._record_start()

    def _add_methods(self) -> None:
        state_transfers = StateTransfers(self)
        fault_service = FaultService(self)
        self.server.add(SERVICE + "Read", unary(self._read))
        self.server.add(SERVICE + "Write", server_stream(self._write))
        self.server.add(SERVICE + "Release", unary(self._release))
        self.server.add(SERVICE + "Probe", unary(self._probe))
        self.server.add(SERVICE + "Claim", unary(lambda call, data: self.claims.claim(data)))
        self.server.add(SERVICE + "Fetch", server_stream(state_transfers.serve))
        self.server.add(SERVICE + "Batch", server_stream(self._batch))
        self.server.add(FAULT_METHOD, unary(fault_service.inject))

    def _record_start(self) -> None:
        machine = self.model.machine
        self.recorder.note(
            "up",
            address=self.config.listen,
            cold=self.config.cold,
            slots=machine.slots,
            cold_share=machine.cold_share,
            cold_time=machine.cold_time,
            fall_multiple=machine.fall_multiple,
            fall_time=machine.fall_time,
        )

    # -- calls that are served --------------------------------------------------------------------

    def _read(self, call: ServerCall, data: bytes) -> Deferred:
        if not self.config.reads:
            raise RpcError(Code.FAILED_PRECONDITION, "this engine does not read for others")
        job = self._admit(call, pb.ReadRequest.FromString(data).work, True, None)
        job.answer = Deferred(lambda ignored: job.lost(Code.CANCELLED))
        self.act(self.model.read(self.clock.seconds(), job, self._task(job.work)))
        return job.answer

    def _write(self, call: ServerCall, data: bytes) -> Receiver:
        if not self.config.writes:
            raise RpcError(Code.FAILED_PRECONDITION, "this engine does not write")
        request = pb.WriteRequest.FromString(data)
        if request.HasField("attach"):
            return self.claims.attach(call, request)
        state = request.state if request.HasField("state") else None
        job = self._admit(call, request.work, False, state)
        self.jobs.add(job)
        if self.hits("fail_late"):
            delay = SHORTEST_LATE_FAILURE + LATE_FAILURE_SPREAD * self.random.random()
            self.clock.callLater(delay, self._fail_late, job)
            return job
        self.act(self.model.write(self.clock.seconds(), job, self._task(job.work), state is not None))
        return job

    def _batch(self, call: ServerCall, data: bytes) -> Receiver:
        request = pb.BatchRequest.FromString(data)
        if not {EMBED_TASK: self.config.embeds, RANK_TASK: self.config.ranks}.get(request.task):
            raise RpcError(Code.FAILED_PRECONDITION, f"this engine has no work {request.task!r}")
        tokens = sum(item.tokens for item in request.items)
        tokens += len(request.items) * request.work.shared_tokens
        job = Job(self, call, request.work, False, None)
        job.batch = request
        work = tokens / self.model.machine.batch_rate
        self._record_attempt(job, items=len(request.items), work=work)
        self.jobs.add(job)
        if request.model and request.model != self.model_name:
            self.act([Refused(job)])
            return job
        self.act(self.model.batch(self.clock.seconds(), job, tokens, self._start_before(request.work)))
        return job

    def _release(self, call: ServerCall, data: bytes) -> bytes:
        request = pb.ReleaseRequest.FromString(data)
        sequence_id = request.sequence
        ownership = Ownership(request.epoch, request.owner)
        if request.epoch and not self.claims.fences.admit(sequence_id, ownership):
            return pb.ReleaseReply().SerializeToString()  # another node owns it now
        tokens = self.model.state_tokens(sequence_id)
        self.act(self.model.release(self.clock.seconds(), sequence_id))
        return pb.ReleaseReply(tokens=int(tokens)).SerializeToString()

    def _probe(self, call: ServerCall, data: bytes) -> bytes | Deferred:
        self.recorder.note("probed")
        if self.model.is_hung:
            return Deferred()
        return pb.ProbeReply(load=self._load_report()).SerializeToString()

    # -- attempts ---------------------------------------------------------------------------------

    def _task(self, work: pb.Work) -> Task:
        return Task(
            work.sequence,
            work.prompt_tokens,
            work.most_output,
            work.session,
            work.shared_prefix,
            work.shared_tokens,
            work.mark,
            self._start_before(work),
        )

    def _start_before(self, work: pb.Work) -> float:
        if not work.first_within_ms:
            return NEVER
        return self.clock.seconds() + work.first_within_ms / 1000.0

    def _admit(self, call: ServerCall, work: pb.Work, reads: bool, state: pb.State | None) -> Job:
        job = Job(self, call, work, reads, state)
        self.claims.admit(job)
        self._record_attempt(job, work=self.model.work(self._task(work), reads, state is not None))
        return job

    def _record_attempt(self, job: Job, **fields: float) -> None:
        job.note(
            "got",
            reads=job.reads,
            node=job.node,
            mark=job.work.mark,
            traffic=job.work.traffic_type,
            list=first(job.call.metadata, "myrtle-list"),
            hung=self.model.is_hung,
            **fields,
        )

    def _fail_late(self, job: Job) -> None:
        if not job.is_over:
            self._event_handlers.handle([Failed(job)])

    # -- for the parts of this package ------------------------------------------------------------

    def act(self, events: Iterable[ModelEvent]) -> None:
        """Carry out events, and set the next wake-up."""
        self._event_handlers.handle(events)
        self._timer.set(self.model.next_at())

    def _tick(self) -> None:
        self.act(self.model.tick(self.clock.seconds()))

    def hits(self, fault: str) -> bool:
        """Return whether this fault of the file's `mishaps` happens now, by chance."""
        share = getattr(self.config.mishaps, fault)
        return share > 0.0 and self.random.random() < share

    def fetch_call(self, address: str, watcher: CallWatcher) -> ClientCall:
        """Begin a call by which a read state is fetched from another engine."""
        if address not in self.channels:
            self.channels[address] = Channel(self.clock, self.dial(address), address, random=self.random)
        return self.channels[address].call(SERVICE + "Fetch", watcher)

    def load_with_answer(self) -> pb.LoadReport | None:
        """Return the load report that goes along with an answer, if any."""
        return self._load_report() if self.config.reports == "answers" else None

    def _load_report(self) -> pb.LoadReport:
        return pb.LoadReport(**self.model.load())
