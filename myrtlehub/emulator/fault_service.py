"""The RPC method `Stand.Misbehave`, which injects faults into an emulated engine for tests."""

from h2.errors import ErrorCodes

from myrtlehub.emulator.engine_context import EngineContext
from myrtlehub.emulator.faults import FaultKind, UnknownFaultError
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code, RpcError


class FaultService:
    """Injects faults into one engine."""

    def __init__(self, engine: EngineContext) -> None:
        self._engine = engine

    def inject(self, call: ServerCall, data: bytes) -> bytes:
        """Serve `Stand.Misbehave`.

        Raises:
            RpcError: the engine does not support this fault.
        """
        engine = self._engine
        request = pb.Misbehaviour.FromString(data)
        engine.recorder.note("misbehaves", how=request.how, factor=request.factor, seconds=request.seconds)
        try:
            self._inject(request)
        except UnknownFaultError as error:
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from error
        engine.handle_events([])  # a fault changes when the model has to be called next
        return pb.Misbehaving().SerializeToString()

    def _inject(self, request: pb.Misbehaviour) -> None:
        kind = _kind_of(request.how)
        if kind == FaultKind.MODEL:
            self._engine.model_name = request.model
        elif kind == FaultKind.BREAK:
            self._break_streams(request.factor or 1.0)
        else:
            now = self._engine.clock.seconds()
            self._engine.model.inject_fault(now, kind, request.factor, request.seconds)

    def _break_streams(self, share: float) -> None:
        running = [job for job in self._engine.jobs if job.has_started]
        for job in sorted(running, key=lambda job: job.work.sequence):
            if job.call is not None and self._engine.random.random() < share:
                job.record_event("broken")
                job.call.stream.reset(ErrorCodes.INTERNAL_ERROR)


def _kind_of(value: str) -> FaultKind:
    try:
        return FaultKind(value)
    except ValueError:
        raise UnknownFaultError(value) from None
