"""What the events of the model mean for the attempts that an emulated engine serves."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from myrtlehub.emulator import events
from myrtlehub.emulator.batch_results import batch_results
from myrtlehub.emulator.events import ModelEvent
from myrtlehub.emulator.job import Job, StateFetch
from myrtlehub.emulator.state_transfer import HTTP2_INTERNAL_ERROR
from myrtlehub.emulator.tokens import checksum, token_id
from myrtlehub.proto import chat_pb2 as chat
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.rpc.status import Code, RpcError

if TYPE_CHECKING:
    from myrtlehub.emulator.server import EmulatedEngine

MOST_TOKENS_BEFORE_BREAK = 10


class EventHandlers:
    """Carries out the events of one engine's model."""

    def __init__(self, engine: "EmulatedEngine") -> None:
        self._engine = engine
        self._handlers: dict[type, Callable[[Any], None]] = {
            events.PromptRead: self._on_prompt_read,
            events.BatchDone: self._on_batch_done,
            events.FetchNeeded: self._on_fetch_needed,
            events.Started: self._on_started,
            events.TokensGenerated: self._on_tokens,
            events.AnswerDone: self._on_answer_done,
            events.Refused: self._on_refused,
            events.Failed: self._on_failed,
            events.Expired: self._on_expired,
            events.StateFreed: self._on_state_freed,
            events.Crashed: self._on_crashed,
        }

    def handle(self, model_events: Iterable[ModelEvent]) -> None:
        """Carry out events in their order."""
        for event in model_events:
            self._handlers[type(event)](event)

    def _on_prompt_read(self, event: events.PromptRead) -> None:
        job = event.key
        job.note("held", tokens=event.tokens)
        job.close(AttemptState.HOLDS_READ_STATE)
        address = self._engine.config.listen
        state = pb.State(engine=address, handle=job.work.sequence, tokens=int(event.tokens))
        reply = pb.ReadReply(
            read=state, kept_tokens=int(event.cached_tokens), load=self._engine.load_with_answer()
        )
        job.answer.callback(reply.SerializeToString())

    def _on_batch_done(self, event: events.BatchDone) -> None:
        """Send the results in two pieces, then the end; a stream may break after either piece."""
        job = event.key
        engine = self._engine
        results = batch_results(job.batch, engine.config, engine.model_name)
        half = len(results) // 2
        for piece in (results[:half], results[half:]):
            if piece:
                job.call.send(pb.BatchReply(items=pb.ItemResults(results=piece)).SerializeToString())
            if engine.hits("break_stream"):
                self._end_batch(job)
                job.note("broken")
                engine.clock.callLater(0, job.call.stream.reset, HTTP2_INTERNAL_ERROR)
                return
        self._end_batch(job)
        job.note("ended", tokens=len(results))
        ended = pb.BatchEnded(model=engine.model_name, load=engine.load_with_answer())
        job.call.send(pb.BatchReply(ended=ended).SerializeToString())
        job.call.finish()

    def _end_batch(self, job: Job) -> None:
        job.is_over = True
        self._engine.jobs.discard(job)

    def _on_fetch_needed(self, event: events.FetchNeeded) -> None:
        job = event.key
        job.note("fetching")
        job.fetch = self._engine.fetch_call(job.read_state.engine, StateFetch(self._engine, job))
        job.fetch.send(pb.FetchRequest(handle=job.read_state.handle).SerializeToString())
        job.fetch.half_close()

    def _on_started(self, event: events.Started) -> None:
        job = event.key
        job.has_run = True
        job.attempt_state = AttemptState.WRITING
        job.note("ran", mark=job.work.mark, traffic=job.work.traffic_type)
        if job.batch is None and self._engine.hits("break_stream"):
            job.breaks_after = self._engine.random.randint(1, MOST_TOKENS_BEFORE_BREAK)

    def _on_tokens(self, event: events.TokensGenerated) -> None:
        job = event.key
        first_index = len(job.token_ids)
        address = self._engine.config.listen
        token_ids = [
            token_id(address, job.work.sequence, job.work.attempt, index)
            for index in range(first_index, first_index + event.count)
        ]
        job.token_ids += token_ids
        job.send(pb.WriteReply(tokens=chat.Tokens(ids=token_ids)).SerializeToString())
        if job.breaks_after:
            self._count_down_to_break(job)

    def _count_down_to_break(self, job: Job) -> None:
        job.breaks_after -= 1
        if job.breaks_after or job.is_over:
            return
        job.note("broken")
        if job.call is not None:
            self._engine.clock.callLater(0, job.call.stream.reset, HTTP2_INTERNAL_ERROR)
        else:
            job.stop("broken")

    def _on_answer_done(self, event: events.AnswerDone) -> None:
        job = event.key
        job.close(AttemptState.ENDED)
        job.note("ended", tokens=event.tokens, sum=checksum(job.token_ids))
        ended = pb.Ended(
            tokens=event.tokens,
            kept_tokens=int(event.cached_tokens),
            load=self._engine.load_with_answer(),
        )
        job.final_message = pb.WriteReply(ended=ended).SerializeToString()
        job.send(job.final_message)
        job.finish()

    def _on_refused(self, event: events.Refused) -> None:
        job = event.key
        job.close(AttemptState.REFUSED)
        job.note("refused", no_state=event.no_state)
        refused = pb.Refused(no_state=event.no_state, load=self._engine.load_with_answer())
        if job.batch is not None:
            refused.model = self._engine.model_name
            job.call.send(pb.BatchReply(refused=refused).SerializeToString())
            job.call.finish()
        elif job.reads:
            job.answer.callback(pb.ReadReply(refused=refused).SerializeToString())
        else:
            job.send(pb.WriteReply(refused=refused).SerializeToString())
            job.finish()

    def _on_failed(self, event: events.Failed) -> None:
        _fail(event.key, "failed", RpcError(Code.INTERNAL, "the engine failed"))

    def _on_expired(self, event: events.Expired) -> None:
        error = RpcError(Code.DEADLINE_EXCEEDED, "its time was over before it could begin")
        _fail(event.key, "expired", error)

    def _on_state_freed(self, event: events.StateFreed) -> None:
        self._engine.recorder.note(
            "freed", seq=event.sequence_id, tokens=event.tokens, why=event.reason.value
        )

    def _on_crashed(self, event: events.Crashed) -> None:
        self._engine.recorder.note("fell")
        for connection in list(self._engine.server.connections):
            connection.transport.abortConnection()
        self._engine.on_crashed()


def _fail(job: Job, what: str, error: RpcError) -> None:
    job.close(AttemptState.NEVER_RAN)  # neither begun nor to be begun any more
    job.note(what)
    if job.reads:
        job.answer.errback(error)
    elif job.call is not None:
        job.call.fail(error)
