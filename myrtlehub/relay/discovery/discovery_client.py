"""Client for the discovery service: fetches the complete endpoint list, then watches for changes."""

from collections.abc import Callable
from random import Random
from typing import Any

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.body_buffer import BodyBuffer
from myrtlehub.http1.client_request import ClientRequest, RequestFailure, ResponseHandler
from myrtlehub.http1.connection_pool import ConnectionPool
from myrtlehub.http1.headers import Headers
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.relay.discovery.endpoint_list import EndpointListDecoder, EndpointListUpdate
from myrtlehub.relay.errors import EndpointListError, MalformedJsonError
from myrtlehub.relay.parsing import parse_json

LIST_PATH = b"/discovery/hosts"
# A change of the list has to take effect within 6 s. In the worst case, a watch gets no response and the next
# connection is slow, which takes WATCH_DURATION_S + RESPONSE_TIMEOUT_S + RETRY_INTERVAL_S + CONNECT_TIMEOUT_S
# + RESPONSE_TIMEOUT_S = 5.12 s.
WATCH_DURATION_S = 2.0  # how long discovery may delay its response to a watch while the list is unchanged
RESPONSE_TIMEOUT_S = 1.0  # limit for a response; for a watch, in addition to WATCH_DURATION_S
CONNECT_TIMEOUT_S = 1.0
# Interval of requests while there is no current list. It is short because discovery does not answer earlier
# requests once it responds again, and because a draining engine may accept requests for only 250 ms after
# discovery was notified of the drain.
RETRY_INTERVAL_S = 0.12
MAX_LIST_BYTES = 4 * 1024 * 1024  # limit for the body of a response
TIMER_TOLERANCE_S = 0.001  # a timer may fire early by this much
STATUS_OK = 200


class _ListResponseHandler(ResponseHandler):
    """Collects a response, and calls `on_body` once: with the body, or with None if it cannot be used."""

    def __init__(self, on_body: Callable[[bytes | None], None]) -> None:
        self.on_body = on_body
        self.body = BodyBuffer(MAX_LIST_BYTES)
        self.status = 0

    def on_head(self, status: int, headers: Headers) -> None:
        self.status = status

    def on_data(self, data: bytes) -> None:
        self.body.append(data)

    def on_complete(self) -> None:
        is_usable = self.status == STATUS_OK and not self.body.is_too_large
        self.on_body(bytes(self.body) if is_usable else None)

    def on_failure(self, failure: RequestFailure) -> None:
        self.on_body(None)


