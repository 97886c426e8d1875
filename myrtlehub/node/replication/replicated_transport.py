"""An engine transport that sends an attempt once the replicas have acknowledged its intent."""

from collections.abc import Callable
from functools import partial

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.sequences import Attempt
from myrtlehub.recovery.ownership import SendDecision
from myrtlehub.routing.contract import LoadReport, Outcome


class TransportNotReadyError(Exception):
    """Raised if an attempt is started before the transport has its action executor."""


class ReplicatedTransport:
    """Delays attempts as `RecordPublisher` decides, and forwards all other calls to the engine transport.

    Implements `protocols.EngineTransport`.
    """

    def __init__(self, transport: GrpcEngineTransport, replication: Replication) -> None:
        self.transport = transport
        self.replication = replication
        self.publisher = replication.publisher

    @property
    def _executor(self) -> ActionExecutor:
        executor = self.transport.executor
        if executor is None:
            raise TransportNotReadyError
        return executor

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, at once or when the replicas have acknowledged its intent."""
        decision = self.publisher.replicate_intent(
            self._executor, attempt, partial(self._handle_decision, attempt)
        )
        if decision == SendDecision.SEND:
            self.transport.start(attempt)
        elif decision == SendDecision.ABANDON:
            # `EngineTransport.start` may report to the executor only in a later iteration of the event loop.
            self.replication.clock.callLater(0, self._handle_decision, attempt, decision)

    def _handle_decision(self, attempt: Attempt, decision: SendDecision) -> None:
        if not attempt.is_outstanding:
            return
        if decision == SendDecision.SEND:
            self.transport.start(attempt)
        else:
            self._executor.attempt_ended(attempt, Outcome.UNSENT)

    def cancel(self, attempt: Attempt) -> None:
        """Reset an attempt, or drop it if it has not been sent yet."""
        if attempt.transport_call is None:
            self.publisher.send_gate.cancel(attempt.sequence.sequence_id)
        else:
            self.transport.cancel(attempt)

    def release(self, engine: int, sequence_id: str) -> None:
        """Release the read state of a sequence, unless another node continues the sequence."""
        if not self.publisher.former_ownerships.has_migrated(sequence_id):
            self.transport.release(engine, sequence_id)

    def probe(
        self, engine: int, timeout: float, on_result: Callable[[bool, LoadReport | None], None]
    ) -> None:
        """Request the load report of an engine."""
        self.transport.probe(engine, timeout, on_result)

    def close_idle(self, engine: int) -> None:
        """Close an unused connection to an engine."""
        self.transport.close_idle(engine)

    def forget(self, address: str) -> None:
        """Drop the connection to an unused engine that was removed from the endpoint list."""
        self.transport.forget(address)
