"""Rule 4: a cold engine is not sent so much work that it crashes."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.stored_records import (
    EngineStartFields,
    ReceivedAttemptFields,
    RecordKind,
    fields_of,
)
from myrtlehub.records import Record


class _SentWork(NamedTuple):
    at: float
    slot_seconds: float


@dataclass(slots=True)
class _Engine:
    """One incarnation of an engine."""

    started_at: float
    start: EngineStartFields
    is_cold: bool
    is_overloaded: bool = False
    sent: deque[_SentWork] = field(default_factory=deque)  # within the last `fall_time`

    def budget(self, age: float) -> float:
        """Return the slot-seconds of work within `fall_time` that it survives at this age."""
        start = self.start
        capacity = start.cold_share + (1.0 - start.cold_share) * age / start.cold_time
        return start.fall_multiple * capacity * start.slots * start.fall_time


class ColdEngineRule:
    """Adds up the work that each cold engine is sent."""

    def __init__(self, findings: Findings) -> None:
        self._findings = findings
        self._engines: dict[str, _Engine] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """The handler of each kind of record."""
        return {
            RecordKind.ENGINE_STARTED: self._on_engine_started,
            RecordKind.ATTEMPT_RECEIVED: self._on_attempt,
            RecordKind.ENGINE_CRASHED: self._on_engine_crashed,
        }

    def _on_engine_started(self, record: Record) -> None:
        start = fields_of(record, EngineStartFields)
        self._engines[record.who] = _Engine(record.at, start, start.is_cold)

    def _on_attempt(self, record: Record) -> None:
        engine = self._engines.get(record.who)
        if engine is None or not engine.is_cold:
            return
        age = record.at - engine.started_at
        if age > engine.start.cold_time:
            engine.is_cold = False
            return
        self._findings.count(Rule.COLD_ENGINE)
        self._add_work(engine, record)
        total = sum(work.slot_seconds for work in engine.sent)
        budget = engine.budget(age)
        if total <= budget or engine.is_overloaded:
            return
        engine.is_overloaded = True
        self._findings.add_breach(
            Rule.COLD_ENGINE,
            record.at,
            f"{record.who}, cold for {age:.2f} s, was sent {total:.2f} slot-seconds within "
            f"{engine.start.fall_time:g} s; {budget:.2f} push it over",
        )

    def _add_work(self, engine: _Engine, record: Record) -> None:
        """Add the work of an attempt, and forget work older than `fall_time`."""
        engine.sent.append(_SentWork(record.at, fields_of(record, ReceivedAttemptFields).work))
        while engine.sent[0].at <= record.at - engine.start.fall_time:
            engine.sent.popleft()

    def _on_engine_crashed(self, record: Record) -> None:
        if not self._engines[record.who].is_overloaded:
            self._findings.add_breach(Rule.COLD_ENGINE, record.at, f"{record.who} fell over")
