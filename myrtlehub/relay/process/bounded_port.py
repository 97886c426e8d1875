"""Listening port for clients, with a bound on the connections accepted per reactor turn."""

import socket

from twisted.internet.address import IPv4Address
from twisted.internet.tcp import Port

from myrtlehub.clock import Clock
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.relay.process.descriptor_budget import MAX_ACCEPTS_PER_TURN

ACCEPT_QUEUE_LENGTH = 511  # argument of listen(); connections arrive in bursts of hundreds
# Delay after accept() failed for lack of a resource, because an immediate retry would fail too.
ACCEPT_RETRY_DELAY_S = 0.02


class BoundedPort(Port):
    """Port that accepts at most MAX_ACCEPTS_PER_TURN connections per reactor turn.

    Twisted's `Port` adapts this number to the recent load, so that a burst can exhaust the file descriptors
    before the listener has closed unused connections. Without a free descriptor, Twisted accepts the next
    connection and closes it immediately, which loses a request already sent on it. Here the connection stays
    in the accept queue.
    """

    def __init__(
        self, listener: ConnectionListener, clock: Clock, address: tuple[str, int], reactor: object
    ) -> None:
        host, port = address
        super().__init__(
            port,
            listener,  # type: ignore[arg-type] # IProtocolFactory is a zope interface, unknown to mypy
            ACCEPT_QUEUE_LENGTH,
            host,
            reactor,
        )
        self._listener = listener
        self._clock = clock
        # Clock time since which connections may have been waiting in the accept queue; None if it is empty.
        self._queued_since: float | None = None
        self._has_accept_failed = False  # for lack of a resource, in the last `doRead`

    def doRead(self) -> None:  # noqa: N802
        """Accept pending connections; the listener's `accept_queued_since` is set during the call."""
        self._listener.accept_queued_since = self._queued_since
        self._has_accept_failed = False
        try:
            for _ in range(MAX_ACCEPTS_PER_TURN):
                accepted, peer = self.socket.accept()
                self._make_connection(accepted, peer)
        except BlockingIOError:
            self._queued_since = None  # the accept queue is empty
        except OSError:
            self._has_accept_failed = True
            self.pause()
            self._clock.callLater(ACCEPT_RETRY_DELAY_S, self.resume)
        finally:
            self._listener.accept_queued_since = None

    def _make_connection(self, accepted: socket.socket, peer: tuple[str, int]) -> None:
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

    def set_connection_limit_reached(self, is_full: bool) -> None:
        """Stop accepting while the listener is at its connection limit."""
        if is_full:
            self.pause()
        else:
            self.resume()

    def pause(self) -> None:
        """Stop accepting until `resume` is called. Does nothing if the port is closed."""
        if self.connected:
            self.stopReading()  # type: ignore[no-untyped-call] # Twisted has no annotation
            if self._queued_since is None:
                self._queued_since = self._clock.seconds()

    def resume(self) -> None:
        """Accept again. Does nothing if the port is closed.

        All connections accepted until the queue is empty count as waiting since the pause.
        """
        if self.connected:
            self.startReading()  # type: ignore[no-untyped-call] # Twisted has no annotation
            self.doRead()

    def accept_pending(self) -> bool:
        """Accept all connections in the accept queue: they are established, so they need a response.

        Returns:
            False if some may be left in the queue because accept() currently fails.
        """
        for _ in range(ACCEPT_QUEUE_LENGTH // MAX_ACCEPTS_PER_TURN + 1):
            self.doRead()
            if self._has_accept_failed:
                return False
        return True
