"""Resource ledger: accounts for the bytes that a node has in memory, by stream, peer, tenant and node.

In each account, bytes received = bytes delivered + bytes dropped + bytes in use. A stream counts its input
and its output independently, so an accounting error shows up as an imbalance (`find_imbalances`). The
accounts of peers, tenants and the node are the sums over their streams.
"""

from collections.abc import Hashable, Iterable
from enum import StrEnum
from typing import Generic, NamedTuple, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)  # key of a stream

MIN_UTILITY = 1e-9  # avoids a division by zero for a utility of 0


class BudgetScope(StrEnum):
    """The scope of a memory budget; the values are those of the admin protocol."""

    NODE = "node"
    PEER = "peer"
    TENANT = "tenant"


class Counters(NamedTuple):
    """Counters of a stream, in bytes. They never decrease, except `in_use`."""

    received: int
    delivered: int
    dropped: int
    in_use: int


class Account:
    """The counters of a stream, or their sums over the streams of a peer, a tenant or the node."""

    __slots__ = ("delivered", "dropped", "in_use", "received", "streams")

    def __init__(self) -> None:
        self.received = 0
        self.delivered = 0
        self.dropped = 0
        self.in_use = 0
        self.streams = 0  # open streams of the peer, tenant or node

    def add(self, change: Counters) -> None:
        """Add changes of a stream's counters."""
        self.received += change.received
        self.delivered += change.delivered
        self.dropped += change.dropped
        self.in_use += change.in_use

    @property
    def is_balanced(self) -> bool:
        """Whether every received byte is accounted for exactly once."""
        return self.received == self.delivered + self.dropped + self.in_use

    def __str__(self) -> str:
        # The words are the field names of LimitsState in the admin protocol.
        return f"{self.received} came, {self.delivered} left, {self.dropped} dropped, {self.in_use} held"


class MemoryBudgets(NamedTuple):
    """The memory budgets from the settings."""

    node: int  # bytes
    peer_share: float  # fraction of the node's budget that one peer may use
    tenant_share: float  # fraction of the node's budget that one tenant may use

    def limit(self, scope: BudgetScope) -> int:
        """Return the budget of the node, of one peer or of one tenant, in bytes."""
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
    name: Hashable  # the peer or tenant; None for the node
    excess: int  # bytes


class StreamUsage(NamedTuple, Generic[KeyT]):
    """The properties of a stream that determine whether it is shed to free memory."""

    key: KeyT
    in_use: int  # bytes
    utility: float
    stalled_seconds: float  # time since the peer last read data; 0 if none is queued for it


class StreamEntry(NamedTuple):
    """An open stream."""

    account: Account
    peer: Hashable
    tenant: Hashable


