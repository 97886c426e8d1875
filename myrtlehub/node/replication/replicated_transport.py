"""An engine transport that sends an attempt once the replicas know of it."""

from collections.abc import Callable
from functools import partial

from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.sequences import Attempt
from myrtlehub.recovery.ownership import SendDecision
from myrtlehub.routing.contract import LoadReport, Outcome


class ReplicatedTransport:
    """Holds attempts back for `RecordPublisher`; all else is passed to the transport.

    Implements `protocols.EngineTransport`.
    """

    def __init__(self, transport: GrpcEngineTransport, replication: Replication) -> None:
        self.transport = transport
        self.replication = replication
        self.publisher = replication.publisher

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, now or once its replicas have acknowledged it."""
        decision = self.publisher.intend(self.transport.executor, attempt, partial(self._decided, attempt))
        if decision == SendDecision.SEND:
            self.transport.start(attempt)
        elif decision == SendDecision.ABANDON:
            self.replication.clock.callLater(0, self._decided, attempt, decision)

    def _decided(self, attempt: Attempt, decision: SendDecision) -> None:
        if not attempt.is_outstanding:
            return
        if decision == SendDecision.SEND:
            self.transport.start(attempt)
        else:
            self.transport.executor.ended(attempt, Outcome.UNSENT)

    def cancel(self, attempt: Attempt) -> None:
        """Reset an attempt, or drop it if it was not sent yet."""
        if attempt.call is None:
            self.publisher.cancel_waiting_send(attempt.sequence.sequence_id)
        else:
            self.transport.cancel(attempt)

    def release(self, engine: int, sequence_id: str) -> None:
        """Release the read state of a sequence, unless another node continues it."""
        if not self.publisher.former.has_moved(sequence_id):
            self.transport.release(engine, sequence_id)

    def probe(self, engine: int, timeout: float, on_reply: Callable[[bool, LoadReport | None], None]) -> None:
        """Ask an engine for its load."""
        self.transport.probe(engine, timeout, on_reply)

    def close_idle(self, engine: int) -> None:
        """Close an unused connection."""
        self.transport.close_idle(engine)

    def forget(self, address: str) -> None:
        """Forget an engine that is off the endpoint list and unused."""
        self.transport.forget(address)
