"""Follows the endpoint list at the platform's discovery: the complete list first, then a watch."""

from collections.abc import Callable
from random import Random
from typing import Any

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.client_connection import ClientRequest, ResponseHandler
from myrtlehub.http1.connection_pool import ConnectionPool
from myrtlehub.http1.interfaces import Headers
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.relay.endpoint_list import EndpointListDecoder, EndpointListUpdate
from myrtlehub.relay.errors import EndpointListError, MalformedJsonError
from myrtlehub.relay.parsing import parse_json

PATH = b"/discovery/hosts"
# A change has to count 6 s after discovery had it. At the worst a watch falls silent just after it was sent,
# and the next connection is slow: WATCH_S, RESPONSE_TIMEOUT_S, RETRY_INTERVAL_S, CONNECT_TIMEOUT_S and
# RESPONSE_TIMEOUT_S, in all 5.12 s.
WATCH_S = 2.0  # that a watch may wait: an agent that went silent is noticed that soon
RESPONSE_TIMEOUT_S = 1.0  # for a response beyond that wait
CONNECT_TIMEOUT_S = 1.0  # for a connection to be made
# From request to request while there is no list: what the agent has counts from the moment at which it has
# it, a request that it took while it was silent is never answered, and the least grace is 250 ms.
RETRY_INTERVAL_S = 0.12
MAX_LIST_BYTES = 4 * 1024 * 1024  # of one response
TIMER_TOLERANCE_S = 0.001  # by which a timer may come early


class _ListResponse(ResponseHandler):
    """Collects one response; `on_body` is called with its body, or None where it can't be used."""

    def __init__(self, on_body: Callable[[bytes | None], None]) -> None:
        self.on_body = on_body
        self.parts: list[bytes] = []
        self.size = 0
        self.status = 0

    def on_head(self, status: int, headers: Headers) -> None:
        self.status = status

    def on_data(self, data: bytes) -> None:
        self.size += len(data)
        if self.size <= MAX_LIST_BYTES:
            self.parts.append(data)

    def on_complete(self) -> None:
        usable = self.status == 200 and self.size <= MAX_LIST_BYTES
        self.on_body(b"".join(self.parts) if usable else None)

    def on_failure(self, request_sent: bool) -> None:
        self.on_body(None)


class DiscoveryClient:
    """Calls `on_update` with each complete list and each change, in order.

    Attributes:
        address: Where discovery is.
        version: Of the list; None: the complete list is to be read next.
        has_answered: Discovery has answered at least once.
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
        self._failures = 0
        self._pending: list[PendingRequest] = []  # more than one only while discovery is silent
        self._timers: list[Timer] = []
        self._closed = False

    def start(self) -> None:
        """Request the list, and go on from there."""
        self._send()

    def move(self, address: str) -> None:
        """Follow discovery at another address: its first answer is the complete list."""
        if address == self.address:
            return
        self._stop()
        self.pool.close_idle(self.address)
        self.address = address
        self.version = None
        self._failures = 0
        self._send()

    def is_armed(self) -> bool:
        """Return whether something is due that goes on to follow the list."""
        return self._closed or any(timer.active() for timer in self._timers)

    def close(self) -> None:
        """Stop for good: the node ends."""
        self._closed = True
        self._stop()

    def _stop(self) -> None:
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

    def _send(self) -> None:
        watch_time = 0.0
        target = PATH
        if self.version is not None:
            watch_time = WATCH_S
            target += b"?since=%d&timeout_ms=%d" % (self.version, WATCH_S * 1000)
        response = _ListResponse(lambda body: self._on_body(pending, body))
        # Before all that may raise: without it nothing would ever be heard of discovery again.
        next_request = self._call_later(RETRY_INTERVAL_S, self._send)
        pending = self.pool.send(self.address, self.address, ClientRequest(b"GET", target, []), response)
        self._pending.append(pending)
        self._call_later(watch_time + RESPONSE_TIMEOUT_S, self._on_timeout, pending, watch_time)
        if self.version is not None:
            # Only without a list is one sent beside it: this process may itself be late to read.
            next_request.cancel()

    def _on_timeout(self, pending: PendingRequest, watch_time: float) -> None:
        """Give a request up once its connection has been up for as long as a response may take.

        Guards against requests given up just as they are connected, again and again, where each takes almost
        as long to connect as a response may.
        """
        if pending not in self._pending:
            return
        time_left = pending.ready_since + watch_time + RESPONSE_TIMEOUT_S - self.clock.seconds()
        if pending.connecting is not None or time_left > TIMER_TOLERANCE_S:
            self._call_later(max(time_left, RETRY_INTERVAL_S), self._on_timeout, pending, watch_time)
            return
        pending.cancel()
        self._on_body(pending, None)

    def _on_body(self, pending: PendingRequest, body: bytes | None) -> None:
        if self._closed or pending not in self._pending:
            return
        self._pending.remove(pending)
        try:
            update = self._decode(body)
        except (EndpointListError, MalformedJsonError) as error:
            self._on_failure(str(error))
            return
        if self._failures:
            self.log(LogEvent.DISCOVERY_RECOVERED, failed_polls=self._failures)
        self._stop()
        self._failures = 0
        self.has_answered = True
        # Where the update can't be applied, the complete list is read anew.
        next_request = self._call_later(RETRY_INTERVAL_S, self._send)
        self.version = None
        if update.entries or update.complete:
            self.on_update(update)
        self.version = update.version
        # a turn later, so that answers at once are no recursion; a watch is renewed well within its 200 ms
        next_request.reset(0)

    def _decode(self, body: bytes | None) -> EndpointListUpdate:
        if body is None:
            raise EndpointListError("no answer")
        now = self.clock.seconds()
        update = self.decoder.decode(parse_json(body), now)
        self.decoder.starts.discovery_answered(now)  # not the fallback list, which may be old
        if self.version is None and not update.complete:
            raise EndpointListError("whole: the first answer has to be the whole list")
        return update

    def _on_failure(self, reason: str) -> None:
        """Begin with the complete list, and request it again and again until it is there."""
        self._failures += 1
        if self.version is not None:
            self.version = None
            self._call_later(RETRY_INTERVAL_S * (0.5 + 0.5 * self.random.random()), self._send)
        if self._failures == 1:
            self.log(LogEvent.DISCOVERY_UNREACHABLE, reason=reason)
