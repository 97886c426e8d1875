"""The stand-in engine on sockets: a thin gRPC server around the model, which records what passes."""

from collections.abc import Callable
from random import Random

from twisted.internet.defer import Deferred

from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.emulator.alarm import Alarm
from myrtlehub.emulator.claims import ClaimableJobs
from myrtlehub.emulator.job import Job, StateFetch
from myrtlehub.emulator.model import NEVER, EngineModel, Machine, Task
from myrtlehub.emulator.tokens import checksum, token_id
from myrtlehub.emulator.vectors import score_of, vector_of
from myrtlehub.proto import chat_pb2 as chat
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.records import Recorder
from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.sequence_records import Ownership
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.metadata import first
from myrtlehub.rpc.method_handlers import server_stream, unary
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

SERVICE = "/myrtlehub.v1.Engine/"
PIECE = 512  # tokens of state in a piece
PIECE_BYTES = 512  # stands for far more: figures of time come from the model


def machine_of(sheet: EmulatedEngineConfig) -> Machine:
    """The model's figures of a stand-in's file."""
    return Machine(**{name: getattr(sheet, name) for name in Machine.__dataclass_fields__})


class StandIn:
    """One stand-in. `dial(address)` makes a channel's way to another engine."""

    def __init__(
        self,
        sheet: EmulatedEngineConfig,
        clock: object,
        dial: Callable[[str], Callable],
        recorder: Recorder,
        on_fallen: Callable[[], None] = lambda: None,
    ) -> None:
        self.sheet, self.clock, self.dial, self.recorder = sheet, clock, dial, recorder
        self.on_fallen = on_fallen
        now = clock.seconds()
        self.model = EngineModel(machine_of(sheet), sheet.seed, now if sheet.cold else None)
        self.random = Random(sheet.seed + 1)
        self.server = Server(clock)
        self.channels: dict[str, Channel] = {}
        self.jobs: set[Job] = set()
        self.model_name = sheet.model
        self.claims = ClaimableJobs(self, sheet.stream_bound)
        self.alarm = Alarm(clock, self._tick)
        for name, handler in (
            ("Read", unary(self._read)),
            ("Write", server_stream(self._write)),
            ("Release", unary(self._release)),
            ("Probe", unary(self._probe)),
            ("Claim", unary(lambda call, data: self.claims.claim(data))),
            ("Fetch", server_stream(self._fetch)),
        ):
            self.server.add(SERVICE + name, handler)
        self.server.add(SERVICE + "Batch", server_stream(self._batch))
        self.server.add("/myrtlehub.v1.Stand/Misbehave", unary(self._misbehave))
        m = self.model.m
        recorder.note(
            "up",
            address=sheet.listen,
            cold=sheet.cold,
            slots=m.slots,
            cold_share=m.cold_share,
            cold_time=m.cold_time,
            fall_multiple=m.fall_multiple,
            fall_time=m.fall_time,
        )

    # -- what is asked ----------------------------------------------------------------------------

    def _task(self, work: pb.Work) -> Task:
        return Task(
            work.sequence,
            work.prompt_tokens,
            work.most_output,
            work.session,
            work.shared_prefix,
            work.shared_tokens,
            work.mark,
            self.clock.seconds() + work.first_within_ms / 1000.0 if work.first_within_ms else NEVER,
        )

    def _take(self, call: ServerCall, work: pb.Work, reads: bool, state: pb.State | None) -> Job:
        job = Job(self, call, work, reads, state)
        self.claims.admit(job)
        job.note(
            "got",
            reads=reads,
            node=job.node,
            mark=work.mark,
            traffic=work.traffic_type,
            list=first(call.metadata, "myrtle-list"),
            hung=self.model.hung,
            work=self.model.work(self._task(work), reads, state is not None),
        )
        return job

    def _read(self, call: ServerCall, data: bytes) -> Deferred:
        if not self.sheet.reads:
            raise RpcError(Code.FAILED_PRECONDITION, "this engine does not read for others")
        job = self._take(call, pb.ReadRequest.FromString(data).work, True, None)
        job.answer = Deferred(lambda ignored: job.lost(Code.CANCELLED))
        self.act(self.model.read(self.clock.seconds(), job, self._task(job.work)))
        return job.answer

    def _write(self, call: ServerCall, data: bytes) -> Receiver:
        if not self.sheet.writes:
            raise RpcError(Code.FAILED_PRECONDITION, "this engine does not write")
        request = pb.WriteRequest.FromString(data)
        if request.HasField("attach"):
            return self.claims.attach(call, request)
        state = request.state if request.HasField("state") else None
        job = self._take(call, request.work, False, state)
        self.jobs.add(job)
        if self.hits("fail_late"):
            self.clock.callLater(0.2 + 0.4 * self.random.random(), self._fail_late, job)
            return job
        self.act(self.model.write(self.clock.seconds(), job, self._task(job.work), state is not None))
        return job

    def _batch(self, call: ServerCall, data: bytes) -> Receiver:
        request = pb.BatchRequest.FromString(data)
        if not {"embed": self.sheet.embeds, "rank": self.sheet.ranks}.get(request.task):
            raise RpcError(Code.FAILED_PRECONDITION, f"this engine has no work {request.task!r}")
        tokens = sum(i.tokens for i in request.items) + len(request.items) * request.work.shared_tokens
        job = Job(self, call, request.work, False, None)
        job.batch = request
        job.note(
            "got",
            reads=False,
            node=job.node,
            mark=request.work.mark,
            traffic=request.work.traffic_type,
            list=first(call.metadata, "myrtle-list"),
            hung=self.model.hung,
            items=len(request.items),
            work=tokens / self.model.m.batch_rate,
        )
        self.jobs.add(job)
        if request.model and request.model != self.model_name:
            self.act([("refused", job, False)])
            return job
        work = request.work
        until = self.clock.seconds() + work.first_within_ms / 1000.0 if work.first_within_ms else NEVER
        self.act(self.model.batch(self.clock.seconds(), job, tokens, until))
        return job

    def _on_batched(self, job: Job) -> None:
        """Results in pieces, the longest inputs with an error of their own, then the end."""
        request, results = job.batch, []
        for index, item in enumerate(request.items):
            if item.tokens > self.sheet.longest_input:
                results.append(
                    pb.ItemResult(
                        index=index,
                        error=f"{item.tokens} tokens are more than the "
                        f"{self.sheet.longest_input:g} that {self.model_name} takes",
                    )
                )
            elif request.task == "embed":
                size = request.dimensions or self.sheet.dimensions
                results.append(
                    pb.ItemResult(
                        index=index, vector=vector_of(item.text, self.model_name, size, request.normalise)
                    )
                )
            else:
                results.append(
                    pb.ItemResult(index=index, score=score_of(request.query, item.text, self.model_name))
                )
        half = len(results) // 2
        for piece in (results[:half], results[half:]):
            if piece:
                job.call.send(pb.BatchReply(items=pb.ItemResults(results=piece)).SerializeToString())
            if self.hits("break_stream"):
                job.is_over = True
                self.jobs.discard(job)
                job.note("broken")
                self.clock.callLater(0, job.call.stream.reset, 2)
                return
        job.is_over = True
        self.jobs.discard(job)
        job.note("ended", tokens=len(results))
        job.call.send(
            pb.BatchReply(ended=pb.BatchEnded(model=self.model_name, load=self._load())).SerializeToString()
        )
        job.call.finish()

    def _release(self, call: ServerCall, data: bytes) -> bytes:
        request = pb.ReleaseRequest.FromString(data)
        seq = request.sequence
        if request.epoch and not self.claims.fences.admit(seq, Ownership(request.epoch, request.owner)):
            return pb.ReleaseReply().SerializeToString()  # it is another node's now
        tokens = self.model.state_tokens(seq)
        self.act(self.model.release(self.clock.seconds(), seq))
        return pb.ReleaseReply(tokens=int(tokens)).SerializeToString()

    def _probe(self, call: ServerCall, data: bytes) -> bytes | Deferred:
        self.recorder.note("probed")
        if self.model.hung:
            return Deferred()
        return pb.ProbeReply(load=self._report()).SerializeToString()

    def _fetch(self, call: ServerCall, data: bytes) -> Receiver | None:
        handle = pb.FetchRequest.FromString(data).handle
        total = self.model.state_tokens(handle)
        if not total or self.model.hung:
            if not self.model.hung:
                call.finish(Code.NOT_FOUND, f"no state {handle!r} is held here")
            return None
        pieces = -(-int(total) // PIECE)
        lose_at = PIECE * self.random.randint(1, pieces - 1) if pieces > 1 and self.hits("lose_fetch") else 0
        self._send_piece(call, handle, total, 0, lose_at)
        return None

    def _send_piece(self, call: ServerCall, handle: str, total: float, sent: int, lose_at: int) -> None:
        if call.over:
            return
        if sent and sent == lose_at:
            self.recorder.note("fetch lost", seq=handle)
            self.act(self.model.release(self.clock.seconds(), handle, "lost"))
            call.stream.reset(2)  # INTERNAL_ERROR
            return
        size = min(PIECE, int(total) - sent)
        call.send(pb.StatePiece(tokens=size, data=bytes(PIECE_BYTES)).SerializeToString())
        sent += size
        takes = size / self.model.m.fetch_rate * self.model.slow
        if sent < int(total):
            self.clock.callLater(takes, self._send_piece, call, handle, total, sent, lose_at)
        else:
            self.clock.callLater(takes, self._fetched, call, handle)

    def _fetched(self, call: ServerCall, handle: str) -> None:
        if not call.over:
            self.act(self.model.release(self.clock.seconds(), handle, "fetched"))
            call.finish()

    def _misbehave(self, call: ServerCall, data: bytes) -> bytes:
        asked = pb.Misbehaviour.FromString(data)
        self.recorder.note("misbehaves", how=asked.how, factor=asked.factor, seconds=asked.seconds)
        if asked.how == "model":
            self.model_name = asked.model
        elif asked.how == "break":
            for job in sorted((j for j in self.jobs if j.has_run), key=lambda j: j.work.sequence):
                if job.call is not None and self.random.random() < (asked.factor or 1.0):
                    job.note("broken")
                    job.call.stream.reset(2)  # INTERNAL_ERROR
        else:
            try:
                self.model.misbehave(self.clock.seconds(), asked.how, asked.factor, asked.seconds)
            except ValueError as fault:
                raise RpcError(Code.INVALID_ARGUMENT, str(fault)) from fault
        self.act([])
        return pb.Misbehaving().SerializeToString()

    # -- what the model says ----------------------------------------------------------------------

    def act(self, events: list[tuple]) -> None:
        """Carry out events, and set the next wake-up."""
        for event in events:
            getattr(self, "_on_" + event[0])(*event[1:])
        self.alarm.set(self.model.next_at())

    def _tick(self) -> None:
        self.act(self.model.tick(self.clock.seconds()))

    def _load(self) -> pb.LoadReport | None:
        """What goes along with an answer."""
        return self._report() if self.sheet.reports == "answers" else None

    def _report(self) -> pb.LoadReport:
        return pb.LoadReport(**self.model.load())

    def _on_read(self, job: Job, kept: float, tokens: float) -> None:
        job.note("held", tokens=tokens)
        job.close(AttemptState.HOLDS_READ_STATE)
        job.answer.callback(
            pb.ReadReply(
                read=pb.State(engine=self.sheet.listen, handle=job.work.sequence, tokens=int(tokens)),
                kept_tokens=int(kept),
                load=self._load(),
            ).SerializeToString()
        )

    def hits(self, mishap: str) -> bool:
        """Whether chance wants this mishap now."""
        share = getattr(self.sheet.mishaps, mishap)
        return share > 0.0 and self.random.random() < share

    def _on_fetch(self, job: Job) -> None:
        job.note("fetching")
        address = job.read_state.engine
        if address not in self.channels:
            self.channels[address] = Channel(self.clock, self.dial(address), address, random=self.random)
        job.fetch = self.channels[address].call(SERVICE + "Fetch", StateFetch(self, job))
        job.fetch.send(pb.FetchRequest(handle=job.read_state.handle).SerializeToString())
        job.fetch.half_close()

    def _on_ran(self, job: Job) -> None:
        job.has_run = True
        job.attempt_state = AttemptState.WRITING
        job.note("ran", mark=job.work.mark, traffic=job.work.traffic_type)
        if job.batch is None and self.hits("break_stream"):
            job.breaks_after = self.random.randint(1, 10)

    def _on_tokens(self, job: Job, count: int) -> None:
        ids = [
            token_id(self.sheet.listen, job.work.sequence, job.work.attempt, len(job.token_ids) + i)
            for i in range(count)
        ]
        job.token_ids += ids
        job.send(pb.WriteReply(tokens=chat.Tokens(ids=ids)).SerializeToString())
        if job.breaks_after:
            job.breaks_after -= 1
            if not job.breaks_after and not job.is_over:
                job.note("broken")
                if job.call is not None:
                    self.clock.callLater(0, job.call.stream.reset, 2)
                else:
                    job.stop("broken")

    def _on_ended(self, job: Job, kept: float, tokens: int) -> None:
        job.close(AttemptState.ENDED)
        job.note("ended", tokens=tokens, sum=checksum(job.token_ids))
        job.final_message = pb.WriteReply(
            ended=pb.Ended(tokens=tokens, kept_tokens=int(kept), load=self._load())
        ).SerializeToString()
        job.send(job.final_message)
        job.finish()

    def _on_refused(self, job: Job, no_state: bool) -> None:
        job.close(AttemptState.REFUSED)
        job.note("refused", no_state=no_state)
        refused = pb.Refused(no_state=no_state, load=self._load())
        if job.batch is not None:
            refused.model = self.model_name
            job.call.send(pb.BatchReply(refused=refused).SerializeToString())
            job.call.finish()
        elif job.reads:
            job.answer.callback(pb.ReadReply(refused=refused).SerializeToString())
        else:
            job.send(pb.WriteReply(refused=refused).SerializeToString())
            job.finish()

    def _fail_late(self, job: Job) -> None:
        if not job.is_over:
            self._on_failed(job)

    def _on_failed(self, job: Job) -> None:
        self._fail(job, "failed", RpcError(Code.INTERNAL, "the engine failed"))

    def _on_expired(self, job: Job) -> None:
        late = RpcError(Code.DEADLINE_EXCEEDED, "its time was over before it could begin")
        self._fail(job, "expired", late)

    def _fail(self, job: Job, what: str, fault: RpcError) -> None:
        job.close(AttemptState.NEVER)  # neither begun nor to be begun any more
        job.note(what)
        if job.reads:
            job.answer.errback(fault)
        elif job.call is not None:
            job.call.fail(fault)

    def _on_freed(self, seq: str, tokens: float, why: str) -> None:
        self.recorder.note("freed", seq=seq, tokens=tokens, why=why)

    def _on_fell(self) -> None:
        self.recorder.note("fell")
        for connection in list(self.server.connections):
            connection.transport.abortConnection()
        self.on_fallen()
