"""Rule 5: no engine keeps a read state for which no attempt is outstanding."""

from typing import NamedTuple

from myrtlehub.lab.rule_checker.client_calls import ClientCalls
from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.scenario_facts import ScenarioFacts
from myrtlehub.records import Record

KILL_BEFORE_IDLE = 60.0  # seconds before a state became idle in which a kill of its node excuses it


class _OutstandingAttempt(NamedTuple):
    attempt: int
    engine: str


class ReadStateRule:
    """Follows read states, and the attempts of their sequences as engines see them."""

    def __init__(self, findings: Findings, facts: ScenarioFacts, calls: ClientCalls) -> None:
        self._findings = findings
        self._facts = facts
        self._calls = calls
        self._outstanding: dict[str, set[_OutstandingAttempt]] = {}  # by sequence id
        self._idle_since: dict[str, dict[str, float]] = {}  # by sequence id and engine
        self._node_of: dict[str, str] = {}  # by sequence id

    @property
    def handlers(self) -> RecordHandlers:
        """What is done on each kind of record."""
        return {
            "killed": self._on_killed,
            "got": self._on_got,
            "held": self._on_stored,
            "freed": self._on_freed,
            **dict.fromkeys(
                ("refused", "stopped", "failed", "broken", "expired", "ended"), self._on_attempt_over
            ),
        }

    def finish(self, now: float) -> None:
        """Check the states that are left at the end."""
        for sequence_id in self._idle_since:
            if not self._outstanding.get(sequence_id):
                self._check_idle(now, sequence_id)

    def _on_killed(self, record: Record) -> None:
        killed = record.more["who"]
        for sequence_id, engines in list(self._idle_since.items()):
            engines.pop(killed, None)
            if not engines:
                del self._idle_since[sequence_id]
        for sequence_id, attempts in list(self._outstanding.items()):
            left = {attempt for attempt in attempts if attempt.engine != killed}
            self._set_outstanding(record.at, sequence_id, left)

    def _on_got(self, record: Record) -> None:
        sequence_id = record.more["seq"]
        self._node_of[sequence_id] = record.more["node"]
        attempt = _OutstandingAttempt(record.more["attempt"], record.who)
        outstanding = self._outstanding.get(sequence_id, set())
        self._set_outstanding(record.at, sequence_id, outstanding | {attempt})

    def _on_attempt_over(self, record: Record) -> None:
        sequence_id = record.more["seq"]
        attempt = _OutstandingAttempt(record.more["attempt"], record.who)
        outstanding = self._outstanding.get(sequence_id, set())
        self._set_outstanding(record.at, sequence_id, outstanding - {attempt})

    def _on_stored(self, record: Record) -> None:
        self._findings.count(Rule.READ_STATE)
        self._idle_since.setdefault(record.more["seq"], {})[record.who] = record.at
        self._on_attempt_over(record)

    def _on_freed(self, record: Record) -> None:
        sequence_id = record.more["seq"]
        engines = self._idle_since.get(sequence_id, {})
        if record.who not in engines:
            return
        if not self._outstanding.get(sequence_id):
            self._check_idle(record.at, sequence_id, record.who)
        del engines[record.who]
        if not engines:
            del self._idle_since[sequence_id]

    def _set_outstanding(self, at: float, sequence_id: str, attempts: set[_OutstandingAttempt]) -> None:
        before = self._outstanding.get(sequence_id, set())
        if attempts:
            self._outstanding[sequence_id] = attempts
        else:
            self._outstanding.pop(sequence_id, None)
        if sequence_id not in self._idle_since:
            return
        if before and not attempts:
            self._idle_since[sequence_id] = dict.fromkeys(self._idle_since[sequence_id], at)
        elif attempts and not before:
            self._check_idle(at, sequence_id)

    def _check_idle(self, at: float, sequence_id: str, only_engine: str = "") -> None:
        for engine, since in self._idle_since.get(sequence_id, {}).items():
            if only_engine and engine != only_engine:
                continue
            is_overdue = at - since > self._facts.release_time + self._facts.slack
            if is_overdue and not self._was_node_killed(sequence_id, since):
                self._findings.add_breach(
                    Rule.READ_STATE,
                    at,
                    f"{engine} held the state of {sequence_id} for {at - since:.3f} s with no attempt out",
                )

    def _was_node_killed(self, sequence_id: str, since: float) -> bool:
        """Return whether the incarnation of the node that owned this sequence was killed."""
        call = self._calls.by_sequence.get(sequence_id)
        until = since + self._facts.release_time + self._facts.slack
        return any(
            since - KILL_BEFORE_IDLE < killed_at <= until and (call is None or call.asked_at <= killed_at)
            for killed_at in self._facts.killed_at.get(self._node_of.get(sequence_id, ""), ())
        )
