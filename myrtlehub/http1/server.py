"""HTTP/1.1, server side: connections of clients, one request at a time on each; knows nothing of routing."""

from collections.abc import Callable
from typing import NamedTuple

import h11
from twisted.internet.protocol import Factory, Protocol

from myrtlehub.http1.bounds import (
    AHEAD_ALL,
    AHEAD_MOST,
    BODY_MOST,
    FIRST_WITHIN,
    HEAD_MOST,
    HEARD_AT_LEAST,
    HEARD_WITHIN,
    IDLE,
    LINGER,
    SPILL_MOST,
    STALL,
    WHOLE_WITHIN,
)

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


class Request(NamedTuple):
    """A whole request."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # names in lower case
    body: bytes


def _nobody() -> None:
    """Nobody wants to hear of it."""


class Exchange:
    """One request and its answer. Whoever answers sets `on_lost`, `on_pause` and `on_resume`."""

    def __init__(self, connection: "ServerConnection", request: Request) -> None:
        self._connection, self.request = connection, request
        self.begun = self.over = False
        self.let_go()

    def let_go(self) -> None:
        """Who answers hears nothing more of it, and is not referred to any more."""
        self.on_lost: Callable[[], None] = _nobody
        self.on_pause: Callable[[], None] = _nobody
        self.on_resume: Callable[[], None] = _nobody

    def answer(self, status: int, headers: tuple = (), body: bytes = b"", close: bool = False) -> None:
        """A whole answer."""
        if self.over or self.begun:
            return
        self.begun = self.over = True
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._connection.whole_answer(status, headers, body, close)

    def begin(self, status: int, headers: tuple) -> None:
        """The head of a streamed answer."""
        self.begun = True
        self._connection.begin(self, status, [*headers, (b"Transfer-Encoding", b"chunked")])

    def send(self, data: bytes) -> None:
        """A part of it."""
        if not self.over:
            self._connection.send(data)

    def finish(self) -> None:
        """Its last chunk."""
        if not self.over:
            self.over = True
            self._connection.finish()

    def cut(self) -> None:
        """End the connection without a last chunk: the answer is not whole."""
        if not self.over:
            self.over = True
            self._connection.linger()

    # as producer: the client's connection asks to wait

    def pauseProducing(self) -> None:  # noqa: N802
        self._connection.stalled(True)
        self.on_pause()

    def resumeProducing(self) -> None:  # noqa: N802
        self._connection.stalled(False)
        self.on_resume()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost; `on_lost` says so as well."""


