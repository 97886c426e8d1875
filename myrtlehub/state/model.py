"""Data types of the model: a system with few enough nodes, engines and sequences to visit all its states.

An attempt has two states: its state as known to its node, which follows the transition tables, and its actual
state at the engine. The rules are checked against the actual states, so that an error in a table shows up as
a violation in some interleaving of events. The violations refer to these rules:

    rule 1  each sequence gets one final answer, and nothing after it
    rule 2  an at-most-once sequence runs at most once, and a sequence that is not idempotent is rejected
            only if none of its attempts has run or still can
    rule 3  no attempt is sent to an engine that the node knows to be draining
    rule 4  an engine in slow start gets no more than its share of the attempts
    rule 5  a reader keeps no read state after its release

A violation without a rule number is an event that a transition table forbids.
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
    """The state of an attempt at its engine, which its node may not know yet."""

    IN_TRANSIT = "in transit"
    ARRIVED = "arrived"
    RUNNING = "running"
    COMPLETED = "completed"
    READ = "read"
    REJECTED = "rejected"
    STATE_MISSING = "state missing"
    STOPPED = "stopped"  # before it had an effect
    STOPPED_AFTER_EFFECT = "stopped after effect"


STATES_WITH_EFFECT = (ActualState.RUNNING, ActualState.COMPLETED, ActualState.STOPPED_AFTER_EFFECT)
STATES_BEFORE_EFFECT = (ActualState.IN_TRANSIT, ActualState.ARRIVED)


class ModelConfig(NamedTuple):
    """The size of the model and the tables that its nodes use."""

    semantics: tuple[RetrySemantics, ...]  # by sequence
    nodes: int = 2
    readers: int = 2
    writers: int = 2
    max_attempts: int = 2  # per submission
    max_submissions: int = 2  # per sequence
    max_faults: int = 2  # per trace: total of crashes, restarts, drains, broken connections and killed nodes
    may_cancel: bool = True  # whether nodes can cancel attempts at engines
    attempt_table: TransitionTable[AttemptState, AttemptEvent] = ATTEMPT
    answer_table: TransitionTable[AnswerState, AnswerEvent] = ANSWER
    read_state_table: TransitionTable[ReadStateStatus, ReadStateEvent] = READ_STATE

    def is_reader(self, engine: int) -> bool:
        """Return whether an engine is a reader; the indices of readers are lower than those of writers."""
        return engine < self.readers

    def new_submission(self, sequence: int, node: int) -> "ModelSubmission":
        """Return a submission without attempts."""
        return ModelSubmission(
            sequence, node, self.answer_table.initial, (self.read_state_table.initial,) * self.readers
        )


class ModelAttempt(NamedTuple):
    """An attempt, with its state as known to its node and its actual state."""

    engine: int
    known_state: AttemptState
    actual_state: ActualState
    claimed_reader: int | None = None  # the reader from which the attempt fetches the read state
    is_connected: bool = True  # the connection on which it was sent is up
    is_reset_pending: bool = False  # a reset from the node is in transit to the engine

    @property
    def is_outstanding(self) -> bool:
        """Whether the node has not yet observed the end of this attempt."""
        return self.known_state in OUTSTANDING_STATES


class ModelSubmission(NamedTuple):
    """A sequence as submitted to one node; each retry by its client is a separate submission."""

    sequence: int
    node: int
    answer: AnswerState
    read_states: tuple[ReadStateStatus, ...]  # by reader
    attempts: tuple[ModelAttempt, ...] = ()
    is_past_deadline: bool = False
    is_node_killed: bool = False

    @property
    def has_outstanding(self) -> bool:
        """Whether any attempt of this submission is outstanding."""
        return any(attempt.is_outstanding for attempt in self.attempts)

    def writes(self, config: ModelConfig) -> Iterator[ModelAttempt]:
        """Iterate over the attempts of this submission that were sent to writers."""
        return (attempt for attempt in self.attempts if not config.is_reader(attempt.engine))


class RetainedState(NamedTuple):
    """A read state that exists at a reader, whether or not the node knows about it."""

    reader: int
    submission: int


class KnownDrain(NamedTuple):
    """An engine that is known by a node to be draining."""

    node: int
    engine: int


class ModelState(NamedTuple):
    """The state of the whole model."""

    submissions: tuple[ModelSubmission, ...]
    engines_up: tuple[bool, ...]
    retained_states: frozenset[RetainedState] = frozenset()
    known_drains: frozenset[KnownDrain] = frozenset()
    cold_engines: frozenset[int] = frozenset()  # in slow start
    cold_sends: int = 0  # attempts sent to engines in slow start
    expired_windows: frozenset[int] = frozenset()  # sequences whose dedup window has expired
    fault_count: int = 0

    def with_submission(self, submission_index: int, submission: ModelSubmission) -> Self:
        """Return a copy with one submission replaced."""
        submissions = (
            *self.submissions[:submission_index],
            submission,
            *self.submissions[submission_index + 1 :],
        )
        return self._replace(submissions=submissions)

    def with_attempt(self, submission_index: int, attempt_index: int, attempt: ModelAttempt) -> Self:
        """Return a copy with one attempt of a submission replaced."""
        submission = self.submissions[submission_index]
        attempts = (*submission.attempts[:attempt_index], attempt, *submission.attempts[attempt_index + 1 :])
        return self.with_submission(submission_index, submission._replace(attempts=attempts))

    def count_effects(self, config: ModelConfig, sequence: int) -> int:
        """Count the attempts of all submissions of a sequence that had an effect."""
        return sum(
            attempt.actual_state in STATES_WITH_EFFECT
            for submission in self.submissions
            if submission.sequence == sequence
            for attempt in submission.writes(config)
        )


class ModelStep(NamedTuple):
    """An event that can occur next, and the state after it."""

    label: str
    state: ModelState  # after the event
    violation: str | None = None  # the violated rule, if any


def initial_state(config: ModelConfig) -> ModelState:
    """Return the state in which a node has accepted each sequence and no attempt has been sent."""
    submissions = tuple(
        config.new_submission(sequence, sequence % config.nodes) for sequence in range(len(config.semantics))
    )
    return ModelState(submissions, (True,) * (config.readers + config.writers))
