"""Bounded pool of connections to peers."""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from twisted.internet.protocol import Factory

from myrtlehub.clock import Clock
from myrtlehub.http1.bounds import (
    CONNECT_RETRY_DELAY_S,
    CONNECTION_CHECK_INTERVAL_S,
    MAX_CONNECT_RETRIES,
    MAX_CONNECTION_WAIT_S,
    WRITE_CHECK_INTERVAL_S,
)
from myrtlehub.http1.client_connection import ClientConnection
from myrtlehub.http1.client_interfaces import ConnectionAttempt, OutstandingRequest, PooledConnection
from myrtlehub.http1.client_request import ClientRequest, RequestFailure, ResponseHandler
from myrtlehub.http1.close_reason import PeerCloseReason
from myrtlehub.http1.idle_connections import IdleConnections
from myrtlehub.http1.local_errors import is_local_error
from myrtlehub.http1.parse_scheduler import ParseScheduler
from myrtlehub.http1.pending_request import FirstByteHook, PendingRequest, ReadinessCheck
from myrtlehub.log_events import Log, LogEvent, no_log

Dial = Callable[[Factory], ConnectionAttempt]


def _send_unchanged(request: ClientRequest) -> ClientRequest:
    return request


def _always() -> bool:
    return True


class _ClientConnectionFactory(Factory):
    noisy = False

    def __init__(self, make_connection: Callable[[], ClientConnection]) -> None:
        self.make_connection = make_connection

    def buildProtocol(self, addr: object) -> ClientConnection:  # noqa: N802
        return self.make_connection()


class _WaitingRequest(NamedTuple):
    """A request that waits for a connection, and the clock time in seconds at which it began to wait."""

    pending: PendingRequest
    since: float


