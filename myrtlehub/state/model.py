"""Data types of the model: a system with so few nodes, engines and sequences that all states can be visited.

An attempt has two states: what its node knows of it, by the transition tables, and its actual state at the
engine. The rules are checked on the actual states, so an error in a table is found in some interleaving
of events.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple, Self

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import ANSWER, AnswerEvent, AnswerState
from myrtlehub.state.attempt import ATTEMPT, OUTSTANDING_STATES, AttemptEvent, AttemptState
from myrtlehub.state.read_state import READ_STATE, ReadStateEvent, ReadStateStatus
from myrtlehub.state.state_machine import TransitionTable


class ActualState(StrEnum):
    """The state of an attempt at its engine, of which its node may not know yet."""

    IN_TRANSIT = "in transit"
    ARRIVED = "arrived"
    RUNNING = "running"
    COMPLETED = "completed"
    READ = "read"
    REJECTED = "rejected"
    STATE_MISSING = "state missing"
    STOPPED = "stopped"  # before it ran
    STOPPED_AFTER_EFFECT = "stopped after effect"


STATES_WITH_EFFECT = (ActualState.RUNNING, ActualState.COMPLETED, ActualState.STOPPED_AFTER_EFFECT)
STATES_BEFORE_EFFECT = (ActualState.IN_TRANSIT, ActualState.ARRIVED)


class ModelConfig(NamedTuple):
    """The size of the model, and the tables that its nodes use."""

    semantics: tuple[RetrySemantics, ...]  # by sequence
    nodes: int = 2
    readers: int = 2
    writers: int = 2
    max_attempts: int = 2  # per submission
    max_submissions: int = 2  # per sequence
    max_faults: int = 2  # per trace: crashes, restarts, drains, broken connections and killed nodes, in total
    may_cancel: bool = True  # whether nodes can cancel attempts at engines
    attempt_table: TransitionTable[AttemptState, AttemptEvent] = ATTEMPT
    answer_table: TransitionTable[AnswerState, AnswerEvent] = ANSWER
    read_state_table: TransitionTable[ReadStateStatus, ReadStateEvent] = READ_STATE

    def is_reader(self, engine: int) -> bool:
        """Return whether an engine is a reader; readers have lower indices than writers."""
        return engine < self.readers

    def new_submission(self, sequence: int, node: int) -> "ModelSubmission":
        """Return a submission without attempts."""
        return ModelSubmission(
            sequence, node, self.answer_table.initial, (self.read_state_table.initial,) * self.readers
        )


class ModelAttempt(NamedTuple):
    """An attempt: what its node knows of it, and its actual state."""

    engine: int
    known_state: AttemptState
    actual_state: ActualState
    claimed_reader: int | None = None  # the reader from which the attempt fetches the read state
    is_connected: bool = True  # the connection that it was sent on is up
    is_reset_pending: bool = False  # a reset from the node is in transit

    @property
    def is_outstanding(self) -> bool:
        """Whether the node has not observed the end of this attempt yet."""
        return self.known_state in OUTSTANDING_STATES


class ModelSubmission(NamedTuple):
    """A sequence at one node; each retry of its client is a submission of its own."""

    sequence: int
    node: int
    answer: AnswerState
    read_states: tuple[ReadStateStatus, ...]  # by reader
    attempts: tuple[ModelAttempt, ...] = ()
    is_late: bool = False  # its deadline has passed
    is_lost: bool = False  # its node was killed

    @property
    def has_outstanding(self) -> bool:
        """Whether any attempt of this submission is outstanding."""
        return any(attempt.is_outstanding for attempt in self.attempts)

    def writes(self, config: ModelConfig) -> Iterator[ModelAttempt]:
        """Iterate over the attempts of this submission at writers."""
        return (attempt for attempt in self.attempts if not config.is_reader(attempt.engine))


class RetainedState(NamedTuple):
    """A read state that actually exists at a reader, whether the node knows it or not."""

    reader: int
    submission: int


class KnownDrain(NamedTuple):
    """An engine that a node knows to be draining."""

    node: int
    engine: int


class ModelState(NamedTuple):
    """The state of the whole model."""

    submissions: tuple[ModelSubmission, ...]
    engines_up: tuple[bool, ...]
    retained_states: frozenset[RetainedState] = frozenset()
    known_drains: frozenset[KnownDrain] = frozenset()
    cold_engines: frozenset[int] = frozenset()  # in slow start
    cold_sends: int = 0  # attempts that were sent to engines in slow start
    expired_windows: frozenset[int] = frozenset()  # sequences whose dedup window is over
    fault_count: int = 0

    def with_submission(self, index: int, submission: ModelSubmission) -> Self:
        """Return a copy with one submission replaced."""
        submissions = (*self.submissions[:index], submission, *self.submissions[index + 1 :])
        return self._replace(submissions=submissions)

    def with_attempt(self, index: int, number: int, attempt: ModelAttempt) -> Self:
        """Return a copy with one attempt of a submission replaced."""
        submission = self.submissions[index]
        attempts = (*submission.attempts[:number], attempt, *submission.attempts[number + 1 :])
        return self.with_submission(index, submission._replace(attempts=attempts))

    def count_effects(self, config: ModelConfig, sequence: int) -> int:
        """Count the attempts that had an effect, over all submissions of a sequence."""
        return sum(
            attempt.actual_state in STATES_WITH_EFFECT
            for submission in self.submissions
            if submission.sequence == sequence
            for attempt in submission.writes(config)
        )


class ModelStep(NamedTuple):
    """An event that can happen next, and the state after it."""

    label: str
    state: ModelState  # after the event
    violation: str | None = None  # the rule that the event violates


def initial_state(config: ModelConfig) -> ModelState:
    """Return the state in which each sequence was accepted by a node and has no attempts."""
    submissions = tuple(
        config.new_submission(sequence, sequence % config.nodes) for sequence in range(len(config.semantics))
    )
    return ModelState(submissions, (True,) * (config.readers + config.writers))
