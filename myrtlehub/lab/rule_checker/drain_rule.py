"""Rule 3: a node that was notified that an engine drains sends it no attempt after the grace."""

from typing import NamedTuple

from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.scenario_facts import ScenarioFacts
from myrtlehub.lab.rule_checker.stored_records import (
    EngineStateFields,
    KilledFields,
    ReceivedAttemptFields,
    RecordKind,
    fields_of,
)
from myrtlehub.records import Record

SERVING = "serving"  # the state of the endpoint list in which an engine gets new attempts


class _NodeAndEngine(NamedTuple):
    node: str
    engine: str


class DrainRule:
    """Compares the time of each attempt with the drain that its node was notified of."""

    def __init__(self, findings: Findings, facts: ScenarioFacts) -> None:
        self._findings = findings
        self._facts = facts
        self._last_send_at: dict[_NodeAndEngine, float] = {}  # the end of the grace of each drain

    @property
    def handlers(self) -> RecordHandlers:
        """The handler of each kind of record."""
        return {
            RecordKind.ENGINE_STATE_REPORTED: self._on_engine_state,
            RecordKind.PROCESS_KILLED: self._on_killed,
            RecordKind.ATTEMPT_RECEIVED: self._on_attempt,
        }

    def _on_engine_state(self, record: Record) -> None:
        fields = fields_of(record, EngineStateFields)
        pair = _NodeAndEngine(fields.node, fields.engine)
        if fields.state == SERVING:
            self._last_send_at.pop(pair, None)
        else:
            self._last_send_at.setdefault(pair, record.at + fields.drain_grace)

    def _on_killed(self, record: Record) -> None:
        """Forget the drains that a killed node knew: its next incarnation starts without them."""
        killed = fields_of(record, KilledFields).process
        for pair in [pair for pair in self._last_send_at if pair.node == killed]:
            del self._last_send_at[pair]

    def _on_attempt(self, record: Record) -> None:
        self._findings.count(Rule.DRAIN)
        fields = fields_of(record, ReceivedAttemptFields)
        limit = self._last_send_at.get(_NodeAndEngine(fields.node, record.who))
        if limit is not None and record.at > limit + self._facts.slack:
            self._findings.add_breach(
                Rule.DRAIN,
                record.at,
                f"{fields.sequence_id} sent by {fields.node} to {record.who}, {record.at - limit:.3f} s past "
                "the grace of its drain",
            )
