"""Takes over a sequence from another node when its client resumes at this node.

The takeover fetches the record from replicas, claims the sequence at all engines in the record, and executes
the decision of `recovery.recovery_decision`. If a writer is still generating the answer, the takeover
attaches to its stream and relays it. If the sequence has to be read or written again, the router routes it
like a new arrival.
"""

from collections.abc import Callable, Sequence
from functools import partial
from typing import TypeVar

from twisted.internet.defer import Deferred

from myrtlehub.clock import Timer
from myrtlehub.log_events import LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.replication.attached_stream import attach_to_stream
from myrtlehub.node.replication.engine_claims import EngineClaims, has_stream, is_rejected
from myrtlehub.node.replication.record_fetch import has_record, merge_replies
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.replication.reply_collector import ReplyCollector
from myrtlehub.node.replication.retry_arrival import retry_arrival
from myrtlehub.node.replication.takeover_interfaces import Redispatch, TakeoverClient, TakeoverRequest
from myrtlehub.node.replication.takeover_machine import TAKEOVER_TABLE, TakeoverEffect, TakeoverEvent
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.proto import peers_pb2
from myrtlehub.recovery.recovery_decision import (
    AttemptReport,
    RecoveryAction,
    RecoveryDecision,
    decide,
)
from myrtlehub.recovery.sequence_records import AttemptIntent, SequenceRecord
from myrtlehub.rpc.client_call import ClientCall
from myrtlehub.state.state_machine import CommonEffect, StateMachine

Reply = TypeVar("Reply")


