"""Reports to a router what happens to the sequences and engines of a node, and owns the in-flight sequences.

What the router answers, its actions, are executed by `action_executor`.
"""

from collections import Counter, deque
from collections.abc import Callable, Sequence
from enum import StrEnum

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.membership.endpoint import Endpoint
from myrtlehub.node.protocols import (
    Decoder,
    EngineTransport,
    RequestPayload,
    ResponseSink,
    StateHandle,
    TokenMessage,
)
from myrtlehub.node.sequences import Attempt, InFlightSequence, ReadState
from myrtlehub.routing import contract
from myrtlehub.state.answer import AnswerEffect, AnswerEvent
from myrtlehub.state.attempt import AttemptEffect, AttemptEvent
from myrtlehub.state.read_state import ReadStateEvent
from myrtlehub.state.state_machine import CommonEffect

DEFAULT_PROBE_TIMEOUT = 0.25  # seconds
# Read once a token: a look-up in an enumeration costs as much as a step.
_MORE_TOKENS, _PASS = AnswerEvent.MORE_TOKENS, AnswerEffect.PASS
_REFUSALS = (AttemptEvent.FULL, AttemptEvent.UNREACHED, AttemptEvent.UNSENT)
_EVENT_OF_OUTCOME = {outcome: AttemptEvent(outcome.value) for outcome in contract.Outcome}


class RouterCall(StrEnum):
    """The methods of a router that a node calls."""

    START = "start"
    UPDATE_ENDPOINTS = "update_endpoints"
    ARRIVE = "arrive"
    BEGAN = "began"
    ENDED = "ended"
    CLIENT_LEFT = "client_left"
    PROBE_ENDED = "probe_ended"
    WAKE = "wake"
    SET_POOL_CLOSED = "set_pool_closed"


def _ignore(*_: object, **__: object) -> None:
    """Stand in for a callback that nobody has set."""


