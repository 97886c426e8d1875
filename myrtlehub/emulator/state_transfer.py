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

PIECE_TOKENS = 512  # tokens of state in one message
PIECE_BYTES = 512  # bytes of a message; a real state is far larger, but durations come from the model


@dataclass(slots=True)
class _Transfer:
    call: ServerCall
    handle: str
    total: float
    lose_at: int | None  # tokens after which an injected fault loses the state
    sent: int = 0


class StateTransfers:
    """Sends read states in pieces, at the rate of the engine model."""

    def __init__(self, engine: EngineContext) -> None:
        self._engine = engine

    def serve(self, call: ServerCall, data: bytes) -> None:
        """Serve one call of `Engine.Fetch`."""
        engine = self._engine
        handle = pb.FetchRequest.FromString(data).handle
        total = engine.model.state_tokens(handle)
        if engine.model.is_hung:
            return
        if not total:
            call.finish(Code.NOT_FOUND, f"no state {handle!r} is held here")
            return
        pieces = -(-int(total) // PIECE_TOKENS)
        lose_at = None
        if pieces > 1 and engine.occurs(engine.config.mishaps.lose_fetch):
            lose_at = PIECE_TOKENS * engine.random.randint(1, pieces - 1)
        self._send_piece(_Transfer(call, handle, total, lose_at))

    def _send_piece(self, transfer: _Transfer) -> None:
        call = transfer.call
        if call.over:
            return
        if transfer.sent == transfer.lose_at:
            self._lose(transfer)
            return
        size = min(PIECE_TOKENS, int(transfer.total) - transfer.sent)
        call.send(pb.StatePiece(tokens=size, data=bytes(PIECE_BYTES)).SerializeToString())
        transfer.sent += size
        model = self._engine.model
        duration = size / model.machine.fetch_rate * model.slowdown
        is_last = transfer.sent >= int(transfer.total)
        self._engine.clock.callLater(duration, self._finish if is_last else self._send_piece, transfer)

    def _lose(self, transfer: _Transfer) -> None:
        self._engine.recorder.note("fetch lost", seq=transfer.handle)
        self._release(transfer.handle, FreeReason.LOST)
        transfer.call.stream.reset(ErrorCodes.INTERNAL_ERROR)

    def _finish(self, transfer: _Transfer) -> None:
        if not transfer.call.over:
            self._release(transfer.handle, FreeReason.FETCHED)
            transfer.call.finish()

    def _release(self, handle: str, reason: FreeReason) -> None:
        engine = self._engine
        engine.act(engine.model.release(engine.clock.seconds(), handle, reason))


class StateFetch(CallWatcher):
    """A writer's call to a reader that fetches the read state of one job."""

    def __init__(self, engine: EngineContext, job: Job) -> None:
        self._engine = engine
        self._job = job
        self._tokens = 0  # received

    def message(self, data: bytes) -> None:
        """Count the tokens of one piece."""
        self._tokens += pb.StatePiece.FromString(data).tokens

    def ended(self, status: Status) -> None:
        """Continue the job if the state is complete, otherwise reject it."""
        engine = self._engine
        job = self._job
        job.fetch = None
        if job.is_over:
            return
        now = engine.clock.seconds()
        is_complete = status.code == Code.OK and self._tokens >= job.read_state.tokens
        job.note("fetched", whole=is_complete)
        if is_complete and engine.occurs(engine.config.mishaps.full_after_fetch):
            engine.act([*engine.model.cancel(now, job), Rejected(job)])
            return
        engine.act(engine.model.fetched(now, job, is_complete))
