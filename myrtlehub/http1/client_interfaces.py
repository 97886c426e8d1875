"""Interfaces between client connections, their pool, pending requests and the reactor."""

from collections.abc import Callable
from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.http1.client_request import ClientRequest, ResponseHandler
from myrtlehub.http1.close_reason import PeerCloseReason
from myrtlehub.http1.framing_progress import FramingProgress
from myrtlehub.http1.parse_scheduler import ParseScheduler
from myrtlehub.http1.tcp_transport import Transport


class OutstandingRequest(Protocol):
    """The part of a pending request that its connection and its pool use.

    Attributes:
        request: The request to send.
        address: HOST:PORT of the peer, sent as the Host header.
        handler: Handler of the response.
    """

    request: ClientRequest
    address: str
    handler: ResponseHandler

    def mark_finished(self) -> None:
        """Record that the request has ended, and drop the reference to its connection."""

    def cancel(self) -> None:
        """Cancel the request without calling its handler; close its connection if it was used."""


class PooledConnection(Protocol):
    """The part of a connection to a peer that its pool and its request use.

    Attributes:
        peer: Name of the peer.
        pending: Request that awaits its response, if any.
        idle_since: Clock time in seconds at which the connection became idle; undefined while it is in use.
        is_closed: Whether the connection is closed or lost.
        is_request_sent: Whether the last byte of the current request has been sent.
        has_completed_request: Whether an earlier request was completed on this connection.
        transport: TCP transport of the connection.
        framing_progress: What the framing of the current response has announced; an object for each response.
    """

    peer: str
    pending: OutstandingRequest | None
    idle_since: float
    is_closed: bool
    is_request_sent: bool
    has_completed_request: bool
    transport: Transport
    framing_progress: FramingProgress

    def send_request(self, pending: OutstandingRequest) -> None:
        """Send a request; the connection has to be idle."""

    def pause_response(self) -> None:
        """Stop reading and parsing the response."""

    def resume_response(self) -> None:
        """Read and parse the response again."""

    def discard_response(self) -> None:
        """Close the connection unless the rest of the response, which nobody needs, arrives soon."""

    def close(self, reason: PeerCloseReason) -> None:
        """Abort the connection; data that is not sent yet is discarded."""


class ConnectionOwner(Protocol):
    """The part of a connection pool that its connections and requests use.

    Attributes:
        clock: Clock of the pool.
        parse_scheduler: Scheduler that parses the responses.
    """

    clock: Clock
    parse_scheduler: ParseScheduler

    def add_idle(self, connection: PooledConnection) -> None:
        """Store an idle connection for reuse."""

    def request_finished(self, pending: OutstandingRequest) -> None:
        """Record that a request was completed, has failed or was cancelled."""

    def remove(self, connection: PooledConnection, reason: PeerCloseReason) -> None:
        """Remove a connection that is closed or lost."""

    def suspend_reuse(self) -> None:
        """Stop reusing idle connections for REUSE_SUSPENSION_S, because a reused one failed."""

    def is_reuse_allowed(self) -> bool:
        """Return whether idle connections may be reused now."""


class ConnectionAttempt(Protocol):
    """An attempt to connect: a Deferred that fires with the protocol of the new connection."""

    def addCallbacks(  # noqa: N802
        self,
        callback: Callable[..., None],
        errback: Callable[..., None],
        *,
        callbackArgs: tuple[object, ...],  # noqa: N803
        errbackArgs: tuple[object, ...],  # noqa: N803
    ) -> object:
        """Register the functions to call when the attempt succeeds or fails."""

    def cancel(self) -> None:
        """Cancel the attempt."""
