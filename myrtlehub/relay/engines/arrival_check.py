"""Checks whether an attempt has arrived at its engine, although the engine has not answered it yet."""

from collections.abc import Callable

from myrtlehub.clock import Clock
from myrtlehub.http1.client_request import ClientRequest, ResponseHandler
from myrtlehub.http1.connection_pool import ConnectionPool
from myrtlehub.http1.headers import Headers
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.http1.tcp_transport import unacknowledged_bytes
from myrtlehub.node.sequences import Attempt
from myrtlehub.relay.engines.state_release import ReleaseTarget

ALIVE_PATH = b"/alive"  # each engine answers it, with 404 where the platform allows no probes
# After which the request is cancelled: an engine that is cut off shows no error, and each request that it
# does not answer would keep a connection
# (test_the_check_of_an_engine_that_never_answers_keeps_no_connection).
CHECK_TIMEOUT_S = 1.0
RECHECK_INTERVAL_S = 0.03  # while the attempt is not sent, or sent bytes are not acknowledged


class _AnyResponseHandler(ResponseHandler):
    """Calls `on_response` at the head of a response, whatever its status."""

    def __init__(self, on_response: Callable[[], None]) -> None:
        self._on_response = on_response

    def on_head(self, status: int, headers: Headers) -> None:
        """Report the response."""
        self._on_response()


class ArrivalCheck:
    """One check: the engine answers another request that is sent after the attempt, on a new connection.

    This shows that the engine runs and that the network to it was not cut when the attempt was sent. The
    attempt's own connection may still be silent, so the system also has to report that the engine's system
    has acknowledged all bytes of the attempt; not every system can tell. Neither proves that the engine's
    program has read the attempt. The check ends with the attempt.

    Args:
        clock: The node's clock.
        pool: Connections to engines.
        attempt: The attempt.
        target: Its engine.
        on_arrived: Called once if the attempt has arrived.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        attempt: Attempt,
        target: ReleaseTarget,
        on_arrived: Callable[[Attempt], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._attempt = attempt
        self._target = target
        self._on_arrived = on_arrived

    def start(self) -> None:
        """Send the request once the attempt is sent."""
        if not self._is_unanswered():
            return
        if self._sent_request() is None:
            self._clock.callLater(RECHECK_INTERVAL_S, self.start)
            return
        request = ClientRequest(b"GET", ALIVE_PATH, [])
        handler = _AnyResponseHandler(self._on_response)
        pending = self._pool.send(
            self._target.name, self._target.dial_address, request, handler, may_reuse=False
        )
        self._clock.callLater(CHECK_TIMEOUT_S, pending.cancel)

    def _is_unanswered(self) -> bool:
        return self._attempt.is_outstanding and not self._attempt.is_streaming

    def _sent_request(self) -> PendingRequest | None:
        """Return the request of the attempt if its last byte has left this process."""
        call = self._attempt.call
        return call if isinstance(call, PendingRequest) and call.is_sent else None

    def _on_response(self) -> None:
        sent = self._sent_request()
        if not self._is_unanswered() or sent is None or sent.connection is None:
            return
        if unacknowledged_bytes(sent.connection.transport):
            self._clock.callLater(RECHECK_INTERVAL_S, self._on_response)
        else:
            self._on_arrived(self._attempt)
