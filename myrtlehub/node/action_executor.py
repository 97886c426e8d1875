"""The action executor: executes the actions that a router returns, in order.

It makes no decisions and uses no sockets: `protocols` defines the interfaces that it depends on, and
`sequences` its data. Independently of the router, it guarantees that a client gets at most one final answer
and nothing after it.
"""

from functools import partial

from myrtlehub.log_events import LogEvent
from myrtlehub.node.router_calls import ActionHandler
from myrtlehub.node.sequence_lifecycle import SequenceLifecycle
from myrtlehub.node.sequences import Attempt, InFlightSequence, ReadState
from myrtlehub.routing import contract
from myrtlehub.state.answer import AnswerEffect, AnswerEvent, AnswerState
from myrtlehub.state.read_state import ReadStateEffect, ReadStateEvent

DEFAULT_PROBE_TIMEOUT = 0.25  # seconds; used by programs that have no setting for it
CHAT_FRONT = "chat"  # its sequences are read and written by different engines


class ContractViolationError(Exception):
    """The router returned an action that its configuration does not allow."""

    def __init__(self, action: contract.Action) -> None:
        super().__init__(f"the router returned an action that its configuration does not allow: {action}")
        self.action = action


class ActionExecutor(SequenceLifecycle):
    """Executes the actions of a router, with one method for each type of action.

    Attributes:
        probe_timeout: Seconds after which an unanswered probe has failed.
    """

    probe_timeout = DEFAULT_PROBE_TIMEOUT

    def _make_handlers(self) -> dict[type[contract.Action], ActionHandler]:
        return {
            contract.Send: self._send,
            contract.Release: self._release,
            contract.CancelAttempt: self._cancel,
            contract.CheckArrival: self._check_arrival,
            contract.Reject: self._reject,
            contract.Abort: self._abort,
            contract.ScheduleWakeup: self._schedule_wakeup,
            contract.CloseIdle: self._close_idle,
            contract.WatchEndpoints: self._watch_endpoints,
            contract.PollEndpoints: self._poll_endpoints,
            contract.LogNote: self._log_note,
            contract.Forget: self._forget,
            contract.Probe: self._probe,
            contract.Reserve: self._raise_contract_violation,
            contract.Migrate: self._raise_contract_violation,
            contract.Gossip: self._raise_contract_violation,
        }

    def _send(self, action: contract.Send) -> None:
        sequence, engine, now = self.in_flight[action.sequence], action.engine, self.clock.seconds()
        attempt = self._new_attempt(sequence, engine, action.timeout, now)
        sequence.attempts.append(attempt)
        self.decoder.engines.increment_use_count(engine)
        for observer in self._observers:
            observer.attempt_started(attempt)
        self._step_read_state(attempt)
        if sequence.answer.is_final:
            # An earlier action sent the final answer, so no further attempt is sent for this sequence.
            self.clock.callLater(0, self.attempt_ended, attempt, contract.Outcome.UNSENT)
            return
        delay = max(0.0, attempt.times_out_at - now)
        attempt.timer = self.clock.callLater(delay, self._handle_timeout, attempt)
        try:
            self.transport.start(attempt)
        except BaseException:
            # The transport does not write in this iteration of the event loop, so the attempt was not sent
            # (`test_a_request_whose_send_raised_is_retried`).
            self.clock.callLater(0, self.attempt_ended, attempt, contract.Outcome.UNSENT)
            raise

    def _new_attempt(self, sequence: InFlightSequence, engine: int, timeout: float, now: float) -> Attempt:
        kind = self.decoder.engines.endpoints[engine].kind
        is_chat = self.decoder.traffic_types[sequence.arrival.traffic].front == CHAT_FRONT
        # Embeddings and reranking have a single stage, even at engines that read the prompts of chat
        # sequences.
        is_read = is_chat and not self.config.writes[self.decoder.kinds[kind]]
        times_out_at = min(sequence.deadline, now + timeout) if timeout else sequence.deadline
        return Attempt(sequence, len(sequence.attempts), engine, is_read, now, times_out_at, kind)

    def _step_read_state(self, attempt: Attempt) -> None:
        """Record that a read was sent, or claim the read state that a write has to fetch."""
        sequence = attempt.sequence
        if attempt.is_read:
            read_state = sequence.read_states.setdefault(attempt.engine, ReadState(attempt.engine))
            read_state.state_machine.step(ReadStateEvent.READ_SENT)
            return
        attempt.claimed_state = sequence.latest_claimable_state()
        if attempt.claimed_state is not None:
            attempt.claimed_state.state_machine.step(ReadStateEvent.CLAIM)

    def _release(self, action: contract.Release) -> None:
        sequence = self.in_flight[action.sequence]
        for attempt in sequence.attempts:
            attempt.may_be_lost = attempt.may_be_lost or attempt.is_outstanding
        sequence.unfetched_since = None
        for read_state in list(sequence.read_states.values()):
            effect = sequence.step_read_state(read_state, ReadStateEvent.RELEASE)
            if effect == ReadStateEffect.SEND_RELEASE:
                read_state.handle = None  # no further write may fetch the read state
                self.transport.release(read_state.engine, sequence.sequence_id)

    def _check_arrival(self, action: contract.CheckArrival) -> None:
        if not self.config.may_check_arrival:
            self._raise_contract_violation(action)
        attempt = self.in_flight[action.sequence].attempts[action.attempt]
        if attempt.is_outstanding:
            for observer in self._observers:
                observer.arrival_check_requested(attempt)

    def _cancel(self, action: contract.CancelAttempt) -> None:
        attempt = self.in_flight[action.sequence].attempts[action.attempt]
        if not attempt.is_streaming:
            self._stop_attempt(attempt)

    def _reject(self, action: contract.Reject) -> None:
        self._send_final_answer(self.in_flight[action.sequence], AnswerEvent.REJECT, action.retry_after)

    def _abort(self, action: contract.Abort) -> None:
        self._send_final_answer(self.in_flight[action.sequence], AnswerEvent.ABORT)

    def _send_final_answer(
        self, sequence: InFlightSequence, event: AnswerEvent, retry_after: float = 0.0
    ) -> None:
        if sequence.answer.step(event) != AnswerEffect.ANSWER:
            return
        self._report_answer(sequence)
        if sequence.answer.state == AnswerState.REJECTED:
            sequence.response_sink.rejected(retry_after)
        else:
            sequence.response_sink.aborted("no engine could answer in time, and it may have run")

    def _schedule_wakeup(self, action: contract.ScheduleWakeup) -> None:
        self.clock.callLater(action.delay, self.wake, action.token)

    def _close_idle(self, action: contract.CloseIdle) -> None:
        self.transport.close_idle(action.engine)

    def _watch_endpoints(self, action: contract.WatchEndpoints) -> None:
        """Do nothing: the node watches the endpoint list regardless."""

    def _poll_endpoints(self, _action: contract.PollEndpoints) -> None:
        for observer in self._observers:
            observer.endpoints_requested()

    def _log_note(self, action: contract.LogNote) -> None:
        self.log(LogEvent.ROUTER_NOTE, text=action.text)

    def _forget(self, action: contract.Forget) -> None:
        sequence = self.in_flight.pop(action.sequence)
        for observer in self._observers:
            observer.sequence_forgotten(sequence)
        # The sequence and its attempts refer to each other; break the cycle so that reference counting frees
        # them.
        sequence.attempts = []
        sequence.streaming_attempt = None

    def _raise_contract_violation(self, action: contract.Action) -> None:
        raise ContractViolationError(action)

    def _probe(self, action: contract.Probe) -> None:
        if not self.config.may_probe:
            self._raise_contract_violation(action)
        # The engine may be removed before it responds; until then its index must not be reused for another
        # engine (`test_outstanding_probe_reserves_the_index_of_a_removed_engine`).
        self.decoder.engines.increment_use_count(action.engine)
        on_result = partial(self._probe_ended, action.engine, self.clock.seconds())
        self.transport.probe(action.engine, self.probe_timeout, on_result)

    def _probe_ended(
        self, engine: int, sent_at: float, is_answered: bool, load: contract.LoadReport | None
    ) -> None:
        latency = self.clock.seconds() - sent_at
        self._call_router(lambda now: self.router.probe_ended(now, engine, is_answered, latency, load))
        self._decrement_use_count(engine)
