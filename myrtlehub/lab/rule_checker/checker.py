"""Checks records of a scenario against all rules."""

from collections.abc import Callable, Iterable

from myrtlehub.lab.rule_checker.client_calls import ClientCalls
from myrtlehub.lab.rule_checker.cold_engine_rule import ColdEngineRule
from myrtlehub.lab.rule_checker.drain_rule import DrainRule
from myrtlehub.lab.rule_checker.final_answer_rule import FinalAnswerRule
from myrtlehub.lab.rule_checker.findings import Breach, Findings, Rule
from myrtlehub.lab.rule_checker.read_state_rule import ReadStateRule
from myrtlehub.lab.rule_checker.scenario_facts import ScenarioFacts
from myrtlehub.lab.rule_checker.single_effect_rule import SingleEffectRule
from myrtlehub.records import Record


class RuleChecker:
    """Checks records one by one, in order of time, and collects the breaches of rules."""

    def __init__(self) -> None:
        self.now = 0.0  # seconds: the time of the last record
        self._findings = Findings()
        facts = ScenarioFacts()
        calls = ClientCalls()
        self._final_answers = FinalAnswerRule(self._findings, facts, calls)
        self._single_effects = SingleEffectRule(self._findings, facts, calls)
        self._read_states = ReadStateRule(self._findings, facts, calls)
        drains = DrainRule(self._findings, facts)
        cold_engines = ColdEngineRule(self._findings)
        self._handlers: dict[str, list[Callable[[Record], None]]] = {}
        # Facts and calls handle each record before the rules, which read them.
        sources = (facts, calls, drains, cold_engines, self._read_states)
        for source in (*sources, self._single_effects, self._final_answers):
            for kind, handler in source.handlers.items():
                self._handlers.setdefault(kind, []).append(handler)

    @property
    def breaches(self) -> list[Breach]:
        """All breaches found so far."""
        return self._findings.breaches

    @property
    def counts(self) -> dict[Rule, int]:
        """How many cases each rule was checked on."""
        return self._findings.counts

    @property
    def excused(self) -> int:
        """How many late answers were excused because the client's own process may have read them late."""
        return self._final_answers.excused

    def check(self, record: Record) -> None:
        """Check one record.

        Raises:
            InvalidRecordError: a field is missing or has a wrong type.
        """
        self.now = record.at
        for handler in self._handlers.get(record.what, ()):
            handler(record)

    def finish(self) -> list[Breach]:
        """Run the checks that need all records; return all breaches in order of time."""
        self._final_answers.finish(self.now)
        self._single_effects.finish()
        self._read_states.finish(self.now)
        self.breaches.sort(key=lambda breach: breach.at)
        return self.breaches


def check_records(records: Iterable[Record]) -> RuleChecker:
    """Check all records, in order of time."""
    checker = RuleChecker()
    for record in records:
        checker.check(record)
    checker.finish()
    return checker