class ServerConnection(Protocol):
    """One client's connection."""

    def __init__(self, site: "Site") -> None:
        self.site, self.clock = site, site.clock
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        self.open: Exchange | None = None
        self.idle_since = self.clock.seconds()  # or since when it lingers
        self.used = self.closing = self.gone = False  # a request was whole once; lingers; lost
        self.dropped = False  # cut to make room: lost within a turn
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = self._ahead = self._spilt = 0
        self._timer = None
        self._stall = None

    def connectionMade(self) -> None:  # noqa: N802
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self._due(FIRST_WITHIN if self.site.closing else WHOLE_WITHIN)
        self.site.opened(self)

    def _due(self, delay: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay)
        else:
            self._timer = self.clock.callLater(delay, self._late)

    def _late(self) -> None:
        """A request is not whole in time, or the connection lies unused, or a last answer does not leave."""
        if self.closing:
            self.transport.abortConnection()
        elif self._head is not None or self._ahead:
            self.refuse(408)
        else:
            self.linger()

    @property
    def unused(self) -> bool:
        """Nothing of a request has come since the last answer."""
        return self.open is None and self._head is None and not self._ahead

    # -- bytes in ---------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closing:
            return  # thrown away, never sent on: what lies unread at the close would reset the last answer
        if self._spilt or (
            self.open is not None
            and (self._ahead + len(data) > AHEAD_MOST or self.site.ahead + len(data) > AHEAD_ALL)
        ):
            self._spill(len(data))
            return
        if self.unused:
            self._due(WHOLE_WITHIN)
        self._wait_ahead(self._ahead + len(data))
        self.http.receive_data(data)
        if self.open is None:
            self._read()

    def _wait_ahead(self, size: int) -> None:
        """So many bytes that came are not read as a whole request yet."""
        self.site.ahead += size - self._ahead
        self._ahead = size

    def _spill(self, size: int) -> None:
        """More comes behind an open request than is kept.

        Guards against reading no more of it: the client's end lies behind these bytes, and its request would
        be sent on long after it has gone.
        """
        self._spilt += size
        if self._spilt > SPILL_MOST:
            self.transport.abortConnection()

    def _read(self) -> None:
        while self.open is None and not self.closing:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as fault:
                self.refuse(fault.error_status_hint or 400)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self._spilt:
                    self.refuse(413)  # the rest of it was thrown away
                return
            self._take(event)

    def _take(self, event: object) -> None:
        kind = type(event)
        if kind is h11.Request:
            self._head, self._body, self._size = event, [], 0
            status = self._head_fault(event)
            if status:
                self.refuse(status)
            elif self.http.they_are_waiting_for_100_continue:
                self._out(h11.InformationalResponse(status_code=100, headers=[]))
        elif kind is h11.Data:
            self._size += len(event.data)
            if self._size > BODY_MOST:
                self.refuse(413)
            else:
                self._body.append(bytes(event.data))
        elif kind is h11.EndOfMessage:
            self._whole()

    @staticmethod
    def _head_fault(event: h11.Request) -> int:
        """What a head may not say, as a status; 0 if it is sound."""
        if len(event.target) + sum(len(name) + len(value) for name, value in event.headers) > HEAD_MOST:
            return 431
        names = [name for name, _ in event.headers]
        lengths = names.count(b"content-length")
        if lengths > 1 or (lengths and b"transfer-encoding" in names):
            return 400  # where it ends could be read in two ways
        if lengths:
            length = dict(event.headers)[b"content-length"]
            if len(length) > 15 or int(length) > BODY_MOST:
                return 413
        return 0

    def _whole(self) -> None:
        head, body = self._head, b"".join(self._body)
        self._head, self._body = None, []
        self._wait_ahead(len(self.http.trailing_data[0]))
        self.used = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        request = Request(bytes(head.method), bytes(head.target), list(head.headers), body)
        self.open = Exchange(self, request)
        self.site.asked(self.open)

    # -- bytes out --------------------------------------------------------------------------------

    def _out(self, event: object) -> None:
        data = self.http.send(event)
        if data and not self.gone:
            self.transport.write(data)

    def _start(self, status: int, headers: list, close: bool) -> None:
        if close or self.site.closing:
            headers = [*headers, (b"Connection", b"close")]
        self._out(h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b"")))

    def whole_answer(self, status: int, headers: list, body: bytes, close: bool) -> None:
        """See Exchange."""
        if self.gone or self.closing:
            return
        self._start(status, headers, close)
        if body:
            self._out(h11.Data(data=body))
        self.finish()

    def begin(self, exchange: Exchange, status: int, headers: list) -> None:
        """See Exchange."""
        if not self.gone:
            self.transport.registerProducer(exchange, True)
            self._start(status, headers, False)

    def send(self, data: bytes) -> None:
        """See Exchange."""
        if not (self.gone or self.closing):
            self._out(h11.Data(data=data))

    def finish(self) -> None:
        """The answer is whole; what came behind its request is read next."""
        if self.gone or self.closing:
            return
        self._out(h11.EndOfMessage())
        self.transport.unregisterProducer()
        self.stalled(False)
        self.open = None
        done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # Guards against a stream whose head had gone out, without a word of closing, before the site began to
        # drain: its client would send its next request on this connection, to a process that is about to end.
        if not done or (self.site.closing and not self._ahead):
            self.linger()
            return
        self.http.start_next_cycle()
        self.idle_since = self.clock.seconds()
        self._due(WHOLE_WITHIN if self._ahead else IDLE)
        if self._ahead or self._spilt:
            # a turn later: what is pipelined must not be answered deeper and deeper in one call
            self.clock.callLater(0, self._read_on)

    def _read_on(self) -> None:
        if not self.gone and self.open is None:
            self._read()

    def refuse(self, status: int) -> None:
        """It is the client's error, or it took too long: say so and close."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            try:
                self._start(status, [(b"Content-Length", b"0")], True)
                self._out(h11.EndOfMessage())
            except h11.LocalProtocolError:
                pass  # nothing can be said on it any more; it is closed all the same
        self.linger()

    def linger(self) -> None:
        """Lingering close: end our side once what was said has left, and read on until the client ends too.

        Guards against bytes that are unread, or come, as the socket closes: they would make the close a
        reset, which takes what the client has not read of its last answer with it. Nothing read from now on
        is used.
        """
        if self.closing or self.gone:
            return
        self.closing, self.idle_since = True, self.clock.seconds()
        self._body = []
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._due(LINGER)

    def drop(self) -> None:
        """Make room at once: nothing is owed on it."""
        self.closing = self.dropped = True
        self.transport.abortConnection()

    def drain(self) -> None:
        """The process ends: close if nothing of a request has come, but hear who has just connected."""
        if self.closing or not self.unused:
            return
        left = 0.0 if self.used else FIRST_WITHIN - (self.clock.seconds() - self.idle_since)
        if left > 0.0:
            self._due(left)
        else:
            self.linger()

    def stalled(self, stalled: bool) -> None:
        """The client takes nothing of its stream, or takes it again."""
        if stalled and self._stall is None:
            self._stall = self.clock.callLater(STALL, self._stalled_long)
        elif not stalled and self._stall is not None:
            if self._stall.active():
                self._stall.cancel()
            self._stall = None

    def _stalled_long(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        self.gone = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None  # one that has fired refers to this
        self.stalled(False)
        self._wait_ahead(0)
        self.site.closed(self)
        exchange, self.open = self.open, None
        if exchange is not None:
            exchange.over = True
            exchange.on_lost()


class Site(Factory):
    """All connections of clients: how many there may be, and who is closed for another.

    `most` of them, and `at_once` more for a moment: those that have just come may hold requests unread.
    """

    noisy = False

    def __init__(
        self, clock: object, asked: Callable[[Exchange], None], most: int = 1000, at_once: int = 50
    ) -> None:
        self.clock, self.asked, self.most, self.at_once = clock, asked, most, at_once
        self.connections: dict[ServerConnection, None] = {}  # in the order of their coming
        self.ahead = 0  # bytes of all connections that are not read as whole requests yet
        self.closing = self._held = False
        self._room = None
        self.on_full: Callable[[bool], None] = lambda full: None  # whether to accept no more for a moment

    def buildProtocol(self, addr: object) -> ServerConnection:  # noqa: N802
        return ServerConnection(self)

    def opened(self, connection: ServerConnection) -> None:
        """Where there are too many, room is made once what these have sent was read."""
        self.connections[connection] = None
        if self._count() > self.most + self.at_once:
            # None that came this turn is closed for another: what it has sent is not read yet.
            spare = self._spare(HEARD_AT_LEAST)
            if spare:
                spare[0].drop()
            elif self._spare(0.0):
                self._hold()
            else:
                connection.drop()  # all others have requests open
        elif len(self.connections) > self.most and (self._room is None or not self._room.active()):
            self._room = self.clock.callLater(HEARD_WITHIN, self._make_room)

    def _hold(self) -> None:
        """Accept no more until those that have just come were heard; who comes waits with the system."""
        if not self._held:
            self._held = True
            self.on_full(True)
            self.clock.callLater(HEARD_AT_LEAST, self._go_on)

    def _go_on(self) -> None:
        for connection in self._spare(HEARD_AT_LEAST)[: max(0, self._count() - self.most)]:
            connection.drop()
        if self._count() > self.most + self.at_once and self._spare(0.0):
            self.clock.callLater(HEARD_AT_LEAST, self._go_on)
        else:
            self._held = False
            self.on_full(False)

    def _count(self) -> int:
        """Connections that hold a descriptor for longer than this turn."""
        return sum(not c.dropped for c in self.connections)

    def _spare(self, heard: float) -> list[ServerConnection]:
        """Those that room is made of, in this order: who lingers, then who is unused; the longest first.

        Never one that had no time to be heard, or has a request open.
        """
        now = self.clock.seconds()
        spare = [
            c
            for c in self.connections
            if (c.closing or c.unused) and not c.dropped and now - c.idle_since >= heard
        ]
        return sorted(spare, key=lambda c: (not c.closing, c.idle_since))

    def _make_room(self) -> None:
        """Cut who lingers, and close the longest unused; who then does not end is cut at the next look."""
        for connection in self._spare(HEARD_WITHIN)[: max(0, self._count() - self.most)]:
            if connection.closing:
                connection.drop()
            else:
                connection.linger()
        if len(self.connections) > self.most:
            self._room = self.clock.callLater(HEARD_WITHIN, self._make_room)

    def closed(self, connection: ServerConnection) -> None:
        """It is lost."""
        self.connections.pop(connection, None)

    def open_exchanges(self) -> int:
        """Requests that are being answered."""
        return sum(c.open is not None for c in self.connections)

    def drain(self) -> None:
        """Nothing new: unused connections close now, the others after their answer."""
        self.closing = True
        for connection in list(self.connections):
            connection.drain()
