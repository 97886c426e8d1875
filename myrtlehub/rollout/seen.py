"""What a look at the nodes comes to: the event of the course, and the blocks that the judge reads. Pure."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from myrtlehub.rollout.judge import ALL, AWAY, CHANGED, UNCHANGED, Block
from myrtlehub.rollout.tables import JUDGED

Revision = tuple[str, str]  # digests of program and settings
MEGABYTE = 1e6


class Shown(NamedTuple):
    """What a node says of itself."""

    revision: Revision
    run: str
    pid: int = 0
    leaving: bool = False
    proven: bool = True
    generation: int = 0
    controller: str = ""


class Sums(NamedTuple):
    """A node's sums since its start, of one traffic type."""

    asked: float = 0.0
    utility: float = 0.0
    served: float = 0.0
    rejected: float = 0.0
    aborted: float = 0.0
    attempts: float = 0.0
    begun: float = 0.0
    first_log: float = 0.0
    first: tuple[tuple[int, int], ...] = ()  # first tokens: microseconds, how many


class Counted(NamedTuple):
    """All that a node counted, at one look."""

    run: str
    traffic: dict[str, Sums]
    memory: float = 0.0  # bytes
    engines: dict[str, int] = {}


def event_of(shown: Shown, old: Revision, new: Revision) -> str:
    """The node's event. An empty part of a revision is not known yet, and matches anything but the old
    one's.
    """
    if shown.leaving:
        return "leaving"
    if shown.revision == old:
        return "old" if shown.proven else "was"
    if _is(shown.revision, new, old):
        return "proven" if shown.proven else "new"
    return "other"


def _is(found: Revision, wanted: Revision, old: Revision) -> bool:
    return all(f == w or (not w and f != o) for f, w, o in zip(found, wanted, old, strict=True))


def due(state: str, since: float, now: float, absent: bool, drain: float, start: float, warm: float) -> str:
    """The event that the clock brings a node in this state: "warm", "overdue" or none. Seconds."""
    if state == "warming" and not absent and now - since >= warm:
        return "warm"
    if state in ("draining", "undoing"):
        return "overdue" if now - since >= drain else ""
    if state in ("starting", "returning") or (absent and state in ("ready", "warming", *JUDGED)):
        return "overdue" if now - since >= start else ""
    return ""


class Blocks:
    """From sums at looks to blocks of time."""

    def __init__(self, nodes: int, tail: float = 0.95) -> None:
        self.nodes, self.tail = nodes, tail
        self.last: list[Counted | None] = [None] * nodes
        self.states: list[str] = [""] * nodes
        self.slow = 0.0  # microseconds above which a first token is one of the slow tail
        self._usual: dict[int, int] = {}

    def block(
        self, counted: Sequence[Counted | None], states: Sequence[str], seconds: float, measuring: bool
    ) -> Block:
        """What became between this look and the last; a node counts where both looks saw the same process, in
        the same standing.
        """
        roles = np.full(self.nodes, AWAY)
        sums: dict[tuple[str, str], tuple[np.ndarray, np.ndarray]] = {}
        seen: dict[str, list[int]] = {}
        for i, (now, before) in enumerate(zip(counted, self.last, strict=True)):
            for zone, count in (now.engines if now else {}).items():
                seen.setdefault(zone, []).append(count)
            if now is None or before is None or now.run != before.run or states[i] != self.states[i]:
                continue
            roles[i] = UNCHANGED if states[i] == "waiting" else CHANGED if states[i] in JUDGED else AWAY
            if roles[i] != AWAY:
                self._node(sums, i, now, before, seconds, measuring)
        self.last, self.states = list(counted), list(states)
        if measuring:
            self.slow = self._quantile()
        engines = {zone: sorted(counts)[len(counts) // 2] for zone, counts in seen.items()}
        return Block(roles, sums, engines, measuring)

    def _node(
        self, sums: dict, i: int, now: Counted, before: Counted, seconds: float, measuring: bool
    ) -> None:
        def put(figure: str, traffic: str, above: float, below: float) -> None:
            arrays = sums.setdefault((figure, traffic), (np.zeros(self.nodes), np.zeros(self.nodes)))
            arrays[0][i] += above
            arrays[1][i] += below

        for name, s in now.traffic.items():
            b = before.traffic.get(name, Sums())
            asked = s.asked - b.asked
            tail = self._tail(s, b, measuring)
            for traffic in (name, ALL):
                put("served", traffic, s.served - b.served, s.utility - b.utility)
                put("rejected", traffic, s.rejected - b.rejected, asked)
                put("aborted", traffic, s.aborted - b.aborted, asked)
                put("attempts", traffic, s.attempts - b.attempts, asked)
                put("first_token", traffic, s.first_log - b.first_log, s.begun - b.begun)
                put("tail", traffic, tail, s.begun - b.begun)
        put("memory", ALL, (now.memory - before.memory) / MEGABYTE, seconds / 60.0)

    def _tail(self, now: Sums, before: Sums, measuring: bool) -> float:
        """First tokens slower than the tail's bound, which is that of the time before the change."""
        new = dict(now.first)
        for value, count in before.first:
            new[value] = new.get(value, 0) - count
        if measuring:
            for value, count in new.items():
                self._usual[value] = self._usual.get(value, 0) + count
        return float(sum(count for value, count in new.items() if value > self.slow)) if self.slow else 0.0

    def _quantile(self) -> float:
        total, under = sum(self._usual.values()), 0
        for value in sorted(self._usual):
            under += self._usual[value]
            if under >= self.tail * total:
                return float(value)
        return 0.0
