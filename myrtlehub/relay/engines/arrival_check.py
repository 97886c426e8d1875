"""Checks whether an attempt has arrived at an engine that has not responded to it yet."""

from collections.abc import Callable

from myrtlehub.clock import Clock
from myrtlehub.http1.client_request import ClientRequest, ResponseHandler
from myrtlehub.http1.connection_pool import ConnectionPool
from myrtlehub.http1.headers import Headers
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.http1.tcp_transport import unacknowledged_bytes
from myrtlehub.node.sequences import Attempt
from myrtlehub.relay.engines.state_release import EngineAddress

LIVENESS_PATH = b"/alive"  # every engine responds, with status 404 if the platform does not allow probes
# Limit for the response. If the network to the engine is cut off, the connection reports no error, so each
# unanswered request would occupy a connection
# (test_the_check_of_an_engine_that_never_answers_keeps_no_connection).
CHECK_TIMEOUT_S = 1.0
RECHECK_INTERVAL_S = 0.03  # while the attempt is not completely sent, or not acknowledged by TCP


class _AnyResponseHandler(ResponseHandler):
    """Calls `on_response` when the head of a response is received, whatever its status."""

    def __init__(self, on_response: Callable[[], None]) -> None:
        self._on_response = on_response

    def on_head(self, status: int, headers: Headers) -> None:
        """Report that a response was received."""
        self._on_response()


class ArrivalCheck:
    """Checks the arrival of one attempt with a second request, sent later on a new connection.

    A response shows that the engine is running, and that the network to it was not cut off when the attempt
    was sent. The connection of the attempt itself may still be broken, so the engine's TCP stack must also
    have acknowledged all bytes of the attempt, if the operating system of this node can report that. This
    does not prove that the engine process has read the attempt. The check ends when the attempt ends.

    Args:
        clock: The node's clock.
        pool: Connections to engines.
        attempt: The attempt.
        engine: The engine to which the attempt was sent.
        on_arrived: Called once if the attempt has arrived.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        attempt: Attempt,
        engine: EngineAddress,
        on_arrived: Callable[[Attempt], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._attempt = attempt
        self._engine = engine
        self._on_arrived = on_arrived

    def start(self) -> None:
        """Send the request once the attempt has been sent completely."""
        if not self._is_unanswered():
            return
        if self._sent_request() is None:
            self._clock.callLater(RECHECK_INTERVAL_S, self.start)
            return
        request = ClientRequest(b"GET", LIVENESS_PATH, [])
        handler = _AnyResponseHandler(self._on_response)
        pending = self._pool.send(
            self._engine.name, self._engine.dial_address, request, handler, may_reuse=False
        )
        self._clock.callLater(CHECK_TIMEOUT_S, pending.cancel)

    def _is_unanswered(self) -> bool:
        return self._attempt.is_outstanding and not self._attempt.is_streaming

    def _sent_request(self) -> PendingRequest | None:
        """Return the request of the attempt if it has been sent completely; otherwise None."""
        call = self._attempt.transport_call
        return call if isinstance(call, PendingRequest) and call.is_sent else None

    def _on_response(self) -> None:
        request = self._sent_request()
        if not self._is_unanswered() or request is None or request.connection is None:
            return
        if unacknowledged_bytes(request.connection.transport):
            self._clock.callLater(RECHECK_INTERVAL_S, self._on_response)
        else:
            self._on_arrived(self._attempt)
