"""Bytes that a node holds, for whom: what came in equals what left, was dropped and is held, exactly. Pure.

A stream's account is settled from counters that are kept apart, what was put into it and what was taken out
of it, so that a sum that does not hold is seen (`wrong`). Sums by peer, tenant and node follow from these.
"""

from collections.abc import Hashable, Iterable
from typing import NamedTuple


class Account:
    """One sum."""

    __slots__ = ("came", "dropped", "held", "left", "streams")

    def __init__(self) -> None:
        self.came = self.left = self.dropped = self.held = 0
        self.streams = 0  # that are open under it

    def add(self, came: int, left: int, dropped: int, held: int) -> None:
        """Changes since the last time."""
        self.came += came
        self.left += left
        self.dropped += dropped
        self.held += held


class Budgets(NamedTuple):
    """What the operators state."""

    node: int  # bytes
    peer_share: float  # of the node's, that one peer may hold
    tenant_share: float


class Held(NamedTuple):
    """One stream as it is weighed when memory has to be given up."""

    key: Hashable
    held: int
    utility: float
    stalled: float  # seconds for which its peer has taken nothing that waited for it


class Ledger:
    """All accounts."""

    def __init__(self, budgets: Budgets) -> None:
        self.budgets = budgets
        self.node = Account()
        self.peers: dict[Hashable, Account] = {}
        self.tenants: dict[Hashable, Account] = {}
        self._streams: dict[Hashable, tuple[Account, Hashable, Hashable]] = {}

    def open(self, key: Hashable, peer: Hashable, tenant: Hashable) -> None:
        """A stream that holds nothing yet."""
        self._streams[key] = Account(), peer, tenant
        for table, name in ((self.peers, peer), (self.tenants, tenant)):
            table.setdefault(name, Account()).streams += 1

    def settle(self, key: Hashable, came: int, left: int, dropped: int, held: int) -> None:
        """A stream's counters as they stand now; they only grow, but for what is held."""
        account, peer, tenant = self._streams[key]
        change = (came - account.came, left - account.left, dropped - account.dropped, held - account.held)
        for a in (account, self.node, self.peers[peer], self.tenants[tenant]):
            a.add(*change)

    def close(self, key: Hashable) -> None:
        """The stream is gone: what it still held is dropped."""
        account, peer, tenant = self._streams[key]
        self.settle(key, account.came, account.left, account.dropped + account.held, 0)
        del self._streams[key]
        for table, name in ((self.peers, peer), (self.tenants, tenant)):
            table[name].streams -= 1
            if not table[name].streams:
                del table[name]  # guards against names without end; the node's own sum keeps what passed

    def held_by(self, key: Hashable) -> int:
        """Bytes of a stream."""
        return self._streams[key][0].held

    def wrong(self) -> list[str]:
        """Accounts whose sum does not hold, and sums that are not those of their streams."""
        out = [
            f"{key}: {a.came} came, {a.left} left, {a.dropped} dropped, {a.held} held"
            for key, (a, _, _) in self._streams.items()
            if a.came != a.left + a.dropped + a.held
        ]
        n = self.node
        if n.came != n.left + n.dropped + n.held:
            out.append(f"node: {n.came} came, {n.left} left, {n.dropped} dropped, {n.held} held")
        for what, table, place in (("peer", self.peers, 1), ("tenant", self.tenants, 2)):
            for name, account in table.items():
                held = sum(s[0].held for s in self._streams.values() if s[place] == name)
                if held != account.held:
                    out.append(f"{what} {name}: {account.held} held, its streams hold {held}")
        if sum(s[0].held for s in self._streams.values()) != n.held:
            out.append(f"node: {n.held} held, not the sum of its streams")
        return out

    def bound(self, what: str) -> int:
        """Bytes for "node", one "peer" or one "tenant"."""
        share = {"node": 1.0, "peer": self.budgets.peer_share, "tenant": self.budgets.tenant_share}[what]
        return int(self.budgets.node * share)

    def room(self, peer: Hashable, tenant: Hashable, size: int) -> str:
        """Which budget so much more would break, empty if none."""
        for what, account in (
            ("node", self.node),
            ("peer", self.peers.get(peer)),
            ("tenant", self.tenants.get(tenant) if tenant else None),
        ):
            if account is not None and account.held + size > self.bound(what):
                return what
        return "" if size <= self.bound("peer") else "peer"

    def over(self) -> Iterable[tuple[str, Hashable, int]]:
        """Which budgets are broken, and by how many bytes; the narrower first."""
        for what, table in (("peer", self.peers), ("tenant", self.tenants)):
            for name, account in table.items():
                if account.held > self.bound(what) and (name or what == "peer"):
                    yield what, name, account.held - self.bound(what)
        if self.node.held > self.bound("node"):
            yield "node", None, self.node.held - self.bound("node")

    def of(self, what: str, name: Hashable) -> list[Hashable]:
        """Streams under a budget."""
        if what == "node":
            return list(self._streams)
        place = 1 if what == "peer" else 2
        return [key for key, row in self._streams.items() if row[place] == name]


def given_up(streams: Iterable[Held], size: int) -> list[Hashable]:
    """Whose memory is given up so that at least `size` bytes are free, the first first.

    Who has stalled before who takes what it gets; among these, most bytes for the least utility. Streams that
    hold nothing are never cut.
    """
    out, freed = [], 0
    for s in sorted(
        (s for s in streams if s.held),
        key=lambda s: (not s.stalled, -s.held / max(s.utility, 1e-9), str(s.key)),
    ):
        if freed >= size:
            break
        out.append(s.key)
        freed += s.held
    return out
