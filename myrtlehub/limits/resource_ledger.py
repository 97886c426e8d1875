"""Resource ledger: bytes that a node has in memory, by stream, peer, tenant and node.

What was received equals what was delivered, was dropped and is in use, exactly. A stream's account is settled
from counters that are kept apart, what was put into the stream and what was taken out of it, so that a wrong
balance shows (`find_imbalances`). The sums by peer, tenant and node follow from these.
"""

from collections.abc import Hashable, Iterable
from enum import StrEnum
from typing import NamedTuple

MIN_UTILITY = 1e-9  # guards a division


class BudgetScope(StrEnum):
    """For whom a memory budget is."""

    NODE = "node"
    PEER = "peer"
    TENANT = "tenant"


class Account:
    """The counters of one stream, or their sum over a peer, a tenant or the node."""

    __slots__ = ("delivered", "dropped", "in_use", "received", "streams")

    def __init__(self) -> None:
        self.received = 0
        self.delivered = 0
        self.dropped = 0
        self.in_use = 0
        self.streams = 0  # that are open under it

    def add(self, received: int, delivered: int, dropped: int, in_use: int) -> None:
        """Add what changed since the last time."""
        self.received += received
        self.delivered += delivered
        self.dropped += dropped
        self.in_use += in_use

    @property
    def balanced(self) -> bool:
        """Whether nothing was lost or counted twice."""
        return self.received == self.delivered + self.dropped + self.in_use

    def __str__(self) -> str:
        # The words of LimitsState in the admin protocol.
        return f"{self.received} came, {self.delivered} left, {self.dropped} dropped, {self.in_use} held"


class MemoryBudgets(NamedTuple):
    """Bounds from the settings."""

    node: int  # bytes
    peer_share: float  # of the node's, that one peer may use
    tenant_share: float

    def limit(self, scope: BudgetScope) -> int:
        """Return the bytes for the node, for one peer or for one tenant."""
        match scope:
            case BudgetScope.NODE:
                share = 1.0
            case BudgetScope.PEER:
                share = self.peer_share
            case BudgetScope.TENANT:
                share = self.tenant_share
        return int(self.node * share)


class BudgetOverrun(NamedTuple):
    """A budget that is exceeded."""

    scope: BudgetScope
    name: Hashable  # of the peer or tenant; None for the node
    excess: int  # bytes


class StreamUsage(NamedTuple):
    """One stream, as it is compared with others when memory has to be freed."""

    key: Hashable
    in_use: int  # bytes
    utility: float
    stalled_seconds: float  # for which its peer has taken nothing that waited for it


class StreamEntry(NamedTuple):
    """An open stream."""

    account: Account
    peer: Hashable
    tenant: Hashable


