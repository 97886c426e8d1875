"""Admission of client connections: limits their number, and evicts connections when it is exceeded."""

from collections.abc import Callable

from twisted.internet.protocol import Factory

from myrtlehub.clock import Clock
from myrtlehub.http1.bounds import FIRST_REQUEST_GRACE_S, MIN_FIRST_REQUEST_GRACE_S
from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.parse_scheduler import ParseScheduler
from myrtlehub.http1.read_progress import ReadProgress
from myrtlehub.http1.request_memory import RequestMemory, RequestMemoryLimits
from myrtlehub.http1.server_connection import ServerConnection
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.http1.server_interfaces import AdmittedConnection


def _ignore_full(is_full: bool) -> None:
    """Do nothing: no callback is set."""


def _ignore_close(reason: CloseReason, exchange: ServerExchange | None) -> None:
    """Do nothing: no callback is set."""


def _eviction_order(connection: AdmittedConnection) -> tuple[bool, float]:
    """Return the sort key for eviction: lingering before idle connections, the oldest of each first."""
    return (not connection.is_closing, connection.idle_since)


class ConnectionListener(Factory):
    """Factory and registry of all client connections.

    Up to `max_connections` stay open. `burst` more are admitted temporarily, so that requests that new
    connections have already sent can be read before any connection is evicted.

    Attributes:
        connections: The connections in the order of their admission; the dict is used as an ordered set.
        parse_scheduler: Scheduler that parses the data of all connections; one of its own by default.
        memory: Memory of the requests of all connections.
        is_draining: Whether a graceful shutdown is in progress, in which idle connections are closed.
        accept_queued_since: Clock time in seconds since which connections accepted now may have been
            waiting in the accept queue; None if they have not. Set by the port.
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
        parse_scheduler: ParseScheduler | None = None,
        memory_limits: RequestMemoryLimits | None = None,
    ) -> None:
        self.clock = clock
        self.parse_scheduler = parse_scheduler or ParseScheduler(clock)
        self.on_request = on_request
        self.max_connections = max_connections
        self.burst = burst
        self.connections: dict[AdmittedConnection, None] = {}
        self.memory = RequestMemory(memory_limits or RequestMemoryLimits())
        self.is_draining = False
        self.accept_queued_since: float | None = None
        self.on_full: Callable[[bool], None] = _ignore_full
        self.on_closing: Callable[[CloseReason, ServerExchange | None], None] = _ignore_close
        self._dropped_count = 0  # dropped connections whose `connectionLost` was not called yet
        self._is_accepting_paused = False
        self._is_eviction_scheduled = False
        self._read_progress = ReadProgress(clock)

    def buildProtocol(self, addr: object) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def connection_opened(self, connection: AdmittedConnection) -> None:
        """Admit a connection; if the limit is exceeded, evict another one or schedule an eviction.

        A connection is never evicted before its socket was polled, because a request already sent on it would
        be lost. If all others have open requests, accepting stops and new connections wait in the kernel's
        accept queue. Tests: `test_a_request_during_a_burst_of_silent_connections_is_read`,
        `test_a_request_is_read_before_an_eviction_delayed_by_long_reactor_turns`,
        `test_accepting_stops_while_all_connections_have_open_requests`.
        """
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            self._read_progress.advance()
        if self._descriptor_count() > self.max_connections + self.burst:
            evictable = self._evictable(MIN_FIRST_REQUEST_GRACE_S)
            if evictable:
                self._drop(min(evictable, key=_eviction_order))
            else:
                self._pause_accepting()
        elif len(self.connections) > self.max_connections and not self._is_eviction_scheduled:
            self._schedule_eviction()

    def _schedule_eviction(self) -> None:
        self._is_eviction_scheduled = True
        self.clock.callLater(FIRST_REQUEST_GRACE_S, self._read_progress.advance, self._evict_over_limit)

    def _pause_accepting(self) -> None:
        """Stop accepting until the data sent on the newest connections has been read."""
        if not self._is_accepting_paused:
            self._is_accepting_paused = True
            self.on_full(True)
            self._schedule_resume_accepting()

    def _schedule_resume_accepting(self) -> None:
        self.clock.callLater(
            MIN_FIRST_REQUEST_GRACE_S, self._read_progress.advance, self._try_resume_accepting
        )

    def _try_resume_accepting(self) -> None:
        try:
            for connection in self._select_evictions(MIN_FIRST_REQUEST_GRACE_S):
                self._drop(connection)
        finally:  # accepting must resume even if a transport raises an exception here
            if self._descriptor_count() > self.max_connections + self.burst:
                self._schedule_resume_accepting()
            else:
                self._is_accepting_paused = False
                self.on_full(False)

    def _descriptor_count(self) -> int:
        """Return how many connections keep their file descriptor beyond this reactor turn."""
        return len(self.connections) - self._dropped_count

    def _evictable(self, min_age: float) -> list[AdmittedConnection]:
        """Return the connections that were idle or lingering for at least `min_age` seconds.

        Their age is measured at `ReadProgress.read_until`, because all data that arrived before that time has
        been read.
        """
        read_until = self._read_progress.read_until
        return [
            connection
            for connection in self.connections
            if (connection.is_closing or connection.is_idle)
            and not connection.is_dropped
            and read_until - connection.idle_since >= min_age
        ]

    def _select_evictions(self, min_age: float) -> list[AdmittedConnection]:
        """Return as many evictable connections as exceed the limit, in the order of their eviction."""
        excess = max(0, self._descriptor_count() - self.max_connections)
        return sorted(self._evictable(min_age), key=_eviction_order)[:excess] if excess else []

    def _drop(self, connection: AdmittedConnection) -> None:
        self._dropped_count += 1
        connection.drop()

    def _evict_over_limit(self) -> None:
        """Drop lingering connections, and start to close idle ones, which the next call may then drop."""
        self._is_eviction_scheduled = False
        try:
            for connection in self._select_evictions(FIRST_REQUEST_GRACE_S):
                if connection.is_closing:
                    self._drop(connection)
                else:
                    connection.linger(CloseReason.CONNECTION_LIMIT)
        finally:
            if len(self.connections) > self.max_connections:
                self._schedule_eviction()

    def limit_incomplete_requests(self) -> None:
        """Reject the largest incomplete requests while all together exceed their limit."""
        self.memory.reject_largest(self.connections)

    def connection_closed(self, connection: AdmittedConnection) -> None:
        """Remove a connection that was lost."""
        if connection in self.connections:
            del self.connections[connection]
            self._dropped_count -= connection.is_dropped

    def connection_closing(self, reason: CloseReason, exchange: ServerExchange | None) -> None:
        """Report that the server is closing a connection; `exchange` is its open request, if any."""
        self.on_closing(reason, exchange)

    def drain(self) -> None:
        """Start a graceful shutdown: close idle connections now, and the others after their response."""
        self.is_draining = True
        for connection in list(self.connections):
            connection.drain()
