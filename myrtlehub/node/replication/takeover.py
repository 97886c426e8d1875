"""Takes over a sequence that another node had, when its client comes back here.

Replicas are asked for the record, all engines in it are claimed, and `recovery.recovery_decision` says what
becomes of the sequence. A stream that its writer still makes is passed on from here; what has to be read or
written anew goes through the router like any arrival.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from myrtlehub.clock import Timer
from myrtlehub.log_events import LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.transport import SERVICE, GrpcEngineTransport
from myrtlehub.node.protocols import ResponseSink
from myrtlehub.node.replication.attached_stream import AttachedStream
from myrtlehub.node.replication.engine_claims import EngineClaims, has_stream, is_refused
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.replication.reply_collector import ReplyCollector
from myrtlehub.node.replication.takeover_machine import TAKEOVER_TABLE, TakeoverEffect, TakeoverEvent
from myrtlehub.node.replication.wire import decode_record
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.proto import peers_pb2
from myrtlehub.recovery.recovery_decision import (
    AttemptReport,
    RecoveryAction,
    RecoveryDecision,
    decide,
)
from myrtlehub.recovery.sequence_records import SequenceRecord, merge_copies
from myrtlehub.routing.contract import Arrival
from myrtlehub.rpc.channel import ClientCall
from myrtlehub.state.state_machine import CommonEffect, StateMachine


class TakeoverRequest(NamedTuple):
    """What a client came back for."""

    sequence_id: str
    client_tokens: int  # that the client has
    request: DecodedRequest  # as at the first time
    arrival: Arrival


class TakeoverClient(ResponseSink, Protocol):
    """Who waits for the answer; it is told the sequence's id before any token."""

    def named(self, label: str) -> None:
        """Take the id by which the sequence is known from now on."""


class SendAgain(Protocol):
    """Gives a sequence to the router as an arrival of this node; an empty id asks for a new one."""

    def __call__(
        self, sequence_id: str, arrival: Arrival, earlier_attempts: int, handle: pb.State | None
    ) -> None:
        """Send it; `handle`: of the read state that `arrival` names."""


