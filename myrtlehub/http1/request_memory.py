"""Memory of the requests of all client connections together."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from myrtlehub.http1.bounds import MAX_INCOMPLETE_BYTES, MAX_OPEN_BYTES


class RequestMemoryLimits(NamedTuple):
    """Limits for the requests of all client connections together.

    Attributes:
        incomplete_bytes: Received data that is not part of a complete request yet.
        open_bytes: Bodies of the complete requests that await the end of their response.
    """

    incomplete_bytes: int = MAX_INCOMPLETE_BYTES
    open_bytes: int = MAX_OPEN_BYTES


class IncompleteRequest(Protocol):
    """A connection that may hold an incomplete request."""

    @property
    def incomplete_bytes(self) -> int:
        """Bytes held of an incomplete request that can be rejected; 0 if there is none."""

    def reject_for_memory(self) -> None:
        """Respond with 503, and free the incomplete request."""


class RequestMemory:
    """Counts and limits the memory of requests.

    Attributes:
        limits: The limits.
        incomplete_bytes: Received data of all connections that is not part of a complete request yet.
        open_bytes: Bodies of the open requests of all connections.
    """

    def __init__(self, limits: RequestMemoryLimits) -> None:
        self.limits = limits
        self.incomplete_bytes = 0
        self.open_bytes = 0

    def may_read_ahead(self, size: int) -> bool:
        """Return whether `size` more bytes may be held that follow an open request."""
        return self.incomplete_bytes + size <= self.limits.incomplete_bytes

    def may_open(self, size: int) -> bool:
        """Return whether a request with a body of `size` bytes may be opened."""
        return self.open_bytes + size <= self.limits.open_bytes

    def reject_largest(self, connections: Iterable[IncompleteRequest]) -> None:
        """Reject the largest incomplete requests until the others are within their limit.

        A usual request is complete after a few reads, so it is not the largest one for long.
        """
        if self.incomplete_bytes <= self.limits.incomplete_bytes:
            return
        by_size = sorted(connections, key=lambda connection: connection.incomplete_bytes, reverse=True)
        for connection in by_size:
            if self.incomplete_bytes <= self.limits.incomplete_bytes or not connection.incomplete_bytes:
                return
            connection.reject_for_memory()
