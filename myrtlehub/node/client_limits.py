"""Limits on clients: accounts memory to each client, and disconnects slow readers and excessive users.

`ClientLimits` checks all open streams every `CHECK_INTERVAL`; between checks, a message costs two additions.
The decisions are made by `myrtlehub.limits`.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.config.limits import LimitsConfig
from myrtlehub.limits.minimum_rate import CHECK_INTERVAL, MinimumRateMonitor
from myrtlehub.limits.resource_ledger import (
    BudgetScope,
    Counters,
    MemoryBudgets,
    ResourceLedger,
    StreamUsage,
    select_streams_to_shed,
)
from myrtlehub.limits.retry_budget import RetryBudget
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.rpc.server_call import ServerCall

MAX_RECENT_DISCONNECTS = 50  # stored for the admin service


class LimitCounter(StrEnum):
    """Causes of rejections and disconnects; the values are keys of the protocol's `LimitsState.counts`."""

    SLOW = "slow"
    MEMORY = "memory"
    REJECTED = "turned away"
    RETRY_REJECTED = "repeats turned away"


class Disconnect(NamedTuple):
    """The disconnection of a client that exceeded a limit."""

    at: float
    peer: str
    tenant: str
    reason: str


class NearLimit(NamedTuple):
    """A peer or tenant that uses more than half of its memory budget."""

    scope: BudgetScope
    name: str
    in_use: int  # bytes
    limit: int  # bytes


class RecordedCounters(NamedTuple):
    """The counters of a stream, in bytes, when they were last recorded in the ledger."""

    queued: int
    sent: int
    dropped: int
    is_call_over: bool


@dataclass(slots=True, eq=False)
class LimitedCall:
    """A client's call to which the limits apply."""

    call: ServerCall
    name: str  # for the log: the idempotency key of a chat request, or "batch"
    tenant: str
    utility: float
    request_size: int  # bytes of the request, which stay in memory until the call is over
    abort: Callable[[str], None]  # aborts the call with a reason, unless it has a final answer
    rate: MinimumRateMonitor | None = None  # set while the stream has unread data
    is_disconnected: bool = False
    recorded: RecordedCounters | None = None


