"""Checks the invariants of a running node, and writes its counters."""

from collections.abc import Callable
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.server_connection import CloseReason
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.action_executor import ActionExecutor, InFlightSequence
from myrtlehub.state.answer import AnswerState
from myrtlehub.state.invariants import (
    Invariant,
    InvariantCounter,
    broken_by_close,
    broken_by_forgetting,
    broken_by_timer,
    broken_by_waiting,
)

CHECK_INTERVAL_S = 0.1
COUNTERS_INTERVAL_S = 10.0
# By which an answer may be late before that is a violation: a client may get it 0.5 s after its time.
LATE_ANSWER_TOLERANCE_S = 0.1


class RecurringTimer(NamedTuple):
    """Something that recurs, by its name; `is_armed` tells whether it is still due."""

    name: str
    is_armed: Callable[[], bool]


class InvariantMonitor:
    """Checks what no single path can: answers that are overdue, timers that are not due any more.

    Attributes:
        counter: What was withheld and violated so far.
        timers: What has to recur for as long as the node runs.
        on_violation: Called after a violation was logged.
        worst_lag: Returns by how many seconds this process ran late at worst.
    """

    def __init__(self, clock: Clock, log: Log) -> None:
        self.clock = clock
        self.log = log
        self.counter = InvariantCounter(self._violated)
        self.timers: list[RecurringTimer] = []
        self.on_violation: Callable[[], None] = lambda: None
        self.worst_lag: Callable[[], float] = lambda: 0.0
        self.executor: ActionExecutor | None = None
        self._timer: Timer | None = None
        self._late_before: set[int] = set()  # numbers of sequences that were late at the last look
        self._counters_due = clock.seconds() + COUNTERS_INTERVAL_S

    def attach(self, executor: ActionExecutor) -> None:
        """Check the sequences of this executor."""
        self.executor = executor
        executor.on_forgotten = self._forgotten

    def start(self) -> None:
        """Check from now on."""
        self._timer = self.clock.callLater(CHECK_INTERVAL_S, self._check)

    def connection_closing(self, reason: CloseReason, exchange: ServerExchange | None) -> None:
        """Check the close of a client's connection from this side."""
        is_open = exchange is not None and not exchange.finished
        self.log(LogEvent.CONNECTION_CLOSED, reason=reason, is_open=is_open)
        self.counter.check(broken_by_close(is_open, client_has_closed=False))

    def log_counters(self) -> None:
        """Write the counters."""
        self.log(
            LogEvent.COUNTERS,
            answers=dict(sorted(self.executor.answer_counts.items())),
            in_flight=len(self.executor.in_flight),
            worst_lag_s=round(self.worst_lag(), 3),
            withheld=dict(sorted(self.counter.withheld.items())),
            violations=dict(sorted(self.counter.violations.items())),
        )

    def _violated(self, invariant: Invariant, sequence_id: str) -> None:
        self.log(LogEvent.INVARIANT_VIOLATED, invariant=invariant, sequence_id=sequence_id)
        self.on_violation()

    def _forgotten(self, sequence: InFlightSequence) -> None:
        broken = broken_by_forgetting(sequence.answer.is_final, bool(sequence.read_states))
        self.counter.check(broken, sequence.sequence_id)

    def _check(self) -> None:
        self._timer = self.clock.callLater(CHECK_INTERVAL_S, self._check)
        now = self.clock.seconds()
        late = [sequence for sequence in self.executor.in_flight.values() if self._is_overdue(sequence, now)]
        # Only at the second look: after a time in which this process was held up the router has its turn.
        overdue = [sequence for sequence in late if sequence.number in self._late_before]
        self._late_before = {sequence.number for sequence in late}
        for sequence in overdue:
            broken = broken_by_waiting(now - sequence.deadline, LATE_ANSWER_TOLERANCE_S)
            self.counter.check(broken, sequence.sequence_id)
        if now >= self._counters_due:
            self._counters_due = now + COUNTERS_INTERVAL_S
            for timer in self.timers:
                self.counter.check(broken_by_timer(timer.is_armed()), timer.name)
            self.log_counters()
        for sequence in overdue:
            self.executor.deadline_passed(sequence, "its time is over")

    @staticmethod
    def _is_overdue(sequence: InFlightSequence, now: float) -> bool:
        is_late = now > sequence.deadline + LATE_ANSWER_TOLERANCE_S
        return is_late and sequence.answer.state == AnswerState.OWED
