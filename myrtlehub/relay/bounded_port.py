"""The port of clients: so many connections a turn, and none is accepted in order to be closed."""

import socket

from twisted.internet.address import IPv4Address
from twisted.internet.tcp import Port

from myrtlehub.clock import Clock
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.relay.node import MAX_ACCEPTS_PER_TURN

BACKLOG = 511  # connections that may wait to be accepted: bursts come by hundreds
RETRY_DELAY_S = 0.02  # after accept failed for lack of a resource: it fails again at once


class BoundedPort(Port):
    """Accepts so many connections a turn at most, whatever the reactor has seen of late.

    Guards against descriptors that run out before the first of a rush is closed for another. Twisted's own
    port accepts a connection for which there is no descriptor in order to close it: a request that was sent
    on it would be lost, where in the system's queue it waits.
    """

    def __init__(
        self, listener: ConnectionListener, clock: Clock, address: tuple[str, int], reactor: object
    ) -> None:
        host, port = address
        super().__init__(port, listener, BACKLOG, host, reactor)
        self._clock = clock
        self._stalled_since: float | None = None  # since when who came may have had to wait

    def doRead(self) -> None:  # noqa: N802
        """Accept those who wait; the listener is told since when they may have waited."""
        self.factory.waiting_since = self._stalled_since
        try:
            for _ in range(MAX_ACCEPTS_PER_TURN):
                accepted, peer = self.socket.accept()
                self._open(accepted, peer)
        except BlockingIOError:
            self._stalled_since = None  # nobody waits any more
        except OSError:
            self.pause()
            self._clock.callLater(RETRY_DELAY_S, self.resume)
        finally:
            self.factory.waiting_since = None

    def _open(self, accepted: socket.socket, peer: tuple[str, int]) -> None:
        protocol = self.factory.buildProtocol(IPv4Address("TCP", *peer))
        self.sessionno += 1
        transport = self.transport(accepted, protocol, peer, self, self.sessionno, self.reactor)
        protocol.makeConnection(transport)

    def set_full(self, full: bool) -> None:
        """Accept no more for a moment, or go on, unless it was closed meanwhile."""
        if full:
            self.pause()
        else:
            self.resume()

    def pause(self) -> None:
        """Accept nobody until `resume`."""
        if self.connected:
            self.stopReading()
            if self._stalled_since is None:
                self._stalled_since = self._clock.seconds()

    def resume(self) -> None:
        """Accept again; who came meanwhile counts from then, for as long as anybody waits."""
        if self.connected:
            self.startReading()
            self.doRead()

    def accept_all(self) -> None:
        """Accept all who wait: they were taken by this machine, and an answer is due to them."""
        for _ in range(BACKLOG // MAX_ACCEPTS_PER_TURN + 1):
            self.doRead()
