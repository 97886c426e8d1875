"""One client's connection: reads requests, writes responses, closes in an orderly way."""

import typing
from enum import StrEnum
from http import HTTPStatus

import h11
from twisted.internet.protocol import Protocol

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.bounds import (
    DRAINING_FIRST_BYTE_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    LINGER_TIMEOUT_S,
    MAX_DISCARDED_BYTES,
    MAX_HEAD_BYTES,
    MAX_READ_AHEAD_BYTES,
    MAX_TOTAL_READ_AHEAD_BYTES,
    READ_GRACE_S,
    REQUEST_TIMEOUT_S,
    STALLED_WRITE_TIMEOUT_S,
)
from myrtlehub.http1.byte_arrivals import ByteArrivals
from myrtlehub.http1.interfaces import Headers
from myrtlehub.http1.request_assembler import RequestAssembler
from myrtlehub.http1.server_exchange import ServerExchange

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CloseReason(StrEnum):
    """Why this side closes a client's connection."""

    UNUSED = "unused"  # for longer than connections are kept
    LAST_RESPONSE = "last response"  # its response said that it closes, or the process ends
    MALFORMED = "malformed"  # a request that cannot be read, or is not complete in time
    STREAM_BROKE = "stream broke"  # its response is not complete
    DRAINING = "draining"  # the process ends
    ROOM = "room"  # for others
    LINGERED = "lingered"  # its client did not take the last response, or did not close
    STALLED = "stalled"  # its client took nothing of a stream
    FLOOD = "flood"  # its client sent far too much


class ConnectionSupervisor(typing.Protocol):
    """What a connection asks, and tells, whoever admitted it.

    Attributes:
        clock: The clock.
        draining: The process ends: nothing new is wanted.
        total_read_ahead: Bytes of all connections that are not read as complete requests yet.
        waiting_since: Since when those that are accepted now may have waited for that; None: not at all.
    """

    clock: Clock
    draining: bool
    waiting_since: float | None
    total_read_ahead: int

    def connection_opened(self, connection: "ServerConnection") -> None:
        """Admit a connection."""

    def connection_closed(self, connection: "ServerConnection") -> None:
        """Forget a connection that is lost."""

    def connection_closing(self, reason: CloseReason, exchange: ServerExchange | None) -> None:
        """Take note that this side closes it; `exchange` is its open request, if any."""

    def on_request(self, exchange: ServerExchange) -> None:
        """Handle a complete request."""


