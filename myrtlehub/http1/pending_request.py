"""A request to a peer, from its submission until it completes, fails or is cancelled."""

from collections.abc import Callable

from myrtlehub.http1.client_interfaces import ConnectionAttempt, ConnectionOwner, PooledConnection
from myrtlehub.http1.client_request import ClientRequest, ResponseHandler
from myrtlehub.http1.close_reason import PeerCloseReason

# Returns whether the request may be written now; called again until it may.
ReadinessCheck = Callable[[], bool]
# Called just before the first byte is written. Returns the request to write, or None to abandon it.
FirstByteHook = Callable[[ClientRequest], ClientRequest | None]


class PendingRequest:
    """A request that waits for a connection, is on a connection, or is finished.

    Attributes:
        peer: Name of the peer.
        address: HOST:PORT of the peer.
        connection: Connection assigned to the request, if any.
        connecting: Connection attempt in progress for the request, if any.
        ready_since: Clock time in seconds at which the request was submitted or, if later, at which a new
            connection for it was established.
        local_failures: Number of connection attempts that failed for lack of a local resource.
        is_finished: Whether the request was completed, has failed or was cancelled.
        is_paused: Whether reading of the response is paused.
    """

    __slots__ = (
        "address",
        "at_first_byte",
        "connecting",
        "connection",
        "handler",
        "is_finished",
        "is_paused",
        "local_failures",
        "may_write",
        "peer",
        "pool",
        "ready_since",
        "request",
    )

    def __init__(
        self,
        pool: ConnectionOwner,
        peer: str,
        address: str,
        request: ClientRequest,
        handler: ResponseHandler,
        at_first_byte: FirstByteHook,
        may_write: ReadinessCheck,
    ) -> None:
        self.pool = pool
        self.peer = peer
        self.address = address
        self.request = request
        self.handler = handler
        self.at_first_byte = at_first_byte
        self.may_write = may_write
        self.connection: PooledConnection | None = None
        self.connecting: ConnectionAttempt | None = None
        self.ready_since = pool.clock.seconds()
        self.local_failures = 0
        self.is_finished = False
        self.is_paused = False

    @property
    def is_sent(self) -> bool:
        """Whether the complete request has been sent, and its response is not complete yet."""
        return self.connection is not None and self.connection.is_request_sent

    def mark_finished(self) -> None:
        """Record that the request has ended, and drop the reference to its connection."""
        self.is_finished = True
        self.connection = None
        self.pool.request_finished(self)

    def cancel(self) -> None:
        """Cancel the request without calling its handler; close its connection if it was used."""
        if self.is_finished:
            return
        self.is_finished = True
        self.pool.request_finished(self)
        if self.connecting is not None:
            connecting, self.connecting = self.connecting, None
            connecting.cancel()
        if self.connection is not None:
            connection, self.connection = self.connection, None
            if connection.pending is None:
                self.pool.add_idle(connection)  # no byte of the request was written
            else:
                connection.pending = None
                connection.close(PeerCloseReason.CANCELLED)

    def discard_response(self) -> None:
        """Close the connection unless the rest of the response, which nobody needs, arrives soon."""
        if self.connection is not None:
            self.connection.discard_response()

    def pause(self) -> None:
        """Pause reading of the response."""
        if self.connection is not None:
            self.is_paused = True
            self.connection.pause_response()

    def resume(self) -> None:
        """Resume reading of the response."""
        if self.connection is not None:
            self.is_paused = False
            self.connection.resume_response()