class DiscoveryClient:
    """Watches the endpoint list, and calls `on_update` with each complete list and each change, in order.

    Attributes:
        address: HOST:PORT of the discovery service.
        version: Version of the current list; None if the complete list must be fetched.
        has_answered: Whether discovery has sent a valid list or change since the client was started.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        address: str,
        decoder: EndpointListDecoder,
        on_update: Callable[[EndpointListUpdate], None],
        random: Random,
        log: Log = no_log,
    ) -> None:
        self.clock = clock
        self.pool = pool
        self.address = address
        self.decoder = decoder
        self.on_update = on_update
        self.random = random
        self.log = log
        self.version: int | None = None
        self.has_answered = False
        self._failure_count = 0  # since the last valid response
        self._pending: list[PendingRequest] = []  # several only while discovery does not respond
        self._timers: list[Timer] = []
        self._is_closed = False

    def start(self) -> None:
        """Fetch the complete list, then watch it for changes."""
        self._send_request()

    def change_address(self, address: str) -> None:
        """Use the discovery service at another address, and fetch the complete list from it."""
        if address == self.address:
            return
        self._cancel_all()
        self.pool.close_idle(self.address)
        self.address = address
        self.version = None
        self._failure_count = 0
        self._send_request()

    def is_armed(self) -> bool:
        """Return whether a timer that leads to the next request is scheduled, or the client is closed."""
        return self._is_closed or any(timer.active() for timer in self._timers)

    def close(self) -> None:
        """Stop watching the list permanently."""
        self._is_closed = True
        self._cancel_all()

    def _cancel_all(self) -> None:
        """Cancel all requests and timers."""
        timers, self._timers = self._timers, []
        for timer in timers:
            if timer.active():
                timer.cancel()
        requests, self._pending = self._pending, []
        for pending in requests:
            pending.cancel()

    def _call_later(self, delay: float, call: Callable[..., None], *args: Any) -> Timer:  # noqa: ANN401
        timer = self.clock.callLater(delay, call, *args)
        self._timers = [*(other for other in self._timers if other.active()), timer]
        return timer

    def _send_request(self) -> None:
        """Send a watch from the current version, or request the complete list if there is no version."""
        watch_duration = 0.0
        target = LIST_PATH
        if self.version is not None:
            watch_duration = WATCH_DURATION_S
            target += b"?since=%d&timeout_ms=%d" % (self.version, WATCH_DURATION_S * 1000)
        response = _ListResponseHandler(lambda body: self._on_response(pending, body))
        # Scheduled before the send, because that may raise, and no request would ever be sent again.
        next_request = self._call_later(RETRY_INTERVAL_S, self._send_request)
        pending = self.pool.send(self.address, self.address, ClientRequest(b"GET", target, []), response)
        self._pending.append(pending)
        self._call_later(watch_duration + RESPONSE_TIMEOUT_S, self._on_timeout, pending, watch_duration)
        if self.version is not None:
            # Unlike requests for the complete list, a watch is not repeated while it is outstanding: its
            # response may have arrived while this process was suspended, and be waiting to be read.
            next_request.cancel()

    def _on_timeout(self, pending: PendingRequest, watch_duration: float) -> None:
        """Cancel a request that has no response within its time limit.

        The limit starts when the connection is established, not when the request is submitted. Otherwise, if
        establishing a connection always took almost RESPONSE_TIMEOUT_S, every request would be cancelled just
        after it was sent.
        """
        if pending not in self._pending:
            return
        time_left = pending.ready_since + watch_duration + RESPONSE_TIMEOUT_S - self.clock.seconds()
        if pending.connecting is not None or time_left > TIMER_TOLERANCE_S:
            self._call_later(max(time_left, RETRY_INTERVAL_S), self._on_timeout, pending, watch_duration)
            return
        pending.cancel()
        self._on_response(pending, None)

    def _on_response(self, pending: PendingRequest, body: bytes | None) -> None:
        if self._is_closed or pending not in self._pending:
            return
        self._pending.remove(pending)
        try:
            update = self._decode(body)
        except (EndpointListError, MalformedJsonError) as error:
            self._on_failure(str(error))
            return
        if self._failure_count:
            self.log(LogEvent.DISCOVERY_RECOVERED, failed_polls=self._failure_count)
        self._cancel_all()
        self._failure_count = 0
        self.has_answered = True
        # If on_update() raises, this timer fetches the complete list again after RETRY_INTERVAL_S.
        next_request = self._call_later(RETRY_INTERVAL_S, self._send_request)
        self.version = None
        if update.entries or update.is_complete:
            self.on_update(update)
        self.version = update.version
        # Sent in the next reactor turn at the earliest, because an immediate response would cause recursion.
        next_request.reset(self._pause_after(pending, update))

    def _pause_after(self, pending: PendingRequest, update: EndpointListUpdate) -> float:
        """Return the seconds before the next watch: none, unless a watch was answered early with no change.

        A watch continues if the next one comes within 200 ms of the last response (the operators' protocol).
        """
        is_unchanged = not update.entries and not update.is_complete
        was_early = self.clock.seconds() - pending.ready_since < WATCH_DURATION_S / 2
        return RETRY_INTERVAL_S if is_unchanged and was_early else 0.0

    def _decode(self, body: bytes | None) -> EndpointListUpdate:
        if body is None:
            raise EndpointListError("no usable response")
        now = self.clock.seconds()
        update = self.decoder.decode(parse_json(body), now)
        # Not done in the decoder, which also decodes the fallback list; that list may be outdated.
        self.decoder.start_times.record_discovery_response(now)
        if self.version is None and not update.is_complete:
            raise EndpointListError("whole: the first response must have the complete list")
        return update

    def _on_failure(self, reason: str) -> None:
        """Fetch the complete list, with retries until it was received.

        Without a current list, the timer for the next request is already scheduled.
        """
        self._failure_count += 1
        if self.version is not None:
            self.version = None
            self._call_later(RETRY_INTERVAL_S * (0.5 + 0.5 * self.random.random()), self._send_request)
        if self._failure_count == 1:
            self.log(LogEvent.DISCOVERY_UNREACHABLE, reason=reason)
