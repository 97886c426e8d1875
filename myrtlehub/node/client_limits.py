"""Limits on clients: memory is accounted to each, and those that read too slowly or use too much are aborted.

`ClientLimits` checks all open streams a few times a second; between checks a message costs two additions. The
decisions are in `limits/`.
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

MAX_CUTS = 50  # number of latest disconnects that are stored for the admin service


class LimitCounter(StrEnum):
    """Counted causes of rejections and disconnects; the values are the keys of `LimitsState.counts`."""

    SLOW = "slow"
    MEMORY = "memory"
    REJECTED = "turned away"
    RETRY_REJECTED = "repeats turned away"


class CutOff(NamedTuple):
    """A client that was disconnected for exceeding a limit."""

    at: float
    peer: str
    tenant: str
    reason: str


class NearLimit(NamedTuple):
    """A peer or tenant that uses over half of its budget."""

    scope: BudgetScope
    name: str
    in_use: int  # bytes
    limit: int


class RecordedCounters(NamedTuple):
    """A stream's counters when they were last recorded in the ledger."""

    queued: int  # bytes
    sent: int
    dropped: int
    is_over: bool


@dataclass(slots=True, eq=False)
class LimitedCall:
    """One call of a client. `abort(reason)` ends it with an aborted answer, if it has none yet."""

    call: ServerCall
    name: str  # for the log: the idempotency key of a chat request, or "batch"
    tenant: str
    utility: float
    request_size: int  # bytes of the request, which are in memory until the call is over
    abort: Callable[[str], None]
    rate: MinimumRateMonitor | None = None  # set while the stream has unread data
    is_cut_off: bool = False
    recorded: RecordedCounters | None = None


class ClientLimits:
    """The limits on all clients' calls of a node."""

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
        self.cuts: deque[CutOff] = deque(maxlen=MAX_CUTS)
        self.counts: dict[str, int] = dict.fromkeys(LimitCounter, 0)
        self._next_key = 0
        self._timer: Timer | None = None

    def retry_after(
        self, call: ServerCall, tenant: str, is_retry: bool, size: int, is_full: bool
    ) -> float | None:
        """Return None to admit a request of `size` bytes, else the Retry-After of its rejection in seconds.

        A request is rejected if its tenant's retry budget is spent, if the node is full, or if it would
        exceed a memory budget.
        """
        wait = self._wait_for_retry_budget(tenant, is_retry)
        if wait is None and (is_full or not self._fits(call, tenant, size)):
            wait = self.max_retry_after
        return wait

    def _wait_for_retry_budget(self, tenant: str, is_retry: bool) -> float | None:
        if self.retry_budget is None:
            return None
        now = self.clock.seconds()
        if not is_retry:
            self.retry_budget.record_first_attempt(now, tenant)
            return None
        wait = self.retry_budget.spend_retry(now, tenant, self.max_retry_after)
        if wait is not None:
            self.counts[LimitCounter.RETRY_REJECTED] += 1
        return wait

    def _fits(self, call: ServerCall, tenant: str, size: int) -> bool:
        exceeded = self.ledger.exceeded_by(host_of(call.peer), tenant, size)
        if exceeded:
            self.counts[LimitCounter.REJECTED] += 1
            self.log(
                LogEvent.REQUEST_REJECTED, peer=call.peer, tenant=tenant, budget=exceeded, size_bytes=size
            )
        return not exceeded

    def track(self, limited: LimitedCall) -> None:
        """Account for an accepted call, until it is over and its client has read the whole answer."""
        key = self._next_key
        self._next_key += 1
        self.calls[key] = limited
        self.ledger.open(key, host_of(limited.call.peer), limited.tenant)
        self._record(key, limited)
        if self._timer is None:
            self._timer = self.clock.callLater(CHECK_INTERVAL, self._check)

    def _record(self, key: int, limited: LimitedCall) -> None:
        stream = limited.call.stream
        is_over = limited.call.over
        counters = RecordedCounters(stream.bytes_queued, stream.bytes_sent, stream.bytes_dropped, is_over)
        if limited.recorded == counters:
            return  # the usual case: nothing has changed since the last check
        limited.recorded = counters
        size = limited.request_size
        current = Counters(
            received=stream.bytes_queued + size,
            delivered=stream.bytes_sent + (size if is_over else 0),
            dropped=stream.bytes_dropped,
            in_use=stream.buffered + (0 if is_over else size),
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
        elif self._is_too_slow(limited, now) and not limited.is_cut_off:
            least_rate = self.limits.least_rate
            self._cut_off(
                key, LimitCounter.SLOW, f"it took under {least_rate:g} bytes a second of what waited"
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
                if not self.calls[key].is_cut_off
            ]
            limit = self.ledger.limit(scope)
            for key in select_streams_to_shed(streams, excess):
                self._cut_off(key, LimitCounter.MEMORY, f"the {scope} holds more than its {limit} bytes here")

    def _usage(self, key: int, now: float) -> StreamUsage[int]:
        limited = self.calls[key]
        stalled = limited.rate.stalled_seconds(now) if limited.rate else 0.0
        return StreamUsage(key, self.ledger.usage(key), limited.utility, stalled)

    def _cut_off(self, key: int, counter: LimitCounter, reason: str) -> None:
        """Discard a client's unread data and abort its call.

        The stream is reset at once if the answer was complete. Otherwise it is reset if it is still open
        after `linger` seconds.
        """
        limited = self.calls[key]
        limited.is_cut_off = True
        call = limited.call
        stream = call.stream
        self.counts[counter] += 1
        self.cuts.append(CutOff(self.clock.seconds(), call.peer, limited.tenant, reason))
        self.log(
            LogEvent.CLIENT_DISCONNECTED,
            sequence_id=limited.name,
            peer=call.peer,
            tenant=limited.tenant,
            reason=reason,
            buffered_bytes=stream.buffered,
        )
        if call.over:
            stream.reset()  # the answer was complete, and the client did not read it
        else:
            stream.drop()
            limited.abort(reason)
            self.clock.callLater(self.limits.linger, lambda: None if stream.closed else stream.reset())
        self._record(key, limited)

    def near_limits(self) -> list[NearLimit]:
        """Return the peers and tenants that use over half of their budget."""
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
    """Return a peer's address without the port, because all connections of a host count together."""
    return peer.rsplit(":", 1)[0]
