"""Interfaces between client connections, their pool, the requests on them and the reactor."""

from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.http1.client_request import ClientRequest, ResponseHandler
from myrtlehub.http1.tcp_transport import Transport


class OutstandingRequest(Protocol):
    """Request as its connection sees it.

    Attributes:
        request: What is sent.
        address: HOST:PORT of the peer, sent as the Host header.
        handler: Receives the response.
    """

    request: ClientRequest
    address: str
    handler: ResponseHandler

    def mark_finished(self) -> None:
        """Record that the request has ended, and drop the reference to its connection."""


class PooledConnection(Protocol):
    """Connection to a peer as its pool and its request see it.

    Attributes:
        peer: Name of the peer.
        pending: Request that awaits its response, if any.
        idle_since: Clock time in seconds at which the pool last stored it; undefined while it is in use.
        is_closed: It is closed or lost.
        is_request_sent: The last byte of the current request has been sent.
        has_completed_request: An earlier request was completed on it.
        transport: Its TCP transport.
    """

    peer: str
    pending: OutstandingRequest | None
    idle_since: float
    is_closed: bool
    is_request_sent: bool
    has_completed_request: bool
    transport: Transport

    def send_request(self, pending: OutstandingRequest) -> None:
        """Send a request; the connection has to be idle."""

    def has_partial_data(self) -> bool:
        """Return whether the peer has sent a part of a chunk, or of its size line."""

    def close(self) -> None:
        """Close the connection at once."""


class ConnectionOwner(Protocol):
    """Pool as its connections and requests see it."""

    clock: Clock

    def add_idle(self, connection: PooledConnection) -> None:
        """Store a connection for reuse."""

    def remove(self, connection: PooledConnection) -> None:
        """Forget a connection that is closed or lost."""

    def suspend_reuse(self) -> None:
        """Reuse no idle connection for a while: one failed under its next request."""

    def is_reuse_allowed(self) -> bool:
        """Return whether idle connections may be reused now."""


class Connecting(Protocol):
    """Connection attempt: a Deferred that fires with the protocol of the connection."""

    def addCallbacks(  # noqa: N802
        self,
        callback: Callable[..., None],
        errback: Callable[..., None],
        *,
        callbackArgs: tuple[object, ...],  # noqa: N803
        errbackArgs: tuple[object, ...],  # noqa: N803
    ) -> object:
        """Register what to call when the connection is made, and when the attempt fails."""

    def cancel(self) -> None:
        """Abandon the attempt."""
