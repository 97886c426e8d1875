"""One connection to a peer, with one request at a time on it."""

import typing
from contextlib import suppress
from socket import SHUT_WR
from typing import NamedTuple

import h11
from twisted.internet.protocol import Protocol

from myrtlehub.clock import Clock
from myrtlehub.http1.bounds import MAX_CHUNK_BYTES, MAX_HEAD_BYTES, MAX_INFORMATIONAL_RESPONSES
from myrtlehub.http1.interfaces import Headers, Transport


class ClientRequest(NamedTuple):
    """A request to a peer. `headers` lacks Host and Content-Length, which are added here."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class ResponseHandler:
    """Receives a response. `on_complete`, `on_not_sent` or `on_failure` comes last, and once."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Status and headers came, names in lower case."""

    def on_data(self, data: bytes) -> None:
        """A part of the body came."""

    def on_complete(self) -> None:
        """The response is complete, by its own framing."""

    def on_not_sent(self) -> None:
        """The request was not wanted any more, or no connection could be made here: no byte has left."""
        self.on_failure(False)

    def on_failure(self, request_sent: bool) -> None:
        """No complete response comes; `request_sent`: the last byte had left, so that it may have run."""


class OutstandingRequest(typing.Protocol):
    """A request as its connection sees it."""

    request: ClientRequest
    address: str
    handler: ResponseHandler

    def mark_finished(self) -> None:
        """Note that nothing more comes of it."""


class ConnectionOwner(typing.Protocol):
    """What a connection tells whoever made it."""

    clock: Clock

    def add_idle(self, connection: "ClientConnection") -> None:
        """Keep it for reuse: its response is complete."""

    def remove(self, connection: "ClientConnection") -> None:
        """Forget it: it is closed or lost."""

    def suspend_reuse(self) -> None:
        """Use no idle connection for a while: one broke under its next request."""

    def reuse_allowed(self) -> bool:
        """Return whether connections are kept and used again."""


def abortive_close(transport: Transport) -> None:
    """End a connection so that its peer is told before anything that is written after this.

    Guards against abortConnection alone: the reactor closes the socket a turn later, after what was written
    meanwhile on other connections, and the peer would see a request go on while its next one comes.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is not None:
        with suppress(OSError):  # it may be lost already
            handle().shutdown(SHUT_WR)
    transport.abortConnection()


class ClientConnection(Protocol):
    """One connection to a peer. `pool` is told when it is free again and when it is lost."""

    def __init__(self, pool: ConnectionOwner, key: str) -> None:
        self.pool = pool
        self.key = key
        self.clock = pool.clock
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.pending: OutstandingRequest | None = None
        self.idle_since = 0.0
        self.request_sent = False
        self.lost = False
        self.had_request = False  # before the present one
        self._response_started = False
        self._chunked = False
        self._in_chunk = False
        self._informational_count = 0
        self._chunk_bytes = 0
        self._unwritten: bytes | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send small writes at once."""
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)

    def send_request(self, pending: OutstandingRequest) -> None:
        """Send a request; the connection has to be free."""
        self.pending = pending
        self.request_sent = False
        self._response_started = False
        self._chunked = False
        self._in_chunk = False
        self._informational_count = 0
        self._unwritten = self._serialize(pending.request, pending.address)
        # As a producer that is pulled: called again once all of it has left this process.
        self.transport.registerProducer(self, False)

    def _serialize(self, request: ClientRequest, address: str) -> bytes:
        headers = [(b"Host", address.encode()), *request.headers]
        if request.body or request.method == b"POST":
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self.http.send(head)]
        if request.body:
            parts.append(self.http.send(h11.Data(data=request.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b"".join(parts)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the request; called again when its last byte has left this process."""
        if self._unwritten is not None:
            data, self._unwritten = self._unwritten, None
            self.transport.write(data)
        else:
            self.request_sent = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: connectionLost follows."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the response."""
        if self.pending is None:  # no request is out: surplus bytes, so the connection has no further use
            self.close()
            return
        try:
            self.http.receive_data(data)
            while self.pending is not None:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or not self._handle_event(event):
                    return
        except h11.RemoteProtocolError:
            self._fail()

    def _handle_event(self, event: h11.Event) -> bool:
        """Handle one event of h11; returns whether the response can go on."""
        kind = type(event)
        self._response_started = True
        if kind is h11.Data:
            self._chunk_bytes = len(event.data) + (0 if event.chunk_start else self._chunk_bytes)
            self._in_chunk = self._chunked and not event.chunk_end
            if self._chunked and self._chunk_bytes > MAX_CHUNK_BYTES:
                self._fail()
                return False
            self.pending.handler.on_data(bytes(event.data))
        elif kind is h11.Response:
            self._chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
            self.pending.handler.on_head(event.status_code, list(event.headers))
        elif kind is h11.InformationalResponse:
            self._informational_count += 1
            if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
                self._fail()
                return False
        elif kind is h11.EndOfMessage:
            self._complete()
        else:
            self._fail()
            return False
        return True

    def has_partial_data(self) -> bool:
        """Return whether the peer has begun a chunk, or its line, and has not sent the rest."""
        return self._in_chunk or bool(self.http.trailing_data[0])

    def _is_reusable(self) -> bool:
        http = self.http
        return (
            self.request_sent
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and not self.lost
            and self.pool.reuse_allowed()
        )

    def _complete(self) -> None:
        pending, self.pending = self.pending, None
        if self._is_reusable():
            self.http.start_next_cycle()
            self.had_request = True
            self.pool.add_idle(self)
        else:
            self.close()
        pending.mark_finished()
        pending.handler.on_complete()

    def _fail(self) -> None:
        pending, self.pending = self.pending, None
        self.close()
        if pending is not None:
            if self.had_request and not self._response_started:
                self.pool.suspend_reuse()
            pending.mark_finished()
            pending.handler.on_failure(self.request_sent)

    def close(self) -> None:
        """Close at once, whatever is on its way."""
        if not self.lost:
            self.lost = True
            self.pool.remove(self)
            abortive_close(self.transport)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Tell the pool and whoever waits for a response."""
        self.lost = True
        self.pool.remove(self)
        if self.pending is not None:
            self._fail()
