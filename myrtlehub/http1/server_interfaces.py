"""Interfaces between clients' connections and their listener."""

from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.server_exchange import ServerExchange


class AdmittedConnection(Protocol):
    """Connection of a client as its listener sees it.

    Attributes:
        idle_since: Clock time in seconds since which it is idle or lingers.
        is_closing: It lingers or was aborted: no further request is read.
        is_dropped: It was aborted to free its descriptor, and is lost within a reactor turn.
    """

    idle_since: float
    is_closing: bool
    is_dropped: bool

    @property
    def has_open_request(self) -> bool:
        """Whether a request awaits the end of its response."""

    @property
    def is_unused(self) -> bool:
        """Whether no byte of a request has come since the last response."""

    def linger(self, reason: CloseReason) -> None:
        """Close gracefully."""

    def drop(self) -> None:
        """Close at once to free the descriptor."""

    def drain(self) -> None:
        """Close if no request has begun."""


class ConnectionSupervisor(Protocol):
    """Listener as its connections see it.

    Attributes:
        clock: The clock.
        is_draining: A graceful shutdown is under way: idle connections close.
        total_read_ahead: Bytes of all connections that are not part of a complete request yet.
        waiting_since: Clock time in seconds since which connections accepted now may have waited in the
            accept queue; None if they have not.
    """

    clock: Clock
    is_draining: bool
    total_read_ahead: int
    waiting_since: float | None

    def connection_opened(self, connection: AdmittedConnection) -> None:
        """Admit a connection."""

    def connection_closed(self, connection: AdmittedConnection) -> None:
        """Forget a connection that is lost."""

    def connection_closing(self, reason: CloseReason, exchange: ServerExchange | None) -> None:
        """Handle that the server closes a connection; `exchange` is its open request, if any."""

    def on_request(self, exchange: ServerExchange) -> None:
        """Handle a complete request."""
