"""Limits on clients: what is held for them is counted, who takes too little or too much of it is cut off.

`PeerWatch` looks at all open streams a few times a second; between looks it costs two additions a message.
What is decided stands in `limits/`.
"""

from collections import deque
from collections.abc import Callable

from myrtlehub.config.sheets import LimitsGroup
from myrtlehub.limits.ledger import Budgets, Held, Ledger, given_up
from myrtlehub.limits.pace import STEP, Pace
from myrtlehub.limits.retries import RetryBudget
from myrtlehub.rpc.server_call import ServerCall

KEPT = 50  # cuts remembered


class Watched:
    """One call. `cut(reason)` ends it with an aborted answer, where it has none yet."""

    __slots__ = ("call", "cut", "name", "pace", "request", "settled", "tenant", "utility", "was_cut")

    def __init__(
        self,
        call: ServerCall,
        name: str,
        tenant: str,
        utility: float,
        request: int,
        cut: Callable[[str], None],
    ) -> None:
        self.call, self.name, self.tenant, self.utility = call, name, tenant, utility
        self.request, self.cut = request, cut  # bytes of the request, held until it is over
        self.pace: Pace | None = None  # while something waits for its client
        self.was_cut = False
        self.settled: tuple = ()  # the counters when the ledger last saw them


class PeerWatch:
    """All clients' calls of a node."""

    def __init__(
        self,
        limits: LimitsGroup,
        clock: object,
        log: Callable[..., None],
        retries: RetryBudget | None,
        max_wait: float,
    ) -> None:
        self.retries, self.max_wait = retries, max_wait
        self.limits, self.clock, self.log = limits, clock, log
        self.ledger = Ledger(Budgets(limits.held_bytes, limits.peer_share, limits.tenant_share))
        self.calls: dict[int, Watched] = {}
        self.cuts: deque[tuple[float, str, str, str]] = deque(maxlen=KEPT)  # when, peer, tenant, why
        self.counts = {"slow": 0, "memory": 0, "turned away": 0, "repeats turned away": 0}
        self._next = 0
        self._timer = None

    def refuses(self, call: ServerCall, tenant: str, repeated: bool, size: int, full: bool) -> float | None:
        """None: this request of `size` bytes may come in. Else nothing runs, and it may come again after so
        many seconds: over its tenant's budget of repeats, or the node is full, or it would break a budget.
        """
        wait = self._again(tenant, repeated)
        if wait is None and (full or not self._room(call, tenant, size)):
            wait = self.max_wait
        return wait

    def _again(self, tenant: str, repeated: bool) -> float | None:
        if self.retries is None:
            return None
        now = self.clock.seconds()
        if not repeated:
            self.retries.first(now, tenant)
            return None
        wait = self.retries.repeat(now, tenant, self.max_wait)
        if wait is not None:
            self.counts["repeats turned away"] += 1
        return wait

    def _room(self, call: ServerCall, tenant: str, size: int) -> bool:
        what = self.ledger.room(host_of(call.peer), tenant, size)
        if what:
            self.counts["turned away"] += 1
            self.log("turned away", peer=call.peer, tenant=tenant, budget=what, bytes=size)
        return not what

    def open(
        self,
        call: ServerCall,
        name: str,
        tenant: str,
        utility: float,
        request: int,
        cut: Callable[[str], None],
    ) -> None:
        """A call was taken."""
        key, self._next = self._next, self._next + 1
        self.calls[key] = Watched(call, name, tenant, utility, request, cut)
        self.ledger.open(key, host_of(call.peer), tenant)
        self._settle(key, self.calls[key])
        if self._timer is None:
            self._timer = self.clock.callLater(STEP, self._look)

    def _settle(self, key: int, w: Watched) -> None:
        s = w.call.stream
        over = w.call.over
        if w.settled == (s.bytes_queued, s.bytes_sent, s.bytes_dropped, over):
            return  # most streams, at most looks
        w.settled = s.bytes_queued, s.bytes_sent, s.bytes_dropped, over
        self.ledger.settle(
            key,
            s.bytes_queued + w.request,
            s.bytes_sent + (w.request if over else 0),
            s.bytes_dropped,
            s.buffered + (0 if over else w.request),
        )

    def _look(self) -> None:
        """At all open streams."""
        self._timer = None
        now = self.clock.seconds()
        for key, w in list(self.calls.items()):
            self._settle(key, w)
            stream = w.call.stream
            if stream.closed or (w.call.over and not stream.buffered):
                self.ledger.close(key)
                del self.calls[key]
            elif not stream.buffered:
                w.pace = None
            elif self._slow(w, now) and not w.was_cut:
                least = self.limits.least_rate
                self.cut(key, "slow", f"it took under {least:g} bytes a second of what waited")
        for what, name, size in list(self.ledger.over()):
            streams = [
                Held(k, self.ledger.held_by(k), w.utility, w.pace.stalled(now) if w.pace else 0.0)
                for k in self.ledger.of(what, name)
                if not (w := self.calls[k]).was_cut
            ]
            for key in given_up(streams, size):
                bound = self.ledger.bound(what)
                self.cut(key, "memory", f"the {what} holds more than its {bound} bytes here")
        if self.calls:
            self._timer = self.clock.callLater(STEP, self._look)

    def _slow(self, w: Watched, now: float) -> bool:
        if w.pace is None:
            w.pace = Pace(self.limits.rate_window, self.limits.least_rate)
        return w.pace.look(now, w.call.stream.bytes_sent, w.call.stream.buffered)

    def cut(self, key: int, count: str, why: str) -> None:
        """What waits for it is dropped; it is told that it was aborted, and reset if it ignores that."""
        w = self.calls[key]
        w.was_cut = True
        self.counts[count] += 1
        self.cuts.append((self.clock.seconds(), w.call.peer, w.tenant, why))
        self.log("cut", seq=w.name, peer=w.call.peer, tenant=w.tenant, why=why, held=w.call.stream.buffered)
        stream = w.call.stream
        if w.call.over:
            stream.reset()  # its answer was complete, and the client did not take it
        else:
            stream.drop()
            w.cut(why)
            self.clock.callLater(self.limits.linger, lambda: None if stream.closed else stream.reset())
        self._settle(key, w)

    def near(self) -> list[tuple[str, str, int, int]]:
        """Peers and tenants that hold over half of their budget: what, who, bytes held, bound."""
        return [
            (what, str(name), a.held, self.ledger.bound(what))
            for what, table in (("peer", self.ledger.peers), ("tenant", self.ledger.tenants))
            for name, a in table.items()
            if a.held * 2 > self.ledger.bound(what)
        ]


def host_of(peer: str) -> str:
    """A peer's address without the port: all of its connections count together."""
    return peer.rsplit(":", 1)[0]
