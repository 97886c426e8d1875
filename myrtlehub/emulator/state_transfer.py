"""Transfers of read states: a writer calls `Engine.Fetch` of the reader that has the state."""

from dataclasses import dataclass

from h2.errors import ErrorCodes

from myrtlehub.emulator.engine_context import EngineContext
from myrtlehub.emulator.events import FreeReason, Rejected
from myrtlehub.emulator.job import Job
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code, Status

PIECE_TOKENS = 512  # tokens of read state in one message
# Payload bytes in one message; a real state is far larger, but the model determines the duration.
PIECE_BYTES = 512


@dataclass(slots=True)
class _Transfer:
    call: ServerCall
    handle: str
    total_tokens: float
    lose_after_tokens: int | None  # tokens after which an injected fault loses the state
    sent_tokens: int = 0


class FetchService:
    """Serves `Engine.Fetch`: sends read states in pieces, at the fetch rate of the engine model."""

    def __init__(self, engine: EngineContext) -> None:
        self._engine = engine

    def serve(self, call: ServerCall, data: bytes) -> None:
        """Serve one call of `Engine.Fetch`."""
        engine = self._engine
        handle = pb.FetchRequest.FromString(data).handle
        total_tokens = engine.model.state_tokens(handle)
        if engine.model.is_hung:
            return
        if not total_tokens:
            call.finish(Code.NOT_FOUND, f"no state {handle!r} is held here")
            return
        piece_count = -(-int(total_tokens) // PIECE_TOKENS)
        lose_after_tokens = None
        if piece_count > 1 and engine.fault_occurs(engine.config.mishaps.lose_fetch):
            lose_after_tokens = PIECE_TOKENS * engine.random.randint(1, piece_count - 1)
        self._send_piece(_Transfer(call, handle, total_tokens, lose_after_tokens))

    def _send_piece(self, transfer: _Transfer) -> None:
        call = transfer.call
        if call.over:
            return
        if transfer.sent_tokens == transfer.lose_after_tokens:
            self._lose_state(transfer)
            return
        piece_tokens = min(PIECE_TOKENS, int(transfer.total_tokens) - transfer.sent_tokens)
        call.send(pb.StatePiece(tokens=piece_tokens, data=bytes(PIECE_BYTES)).SerializeToString())
        transfer.sent_tokens += piece_tokens
        model = self._engine.model
        duration = piece_tokens / model.machine.fetch_rate * model.slowdown
        is_last = transfer.sent_tokens >= int(transfer.total_tokens)
        self._engine.clock.callLater(duration, self._finish if is_last else self._send_piece, transfer)

    def _lose_state(self, transfer: _Transfer) -> None:
        self._engine.recorder.note("fetch lost", seq=transfer.handle)
        self._release(transfer.handle, FreeReason.LOST)
        transfer.call.stream.reset(ErrorCodes.INTERNAL_ERROR)

    def _finish(self, transfer: _Transfer) -> None:
        if not transfer.call.over:
            self._release(transfer.handle, FreeReason.FETCHED)
            transfer.call.finish()

    def _release(self, handle: str, reason: FreeReason) -> None:
        engine = self._engine
        engine.handle_events(engine.model.release(engine.clock.seconds(), handle, reason))


class StateFetch(CallWatcher):
    """A writer's call to a reader, to fetch the read state of one job."""

    def __init__(self, engine: EngineContext, job: Job) -> None:
        self._engine = engine
        self._job = job
        self._received_tokens = 0

    def message(self, data: bytes) -> None:
        """Count the tokens of one piece."""
        self._received_tokens += pb.StatePiece.FromString(data).tokens

    def ended(self, status: Status) -> None:
        """Continue the job if the state is complete, otherwise reject it."""
        engine = self._engine
        job = self._job
        job.fetch_call = None
        if job.has_ended:
            return
        now = engine.clock.seconds()
        is_complete = status.code == Code.OK and self._received_tokens >= job.read_state.tokens
        job.record_event("fetched", whole=is_complete)
        if is_complete and engine.fault_occurs(engine.config.mishaps.full_after_fetch):
            engine.handle_events([*engine.model.cancel(now, job), Rejected(job)])
            return
        engine.handle_events(engine.model.fetched(now, job, is_complete))
