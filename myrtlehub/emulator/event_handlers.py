"""Handlers that apply the events of an engine model to the jobs of an emulated engine."""

from collections.abc import Iterable
from typing import assert_never

from h2.errors import ErrorCodes

from myrtlehub.emulator import events
from myrtlehub.emulator.batch_results import batch_results
from myrtlehub.emulator.engine_context import EngineContext
from myrtlehub.emulator.events import AttemptEvent, ModelEvent
from myrtlehub.emulator.job import Job
from myrtlehub.emulator.state_transfer import StateFetch
from myrtlehub.emulator.tokens import checksum, token_id
from myrtlehub.proto import chat_pb2 as chat
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code, RpcError

MAX_TOKENS_BEFORE_BREAK = 10  # maximum tokens of a stream before the fault `break_stream` resets it


class EventHandlers:
    """Handles the events of one engine's model."""

    def __init__(self, engine: EngineContext) -> None:
        self._engine = engine

    def handle(self, model_events: Iterable[ModelEvent[Job]]) -> None:
        """Handle events in order."""
        for event in model_events:
            match event:
                case events.StateFreed(sequence_id, tokens, reason):
                    self._engine.recorder.note("freed", seq=sequence_id, tokens=tokens, why=reason.value)
                case events.Crashed():
                    self._engine.recorder.note("fell")
                    self._engine.crash()
                case _:
                    self._handle_attempt_event(event)

    def _handle_attempt_event(self, event: AttemptEvent[Job]) -> None:
        match event:
            case events.TokensGenerated():
                self._send_tokens(event.key, event.token_count)
            case events.PromptRead():
                self._answer_read(event)
            case events.BatchDone():
                self._send_results(event.key)
            case events.FetchNeeded():
                self._fetch_state(event.key)
            case events.Started():
                self._start(event.key)
            case events.AnswerDone():
                self._finish_answer(event)
            case events.Rejected():
                self._reject(event.key, event.is_state_missing)
            case events.Failed():
                _fail(event.key, "failed", RpcError(Code.INTERNAL, "the engine failed"))
            case events.Expired():
                error = RpcError(Code.DEADLINE_EXCEEDED, "its time was over before it could begin")
                _fail(event.key, "expired", error)
            case _:
                assert_never(event)

    def _answer_read(self, event: events.PromptRead[Job]) -> None:
        job = event.key
        job.record_event("held", tokens=event.tokens)
        job.end(AttemptState.HAS_READ_STATE)
        address = self._engine.config.listen
        state = pb.State(engine=address, handle=job.work.sequence, tokens=int(event.tokens))
        reply = pb.ReadReply(
            read=state, kept_tokens=int(event.cached_tokens), load=self._engine.answer_load_report()
        )
        job.read_answer.callback(reply.SerializeToString())

    def _send_results(self, job: Job) -> None:
        """Send the results in two messages, then the end; a fault may reset the stream after either."""
        engine = self._engine
        results = batch_results(job.batch, engine.config, engine.model_name)
        half = len(results) // 2
        for part in (results[:half], results[half:]):
            if part:
                job.send(pb.BatchReply(items=pb.ItemResults(results=part)).SerializeToString())
            if engine.fault_occurs(engine.config.mishaps.break_stream):
                self._end_batch(job)
                job.record_event("broken")
                self._reset_stream_after_writes(job.call)
                return
        self._end_batch(job)
        job.record_event("ended", tokens=len(results))
        ended = pb.BatchEnded(model=engine.model_name, load=engine.answer_load_report())
        job.send(pb.BatchReply(ended=ended).SerializeToString())
        job.finish()

    def _end_batch(self, job: Job) -> None:
        job.has_ended = True
        self._engine.jobs.discard(job)

    def _reset_stream_after_writes(self, call: ServerCall | None) -> None:
        """Reset a stream in the next event loop iteration, after the messages that were written to it."""
        if call is not None:
            self._engine.clock.callLater(0, call.stream.reset, ErrorCodes.INTERNAL_ERROR)

    def _fetch_state(self, job: Job) -> None:
        job.record_event("fetching")
        fetch_call = self._engine.open_fetch(job.read_state.engine, StateFetch(self._engine, job))
        job.fetch_call = fetch_call
        fetch_call.send(pb.FetchRequest(handle=job.read_state.handle).SerializeToString())
        fetch_call.half_close()

    def _start(self, job: Job) -> None:
        job.has_started = True
        job.attempt_state = AttemptState.WRITING
        job.record_event("ran", mark=job.work.mark, traffic=job.work.traffic_type)
        if not job.is_batch and self._engine.fault_occurs(self._engine.config.mishaps.break_stream):
            job.tokens_until_break = self._engine.random.randint(1, MAX_TOKENS_BEFORE_BREAK)

    def _send_tokens(self, job: Job, token_count: int) -> None:
        first_index = len(job.token_ids)
        address = self._engine.config.listen
        token_ids = [
            token_id(address, job.work.sequence, job.work.attempt, index)
            for index in range(first_index, first_index + token_count)
        ]
        job.token_ids += token_ids
        job.send(pb.WriteReply(tokens=chat.Tokens(ids=token_ids)).SerializeToString())
        if job.tokens_until_break is not None:
            self._count_down_to_break(job, job.tokens_until_break - 1)

    def _count_down_to_break(self, job: Job, tokens_left: int) -> None:
        job.tokens_until_break = tokens_left or None
        if tokens_left or job.has_ended:
            return
        job.record_event("broken")
        if job.call is not None:
            self._reset_stream_after_writes(job.call)
        else:
            job.stop("broken")

    def _finish_answer(self, event: events.AnswerDone[Job]) -> None:
        job = event.key
        job.end(AttemptState.ENDED)
        job.record_event("ended", tokens=event.tokens, sum=checksum(job.token_ids))
        ended = pb.Ended(
            tokens=event.tokens,
            kept_tokens=int(event.cached_tokens),
            load=self._engine.answer_load_report(),
        )
        job.final_message = pb.WriteReply(ended=ended).SerializeToString()
        job.send(job.final_message)
        job.finish()

    def _reject(self, job: Job, is_state_missing: bool) -> None:
        job.end(AttemptState.REJECTED)
        job.record_event("refused", no_state=is_state_missing)
        rejection = pb.Refused(no_state=is_state_missing, load=self._engine.answer_load_report())
        if job.is_batch:
            rejection.model = self._engine.model_name
            job.send(pb.BatchReply(refused=rejection).SerializeToString())
            job.finish()
        elif job.is_read:
            job.read_answer.callback(pb.ReadReply(refused=rejection).SerializeToString())
        else:
            job.send(pb.WriteReply(refused=rejection).SerializeToString())
            job.finish()


def _fail(job: Job, record_name: str, error: RpcError) -> None:
    job.end(AttemptState.NEVER_RAN)  # it has not started and will not start
    job.record_event(record_name)
    if job.is_read:
        job.read_answer.errback(error)
    elif job.call is not None:
        job.call.fail(error)
