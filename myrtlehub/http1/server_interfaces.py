"""Interfaces between client connections and their listener."""

from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.parse_scheduler import ParseScheduler
from myrtlehub.http1.request_memory import RequestMemory
from myrtlehub.http1.server_exchange import ServerExchange


class AdmittedConnection(Protocol):
    """The part of a client connection that its listener uses.

    Attributes:
        idle_since: Clock time in seconds since which the connection has been idle or lingering.
        is_closing: Whether the connection is lingering or aborted, so that no further request is read.
        is_dropped: Whether the connection was aborted to free its file descriptor; the transport closes it
            within a reactor turn.
    """

    idle_since: float
    is_closing: bool
    is_dropped: bool

    @property
    def has_open_request(self) -> bool:
        """Whether a request awaits the end of its response."""

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has arrived since the last response."""

    @property
    def incomplete_bytes(self) -> int:
        """Bytes held of an incomplete request that can be rejected; 0 if there is none."""

    def reject_for_memory(self) -> None:
        """Respond with 503 and close, because the requests of all clients take too much memory."""

    def linger(self, reason: CloseReason) -> None:
        """Start a lingering close."""

    def drop(self) -> None:
        """Abort the connection to free its file descriptor."""

    def drain(self) -> None:
        """Close the connection if no request has begun."""


class ConnectionRegistry(Protocol):
    """The part of the listener that its connections use.

    Attributes:
        clock: Clock of the connections' timeouts.
        is_draining: Whether a graceful shutdown is in progress, in which idle connections are closed.
        parse_scheduler: Scheduler that parses the data of all connections.
        memory: Memory of the requests of all connections.
        accept_queued_since: Clock time in seconds since which connections accepted now may have been
            waiting in the accept queue; None if they have not.
    """

    clock: Clock
    is_draining: bool
    parse_scheduler: ParseScheduler
    memory: RequestMemory
    accept_queued_since: float | None

    def connection_opened(self, connection: AdmittedConnection) -> None:
        """Admit a connection."""

    def limit_incomplete_requests(self) -> None:
        """Reject the largest incomplete requests while all together exceed their limit."""

    def connection_closed(self, connection: AdmittedConnection) -> None:
        """Remove a connection that was lost."""

    def connection_closing(self, reason: CloseReason, exchange: ServerExchange | None) -> None:
        """Report that the server is closing a connection; `exchange` is its open request, if any."""

    def on_request(self, exchange: ServerExchange) -> None:
        """Handle a complete request."""
