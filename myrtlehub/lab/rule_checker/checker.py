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
    """Sees records one by one, in order of time; `breaches` are what it found."""

    def __init__(self) -> None:
        self.now = 0.0
        self._findings = Findings()
        facts = ScenarioFacts()
        calls = ClientCalls()
        self._final_answers = FinalAnswerRule(self._findings, facts, calls)
        self._single_effects = SingleEffectRule(self._findings, facts, calls)
        self._read_states = ReadStateRule(self._findings, facts, calls)
        drains = DrainRule(self._findings, facts)
        cold_engines = ColdEngineRule(self._findings)
        self._handlers: dict[str, list[Callable[[Record], None]]] = {}
        # Facts and calls come first, as the rules read them.
        sources = (facts, calls, drains, cold_engines, self._read_states)
        for source in (*sources, self._single_effects, self._final_answers):
            for what, handler in source.handlers.items():
                self._handlers.setdefault(what, []).append(handler)

    @property
    def breaches(self) -> list[Breach]:
        """What broke the rules."""
        return self._findings.breaches

    @property
    def counts(self) -> dict[Rule, int]:
        """How many things each rule was checked on."""
        return self._findings.counts

    @property
    def excused(self) -> int:
        """How many answers may be late only because the client's own process was."""
        return self._final_answers.excused

    def see(self, record: Record) -> None:
        """Check one record."""
        self.now = record.at
        for handler in self._handlers.get(record.what, ()):
            handler(record)

    def finish(self) -> list[Breach]:
        """Check what can be said only at the end; return all breaches, by time."""
        self._final_answers.finish(self.now)
        self._single_effects.finish()
        self._read_states.finish(self.now)
        self.breaches.sort(key=lambda breach: breach.at)
        return self.breaches


def check_records(records: Iterable[Record]) -> RuleChecker:
    """Check all records, in order of time."""
    checker = RuleChecker()
    for record in records:
        checker.see(record)
    checker.finish()
    return checker
