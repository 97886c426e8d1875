"""Idle connections to peers: selection for reuse, and closing after the idle timeout."""

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.bounds import MIN_IDLE_BEFORE_REUSE_S, REUSE_SUSPENSION_S
from myrtlehub.http1.client_interfaces import PooledConnection
from myrtlehub.http1.close_reason import PeerCloseReason

SWEEP_INTERVAL_S = 1.0  # between two checks for connections that have been idle longer than `max_idle`


class IdleConnections:
    """Idle connections of each peer, in the order in which they became idle.

    Attributes:
        max_idle: Seconds after which an idle connection is closed.
    """

    def __init__(self, clock: Clock, max_idle: float) -> None:
        self.clock = clock
        self.max_idle = max_idle
        self._by_peer: dict[str, list[PooledConnection]] = {}
        self._reuse_allowed_from = float("-inf")
        self._sweep_timer: Timer | None = None

    def __len__(self) -> int:
        return sum(len(connections) for connections in self._by_peer.values())

    def of_peer(self, peer: str) -> list[PooledConnection]:
        """Return the idle connections to a peer."""
        return list(self._by_peer.get(peer, ()))

    def add(self, connection: PooledConnection) -> None:
        """Store a connection that has just become idle."""
        connection.idle_since = self.clock.seconds()
        self._by_peer.setdefault(connection.peer, []).append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    def take(self, peer: str) -> PooledConnection | None:
        """Remove and return the most recently used connection that may be reused, if any.

        A connection must have been idle for MIN_IDLE_BEFORE_REUSE_S. If the peer sends surplus data after its
        last response, this data arrives within that time and the connection is closed.
        """
        now = self.clock.seconds()
        connections = self._by_peer.get(peer, [])
        if not self.is_reuse_allowed():
            return None
        for position in range(len(connections) - 1, -1, -1):
            idle_time = now - connections[position].idle_since
            if idle_time > self.max_idle:
                return None
            if idle_time >= MIN_IDLE_BEFORE_REUSE_S:
                return connections.pop(position)
        return None

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection that is closed or lost."""
        connections = self._by_peer.get(connection.peer)
        if connections and connection in connections:
            connections.remove(connection)
        if connections is not None and not connections:
            del self._by_peer[connection.peer]

    def suspend_reuse(self) -> None:
        """Stop reusing connections for REUSE_SUSPENSION_S: after one failed, others may be broken too."""
        self._reuse_allowed_from = self.clock.seconds() + REUSE_SUSPENSION_S

    def is_reuse_allowed(self) -> bool:
        """Return whether connections may be reused now."""
        return self.clock.seconds() >= self._reuse_allowed_from

    def close_longest_idle(self) -> bool:
        """Close the connection to any peer that has been idle longest; return whether there was one."""
        candidates = (connections[0] for connections in self._by_peer.values() if connections)
        oldest = min(candidates, key=lambda connection: connection.idle_since, default=None)
        if oldest is not None:
            oldest.close(PeerCloseReason.ROOM_NEEDED)
        return oldest is not None

    def _sweep(self) -> None:
        self._sweep_timer = None
        now = self.clock.seconds()
        try:
            for connections in list(self._by_peer.values()):
                expired = [
                    connection for connection in connections if now - connection.idle_since > self.max_idle
                ]
                for connection in expired:
                    connection.close(PeerCloseReason.IDLE_TIMEOUT)
        finally:  # schedule the next sweep even if closing a transport raises an exception
            if self._by_peer:
                self._sweep_timer = self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)
