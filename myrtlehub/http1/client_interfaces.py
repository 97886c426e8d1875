"""Interfaces by which client connections, their pool, pending requests and the reactor use each other."""

from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.http1.client_request import ClientRequest, ResponseHandler
from myrtlehub.http1.close_reason import PeerCloseReason
from myrtlehub.http1.tcp_transport import Transport


class OutstandingRequest(Protocol):
    """A pending request, as far as its connection uses it.

    Attributes:
        request: The request to send.
        address: HOST:PORT of the peer, sent as the Host header.
        handler: Receives the response.
    """

    request: ClientRequest
    address: str
    handler: ResponseHandler

    def mark_finished(self) -> None:
        """Record that the request has ended, and drop the reference to its connection."""


class PooledConnection(Protocol):
    """A connection to a peer, as far as its pool and its request use it.

    Attributes:
        peer: Name of the peer.
        pending: Request that awaits its response, if any.
        idle_since: Clock time in seconds at which the pool last stored it; undefined while it is in use.
        is_closed: Whether it is closed or lost.
        is_request_sent: Whether the last byte of the current request has been sent.
        has_completed_request: Whether an earlier request was completed on it.
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

    def close(self, reason: PeerCloseReason) -> None:
        """Close the connection at once."""


class ConnectionOwner(Protocol):
    """A connection pool, as far as its connections and requests use it."""

    clock: Clock

    def add_idle(self, connection: PooledConnection) -> None:
        """Store a connection for reuse."""

    def remove(self, connection: PooledConnection, reason: PeerCloseReason) -> None:
        """Remove a connection that is closed or lost."""

    def suspend_reuse(self) -> None:
        """Stop reusing idle connections for REUSE_SUSPENSION_S, because one has failed when it was reused."""

    def is_reuse_allowed(self) -> bool:
        """Return whether idle connections may be reused now."""


class Connecting(Protocol):
    """A connection attempt: a Deferred that fires with the protocol of the connection."""

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
