"""A bounded pool of connections to peers, by peer."""

import errno
from collections.abc import Callable
from functools import partial

from twisted.internet.protocol import Factory

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.bounds import (
    LOCAL_RETRY_DELAY_S,
    MAX_LOCAL_RETRIES,
    MIN_IDLE_BEFORE_REUSE_S,
    REUSE_SUSPENSION_S,
)
from myrtlehub.http1.client_connection import ClientConnection, ClientRequest, ResponseHandler
from myrtlehub.http1.interfaces import Connecting
from myrtlehub.http1.pending_request import AtFirstByte, PendingRequest

SWEEP_INTERVAL_S = 1.0  # between looks for connections that were idle for too long
NEW_CONNECTION = -1.0  # as `max_idle` of a request: use no idle connection

# Errors of connect(2) and socket(2) that tell of this machine alone, and nothing of the peer.
LOCAL_ERRORS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EACCES,
        errno.EPERM,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENETUNREACH,
        errno.ENETDOWN,
    )
)

Dial = Callable[[Factory], Connecting]


def _unchanged(request: ClientRequest) -> ClientRequest:
    return request


def is_local_error(failure: object) -> bool:
    """Return whether a connection failed for a reason of this machine's, which is no fault of the peer."""
    return getattr(getattr(failure, "value", None), "osError", None) in LOCAL_ERRORS


class _SingleConnectionFactory(Factory):
    noisy = False

    def __init__(self, make: Callable[[], ClientConnection]) -> None:
        self.make = make

    def buildProtocol(self, addr: object) -> ClientConnection:  # noqa: N802
        return self.make()


