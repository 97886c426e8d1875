"""The action executor: executes each action of a router, in their order.

It decides nothing and knows no sockets: what it needs of the program around it is in `protocols`, what it
knows of a sequence in `sequences`. It promises one thing of its own: a client gets one final answer at most,
and nothing after it.
"""

from collections.abc import Callable
from functools import partial

from myrtlehub.log_events import LogEvent
from myrtlehub.node.router_driver import RouterCall, RouterDriver
from myrtlehub.node.sequences import Attempt, InFlightSequence, ReadState
from myrtlehub.routing import contract
from myrtlehub.state.answer import AnswerEffect, AnswerEvent, AnswerState
from myrtlehub.state.read_state import ReadStateEffect, ReadStateEvent

NEVER = float("inf")


class ContractViolationError(Exception):
    """The router asked for an action that its configuration does not allow."""

    def __init__(self, action: contract.Action) -> None:
        super().__init__(f"the settings rule out an action that the router asked for: {action}")
        self.action = action


class ActionExecutor(RouterDriver):
    """Executes what a router decides; one method for each type of action."""

    def _make_handlers(self) -> dict[type, Callable[[contract.Action], None]]:
        return {
            contract.Send: self._send,
            contract.Release: self._release,
            contract.CancelAttempt: self._cancel,
            contract.Reject: self._reject,
            contract.Abort: self._abort,
            contract.ScheduleWakeup: self._schedule_wakeup,
            contract.CloseIdle: self._close_idle,
            contract.WatchEndpoints: self._watch_endpoints,
            contract.PollEndpoints: self._poll_endpoints,
            contract.LogNote: self._log_note,
            contract.Forget: self._forget,
            contract.Probe: self._probe,
            contract.Reserve: self._refuse_action,
            contract.Migrate: self._refuse_action,
            contract.Gossip: self._refuse_action,
        }

    # -- actions, one method each -----------------------------------------------------------------

    def _send(self, action: contract.Send) -> None:
        sequence, engine, now = self.in_flight[action.sequence], action.engine, self.clock.seconds()
        attempt = self._new_attempt(sequence, engine, action.timeout, now)
        sequence.attempts.append(attempt)
        self.decoder.engines.mark_used(engine)
        self.on_attempt_sent(attempt)
        if attempt.reads:
            read_state = sequence.read_states.setdefault(engine, ReadState(engine))
            read_state.state_machine.step(ReadStateEvent.SEND)
        else:
            attempt.fetched_state = sequence.claimable_state()
            if attempt.fetched_state is not None:
                attempt.fetched_state.state_machine.step(ReadStateEvent.CLAIM)
        if sequence.answer.is_final:
            self.clock.callLater(0, self.ended, attempt, contract.Outcome.UNSENT)
            return
        delay = max(0.0, attempt.times_out_at - now)
        attempt.timer = self.clock.callLater(delay, self._timed_out, attempt)
        try:
            self.transport.start(attempt)
        except BaseException:  # nothing is written before a later turn
            self.clock.callLater(0, self.ended, attempt, contract.Outcome.UNSENT)
            raise

    def _new_attempt(self, sequence: InFlightSequence, engine: int, timeout: float, now: float) -> Attempt:
        kind = self.decoder.engines.rows[engine].kind
        is_chat = self.decoder.rows[sequence.arrival.traffic].front == "chat"
        # Work of a single stage has nothing to read, whatever else its engine does.
        reads = is_chat and not self.config.writes[self.decoder.kinds[kind]]
        times_out_at = min(sequence.deadline, now + timeout if timeout else NEVER)
        return Attempt(sequence, len(sequence.attempts), engine, reads, now, times_out_at, kind)

    def _release(self, action: contract.Release) -> None:
        sequence = self.in_flight[action.sequence]
        for read_state in list(sequence.read_states.values()):
            effect = sequence.step_read_state(read_state, ReadStateEvent.RELEASE)
            if effect == ReadStateEffect.SEND_RELEASE:
                self.transport.release(read_state.engine, sequence.sequence_id)

    def _cancel(self, action: contract.CancelAttempt) -> None:
        attempt = self.in_flight[action.sequence].attempts[action.attempt]
        if not attempt.is_streaming:
            self._stop(attempt)

    def _reject(self, action: contract.Reject) -> None:
        self._answer(self.in_flight[action.sequence], AnswerEvent.REJECT, action.retry_after)

    def _abort(self, action: contract.Abort) -> None:
        self._answer(self.in_flight[action.sequence], AnswerEvent.ABORT)

    def _answer(self, sequence: InFlightSequence, event: AnswerEvent, retry_after: float = 0.0) -> None:
        if sequence.answer.step(event) != AnswerEffect.ANSWER:
            return
        self._note_answer(sequence)
        if sequence.answer.state == AnswerState.REJECTED:
            sequence.client.rejected(retry_after)
        else:
            sequence.client.aborted("no engine could answer in time, and it may have run")

    def _schedule_wakeup(self, action: contract.ScheduleWakeup) -> None:
        self.clock.callLater(action.delay, self._call_router, RouterCall.WAKE, action.token)

    def _close_idle(self, action: contract.CloseIdle) -> None:
        self.transport.close_idle(action.engine)

    def _watch_endpoints(self, action: contract.WatchEndpoints) -> None:
        """Do nothing: changes come unasked; only a configuration with `polls_endpoints` leads here."""

    def _poll_endpoints(self, _action: contract.PollEndpoints) -> None:
        self.poll_endpoints()

    def _log_note(self, action: contract.LogNote) -> None:
        self.log(LogEvent.ROUTER_NOTE, text=action.text)

    def _forget(self, action: contract.Forget) -> None:
        # Its attempts refer to it: without this only the garbage collector would free them and the request.
        sequence = self.in_flight.pop(action.sequence)
        self.on_forgotten(sequence)
        sequence.attempts = []
        sequence.streaming_attempt = None

    def _refuse_action(self, action: contract.Action) -> None:
        raise ContractViolationError(action)

    def _probe(self, action: contract.Probe) -> None:
        if not self.config.may_probe:
            self._refuse_action(action)
        # Guards against a report on an engine whose index was handed on meanwhile.
        self.decoder.engines.mark_used(action.engine)
        then = partial(self._probed, action.engine, self.clock.seconds())
        self.transport.probe(action.engine, self.probe_timeout, then)

    def _probed(
        self, engine: int, sent_at: float, is_answered: bool, load: contract.LoadReport | None
    ) -> None:
        latency = self.clock.seconds() - sent_at
        self._call_router(RouterCall.PROBE_ENDED, engine, is_answered, latency, load)
        self._mark_unused(engine)
