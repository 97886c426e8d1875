"""The listening port for clients, with a bound on the connections accepted per reactor turn."""

import socket

from twisted.internet.address import IPv4Address
from twisted.internet.tcp import Port

from myrtlehub.clock import Clock
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.relay.process.descriptor_budget import MAX_ACCEPTS_PER_TURN

BACKLOG = 511  # length of the accept queue, as connections arrive in bursts of hundreds
RETRY_DELAY_S = 0.02  # after accept() failed for lack of a resource; an immediate retry would fail too


class BoundedPort(Port):
    """A port that accepts at most MAX_ACCEPTS_PER_TURN connections per reactor turn.

    Twisted's `Port` adapts this number to the recent load. A burst can then exhaust the file descriptors
    before the listener has closed unused connections. Without a free descriptor, Twisted accepts the next
    connection and closes it at once, so that a request already sent on it is lost. Here the connection stays
    in the accept queue.
    """

    def __init__(
        self, listener: ConnectionListener, clock: Clock, address: tuple[str, int], reactor: object
    ) -> None:
        host, port = address
        super().__init__(
            port,
            listener,  # type: ignore[arg-type] # IProtocolFactory is a zope interface, unknown to mypy
            BACKLOG,
            host,
            reactor,
        )
        self._listener = listener
        self._clock = clock
        # Time since when connections may have been waiting in the accept queue; None if it was empty.
        self._stalled_since: float | None = None
        self._has_accept_failed = False  # the last `doRead` could not accept for lack of a resource

    def doRead(self) -> None:  # noqa: N802
        """Accept pending connections, and set the listener's `waiting_since` meanwhile."""
        self._listener.waiting_since = self._stalled_since
        self._has_accept_failed = False
        try:
            for _ in range(MAX_ACCEPTS_PER_TURN):
                accepted, peer = self.socket.accept()
                self._open(accepted, peer)
        except BlockingIOError:
            self._stalled_since = None  # the accept queue is empty
        except OSError:
            self._has_accept_failed = True
            self.pause()
            self._clock.callLater(RETRY_DELAY_S, self.resume)
        finally:
            self._listener.waiting_since = None

    def _open(self, accepted: socket.socket, peer: tuple[str, int]) -> None:
        protocol = self._listener.buildProtocol(IPv4Address("TCP", *peer))
        self.sessionno += 1
        transport = self.transport(
            accepted,
            protocol,  # type: ignore[arg-type] # IProtocol is a zope interface, unknown to mypy
            peer,
            self,
            self.sessionno,
            self.reactor,
        )
        protocol.makeConnection(transport)  # type: ignore[no-untyped-call] # Twisted has no annotation

    def set_full(self, is_full: bool) -> None:
        """Stop accepting if the listener has reached its connection limit, otherwise accept again."""
        if is_full:
            self.pause()
        else:
            self.resume()

    def pause(self) -> None:
        """Stop accepting until `resume` is called. No effect on a closed port."""
        if self.connected:
            self.stopReading()  # type: ignore[no-untyped-call] # Twisted has no annotation
            if self._stalled_since is None:
                self._stalled_since = self._clock.seconds()

    def resume(self) -> None:
        """Accept again. No effect on a closed port.

        All connections that are accepted until the queue is empty count as waiting since the pause.
        """
        if self.connected:
            self.startReading()  # type: ignore[no-untyped-call] # Twisted has no annotation
            self.doRead()

    def accept_all(self) -> bool:
        """Accept all connections in the accept queue: they are established, so they need a response.

        Returns:
            False if some may be left there, because accepting fails at present.
        """
        for _ in range(BACKLOG // MAX_ACCEPTS_PER_TURN + 1):
            self.doRead()
            if self._has_accept_failed:
                return False
        return True
