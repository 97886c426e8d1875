"""Checks by what endpoint list versions nodes routed, as seen from the engines.

The checker knows the digest of each version that was ever complete on a node's disk, and each attempt that an
engine received names the version by which it was sent; so what it finds does not rest on the node's own word.
"""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from myrtlehub.records import Record

REORDERED_WITHIN = 0.1  # seconds in which attempts of one moment may reach engines in either order
MICROSECONDS = 1e6  # in a second; histograms count whole microseconds
MAX_MICROSECONDS = 600_000_000
HISTOGRAM_DIGITS = 3
PERCENTILES = (50, 99)
NEVER = float("inf")


class _WrittenVersion(NamedTuple):
    """A version that was complete on a node's disk."""

    at: float
    serving: frozenset[str]


class _LastWrite(NamedTuple):
    """The last complete version of a node's file."""

    at: float
    digest: str
    is_untouched: bool  # it still lies there, and the node runs


class _Incarnation(NamedTuple):
    """One process of a node, by the first part of its sequence ids."""

    node: str
    prefix: str


class _Link(NamedTuple):
    """A node and an engine."""

    node: str
    engine: str


class EndpointListChecker:
    """Sees records in order of time: breaches of what nodes promise, and how soon they follow their lists."""

    def __init__(self, grace: float) -> None:
        """Make one; `grace`: seconds that rule 3 grants after a removal."""
        self.breaches: list[str] = []
        self.attempts = 0
        self.used = 0  # versions that were seen in use
        self._grace = grace
        self._written: dict[str, dict[str, _WrittenVersion]] = {}  # by node and digest
        self._last_write: dict[str, _LastWrite] = {}  # by node
        self._number: dict[_Incarnation, int] = {}  # of the version in use
        self._in_use: dict[str, str] = {}  # digest, by node
        self._in_use_since: dict[str, float] = {}  # time of the first attempt by it, by node
        self._removed_at: dict[_Link, float] = {}  # when a list without the engine was written
        self._last_sent_at: dict[_Link, float] = {}
        self._until_first_send = _new_histogram()  # from a version on disk to the first attempt by it
        self._until_last_send = _new_histogram()  # from a removal on disk to the last attempt there

    def see(self, record: Record) -> list[Record]:
        """Check one record; return what follows from it for rule 3, as records "told"."""
        if record.what == "wrote":
            self._on_written(record)
        elif record.what == "unwrote":
            self._mark_touched(record.more["node"])
        elif record.what == "killed":
            self._mark_touched(record.more["who"])  # a node that is down follows nothing
        elif record.what == "got" and "-" in record.more.get("list", ""):
            return self._on_attempt(record)
        return []

    def finish(self, now: float) -> None:
        """Check that every node routes by what was last complete on its disk."""
        for link in list(self._removed_at):
            self._measure_removal(link)
        for node, last in self._last_write.items():
            if last.is_untouched and self._in_use.get(node) != last.digest:
                self.breaches.append(
                    f"{node} ended by version {self._in_use.get(node)}, not by {last.digest}, "
                    f"written {now - last.at:.1f} s before the end"
                )

    def figures(self) -> dict:
        """Return counts, breaches, and seconds at percentiles."""
        return {
            "attempts": self.attempts,
            "versions_used": self.used,
            "breaches": self.breaches,
            "first_send": _summary(self._until_first_send),
            "last_send": _summary(self._until_last_send),
        }

    def _on_written(self, record: Record) -> None:
        node = record.more["node"]
        digest = record.more["digest"]
        version = _WrittenVersion(record.at, frozenset(record.more["serving"]))
        self._written.setdefault(node, {}).setdefault(digest, version)
        self._last_write[node] = _LastWrite(record.at, digest, True)

    def _mark_touched(self, node: str) -> None:
        if node in self._last_write:
            self._last_write[node] = self._last_write[node]._replace(is_untouched=False)

    def _on_attempt(self, record: Record) -> list[Record]:
        self.attempts += 1
        fields = record.more
        node = fields["node"]
        number, digest = fields["list"].split("-")
        version = self._written.get(node, {}).get(digest)
        if version is None:
            self.breaches.append(
                f"{node} sent {fields['seq']} by version {fields['list']}, never whole on its disk"
            )
            return []
        incarnation = _Incarnation(node, fields["seq"].rsplit(".", 1)[0])
        number_in_use = self._number.get(incarnation, 0)
        is_new = self._in_use.get(node) != digest
        if is_new and int(number) < number_in_use:
            if record.at - self._in_use_since.get(node, 0.0) > REORDERED_WITHIN:
                self.breaches.append(f"{node} went back from version {number_in_use} to {number}")
            return []
        told = []
        if is_new:
            self._number[incarnation] = max(int(number), number_in_use)
            told = self._start_use(record.at, node, digest, version)
        # Only now: what goes by a newer list is no last attempt by the older.
        self._last_sent_at[_Link(node, record.who)] = record.at
        return told

    def _start_use(self, at: float, node: str, digest: str, version: _WrittenVersion) -> list[Record]:
        """Take the first attempt by a version: from here on its node knows what it says."""
        self.used += 1
        before: frozenset[str] = frozenset()
        if node in self._in_use:
            before = self._written[node][self._in_use[node]].serving
        removed = before - version.serving
        added = version.serving - before
        last = self._last_write[node]
        if last.digest == digest and last.is_untouched:
            self._until_first_send.record_value(_microseconds(at - last.at))
            self._removed_at.update((_Link(node, engine), last.at) for engine in removed)
        for engine in added:
            self._measure_removal(_Link(node, engine))
        self._in_use[node] = digest
        self._in_use_since[node] = at
        return [
            *[self._told(at, node, engine, "gone") for engine in sorted(removed)],
            *[self._told(at, node, engine, "serving") for engine in sorted(added)],
        ]

    def _told(self, at: float, node: str, engine: str, state: str) -> Record:
        fields = {"node": node, "engine": engine, "state": state, "grace": self._grace}
        return Record(at, "list", "told", fields)

    def _measure_removal(self, link: _Link) -> None:
        removed_at = self._removed_at.pop(link, NEVER)
        last_sent_at = self._last_sent_at.get(link, 0.0)
        if last_sent_at > removed_at:
            self._until_last_send.record_value(_microseconds(last_sent_at - removed_at))


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, HISTOGRAM_DIGITS)


def _microseconds(seconds: float) -> int:
    return max(1, int(seconds * MICROSECONDS))


def _summary(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count, and seconds at percentiles where there are any."""
    figures: dict[str, float] = {"count": histogram.total_count}
    if histogram.total_count:
        for percentile in PERCENTILES:
            seconds = histogram.get_value_at_percentile(percentile) / MICROSECONDS
            figures[f"p{percentile}"] = round(seconds, 4)
    return figures
