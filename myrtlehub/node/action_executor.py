"""The host: calls the module with what happens, and carries out each result in the order it came.

It decides nothing. It owes every result of the contract in `interface.py`, knows no sockets (what it needs of
them is `EngineTransport`), and keeps one promise of its own: a client is answered at most once, and hears nothing
after.
"""

from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from myrtlehub.membership.rows import Row
from myrtlehub.node.endpoint_index import EndpointIndex
from myrtlehub.routing import contract
from myrtlehub.state.lives import (
    ANSWER,
    ANSWER_LIFE,
    ATTEMPT,
    BEGIN,
    HOLD,
    LATE,
    OUT,
    PASS,
    READ_ENDS,
    TELL_RELEASE,
    Life,
    write_ends,
)

NEVER = float("inf")


class ContractViolationError(Exception):
    """The module asked for what the terms say it may not ask for."""


class ResponseSink(Protocol):
    """Who waits for the answer of one sequence."""

    def tokens(self, raw: bytes) -> None:
        """A token message, as the engine sent it."""

    def generated(self, tokens: int) -> None:
        """Final."""

    def rejected(self, wait: float) -> None:
        """Final; `wait` in seconds."""

    def aborted(self, reason: str) -> None:
        """Final."""


class RequestDecoder(Protocol):
    """Names from outside against indices; `rows` are the traffic types, with a name and a front."""

    rows: list
    kinds: dict[str, int]
    zones: dict[str, int]
    engines: EndpointIndex


