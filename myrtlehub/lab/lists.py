"""Files of engines as hasty hands write them, and what their nodes then routed by, seen from the engines.

`ListWriter` keeps one node's files: bursts of versions, torn writes that lie for a while, lists that parse
and are wrong, files deleted and written anew. `ListWatch` sees records in order of time. It knows the digest
of each version that was ever whole on a node's disk, and each attempt that an engine got names the version by
which it was sent; so what it finds does not rest on the node's own word.
"""

from collections.abc import Callable
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram
from ruamel.yaml import YAML
from ruamel.yaml.compat import StringIO

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.lab.scenario_file import ListFilesConfig
from myrtlehub.membership.list_version import make_version
from myrtlehub.records import Record, Recorder

SEEN = 16  # letters of a digest that go with an attempt


def text_of(rows: list[dict]) -> str:
    """A file of engines."""
    out = StringIO()
    YAML(typ="safe").dump({"engines": rows}, out)
    return out.getvalue() + "end: yes\n"


def broken(rows: list[dict], how: int) -> str:
    """The same list in a way that parses and cannot be routed by."""
    if how == 0:
        return text_of([r for r in rows if r["kind"] != "writer"])
    if how == 1:
        return text_of([*rows, {**rows[0], "cell": rows[0]["cell"] + 1}])
    if how == 2:
        return text_of([{**rows[0], "kind": "raeder"}, *rows[1:]])
    return text_of(rows).replace("cell:", "sell:", 1)


class ListWriter:
    """Writes one node's file. `rows()` gives the list as it stands."""

    def __init__(
        self,
        node: str,
        folder: Path,
        group: ListFilesConfig,
        clock: object,
        random: Random,
        recorder: Recorder,
        rows: Callable[[], list[dict]],
    ) -> None:
        self.node, self.path, self.group, self.clock = node, folder / "engines.yaml", group, clock
        self.random, self.recorder, self.rows = random, recorder, rows
        self.versions = self.torn = self.wrong = self.deleted = 0
        self.stopped = False
        folder.mkdir(exist_ok=True)

    def start(self) -> None:
        """The first version at once, the rest by chance."""
        self._whole(True)
        self.clock.callLater(self._pause(), self._burst)

    def stop(self) -> None:
        """One more version, and then no more."""
        self.stopped = True
        self._whole(False)

    def _pause(self) -> float:
        return self.random.expovariate(1.0 / self.group.every)

    def _burst(self) -> None:
        if self.stopped:
            return
        count = self.random.randint(1, self.group.burst)
        at = 0.0
        for _ in range(count):
            self.clock.callLater(at, self._step)
            at += self.random.random() * 0.02
        self.clock.callLater(at + self._pause(), self._burst)

    def _step(self) -> None:
        """One write; what is bad lies until the next, or for a while."""
        if self.stopped:
            return
        chance, g = self.random.random(), self.group
        if chance < g.torn:
            self.torn += 1
            data = text_of(self._drawn()).encode()
            self._write(data[: self.random.randrange(len(data) - 4)], "torn")
        elif chance < g.torn + g.wrong:
            self.wrong += 1
            self._write(broken(self._drawn(), self.random.randrange(4)).encode(), "wrong")
        elif chance < g.torn + g.wrong + g.deleted:
            self.deleted += 1
            self.recorder.note("unwrote", node=self.node, how="deleted")
            self.path.unlink(missing_ok=True)
        else:
            self._whole(self.random.random() < 0.5)

    def _drawn(self) -> list[dict]:
        rows = [{**r, "weight": self.random.randint(1, 9)} for r in self.rows()]
        if self.random.random() < self.group.drains:
            kinds = [r["kind"] + str(r["cell"]) for r in rows if r["state"] == "serving"]
            spare = [
                r for r in rows if r["state"] == "serving" and kinds.count(r["kind"] + str(r["cell"])) > 1
            ]
            if spare:
                self.random.choice(spare)["weight"] = 0
        return rows

    def _whole(self, rename: bool) -> None:
        self.versions += 1
        rows = self._drawn()
        version = make_version(0, [EndpointConfig(**r) for r in rows], "", 0.0)
        self.recorder.note(
            "wrote",
            node=self.node,
            digest=version.digest[:SEEN],
            serving=[a for a, e in version.endpoints.items() if e.state == "serving"],
        )
        data = text_of(rows).encode()
        if rename:
            other = self.path.with_name(".engines.new")
            other.write_bytes(data)
            other.rename(self.path)
        else:
            self.path.write_bytes(data)

    def _write(self, data: bytes, how: str) -> None:
        self.recorder.note("unwrote", node=self.node, how=how)
        self.path.write_bytes(data)


