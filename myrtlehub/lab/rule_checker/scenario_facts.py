"""What several rules need to know of a scenario: its terms, its engines, and which processes were killed."""

from myrtlehub.lab.rule_checker.findings import RecordHandlers
from myrtlehub.lab.rule_checker.stored_records import (
    DedupGroup,
    EngineLocation,
    KilledFields,
    RecordKind,
    TermsFields,
    TrafficTerms,
    fields_of,
)
from myrtlehub.records import Record

SLACK = 0.1  # seconds beyond the times of the rules, as busy processes share one machine
DEFAULT_RELEASE_TIME = 0.5  # seconds
UNKNOWN_LOCATION = EngineLocation("", 0, "")  # of an engine that the terms do not list


class ScenarioFacts:
    """Terms and kills, from the scenario's own records."""

    def __init__(self) -> None:
        self.release_time = DEFAULT_RELEASE_TIME  # seconds within which an idle read state must be released
        self.slack = SLACK
        self.answer_slack = 0.0  # seconds past its deadline up to which an answer counts as in time
        self.killed_at: dict[str, list[float]] = {}  # by node or engine
        self._traffic: dict[str, TrafficTerms] = {}
        self._locations: dict[str, EngineLocation] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """The handler of each kind of record."""
        return {RecordKind.TERMS: self._on_terms, RecordKind.PROCESS_KILLED: self._on_killed}

    def terms_of(self, traffic: str) -> TrafficTerms | None:
        """Return the terms of a traffic type; None for a type that the scenario does not have."""
        return self._traffic.get(traffic)

    def share_dedup_memory(self, terms: TrafficTerms, engine: str, other: str) -> bool:
        """Return whether two engines are in the same dedup group of a traffic type."""
        location = self._locations.get(engine, UNKNOWN_LOCATION)
        other_location = self._locations.get(other, UNKNOWN_LOCATION)
        if terms.dedup_group == DedupGroup.CELL:
            return location.cell == other_location.cell
        if terms.dedup_group == DedupGroup.ZONE:
            return location.zone == other_location.zone
        return True

    def _on_terms(self, record: Record) -> None:
        fields = fields_of(record, TermsFields)
        self._traffic = {terms.name: terms for terms in fields.traffic}
        self.release_time = fields.release_time
        self.slack = SLACK if fields.slack is None else fields.slack
        self.answer_slack = fields.answer_slack
        self._locations.update((location.address, location) for location in fields.engines)

    def _on_killed(self, record: Record) -> None:
        process = fields_of(record, KilledFields).process
        self.killed_at.setdefault(process, []).append(record.at)
