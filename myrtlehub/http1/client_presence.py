"""Whether a client with an open request is still connected, as far as the received data can show."""

from myrtlehub.http1.bounds import SURPLUS_QUIET_S
from myrtlehub.http1.tcp_transport import AbortableTransport, is_closed_by_peer, unread_bytes


class ClientPresence:
    """Tells whether the end of a client's connection may be hidden behind data that it sent before.

    The end of a connection is read after all of its data. If a client has sent much behind its open request,
    some of it may be unread, or not even received, when an attempt for the request is about to be sent.
    Test: `test_a_client_that_left_with_much_unread_gets_no_attempt`.
    """

    def __init__(self) -> None:
        self._surplus_at = float("-inf")

    def record_surplus(self, now: float) -> None:
        """Record that data behind the open request was read."""
        self._surplus_at = now

    def is_certain(self, transport: AbortableTransport, now: float) -> bool:
        """Return whether the client is connected, and its socket has been quiet since the open request."""
        return (
            now - self._surplus_at >= SURPLUS_QUIET_S
            and not unread_bytes(transport)
            and not is_closed_by_peer(transport)
        )