class ListWatch:
    """Breaches of what nodes promise of their lists, and how soon they follow them."""

    def __init__(self, grace: float) -> None:
        self.grace = grace
        self.breaches: list[str] = []
        self.wrote: dict[str, dict[str, tuple[float, frozenset[str]]]] = {}  # node: digest: when, serving
        self.last: dict[str, tuple[float, str, bool]] = {}  # node: when, digest, whether it still lies there
        self.number: dict[tuple[str, str], int] = {}  # by node and run
        self.in_use: dict[str, str] = {}  # node: digest
        self.since: dict[str, float] = {}  # node: of the first send by it
        self.removed: dict[tuple[str, str], float] = {}  # node, engine: when a list without it was written
        self.sent: dict[tuple[str, str], float] = {}  # node, engine: the last send
        self.first_send = HdrHistogram(1, 600_000_000, 3)  # from a version on disk to the first send by it
        self.last_send = HdrHistogram(1, 600_000_000, 3)  # from a removal on disk to the last send there
        self.attempts = self.used = 0

    def see(self, r: Record) -> list[Record]:
        """One record; returns what follows from it for rule 3, as records "told"."""
        if r.what == "wrote":
            self._wrote(r.at, r.more["node"], r.more["digest"], frozenset(r.more["serving"]))
        elif r.what == "unwrote" and r.more["node"] in self.last:
            at, digest, _ = self.last[r.more["node"]]
            self.last[r.more["node"]] = (at, digest, False)
        elif (r.what == "killed" and r.more["who"] in self.last) or (
            r.what == "killed" and r.more["who"] in self.last
        ):
            at, digest, _ = self.last[r.more["who"]]  # a node that is down follows nothing
            self.last[r.more["who"]] = (at, digest, False)
        elif r.what == "got" and "-" in r.more.get("list", ""):
            return self._got(r)
        return []

    def _wrote(self, at: float, node: str, digest: str, serving: frozenset[str]) -> None:
        before = self.wrote.setdefault(node, {})
        before.setdefault(digest, (at, serving))
        self.last[node] = (at, digest, True)

    def _removal_over(self, key: tuple[str, str]) -> None:
        at = self.removed.pop(key, float("inf"))
        if self.sent.get(key, 0.0) > at:
            self.last_send.record_value(max(1, int((self.sent[key] - at) * 1e6)))

    def _got(self, r: Record) -> list[Record]:
        node, engine, m = r.more["node"], r.who, r.more
        number, digest = m["list"].split("-")
        run = node, m["seq"].rsplit(".", 1)[0]
        self.attempts += 1
        known = self.wrote.get(node, {}).get(digest)
        if known is None:
            self.breaches.append(f"{node} sent {m['seq']} by version {m['list']}, never whole on its disk")
            return []
        if int(number) < self.number.get(run, 0) and self.in_use.get(node) != digest:
            # two attempts of one moment may reach their engines in either order
            if r.at - self.since.get(node, 0.0) > 0.1:
                self.breaches.append(f"{node} went back from version {self.number[run]} to {number}")
            return []
        told = []
        if self.in_use.get(node) != digest:
            self.number[run] = max(int(number), self.number.get(run, 0))
            told = self._newly_used(r.at, node, digest, known)
        self.sent[node, engine] = r.at  # after that: what goes by a newer list is no last send of the older
        return told

    def _newly_used(self, at: float, node: str, digest: str, known: tuple) -> list[Record]:
        """The first send by a version: from here on its node knows what it says."""
        self.used += 1
        written, serving = known
        was = self.wrote[node][self.in_use[node]][1] if node in self.in_use else frozenset()
        if self.last[node][1] == digest and self.last[node][2]:  # it has lain there untouched since
            self.first_send.record_value(max(1, int((at - self.last[node][0]) * 1e6)))
            self.removed.update(((node, e), self.last[node][0]) for e in was - serving)
        for engine in serving - was:
            self._removal_over((node, engine))
        self.in_use[node] = digest
        self.since[node] = at
        return [
            Record(at, "list", "told", {"node": node, "engine": e, "state": state, "grace": self.grace})
            for state, change in (("gone", was - serving), ("serving", serving - was))
            for e in sorted(change)
        ]

    def finish(self, at: float) -> None:
        """At the end every node has to route by what last lay whole on its disk."""
        for key in list(self.removed):
            self._removal_over(key)
        for node, (written, digest, lies) in self.last.items():
            if lies and self.in_use.get(node) != digest:
                self.breaches.append(
                    f"{node} ended by version {self.in_use.get(node)}, not by {digest}, "
                    f"written {at - written:.1f} s before the end"
                )

    def figures(self) -> dict:
        """Seconds at p50 and p99."""

        def quantiles(h: HdrHistogram) -> dict:
            return (
                {
                    "count": h.total_count,
                    **{f"p{p}": round(h.get_value_at_percentile(p) / 1e6, 4) for p in (50, 99)},
                }
                if h.total_count
                else {"count": 0}
            )

        return {
            "attempts": self.attempts,
            "versions_used": self.used,
            "breaches": self.breaches,
            "first_send": quantiles(self.first_send),
            "last_send": quantiles(self.last_send),
        }