class Takeover:
    """One sequence being taken over; `on_lost` is called if another node has it."""

    def __init__(
        self,
        request: TakeoverRequest,
        replication: Replication,
        transport: GrpcEngineTransport,
        executor: ActionExecutor,
        client: TakeoverClient,
        send_again: SendAgain,
        on_lost: Callable[[str], None],
        engines_answer_claims: bool,
    ) -> None:
        self.request = request
        self.replication = replication
        self.publisher = replication.publisher
        self.clock = replication.clock
        self.transport = transport
        self.executor = executor
        self.client = client
        self.send_again = send_again
        self.on_lost = on_lost
        self.engines_answer_claims = engines_answer_claims
        self.machine = StateMachine(TAKEOVER_TABLE)
        self.record: SequenceRecord | None = None
        self.claims: EngineClaims | None = None
        self.call: ClientCall | None = None  # the stream that it attached to
        self.timer: Timer | None = None  # until the first token is due
        self.started_at = self.clock.seconds()
        self.asked_at = 0.0  # when the replicas had answered

    def start(self) -> None:
        """Ask the replicas of the node that accepted the sequence."""
        if not self.request.client_tokens:
            time_left = max(0.0, self.request.arrival.time_left - self.executor.config.answer_slack)
            self.timer = self.clock.callLater(time_left, self.deadline_passed)
        sequence_id = self.request.sequence_id
        replicas = self.replication.replicas_of_sequence(sequence_id)
        self._collect(
            [self.replication.fetch_record(replica, sequence_id) for replica in replicas],
            _has_record,
            lambda replies: self._replicas_answered(replicas, replies),
        )

    def _collect(
        self, calls: list[Deferred], is_sufficient: Callable[[object], bool], on_done: Callable[[list], None]
    ) -> None:
        patience = self.replication.settings.patience
        ReplyCollector(calls, is_sufficient, on_done, patience, self.clock, self.replication.log)

    # -- events from outside ----------------------------------------------------------------------

    def client_left(self) -> None:
        """The client went away."""
        if self._accepts(TakeoverEvent.CLIENT_LEFT):
            self._stop()

    def hand_over(self) -> None:
        """This node ends: the stream is left to whoever takes it over next."""
        if self._accepts(TakeoverEvent.CLIENT_LEFT):
            self._cancel_timer()
            self.publisher.leave(self.request.sequence_id)

    def deadline_passed(self) -> None:
        """No answer is owed any more."""
        if self._accepts(TakeoverEvent.GIVE_UP):
            self._stop()
            self.client.aborted("its time is over")

    def _accepts(self, event: TakeoverEvent) -> bool:
        """Take an event; False if the takeover has ended already."""
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

    def _replicas_answered(self, replicas: list[str], replies: list[peers_pb2.TakeReply | None]) -> None:
        if self.machine.is_final:
            return
        now = self.clock.seconds()
        self.asked_at = now
        copies = [decode_record(reply.record, now) for reply in replies if _has_record(reply)]
        if not copies:
            self._recover_without_record()
            return
        self.record = merge_copies(copies)
        answers = dict(zip(replicas, replies, strict=True))
        incarnations = {name: reply.run if reply is not None else "" for name, reply in answers.items()}
        unreached = {name for name, reply in answers.items() if reply is None}
        self.publisher.adopt(self.executor, self.record, incarnations, unreached)
        self.machine.step(TakeoverEvent.RECORD_FOUND)
        self.claims = EngineClaims(self.transport, self.record)
        self._collect(self.claims.send(self.engines_answer_claims), has_stream, self._engines_answered)

    def _recover_without_record(self) -> None:
        decision = decide(self._retry_semantics(), [], self.request.client_tokens, is_complete=False)
        is_sent_again = decision.action == RecoveryAction.RETRY
        self.machine.step(TakeoverEvent.NO_RECORD if is_sent_again else TakeoverEvent.GIVE_UP)
        self._cancel_timer()
        self._log(decision)
        if is_sent_again:
            # Nobody knows by what ownership engines had it: it is another sequence from here on.
            self.send_again("", self.request.arrival, 0, None)
        else:
            self.client.aborted(decision.reason)

    def _engines_answered(self, replies: list[pb.ClaimReply | None]) -> None:
        if self.machine.is_final:
            return
        if any(is_refused(reply) for reply in replies):
            self.superseded("another node has claimed it")
            return
        reports = self.claims.reports(replies, self.clock.seconds())
        self.machine.step(TakeoverEvent.ENGINES_REPORTED)
        decision = decide(self._retry_semantics(), reports, self.request.client_tokens)
        self._log(decision, reports)
        self._carry_out(decision)

    def _retry_semantics(self) -> str:
        return self.executor.decoder.rows[self.request.arrival.traffic].repeats

    # -- the decision -----------------------------------------------------------------------------

    def _carry_out(self, decision: RecoveryDecision) -> None:
        if decision.action == RecoveryAction.ATTACH:
            self.machine.step(TakeoverEvent.ATTACH)
            self._attach(decision)
        elif decision.action == RecoveryAction.ABORT:
            self.machine.step(TakeoverEvent.GIVE_UP)
            self._cancel_timer()
            self.publisher.answered(self.request.sequence_id)
            self.client.aborted(decision.reason)
        else:
            self.machine.step(TakeoverEvent.SEND_AGAIN)
            self._cancel_timer()
            self._send_again(decision)

    def _send_again(self, decision: RecoveryDecision) -> None:
        now = self.clock.seconds()
        engine_indices = self.executor.decoder.engines.index_of
        arrival = self.request.arrival
        arrival = arrival._replace(time_left=max(0.0, arrival.time_left - (now - self.started_at)))
        handle = None
        if decision.action == RecoveryAction.USE_READ_STATE and decision.engine in engine_indices:
            arrival = arrival._replace(state_held_by=engine_indices[decision.engine])
            handle = self.claims.read_states.get(decision.engine)
        earlier = decision.may_have_run
        if earlier is not None and earlier.engine in engine_indices:
            arrival = arrival._replace(
                may_have_run_at=engine_indices[earlier.engine], may_have_run_ago=now - earlier.intended_at
            )
        self.send_again(self.request.sequence_id, arrival, len(self.record.intents), handle)

    def _attach(self, decision: RecoveryDecision) -> None:
        sequence_id = self.request.sequence_id
        self.client.named(sequence_id)
        work = pb.Work(
            sequence=sequence_id,
            attempt=decision.attempt,
            epoch=self.record.ownership.epoch,
            owner=self.record.ownership.owner,
            traffic_type=self.request.request.traffic_type,
            mark=self.request.request.mark,
        )
        attach = pb.Attach(**{"from": self.request.client_tokens})  # `from` is a keyword of the language
        metadata = (
            ("myrtle-seq", sequence_id),
            ("myrtle-attempt", str(decision.attempt)),
            ("myrtle-node", self.transport.name),
        )
        channel = self.transport.channel_to(decision.engine)
        self.call = channel.call(SERVICE + "Write", AttachedStream(self), metadata)
        self.call.send(pb.WriteRequest(work=work, attach=attach).SerializeToString())
        self.call.half_close()

    def _log(self, decision: RecoveryDecision, reports: list[AttemptReport] = ()) -> None:
        now = self.clock.seconds()
        self.replication.log(
            LogEvent.TAKEOVER_DECIDED,
            sequence_id=self.request.sequence_id,
            action=decision.action,
            reason=decision.reason,
            client_tokens=self.request.client_tokens,
            epoch=self.record.ownership.epoch if self.record else 0,
            engine=decision.engine,
            attempts=[f"{report.intent.attempt} {report.state} {report.token_count}" for report in reports],
            requested_after_s=round(self.asked_at - self.started_at, 4),
            duration_s=round(now - self.started_at, 4),
        )

    # -- the attached stream: see `attached_stream.StreamObserver` --------------------------------

    def tokens_received(self, data: bytes) -> None:
        """Pass tokens on to the client."""
        if self.machine.step(TakeoverEvent.TOKENS) is TakeoverEffect.PASS_TOKENS:
            self._cancel_timer()
            self.client.tokens(data)

    def stream_completed(self, token_count: int) -> None:
        """Answer the client: all tokens were passed on."""
        if self._accepts(TakeoverEvent.COMPLETE):
            self._cancel_timer()
            self.publisher.answered(self.request.sequence_id)
            self.client.generated(token_count)

    def stream_broke(self, reason: str) -> None:
        """Abort: no other engine goes on with the text."""
        if self._accepts(TakeoverEvent.STREAM_BROKE):
            self._cancel_timer()
            self.publisher.answered(self.request.sequence_id)
            self.client.aborted(reason)

    def superseded(self, reason: str) -> None:
        """End without an answer of this node: another one has the sequence."""
        if self._accepts(TakeoverEvent.SUPERSEDED):
            self._cancel_timer()
            if self.call is not None:
                self.call.cancel()
            self.publisher.leave(self.request.sequence_id)
            self.on_lost(reason)


def _has_record(reply: peers_pb2.TakeReply | None) -> bool:
    return reply is not None and reply.HasField("record")
