"""A request to a peer from its coming to its end: waiting for a connection, on one, or finished."""

from collections.abc import Callable

from myrtlehub.http1.client_connection import (
    ClientConnection,
    ClientRequest,
    ConnectionOwner,
    ResponseHandler,
)
from myrtlehub.http1.interfaces import Connecting

# Called just before the first byte: the request as it is written, or None where it is not wanted any more.
AtFirstByte = Callable[[ClientRequest], ClientRequest | None]


class PendingRequest:
    """One request on its way; `local_failures` counts the tries that this machine had no resources for."""

    __slots__ = (
        "address",
        "at_first_byte",
        "connecting",
        "connection",
        "finished",
        "handler",
        "key",
        "local_failures",
        "paused",
        "pool",
        "ready_since",
        "request",
    )

    def __init__(
        self,
        pool: ConnectionOwner,
        key: str,
        address: str,
        request: ClientRequest,
        handler: ResponseHandler,
        at_first_byte: AtFirstByte,
    ) -> None:
        self.pool = pool
        self.key = key
        self.address = address
        self.request = request
        self.handler = handler
        self.at_first_byte = at_first_byte
        self.connection: ClientConnection | None = None
        self.connecting: Connecting | None = None
        self.ready_since = pool.clock.seconds()  # the later of its coming and its connection's
        self.local_failures = 0
        self.finished = False
        self.paused = False

    @property
    def is_sent(self) -> bool:
        """Whether its last byte has left, and its response is still to come."""
        return self.connection is not None and self.connection.request_sent

    def mark_finished(self) -> None:
        """Note that nothing more comes of it."""
        self.finished = True
        self.connection = None

    def cancel(self) -> None:
        """Give it up: its connection is closed, and its handler is not called any more."""
        if self.finished:
            return
        self.finished = True
        if self.connecting is not None:
            connecting, self.connecting = self.connecting, None
            connecting.cancel()
        if self.connection is not None:
            connection, self.connection = self.connection, None
            if connection.pending is None:
                self.pool.add_idle(connection)  # nothing was written on it yet
            else:
                connection.pending = None
                connection.close()

    def pause(self) -> None:
        """Read no more of the response for now."""
        if self.connection is not None:
            self.paused = True
            self.connection.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self.connection is not None:
            self.paused = False
            self.connection.transport.resumeProducing()
