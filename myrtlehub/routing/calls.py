"""The base class of routers: its calls update the records of sequences and engines.

Its abstract methods make the routing decisions; `routing.policy` implements them.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from heapq import heappop, heappush, heapreplace
from typing import NamedTuple

from myrtlehub.routing import contract
from myrtlehub.routing.contract import Action, Arrival, LoadReport, Outcome
from myrtlehub.routing.engine_table import EngineTable
from myrtlehub.routing.records import Attempt, Engine, Sequence

MIN_WAKEUP_DELAY = 0.001  # seconds; resolution of the node's timers
WAKEUP_TOLERANCE = 0.001  # seconds by which timers may fire early


class DueTime(NamedTuple):
    """A time at which a sequence may be due; it can have become later since."""

    due_at: float
    sequence_id: int


class BaseRouter(contract.OptionalCalls, ABC):
    """Maintains the sequences of a node, and collects the actions of the current call."""

    def __init__(
        self, engine_table: EngineTable, wakeup_interval: float, postponed_wakeup_interval: float
    ) -> None:
        self.config = engine_table.config
        self.engine_table = engine_table
        self.wakeup_interval = wakeup_interval  # seconds; longest delay while sequences wait
        self.postponed_wakeup_interval = postponed_wakeup_interval  # the same while placements are postponed
        self.has_postponed_placement = False  # for lack of time, since the last wake-up
        self.sequences: dict[int, Sequence] = {}
        self.waiting: dict[int, Sequence] = {}  # the sequences that wait at this node
        self.pending_actions: list[Action] = []  # of the current call
        self.next_wakeup_at = float("inf")  # inf if no wake-up is requested
        self.last_feedback_at = 0.0  # time of the last event from an engine or the endpoint list
        # A heap with an entry for each sequence that waits for the start of its answer.
        self._due_times: list[DueTime] = []

    @abstractmethod
    def _on_endpoints_changed(self) -> None:
        """Update the state that is derived from the endpoint list."""

    @abstractmethod
    def _new_sequence(self, now: float, sequence_id: int, arrival: Arrival) -> Sequence:
        """Create the record of an arriving sequence."""

    @abstractmethod
    def _admit(self, sequence: Sequence, now: float) -> None:
        """Place an arriving sequence, or probe engines before that."""

    @abstractmethod
    def _place_within_budget(self, sequence: Sequence, now: float) -> None:
        """Send the next attempt of a sequence, or let the sequence wait, or end it."""

    @abstractmethod
    def _place_waiting(self, now: float) -> None:
        """End the sequences past their deadline, and place some of those that wait."""

    @abstractmethod
    def _on_probe_timeout(self, engine: Engine) -> None:
        """Update the estimates of an engine whose probe timed out."""

    @abstractmethod
    def _on_attempt_began(self, sequence: Sequence, attempt: Attempt, now: float, latency: float) -> None:
        """Update the estimates of an engine whose answer has started."""

    @abstractmethod
    def _on_attempt_ended(self, sequence: Sequence, attempt: Attempt, now: float) -> None:
        """Update the estimates from the outcome of an attempt, and continue or end its sequence."""

    @abstractmethod
    def _end_sequence(self, sequence: Sequence, answer: Action | None) -> None:
        """End a sequence with a final answer, or with None if its client has disconnected."""

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
        self.engine_table.update(updates, is_complete)
        self._on_endpoints_changed()
        return self._finish_call(now)

    def arrive(self, now: float, sequence_id: int, arrival: Arrival) -> list[Action]:
        """Accept an arriving sequence."""
        self.engine_table.now = now
        sequence = self.sequences[sequence_id] = self._new_sequence(now, sequence_id, arrival)
        self._add_due_time(sequence)
        engines = self.engine_table.engines
        if arrival.state_engine is not None:  # a takeover: the prompt was read for the former owner
            sequence.state_engine = engines[arrival.state_engine]
            sequence.reader = sequence.state_engine
            sequence.state_held_since = now
        if arrival.may_have_run_at is not None:
            sequence.record_possible_run(engines[arrival.may_have_run_at], now - arrival.may_have_run_ago)
        if arrival.tenant is not None:
            self.engine_table.arrival_counters.add(arrival.tenant, now)
        self._admit(sequence, now)
        return self._finish_call(now)

    def probe_ended(
        self, now: float, engine: int, is_answered: bool, latency: float, load: LoadReport | None
    ) -> list[Action]:
        """Update the estimates from a probe, and place the sequences that have no other pending probes."""
        self._record_feedback(now)
        probed = self.engine_table.engines[engine]
        if load is not None:
            self.engine_table.record_load_report(probed, load)
        else:
            self._on_probe_timeout(probed)
        for sequence in [waiting for waiting in self.waiting.values() if probed in waiting.pending_probes]:
            sequence.pending_probes.discard(probed)
            if not sequence.pending_probes and sequence.id in self.waiting:
                self._place_within_budget(sequence, now)
        return self._finish_call(now)

    def began(self, now: float, sequence_id: int, attempt: int, latency: float) -> list[Action]:
        """Handle the first token of an attempt's answer."""
        self._record_feedback(now)
        sequence = self.sequences.get(sequence_id)
        if sequence is not None and attempt < len(sequence.attempts):
            sequence.has_begun = True
            sequence.state_engine = None
            self._on_attempt_began(sequence, sequence.attempts[attempt], now, latency)
        return self._finish_call(now)

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
        """Handle the end of an attempt; late events of ended or unknown attempts are ignored."""
        self._record_feedback(now)
        sequence = self.sequences.get(sequence_id)
        if sequence is None or attempt >= len(sequence.attempts):
            return self._finish_call(now)
        ended = sequence.attempts[attempt]
        if ended.is_running:
            ended.end(outcome, latency, is_answered, cached_tokens)
            if load is not None:
                self.engine_table.record_load_report(ended.engine, load)
            self._on_attempt_ended(sequence, ended, now)
        return self._finish_call(now)

    def attempt_arrived(self, now: float, sequence_id: int, attempt: int) -> list[Action]:
        """Handle the confirmation that a running attempt has arrived at its engine."""
        sequence = self.sequences.get(sequence_id)
        if sequence is not None and attempt in sequence.running_attempts():
            sequence.clear_release_timers()
        return self._finish_call(now)

    def client_left(self, now: float, sequence_id: int) -> list[Action]:
        """Handle the disconnection of a client that has no final answer yet."""
        sequence = self.sequences.get(sequence_id)
        if sequence is not None and not sequence.is_over:
            self._end_sequence(sequence, None)
        return self._finish_call(now)

    def wake(self, now: float, token: int) -> list[Action]:
        """Handle a wake-up that `ScheduleWakeup` requested."""
        self.engine_table.now = now
        if now >= self.next_wakeup_at - WAKEUP_TOLERANCE:
            self.next_wakeup_at = float("inf")
        self.has_postponed_placement = False
        self._place_waiting(now)
        return self._finish_call(now)

    def _record_feedback(self, now: float) -> None:
        self.engine_table.now = now
        self.last_feedback_at = now

    def _finish_call(self, now: float) -> list[Action]:
        """Schedule a wake-up if necessary, and return the actions of the call."""
        self._schedule_wakeup(now)
        actions = self.pending_actions
        self.pending_actions = []
        self.engine_table.clear_memo()
        return actions

    def _add_due_time(self, sequence: Sequence) -> None:
        """Record when a sequence is due; required whenever that becomes earlier."""
        heappush(self._due_times, DueTime(sequence.next_due_at, sequence.id))

    def _open_sequence(self, sequence_id: int) -> Sequence | None:
        """Return a sequence that waits for the start of its answer; None if it does not."""
        sequence = self.sequences.get(sequence_id)
        return None if sequence is None or sequence.is_over or sequence.has_begun else sequence

    def _due_sequences(self, now: float) -> list[Sequence]:
        """Return the sequences that are due, in any order."""
        due: dict[int, Sequence] = {}
        while self._due_times and self._due_times[0].due_at <= now:
            sequence = self._open_sequence(heappop(self._due_times).sequence_id)
            if sequence is not None:
                due[sequence.id] = sequence
        for sequence in due.values():
            self._add_due_time(sequence)
        return list(due.values())

    def _next_due_at(self) -> float | None:
        """Return when the next sequence is due, or None if no sequence waits for the start of its answer."""
        while self._due_times:
            earliest = self._due_times[0]
            sequence = self._open_sequence(earliest.sequence_id)
            if sequence is None:
                heappop(self._due_times)
            elif sequence.next_due_at > earliest.due_at:
                heapreplace(self._due_times, DueTime(sequence.next_due_at, sequence.id))
            else:
                return earliest.due_at
        return None

    def _schedule_wakeup(self, now: float) -> None:
        """Request a wake-up for the next deadline, arrival check or release; sooner while sequences wait."""
        next_due_at = self._next_due_at()
        if next_due_at is None:
            return
        delay = next_due_at - now
        if self.waiting:
            is_postponed = self.has_postponed_placement
            interval = self.postponed_wakeup_interval if is_postponed else self.wakeup_interval
            delay = min(interval, delay)
        delay = max(MIN_WAKEUP_DELAY, delay)
        if now + delay < self.next_wakeup_at - WAKEUP_TOLERANCE / 2:
            self.next_wakeup_at = now + delay
            self.pending_actions.append(contract.ScheduleWakeup(delay, 0))
