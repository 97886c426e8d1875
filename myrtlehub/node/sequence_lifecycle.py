"""The life cycle of in-flight sequences, from acceptance through attempts to the final answer."""

from collections import Counter

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.node.protocols import Decoder, EngineTransport
from myrtlehub.node.response_sink import RequestPayload, ResponseSink, StateHandle, TokenMessage
from myrtlehub.node.router_driver import RouterDriver
from myrtlehub.node.sequences import Attempt, InFlightSequence, ReadState
from myrtlehub.routing import contract
from myrtlehub.state.answer import AnswerEffect, AnswerEvent
from myrtlehub.state.attempt import AttemptEffect, AttemptEvent
from myrtlehub.state.read_state import ReadStateEvent
from myrtlehub.state.state_machine import CommonEffect

# Constants because they are used for each token message, and a member's look-up costs as much as a step of
# the state machine.
_MORE_TOKENS, _PASS = AnswerEvent.MORE_TOKENS, AnswerEffect.PASS
_REJECTIONS = (AttemptEvent.FULL, AttemptEvent.UNREACHED, AttemptEvent.UNSENT)
_EVENT_OF_OUTCOME = {outcome: AttemptEvent(outcome.value) for outcome in contract.Outcome}


class SequenceLifecycle(RouterDriver):
    """Owns the in-flight sequences and reports to the router what clients and engines do.

    Sequences, their attempts and answers are changed here and by the execution of actions, nowhere else.

    Attributes:
        in_flight: Sequences that were accepted and not forgotten yet, by the number that the router has.
        answer_counts: Final answers so far, by the value of their `AnswerState`.
        accepted_count: Sequences accepted so far.
    """

    def __init__(
        self,
        router: contract.Router,
        decoder: Decoder,
        config: contract.RouterConfig,
        clock: Clock,
        transport: EngineTransport,
        id_prefix: str = "",
        log: Log = no_log,
    ) -> None:
        """Make a life cycle without sequences; `id_prefix` starts the ids of its sequences."""
        super().__init__(router, decoder, clock, transport, log)
        self.config = config
        self.id_prefix = id_prefix
        self.in_flight: dict[int, InFlightSequence] = {}
        self.answer_counts: Counter[str] = Counter()
        self.accepted_count = 0
        self._next_number = 0

    def _router_calls_done(self) -> None:
        if not self.in_flight:
            for observer in self._observers:
                observer.executor_idle()

    # -- clients ----------------------------------------------------------------------------------

    def next_sequence_id(self) -> str:
        """Return the id that the next sequence will have for clients and engines."""
        return f"{self.id_prefix}{self._next_number}"

    def accept(
        self,
        request: RequestPayload,
        arrival: contract.Arrival,
        client: ResponseSink,
        sequence_id: str | None = None,
        earlier_attempts: int = 0,
        handle: StateHandle | None = None,
    ) -> InFlightSequence:
        """Accept a sequence: from now on its client has to get one final answer before the deadline.

        Args:
            request: is sent to engines.
            arrival: is reported to the router.
            client: takes the response.
            sequence_id: the id that its client or a former owner gave it; without one, the node gives it one.
            earlier_attempts: number of attempts that former owners made.
            handle: of the read state that `arrival.state_engine` holds for it.
        """
        accepted_at, number = self.clock.seconds(), self._next_number
        sequence_id = sequence_id or self.next_sequence_id()
        self._next_number += 1
        sequence = InFlightSequence(number, sequence_id, request, arrival, client, accepted_at)
        sequence.earlier_attempts = earlier_attempts
        self.in_flight[number] = sequence
        reader = arrival.state_engine
        if handle is not None and reader is not None:
            sequence.read_states[reader] = ReadState.read_for_former_owner(reader, handle)
        self.accepted_count += 1
        self._call_router(lambda now: self.router.arrive(now, number, arrival))
        return sequence

    def client_left(self, sequence: InFlightSequence) -> None:
        """Handle a client's disconnect: it gets no answer, and outstanding attempts are stopped."""
        if sequence.answer.step(AnswerEvent.CLIENT_LEFT) != CommonEffect.LATE:
            self._close_answer(sequence)

    def abort(self, sequence: InFlightSequence, reason: str) -> None:
        """Abort a sequence that has no final answer; does nothing if it has one."""
        if sequence.answer.step(AnswerEvent.DEADLINE_PASSED) == AnswerEffect.ANSWER:
            sequence.client.aborted(reason)
            self._close_answer(sequence)

    def hand_over(self, sequence: InFlightSequence) -> None:
        """Release a sequence to another node: send its client nothing more, and do not stop its stream."""
        stream, sequence.streaming_attempt = sequence.streaming_attempt, None
        if sequence.answer.step(AnswerEvent.CLIENT_LEFT) == CommonEffect.LATE:
            return
        self._report_answer(sequence)
        self._report_client_left(sequence)
        if stream is not None and stream.is_outstanding:
            self.ended(stream, contract.Outcome.CANCELLED)

    def _close_answer(self, sequence: InFlightSequence) -> None:
        """Report an answer that was given without a decision of the router, and stop the stream."""
        self._report_answer(sequence)
        self._report_client_left(sequence)
        if sequence.streaming_attempt is not None:
            self._stop(sequence.streaming_attempt)

    def _report_client_left(self, sequence: InFlightSequence) -> None:
        self._call_router(lambda now: self.router.client_left(now, sequence.number))

    def _report_answer(self, sequence: InFlightSequence, **more: object) -> None:
        """Count and log a final answer, and notify the observers."""
        answer = str(sequence.answer.state)  # a plain string: it is counted and logged
        self.answer_counts[answer] += 1
        latency = sequence.first_token_latency
        self.log(
            LogEvent.SEQUENCE_ANSWERED,
            sequence_id=sequence.sequence_id,
            answer=answer,
            traffic_type=self.decoder.rows[sequence.arrival.traffic].name,
            attempts=len(sequence.attempts),
            last_outcome=sequence.attempts[-1].outcome if sequence.attempts else None,
            time_left_s=round(sequence.deadline - self.clock.seconds(), 4),
            first_token_s=None if latency is None else round(latency, 4),
            duration_s=round(self.clock.seconds() - sequence.accepted_at, 4),
            **more,
        )
        for observer in self._observers:
            observer.answered(sequence)

    # -- attempts ---------------------------------------------------------------------------------

    def outstanding_attempt_count(self) -> int:
        """Count the attempts that have not ended."""
        return sum(
            attempt.is_outstanding for sequence in self.in_flight.values() for attempt in sequence.attempts
        )

    def began(self, attempt: Attempt, message: TokenMessage) -> None:
        """Handle the first tokens of an attempt: the client gets them unless another attempt was first."""
        sequence = attempt.sequence
        if attempt.state_machine.step(AttemptEvent.TOKENS) != AttemptEffect.BEGIN:
            return
        attempt.stop_timer()
        if attempt.claimed_state is not None:
            sequence.step_read_state(attempt.claimed_state, ReadStateEvent.FETCHED)
            attempt.claimed_state = None
        if sequence.answer.step(AnswerEvent.FIRST_TOKENS) != AnswerEffect.PASS:
            # Another attempt streams already, or the final answer was given before these tokens arrived.
            self._stop(attempt)
            return
        sequence.streaming_attempt = attempt
        first_token_at = self.clock.seconds()
        sequence.first_token_at = first_token_at
        for observer in self._observers:
            observer.answer_started(sequence)
        latency = first_token_at - attempt.sent_at
        self._call_router(lambda now: self.router.began(now, sequence.number, attempt.number, latency))
        sequence.token_count += 1
        sequence.client.tokens(message)

    def attempt_arrived(self, attempt: Attempt) -> None:
        """Report to the router that an attempt has arrived at its engine, unless it has ended or begun."""
        if attempt.is_outstanding and not attempt.is_streaming:
            sequence = attempt.sequence
            sequence.unfetched_since = None
            self._call_router(lambda now: self.router.attempt_arrived(now, sequence.number, attempt.number))

    def tokens_received(self, attempt: Attempt, message: TokenMessage) -> None:
        """Pass further tokens of an attempt to the client, unchanged."""
        sequence = attempt.sequence
        if sequence.streaming_attempt is attempt and sequence.answer.step(_MORE_TOKENS) is _PASS:
            sequence.token_count += 1
            sequence.client.tokens(message)

    def ended(
        self,
        attempt: Attempt,
        outcome: contract.Outcome,
        cached_tokens: float = 0.0,
        load: contract.LoadReport | None = None,
        handle: StateHandle | None = None,
        tokens: int = 0,
    ) -> None:
        """Handle the end of an attempt; every report after the first is ignored.

        Args:
            attempt: the attempt.
            outcome: how it ended.
            cached_tokens: prompt tokens that the engine had cached; for a rejected write it is a flag
                instead, nonzero if the reader had no state to fetch.
            load: the load report that came with it.
            handle: of the state that a reader holds now.
            tokens: number of generated tokens.
        """
        was_streaming = attempt.is_streaming
        event = _EVENT_OF_OUTCOME[outcome]
        if attempt.state_machine.step(event) == CommonEffect.LATE:
            return
        sequence, now = attempt.sequence, self.clock.seconds()
        latency = now - attempt.sent_at
        attempt.stop_timer()
        if was_streaming and event in _REJECTIONS:
            # A rejection after tokens must not count as one: the attempt has run.
            event, outcome, cached_tokens = AttemptEvent.RESET, contract.Outcome.RESET, 0.0
        attempt.outcome = outcome
        sequence.resolve_read_state(attempt, event, bool(cached_tokens), handle, now)
        self._resolve_answer(attempt, outcome, tokens)
        self._report_end(attempt, outcome, latency, cached_tokens, load)
        for observer in self._observers:
            observer.attempt_ended(attempt)
        self._decrement_use_count(attempt.engine)

    def _report_end(
        self,
        attempt: Attempt,
        outcome: contract.Outcome,
        latency: float,
        cached_tokens: float,
        load: contract.LoadReport | None,
    ) -> None:
        number, is_answered = attempt.sequence.number, attempt.sequence.answer.is_final
        self._call_router(
            lambda now: self.router.ended(
                now, number, attempt.number, outcome, latency, is_answered, cached_tokens, load
            )
        )

    def _resolve_answer(self, attempt: Attempt, outcome: contract.Outcome, tokens: int) -> None:
        """Give the client the final answer if the end of this attempt decides it."""
        sequence, stream = attempt.sequence, attempt.sequence.streaming_attempt
        if outcome == contract.Outcome.GENERATED and (stream is None or stream is attempt):
            if sequence.answer.step(AnswerEvent.COMPLETED) == AnswerEffect.ANSWER:
                self._report_answer(sequence, tokens=tokens)
                sequence.client.generated(tokens)
        elif stream is attempt and sequence.answer.step(AnswerEvent.STREAM_FAILED) == AnswerEffect.ANSWER:
            self._report_answer(sequence)
            sequence.client.aborted(f"the stream broke: {outcome}")

    def _timed_out(self, attempt: Attempt) -> None:
        self._stop(attempt, contract.Outcome.TIMEOUT)

    def _stop(self, attempt: Attempt, outcome: contract.Outcome = contract.Outcome.CANCELLED) -> None:
        """Cancel an attempt at its engine unless it has ended."""
        if attempt.is_outstanding:
            self.transport.cancel(attempt)
            self.ended(attempt, outcome)
