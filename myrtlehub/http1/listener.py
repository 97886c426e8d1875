"""Admission of clients' connections: how many may be open, and which one is closed for another."""

from collections.abc import Callable

from twisted.internet.protocol import Factory

from myrtlehub.clock import Clock
from myrtlehub.http1.bounds import FIRST_REQUEST_GRACE_S, MIN_FIRST_REQUEST_GRACE_S
from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.read_progress import ReadProgress
from myrtlehub.http1.server_connection import ServerConnection
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.http1.server_interfaces import AdmittedConnection


def _ignore_full(is_full: bool) -> None:
    """Do nothing: no callback is set."""


def _ignore_close(reason: CloseReason, exchange: ServerExchange | None) -> None:
    """Do nothing: no callback is set."""


def _eviction_order(connection: AdmittedConnection) -> tuple[bool, float]:
    """Return the sort key for eviction: lingering before unused connections, the oldest of each first."""
    return (not connection.is_closing, connection.idle_since)


class ConnectionListener(Factory):
    """Factory and registry of all clients' connections.

    Up to `max_connections` stay open. `burst` more are admitted for a moment, so that requests which new
    connections have sent already can be read before any of them is closed.

    Attributes:
        connections: The connections in the order of their admission; a dict serves as an ordered set.
        total_read_ahead: Bytes of all connections that are not part of a complete request yet.
        is_draining: A graceful shutdown is under way: idle connections close.
        waiting_since: Clock time in seconds since which connections accepted now may have waited in the
            accept queue; None if they have not. Set by the port.
        on_full: Called with True to stop accepting connections, and with False to accept again.
        on_closing: Called when the server closes a connection, with the reason and the open request, if any.
    """

    noisy = False

    def __init__(
        self,
        clock: Clock,
        on_request: Callable[[ServerExchange], None],
        max_connections: int = 1000,
        burst: int = 50,
    ) -> None:
        self.clock = clock
        self.on_request = on_request
        self.max_connections = max_connections
        self.burst = burst
        self.connections: dict[AdmittedConnection, None] = {}
        self.total_read_ahead = 0
        self.is_draining = False
        self.waiting_since: float | None = None
        self.on_full: Callable[[bool], None] = _ignore_full
        self.on_closing: Callable[[CloseReason, ServerExchange | None], None] = _ignore_close
        self._dropped_count = 0  # connections that were dropped and are not lost yet
        self._is_paused = False
        self._is_eviction_scheduled = False
        self._read_progress = ReadProgress(clock)

    def buildProtocol(self, addr: object) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def connection_opened(self, connection: AdmittedConnection) -> None:
        """Admit a connection, and evict another one now or soon if there are too many.

        A connection is never evicted before its socket was polled, as a request that it has sent would be
        lost. If all others have open requests, accepting stops, and new connections wait in the kernel's
        accept queue. Tests: `test_a_request_during_a_burst_of_silent_connections_is_read`,
        `test_a_request_is_read_before_an_eviction_that_long_turns_delay`,
        `test_no_more_are_accepted_while_all_connections_have_requests_open`.
        """
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            self._read_progress.advance()
        if self._open_count() > self.max_connections + self.burst:
            evictable = self._evictable(MIN_FIRST_REQUEST_GRACE_S)
            if evictable:
                self._drop(min(evictable, key=_eviction_order))
            else:
                self._pause_accepting()
        elif len(self.connections) > self.max_connections and not self._is_eviction_scheduled:
            self._schedule_eviction()

    def _schedule_eviction(self) -> None:
        self._is_eviction_scheduled = True
        self.clock.callLater(FIRST_REQUEST_GRACE_S, self._read_progress.advance, self._evict_surplus)

    def _pause_accepting(self) -> None:
        """Stop accepting until the data of the newest connections was read."""
        if not self._is_paused:
            self._is_paused = True
            self.on_full(True)
            self._schedule_resumption()

    def _schedule_resumption(self) -> None:
        self.clock.callLater(MIN_FIRST_REQUEST_GRACE_S, self._read_progress.advance, self._try_to_resume)

    def _try_to_resume(self) -> None:
        try:
            for connection in self._next_evicted(MIN_FIRST_REQUEST_GRACE_S):
                self._drop(connection)
        finally:  # if a transport raises an exception here, connections must still be accepted again
            if self._open_count() > self.max_connections + self.burst:
                self._schedule_resumption()
            else:
                self._is_paused = False
                self.on_full(False)

    def _open_count(self) -> int:
        """Return how many connections keep their descriptor beyond this reactor turn."""
        return len(self.connections) - self._dropped_count

    def _evictable(self, min_age: float) -> list[AdmittedConnection]:
        """Return the connections without an open request that sent none within `min_age` seconds.

        These seconds end at the last time before which all data that had arrived was read.
        """
        read_until = self._read_progress.read_until
        return [
            connection
            for connection in self.connections
            if (connection.is_closing or connection.is_unused)
            and not connection.is_dropped
            and read_until - connection.idle_since >= min_age
        ]

    def _next_evicted(self, min_age: float) -> list[AdmittedConnection]:
        """Return the evictable connections that exceed the limit, in the order of their eviction."""
        surplus = max(0, self._open_count() - self.max_connections)
        return sorted(self._evictable(min_age), key=_eviction_order)[:surplus] if surplus else []

    def _drop(self, connection: AdmittedConnection) -> None:
        self._dropped_count += 1
        connection.drop()

    def _evict_surplus(self) -> None:
        """Drop lingering connections, and close unused ones gracefully; the next call drops the latter."""
        self._is_eviction_scheduled = False
        try:
            for connection in self._next_evicted(FIRST_REQUEST_GRACE_S):
                if connection.is_closing:
                    self._drop(connection)
                else:
                    connection.linger(CloseReason.CONNECTION_LIMIT)
        finally:
            if len(self.connections) > self.max_connections:
                self._schedule_eviction()

    def connection_closed(self, connection: AdmittedConnection) -> None:
        """Forget a connection that is lost."""
        if connection in self.connections:
            del self.connections[connection]
            self._dropped_count -= connection.is_dropped

    def connection_closing(self, reason: CloseReason, exchange: ServerExchange | None) -> None:
        """Report that the server closes a connection; `exchange` is its open request, if any."""
        self.on_closing(reason, exchange)

    def drain(self) -> None:
        """Close unused connections now, and the others after their response."""
        self.is_draining = True
        for connection in list(self.connections):
            connection.drain()
