"""In-flight sequences: what a node knows of each, of its attempts and of the states that readers hold."""

from enum import StrEnum
from typing import Self

from myrtlehub.clock import Timer
from myrtlehub.node.protocols import RequestPayload, ResponseSink, StateHandle, TransportCall
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

# Read once a token: a look-up in an enumeration costs more than the comparison.
_STREAMING = AttemptState.STREAMING
_NO_STATE = ReadStateStatus.NONE


class Attempt:
    """One try to run a sequence on an engine."""

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
        self.sequence = sequence
        self.number = number  # from 0, among those of this node
        self.engine = engine
        self.kind = kind  # of the engine when it was sent: the endpoint list may change it meanwhile
        self.reads = reads
        self.sent_at = sent_at
        self.times_out_at = times_out_at
        self.timer: Timer | None = None
        self.call: TransportCall | None = None
        self.state_machine = StateMachine(ATTEMPT, AttemptState.READING if reads else AttemptState.WRITING)
        self.fetched_state: ReadState | None = None  # a writer's: the state that it is to fetch

    @property
    def is_outstanding(self) -> bool:
        """Whether its end is still to come."""
        return self.state_machine.state in OUTSTANDING_STATES

    @property
    def is_streaming(self) -> bool:
        """Whether its answer streams."""
        return self.state_machine.state is _STREAMING

    def stop_timer(self) -> None:
        """Call its timeout off."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class ReadState:
    """What one reader holds for one sequence, and the handle by which it is fetched."""

    __slots__ = ("engine", "handle", "state_machine")

    def __init__(self, engine: int) -> None:
        self.engine = engine
        self.state_machine = StateMachine(READ_STATE)
        self.handle: StateHandle | None = None

    @classmethod
    def already_held(cls, engine: int, handle: StateHandle) -> Self:
        """Make the state that a reader holds from an owner before this node."""
        read_state = cls(engine)
        read_state.state_machine.step(ReadStateEvent.SEND)
        read_state.state_machine.step(ReadStateEvent.READ_DONE)
        read_state.handle = handle
        return read_state

    @property
    def is_claimable(self) -> bool:
        """Whether a writer can be sent to fetch it."""
        return self.handle is not None and self.state_machine.state in CLAIMABLE_STATUSES


class InFlightSequence:
    """One sequence that a node has accepted and not forgotten yet."""

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
        request: RequestPayload,
        arrival: contract.Arrival,
        client: ResponseSink,
        now: float,
    ) -> None:
        self.number = number  # by which the router knows it
        self.sequence_id = sequence_id  # by which engines and clients know it
        self.request = request
        self.arrival = arrival
        self.client = client
        self.accepted_at = now
        self.deadline = now + arrival.time_left
        self.answer = StateMachine(ANSWER)
        self.attempts: list[Attempt] = []
        self.read_states: dict[int, ReadState] = {}  # by engine
        self.streaming_attempt: Attempt | None = None  # the attempt whose answer the client is getting
        self.first_token_at = 0.0  # 0: none came yet
        self.token_count = 0
        self.earlier_attempts = 0  # attempts of owners before this node

    @property
    def first_token_latency(self) -> float | None:
        """Seconds to the first token; None where none came."""
        return self.first_token_at - self.accepted_at if self.first_token_at else None

    def step_read_state(self, read_state: ReadState, event: ReadStateEvent) -> StrEnum:
        """Step a read state and return the effect; one that is gone is dropped."""
        effect = read_state.state_machine.step(event)
        if read_state.state_machine.state is _NO_STATE:
            self.read_states.pop(read_state.engine, None)
        return effect

    def settle_read_state(
        self, attempt: Attempt, outcome: AttemptEvent, is_state_missing: bool, handle: StateHandle | None
    ) -> None:
        """Take what the end of an attempt tells of the state that it made or was to fetch."""
        if attempt.reads:
            read_state = self.read_states[attempt.engine]
            read_state.handle = handle
            self.step_read_state(read_state, event_of_read_end(outcome))
        elif attempt.fetched_state is not None:
            event = event_of_write_end(outcome, is_state_missing=is_state_missing)
            self.step_read_state(attempt.fetched_state, event)

    def claimable_state(self) -> ReadState | None:
        """Return the read state that the next writer is to fetch, which is the last one made."""
        claimable = [state for state in self.read_states.values() if state.is_claimable]
        return claimable[-1] if claimable else None