class RouterDriver:
    """Calls a router with what happens; the one place where in-flight sequences change.

    Whoever runs it may set the callbacks: `on_attempt_sent`, `on_attempt_ended`, `on_begun` with the first
    tokens of a sequence, `on_answered` with its final answer, `on_forgotten` with one that the router is done
    with, `on_idle` with no sequence left, and `poll_endpoints`.
    """

    def __init__(
        self,
        router: contract.Router,
        decoder: Decoder,
        config: contract.RouterConfig,
        clock: Clock,
        transport: EngineTransport,
        id_prefix: str = "",
        log: Log = _ignore,
    ) -> None:
        self.router = router
        self.decoder = decoder
        self.config = config
        self.clock = clock
        self.transport = transport
        self.id_prefix = id_prefix  # of the sequence ids that are made here
        self.log = log
        self.in_flight: dict[int, InFlightSequence] = {}
        self.answer_counts: Counter[str] = Counter()
        self.accepted_count = 0
        self.list_version = 0
        self.list_label = "0"  # number and digest of the endpoint list that decisions are made by
        self.probe_timeout = DEFAULT_PROBE_TIMEOUT
        self._next_number = 0
        self._pending_calls: deque[tuple[str, tuple]] = deque()
        self._is_calling = False
        self._handlers = self._make_handlers()
        self.on_idle: Callable[[], None] = _ignore
        self.on_attempt_sent: Callable[[Attempt], None] = _ignore
        self.on_attempt_ended: Callable[[Attempt], None] = _ignore
        self.on_begun: Callable[[InFlightSequence], None] = _ignore
        self.on_answered: Callable[[InFlightSequence], None] = _ignore
        self.on_forgotten: Callable[[InFlightSequence], None] = _ignore
        self.poll_endpoints: Callable[[], None] = _ignore

    def _make_handlers(self) -> dict[type, Callable[[contract.Action], None]]:
        """Return what executes each type of action."""
        raise NotImplementedError

    # -- the node and its endpoint list -----------------------------------------------------------

    def start(self) -> None:
        """Start the router; called once, before all else."""
        self._call_router(RouterCall.START)

    def update_endpoints(
        self, rows: Sequence[Endpoint], is_complete: bool, version: int = 0, digest: str = ""
    ) -> None:
        """Take the complete endpoint list, or a change to it; `version` 0 counts on from the last one."""
        decoder, engines = self.decoder, self.decoder.engines
        former = {
            row.address: engines.rows[engines.index_of[row.address]].state
            for row in rows
            if row.address in engines.index_of
        }
        removed = set(engines.index_of).difference(row.address for row in rows) if is_complete else set()
        updates = engines.apply(rows, is_complete, decoder.kinds, decoder.zones, self.clock.seconds())
        self.list_version = version or self.list_version + 1
        self.list_label = f"{self.list_version}-{digest[:16]}" if digest else str(self.list_version)
        for row in rows:
            if former.get(row.address, "gone") != row.state:
                self._log_engine(row.address, row.state)
        for address in sorted(removed):
            self._log_engine(address, "gone")
        self._call_router(RouterCall.UPDATE_ENDPOINTS, updates, is_complete)
        for address in engines.remove_unused():
            self.transport.forget(address)

    def _log_engine(self, address: str, state: str) -> None:
        self.log(
            LogEvent.ENGINE_STATE_CHANGED, engine=address, engine_state=state, list_version=self.list_version
        )

    def set_pool_closed(self, pool: int, is_closed: bool) -> None:
        """Keep the work of one engine pool from engines that other pools have as well, or let it in again."""
        self._call_router(RouterCall.SET_POOL_CLOSED, pool, is_closed)

    # -- what clients do --------------------------------------------------------------------------

    def next_sequence_id(self) -> str:
        """Return the id by which the next sequence is known outside."""
        return f"{self.id_prefix}{self._next_number}"

    def accept(
        self,
        request: RequestPayload,
        arrival: contract.Arrival,
        client: ResponseSink,
        sequence_id: str = "",
        earlier_attempts: int = 0,
        handle: StateHandle | None = None,
    ) -> InFlightSequence:
        """Accept a sequence; from here on one final answer is owed before its deadline.

        Args:
            request: what is sent to engines.
            arrival: what the router is told.
            client: takes the response.
            sequence_id: by which engines know it, where its client or a former owner gave it one.
            earlier_attempts: those of former owners.
            handle: of the read state that `arrival.state_held_by` holds for it.
        """
        now, number = self.clock.seconds(), self._next_number
        sequence_id = sequence_id or self.next_sequence_id()
        self._next_number += 1
        sequence = InFlightSequence(number, sequence_id, request, arrival, client, now)
        sequence.earlier_attempts = earlier_attempts
        self.in_flight[number] = sequence
        if handle is not None:
            reader = arrival.state_held_by
            sequence.read_states[reader] = ReadState.already_held(reader, handle)
        self.accepted_count += 1
        self._call_router(RouterCall.ARRIVE, number, arrival)
        return sequence

    def client_left(self, sequence: InFlightSequence) -> None:
        """Take note that the client went away: nothing is owed any more, and what runs for it is stopped."""
        if sequence.answer.step(AnswerEvent.CLIENT_LEFT) != CommonEffect.LATE:
            self._close_answer(sequence)

    def deadline_passed(self, sequence: InFlightSequence, reason: str) -> None:
        """Abort a sequence without final answer: its deadline has come, or the node goes."""
        if sequence.answer.step(AnswerEvent.DEADLINE_PASSED) == AnswerEffect.ANSWER:
            sequence.client.aborted(reason)
            self._close_answer(sequence)

    def hand_over(self, sequence: InFlightSequence) -> None:
        """Leave a sequence to another node: nothing is owed here, and a stream that runs is left to it."""
        stream, sequence.streaming_attempt = sequence.streaming_attempt, None
        if sequence.answer.step(AnswerEvent.CLIENT_LEFT) == CommonEffect.LATE:
            return
        self._note_answer(sequence)
        self._call_router(RouterCall.CLIENT_LEFT, sequence.number)
        if stream is not None and stream.is_outstanding:
            self.ended(stream, contract.Outcome.CANCELLED)

    def _close_answer(self, sequence: InFlightSequence) -> None:
        """Tell the router of an answer that it did not give, and stop a stream that nobody reads."""
        self._note_answer(sequence)
        self._call_router(RouterCall.CLIENT_LEFT, sequence.number)
        if sequence.streaming_attempt is not None:
            self._stop(sequence.streaming_attempt)

    # -- what becomes of attempts -----------------------------------------------------------------

    def attempts_out(self) -> int:
        """Count the outstanding attempts."""
        return sum(
            attempt.is_outstanding for sequence in self.in_flight.values() for attempt in sequence.attempts
        )

    def began(self, attempt: Attempt, message: TokenMessage) -> None:
        """Take the first tokens of an attempt."""
        sequence = attempt.sequence
        if attempt.state_machine.step(AttemptEvent.TOKENS) != AttemptEffect.BEGIN:
            return
        attempt.stop_timer()
        if attempt.fetched_state is not None:
            sequence.step_read_state(attempt.fetched_state, ReadStateEvent.FETCHED)
            attempt.fetched_state = None
        if sequence.answer.step(AnswerEvent.FIRST_TOKENS) != AnswerEffect.PASS:
            self._stop(attempt)  # raced with a final answer or another attempt: nobody reads it
            return
        sequence.streaming_attempt = attempt
        sequence.first_token_at = self.clock.seconds()
        self.on_begun(sequence)
        latency = sequence.first_token_at - attempt.sent_at
        self._call_router(RouterCall.BEGAN, sequence.number, attempt.number, latency)
        sequence.token_count += 1
        sequence.client.tokens(message)

    def tokens_received(self, attempt: Attempt, message: TokenMessage) -> None:
        """Pass further tokens of an attempt through as they are."""
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
        """Take the end of an attempt; reported once, what comes later is dropped.

        Args:
            attempt: the attempt.
            outcome: how it ended.
            cached_tokens: prompt tokens that the engine had in its cache; of a write that was refused, not 0
                where the reader had no state to fetch.
            load: what the engine reported with it.
            handle: of the state that a reader holds now.
            tokens: number of those generated.
        """
        was_streaming = attempt.is_streaming
        event = _EVENT_OF_OUTCOME[outcome]
        if attempt.state_machine.step(event) == CommonEffect.LATE:
            return
        sequence, latency = attempt.sequence, self.clock.seconds() - attempt.sent_at
        attempt.stop_timer()
        if was_streaming and event in _REFUSALS:
            # Guards against an engine that refuses what it has begun: what has streamed has run.
            event, outcome, cached_tokens = AttemptEvent.RESET, contract.Outcome.RESET, 0.0
        sequence.settle_read_state(attempt, event, bool(cached_tokens), handle)
        self._settle_answer(attempt, outcome, tokens)
        self._call_router(
            RouterCall.ENDED,
            sequence.number,
            attempt.number,
            outcome,
            latency,
            sequence.answer.is_final,
            cached_tokens,
            load,
        )
        self.on_attempt_ended(attempt)
        self._mark_unused(attempt.engine)

    def _settle_answer(self, attempt: Attempt, outcome: contract.Outcome, tokens: int) -> None:
        sequence, stream = attempt.sequence, attempt.sequence.streaming_attempt
        if outcome == contract.Outcome.GENERATED and (stream is None or stream is attempt):
            if sequence.answer.step(AnswerEvent.COMPLETED) == AnswerEffect.ANSWER:
                self._note_answer(sequence, tokens=tokens)
                sequence.client.generated(tokens)
        elif stream is attempt and sequence.answer.step(AnswerEvent.STREAM_BROKE) == AnswerEffect.ANSWER:
            self._note_answer(sequence)
            sequence.client.aborted(f"the stream broke: {outcome}")

    def _timed_out(self, attempt: Attempt) -> None:
        self._stop(attempt, contract.Outcome.TIMEOUT)

    def _stop(self, attempt: Attempt, outcome: contract.Outcome = contract.Outcome.CANCELLED) -> None:
        if attempt.is_outstanding:
            self.transport.cancel(attempt)
            self.ended(attempt, outcome)

    # -- calls of the router ----------------------------------------------------------------------

    def _call_router(self, call: str, *arguments: object) -> None:
        """Call the router; what its actions cause is reported after all of them, never in between."""
        self._pending_calls.append((call, arguments))
        if self._is_calling:
            return
        self._is_calling = True
        try:
            while self._pending_calls:
                call, arguments = self._pending_calls.popleft()
                actions = getattr(self.router, call)(self.clock.seconds(), *arguments)
                self._execute(deque(actions))
        finally:
            self._is_calling = False
            if self._pending_calls:  # something was raised: what happened meanwhile is reported all the same
                self.clock.callLater(0, self._report_pending)
        if not self.in_flight:
            self.on_idle()

    def _report_pending(self) -> None:
        """Make the calls of the router that an exception left behind."""
        if self._pending_calls and not self._is_calling:
            call, arguments = self._pending_calls.popleft()
            self._call_router(call, *arguments)

    def _execute(self, actions: deque[contract.Action]) -> None:
        """Execute all actions of a call, whatever one of them raises.

        Guards against a wake-up or a release behind it that would be lost with it, for good.
        """
        while actions:
            action = actions.popleft()
            try:
                self._handlers[type(action)](action)
            except BaseException:
                self.clock.callLater(0, self._execute, actions)
                raise

    # -- small steps ------------------------------------------------------------------------------

    def _mark_unused(self, engine: int) -> None:
        """Count an attempt or a probe as over; an engine that has left the list goes with its last."""
        address = self.decoder.engines.mark_unused(engine)
        if address:
            self.transport.forget(address)

    def _note_answer(self, sequence: InFlightSequence, **more: object) -> None:
        answer = str(sequence.answer.state)  # the plain word: it is counted and logged
        self.answer_counts[answer] += 1
        latency = sequence.first_token_latency
        self.log(
            LogEvent.SEQUENCE_ANSWERED,
            sequence_id=sequence.sequence_id,
            answer=answer,
            traffic_type=self.decoder.rows[sequence.arrival.traffic].name,
            attempts=len(sequence.attempts),
            first_token_s=None if latency is None else round(latency, 4),
            duration_s=round(self.clock.seconds() - sequence.accepted_at, 4),
            **more,
        )
        self.on_answered(sequence)