class ResourceLedger(Generic[KeyT]):
    """All accounts of a node. The caller chooses the keys that identify streams."""

    def __init__(self, budgets: MemoryBudgets) -> None:
        self.budgets = budgets
        self.node = Account()
        self.peers: dict[Hashable, Account] = {}
        self.tenants: dict[Hashable, Account] = {}
        self._streams: dict[KeyT, StreamEntry] = {}

    def open(self, key: KeyT, peer: Hashable, tenant: Hashable) -> None:
        """Open an empty account for a stream."""
        self._streams[key] = StreamEntry(Account(), peer, tenant)
        self.peers.setdefault(peer, Account()).streams += 1
        self.tenants.setdefault(tenant, Account()).streams += 1

    def update(self, key: KeyT, current: Counters) -> None:
        """Set a stream's account to its current counters and add the differences to the sums."""
        account, peer, tenant = self._streams[key]
        change = Counters(
            current.received - account.received,
            current.delivered - account.delivered,
            current.dropped - account.dropped,
            current.in_use - account.in_use,
        )
        for changed in (account, self.node, self.peers[peer], self.tenants[tenant]):
            changed.add(change)

    def close(self, key: KeyT) -> None:
        """Close the account of a stream; the bytes that it still uses count as dropped."""
        account, peer, tenant = self._streams[key]
        dropped = account.dropped + account.in_use
        self.update(key, Counters(account.received, account.delivered, dropped, in_use=0))
        del self._streams[key]
        for accounts, name in ((self.peers, peer), (self.tenants, tenant)):
            accounts[name].streams -= 1
            if not accounts[name].streams:
                # Clients choose the names of peers and tenants, so memory use would be unbounded if unused
                # accounts were kept. The totals remain in the node's account.
                del accounts[name]

    def usage(self, key: KeyT) -> int:
        """Return the bytes in use by a stream."""
        return self._streams[key].account.in_use

    def find_imbalances(self) -> list[str]:
        """Return a description of each account that is not balanced or not the sum of its streams."""
        imbalances = [
            f"{key}: {entry.account}" for key, entry in self._streams.items() if not entry.account.is_balanced
        ]
        if not self.node.is_balanced:
            imbalances.append(f"node: {self.node}")
        imbalances += self._find_wrong_sums(BudgetScope.PEER, self.peers)
        imbalances += self._find_wrong_sums(BudgetScope.TENANT, self.tenants)
        if sum(entry.account.in_use for entry in self._streams.values()) != self.node.in_use:
            imbalances.append(f"node: {self.node.in_use} held, not the sum of its streams")
        return imbalances

    def _find_wrong_sums(self, scope: BudgetScope, accounts: dict[Hashable, Account]) -> list[str]:
        imbalances = []
        for name, account in accounts.items():
            in_use = sum(self.usage(key) for key in self.streams_of(scope, name))
            if in_use != account.in_use:
                imbalances.append(f"{scope} {name}: {account.in_use} held, its streams hold {in_use}")
        return imbalances

    def limit(self, scope: BudgetScope) -> int:
        """Return the budget of the node, of one peer or of one tenant, in bytes."""
        return self.budgets.limit(scope)

    def exceeded_by(self, peer: Hashable, tenant: Hashable, size: int) -> BudgetScope | None:
        """Return the scope of the budget that `size` more bytes would exceed, or None.

        A tenant with an empty name has no budget.
        """
        for scope, account in (
            (BudgetScope.NODE, self.node),
            (BudgetScope.PEER, self.peers.get(peer)),
            (BudgetScope.TENANT, self.tenants.get(tenant) if tenant else None),
        ):
            if account is not None and account.in_use + size > self.limit(scope):
                return scope
        return None if size <= self.limit(BudgetScope.PEER) else BudgetScope.PEER

    def overruns(self) -> Iterable[BudgetOverrun]:
        """Yield the exceeded budgets: those of peers, then those of named tenants, then that of the node."""
        for scope, accounts in ((BudgetScope.PEER, self.peers), (BudgetScope.TENANT, self.tenants)):
            limit = self.limit(scope)
            for name, account in accounts.items():
                if account.in_use > limit and (name or scope == BudgetScope.PEER):
                    yield BudgetOverrun(scope, name, account.in_use - limit)
        node_limit = self.limit(BudgetScope.NODE)
        if self.node.in_use > node_limit:
            yield BudgetOverrun(BudgetScope.NODE, None, self.node.in_use - node_limit)

    def streams_of(self, scope: BudgetScope, name: Hashable) -> list[KeyT]:
        """Return the keys of the streams that a budget applies to."""
        match scope:
            case BudgetScope.NODE:
                return list(self._streams)
            case BudgetScope.PEER:
                return [key for key, entry in self._streams.items() if entry.peer == name]
            case BudgetScope.TENANT:
                return [key for key, entry in self._streams.items() if entry.tenant == name]


def select_streams_to_shed(streams: Iterable[StreamUsage[KeyT]], size: int) -> list[KeyT]:
    """Return the streams to shed to free at least `size` bytes; all that use memory if that is not enough.

    Streams whose peer has stalled are shed first, and within each group those with the most bytes per unit of
    utility. Streams that use no memory are never shed.
    """
    selected = []
    freed_bytes = 0
    for stream in sorted((stream for stream in streams if stream.in_use), key=_shed_order):
        if freed_bytes >= size:
            break
        selected.append(stream.key)
        freed_bytes += stream.in_use
    return selected


def _shed_order(stream: StreamUsage[KeyT]) -> tuple[bool, float, str]:
    return not stream.stalled_seconds, -stream.in_use / max(stream.utility, MIN_UTILITY), str(stream.key)
