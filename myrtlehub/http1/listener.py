"""Admission of clients' connections: how many there may be, and which is closed for another."""

from collections.abc import Callable

from twisted.internet.protocol import Factory

from myrtlehub.http1.bounds import MIN_READ_GRACE_S, READ_GRACE_S
from myrtlehub.http1.interfaces import Clock, Timer
from myrtlehub.http1.server_connection import ServerConnection
from myrtlehub.http1.server_exchange import ServerExchange


def _ignore_full(full: bool) -> None:
    """Nobody listens."""


class ConnectionListener(Factory):
    """All connections of clients: `max_connections` of them, and `burst` more for a moment.

    Those that have just come may hold requests that are not read yet.

    Attributes:
        connections: The connections, in the order of their coming.
        total_read_ahead: Bytes of all connections that are not read as complete requests yet.
        draining: The process ends: nothing new is wanted.
        on_full: Called with whether to accept no more connections for a moment.
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
        self.on_full: Callable[[bool], None] = _ignore_full
        self._paused = False
        self._room_timer: Timer | None = None

    def buildProtocol(self, addr: object) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def connection_opened(self, connection: ServerConnection) -> None:
        """Admit a connection; where there are too many, room is made once what these have sent was read."""
        self.connections[connection] = None
        if self._count() > self.max_connections + self.burst:
            # None that came this turn is closed for another: what it has sent is not read yet.
            closable = self._closable(MIN_READ_GRACE_S)
            if closable:
                closable[0].drop()
            elif self._closable(0.0):
                self._pause_accepting()
            else:
                connection.drop()  # all others have requests open
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
        for connection in self._closable(MIN_READ_GRACE_S)[: self._surplus()]:
            connection.drop()
        if self._count() > self.max_connections + self.burst and self._closable(0.0):
            self.clock.callLater(MIN_READ_GRACE_S, self._try_to_resume)
        else:
            self._paused = False
            self.on_full(False)

    def _count(self) -> int:
        """Return how many connections have a descriptor for longer than this turn."""
        return sum(not c.dropped for c in self.connections)

    def _surplus(self) -> int:
        return max(0, self._count() - self.max_connections)

    def _closable(self, min_age: float) -> list[ServerConnection]:
        """Return those that may be closed: lingering ones, then unused ones; in each part the longest first.

        Never one that had no time to be read, or has a request open.
        """
        now = self.clock.seconds()
        closable = [
            c
            for c in self.connections
            if (c.closing or c.unused) and not c.dropped and now - c.idle_since >= min_age
        ]
        return sorted(closable, key=lambda c: (not c.closing, c.idle_since))

    def _make_room(self) -> None:
        """Drop lingering connections, and close the longest unused; those are dropped at the next look."""
        for connection in self._closable(READ_GRACE_S)[: self._surplus()]:
            if connection.closing:
                connection.drop()
            else:
                connection.linger()
        if len(self.connections) > self.max_connections:
            self._room_timer = self.clock.callLater(READ_GRACE_S, self._make_room)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a connection that is lost."""
        self.connections.pop(connection, None)

    def drain(self) -> None:
        """Take nothing new: unused connections close now, the others after their response."""
        self.draining = True
        for connection in list(self.connections):
            connection.drain()