class ConnectionPool:
    """Sends requests to peers, each on an idle connection or on a new one.

    If all connections are in use, requests wait in the order in which they came, MAX_CONNECTION_WAIT_S at
    most.

    Attributes:
        dialer: Given HOST:PORT, returns a function that connects a protocol factory to that address.
        max_connections: Upper bound of `count`.
        preemption_age: Seconds after which an unanswered request fails if another one waits for a connection;
            infinite if none may fail for another.
        parse_scheduler: Scheduler that parses the responses; one of its own by default.
        idle: The idle connections.
        count: Number of connections that are open or being established.
        opened_count: Total number of connection attempts, including failed ones.
        reuse_count: Total number of requests sent on a reused connection.
    """

    def __init__(
        self,
        clock: Clock,
        dialer: Callable[[str], Dial],
        max_connections: int,
        max_idle: float,
        log: Log = no_log,
        parse_scheduler: ParseScheduler | None = None,
        preemption_age: float = float("inf"),
    ) -> None:
        self.clock = clock
        self.parse_scheduler = parse_scheduler or ParseScheduler(clock)
        self.preemption_age = preemption_age
        self.log = log
        self.dialer = dialer
        self.max_connections = max_connections
        self.idle = IdleConnections(clock, max_idle)
        self.count = 0
        self.opened_count = 0
        self.reuse_count = 0
        self._open_connections: set[PooledConnection] = set()
        self._waiting: deque[_WaitingRequest] = deque()
        self._is_check_scheduled = False
        # Clock times in seconds at which the open requests got their connection, in this order.
        self._started_at: dict[OutstandingRequest, float] = {}

    def send(
        self,
        peer: str,
        address: str,
        request: ClientRequest,
        handler: ResponseHandler,
        may_reuse: bool = True,
        at_first_byte: FirstByteHook = _send_unchanged,
        may_write: ReadinessCheck = _always,
    ) -> PendingRequest:
        """Send a request to a peer.

        Args:
            peer: Name of the peer.
            address: HOST:PORT of the peer.
            request: The request to send.
            handler: Handler of the response.
            may_reuse: Whether an idle connection may be used.
            at_first_byte: Called with the request just before its first byte is written. Returns the request
                to write, or None to abandon it.
            may_write: Returns whether the first byte may be written now. Until it does, the request keeps its
                connection, and the function is called again every WRITE_CHECK_INTERVAL_S.
        """
        pending = PendingRequest(self, peer, address, request, handler, at_first_byte, may_write)
        idle = self.idle.take(peer) if may_reuse else None
        if idle is not None:
            pending.connection = idle
            self._started_at[pending] = self.clock.seconds()
            self.clock.callLater(0, self.clock.callLater, 0, self._write_unless_cancelled, pending, idle)
        else:
            self._connect(pending)
        return pending

    def _connect(self, pending: PendingRequest) -> None:
        if pending.is_finished:
            return
        if self._waiting or not self._make_room():
            self._waiting.append(_WaitingRequest(pending, self.clock.seconds()))
            self._schedule_check()
        else:
            self._dial(pending)

    def _make_room(self) -> bool:
        """Return whether a connection may be opened; close one that is idle or stalled if that is needed."""
        return self.count < self.max_connections or self.idle.close_longest_idle() or self._preempt()

    def _preempt(self) -> bool:
        """Fail the request unanswered for longest if that is too long; return whether this made room."""
        oldest = next(iter(self._started_at), None)
        if oldest is None or self.clock.seconds() - self._started_at[oldest] < self.preemption_age:
            return False
        oldest.cancel()
        oldest.handler.on_failure(RequestFailure.RESPONSE_FAILED)
        return self.count < self.max_connections

    def _schedule_check(self) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self.clock.callLater(CONNECTION_CHECK_INTERVAL_S, self._serve_waiting)

    def _serve_waiting(self) -> None:
        """Connect waiting requests in order while there is room, and fail those that waited too long."""
        self._is_check_scheduled = False
        try:
            while self._waiting:
                pending, since = self._waiting[0]
                if pending.is_finished:
                    self._waiting.popleft()
                elif self._make_room():
                    self._waiting.popleft()
                    self._dial(pending)
                elif self.clock.seconds() - since >= MAX_CONNECTION_WAIT_S:
                    self._waiting.popleft()
                    self._fail_request(pending, RequestFailure.NOT_SENT)
                else:
                    return
        finally:
            if self._waiting:
                self._schedule_check()

    def _dial(self, pending: PendingRequest) -> None:
        # The factory must not refer to the request. Factory, connector and transport form a reference cycle
        # that is only freed by a full garbage collection after the connection is closed, hours later.
        # Test: `test_a_request_is_freed_when_it_ends_even_if_its_connection_stays_open`.
        factory = _ClientConnectionFactory(partial(ClientConnection, self, pending.peer))
        pending.connecting = self.dialer(pending.address)(factory)
        self.count += 1
        self.opened_count += 1
        self._started_at[pending] = self.clock.seconds()
        pending.connecting.addCallbacks(
            self._on_connected, self._on_connect_failed, callbackArgs=(pending,), errbackArgs=(pending,)
        )

    def _retry_connect(self, pending: PendingRequest) -> None:
        """Schedule another connection attempt after one failed for lack of a local resource."""
        if pending.local_failures >= MAX_CONNECT_RETRIES:
            self.clock.callLater(0, self._fail_request, pending, RequestFailure.NOT_SENT)
            return
        delay = CONNECT_RETRY_DELAY_S * 2**pending.local_failures
        pending.local_failures += 1
        self.clock.callLater(delay, self._connect, pending)

    def _write_unless_cancelled(self, pending: PendingRequest, connection: PooledConnection) -> None:
        """Send the request unless it was cancelled in the meantime.

        This is called two reactor turns after an idle connection was selected, or one turn after a new one
        was established. If this process was delayed, the end of the client's connection or the drain of the
        engine may still be unread in the kernel; the reactor reads it before this call.
        Test: `test_a_client_that_left_while_the_node_was_stopped_gets_no_attempt`.
        """
        if pending.is_finished:
            return
        if connection.is_closed:
            pending.connection = None
            if connection.has_completed_request:  # the idle connection was closed; nothing was written
                self._connect(pending)
            else:
                self._fail_request(pending, RequestFailure.SEND_FAILED)
        elif pending.may_write():
            self._write_first_byte(pending, connection)
        else:
            delay = WRITE_CHECK_INTERVAL_S
            self.clock.callLater(delay, self._write_unless_cancelled, pending, connection)

    def _write_first_byte(self, pending: PendingRequest, connection: PooledConnection) -> None:
        request = pending.at_first_byte(pending.request)
        if request is None:
            self.add_idle(connection)
            self._fail_request(pending, RequestFailure.NOT_SENT)
            return
        pending.request = request
        self.reuse_count += connection.has_completed_request
        connection.send_request(pending)

    def _on_connected(self, connection: PooledConnection, pending: PendingRequest) -> None:
        pending.connecting = None
        self._open_connections.add(connection)
        if pending.is_finished:
            connection.close(PeerCloseReason.CANCELLED)
            return
        pending.connection = connection
        pending.ready_since = self.clock.seconds()
        self.clock.callLater(0, self._write_unless_cancelled, pending, connection)

    def _on_connect_failed(self, failure: object, pending: PendingRequest) -> None:
        self.count -= 1
        pending.connecting = None
        if is_local_error(failure):
            self._retry_connect(pending)
        else:
            self._fail_request(pending, RequestFailure.SEND_FAILED)

    def _fail_request(self, pending: PendingRequest, failure: RequestFailure) -> None:
        if not pending.is_finished:
            pending.mark_finished()
            pending.handler.on_failure(failure)

    def add_idle(self, connection: PooledConnection) -> None:
        """Store a connection for reuse, after a complete response or if no byte was sent on it."""
        if connection.is_closed or not self.idle.is_reuse_allowed():
            connection.close(PeerCloseReason.NOT_REUSABLE)
            return
        self.idle.add(connection)

    def suspend_reuse(self) -> None:
        """Stop reusing idle connections for REUSE_SUSPENSION_S, because a reused one failed."""
        self.idle.suspend_reuse()

    def is_reuse_allowed(self) -> bool:
        """Return whether idle connections may be reused now."""
        return self.idle.is_reuse_allowed()

    def request_finished(self, pending: OutstandingRequest) -> None:
        """Record that a request was completed, has failed or was cancelled."""
        self._started_at.pop(pending, None)

    def remove(self, connection: PooledConnection, reason: PeerCloseReason) -> None:
        """Remove a connection that is closed or lost."""
        if connection in self._open_connections:
            self._open_connections.discard(connection)
            self.count -= 1
            is_unanswered = connection.pending is not None
            self.log(
                LogEvent.PEER_CONNECTION_CLOSED,
                peer=connection.peer,
                reason=reason,
                is_unanswered=is_unanswered,
            )
        self.idle.remove(connection)

    def close_idle(self, peer: str) -> None:
        """Close the idle connections to a peer."""
        for connection in self.idle.of_peer(peer):
            connection.close(PeerCloseReason.CLOSED_BY_ROUTER)
