"""Rule 4: a cold engine is not sent so much work that it crashes."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.records import Record


class _SentWork(NamedTuple):
    at: float
    slot_seconds: float


@dataclass(slots=True)
class _Engine:
    """One incarnation of an engine."""

    started_at: float
    is_cold: bool
    slots: int
    cold_share: float
    cold_time: float
    fall_multiple: float
    fall_time: float
    is_overloaded: bool = False
    sent: deque[_SentWork] = field(default_factory=deque)

    def budget(self, age: float) -> float:
        """Return the slot-seconds, within `fall_time`, that it survives at this age."""
        capacity = self.cold_share + (1.0 - self.cold_share) * age / self.cold_time
        return self.fall_multiple * capacity * self.slots * self.fall_time


class ColdEngineRule:
    """Adds up the work that each cold engine is sent."""

    def __init__(self, findings: Findings) -> None:
        self._findings = findings
        self._engines: dict[str, _Engine] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """What is done on each kind of record."""
        return {"up": self._on_up, "got": self._on_got, "fell": self._on_fell}

    def _on_up(self, record: Record) -> None:
        fields = record.more
        self._engines[record.who] = _Engine(
            record.at,
            fields["cold"],
            fields["slots"],
            fields["cold_share"],
            fields["cold_time"],
            fields["fall_multiple"],
            fields["fall_time"],
        )

    def _on_got(self, record: Record) -> None:
        engine = self._engines.get(record.who)
        if engine is None or not engine.is_cold:
            return
        age = record.at - engine.started_at
        if age > engine.cold_time:
            engine.is_cold = False
            return
        self._findings.count(Rule.COLD_ENGINE)
        engine.sent.append(_SentWork(record.at, record.more["work"]))
        while engine.sent[0].at <= record.at - engine.fall_time:
            engine.sent.popleft()
        total = sum(work.slot_seconds for work in engine.sent)
        budget = engine.budget(age)
        if total <= budget or engine.is_overloaded:
            return
        engine.is_overloaded = True
        self._findings.add_breach(
            Rule.COLD_ENGINE,
            record.at,
            f"{record.who}, cold for {age:.2f} s, was sent {total:.2f} slot-seconds within "
            f"{engine.fall_time:g} s; {budget:.2f} push it over",
        )

    def _on_fell(self, record: Record) -> None:
        if not self._engines[record.who].is_overloaded:
            self._findings.add_breach(Rule.COLD_ENGINE, record.at, f"{record.who} fell over")