class ServerConnection(Protocol):
    """One client's connection, with one request at a time on it.

    Attributes:
        exchange: The request that is being answered, if any.
        idle_since: Since when it is unused, or lingers.
        had_request: A request was complete on it once.
        closing: It lingers, or is aborted.
        lost: It is closed.
        dropped: It was aborted to make room: lost within a turn.
    """

    def __init__(self, listener: ConnectionSupervisor) -> None:
        self.listener = listener
        self.clock = listener.clock
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.exchange: ServerExchange | None = None
        self.idle_since = self.clock.seconds()
        self.had_request = False
        self.closing = False
        self.lost = False
        self.dropped = False
        self._assembler = RequestAssembler()
        self._arrivals = ByteArrivals()
        self._waiting_since = listener.waiting_since
        self._read_ahead = 0  # bytes that came and are not read as a complete request yet
        self._discarded = 0
        self._deadline: Timer | None = None
        self._stall_timer: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the first request."""
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        draining = self.listener.draining
        self._set_deadline(DRAINING_FIRST_BYTE_TIMEOUT_S if draining else REQUEST_TIMEOUT_S)
        self.listener.connection_opened(self)

    def _set_deadline(self, delay: float) -> None:
        if self._deadline is not None and self._deadline.active():
            self._deadline.reset(delay)
        else:
            self._deadline = self.clock.callLater(delay, self._on_deadline)

    def _on_deadline(self) -> None:
        """Act on an incomplete request, an unused connection, or a last response that does not leave."""
        if self.closing:
            self._abort(CloseReason.LINGERED)
        elif self._assembler.started or self._read_ahead:
            self.reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.linger(CloseReason.DRAINING if self.listener.draining else CloseReason.UNUSED)

    @property
    def unused(self) -> bool:
        """Whether nothing of a request has come since the last response."""
        return self.exchange is None and not self._assembler.started and not self._read_ahead

    # -- reading ----------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests, one at a time."""
        if self.closing:
            return  # discarded, never sent on: what lies unread at the close would reset the last response
        if self._discarded or (self.exchange is not None and self._exceeds_read_ahead(len(data))):
            self._discard(len(data))
            return
        if self.unused:
            self._set_deadline(REQUEST_TIMEOUT_S)
        self._set_read_ahead(self._read_ahead + len(data))
        self._arrivals.add(len(data), self._arrival_time())
        self.http.receive_data(data)
        if self.exchange is None:
            self._read_requests()

    def _arrival_time(self) -> float:
        """Return when what is read now came, at the earliest: it may have waited to be accepted."""
        now = self.clock.seconds()
        waiting_since, self._waiting_since = self._waiting_since, None
        is_first_read = waiting_since is not None and now - self.idle_since <= READ_GRACE_S
        return waiting_since if is_first_read else now

    def _exceeds_read_ahead(self, size: int) -> bool:
        return (
            self._read_ahead + size > MAX_READ_AHEAD_BYTES
            or self.listener.total_read_ahead + size > MAX_TOTAL_READ_AHEAD_BYTES
        )

    def _set_read_ahead(self, size: int) -> None:
        self.listener.total_read_ahead += size - self._read_ahead
        self._read_ahead = size

    def _discard(self, size: int) -> None:
        """Discard what comes behind an open request beyond the bound.

        Guards against reading no more of it: the client's end lies behind these bytes, and its request would
        be sent on long after it has gone.
        """
        self._discarded += size
        if self._discarded > MAX_DISCARDED_BYTES:
            self._abort(CloseReason.FLOOD)

    def _read_requests(self) -> None:
        while self.exchange is None and not self.closing:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                self.reject(error.error_status_hint or HTTPStatus.BAD_REQUEST)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self._discarded:
                    self.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)  # the rest of it was discarded
                return
            self._handle_event(event)

    def _handle_event(self, event: h11.Event) -> None:
        kind = type(event)
        if kind is h11.Request:
            status = self._assembler.start(event)
            if status:
                self.reject(status)
            elif self.http.they_are_waiting_for_100_continue:
                self._write_event(h11.InformationalResponse(status_code=100, headers=[]))
        elif kind is h11.Data:
            status = self._assembler.add(event.data)
            if status:
                self.reject(status)
        elif kind is h11.EndOfMessage:
            self._open_exchange()

    def _open_exchange(self) -> None:
        """A request is complete: hand it on."""
        unread = len(self.http.trailing_data[0])
        request = self._assembler.finish(self._arrivals.consume(unread))
        self._set_read_ahead(unread)
        self.had_request = True
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self.exchange = ServerExchange(self, request)
        self.listener.on_request(self.exchange)

    def _read_on(self) -> None:
        if not self.lost and self.exchange is None:
            self._read_requests()

    # -- writing ----------------------------------------------------------------------------------

    def _write_event(self, event: h11.Event) -> None:
        data = self.http.send(event)
        if data and not self.lost:
            self.transport.write(data)

    def _write_head(self, status: int, headers: Headers, close: bool) -> None:
        if close or self.listener.draining:
            headers = [*headers, (b"Connection", b"close")]
        self._write_event(h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b"")))

    def respond(self, status: int, headers: Headers, body: bytes, close: bool) -> None:
        """Write a complete response."""
        if self.lost or self.closing:
            return
        self._write_head(status, headers, close)
        if body:
            self._write_event(h11.Data(data=body))
        self.finish()

    def start_stream(self, exchange: ServerExchange, status: int, headers: Headers) -> None:
        """Write the head of a streamed response; `exchange` is told when the client takes nothing."""
        if not self.lost:
            self.transport.registerProducer(exchange, True)
            self._write_head(status, headers, False)

    def write(self, data: bytes) -> None:
        """Write a part of a streamed response."""
        if not (self.lost or self.closing):
            self._write_event(h11.Data(data=data))

    def finish(self) -> None:
        """End the response; what came behind its request is read next."""
        if self.lost or self.closing:
            return
        self._write_event(h11.EndOfMessage())
        self.transport.unregisterProducer()
        self.set_stalled(False)
        self.exchange = None
        done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # Guards against a stream whose head had gone out, without mention of closing, before the listener
        # began to drain: its client would send its next request on this connection, to a process that is
        # about to end.
        if not done or (self.listener.draining and not self._read_ahead):
            self.linger(CloseReason.LAST_RESPONSE)
            return
        self.http.start_next_cycle()
        self.idle_since = self.clock.seconds()
        self._set_deadline(REQUEST_TIMEOUT_S if self._read_ahead else IDLE_TIMEOUT_S)
        if self._read_ahead or self._discarded:
            # a turn later: what is pipelined must not be answered deeper and deeper in one call
            self.clock.callLater(0, self._read_on)

    def reject(self, status: int) -> None:
        """Respond with a client error, or a timeout, and close."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            try:
                self._write_head(status, [(b"Content-Length", b"0")], True)
                self._write_event(h11.EndOfMessage())
            except h11.LocalProtocolError:
                pass  # nothing can be written on it any more; it is closed all the same
        self.linger(CloseReason.MALFORMED)

    def abort_response(self) -> None:
        """Close without the end of the response: it is not complete."""
        self.exchange = None
        self.linger(CloseReason.STREAM_BROKE)

    def set_stalled(self, stalled: bool) -> None:
        """Note that the client takes nothing of its stream, or takes it again."""
        if stalled and self._stall_timer is None:
            self._stall_timer = self.clock.callLater(STALLED_WRITE_TIMEOUT_S, self._on_stall_timeout)
        elif not stalled and self._stall_timer is not None:
            if self._stall_timer.active():
                self._stall_timer.cancel()
            self._stall_timer = None

    def _on_stall_timeout(self) -> None:
        self._abort(CloseReason.STALLED)

    # -- closing ----------------------------------------------------------------------------------

    def _abort(self, reason: CloseReason) -> None:
        self.listener.connection_closing(reason, None)  # its client has given up the response, if any
        self.transport.abortConnection()

    def linger(self, reason: CloseReason) -> None:
        """Close in a lingering way: end our side once all has left, and read on until the client ends too.

        Guards against bytes that are unread, or come, as the socket closes: they would make the close a
        reset, which takes what the client has not read of its last response with it. Nothing read from now on
        is used.
        """
        if self.closing or self.lost:
            return
        self.closing = True
        self.listener.connection_closing(reason, self.exchange)
        self.idle_since = self.clock.seconds()
        self._assembler.discard_body()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._set_deadline(LINGER_TIMEOUT_S)

    def drop(self) -> None:
        """Make room at once: no response is due on it."""
        self.listener.connection_closing(CloseReason.ROOM, self.exchange)
        self.closing = True
        self.dropped = True
        self.transport.abortConnection()

    def drain(self) -> None:
        """Close if nothing of a request has come, but read what a client that has just connected sends."""
        if self.closing or not self.unused:
            return
        time_left = 0.0
        if not self.had_request:
            time_left = DRAINING_FIRST_BYTE_TIMEOUT_S - (self.clock.seconds() - self.idle_since)
        if time_left > 0.0:
            self._set_deadline(time_left)
        else:
            self.linger(CloseReason.DRAINING)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Stop all timers, and tell whoever responds."""
        self.lost = True
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self._deadline = None  # one that has fired refers to this
        self.set_stalled(False)
        self._set_read_ahead(0)
        self.listener.connection_closed(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.finished = True
            exchange.on_lost()
