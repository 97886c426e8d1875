"""How often a scenario hit each hard case of the streaming path, counted from the records."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from myrtlehub.records import Record

SIMULTANEOUS = 0.02  # seconds within which two events count as simultaneous
DEDUP_EDGE = 0.25  # share of the dedup window that counts as its edge
MICROSECONDS = 1e6  # in a second; histograms count whole microseconds
MAX_MICROSECONDS = 60_000_000
HISTOGRAM_DIGITS = 3
PERCENTILES = (50, 99)


class HardCase(StrEnum):
    """The cases, by their words in a verdict."""

    WRITER_LOST = "writer lost mid-stream, once-only"
    LEFT_BEFORE_FETCH = "client left after the read, before the fetch"
    LEFT_DURING_FETCH = "client left amid the fetch"
    LEFT_BEFORE_FIRST_TOKEN = "client left after the last piece, before the first token"
    READER_LOST = "reader lost amid a fetch"
    FULL_AFTER_FETCH = "full after the fetch"
    ANSWER_AND_TIMEOUT = "answer and time-out at once"
    LEFT_AT_END = "client left as the answer ended"
    DEDUP_WINDOW_EDGE = "tokened at the edge of its dedup window"
    MOVED_TO_OTHER_NODE = "client came back at another node"


class Attempted:
    """The last attempt of one idempotency key: when each kind of record was last seen, and where."""

    def __init__(self, traffic: str) -> None:
        self.traffic = traffic
        self.engine = ""  # that got it last
        self.reader = ""  # that has its read state
        self.unanswered_at = 0.0  # when the client got another answer than a generated one
        self._seen_at: dict[str, float] = {}

    def see(self, what: str, at: float) -> None:
        """Remember when a kind of record was seen."""
        self._seen_at[what] = at

    def has_seen(self, what: str) -> bool:
        """Return whether a kind of record was seen."""
        return what in self._seen_at

    def seen_at(self, what: str) -> float:
        """Return when a kind of record was last seen; 0 for never."""
        return self._seen_at.get(what, 0.0)

    @property
    def is_fetching(self) -> bool:
        """Whether a fetch has begun and not ended."""
        return self.seen_at("fetching") > self.seen_at("fetched")

    @property
    def is_generating(self) -> bool:
        """Whether its answer is being generated."""
        return self.seen_at("ran") > max(self.seen_at(what) for what in ("ended", "stopped", "broken"))


class CaseCounter:
    """Sees records in order of time; `counts` has each case."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter({case.value: 0 for case in HardCase})
        # From a client's leaving: until an engine stopped for it, until a read state of then was freed.
        self.until_stopped = _new_histogram()
        self.until_released = _new_histogram()
        self._traffic: dict[str, dict] = {}
        self._attempts: dict[str, Attempted] = {}  # by idempotency key
        self._key_of: dict[str, str] = {}  # by call and by sequence id
        self._node_of: dict[str, str] = {}  # by key: the node of its last attempt
        self._first_write: dict[str, float] = {}  # by key
        self._on_record: dict[str, Callable[[Record], None]] = {
            "terms": self._on_terms,
            "ask": self._on_ask,
            "killed": self._on_killed,
            "got": self._on_got,
            "fetch lost": self._on_fetch_lost,
        }
        self._on_attempt_record: dict[str, Callable[[Record, Attempted], None]] = {
            "left": self._on_left,
            "refused": self._on_refused,
            "broken": self._on_broken,
            "failed": self._on_failed,
            "ran": self._on_ran_or_ended,
            "ended": self._on_ran_or_ended,
            "final": self._on_final,
        }

    def see(self, record: Record) -> None:
        """Count one record."""
        if record.what in self._on_record:
            self._on_record[record.what](record)
        name = record.more.get("call", record.more.get("seq", ""))
        attempt = self._attempts.get(self._key_of.get(name, ""))
        if attempt is not None:
            self._see_of_attempt(record, attempt)

    def cancels(self) -> dict[str, dict[str, float]]:
        """Return how soon leaving reached the engines: counts, and seconds at percentiles."""
        histograms = {"stopped": self.until_stopped, "released": self.until_released}
        return {name: _summary(found) for name, found in histograms.items() if found.total_count}

    def _count(self, case: HardCase) -> None:
        self.counts[case.value] += 1

    # -- records of the whole scenario ------------------------------------------------------------

    def _on_terms(self, record: Record) -> None:
        self._traffic = {traffic["name"]: traffic for traffic in record.more["traffic"]}

    def _on_ask(self, record: Record) -> None:
        key = record.more["mark"]
        node = record.more["node"]
        if self._node_of.get(key, node) != node:
            self._count(HardCase.MOVED_TO_OTHER_NODE)
        self._node_of[key] = node
        self._key_of[record.more["call"]] = key
        self._attempts[key] = Attempted(record.more["traffic"])

    def _on_killed(self, record: Record) -> None:
        killed = record.more["who"]
        for attempt in self._attempts.values():
            if attempt.engine == killed and attempt.is_generating:
                self._count_lost_writer(attempt)
            if attempt.reader == killed and attempt.is_fetching:
                self._count(HardCase.READER_LOST)

    def _on_got(self, record: Record) -> None:
        key = record.more["mark"]
        self._key_of[record.more["seq"]] = key
        if not record.more["reads"]:
            self._count_dedup_edge(record.at, key, record.more["traffic"])

    def _on_fetch_lost(self, record: Record) -> None:
        self._count(HardCase.READER_LOST)

    # -- records of one attempt -------------------------------------------------------------------

    def _see_of_attempt(self, record: Record, attempt: Attempted) -> None:
        what = record.what
        if what in self._on_attempt_record:
            self._on_attempt_record[what](record, attempt)
        if attempt.has_seen("left"):
            self._measure_cancel(record, attempt)
        if what == "ended" and record.at - attempt.seen_at("left") < SIMULTANEOUS:
            self._count(HardCase.LEFT_AT_END)
        attempt.see(what, record.at)
        if what == "got":
            attempt.engine = record.who
        elif what == "held":
            attempt.reader = record.who

    def _on_left(self, record: Record, attempt: Attempted) -> None:
        if record.at - attempt.seen_at("ended") < SIMULTANEOUS:
            self._count(HardCase.LEFT_AT_END)
        elif attempt.has_seen("token") or attempt.has_seen("final"):
            return
        elif attempt.is_fetching:
            self._count(HardCase.LEFT_DURING_FETCH)
        elif attempt.has_seen("fetched"):
            self._count(HardCase.LEFT_BEFORE_FIRST_TOKEN)
        elif attempt.has_seen("held"):
            self._count(HardCase.LEFT_BEFORE_FETCH)

    def _on_refused(self, record: Record, attempt: Attempted) -> None:
        if attempt.seen_at("fetched") >= record.at - SIMULTANEOUS:
            self._count(HardCase.FULL_AFTER_FETCH)

    def _on_broken(self, record: Record, attempt: Attempted) -> None:
        self._count_lost_writer(attempt)

    def _on_failed(self, record: Record, attempt: Attempted) -> None:
        self._count_dedup_edge(record.at, self._key_of[record.more["seq"]], attempt.traffic)

    def _on_ran_or_ended(self, record: Record, attempt: Attempted) -> None:
        if record.at - attempt.unanswered_at < SIMULTANEOUS:
            self._count(HardCase.ANSWER_AND_TIMEOUT)

    def _on_final(self, record: Record, attempt: Attempted) -> None:
        if record.more["answer"] == "generated":
            return
        attempt.unanswered_at = record.at
        if record.at - max(attempt.seen_at("ran"), attempt.seen_at("ended")) < SIMULTANEOUS:
            self._count(HardCase.ANSWER_AND_TIMEOUT)

    def _measure_cancel(self, record: Record, attempt: Attempted) -> None:
        left_at = attempt.seen_at("left")
        microseconds = max(1, int((record.at - left_at) * MICROSECONDS))
        if record.what == "stopped":
            self.until_stopped.record_value(microseconds)
        elif record.what == "freed" and attempt.seen_at("held") < left_at:
            self.until_released.record_value(microseconds)

    # -- cases of several kinds of records --------------------------------------------------------

    def _count_dedup_edge(self, now: float, key: str, traffic: str) -> None:
        terms = self._traffic.get(traffic, {})
        if terms.get("repeats") != "tokened":
            return
        window = terms["dedup_window"]
        first = self._first_write.setdefault(key, now)
        if first != now and abs(now - first - window) < DEDUP_EDGE * window:
            self._count(HardCase.DEDUP_WINDOW_EDGE)

    def _count_lost_writer(self, attempt: Attempted) -> None:
        terms = self._traffic.get(attempt.traffic, {})
        if attempt.seen_at("ran") and terms.get("repeats") == "once-only":
            self._count(HardCase.WRITER_LOST)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, HISTOGRAM_DIGITS)


def _summary(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count, and seconds at percentiles."""
    figures: dict[str, float] = {"count": histogram.total_count}
    for percentile in PERCENTILES:
        seconds = histogram.get_value_at_percentile(percentile) / MICROSECONDS
        figures[f"p{percentile}"] = round(seconds, 4)
    return figures
