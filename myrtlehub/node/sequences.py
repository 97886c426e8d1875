"""In-flight sequences, with their attempts and the read states that engines hold for them."""

from enum import StrEnum
from typing import Self

from myrtlehub.clock import Timer
from myrtlehub.node.response_sink import RequestPayload, ResponseSink, StateHandle, TransportCall
from myrtlehub.routing import contract
from myrtlehub.state.answer import ANSWER
from myrtlehub.state.attempt import ATTEMPT, OUTSTANDING_STATES, AttemptEvent, AttemptState
from myrtlehub.state.read_state import (
    CLAIMABLE_STATUSES,
    READ_STATE,
    ReadStateEvent,
    ReadStateStatus,
    event_of_read_end,
    event_of_write_end,
)
from myrtlehub.state.state_machine import StateMachine

NO_DEADLINE = float("inf")  # seconds; the deadline of a sequence without one

# Constants because they are used for each token message, and looking up an enum member costs more than
# comparing it.
_STREAMING = AttemptState.STREAMING
_NO_STATE = ReadStateStatus.NONE


class Attempt:
    """One attempt to run a sequence on an engine, or to read its prompt there."""

    __slots__ = (
        "claimed_state",
        "engine",
        "engine_kind",
        "is_read",
        "may_be_lost",
        "number",
        "outcome",
        "sent_at",
        "sequence",
        "state_machine",
        "timer",
        "times_out_at",
        "transport_call",
    )

    def __init__(
        self,
        sequence: "InFlightSequence",
        number: int,
        engine: int,
        is_read: bool,
        sent_at: float,
        times_out_at: float,
        kind: str,
    ) -> None:
        self.sequence = sequence
        self.number = number  # of this node for the sequence, from 0
        self.engine = engine
        # Of the time when the attempt was sent; the endpoint list may change the kind of the engine later.
        self.engine_kind = kind
        self.is_read = is_read
        self.sent_at = sent_at
        self.times_out_at = times_out_at
        self.timer: Timer | None = None
        self.transport_call: TransportCall | None = None
        self.state_machine = StateMachine(ATTEMPT, AttemptState.READING if is_read else AttemptState.WRITING)
        self.claimed_state: ReadState | None = None  # the read state that this write fetches
        # The router released the read states while the attempt was outstanding, since it may not have
        # arrived.
        self.may_be_lost = False
        self.outcome: contract.Outcome | None = None  # None while outstanding

    @property
    def is_outstanding(self) -> bool:
        """Whether the attempt has not ended."""
        return self.state_machine.state in OUTSTANDING_STATES

    @property
    def is_streaming(self) -> bool:
        """Whether the attempt has sent tokens and has not ended."""
        return self.state_machine.state is _STREAMING

    def stop_timer(self) -> None:
        """Cancel the timer of the attempt's timeout."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class ReadState:
    """The read state that a reader holds for a sequence, and the handle with which a writer fetches it."""

    __slots__ = ("engine", "handle", "state_machine")

    def __init__(self, engine: int) -> None:
        self.engine = engine
        self.state_machine = StateMachine(READ_STATE)
        self.handle: StateHandle | None = None

    @classmethod
    def held_for_previous_owner(cls, engine: int, handle: StateHandle) -> Self:
        """Return the read state of a prompt that a previous owner of the sequence sent to the reader."""
        read_state = cls(engine)
        read_state.state_machine.step(ReadStateEvent.READ_SENT)
        read_state.state_machine.step(ReadStateEvent.READ_COMPLETED)
        read_state.handle = handle
        return read_state

    @property
    def is_claimable(self) -> bool:
        """Whether a write that fetches the read state can be sent."""
        return self.handle is not None and self.state_machine.state in CLAIMABLE_STATUSES


class InFlightSequence:
    """A sequence that the node has accepted and not yet discarded."""

    __slots__ = (
        "accepted_at",
        "answer",
        "arrival",
        "attempts",
        "deadline",
        "earlier_attempts",
        "first_token_at",
        "number",
        "read_states",
        "request",
        "response_sink",
        "sequence_id",
        "streaming_attempt",
        "token_count",
        "unfetched_since",
    )

    def __init__(
        self,
        number: int,
        sequence_id: str,
        request: RequestPayload,
        arrival: contract.Arrival,
        client: ResponseSink,
        now: float,
    ) -> None:
        self.number = number  # identifies the sequence to the router
        self.sequence_id = sequence_id  # identifies the sequence to engines and clients
        self.request = request
        self.arrival = arrival
        self.response_sink = client
        self.accepted_at = now
        self.deadline = now + arrival.time_left
        self.answer = StateMachine(ANSWER)
        self.attempts: list[Attempt] = []
        self.read_states: dict[int, ReadState] = {}  # by engine
        # The time in seconds since which an engine may have held a read state that was neither fetched nor
        # released, without an attempt that is known to have arrived; None if this is not the case.
        self.unfetched_since: float | None = None
        self.streaming_attempt: Attempt | None = None  # the attempt whose tokens are passed to the client
        self.first_token_at: float | None = None  # seconds; None before the first token
        self.token_count = 0
        self.earlier_attempts = 0  # number of attempts by previous owners

    @property
    def first_token_latency(self) -> float | None:
        """Seconds from acceptance to the first token; None before the first token."""
        return None if self.first_token_at is None else self.first_token_at - self.accepted_at

    def step_read_state(self, read_state: ReadState, event: ReadStateEvent) -> StrEnum:
        """Apply an event to a read state and return the effect; a read state no longer held is removed."""
        effect = read_state.state_machine.step(event)
        if read_state.state_machine.state is _NO_STATE:
            self.read_states.pop(read_state.engine, None)
        return effect

    def apply_attempt_outcome(
        self,
        attempt: Attempt,
        outcome: AttemptEvent,
        is_state_missing: bool,
        handle: StateHandle | None,
        now: float,
    ) -> None:
        """Apply the outcome of an attempt to the read state that it created or claimed.

        Args:
            attempt: The attempt, which has ended.
            outcome: Its outcome.
            is_state_missing: Whether a rejected write found no read state at the reader.
            handle: With it a writer fetches the read state that a read created.
            now: The current time in seconds.
        """
        if attempt.is_read:
            read_state = self.read_states[attempt.engine]
            read_state.handle = handle
            self.step_read_state(read_state, event_of_read_end(outcome))
        elif attempt.claimed_state is not None:
            event = event_of_write_end(outcome, is_state_missing=is_state_missing)
            self.step_read_state(attempt.claimed_state, event)
        if outcome not in (AttemptEvent.UNREACHED, AttemptEvent.UNSENT):  # such attempts did not arrive
            self.unfetched_since = now if self.read_states else None

    def latest_claimable_state(self) -> ReadState | None:
        """Return the read state that the next write has to fetch: the one that was created last."""
        claimable = [state for state in self.read_states.values() if state.is_claimable]
        return claimable[-1] if claimable else None