class ClientLimits:
    """The limits on the calls of all clients of a node."""

    def __init__(
        self,
        limits: LimitsConfig,
        clock: Clock,
        log: Log,
        retry_budget: RetryBudget | None,
        max_retry_after: float,
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.log = log
        self.retry_budget = retry_budget
        self.max_retry_after = max_retry_after
        self.ledger: ResourceLedger[int] = ResourceLedger(
            MemoryBudgets(limits.held_bytes, limits.peer_share, limits.tenant_share)
        )
        self.calls: dict[int, LimitedCall] = {}
        self.recent_disconnects: deque[Disconnect] = deque(maxlen=MAX_RECENT_DISCONNECTS)
        self.counts: dict[str, int] = dict.fromkeys(LimitCounter, 0)
        self._next_key = 0
        self._timer: Timer | None = None

    def retry_after(
        self, call: ServerCall, tenant: str, is_retry: bool, size: int, is_full: bool
    ) -> float | None:
        """Return None to admit a request of `size` bytes, or the Retry-After in seconds to reject it with.

        A request is rejected if it is a retry and its tenant's retry budget is spent, if the node is full, or
        if it would exceed a memory budget.
        """
        retry_after = self._retry_after_by_budget(tenant, is_retry)
        if retry_after is None and (is_full or not self._fits_memory_budgets(call, tenant, size)):
            retry_after = self.max_retry_after
        return retry_after

    def _retry_after_by_budget(self, tenant: str, is_retry: bool) -> float | None:
        if self.retry_budget is None:
            return None
        now = self.clock.seconds()
        if not is_retry:
            self.retry_budget.record_first_attempt(now, tenant)
            return None
        retry_after = self.retry_budget.spend_retry(now, tenant, self.max_retry_after)
        if retry_after is not None:
            self.counts[LimitCounter.RETRY_REJECTED] += 1
        return retry_after

    def _fits_memory_budgets(self, call: ServerCall, tenant: str, size: int) -> bool:
        exceeded_budget = self.ledger.exceeded_by(host_of(call.peer), tenant, size)
        if exceeded_budget:
            self.counts[LimitCounter.REJECTED] += 1
            self.log(
                LogEvent.REQUEST_REJECTED,
                peer=call.peer,
                tenant=tenant,
                budget=exceeded_budget,
                size_bytes=size,
            )
        return not exceeded_budget

    def track(self, limited: LimitedCall) -> None:
        """Apply the limits to an accepted call until it is over and its client has read the whole answer."""
        key = self._next_key
        self._next_key += 1
        self.calls[key] = limited
        self.ledger.open(key, host_of(limited.call.peer), limited.tenant)
        self._record(key, limited)
        if self._timer is None:
            self._timer = self.clock.callLater(CHECK_INTERVAL, self._check)

    def _record(self, key: int, limited: LimitedCall) -> None:
        stream = limited.call.stream
        is_call_over = limited.call.over
        counters = RecordedCounters(
            stream.bytes_queued, stream.bytes_sent, stream.bytes_dropped, is_call_over
        )
        if limited.recorded == counters:
            return  # the most frequent case, which should cost little
        limited.recorded = counters
        size = limited.request_size
        current = Counters(
            received=stream.bytes_queued + size,
            delivered=stream.bytes_sent + (size if is_call_over else 0),
            dropped=stream.bytes_dropped,
            in_use=stream.buffered + (0 if is_call_over else size),
        )
        self.ledger.update(key, current)

    # -- checks -----------------------------------------------------------------------------------

    def _check(self) -> None:
        self._timer = None
        now = self.clock.seconds()
        for key, limited in list(self.calls.items()):
            self._record(key, limited)
            self._check_call(key, limited, now)
        self._enforce_budgets(now)
        if self.calls:
            self._timer = self.clock.callLater(CHECK_INTERVAL, self._check)

    def _check_call(self, key: int, limited: LimitedCall, now: float) -> None:
        stream = limited.call.stream
        if stream.closed or (limited.call.over and not stream.buffered):
            self.ledger.close(key)
            del self.calls[key]
        elif not stream.buffered:
            limited.rate = None
        elif self._is_too_slow(limited, now) and not limited.is_disconnected:
            min_rate = self.limits.least_rate
            self._disconnect(
                key, LimitCounter.SLOW, f"it took under {min_rate:g} bytes a second of what waited"
            )

    def _is_too_slow(self, limited: LimitedCall, now: float) -> bool:
        if limited.rate is None:
            limited.rate = MinimumRateMonitor(self.limits.rate_window, self.limits.least_rate)
        stream = limited.call.stream
        return limited.rate.is_too_slow(now, stream.bytes_sent, stream.buffered)

    def _enforce_budgets(self, now: float) -> None:
        for scope, name, excess in list(self.ledger.overruns()):
            streams = [
                self._usage(key, now)
                for key in self.ledger.streams_of(scope, name)
                if not self.calls[key].is_disconnected
            ]
            limit = self.ledger.limit(scope)
            for key in select_streams_to_shed(streams, excess):
                self._disconnect(
                    key, LimitCounter.MEMORY, f"the {scope} holds more than its {limit} bytes here"
                )

    def _usage(self, key: int, now: float) -> StreamUsage[int]:
        limited = self.calls[key]
        stalled = limited.rate.stalled_seconds(now) if limited.rate else 0.0
        return StreamUsage(key, self.ledger.usage(key), limited.utility, stalled)

    def _disconnect(self, key: int, counter: LimitCounter, reason: str) -> None:
        """Discard the unread data of a client and abort its call.

        The stream is reset: at once if the call is over, otherwise after `linger` seconds unless it is closed
        by then.
        """
        limited = self.calls[key]
        limited.is_disconnected = True
        call = limited.call
        stream = call.stream
        self.counts[counter] += 1
        self.recent_disconnects.append(Disconnect(self.clock.seconds(), call.peer, limited.tenant, reason))
        self.log(
            LogEvent.CLIENT_DISCONNECTED,
            sequence_id=limited.name,
            peer=call.peer,
            tenant=limited.tenant,
            reason=reason,
            buffered_bytes=stream.buffered,
        )
        if call.over:
            stream.reset()  # the answer is complete, but the client has not read it
        else:
            stream.drop()
            limited.abort(reason)
            self.clock.callLater(self.limits.linger, lambda: None if stream.closed else stream.reset())
        self._record(key, limited)

    def near_limits(self) -> list[NearLimit]:
        """Return the peers and tenants that use more than half of their memory budget."""
        near = []
        for scope, accounts in (
            (BudgetScope.PEER, self.ledger.peers),
            (BudgetScope.TENANT, self.ledger.tenants),
        ):
            limit = self.ledger.limit(scope)
            near += [
                NearLimit(scope, str(name), account.in_use, limit)
                for name, account in accounts.items()
                if account.in_use * 2 > limit
            ]
        return near


def host_of(peer: str) -> str:
    """Return a peer's address without the port, because the budget of a peer covers all its connections."""
    return peer.rsplit(":", 1)[0]
