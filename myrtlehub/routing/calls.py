"""The calls of a node, taken into the records of a router; what they lead to is decided in `policy`."""

from abc import ABC, abstractmethod

from myrtlehub.routing import contract
from myrtlehub.routing.contract import Action, Arrival, LoadReport, Outcome
from myrtlehub.routing.engine_table import EngineTable
from myrtlehub.routing.records import Attempt, Engine, Sequence

MIN_WAKEUP_DELAY = 0.001  # seconds, the finest that timers are set
WAKEUP_TOLERANCE = 0.001  # seconds by which a wake-up may come early


class RouterCalls(contract.UnusedCalls, ABC):
    """Holds the sequences of a node, and collects the actions of each call."""

    def __init__(self, table: EngineTable, wakeup_interval: float) -> None:
        self.config = table.config
        self.table = table
        self.wakeup_interval = wakeup_interval  # seconds at most, while sequences wait at this node
        self.sequences: dict[int, Sequence] = {}
        self.waiting: dict[int, Sequence] = {}  # that wait at this node
        self.actions: list[Action] = []  # of this call
        self.wake_at = float("inf")
        self.heard_at = 0.0  # when something was last learned of engines

    @abstractmethod
    def _endpoints_changed(self) -> None:
        """Take note that the endpoint list changed."""

    @abstractmethod
    def _accept(self, now: float, ident: int, arrival: Arrival) -> Sequence:
        """Make the record of a sequence that arrives."""

    @abstractmethod
    def _admit(self, sequence: Sequence, now: float) -> None:
        """Decide on a sequence that has arrived."""

    @abstractmethod
    def _place(self, sequence: Sequence, now: float) -> None:
        """Decide where a sequence goes next."""

    @abstractmethod
    def _place_waiting(self, now: float) -> None:
        """End the sequences that are due, and place again some that wait here."""

    @abstractmethod
    def _probe_unanswered(self, engine: Engine) -> None:
        """Judge an engine that did not answer a probe."""

    @abstractmethod
    def _attempt_began(self, sequence: Sequence, attempt: Attempt, now: float, latency: float) -> None:
        """Learn from an answer that has begun."""

    @abstractmethod
    def _attempt_ended(self, sequence: Sequence, attempt: Attempt, now: float) -> None:
        """Learn from how an attempt ended, and decide how its sequence goes on."""

    @abstractmethod
    def _end(self, sequence: Sequence, answer: Action | None) -> None:
        """End a sequence, with its final answer unless none is owed."""

    def start(self, now: float) -> list[Action]:
        """Begin; called once, before all others."""
        return [contract.WatchEndpoints(True)] if self.config.polls_endpoints else []

    def endpoint_list_failed(self, now: float) -> list[Action]:
        """Take note that a poll of the endpoint list failed, or that its watch broke."""
        return self.start(now)

    def update_endpoints(
        self, now: float, updates: list[contract.EndpointUpdate], is_complete: bool
    ) -> list[Action]:
        """Take the complete endpoint list, or a change to it."""
        self._heard(now)
        self.table.update(updates, is_complete)
        self._endpoints_changed()
        return self._finish(now)

    def arrive(self, now: float, ident: int, arrival: Arrival) -> list[Action]:
        """Take a sequence."""
        self.table.now = now
        sequence = self.sequences[ident] = self._accept(now, ident, arrival)
        engines = self.table.engines
        if arrival.state_held_by >= 0:  # its former owner had it read
            sequence.state_at = engines[arrival.state_held_by]
            sequence.reader = sequence.state_at
            sequence.state_since = now
        if arrival.may_have_run_at >= 0:
            sequence.may_have_run(engines[arrival.may_have_run_at], now - arrival.may_have_run_ago)
        self.table.arrivals.add(arrival.tenant, now)
        self._admit(sequence, now)
        return self._finish(now)

    def probe_ended(
        self, now: float, engine: int, is_answered: bool, latency: float, load: LoadReport | None
    ) -> list[Action]:
        """Take the end of a probe; what awaited no other is placed."""
        self._heard(now)
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

    def began(self, now: float, ident: int, attempt: int, latency: float) -> list[Action]:
        """Take note that an attempt's answer has begun to stream."""
        self._heard(now)
        sequence = self.sequences.get(ident)
        if sequence is not None and attempt < len(sequence.attempts):
            sequence.has_begun = True
            sequence.state_at = None
            self._attempt_began(sequence, sequence.attempts[attempt], now, latency)
        return self._finish(now)

    def ended(
        self,
        now: float,
        ident: int,
        attempt: int,
        outcome: Outcome,
        latency: float,
        is_answered: bool,
        cached_tokens: float,
        load: LoadReport | None,
    ) -> list[Action]:
        """Take note how an attempt ended, and whether the client has its final answer by that."""
        self._heard(now)
        sequence = self.sequences.get(ident)
        attempts = sequence.attempts if sequence is not None else []
        if attempt < len(attempts) and attempts[attempt].is_running:
            ended = attempts[attempt]
            ended.end(outcome, latency, is_answered, cached_tokens)
            if load is not None:
                self.table.load_reported(ended.engine, load)
            self._attempt_ended(sequence, ended, now)
        return self._finish(now)

    def client_left(self, now: float, ident: int) -> list[Action]:
        """Take note that no answer is owed any more."""
        sequence = self.sequences.get(ident)
        if sequence is not None and not sequence.is_over:
            self._end(sequence, None)
        return self._finish(now)

    def wake(self, now: float, token: int) -> list[Action]:
        """Take a wake-up that was asked for."""
        self.table.now = now
        if now >= self.wake_at - WAKEUP_TOLERANCE:
            self.wake_at = float("inf")
        self._place_waiting(now)
        return self._finish(now)

    def _heard(self, now: float) -> None:
        self.table.now = now
        self.heard_at = now

    def _finish(self, now: float) -> list[Action]:
        """Ask for a wake-up if an abandon time or something waiting here needs one; return the actions."""
        due = [one.abandon_at for one in self.sequences.values() if not one.is_over and not one.has_begun]
        if due:
            delay = min(due) - now
            if self.waiting:
                delay = min(self.wakeup_interval, delay)
            delay = max(MIN_WAKEUP_DELAY, delay)
            if now + delay < self.wake_at - WAKEUP_TOLERANCE / 2:
                self.wake_at = now + delay
                self.actions.append(contract.ScheduleWakeup(delay, 0))
        actions = self.actions
        self.actions = []
        self.table.forget_derived()
        return actions
