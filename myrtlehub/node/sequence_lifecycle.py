"""The life cycle of in-flight sequences: acceptance, attempts and the final answer."""

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

# Constants because they are used for each token message, and looking up an enum member costs as much as a
# transition of the state machine.
_MORE_TOKENS, _PASS = AnswerEvent.MORE_TOKENS, AnswerEffect.PASS
_REJECTIONS = (AttemptEvent.FULL, AttemptEvent.UNREACHED, AttemptEvent.UNSENT)
_EVENT_OF_OUTCOME = {outcome: AttemptEvent(outcome.value) for outcome in contract.Outcome}


class SequenceLifecycle(RouterDriver):
    """Owns the in-flight sequences, and reports events of clients and engines to the router.

    Only this class and the execution of actions change sequences, their attempts and answers.

    Attributes:
        in_flight: Sequences that were accepted and not yet discarded, by the number that the router uses.
        answer_counts: Number of final answers, by the value of their `AnswerState`.
        accepted_count: Number of accepted sequences.
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
        """Create a life cycle without sequences; `id_prefix` is the prefix of the ids of its sequences."""
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
        """Return the id that identifies the next sequence to clients and engines."""
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
        """Accept a sequence, whose client must then get one final answer before the deadline.

        Args:
            request: What is sent to engines.
            arrival: What is reported to the router.
            client: Receives the response.
            sequence_id: The id assigned by the client or a previous owner; None: a new id.
            earlier_attempts: Number of attempts by previous owners.
            handle: Handle of the read state that `arrival.state_engine` holds for the sequence.
        """
        accepted_at, number = self.clock.seconds(), self._next_number
        sequence_id = sequence_id or self.next_sequence_id()
        self._next_number += 1
        sequence = InFlightSequence(number, sequence_id, request, arrival, client, accepted_at)
        sequence.earlier_attempts = earlier_attempts
        self.in_flight[number] = sequence
        reader = arrival.state_engine
        if handle is not None and reader is not None:
            sequence.read_states[reader] = ReadState.held_for_previous_owner(reader, handle)
        self.accepted_count += 1
        self._call_router(lambda now: self.router.arrive(now, number, arrival))
        return sequence

    def client_disconnected(self, sequence: InFlightSequence) -> None:
        """Handle a client's disconnection: it gets no answer, and outstanding attempts are stopped."""
        if sequence.answer.step(AnswerEvent.CLIENT_LEFT) != CommonEffect.LATE:
            self._finish_without_router(sequence)

    def abort(self, sequence: InFlightSequence, reason: str) -> None:
        """Abort a sequence, unless it already has a final answer."""
        if sequence.answer.step(AnswerEvent.DEADLINE_PASSED) == AnswerEffect.ANSWER:
            sequence.response_sink.aborted(reason)
            self._finish_without_router(sequence)

    def hand_over(self, sequence: InFlightSequence) -> None:
        """Hand a sequence over to another node: send its client nothing more, but do not stop its stream."""
        stream, sequence.streaming_attempt = sequence.streaming_attempt, None
        if sequence.answer.step(AnswerEvent.CLIENT_LEFT) == CommonEffect.LATE:
            return
        self._report_answer(sequence)
        self._report_client_left(sequence)
        if stream is not None and stream.is_outstanding:
            self.attempt_ended(stream, contract.Outcome.CANCELLED)

    def _finish_without_router(self, sequence: InFlightSequence) -> None:
        """Report the end of an answer that the router did not decide, and stop the stream."""
        self._report_answer(sequence)
        self._report_client_left(sequence)
        if sequence.streaming_attempt is not None:
            self._stop_attempt(sequence.streaming_attempt)

    def _report_client_left(self, sequence: InFlightSequence) -> None:
        self._call_router(lambda now: self.router.client_left(now, sequence.number))

    def _report_answer(self, sequence: InFlightSequence, **extra_fields: object) -> None:
        """Count and log a final answer, and notify the observers."""
        answer = str(sequence.answer.state)  # plain string for counters and the log
        self.answer_counts[answer] += 1
        latency = sequence.first_token_latency
        self.log(
            LogEvent.SEQUENCE_ANSWERED,
            sequence_id=sequence.sequence_id,
            answer=answer,
            traffic_type=self.decoder.traffic_types[sequence.arrival.traffic].name,
            attempts=len(sequence.attempts),
            last_outcome=sequence.attempts[-1].outcome if sequence.attempts else None,
            time_left_s=round(sequence.deadline - self.clock.seconds(), 4),
            first_token_s=None if latency is None else round(latency, 4),
            duration_s=round(self.clock.seconds() - sequence.accepted_at, 4),
            **extra_fields,
        )
        for observer in self._observers:
            observer.answered(sequence)

    # -- attempts ---------------------------------------------------------------------------------

    def outstanding_attempt_count(self) -> int:
        """Return the number of attempts that have not ended."""
        return sum(
            attempt.is_outstanding for sequence in self.in_flight.values() for attempt in sequence.attempts
        )

    def attempt_began(self, attempt: Attempt, message: TokenMessage) -> None:
        """Handle the first tokens of an attempt; the client gets them unless another attempt was first."""
        sequence = attempt.sequence
        if attempt.state_machine.step(AttemptEvent.TOKENS) != AttemptEffect.BEGIN:
            return
        attempt.stop_timer()
        if attempt.claimed_state is not None:
            sequence.step_read_state(attempt.claimed_state, ReadStateEvent.FETCHED)
            attempt.claimed_state = None
        if sequence.answer.step(AnswerEvent.FIRST_TOKENS) != AnswerEffect.PASS:
            # Another attempt is streaming, or the final answer was sent before these tokens arrived.
            self._stop_attempt(attempt)
            return
        sequence.streaming_attempt = attempt
        first_token_at = self.clock.seconds()
        sequence.first_token_at = first_token_at
        for observer in self._observers:
            observer.answer_started(sequence)
        latency = first_token_at - attempt.sent_at
        self._call_router(lambda now: self.router.began(now, sequence.number, attempt.number, latency))
        sequence.token_count += 1
        sequence.response_sink.tokens(message)

    def attempt_arrived(self, attempt: Attempt) -> None:
        """Report to the router that an attempt has arrived at its engine; ignored after tokens or its end."""
        if attempt.is_outstanding and not attempt.is_streaming:
            sequence = attempt.sequence
            sequence.unfetched_since = None
            self._call_router(lambda now: self.router.attempt_arrived(now, sequence.number, attempt.number))

    def tokens_received(self, attempt: Attempt, message: TokenMessage) -> None:
        """Pass further tokens of the streaming attempt to the client unchanged."""
        sequence = attempt.sequence
        if sequence.streaming_attempt is attempt and sequence.answer.step(_MORE_TOKENS) is _PASS:
            sequence.token_count += 1
            sequence.response_sink.tokens(message)

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: contract.Outcome,
        cached_tokens: float = 0.0,
        load: contract.LoadReport | None = None,
        handle: StateHandle | None = None,
        tokens: int = 0,
    ) -> None:
        """Handle the end of an attempt; only the first report for an attempt has an effect.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            cached_tokens: Prompt tokens that the engine had cached; for a rejected write instead a flag,
                nonzero if the reader had no read state to fetch.
            load: The load report in the engine's response, if any.
            handle: Handle of the read state that a reader now holds.
            tokens: Number of generated tokens.
        """
        was_streaming = attempt.is_streaming
        event = _EVENT_OF_OUTCOME[outcome]
        if attempt.state_machine.step(event) == CommonEffect.LATE:
            return
        sequence, now = attempt.sequence, self.clock.seconds()
        latency = now - attempt.sent_at
        attempt.stop_timer()
        if was_streaming and event in _REJECTIONS:
            # The attempt has run, so a rejection after the first tokens is treated as a reset.
            event, outcome, cached_tokens = AttemptEvent.RESET, contract.Outcome.RESET, 0.0
        attempt.outcome = outcome
        sequence.apply_attempt_outcome(attempt, event, bool(cached_tokens), handle, now)
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
        """Send the client the final answer if the end of this attempt determines it."""
        sequence, stream = attempt.sequence, attempt.sequence.streaming_attempt
        if outcome == contract.Outcome.GENERATED and (stream is None or stream is attempt):
            if sequence.answer.step(AnswerEvent.COMPLETED) == AnswerEffect.ANSWER:
                self._report_answer(sequence, tokens=tokens)
                sequence.response_sink.generated(tokens)
        elif stream is attempt and sequence.answer.step(AnswerEvent.STREAM_FAILED) == AnswerEffect.ANSWER:
            self._report_answer(sequence)
            sequence.response_sink.aborted(f"the stream broke: {outcome}")

    def _handle_timeout(self, attempt: Attempt) -> None:
        self._stop_attempt(attempt, contract.Outcome.TIMEOUT)

    def _stop_attempt(self, attempt: Attempt, outcome: contract.Outcome = contract.Outcome.CANCELLED) -> None:
        """Cancel an attempt at its engine unless it has ended."""
        if attempt.is_outstanding:
            self.transport.cancel(attempt)
            self.attempt_ended(attempt, outcome)
