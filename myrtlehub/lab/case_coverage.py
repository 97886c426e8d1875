"""How often a scenario hit each hard case of the streaming path, counted from the records."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from myrtlehub.lab.latency_histogram import LatencyHistogram
from myrtlehub.records import Record

SIMULTANEOUS = 0.02  # seconds within which two events count as simultaneous
DEDUP_EDGE = 0.25  # fraction of the dedup window, before and after its end, that counts as its edge
MAX_CANCEL_SECONDS = 60.0  # that the histograms of cancellations can hold
NEVER = float("-inf")  # seconds; earlier than any record
AT_MOST_ONCE = "once-only"  # retry semantics, as settings name them
IDEMPOTENCY_KEY = "tokened"


class HardCase(StrEnum):
    """A hard case; the values are the names in a verdict."""

    WRITER_LOST = "writer lost mid-stream, once-only"
    LEFT_BEFORE_FETCH = "client left after the read, before the fetch"
    LEFT_DURING_FETCH = "client left during the fetch"
    LEFT_BEFORE_FIRST_TOKEN = "client left after the last piece, before the first token"
    READER_LOST = "reader lost during a fetch"
    FULL_AFTER_FETCH = "full after the fetch"
    ANSWER_AND_TIMEOUT = "answer and time-out at once"
    LEFT_AT_END = "client left as the answer ended"
    DEDUP_WINDOW_EDGE = "tokened at the edge of its dedup window"
    MOVED_TO_OTHER_NODE = "client came back at another node"


class _RetryTerms(NamedTuple):
    """What the settings of a traffic type say about retries."""

    semantics: str
    dedup_window: float  # seconds


class AttemptHistory:
    """The last attempt of one idempotency key: when each kind of record was last seen, and where."""

    def __init__(self, traffic: str) -> None:
        self.traffic = traffic
        self.engine: str | None = None  # the engine that received the last attempt
        self.reader: str | None = None  # the reader that holds the read state
        self.unanswered_at = NEVER  # when the client got a final answer other than a generated one
        self._seen_at: dict[str, float] = {}

    def see(self, what: str, at: float) -> None:
        """Remember when a kind of record was seen."""
        self._seen_at[what] = at

    def has_seen(self, what: str) -> bool:
        """Return whether a kind of record was seen."""
        return what in self._seen_at

    def seen_at(self, what: str) -> float:
        """Return when a kind of record was last seen, or NEVER."""
        return self._seen_at.get(what, NEVER)

    @property
    def is_fetching(self) -> bool:
        """Whether a fetch has begun and not ended."""
        return self.seen_at("fetching") > self.seen_at("fetched")

    @property
    def is_generating(self) -> bool:
        """Whether its answer is being generated."""
        return self.seen_at("ran") > max(self.seen_at(what) for what in ("ended", "stopped", "broken"))


class CaseCounter:
    """Counts hard cases in records that it is given in order of time; `counts` has each case."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter({case.value: 0 for case in HardCase})
        # Seconds from a client's disconnect until an engine stopped its attempt, and until a reader freed the
        # read state that it held at the disconnect.
        self.until_stopped = LatencyHistogram(MAX_CANCEL_SECONDS)
        self.until_released = LatencyHistogram(MAX_CANCEL_SECONDS)
        self._retry_terms: dict[str, _RetryTerms] = {}  # by traffic type
        self._attempts: dict[str, AttemptHistory] = {}  # by idempotency key
        self._key_of: dict[str, str] = {}  # idempotency key, by call and by sequence id
        self._node_of: dict[str, str] = {}  # node of the last call, by idempotency key
        self._first_write_at: dict[str, float] = {}  # by idempotency key
        self._on_record: dict[str, Callable[[Record], None]] = {
            "terms": self._on_terms,
            "ask": self._on_ask,
            "killed": self._on_killed,
            "got": self._on_got,
            "fetch lost": self._on_fetch_lost,
        }
        self._on_attempt_record: dict[str, Callable[[Record, AttemptHistory], None]] = {
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
        """Return how soon disconnects took effect at engines: counts, and seconds at percentiles."""
        histograms = {"stopped": self.until_stopped, "released": self.until_released}
        return {name: histogram.figures() for name, histogram in histograms.items() if histogram.count}

    def _count(self, case: HardCase) -> None:
        self.counts[case.value] += 1

    # -- records of the whole scenario ------------------------------------------------------------

    def _on_terms(self, record: Record) -> None:
        self._retry_terms = {
            traffic["name"]: _RetryTerms(traffic["repeats"], traffic["dedup_window"])
            for traffic in record.more["traffic"]
        }

    def _on_ask(self, record: Record) -> None:
        key = record.more["mark"]
        node = record.more["node"]
        if self._node_of.get(key, node) != node:
            self._count(HardCase.MOVED_TO_OTHER_NODE)
        self._node_of[key] = node
        self._key_of[record.more["call"]] = key
        self._attempts[key] = AttemptHistory(record.more["traffic"])

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

    def _see_of_attempt(self, record: Record, attempt: AttemptHistory) -> None:
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

    def _on_left(self, record: Record, attempt: AttemptHistory) -> None:
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

    def _on_refused(self, record: Record, attempt: AttemptHistory) -> None:
        if attempt.seen_at("fetched") >= record.at - SIMULTANEOUS:
            self._count(HardCase.FULL_AFTER_FETCH)

    def _on_broken(self, record: Record, attempt: AttemptHistory) -> None:
        self._count_lost_writer(attempt)

    def _on_failed(self, record: Record, attempt: AttemptHistory) -> None:
        self._count_dedup_edge(record.at, self._key_of[record.more["seq"]], attempt.traffic)

    def _on_ran_or_ended(self, record: Record, attempt: AttemptHistory) -> None:
        if record.at - attempt.unanswered_at < SIMULTANEOUS:
            self._count(HardCase.ANSWER_AND_TIMEOUT)

    def _on_final(self, record: Record, attempt: AttemptHistory) -> None:
        if record.more["answer"] == "generated":
            return
        attempt.unanswered_at = record.at
        if record.at - max(attempt.seen_at("ran"), attempt.seen_at("ended")) < SIMULTANEOUS:
            self._count(HardCase.ANSWER_AND_TIMEOUT)

    def _measure_cancel(self, record: Record, attempt: AttemptHistory) -> None:
        left_at = attempt.seen_at("left")
        if record.what == "stopped":
            self.until_stopped.record(record.at - left_at)
        elif record.what == "freed" and attempt.seen_at("held") < left_at:
            self.until_released.record(record.at - left_at)

    # -- cases that several kinds of records show -------------------------------------------------

    def _count_dedup_edge(self, now: float, key: str, traffic: str) -> None:
        terms = self._retry_terms.get(traffic)
        if terms is None or terms.semantics != IDEMPOTENCY_KEY:
            return
        first = self._first_write_at.setdefault(key, now)
        if first != now and abs(now - first - terms.dedup_window) < DEDUP_EDGE * terms.dedup_window:
            self._count(HardCase.DEDUP_WINDOW_EDGE)

    def _count_lost_writer(self, attempt: AttemptHistory) -> None:
        terms = self._retry_terms.get(attempt.traffic)
        if attempt.has_seen("ran") and terms is not None and terms.semantics == AT_MOST_ONCE:
            self._count(HardCase.WRITER_LOST)
