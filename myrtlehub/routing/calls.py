"""Bookkeeping common to all routers: each call of a node updates the records of sequences and engines.

Decisions are made by the abstract methods, which `routing.policy` implements.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from myrtlehub.routing import contract
from myrtlehub.routing.contract import Action, Arrival, LoadReport, Outcome
from myrtlehub.routing.engine_table import EngineTable
from myrtlehub.routing.records import Attempt, Engine, Sequence

MIN_WAKEUP_DELAY = 0.001  # seconds; the resolution of the timers that execute `ScheduleWakeup`
WAKEUP_TOLERANCE = 0.001  # seconds by which a timer may fire early


class RouterCalls(contract.OptionalCalls, ABC):
    """Keeps the sequences of a node, and collects the actions of the present call."""

    def __init__(self, table: EngineTable, wakeup_interval: float) -> None:
        self.config = table.config
        self.table = table
        self.wakeup_interval = wakeup_interval  # longest delay in seconds while sequences wait at this node
        self.sequences: dict[int, Sequence] = {}
        self.waiting: dict[int, Sequence] = {}  # those that wait at this node
        self.actions: list[Action] = []  # of the present call
        self.wake_at = float("inf")  # time at which the requested wake-up is due; inf: none is requested
        self.last_feedback_at = 0.0  # time of the last event from an engine or the endpoint list

    @abstractmethod
    def _endpoints_changed(self) -> None:
        """Update what depends on the endpoint list."""

    @abstractmethod
    def _accept(self, now: float, sequence_id: int, arrival: Arrival) -> Sequence:
        """Return the record of an arriving sequence."""

    @abstractmethod
    def _admit(self, sequence: Sequence, now: float) -> None:
        """Place an arriving sequence, or first probe engines for it."""

    @abstractmethod
    def _place(self, sequence: Sequence, now: float) -> None:
        """Send the next attempt of a sequence, let the sequence wait, or end it."""

    @abstractmethod
    def _place_waiting(self, now: float) -> None:
        """End the sequences whose deadline is reached, and place some of those that wait."""

    @abstractmethod
    def _probe_unanswered(self, engine: Engine) -> None:
        """Update the estimates of an engine that did not answer a probe."""

    @abstractmethod
    def _attempt_began(self, sequence: Sequence, attempt: Attempt, now: float, latency: float) -> None:
        """Update the estimates of an engine whose answer has started."""

    @abstractmethod
    def _attempt_ended(self, sequence: Sequence, attempt: Attempt, now: float) -> None:
        """Update the estimates from the outcome of an attempt, and decide how its sequence continues."""

    @abstractmethod
    def _end(self, sequence: Sequence, answer: Action | None) -> None:
        """End a sequence with a final answer; None if its client has disconnected."""

    def start(self, now: float) -> list[Action]:
        """Start the router; called once, before all other calls."""
        return [contract.WatchEndpoints(True)] if self.config.polls_endpoints else []

    def endpoint_list_failed(self, now: float) -> list[Action]:
        """Handle a failed poll or watch of the endpoint list."""
        return self.start(now)

    def update_endpoints(
        self, now: float, updates: Iterable[contract.EndpointUpdate], is_complete: bool
    ) -> list[Action]:
        """Apply the complete endpoint list, or a change to it."""
        self._record_feedback(now)
        self.table.update(updates, is_complete)
        self._endpoints_changed()
        return self._finish(now)

    def arrive(self, now: float, sequence_id: int, arrival: Arrival) -> list[Action]:
        """Accept an arriving sequence."""
        self.table.now = now
        sequence = self.sequences[sequence_id] = self._accept(now, sequence_id, arrival)
        engines = self.table.engines
        if arrival.state_engine is not None:  # the former owner of a taken-over sequence had its prompt read
            sequence.state_engine = engines[arrival.state_engine]
            sequence.reader = sequence.state_engine
            sequence.state_since = now
        if arrival.may_have_run_at is not None:
            sequence.record_possible_run(engines[arrival.may_have_run_at], now - arrival.may_have_run_ago)
        if arrival.tenant is not None:
            self.table.arrivals.add(arrival.tenant, now)
        self._admit(sequence, now)
        return self._finish(now)

    def probe_ended(
        self, now: float, engine: int, is_answered: bool, latency: float, load: LoadReport | None
    ) -> list[Action]:
        """Update the estimates from a probe, and place the sequences that await no other probe."""
        self._record_feedback(now)
        probed = self.table.engines[engine]
        if load is not None:
            self.table.load_reported(probed, load)
        else:
            self._probe_unanswered(probed)
        for sequence in [waiting for waiting in self.waiting.values() if probed in waiting.awaited_probes]:
            sequence.awaited_probes.discard(probed)
            if not sequence.awaited_probes and sequence.id in self.waiting:
                self._place(sequence, now)
        return self._finish(now)

    def began(self, now: float, sequence_id: int, attempt: int, latency: float) -> list[Action]:
        """Handle the first token of an attempt's answer."""
        self._record_feedback(now)
        sequence = self.sequences.get(sequence_id)
        if sequence is not None and attempt < len(sequence.attempts):
            sequence.has_begun = True
            sequence.state_engine = None
            self._attempt_began(sequence, sequence.attempts[attempt], now, latency)
        return self._finish(now)

    def ended(
        self,
        now: float,
        sequence_id: int,
        attempt: int,
        outcome: Outcome,
        latency: float,
        is_answered: bool,
        cached_tokens: float,
        load: LoadReport | None,
    ) -> list[Action]:
        """Handle the end of an attempt; repeated and unknown ends are ignored."""
        self._record_feedback(now)
        sequence = self.sequences.get(sequence_id)
        if sequence is None or attempt >= len(sequence.attempts):
            return self._finish(now)
        ended = sequence.attempts[attempt]
        if ended.is_running:
            ended.end(outcome, latency, is_answered, cached_tokens)
            if load is not None:
                self.table.load_reported(ended.engine, load)
            self._attempt_ended(sequence, ended, now)
        return self._finish(now)

    def attempt_arrived(self, now: float, sequence_id: int, attempt: int) -> list[Action]:
        """Handle the sign that a running attempt has arrived at its engine."""
        sequence = self.sequences.get(sequence_id)
        if sequence is not None and attempt in sequence.running_attempts():
            sequence.expect_no_release()
        return self._finish(now)

    def client_left(self, now: float, sequence_id: int) -> list[Action]:
        """Handle the disconnection of a client that has no final answer yet."""
        sequence = self.sequences.get(sequence_id)
        if sequence is not None and not sequence.is_over:
            self._end(sequence, None)
        return self._finish(now)

    def wake(self, now: float, token: int) -> list[Action]:
        """Handle a wake-up that `ScheduleWakeup` requested."""
        self.table.now = now
        if now >= self.wake_at - WAKEUP_TOLERANCE:
            self.wake_at = float("inf")
        self._place_waiting(now)
        return self._finish(now)

    def _record_feedback(self, now: float) -> None:
        self.table.now = now
        self.last_feedback_at = now

    def _finish(self, now: float) -> list[Action]:
        """Schedule a wake-up if one is needed, and return the actions of the call."""
        self._schedule_wakeup(now)
        actions = self.actions
        self.actions = []
        self.table.clear_memo()
        return actions

    def _schedule_wakeup(self, now: float) -> None:
        """Request a wake-up at the next deadline, check or release, or sooner while sequences wait here."""
        deadlines = [
            min(sequence.abandon_at, sequence.check_due_at, sequence.release_due_at)
            for sequence in self.sequences.values()
            if not sequence.is_over and not sequence.has_begun
        ]
        if not deadlines:
            return
        delay = min(deadlines) - now
        if self.waiting:
            delay = min(self.wakeup_interval, delay)
        delay = max(MIN_WAKEUP_DELAY, delay)
        if now + delay < self.wake_at - WAKEUP_TOLERANCE / 2:
            self.wake_at = now + delay
            self.actions.append(contract.ScheduleWakeup(delay, 0))
