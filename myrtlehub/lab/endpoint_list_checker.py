"""Checks by which endpoint list versions nodes routed, as seen from the engines.

The checker knows the digest of each version that was ever complete on a node's disk, and each attempt that an
engine received names the version by which it was sent. The findings therefore do not depend on what the node
itself reports.
"""

from typing import NamedTuple

from myrtlehub.lab.latency_histogram import LatencyHistogram
from myrtlehub.lab.verdict_format import EndpointListFigures
from myrtlehub.records import Record

REORDERED_WITHIN = 0.1  # seconds in which attempts of one moment may reach engines in either order
MAX_PROPAGATION_SECONDS = 600.0  # that the histograms can hold
LONG_AGO = float("-inf")  # seconds; earlier than any record


class _WrittenVersion(NamedTuple):
    """A version that was complete on a node's disk."""

    at: float
    serving: frozenset[str]


class _LastWrite(NamedTuple):
    """The last complete version of a node's file."""

    at: float
    digest: str
    is_unchanged: bool  # nothing was written or deleted since, and the node was not killed


class _Incarnation(NamedTuple):
    """One process of a node, identified by the first part of its sequence ids."""

    node: str
    prefix: str


class _Route(NamedTuple):
    """A node and an engine to which it sends."""

    node: str
    engine: str


class EndpointListChecker:
    """Finds violations, and how soon nodes follow their lists, in records given in order of time.

    A node violates its contract if it routes by a version that was never complete on its disk, goes back to
    an older version, or ends by another version than the last complete one.
    """

    def __init__(self, grace: float) -> None:
        """Make a checker; rule 3 allows attempts for `grace` seconds after a removal."""
        self.violations: list[str] = []
        self.attempts = 0
        self.versions_used = 0
        self._grace = grace
        self._written: dict[str, dict[str, _WrittenVersion]] = {}  # by node and digest
        self._last_write: dict[str, _LastWrite] = {}  # by node
        self._number: dict[_Incarnation, int] = {}  # highest number of a version that was used
        self._in_use: dict[str, str] = {}  # digest, by node
        self._in_use_since: dict[str, float] = {}  # time of the first attempt by it, by node
        self._removed_at: dict[_Route, float] = {}  # when a list without the engine was written
        self._last_sent_at: dict[_Route, float] = {}
        # From a version on disk to the first attempt by it, and from a removal to the last attempt there.
        self._until_first_send = LatencyHistogram(MAX_PROPAGATION_SECONDS)
        self._until_last_send = LatencyHistogram(MAX_PROPAGATION_SECONDS)

    def see(self, record: Record) -> list[Record]:
        """Check one record; return a record of kind "told" for each change that its node has just read."""
        if record.what == "wrote":
            self._on_written(record)
        elif record.what == "unwrote":
            self._mark_changed(record.more["node"])
        elif record.what == "killed":
            self._mark_changed(record.more["who"])  # a node that is down follows no list
        elif record.what == "got" and "-" in record.more.get("list", ""):
            return self._on_attempt(record)
        return []

    def finish(self, now: float) -> None:
        """Check that every node routes by what was last complete on its disk."""
        for route in list(self._removed_at):
            self._measure_removal(route)
        for node, last in self._last_write.items():
            if last.is_unchanged and self._in_use.get(node) != last.digest:
                self.violations.append(
                    f"{node} ended by version {self._in_use.get(node)}, not by {last.digest}, "
                    f"written {now - last.at:.1f} s before the end"
                )

    def figures(self) -> EndpointListFigures:
        """Return counts, violations, and seconds at percentiles."""
        return {
            "attempts": self.attempts,
            "versions_used": self.versions_used,
            "breaches": self.violations,
            "first_send": self._until_first_send.figures(),
            "last_send": self._until_last_send.figures(),
        }

    def _on_written(self, record: Record) -> None:
        node = record.more["node"]
        digest = record.more["digest"]
        version = _WrittenVersion(record.at, frozenset(record.more["serving"]))
        self._written.setdefault(node, {}).setdefault(digest, version)
        self._last_write[node] = _LastWrite(record.at, digest, True)

    def _mark_changed(self, node: str) -> None:
        if node in self._last_write:
            self._last_write[node] = self._last_write[node]._replace(is_unchanged=False)

    def _on_attempt(self, record: Record) -> list[Record]:
        self.attempts += 1
        fields = record.more
        node = fields["node"]
        number, digest = fields["list"].split("-")
        version = self._written.get(node, {}).get(digest)
        if version is None:
            self.violations.append(
                f"{node} sent {fields['seq']} by version {fields['list']}, never whole on its disk"
            )
            return []
        incarnation = _Incarnation(node, fields["seq"].rsplit(".", 1)[0])
        number_in_use = self._number.get(incarnation, 0)
        is_new = self._in_use.get(node) != digest
        if is_new and int(number) < number_in_use:
            if record.at - self._in_use_since.get(node, LONG_AGO) > REORDERED_WITHIN:
                self.violations.append(f"{node} went back from version {number_in_use} to {number}")
            return []
        notifications = []
        if is_new:
            self._number[incarnation] = max(int(number), number_in_use)
            notifications = self._start_use(record.at, node, digest, version)
        # After `_start_use`, which measures removals: this attempt is not the last by the former version.
        self._last_sent_at[_Route(node, record.who)] = record.at
        return notifications

    def _start_use(self, at: float, node: str, digest: str, version: _WrittenVersion) -> list[Record]:
        """Record the first attempt by a version: from now on its node is known to have read it."""
        self.versions_used += 1
        before: frozenset[str] = frozenset()
        if node in self._in_use:
            before = self._written[node][self._in_use[node]].serving
        removed = before - version.serving
        added = version.serving - before
        last = self._last_write[node]
        if last.digest == digest and last.is_unchanged:
            self._until_first_send.record(at - last.at)
            self._removed_at.update((_Route(node, engine), last.at) for engine in removed)
        for engine in added:
            self._measure_removal(_Route(node, engine))
        self._in_use[node] = digest
        self._in_use_since[node] = at
        return [
            *[self._notification(at, node, engine, "gone") for engine in sorted(removed)],
            *[self._notification(at, node, engine, "serving") for engine in sorted(added)],
        ]

    def _notification(self, at: float, node: str, engine: str, state: str) -> Record:
        fields = {"node": node, "engine": engine, "state": state, "grace": self._grace}
        return Record(at, "list", "told", fields)

    def _measure_removal(self, route: _Route) -> None:
        removed_at = self._removed_at.pop(route, None)
        last_sent_at = self._last_sent_at.get(route, LONG_AGO)
        if removed_at is not None and last_sent_at > removed_at:
            self._until_last_send.record(last_sent_at - removed_at)