class ResourceLedger:
    """All accounts of a node."""

    def __init__(self, budgets: MemoryBudgets) -> None:
        self.budgets = budgets
        self.node = Account()
        self.peers: dict[Hashable, Account] = {}
        self.tenants: dict[Hashable, Account] = {}
        self._streams: dict[Hashable, StreamEntry] = {}

    def open(self, key: Hashable, peer: Hashable, tenant: Hashable) -> None:
        """Open the account of a stream that uses nothing yet."""
        self._streams[key] = StreamEntry(Account(), peer, tenant)
        self.peers.setdefault(peer, Account()).streams += 1
        self.tenants.setdefault(tenant, Account()).streams += 1

    def settle(self, key: Hashable, received: int, delivered: int, dropped: int, in_use: int) -> None:
        """Take over a stream's counters as they stand now; all but `in_use` only grow."""
        account, peer, tenant = self._streams[key]
        change = (
            received - account.received,
            delivered - account.delivered,
            dropped - account.dropped,
            in_use - account.in_use,
        )
        for changed in (account, self.node, self.peers[peer], self.tenants[tenant]):
            changed.add(*change)

    def close(self, key: Hashable) -> None:
        """Close the account of a stream: what it still used is dropped."""
        account, peer, tenant = self._streams[key]
        self.settle(key, account.received, account.delivered, account.dropped + account.in_use, 0)
        del self._streams[key]
        for accounts, name in ((self.peers, peer), (self.tenants, tenant)):
            accounts[name].streams -= 1
            if not accounts[name].streams:
                del accounts[name]  # guards against names without end; the node's sum keeps what passed

    def usage(self, key: Hashable) -> int:
        """Return the bytes that a stream uses."""
        return self._streams[key].account.in_use

    def find_imbalances(self) -> list[str]:
        """Return accounts that are not balanced, and sums that are not those of their streams."""
        found = [
            f"{key}: {entry.account}" for key, entry in self._streams.items() if not entry.account.balanced
        ]
        if not self.node.balanced:
            found.append(f"node: {self.node}")
        found += self._find_wrong_sums(BudgetScope.PEER, self.peers)
        found += self._find_wrong_sums(BudgetScope.TENANT, self.tenants)
        if sum(entry.account.in_use for entry in self._streams.values()) != self.node.in_use:
            found.append(f"node: {self.node.in_use} held, not the sum of its streams")
        return found

    def _find_wrong_sums(self, scope: BudgetScope, accounts: dict[Hashable, Account]) -> list[str]:
        found = []
        for name, account in accounts.items():
            in_use = sum(self.usage(key) for key in self.streams_of(scope, name))
            if in_use != account.in_use:
                found.append(f"{scope} {name}: {account.in_use} held, its streams hold {in_use}")
        return found

    def limit(self, scope: BudgetScope) -> int:
        """Return the bytes for the node, for one peer or for one tenant."""
        return self.budgets.limit(scope)

    def exceeded_by(self, peer: Hashable, tenant: Hashable, size: int) -> BudgetScope | None:
        """Return which budget a request of `size` bytes would exceed; None if it may come in."""
        for scope, account in (
            (BudgetScope.NODE, self.node),
            (BudgetScope.PEER, self.peers.get(peer)),
            (BudgetScope.TENANT, self.tenants.get(tenant) if tenant else None),
        ):
            if account is not None and account.in_use + size > self.limit(scope):
                return scope
        return None if size <= self.limit(BudgetScope.PEER) else BudgetScope.PEER

    def overruns(self) -> Iterable[BudgetOverrun]:
        """Yield the budgets that are exceeded; peers and tenants before the node."""
        for scope, accounts in ((BudgetScope.PEER, self.peers), (BudgetScope.TENANT, self.tenants)):
            limit = self.limit(scope)
            for name, account in accounts.items():
                if account.in_use > limit and (name or scope == BudgetScope.PEER):
                    yield BudgetOverrun(scope, name, account.in_use - limit)
        node_limit = self.limit(BudgetScope.NODE)
        if self.node.in_use > node_limit:
            yield BudgetOverrun(BudgetScope.NODE, None, self.node.in_use - node_limit)

    def streams_of(self, scope: BudgetScope, name: Hashable) -> list[Hashable]:
        """Return the streams under a budget."""
        match scope:
            case BudgetScope.NODE:
                return list(self._streams)
            case BudgetScope.PEER:
                return [key for key, entry in self._streams.items() if entry.peer == name]
            case BudgetScope.TENANT:
                return [key for key, entry in self._streams.items() if entry.tenant == name]


def select_streams_to_shed(streams: Iterable[StreamUsage], size: int) -> list[Hashable]:
    """Return the streams to cut off so that at least `size` bytes become free, in this order.

    Streams whose peer has stalled come before others; among these, most bytes for the least utility. Streams
    that use nothing are never cut off.
    """
    selected = []
    freed = 0
    for stream in sorted((stream for stream in streams if stream.in_use), key=_shed_order):
        if freed >= size:
            break
        selected.append(stream.key)
        freed += stream.in_use
    return selected


def _shed_order(stream: StreamUsage) -> tuple[bool, float, str]:
    return not stream.stalled_seconds, -stream.in_use / max(stream.utility, MIN_UTILITY), str(stream.key)
