"""The model's data: nodes, engines, sequences and a network, small enough to visit every state of them.

Beside what a node knows (the state machines) stands what is true at the engines (`EngineTruth`), and on that
the rules are checked. So a table that says too little, or too much, is found by some interleaving.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple, Self

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.answer import ANSWER, AnswerState
from myrtlehub.state.attempt import ATTEMPT, OUTSTANDING_STATES, AttemptState
from myrtlehub.state.read_state import READ_STATE, ReadStateStatus
from myrtlehub.state.state_machine import TransitionTable


class EngineTruth(StrEnum):
    """What is true of an attempt at its engine, whatever its node knows."""

    IN_TRANSIT = "in transit"
    ARRIVED = "arrived"
    RUNNING = "running"
    COMPLETED = "completed"
    READ = "read"
    REFUSED = "refused"
    STATE_MISSING = "state missing"
    STOPPED = "stopped"  # before it ran
    STOPPED_AFTER_EFFECT = "stopped after effect"


TRUTHS_WITH_EFFECT = (EngineTruth.RUNNING, EngineTruth.COMPLETED, EngineTruth.STOPPED_AFTER_EFFECT)
TRUTHS_BEFORE_EFFECT = (EngineTruth.IN_TRANSIT, EngineTruth.ARRIVED)


class ModelConfig(NamedTuple):
    """How large the model is, and which tables its nodes go by."""

    semantics: tuple[RetrySemantics, ...]  # by sequence
    nodes: int = 2
    readers: int = 2
    writers: int = 2
    max_attempts: int = 2  # of a submission
    max_submissions: int = 2  # of a sequence
    max_faults: int = 2  # crashes, restarts, losses and drains in one history, together
    may_cancel: bool = True  # whether engines can be told to stop what has not begun
    attempt_table: TransitionTable = ATTEMPT
    answer_table: TransitionTable = ANSWER
    read_state_table: TransitionTable = READ_STATE

    def is_reader(self, engine: int) -> bool:
        """Tell whether an engine reads: readers come first."""
        return engine < self.readers

    def new_submission(self, sequence: int, node: int) -> "ModelSubmission":
        """Make a submission of which nothing was sent yet."""
        return ModelSubmission(
            sequence, node, self.answer_table.initial, (self.read_state_table.initial,) * self.readers
        )


class ModelAttempt(NamedTuple):
    """An attempt: what the node knows, and what is true."""

    engine: int
    state: AttemptState
    truth: EngineTruth
    claimed_reader: int = -1  # whose state it is to fetch; -1: none
    is_connected: bool = True  # the connection under it stands
    is_reset_pending: bool = False  # a reset from the node is in transit

    @property
    def is_outstanding(self) -> bool:
        """Whether its node still waits for its end."""
        return self.state in OUTSTANDING_STATES


class ModelSubmission(NamedTuple):
    """A sequence at one node; a client that returns makes another one."""

    sequence: int
    node: int
    answer: AnswerState
    read_states: tuple[ReadStateStatus, ...]  # by reader
    attempts: tuple[ModelAttempt, ...] = ()
    is_late: bool = False  # its deadline has passed
    is_lost: bool = False  # its node was killed

    @property
    def has_outstanding(self) -> bool:
        """Whether any of its attempts is outstanding."""
        return any(attempt.is_outstanding for attempt in self.attempts)

    def writes(self, config: ModelConfig) -> Iterator[ModelAttempt]:
        """Iterate over its attempts at writers."""
        return (attempt for attempt in self.attempts if not config.is_reader(attempt.engine))


class ModelState(NamedTuple):
    """All of the model at one moment."""

    submissions: tuple[ModelSubmission, ...]
    engines_up: tuple[bool, ...]
    held_states: frozenset[tuple[int, int]] = frozenset()  # reader, submission
    known_drains: frozenset[tuple[int, int]] = frozenset()  # node, engine
    cold_engines: frozenset[int] = frozenset()
    cold_sends: int = 0
    expired_windows: frozenset[int] = frozenset()  # sequences whose dedup window has passed
    fault_count: int = 0

    def with_submission(self, index: int, submission: ModelSubmission) -> Self:
        """Replace a submission."""
        submissions = (*self.submissions[:index], submission, *self.submissions[index + 1 :])
        return self._replace(submissions=submissions)

    def with_attempt(self, index: int, number: int, attempt: ModelAttempt) -> Self:
        """Replace an attempt of a submission."""
        submission = self.submissions[index]
        attempts = (*submission.attempts[:number], attempt, *submission.attempts[number + 1 :])
        return self.with_submission(index, submission._replace(attempts=attempts))

    def count_effects(self, config: ModelConfig, sequence: int) -> int:
        """Count the attempts that had an effect, over all submissions of a sequence."""
        return sum(
            attempt.truth in TRUTHS_WITH_EFFECT
            for submission in self.submissions
            if submission.sequence == sequence
            for attempt in submission.writes(config)
        )


class Move(NamedTuple):
    """Something that can happen next."""

    label: str
    state: ModelState  # after it
    violation: str = ""  # the rule that is broken by it, or ""


def initial_state(config: ModelConfig) -> ModelState:
    """Make the state in which each sequence was accepted by a node and nothing was sent."""
    submissions = tuple(
        config.new_submission(sequence, sequence % config.nodes) for sequence in range(len(config.semantics))
    )
    return ModelState(submissions, (True,) * (config.readers + config.writers))
