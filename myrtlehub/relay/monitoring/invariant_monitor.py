"""Periodic checks of a node's invariants, and the periodic log event with its counters."""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from myrtlehub.clock import Clock
from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.state.answer import AnswerState
from myrtlehub.state.invariants import (
    Invariant,
    InvariantCounter,
    violated_by_close,
    violated_by_overdue_answer,
    violated_by_removal,
    violated_by_state_retention,
    violated_by_timer,
)

CHECK_INTERVAL_S = 0.1
COUNTERS_INTERVAL_S = 10.0
# Time in seconds by which an answer may miss its deadline without a violation; clients accept up to 0.5 s.
OVERDUE_ANSWER_TOLERANCE_S = 0.1
# Consecutive checks that have to find a read state retained too long. One is not enough: after the process
# was suspended, a check may run before the router's wake-up that releases the read state.
CHECKS_UNTIL_RETENTION_VIOLATION = 2


class RecurringTimer(NamedTuple):
    """A periodic timer; `is_armed` returns whether its next run is scheduled."""

    name: str
    is_armed: Callable[[], bool]


class NodeStatistics(Protocol):
    """Statistics of a node that are logged with its counters."""

    def max_lag(self) -> float:
        """Return the largest event loop lag so far, in seconds."""

    def postponed_placement_count(self) -> int:
        """Return how often a sequence had to wait because the time for placements was used up."""

    def release_counts(self) -> Mapping[str, int]:
        """Return the number of ended releases of read state by result."""

    def attempt_failure_counts(self) -> Mapping[str, int]:
        """Return the number of failed attempts by reason."""


class InvariantMonitor(ExecutorObserver):
    """Checks invariants that span several code paths, such as overdue answers and stopped timers.

    Attributes:
        counter: Counts withheld sends and violations.
        recurring_timers: Periodic timers whose next run must always be scheduled.
        on_violation: Called after a violation has been logged.
        executor: Owns the sequences that are checked; set by `attach`.
        statistics: The node's statistics; set by `attach`.
    """

    executor: ActionExecutor
    statistics: NodeStatistics

    def __init__(self, clock: Clock, log: Log) -> None:
        self.clock = clock
        self.log = log
        self.counter = InvariantCounter(self._log_violation)
        self.recurring_timers: list[RecurringTimer] = []
        self.on_violation: Callable[[], None] = lambda: None
        self._overdue_at_last_check: set[int] = set()  # sequence numbers
        # Number of consecutive checks that found read states retained too long, by sequence number.
        self._retention_check_counts: dict[int, int] = {}
        self._next_counters_at = clock.seconds() + COUNTERS_INTERVAL_S

    def attach(self, executor: ActionExecutor, statistics: NodeStatistics) -> None:
        """Set and observe the executor whose sequences are checked, and set the source of statistics."""
        self.executor = executor
        self.statistics = statistics
        executor.add_observer(self)

    def start(self) -> None:
        """Start the periodic checks."""
        self.clock.callLater(CHECK_INTERVAL_S, self._check)

    def connection_closing(self, reason: CloseReason, exchange: ServerExchange | None) -> None:
        """Log that the node closes a client's connection, and check that it has no open request."""
        is_open = exchange is not None and not exchange.is_finished
        self.log(LogEvent.CONNECTION_CLOSED, reason=reason, is_open=is_open)
        self.counter.check(violated_by_close(is_open))

    def log_counters(self) -> None:
        """Log the counters of answers, releases, withheld sends and violations."""
        self.log(
            LogEvent.COUNTERS,
            answers=dict(sorted(self.executor.answer_counts.items())),
            in_flight=len(self.executor.in_flight),
            oldest_read_state_s=round(self._oldest_read_state_age(), 3),
            releases=dict(sorted(self.statistics.release_counts().items())),
            attempt_failures=dict(sorted(self.statistics.attempt_failure_counts().items())),
            placements_postponed=self.statistics.postponed_placement_count(),
            worst_lag_s=round(self.statistics.max_lag(), 3),
            withheld=dict(sorted(self.counter.withheld.items())),
            violations=dict(sorted(self.counter.violations.items())),
        )

    def _oldest_read_state_age(self) -> float:
        """Return the age in seconds of the oldest read state that is not fetched; 0.0 if there is none."""
        now = self.clock.seconds()
        return max((now - since for since in self._unfetched_since().values()), default=0.0)

    def _unfetched_since(self) -> dict[int, float]:
        """Return the times since which read states are neither fetched nor released, by sequence number.

        Sequences whose answer has started are skipped, because engines then free its read states themselves.
        """
        return {
            number: sequence.unfetched_since
            for number, sequence in self.executor.in_flight.items()
            if sequence.unfetched_since is not None and sequence.first_token_at is None
        }

    def _check_states(self, now: float) -> None:
        """Check that read states are fetched or released in time, unless an attempt has since arrived."""
        previous_counts, self._retention_check_counts = self._retention_check_counts, {}
        for number, since in self._unfetched_since().items():
            violated = violated_by_state_retention(now - since, self.executor.config.state_timeout)
            if violated is None:
                continue
            self._retention_check_counts[number] = previous_counts.get(number, 0) + 1
            if self._retention_check_counts[number] == CHECKS_UNTIL_RETENTION_VIOLATION:
                self.counter.check(violated, self.executor.in_flight[number].sequence_id)

    def _log_violation(self, invariant: Invariant, sequence_id: str) -> None:
        self.log(LogEvent.INVARIANT_VIOLATED, invariant=invariant, sequence_id=sequence_id)
        self.on_violation()

    def sequence_forgotten(self, sequence: InFlightSequence) -> None:
        """Check that a removed sequence has its final answer and no unreleased read state."""
        violated = violated_by_removal(sequence.answer.is_final, bool(sequence.read_states))
        self.counter.check(violated, sequence.sequence_id)

    def _check(self) -> None:
        self.clock.callLater(CHECK_INTERVAL_S, self._check)
        now = self.clock.seconds()
        overdue = self._overdue_sequences(now)
        for sequence in overdue:
            violated = violated_by_overdue_answer(now - sequence.deadline, OVERDUE_ANSWER_TOLERANCE_S)
            self.counter.check(violated, sequence.sequence_id)
        self._check_states(now)
        if now >= self._next_counters_at:
            self._next_counters_at = now + COUNTERS_INTERVAL_S
            for timer in self.recurring_timers:
                self.counter.check(violated_by_timer(timer.is_armed()), timer.name)
            self.log_counters()
        for sequence in overdue:
            self.executor.abort(sequence, "its deadline has passed")

    def _overdue_sequences(self, now: float) -> list[InFlightSequence]:
        """Return the sequences that this check and the previous one found unanswered after their deadline.

        One check is not enough: after the process was suspended past a deadline, the check may run before
        the router's wake-up that answers the sequence.
        """
        overdue_now = [
            sequence for sequence in self.executor.in_flight.values() if self._is_overdue(sequence, now)
        ]
        overdue = [sequence for sequence in overdue_now if sequence.number in self._overdue_at_last_check]
        self._overdue_at_last_check = {sequence.number for sequence in overdue_now}
        return overdue

    @staticmethod
    def _is_overdue(sequence: InFlightSequence, now: float) -> bool:
        is_past_deadline = now > sequence.deadline + OVERDUE_ANSWER_TOLERANCE_S
        return is_past_deadline and sequence.answer.state == AnswerState.PENDING
