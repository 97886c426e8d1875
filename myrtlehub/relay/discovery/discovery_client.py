"""Client for the discovery service: fetches the complete endpoint list, then watches for changes."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from myrtlehub.clock import TIMER_TOLERANCE_S, Clock, Timer
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
# Time after which a request counts as unanswered, and others are sent; for a watch, in addition to
# WATCH_DURATION_S.
RESPONSE_TIMEOUT_S = 1.0
# Some unanswered requests are kept for this time, because discovery may only be slow. With one more in each
# OVERDUE_INTERVAL_S, a response that takes this long is known RESPONSE_TIMEOUT_S + OVERDUE_INTERVAL_S after a
# change at most, in addition to the time that it takes: less than 6 s.
OVERDUE_TIMEOUT_S = 3.0
OVERDUE_INTERVAL_S = 1.0
MAX_OVERDUE_REQUESTS = 4
CONNECT_TIMEOUT_S = 1.0
# Interval of requests while there is no current list. It is short because discovery does not answer earlier
# requests once it responds again, and because a draining engine may accept requests for only 250 ms after
# discovery was notified of the drain.
RETRY_INTERVAL_S = 0.12
MAX_LIST_BYTES = 4 * 1024 * 1024  # limit for the body of a response
STATUS_OK = 200


class _ListResponseHandler(ResponseHandler):
    """Collects a response, and calls `on_body` once: with the body, or with None if it cannot be used."""

    max_announced_bytes = MAX_LIST_BYTES

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


@dataclass(slots=True, eq=False)
class _ListRequest:
    """An outstanding request for the complete list or for changes.

    Attributes:
        since_version: The version after which changes are requested; None for the complete list.
        pending: The request; None before it is sent.
        overdue_since: Clock time in seconds since which it counts as unanswered, or None.
    """

    since_version: int | None
    pending: PendingRequest | None = None
    overdue_since: float | None = None

    @property
    def watch_duration(self) -> float:
        """Seconds for which discovery may delay its response while the list is unchanged."""
        return 0.0 if self.since_version is None else WATCH_DURATION_S

    def cancel(self) -> None:
        """Cancel the request."""
        if self.pending is not None:
            self.pending.cancel()


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
        self._requests: list[_ListRequest] = []  # several only while discovery does not respond
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
        requests, self._requests = self._requests, []
        for request in requests:
            request.cancel()

    def _call_later(self, delay: float, call: Callable[..., None], *args: Any) -> Timer:  # noqa: ANN401
        timer = self.clock.callLater(delay, call, *args)
        self._timers = [*(other for other in self._timers if other.active()), timer]
        return timer

    def _send_request(self) -> None:
        """Send a watch from the current version, or request the complete list if there is no version."""
        request = _ListRequest(self.version)
        target = LIST_PATH
        if request.since_version is not None:
            target += b"?since=%d&timeout_ms=%d" % (request.since_version, WATCH_DURATION_S * 1000)
        response = _ListResponseHandler(lambda body: self._on_response(request, body))
        # Scheduled before the send, because that may raise, and no request would ever be sent again.
        next_request = self._call_later(RETRY_INTERVAL_S, self._send_request)
        request.pending = self.pool.send(
            self.address, self.address, ClientRequest(b"GET", target, []), response
        )
        self._requests.append(request)
        self._call_later(request.watch_duration + RESPONSE_TIMEOUT_S, self._on_timeout, request)
        if request.since_version is not None:
            # Unlike requests for the complete list, a watch is not repeated while it is outstanding: its
            # response may have arrived while this process was suspended, and be waiting to be read.
            next_request.cancel()

    def _on_timeout(self, request: _ListRequest) -> None:
        """Count a request as unanswered; cancel it, or keep it for some time as overdue.

        The limit starts when the connection is established, not when the request is submitted. Otherwise, if
        establishing a connection always took almost RESPONSE_TIMEOUT_S, every request would be cancelled just
        after it was sent.
        """
        pending = request.pending
        if request not in self._requests or pending is None:
            return
        time_left = pending.ready_since + request.watch_duration + RESPONSE_TIMEOUT_S - self.clock.seconds()
        if pending.connecting is not None or time_left > TIMER_TOLERANCE_S:
            self._call_later(max(time_left, RETRY_INTERVAL_S), self._on_timeout, request)
            return
        if self._may_be_overdue():
            request.overdue_since = self.clock.seconds()
            self._call_later(OVERDUE_TIMEOUT_S, self._give_up, request)
        else:
            self._give_up(request)
        self._on_failure("no response in time")

    def _may_be_overdue(self) -> bool:
        """Return whether one more unanswered request is kept."""
        overdue_since = [
            request.overdue_since for request in self._requests if request.overdue_since is not None
        ]
        return not overdue_since or (
            len(overdue_since) < MAX_OVERDUE_REQUESTS
            and self.clock.seconds() - max(overdue_since) >= OVERDUE_INTERVAL_S
        )

    def _give_up(self, request: _ListRequest) -> None:
        if request in self._requests:
            self._requests.remove(request)
            request.cancel()

    def _on_response(self, request: _ListRequest, body: bytes | None) -> None:
        """Apply a response. The response to an overdue watch is as good as any.

        It has the changes since a version, and the list still has that version: a response that is applied
        ends all other requests.
        """
        if self._is_closed or request not in self._requests:
            return
        self._requests.remove(request)
        try:
            update = self._decode(request, body)
        except (EndpointListError, MalformedJsonError) as error:
            if request.overdue_since is None:
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
        next_request.reset(self._pause_after(request, update))

    def _pause_after(self, request: _ListRequest, update: EndpointListUpdate) -> float:
        """Return the seconds before the next watch: none, unless a watch was answered early with no change.

        A watch continues if the next one comes within 200 ms of the last response (the operators' protocol).
        """
        is_unchanged = not update.entries and not update.is_complete
        pending = request.pending
        was_early = pending is not None and self.clock.seconds() - pending.ready_since < WATCH_DURATION_S / 2
        return RETRY_INTERVAL_S if is_unchanged and was_early else 0.0

    def _decode(self, request: _ListRequest, body: bytes | None) -> EndpointListUpdate:
        if body is None:
            raise EndpointListError("no usable response")
        now = self.clock.seconds()
        update = self.decoder.decode(parse_json(body), now)
        # Not done in the decoder, which also decodes the fallback list; that list may be outdated.
        self.decoder.start_times.record_discovery_response(now)
        if request.since_version is None and not update.is_complete:
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
