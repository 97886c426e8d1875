"""Rule 3: a node that was told that an engine drains sends it nothing new after the grace."""

from typing import NamedTuple

from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.scenario_facts import ScenarioFacts
from myrtlehub.records import Record

SERVING = "serving"  # the state of the endpoint list in which an engine gets new attempts


class _Told(NamedTuple):
    node: str
    engine: str


class DrainRule:
    """Checks each attempt against what its node was told of the engine."""

    def __init__(self, findings: Findings, facts: ScenarioFacts) -> None:
        self._findings = findings
        self._facts = facts
        self._nothing_new_after: dict[_Told, float] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """What is done on each kind of record."""
        return {"told": self._on_told, "killed": self._on_killed, "got": self._on_got}

    def _on_told(self, record: Record) -> None:
        fields = record.more
        told = _Told(fields["node"], fields["engine"])
        if fields["state"] == SERVING:
            self._nothing_new_after.pop(told, None)
        else:
            self._nothing_new_after.setdefault(told, record.at + fields["grace"])

    def _on_killed(self, record: Record) -> None:
        """Forget what a node was told: its next incarnation knows only what it is told anew."""
        for told in [told for told in self._nothing_new_after if told.node == record.more["who"]]:
            del self._nothing_new_after[told]

    def _on_got(self, record: Record) -> None:
        self._findings.count(Rule.DRAIN)
        fields = record.more
        limit = self._nothing_new_after.get(_Told(fields["node"], record.who))
        if limit is not None and record.at > limit + self._facts.slack:
            self._findings.add_breach(
                Rule.DRAIN,
                record.at,
                f"{fields['seq']} sent by {fields['node']} to {record.who}, {record.at - limit:.3f} s past "
                "the grace of its drain",
            )