class ConnectionPool:
    """Connections by peer; `dialer(address)` returns what connects a factory to that address.

    Attributes:
        count: Connections that are up or being made.
        made: Connections made so far.
        reused: Requests so far that were sent on a connection that had one before.
    """

    def __init__(
        self, clock: Clock, dialer: Callable[[str], Dial], max_connections: int, max_idle: float
    ) -> None:
        self.clock = clock
        self.dialer = dialer
        self.max_connections = max_connections
        self.max_idle = max_idle
        self.count = 0
        self.made = 0
        self.reused = 0
        self._reuse_from = float("-inf")
        self._idle: dict[str, list[ClientConnection]] = {}  # the longest idle first
        self._connected: set[ClientConnection] = set()
        self._sweep_timer: Timer | None = None

    def send(
        self,
        key: str,
        address: str,
        request: ClientRequest,
        handler: ResponseHandler,
        max_idle: float = 0.0,
        at_first_byte: AtFirstByte = _unchanged,
    ) -> PendingRequest:
        """Send a request to the peer `key` at `address`.

        Args:
            key: Name of the peer.
            address: Where it is reached.
            request: What to send.
            handler: Receives the response.
            max_idle: Seconds for which a reused connection may have been idle; 0 is the pool's own bound,
                NEW_CONNECTION reuses none.
            at_first_byte: Called before the first byte is written, with the request; returns what is
                written, or None where nothing is wanted any more.
        """
        pending = PendingRequest(self, key, address, request, handler, at_first_byte)
        idle = self._take_idle(key, max_idle or self.max_idle)
        if idle is not None:
            pending.connection = idle
            self.clock.callLater(0, self.clock.callLater, 0, self._write_if_wanted, pending, idle)
        else:
            self._connect(pending)
        return pending

    def _connect(self, pending: PendingRequest) -> None:
        if pending.finished:
            return
        if self.count >= self.max_connections and not self._close_longest_idle():
            self._retry_locally(pending)
            return
        # It must not refer to the request: the reactor keeps factory, connector and transport in a cycle, for
        # as long as the connection is up and then until a full garbage collection, hours later.
        factory = _SingleConnectionFactory(partial(ClientConnection, self, pending.key))
        pending.connecting = self.dialer(pending.address)(factory)
        self.count += 1
        self.made += 1
        pending.connecting.addCallbacks(
            self._connected_to_peer, self._connect_failed, callbackArgs=(pending,), errbackArgs=(pending,)
        )

    def _retry_locally(self, pending: PendingRequest) -> None:
        """Connect again in a moment: a resource of this machine is short, which is no fault of the peer's."""
        if pending.local_failures >= MAX_LOCAL_RETRIES:
            self.clock.callLater(0, self._report_not_sent, pending)
            return
        delay = LOCAL_RETRY_DELAY_S * 2**pending.local_failures
        pending.local_failures += 1
        self.clock.callLater(delay, self._connect, pending)

    def _write_if_wanted(self, pending: PendingRequest, connection: ClientConnection) -> None:
        """Send the request, if it is still wanted.

        On an idle connection two turns after it was requested, on a new one a turn after it was connected.
        Guards against what lies unread in the kernel where this process was delayed: that the client has
        left, or that the engine drains, has been read in the turn between, and came long before.
        """
        if pending.finished:
            return
        if connection.lost:
            pending.connection = None
            if connection.had_request:  # its peer has closed it meanwhile: nothing was written on it
                self._connect(pending)
            else:
                self._report_unreachable(pending)
        else:
            self._write_first_byte(pending, connection)

    def _write_first_byte(self, pending: PendingRequest, connection: ClientConnection) -> None:
        request = pending.at_first_byte(pending.request)
        if request is None:
            self.add_idle(connection)
            self._report_not_sent(pending)
            return
        pending.request = request
        self.reused += connection.had_request
        connection.send_request(pending)

    def _take_idle(self, key: str, max_idle: float) -> ClientConnection | None:
        """Return an idle connection, lately used, whose last response has nothing behind it."""
        now = self.clock.seconds()
        idle = self._idle.get(key, [])
        if not self.reuse_allowed():
            return None
        for position in range(len(idle) - 1, -1, -1):
            idle_time = now - idle[position].idle_since
            if idle_time > max_idle:
                return None
            if idle_time >= MIN_IDLE_BEFORE_REUSE_S:
                return idle.pop(position)
        return None

    def suspend_reuse(self) -> None:
        """A reused connection broke under its next request: for a while all idle ones may be dead unseen."""
        self._reuse_from = self.clock.seconds() + REUSE_SUSPENSION_S

    def reuse_allowed(self) -> bool:
        """Return whether connections are kept and used again."""
        return self.clock.seconds() >= self._reuse_from

    def _close_longest_idle(self) -> bool:
        """Close the longest idle connection of any peer; returns whether there was one."""
        oldest = min((c[0] for c in self._idle.values() if c), key=lambda c: c.idle_since, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def _connected_to_peer(self, connection: ClientConnection, pending: PendingRequest) -> None:
        pending.connecting = None
        self._connected.add(connection)
        if pending.finished:
            connection.close()
            return
        pending.connection = connection
        pending.ready_since = self.clock.seconds()
        self.clock.callLater(0, self._write_if_wanted, pending, connection)

    def _connect_failed(self, failure: object, pending: PendingRequest) -> None:
        self.count -= 1
        pending.connecting = None
        if is_local_error(failure):
            self._retry_locally(pending)
        else:
            self._report_unreachable(pending)

    def _report_unreachable(self, pending: PendingRequest) -> None:
        if not pending.finished:
            pending.mark_finished()
            pending.handler.on_failure(False)

    def _report_not_sent(self, pending: PendingRequest) -> None:
        if not pending.finished:
            pending.mark_finished()
            pending.handler.on_not_sent()

    def add_idle(self, connection: ClientConnection) -> None:
        """Keep a connection for reuse: its response is complete, or nothing was sent on it."""
        if connection.lost or not self.reuse_allowed():
            connection.close()
            return
        connection.idle_since = self.clock.seconds()
        self._idle.setdefault(connection.key, []).append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        now = self.clock.seconds()
        try:
            for idle in list(self._idle.values()):
                for connection in [c for c in idle if now - c.idle_since > self.max_idle]:
                    connection.close()
        finally:  # whatever a transport raises, the others are looked at again
            if self._idle:
                self._sweep_timer = self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed or lost."""
        if connection in self._connected:
            self._connected.discard(connection)
            self.count -= 1
        idle = self._idle.get(connection.key)
        if idle and connection in idle:
            idle.remove(connection)
        if idle is not None and not idle:
            del self._idle[connection.key]

    def close_idle(self, key: str) -> None:
        """Close the idle connections to a peer."""
        for connection in list(self._idle.get(key, ())):
            connection.close()
