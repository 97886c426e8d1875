"""Admission of clients' connections: how many there may be, and which is closed for another."""

from collections.abc import Callable

from twisted.internet.protocol import Factory

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.bounds import MIN_READ_GRACE_S, READ_GRACE_S
from myrtlehub.http1.server_connection import CloseReason, ServerConnection
from myrtlehub.http1.server_exchange import ServerExchange


def _ignore_full(full: bool) -> None:
    """Nobody listens."""


def _ignore_close(reason: CloseReason, exchange: ServerExchange | None) -> None:
    """Nobody listens."""


def _closing_order(connection: ServerConnection) -> tuple[bool, float]:
    """Sort lingering connections before unused ones, in each part the longest so first."""
    return (not connection.closing, connection.idle_since)


class ConnectionListener(Factory):
    """All connections of clients: `max_connections` of them, and `burst` more for a moment.

    Those that have just come may hold requests that are not read yet.

    Attributes:
        connections: The connections, in the order of their coming.
        total_read_ahead: Bytes of all connections that are not read as complete requests yet.
        draining: The process ends: nothing new is wanted.
        waiting_since: Since when those that are accepted now may have waited for that; None: not at all.
        on_full: Called with whether to accept no more connections for a moment.
        on_closing: Called with the reason for each close from this side, and the request that is open on the
            connection, if any.
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
        self.connections: dict[ServerConnection, None] = {}
        self.total_read_ahead = 0
        self.draining = False
        self.waiting_since: float | None = None
        self.on_full: Callable[[bool], None] = _ignore_full
        self.on_closing: Callable[[CloseReason, ServerExchange | None], None] = _ignore_close
        self._dropped_count = 0  # that are still to be lost
        self._paused = False
        self._room_timer: Timer | None = None

    def buildProtocol(self, addr: object) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def connection_opened(self, connection: ServerConnection) -> None:
        """Admit a connection; where there are too many, room is made once what these have sent was read."""
        self.connections[connection] = None
        if self._count() > self.max_connections + self.burst:
            # None that came this turn is closed for another: what it has sent is not read yet. Where all
            # others have requests open, who comes next waits in the system's queue: none is closed unheard.
            closable = self._closable(MIN_READ_GRACE_S)
            if closable:
                self._drop(min(closable, key=_closing_order))
            else:
                self._pause_accepting()
        elif len(self.connections) > self.max_connections and not self._makes_room():
            self._room_timer = self.clock.callLater(READ_GRACE_S, self._make_room)

    def _makes_room(self) -> bool:
        return self._room_timer is not None and self._room_timer.active()

    def _pause_accepting(self) -> None:
        """Accept no more until the newest were read; who comes meanwhile waits in the system's queue."""
        if not self._paused:
            self._paused = True
            self.on_full(True)
            self.clock.callLater(MIN_READ_GRACE_S, self._try_to_resume)

    def _try_to_resume(self) -> None:
        try:
            for connection in self._first_closable(MIN_READ_GRACE_S):
                self._drop(connection)
        finally:  # whatever a transport raises: nobody would ever be accepted again
            if self._count() > self.max_connections + self.burst:
                self.clock.callLater(MIN_READ_GRACE_S, self._try_to_resume)
            else:
                self._paused = False
                self.on_full(False)

    def _count(self) -> int:
        """Return how many connections have a descriptor for longer than this turn."""
        return len(self.connections) - self._dropped_count

    def _closable(self, min_age: float) -> list[ServerConnection]:
        """Return those that may be closed: never one that had no time to be read, or has a request open."""
        now = self.clock.seconds()
        return [
            c
            for c in self.connections
            if (c.closing or c.unused) and not c.dropped and now - c.idle_since >= min_age
        ]

    def _first_closable(self, min_age: float) -> list[ServerConnection]:
        """Return as many of those as there are connections too many, in the order of their closing."""
        surplus = max(0, self._count() - self.max_connections)
        return sorted(self._closable(min_age), key=_closing_order)[:surplus] if surplus else []

    def _drop(self, connection: ServerConnection) -> None:
        self._dropped_count += 1
        connection.drop()

    def _make_room(self) -> None:
        """Drop lingering connections, and close the longest unused; those are dropped at the next look."""
        try:
            for connection in self._first_closable(READ_GRACE_S):
                if connection.closing:
                    self._drop(connection)
                else:
                    connection.linger(CloseReason.ROOM)
        finally:
            if len(self.connections) > self.max_connections:
                self._room_timer = self.clock.callLater(READ_GRACE_S, self._make_room)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a connection that is lost."""
        if connection in self.connections:
            del self.connections[connection]
            self._dropped_count -= connection.dropped

    def connection_closing(self, reason: CloseReason, exchange: ServerExchange | None) -> None:
        """Pass on that this side closes a connection."""
        self.on_closing(reason, exchange)

    def drain(self) -> None:
        """Take nothing new: unused connections close now, the others after their response."""
        self.draining = True
        for connection in list(self.connections):
            connection.drain()