class EngineTransport(Protocol):
    """Carries attempts to engines and says, through the host, what became of them."""

    def start(self, attempt: "Attempt") -> None:
        """Send it. May not call back before it returns control to the reactor."""

    def cancel(self, attempt: "Attempt") -> None:
        """Reset it at the engine; nothing of it is reported any more."""

    def release(self, engine: int, label: str) -> None:
        """Tell an engine to let go of what it holds for a sequence."""

    def probe(
        self, engine: int, timeout: float, then: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Ask an engine for its load; `then(sound, load)` is called once, not before control is back."""

    def close_idle(self, engine: int) -> None:
        """Close an unused connection."""

    def forget(self, address: str) -> None:
        """The engine is off the list and unused."""


class Attempt:
    """One schedule attempt."""

    __slots__ = (
        "call",
        "engine",
        "fetched_state",
        "kind",
        "number",
        "reads",
        "sent_at",
        "sequence",
        "state_machine",
        "timer",
        "times_out_at",
    )

    def __init__(
        self,
        sequence: "InFlightSequence",
        number: int,
        engine: int,
        reads: bool,
        sent_at: float,
        times_out_at: float,
        kind: str = "",
    ) -> None:
        self.kind = kind  # of the engine when it was sent: the list may change it meanwhile
        self.sequence, self.number, self.engine, self.reads = sequence, number, engine, reads
        self.sent_at, self.times_out_at = sent_at, times_out_at
        self.timer = self.call = None
        self.state_machine = Life(ATTEMPT, "reading" if reads else "writing")
        self.fetched_state: ReadState | None = None  # a writer's: the state that it is to fetch

    @property
    def is_outstanding(self) -> bool:
        """Whether its end is still to come."""
        return self.state_machine.state in OUT

    @property
    def is_streaming(self) -> bool:
        """Whether its answer streams."""
        return self.state_machine.state == "streaming"


class ReadState:
    """What one reader holds for one sequence, and the handle by which it is fetched."""

    __slots__ = ("engine", "handle", "life")

    def __init__(self, engine: int) -> None:
        self.engine, self.life, self.handle = engine, Life(HOLD), None


class InFlightSequence:
    """One sequence that the host holds for the module."""

    __slots__ = (
        "accepted_at",
        "answer",
        "arrival",
        "attempts",
        "client",
        "deadline",
        "earlier_attempts",
        "first_token_at",
        "number",
        "read_states",
        "request",
        "sequence_id",
        "streaming_attempt",
        "token_count",
    )

    def __init__(
        self,
        number: int,
        sequence_id: str,
        request: object,
        arrival: contract.Arrival,
        client: ResponseSink,
        now: float,
    ) -> None:
        self.number, self.sequence_id, self.request = number, sequence_id, request
        self.arrival, self.client = arrival, client
        self.accepted_at, self.deadline = now, now + arrival.time_left
        self.answer = Life(ANSWER_LIFE)
        self.attempts: list[Attempt] = []
        self.read_states: dict[int, ReadState] = {}  # by engine
        self.streaming_attempt: Attempt | None = None  # the attempt whose answer the client is getting
        self.first_token_at = 0.0
        self.token_count = 0
        self.earlier_attempts = 0  # attempts of owners before this node


class ActionExecutor:
    """The module's host: `router` decides, `transport` moves, `clock` is the node's only clock."""

    def __init__(
        self,
        router: object,
        decoder: RequestDecoder,
        config: contract.RouterConfig,
        clock: object,
        transport: EngineTransport,
        prefix: str = "",
        log: Callable[..., None] = lambda event, **more: None,
    ) -> None:
        self.router, self.decoder, self.config, self.clock = router, decoder, config, clock
        self.transport, self.prefix, self.log = transport, prefix, log
        self.in_flight: dict[int, InFlightSequence] = {}
        self.answer_counts: Counter[str] = Counter()
        self.accepted_count = self.list_version = 0
        self.list_label = "0"  # number and digest of the version that decisions are made by
        self._next = 0
        self._calls: deque[tuple] = deque()
        self._busy = False
        self._handlers: dict[type, Callable[..., None]] = {
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
        self.probe_timeout = 0.25
        self.on_idle: Callable[[], None] = lambda: None
        self.on_attempt_sent: Callable[[Attempt], None] = lambda attempt: None
        self.on_attempt_ended: Callable[[Attempt], None] = lambda attempt: None
        self.on_answered: Callable[[InFlightSequence], None] = lambda held: (
            None
        )  # once a sequence, with its final answer
        self.on_begun: Callable[[InFlightSequence], None] = lambda held: None
        self.poll_endpoints: Callable[[], None] = lambda: None

    # -- calls from outside -----------------------------------------------------------------------

    def start(self) -> None:
        """Once, before all others."""
        self._call_router("start")

    def update_endpoints(self, rows: list[Row], whole: bool, number: int = 0, digest: str = "") -> None:
        """A change to the list, or the whole of it, as one call to the module; `number` is its version's."""
        engines = self.decoder.engines
        at = engines.at
        before = {r.address: engines.rows[at[r.address]].state for r in rows if r.address in at}
        left = set(at).difference(r.address for r in rows) if whole else ()
        listings = engines.listings(rows, whole, self.decoder.kinds, self.decoder.zones, self.clock.seconds())
        self.list_version = number or self.list_version + 1
        self.list_label = f"{self.list_version}-{digest[:16]}" if digest else str(self.list_version)
        for row in rows:
            if before.get(row.address, "gone") != row.state:
                self.log("engine", engine=row.address, standing=row.state, list_version=self.list_version)
        for address in sorted(left):
            self.log("engine", engine=address, standing="gone", list_version=self.list_version)
        self._call_router("update_endpoints", listings, whole)
        for address in self.decoder.engines.sweep():
            self.transport.forget(address)

    def next_sequence_id(self) -> str:
        """The id by which the next sequence taken is known outside."""
        return f"{self.prefix}{self._next}"

    def accept(
        self,
        request: object,
        arrival: contract.Arrival,
        client: ResponseSink,
        sequence_id: str = "",
        earlier_attempts: int = 0,
        handle: object = None,
    ) -> InFlightSequence:
        """A sequence came in. From here on one final answer is owed, before its time is over.

        `sequence_id`: by which engines know it, where its client gave it one, or another node had it before, with
        so many attempts (`earlier_attempts`); `handle`: of the state that `arrival.state_held_by` holds for it.
        """
        sequence_id, seq = sequence_id or self.next_sequence_id(), self._next
        self._next += 1
        held = self.in_flight[seq] = InFlightSequence(
            seq, sequence_id, request, arrival, client, self.clock.seconds()
        )
        held.earlier_attempts = earlier_attempts
        if handle is not None:
            hold = held.read_states[arrival.state_held_by] = ReadState(arrival.state_held_by)
            hold.life.step("send")
            hold.life.step("done")
            hold.handle = handle
        self.accepted_count += 1
        self._call_router("arrive", seq, arrival)
        return held

    def client_left(self, held: InFlightSequence) -> None:
        """The client went away: nothing more is owed, and what runs for it is stopped."""
        if held.answer.step("leave") != LATE:
            self._close_answer(held)

    def deadline_passed(self, held: InFlightSequence, reason: str) -> None:
        """The bound on the whole stream is due, or the node goes: abort what has no answer yet."""
        if held.answer.step("late") == ANSWER:
            held.client.aborted(reason)
            self._close_answer(held)

    def hand_over(self, held: InFlightSequence) -> None:
        """Another node goes on with it: nothing more is owed here, and a stream that runs is left to it."""
        stream, held.streaming_attempt = held.streaming_attempt, None
        if held.answer.step("leave") == LATE:
            return
        self._note_answer(held)
        self._call_router("client_left", held.number)
        if stream is not None and stream.is_outstanding:
            self.ended(stream, contract.Outcome.CANCELLED)

    def _close_answer(self, held: InFlightSequence) -> None:
        """The answer was not the module's doing: tell it, and stop a stream that nobody reads any more."""
        self._note_answer(held)
        self._call_router("client_left", held.number)
        if held.streaming_attempt is not None:
            self._stop(held.streaming_attempt)

    def began(self, attempt: Attempt, raw: bytes) -> None:
        """The first token message of an attempt."""
        held = attempt.sequence
        if attempt.state_machine.step("tokens") != BEGIN:
            return
        self._disarm(attempt)
        if attempt.fetched_state is not None:
            self._hold_step(held, attempt.fetched_state, "fetched")
            attempt.fetched_state = None
        if held.answer.step("first") != PASS:
            self._stop(attempt)  # raced with a final answer, or with a copy: nobody reads it
            return
        held.streaming_attempt, held.first_token_at = attempt, self.clock.seconds()
        self.on_begun(held)
        self._call_router("began", held.number, attempt.number, held.first_token_at - attempt.sent_at)
        held.token_count += 1
        held.client.tokens(raw)

    def tokens_received(self, attempt: Attempt, raw: bytes) -> None:
        """Token messages go through as they are."""
        held = attempt.sequence
        if held.streaming_attempt is attempt and held.answer.step("more") == PASS:
            held.token_count += 1
            held.client.tokens(raw)

    def ended(
        self,
        attempt: Attempt,
        outcome: str,
        kept: float = 0.0,
        load: contract.LoadReport | None = None,
        handle: object = None,
        tokens: int = 0,
    ) -> None:
        """How an attempt ended; said once, what comes later is dropped."""
        begun = attempt.is_streaming
        if attempt.state_machine.step(outcome) == LATE:
            return
        held, now = attempt.sequence, self.clock.seconds()
        self._disarm(attempt)
        if begun and outcome in (contract.Outcome.FULL, contract.Outcome.UNREACHED, contract.Outcome.UNSENT):
            # Guards against an engine that takes its word back: what has streamed has run.
            outcome, kept = contract.Outcome.RESET, 0.0
        if attempt.reads:
            hold = held.read_states[attempt.engine]
            hold.handle = handle
            self._hold_step(held, hold, READ_ENDS[outcome])
        elif attempt.fetched_state is not None:
            self._hold_step(held, attempt.fetched_state, write_ends(outcome, bool(kept)))
        if outcome == contract.Outcome.GENERATED and held.streaming_attempt in (None, attempt):
            if held.answer.step("whole") == ANSWER:
                self._note_answer(held, tokens=tokens)
                held.client.generated(tokens)
        elif held.streaming_attempt is attempt and held.answer.step("broke") == ANSWER:
            self._note_answer(held)
            held.client.aborted(f"the stream broke: {outcome}")
        self._call_router(
            "ended", held.number, attempt.number, outcome, now - attempt.sent_at, held.answer.over, kept, load
        )
        self.on_attempt_ended(attempt)
        self._unused(attempt.engine)

    def set_pool_closed(self, pool: int, closed: bool) -> None:
        """Keep one field's work from engines that it shares with others, or let it in again."""
        self._call_router("set_pool_closed", pool, closed)

    def attempts_out(self) -> int:
        """Schedule attempts that are out."""
        return sum(a.is_outstanding for h in self.in_flight.values() for a in h.attempts)

    # -- to the module ----------------------------------------------------------------------------

    def _call_router(self, call: str, *args: object) -> None:
        """Call the module; what results cause is said after all results of this call, never between."""
        self._calls.append((call, args))
        if self._busy:
            return
        self._busy = True
        try:
            while self._calls:
                call, args = self._calls.popleft()
                for action in getattr(self.router, call)(self.clock.seconds(), *args):
                    self._handlers[type(action)](*action)
        finally:
            self._busy = False
        if not self.in_flight:
            self.on_idle()

    # -- results, one method each -----------------------------------------------------------------

    def _send(self, seq: int, engine: int, timeout: float) -> None:
        held, now = self.in_flight[seq], self.clock.seconds()
        name = self.decoder.engines.rows[engine].kind
        kind = self.decoder.kinds[name]
        # Work of a single stage has nothing to read, whatever else its engine does.
        reads = not self.config.writes[kind] and self.decoder.rows[held.arrival.traffic].front == "chat"
        until = min(held.deadline, now + timeout if timeout else NEVER)
        attempt = Attempt(held, len(held.attempts), engine, reads, now, until, name)
        held.attempts.append(attempt)
        self.decoder.engines.used(engine)
        self.on_attempt_sent(attempt)
        if reads:
            hold = held.read_states.setdefault(engine, ReadState(engine))
            hold.life.step("send")
        else:
            claims = [
                h
                for h in held.read_states.values()
                if h.handle is not None and h.life.state in ("held", "maybe")
            ]
            if claims:
                attempt.fetched_state = claims[-1]
                attempt.fetched_state.life.step("claim")
        if held.answer.over:
            self.clock.callLater(0, self.ended, attempt, contract.Outcome.UNSENT)
            return
        attempt.timer = self.clock.callLater(max(0.0, until - now), self._timed_out, attempt)
        self.transport.start(attempt)

    def _release(self, seq: int) -> None:
        held = self.in_flight[seq]
        for hold in list(held.read_states.values()):
            if self._hold_step(held, hold, "release") == TELL_RELEASE:
                self.transport.release(hold.engine, held.sequence_id)

    def _hold_step(self, held: InFlightSequence, hold: ReadState, event: str) -> str:
        do = hold.life.step(event)
        if hold.life.state == "none":
            held.read_states.pop(hold.engine, None)
        return do

    def _cancel(self, seq: int, number: int) -> None:
        attempt = self.in_flight[seq].attempts[number]
        if not attempt.is_streaming:
            self._stop(attempt)

    def _reject(self, seq: int, wait: float) -> None:
        self._answer(self.in_flight[seq], "reject", wait)

    def _abort(self, seq: int) -> None:
        self._answer(self.in_flight[seq], "abort", 0.0)

    def _answer(self, held: InFlightSequence, event: str, wait: float) -> None:
        if held.answer.step(event) != ANSWER:
            return
        self._note_answer(held)
        if held.answer.state == "rejected":
            held.client.rejected(wait)
        else:
            held.client.aborted("no engine could answer in time, and it may have run")

    def _schedule_wakeup(self, delay: float, token: int) -> None:
        self.clock.callLater(delay, self._call_router, "wake", token)

    def _close_idle(self, engine: int) -> None:
        self.transport.close_idle(engine)

    def _watch_endpoints(self, on: bool) -> None:
        """Sources hand over news without being asked; only terms with `ask_for_list` bring this result."""

    def _poll_endpoints(self) -> None:
        self.poll_endpoints()

    def _log_note(self, text: str) -> None:
        self.log("note", text=text)

    def _forget(self, seq: int) -> None:
        # its attempts refer to it: without this only the collector would free them, and the request with them
        held = self.in_flight.pop(seq)
        held.attempts, held.streaming_attempt = [], None

    def _refuse_action(self, *fields: object) -> None:
        raise ContractViolationError(f"an action that the configuration rules out: {fields}")

    def _probe(self, engine: int) -> None:
        if not self.config.may_probe:
            self._refuse_action(engine)
        since = self.clock.seconds()
        # Guards against word on an engine whose index was handed on meanwhile.
        self.decoder.engines.used(engine)
        self.transport.probe(engine, self.probe_timeout, partial(self._probed, engine, since))

    def _probed(self, engine: int, since: float, sound: bool, load: contract.LoadReport | None) -> None:
        self._call_router("probe_ended", engine, sound, self.clock.seconds() - since, load)
        self._unused(engine)

    # -- small steps ------------------------------------------------------------------------------

    def _unused(self, engine: int) -> None:
        """An attempt or a probe there is over; an engine that has left the list goes with its last."""
        address = self.decoder.engines.unused(engine)
        if address:
            self.transport.forget(address)

    def _note_answer(self, held: InFlightSequence, **more: object) -> None:
        answer = held.answer.state
        self.answer_counts[answer] += 1
        first = round(held.first_token_at - held.accepted_at, 4) if held.first_token_at else None
        row = self.decoder.rows[held.arrival.traffic]
        self.log(
            "answer",
            seq=held.sequence_id,
            answer=answer,
            traffic_type=row.name,
            attempts=len(held.attempts),
            first_token=first,
            took=round(self.clock.seconds() - held.accepted_at, 4),
            **more,
        )
        self.on_answered(held)

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.is_outstanding:
            self.transport.cancel(attempt)
            self.ended(attempt, contract.Outcome.TIMEOUT)

    def _stop(self, attempt: Attempt) -> None:
        if attempt.is_outstanding:
            self.transport.cancel(attempt)
            self.ended(attempt, contract.Outcome.CANCELLED)

    def _disarm(self, attempt: Attempt) -> None:
        if attempt.timer is not None and attempt.timer.active():
            attempt.timer.cancel()
        attempt.timer = None
