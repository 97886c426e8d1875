"""What all rules need to know of a scenario: its terms, its engines, and which processes were killed."""

from dataclasses import dataclass
from enum import StrEnum

from myrtlehub.lab.rule_checker.findings import RecordHandlers
from myrtlehub.records import Record

SLACK = 0.1  # seconds granted to busy processes on one machine, on top of what the rules grant
DEFAULT_RELEASE_TIME = 0.5  # seconds


class RetrySemantics(StrEnum):
    """What a second execution does, by the words of traffic types."""

    IDEMPOTENT = "repeatable"
    KEYED = "tokened"
    AT_MOST_ONCE = "once-only"


class DedupGroup(StrEnum):
    """Engines that share a memory of idempotency keys, by the words of traffic types."""

    ALL = "all"
    CELL = "cell"
    ZONE = "zone"


@dataclass(frozen=True, slots=True)
class TrafficTerms:
    """What is known of a traffic type; a type that is not known has no terms."""

    retry_semantics: RetrySemantics | None = None
    dedup_group: DedupGroup | None = None
    dedup_window: float = 0.0


@dataclass(frozen=True, slots=True)
class EnginePlace:
    """Where an engine is."""

    cell: int = 0
    zone: str = ""


class ScenarioFacts:
    """Terms and kills, from the scenario's own records."""

    def __init__(self) -> None:
        self.release_time = DEFAULT_RELEASE_TIME  # within which a read state has to be released
        self.slack = SLACK
        self.answer_slack = 0.0  # past its time in which an answer still counts
        self.killed_at: dict[str, list[float]] = {}  # by node or engine
        self._traffic: dict[str, TrafficTerms] = {}
        self._places: dict[str, EnginePlace] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """What is done on each kind of record."""
        return {"terms": self._on_terms, "killed": self._on_killed}

    def terms_of(self, traffic: str) -> TrafficTerms:
        """Return the terms of a traffic type."""
        return self._traffic.get(traffic, TrafficTerms())

    def share_dedup_memory(self, terms: TrafficTerms, engine: str, other: str) -> bool:
        """Return whether two engines are in the same dedup group of a traffic type."""
        place = self._places.get(engine, EnginePlace())
        other_place = self._places.get(other, EnginePlace())
        if terms.dedup_group == DedupGroup.CELL:
            return place.cell == other_place.cell
        if terms.dedup_group == DedupGroup.ZONE:
            return place.zone == other_place.zone
        return True

    def _on_terms(self, record: Record) -> None:
        fields = record.more
        self._traffic = {row["name"]: _terms_from(row) for row in fields["traffic"]}
        self.release_time = fields["let_go"]
        self.slack = fields.get("slack", SLACK)
        self.answer_slack = fields.get("answer_slack", 0.0)
        for address, cell, zone in fields["engines"]:
            self._places[address] = EnginePlace(cell, zone)

    def _on_killed(self, record: Record) -> None:
        self.killed_at.setdefault(record.more["who"], []).append(record.at)


def _terms_from(row: dict) -> TrafficTerms:
    return TrafficTerms(
        RetrySemantics(row["repeats"]),
        DedupGroup(row.get("dedup_group", DedupGroup.ALL)),
        row.get("dedup_window", 0.0),
    )