class Takeover:
    """One sequence that is being taken over. Implements `attached_stream.StreamObserver`."""

    def __init__(
        self,
        request: TakeoverRequest,
        replication: Replication,
        transport: GrpcEngineTransport,
        executor: ActionExecutor,
        client: TakeoverClient,
        redispatch: Redispatch,
        on_superseded: Callable[[str], None],
        engines_answer_claims: bool,
    ) -> None:
        """Create a takeover, which begins with `start`.

        Args:
            request: the client's request to resume.
            replication: the replication of this node.
            transport: sends the claims, and provides the channels to engines.
            executor: runs the sequence if it is routed again.
            client: receives the response.
            redispatch: routes the sequence again.
            on_superseded: called with the reason if another node owns the sequence.
            engines_answer_claims: if False, all attempts in the record count as unknown.
        """
        self.request = request
        self.replication = replication
        self.publisher = replication.publisher
        self.clock = replication.clock
        self.transport = transport
        self.executor = executor
        self.client = client
        self.redispatch = redispatch
        self.on_superseded = on_superseded
        self.engines_answer_claims = engines_answer_claims
        self.machine = StateMachine(TAKEOVER_TABLE)
        self.call: ClientCall | None = None  # the call of the attached stream
        self.timer: Timer | None = None  # fires at the deadline for the first token
        self.started_at = self.clock.seconds()

    def start(self) -> None:
        """Query the replicas of the node that accepted the sequence."""
        if not self.request.client_token_count:
            time_left = max(0.0, self.request.arrival.time_left - self.executor.config.answer_slack)
            self.timer = self.clock.callLater(time_left, self.deadline_passed)
        sequence_id = self.request.sequence_id
        replicas = self.replication.replicas_of_sequence(sequence_id)
        self._collect(
            [self.replication.fetch_record(replica, sequence_id) for replica in replicas],
            has_record,
            partial(self._replicas_replied, replicas),
        )

    def _collect(
        self,
        calls: "Sequence[Deferred[Reply | None]]",
        is_sufficient: Callable[[Reply | None], bool],
        on_done: Callable[[list[Reply | None]], None],
    ) -> None:
        straggler_timeout = self.replication.settings.patience
        ReplyCollector(calls, is_sufficient, on_done, straggler_timeout, self.clock, self.replication.log)

    # -- external events --------------------------------------------------------------------------

    def client_disconnected(self) -> None:
        """Cancel the takeover, because the client no longer waits for an answer."""
        if self._apply_event(TakeoverEvent.RELEASED):
            self._stop()

    def hand_over(self) -> None:
        """Release the sequence because this node shuts down; its stream continues for the next owner."""
        if self._apply_event(TakeoverEvent.RELEASED):
            self._cancel_timer()
            self.publisher.release_ownership(self.request.sequence_id)

    def deadline_passed(self) -> None:
        """Abort, because the deadline of the call or of the first token has passed."""
        if self._apply_event(TakeoverEvent.ABORT):
            self._stop()
            self.client.aborted("its time is over")

    def _apply_event(self, event: TakeoverEvent) -> bool:
        """Step the state machine, and return False if the takeover had already ended."""
        return self.machine.step(event) is not CommonEffect.LATE

    def _stop(self) -> None:
        self._cancel_timer()
        if self.call is not None:
            self.call.cancel()
        self.publisher.answered(self.request.sequence_id)

    def _cancel_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    # -- replicas and engines ---------------------------------------------------------------------

    def _replicas_replied(self, replicas: list[str], replies: list[peers_pb2.TakeReply | None]) -> None:
        if self.machine.is_final:
            return
        now = self.clock.seconds()
        fetched = merge_replies(replicas, replies, now)
        if fetched is None:
            self._recover_without_record(now)
            return
        self.publisher.take_ownership(self.executor, fetched)
        self.machine.step(TakeoverEvent.RECORD_FOUND)
        claims = EngineClaims(self.transport, fetched.record)
        self._collect(
            claims.send(self.engines_answer_claims),
            has_stream,
            partial(self._engines_replied, claims, now),
        )

    def _recover_without_record(self, fetched_at: float) -> None:
        """Abort the sequence, or retry it if it is idempotent.

        The sequence gets a new id: engines may know the former id with an ownership unknown to this node.
        """
        decision = decide(
            self._retry_semantics(), [], self.request.client_token_count, is_record_complete=False
        )
        is_retried = decision.action == RecoveryAction.RETRY
        self.machine.step(TakeoverEvent.NO_RECORD if is_retried else TakeoverEvent.ABORT)
        self._cancel_timer()
        self._log(decision, fetched_at)
        if is_retried:
            self.redispatch(None, self.request.arrival, 0, None)
        else:
            self.client.aborted(decision.abort_reason or "")

    def _engines_replied(
        self, claims: EngineClaims, fetched_at: float, replies: list[pb.ClaimReply | None]
    ) -> None:
        if self.machine.is_final:
            return
        if any(is_rejected(reply) for reply in replies):
            self.superseded("another node has claimed it")
            return
        reports = claims.reports(replies, self.clock.seconds())
        self.machine.step(TakeoverEvent.ENGINES_REPORTED)
        decision = decide(self._retry_semantics(), reports, self.request.client_token_count)
        self._log(decision, fetched_at, claims.record.ownership.epoch, reports)
        self._execute(decision, claims)

    def _retry_semantics(self) -> str:
        return self.executor.config.traffic[self.request.arrival.traffic].retry_semantics

    # -- the decision -----------------------------------------------------------------------------

    def _execute(self, decision: RecoveryDecision, claims: EngineClaims) -> None:
        match decision:
            case RecoveryDecision(action=RecoveryAction.ATTACH, target=AttemptIntent() as target):
                self.machine.step(TakeoverEvent.ATTACH)
                self._attach(claims.record, target)
            case RecoveryDecision(action=RecoveryAction.ABORT):
                self.machine.step(TakeoverEvent.ABORT)
                self._cancel_timer()
                self.publisher.answered(self.request.sequence_id)
                self.client.aborted(decision.abort_reason or "")
            case _:
                self.machine.step(TakeoverEvent.REDISPATCH)
                self._cancel_timer()
                self._redispatch(decision, claims)

    def _redispatch(self, decision: RecoveryDecision, claims: EngineClaims) -> None:
        now = self.clock.seconds()
        engine_indices = self.executor.decoder.engines.index_by_address
        arrival = retry_arrival(self.request.arrival, decision, engine_indices, self.started_at, now)
        read_state = None
        if decision.target is not None and decision.target.engine in engine_indices:
            read_state = claims.read_states.get(decision.target.engine)
        self.redispatch(self.request.sequence_id, arrival, len(claims.record.intents), read_state)

    def _attach(self, record: SequenceRecord, target: AttemptIntent) -> None:
        self.client.sequence_id_assigned(self.request.sequence_id)
        self.call = attach_to_stream(self.transport, record, target, self.request, self)

    def _log(
        self,
        decision: RecoveryDecision,
        fetched_at: float,
        epoch: int = 0,
        reports: Sequence[AttemptReport] = (),
    ) -> None:
        now = self.clock.seconds()
        self.replication.log(
            LogEvent.TAKEOVER_DECIDED,
            sequence_id=self.request.sequence_id,
            action=decision.action,
            reason=decision.abort_reason or "",
            client_tokens=self.request.client_token_count,
            epoch=epoch,
            engine=decision.target.engine if decision.target is not None else "",
            attempts=[f"{report.intent.attempt} {report.state} {report.token_count}" for report in reports],
            requested_after_s=round(fetched_at - self.started_at, 4),
            duration_s=round(now - self.started_at, 4),
        )

    # -- the attached stream: see `attached_stream.StreamObserver` --------------------------------

    def tokens_received(self, data: bytes) -> None:
        """Relay tokens to the client."""
        if self.machine.step(TakeoverEvent.TOKENS_RECEIVED) is TakeoverEffect.RELAY_TOKENS:
            self._cancel_timer()
            self.client.tokens(data)

    def stream_completed(self, token_count: int) -> None:
        """Send the final answer; all tokens have been relayed."""
        if self._apply_event(TakeoverEvent.STREAM_COMPLETED):
            self._cancel_timer()
            self.publisher.answered(self.request.sequence_id)
            self.client.generated(token_count)

    def stream_failed(self, reason: str) -> None:
        """Abort, because another engine would generate different tokens."""
        if self._apply_event(TakeoverEvent.STREAM_BROKE):
            self._cancel_timer()
            self.publisher.answered(self.request.sequence_id)
            self.client.aborted(reason)

    def superseded(self, reason: str) -> None:
        """End without an answer, because another node owns the sequence."""
        if self._apply_event(TakeoverEvent.SUPERSEDED):
            self._cancel_timer()
            if self.call is not None:
                self.call.cancel()
            self.publisher.release_ownership(self.request.sequence_id)
            self.on_superseded(reason)
