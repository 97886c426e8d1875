"""How often a day really hit each hard case of the streaming path, counted on the records of the ends."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from myrtlehub.records import Record

NEAR = 0.02  # seconds within which two things count as at once
CASES = (
    "writer lost mid-stream, once-only",
    "client left after the read, before the fetch",
    "client left amid the fetch",
    "client left after the last piece, before the first token",
    "reader lost amid a fetch",
    "full after the fetch",
    "answer and time-out at once",
    "client left as the answer ended",
    "tokened at the edge of its dedup window",
    "client came back at another node",
)


class CaseCounter:
    """Sees records in order of time; `counts` has each case."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter(dict.fromkeys(CASES, 0))
        self.kinds: dict[str, dict] = {}
        self.tries: dict[str, dict] = {}  # by mark, of its last try: when each thing was last seen, and where
        self.mark_of: dict[str, str] = {}  # by call and by seq
        self.node_of: dict[str, str] = {}  # by mark: the node of its last try
        self.first_write: dict[str, float] = {}  # by mark
        # Seconds from a client's leaving: until an engine stopped for it, until a state held then was let go.
        self.stopped = HdrHistogram(1, 60_000_000, 3)
        self.released = HdrHistogram(1, 60_000_000, 3)

    def see(self, r: Record) -> None:
        """One record."""
        m = r.more
        if r.what == "terms":
            self.kinds = {t["name"]: t for t in m["traffic"]}
        elif r.what == "ask":
            if self.node_of.get(m["mark"], m["node"]) != m["node"]:
                self.counts[CASES[9]] += 1
            self.node_of[m["mark"]] = m["node"]
            self.mark_of[m["call"]] = m["mark"]
            self.tries[m["mark"]] = {"traffic": m["traffic"]}
        elif r.what == "killed":
            self._killed(r)
        elif r.what == "got":
            self.mark_of[m["seq"]] = m["mark"]
            if not m["reads"]:
                self._window(r.at, m)
        elif r.what == "fetch lost":
            self.counts[CASES[4]] += 1
        at = self.tries.get(self.mark_of.get(m.get("call", m.get("seq", "")), ""))
        if at is not None:
            self._thing(r, at)

    def _thing(self, r: Record, at: dict) -> None:
        if r.what == "left":
            self._left(r.at, at)
        elif r.what == "refused" and at.get("fetched", 0.0) >= r.at - NEAR:
            self.counts[CASES[5]] += 1
        elif r.what == "broken":
            self._lost(at)
        elif r.what == "failed":
            self._window(r.at, {"traffic": at["traffic"], "mark": self.mark_of[r.more["seq"]]})
        elif r.what in ("ran", "ended") and r.at - at.get("no answer", 0.0) < NEAR:
            self.counts[CASES[6]] += 1
        elif r.what == "final" and r.more["answer"] != "generated":
            at["no answer"] = r.at
            if r.at - max(at.get("ran", 0.0), at.get("ended", 0.0)) < NEAR:
                self.counts[CASES[6]] += 1
        if "left" in at:
            self._after(r, at)
        if r.what == "ended" and r.at - at.get("left", 0.0) < NEAR:
            self.counts[CASES[7]] += 1
        at[r.what] = r.at
        if r.what == "got":
            at["where"] = r.who
        elif r.what == "held":
            at["holder"] = r.who

    def _after(self, r: Record, at: dict) -> None:
        since = max(1, int((r.at - at["left"]) * 1e6))
        if r.what == "stopped":
            self.stopped.record_value(since)
        elif r.what == "freed" and at.get("held", 0.0) < at["left"]:
            self.released.record_value(since)

    def cancels(self) -> dict:
        """How soon leaving reached the engines: counts, and seconds at p50 and p99."""
        return {
            name: {
                "count": h.total_count,
                **{f"p{p}": round(h.get_value_at_percentile(p) / 1e6, 4) for p in (50, 99)},
            }
            for name, h in (("stopped", self.stopped), ("released", self.released))
            if h.total_count
        }

    def _left(self, now: float, at: dict) -> None:
        """The client went away: which stage was it at?"""
        if now - at.get("ended", 0.0) < NEAR:
            self.counts[CASES[7]] += 1
        elif "token" in at or "final" in at:
            return
        elif at.get("fetching", 0.0) > at.get("fetched", 0.0):
            self.counts[CASES[2]] += 1
        elif "fetched" in at:
            self.counts[CASES[3]] += 1
        elif "held" in at:
            self.counts[CASES[1]] += 1

    def _window(self, now: float, m: dict) -> None:
        row = self.kinds.get(m["traffic"], {})
        if row.get("repeats") != "tokened":
            return
        first = self.first_write.setdefault(m["mark"], now)
        if first != now and abs(now - first - row["dedup_window"]) < 0.25 * row["dedup_window"]:
            self.counts[CASES[8]] += 1

    def _lost(self, at: dict) -> None:
        if at.get("ran") and self.kinds.get(at["traffic"], {}).get("repeats") == "once-only":
            self.counts[CASES[0]] += 1

    def _killed(self, r: Record) -> None:
        for at in self.tries.values():
            over = max(at.get(x, 0.0) for x in ("ended", "stopped", "broken"))
            if at.get("where") == r.more["who"] and at.get("ran", 0.0) > over:
                self._lost(at)
            if at.get("holder") == r.more["who"] and at.get("fetching", 0.0) > at.get("fetched", 0.0):
                self.counts[CASES[4]] += 1
