"""How an emulated engine serves `Engine.Fetch`: a read state goes to a writer in pieces."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from myrtlehub.emulator.events import FreeReason
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code

if TYPE_CHECKING:
    from myrtlehub.emulator.server import EmulatedEngine

PIECE_TOKENS = 512  # tokens of state in a piece
PIECE_BYTES = 512  # stands for far more: figures of time come from the model
HTTP2_INTERNAL_ERROR = 2


@dataclass(slots=True)
class _Transfer:
    call: ServerCall
    handle: str
    total: float
    lose_at: int  # tokens after which the state is lost; 0: it is not
    sent: int = 0


class StateTransfers:
    """Sends read states, at the rate of the model."""

    def __init__(self, engine: "EmulatedEngine") -> None:
        self._engine = engine

    def serve(self, call: ServerCall, data: bytes) -> None:
        """Serve one call."""
        engine = self._engine
        handle = pb.FetchRequest.FromString(data).handle
        total = engine.model.state_tokens(handle)
        if engine.model.is_hung:
            return
        if not total:
            call.finish(Code.NOT_FOUND, f"no state {handle!r} is held here")
            return
        pieces = -(-int(total) // PIECE_TOKENS)
        lose_at = 0
        if pieces > 1 and engine.hits("lose_fetch"):
            lose_at = PIECE_TOKENS * engine.random.randint(1, pieces - 1)
        self._send_piece(_Transfer(call, handle, total, lose_at))

    def _send_piece(self, transfer: _Transfer) -> None:
        call = transfer.call
        if call.over:
            return
        if transfer.sent and transfer.sent == transfer.lose_at:
            self._engine.recorder.note("fetch lost", seq=transfer.handle)
            self._release(transfer.handle, FreeReason.LOST)
            call.stream.reset(HTTP2_INTERNAL_ERROR)
            return
        size = min(PIECE_TOKENS, int(transfer.total) - transfer.sent)
        call.send(pb.StatePiece(tokens=size, data=bytes(PIECE_BYTES)).SerializeToString())
        transfer.sent += size
        model = self._engine.model
        duration = size / model.machine.fetch_rate * model.slowdown
        is_last = transfer.sent >= int(transfer.total)
        self._engine.clock.callLater(duration, self._finish if is_last else self._send_piece, transfer)

    def _finish(self, transfer: _Transfer) -> None:
        if not transfer.call.over:
            self._release(transfer.handle, FreeReason.FETCHED)
            transfer.call.finish()

    def _release(self, handle: str, reason: FreeReason) -> None:
        engine = self._engine
        engine.act(engine.model.release(engine.clock.seconds(), handle, reason))
