"""Rule 5: no engine keeps a read state for which no attempt is outstanding."""

from typing import NamedTuple

from myrtlehub.lab.rule_checker.client_calls import ClientCalls
from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.scenario_facts import ScenarioFacts
from myrtlehub.lab.rule_checker.stored_records import (
    AttemptFields,
    FreedStateFields,
    KilledFields,
    ReceivedAttemptFields,
    RecordKind,
    fields_of,
)
from myrtlehub.records import Record

# Seconds by which the kill of a node may precede the moment at which a read state became idle, to be taken as
# the reason why nothing released it. No sequence of a scenario lasts as long.
MAX_KILL_TO_IDLE = 60.0
ATTEMPT_ENDS = (
    RecordKind.ATTEMPT_REJECTED,
    RecordKind.ATTEMPT_CANCELLED,
    RecordKind.ATTEMPT_FAILED,
    RecordKind.STREAM_BROKEN,
    RecordKind.ATTEMPT_EXPIRED,
    RecordKind.ATTEMPT_COMPLETED,
)


class _OutstandingAttempt(NamedTuple):
    attempt: int
    engine: str


class ReadStateRule:
    """Follows read states, and the attempts of their sequences as engines recorded them.

    A read state is idle while no attempt of its sequence is outstanding.
    """

    def __init__(self, findings: Findings, facts: ScenarioFacts, calls: ClientCalls) -> None:
        self._findings = findings
        self._facts = facts
        self._calls = calls
        self._outstanding: dict[str, set[_OutstandingAttempt]] = {}  # by sequence id
        self._idle_since: dict[str, dict[str, float]] = {}  # by sequence id and engine
        self._node_of: dict[str, str] = {}  # by sequence id

    @property
    def handlers(self) -> RecordHandlers:
        """The handler of each kind of record."""
        return {
            RecordKind.PROCESS_KILLED: self._on_killed,
            RecordKind.ATTEMPT_RECEIVED: self._on_attempt_received,
            RecordKind.READ_STATE_STORED: self._on_stored,
            RecordKind.READ_STATE_FREED: self._on_freed,
            **dict.fromkeys(ATTEMPT_ENDS, self._on_attempt_ended),
        }

    def finish(self, now: float) -> None:
        """Check the states that exist at the end."""
        for sequence_id in self._idle_since:
            if not self._outstanding.get(sequence_id):
                self._check_idle(now, sequence_id)

    def _on_killed(self, record: Record) -> None:
        """Forget the states and attempts of a killed engine."""
        killed = fields_of(record, KilledFields).process
        for sequence_id, engines in list(self._idle_since.items()):
            engines.pop(killed, None)
            if not engines:
                del self._idle_since[sequence_id]
        for sequence_id, attempts in list(self._outstanding.items()):
            remaining = {attempt for attempt in attempts if attempt.engine != killed}
            self._set_outstanding(record.at, sequence_id, remaining)

    def _on_attempt_received(self, record: Record) -> None:
        fields = fields_of(record, ReceivedAttemptFields)
        self._node_of[fields.sequence_id] = fields.node
        attempt = _OutstandingAttempt(fields.attempt, record.who)
        outstanding = self._outstanding.get(fields.sequence_id, set())
        self._set_outstanding(record.at, fields.sequence_id, outstanding | {attempt})

    def _on_attempt_ended(self, record: Record) -> None:
        fields = fields_of(record, AttemptFields)
        attempt = _OutstandingAttempt(fields.attempt, record.who)
        outstanding = self._outstanding.get(fields.sequence_id, set())
        self._set_outstanding(record.at, fields.sequence_id, outstanding - {attempt})

    def _on_stored(self, record: Record) -> None:
        self._findings.count(Rule.READ_STATE)
        sequence_id = fields_of(record, AttemptFields).sequence_id
        self._idle_since.setdefault(sequence_id, {})[record.who] = record.at
        self._on_attempt_ended(record)

    def _on_freed(self, record: Record) -> None:
        sequence_id = fields_of(record, FreedStateFields).sequence_id
        engines = self._idle_since.get(sequence_id, {})
        if record.who not in engines:
            return
        if not self._outstanding.get(sequence_id):
            self._check_idle_at(record.at, sequence_id, record.who, engines[record.who])
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

    def _check_idle(self, at: float, sequence_id: str) -> None:
        for engine, since in self._idle_since.get(sequence_id, {}).items():
            self._check_idle_at(at, sequence_id, engine, since)

    def _check_idle_at(self, at: float, sequence_id: str, engine: str, since: float) -> None:
        """Check how long an engine has had an idle state of a sequence."""
        is_overdue = at - since > self._facts.release_time + self._facts.slack
        if is_overdue and not self._was_node_killed(sequence_id, since):
            self._findings.add_breach(
                Rule.READ_STATE,
                at,
                f"{engine} held the state of {sequence_id} for {at - since:.3f} s with no attempt out",
            )

    def _was_node_killed(self, sequence_id: str, since: float) -> bool:
        """Return whether the incarnation of the node that owned this sequence was killed."""
        node = self._node_of.get(sequence_id)
        if node is None:
            return False
        call = self._calls.by_sequence.get(sequence_id)
        until = since + self._facts.release_time + self._facts.slack
        return any(
            since - MAX_KILL_TO_IDLE < killed_at <= until and (call is None or call.requested_at <= killed_at)
            for killed_at in self._facts.killed_at.get(node, ())
        )
