"""gRPC channel: one connection to one address, made when needed, made again with jittered back-off."""

from collections import deque
from collections.abc import Callable, Iterable
from random import Random

from h2.errors import ErrorCodes
from h2.events import ResponseReceived, TrailersReceived
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from myrtlehub.rpc import framing, metadata
from myrtlehub.rpc.guards import BackOff, TransportBounds
from myrtlehub.rpc.http2 import Http2Protocol, Stream
from myrtlehub.rpc.status import (
    Code,
    Metadata,
    RpcError,
    Status,
    decode_message,
    encode_timeout,
    from_http,
    from_reset,
    parse_code,
)

IDLE, CONNECTING, READY, WAITING = "idle", "connecting", "ready", "waiting"


class CallWatcher:
    """Told of what comes back on a call. `ended` is said once, always, and last."""

    def headers(self, meta: Metadata) -> None:
        """Initial metadata came."""

    def message(self, data: bytes) -> None:
        """One reply message."""

    def ended(self, status: Status) -> None:
        """The call is over."""


class ClientCall:
    """One call. What is sent before the connection stands is held until it does."""

    def __init__(
        self,
        channel: "Channel",
        path: str,
        meta: Iterable[tuple[str, str | bytes]],
        timeout: float | None,
        watcher: CallWatcher,
    ) -> None:
        self.channel, self.path, self.watcher = channel, path, watcher
        self.deadline = None if timeout is None else channel.clock.seconds() + timeout
        self.stream: Stream | None = None
        self.over = False
        self._meta = metadata.encode(meta)
        self._held: list[bytes] = []
        self._half_closed = False
        self._paused = False
        self._producer: tuple[object, bool] | None = None
        self._reader: framing.MessageReader | None = None
        self._trailers: Metadata = ()
        self._status: Status | None = None
        self._bad: Status | None = None
        self._timer = None
        if timeout is not None:
            self._timer = channel.clock.callLater(max(0.0, timeout), self._expire)

    def send(self, message: bytes) -> None:
        """Send one request message."""
        data = framing.frame(message, self.channel.encoding)
        if self.stream is not None:
            self.stream.write(data)
        elif not self.over:
            self._held.append(data)

    def half_close(self) -> None:
        """Nothing more will be sent."""
        self._half_closed = True
        if self.stream is not None:
            self.stream.end()

    def cancel(self) -> None:
        """Stop: RST_STREAM to the peer, `ended` with CANCELLED to the watcher."""
        self._stop(Status(Code.CANCELLED, "cancelled here", unprocessed=self.stream is None))

    def pauseProducing(self) -> None:  # noqa: N802
        """Take no more replies for now; the peer is held up by its window."""
        self._paused = True
        if self.stream is not None:
            self.stream.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Take replies again."""
        self._paused = False
        if self.stream is not None:
            self.stream.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Nobody wants the replies any more."""
        self.cancel()

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Who makes the request messages, to be paused while the peer does not take them."""
        self._producer = (producer, streaming)
        if self.stream is not None:
            self.stream.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """All request messages were made."""
        self._producer = None
        if self.stream is not None:
            self.stream.unregisterProducer()

    def _expire(self) -> None:
        self._stop(Status(Code.DEADLINE_EXCEEDED, "deadline passed here", unprocessed=self.stream is None))

    def _stop(self, status: Status) -> None:
        if self.over:
            return
        stream = self.stream
        self._conclude(status)
        if stream is not None and not stream.closed:
            stream.reset(ErrorCodes.CANCEL)

    def _conclude(self, status: Status) -> None:
        if self.over:
            return
        self.over = True
        self._held.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.channel._ended(self)
        self.watcher.ended(status)

    def _start(self, protocol: "ClientProtocol") -> None:
        """The connection stands and has room: open the stream."""
        conn = protocol.conn
        stream = self.stream = Stream(protocol, conn.get_next_available_stream_id())
        protocol.streams[stream.id] = stream
        stream.on_headers, stream.on_data, stream.on_lost = self._headers, self._data, self._lost
        stream.on_end = self._end
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", self.path),
            (":authority", self.channel.authority),
            ("te", "trailers"),
            ("content-type", "application/grpc+proto"),
            ("user-agent", self.channel.user_agent),
        ]
        if self.deadline is not None:
            headers.append(("grpc-timeout", encode_timeout(self.deadline - self.channel.clock.seconds())))
        if self.channel.encoding != "identity":
            headers.append(("grpc-encoding", self.channel.encoding))
        headers.append(("grpc-accept-encoding", "identity,gzip"))
        conn.send_headers(stream.id, headers + self._meta)
        protocol.soon()
        if self._paused:
            stream.pauseProducing()
        for data in self._held:
            stream.write(data)
        self._held.clear()
        if self._producer is not None:
            stream.registerProducer(*self._producer)
        if self._half_closed:
            stream.end()

    def _headers(self, headers: list[tuple[str, str]], ended: bool) -> None:
        known = dict(headers)
        try:
            meta = metadata.decode(headers)
        except RpcError as fault:
            self._stop(fault.status)
            return
        if "grpc-status" in known or ended:
            self._status = self._read_status(known, meta)
            return
        http, content = known.get(":status", ""), known.get("content-type", "")
        if http != "200":
            code = from_http(int(http) if http.isdigit() else 0)
            self._bad = Status(code, f"HTTP status {http} instead of a gRPC answer", meta)
        elif not content.startswith("application/grpc"):
            self._bad = Status(Code.UNKNOWN, f"content-type {content!r} is not gRPC's", meta)
        else:
            encoding = known.get("grpc-encoding", "identity")
            self._reader = framing.MessageReader(self.channel.bounds.message, encoding)
            self.watcher.headers(meta)

    def _read_status(self, known: dict[str, str], meta: Metadata) -> Status:
        if "grpc-status" not in known:
            http = known.get(":status", "")
            if http and http != "200":
                return Status(from_http(int(http) if http.isdigit() else 0), f"HTTP status {http}", meta)
            return Status(Code.INTERNAL, "stream ended without grpc-status", meta)
        return Status(parse_code(known["grpc-status"]), decode_message(known.get("grpc-message", "")), meta)

    def _data(self, data: bytes) -> None:
        if self.over or self._bad is not None:
            return
        if self._reader is None:
            self._stop(Status(Code.INTERNAL, "data before headers"))
            return
        try:
            for message in self._reader.feed(data):
                self.watcher.message(message)
                if self.over:
                    return
        except RpcError as fault:
            self._stop(fault.status)

    def _end(self) -> None:
        status = self._status or self._bad
        if status is None:
            status = Status(Code.INTERNAL, "stream ended without trailers")
        elif status.code == Code.OK and self._reader is not None:
            try:
                self._reader.finish()
            except RpcError as fault:
                status = fault.status
        stream = self.stream
        self._conclude(status)
        if not stream.sent_end and not stream.closed:
            stream.reset(ErrorCodes.CANCEL)  # it answered before we had said all: nothing more is wanted

    def _lost(self, error: int | None) -> None:
        if self._status is not None:  # trailers came, then a reset: the answer holds
            self._conclude(self._status)
        elif error is None:
            protocol = self.stream.protocol
            why = protocol.close_note or protocol.close_reason or "closed by peer"
            self._conclude(Status(Code.UNAVAILABLE, f"connection lost: {why}", broken=True))
        else:
            refused = error == ErrorCodes.REFUSED_STREAM
            self._conclude(
                Status(
                    from_reset(error),
                    f"stream reset by peer, error {int(error)}",
                    unprocessed=refused,
                    broken=not refused,
                )
            )

    def _never_seen(self) -> None:
        """A GOAWAY says that the peer's application did not see this call."""
        self._stop(Status(Code.UNAVAILABLE, "peer is going away; call was not processed", unprocessed=True))


class ClientProtocol(Http2Protocol):
    """The channel's connection."""

    client_side = True

    def __init__(self, channel: "Channel") -> None:
        super().__init__(channel.clock, channel.bounds)
        self.channel = channel

    def settings_changed(self, first: bool) -> None:
        self.channel._settings(self, first)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        super().connectionLost(reason)
        self.channel._connection_lost(self)

    def goaway_received(self, error: int, last: int, why: str) -> None:
        self.draining = True
        if error:
            self.close_note = f"GOAWAY {error} {why}"
        self.channel._going_away(self)
        for stream in sorted(self.streams.values(), key=lambda s: s.id):
            if stream.id > last:
                call = getattr(stream.on_lost, "__self__", None)
                if isinstance(call, ClientCall):
                    call._never_seen()
        self.stream_gone()

    close_note = ""

    def stream_gone(self) -> None:
        if self.draining and not self.streams and not self.lost:
            self.flush()
            self.transport.loseConnection()
        self.channel._room(self)

    def _on_response(self, event: ResponseReceived | TrailersReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None and not stream.closed:
            if stream.paused and stream._held:
                # Trailers must not overtake data held back here.
                held, on_end = (event.headers, event.stream_ended is not None), stream.on_end

                def late() -> None:
                    stream.on_headers(*held)
                    on_end()

                stream.on_end = late
            else:
                stream.on_headers(event.headers, event.stream_ended is not None)

    HANDLERS = {**Http2Protocol.HANDLERS, ResponseReceived: _on_response, TrailersReceived: _on_response}


class _Dial(Factory):
    noisy = False

    def __init__(self, channel: "Channel") -> None:
        self.channel = channel

    def buildProtocol(self, addr: object) -> ClientProtocol:  # noqa: N802
        return ClientProtocol(self.channel)


class _Once(CallWatcher):
    def __init__(self, deferred: Deferred, streams: bool) -> None:
        self.deferred, self.streams = deferred, streams
        self.replies: list[bytes] = []

    def message(self, data: bytes) -> None:
        self.replies.append(data)

    def ended(self, status: Status) -> None:
        if self.deferred.called:
            return
        if status.code != Code.OK:
            self.deferred.errback(RpcError(status.code, status.message, status))
        elif self.streams:
            self.deferred.callback(self.replies)
        elif len(self.replies) == 1:
            self.deferred.callback(self.replies[0])
        else:
            self.deferred.errback(RpcError(Code.INTERNAL, f"{len(self.replies)} replies where one was due"))


class Channel:
    """Calls to one address.

    `dial(factory)` makes a connection and returns a Deferred of its protocol. While a wait of the back-off
    runs, a call fails at once with UNAVAILABLE, `unprocessed`; while a connection is being made, calls wait
    for it at most `connect_timeout` seconds. Calls past the peer's MAX_CONCURRENT_STREAMS queue here.
    """

    def __init__(
        self,
        clock: object,
        dial: Callable[[Factory], Deferred],
        authority: str,
        bounds: TransportBounds | None = None,
        random: Random | None = None,
        encoding: str = "identity",
        connect_timeout: float = 1.0,
        user_agent: str = "grpc-python-myrtlehub/0.2",
    ) -> None:
        self.clock, self.dial, self.authority = clock, dial, authority
        self.bounds, self.encoding, self.user_agent = bounds or TransportBounds(), encoding, user_agent
        self.connect_timeout = connect_timeout
        self.state = IDLE
        self.protocol: ClientProtocol | None = None
        self.closed = False
        self._back_off = BackOff((random or Random()).random)
        self._queue: deque[ClientCall] = deque()
        self._dialling: Deferred | None = None
        self._timer = None
        self._why = "never connected"

    def call(
        self,
        path: str,
        watcher: CallWatcher,
        meta: Iterable[tuple[str, str | bytes]] = (),
        timeout: float | None = None,
    ) -> ClientCall:
        """Start a call of any shape; the watcher may hear `ended` only after this returns."""
        call = ClientCall(self, path, meta, timeout, watcher)
        if self.closed or self.state == WAITING:
            why = "channel is closed" if self.closed else f"no connection: {self._why}"
            self.clock.callLater(0, call._conclude, Status(Code.UNAVAILABLE, why, unprocessed=True))
            return call
        self._queue.append(call)
        if self.state == IDLE:
            self.connect()
        elif self.state == READY:
            self._room(self.protocol)
        return call

    def unary(
        self,
        path: str,
        request: bytes,
        meta: Iterable[tuple[str, str | bytes]] = (),
        timeout: float | None = None,
    ) -> Deferred:
        """One request, one reply; the Deferred fails with RpcError and may be cancelled."""
        return self._gather(path, [request], meta, timeout, False)

    def collect(
        self,
        path: str,
        requests: list[bytes],
        meta: Iterable[tuple[str, str | bytes]] = (),
        timeout: float | None = None,
    ) -> Deferred:
        """Send all requests, gather all replies; for short streams."""
        return self._gather(path, requests, meta, timeout, True)

    def _gather(
        self, path: str, requests: list[bytes], meta: Iterable, timeout: float | None, streams: bool
    ) -> Deferred:
        deferred = Deferred(lambda ignored: call.cancel())
        call = self.call(path, _Once(deferred, streams), meta, timeout)
        for request in requests:
            call.send(request)
        call.half_close()
        return deferred

    def connect(self) -> None:
        """Make a connection now, if there is none and none is being made."""
        if self.state != IDLE or self.closed:
            return
        self.state = CONNECTING
        self._dialling = self.dial(_Dial(self))
        self._timer = self.clock.callLater(self.connect_timeout, self._dial_late)
        self._dialling.addCallbacks(self._dialled, self._dial_failed)

    def _dialled(self, protocol: ClientProtocol) -> None:
        self._dialling = None
        if self.closed or self.state != CONNECTING:
            protocol.transport.abortConnection()

    def _dial_late(self) -> None:
        self._timer = None
        if self._dialling is not None:
            dialling, self._dialling = self._dialling, None
            dialling.addErrback(lambda failure: None)
            dialling.cancel()
        self._failed("no connection in time")

    def _dial_failed(self, failure: Failure) -> None:
        self._dialling = None
        reason = failure.value
        self._failed(str(reason) if isinstance(reason, ConnectError) else failure.getErrorMessage())

    def _failed(self, why: str) -> None:
        if self.state != CONNECTING:
            return
        self._why = why
        self._cancel_timer()
        self.state = WAITING
        self._timer = self.clock.callLater(self._back_off.next(), self._again)
        queue, self._queue = self._queue, deque()
        for call in queue:
            call._conclude(Status(Code.UNAVAILABLE, f"no connection: {why}", unprocessed=True))

    def _again(self) -> None:
        self._timer = None
        self.state = IDLE

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _settings(self, protocol: ClientProtocol, first: bool) -> None:
        if first:
            if self.state != CONNECTING:
                protocol.transport.abortConnection()
                return
            self._cancel_timer()
            self._back_off.reset()
            self.state, self.protocol = READY, protocol
        self._room(protocol)

    def _room(self, protocol: ClientProtocol) -> None:
        """Open streams for queued calls, as far as the peer allows."""
        if protocol is not self.protocol or self.state != READY or protocol.close_reason:
            return
        most = protocol.conn.remote_settings.max_concurrent_streams
        while self._queue and len(protocol.streams) < most:
            call = self._queue.popleft()
            if not call.over:
                call._start(protocol)

    def _going_away(self, protocol: ClientProtocol) -> None:
        if protocol is self.protocol:
            self._why = protocol.close_note or "peer is going away"
            self.protocol, self.state = None, IDLE
            if self._queue:
                self.connect()

    def _connection_lost(self, protocol: ClientProtocol) -> None:
        self._why = protocol.close_note or protocol.close_reason or "closed by peer"
        if protocol is self.protocol:
            self.protocol, self.state = None, IDLE
            if self._queue:
                self.connect()
        elif self.state == CONNECTING and not protocol.ready:
            self._failed(self._why)

    def _ended(self, call: ClientCall) -> None:
        if call.stream is None and call in self._queue:
            self._queue.remove(call)

    def close_idle(self) -> None:
        """Close the connection if no call uses it."""
        if self.protocol is not None and not self.protocol.streams:
            protocol, self.protocol, self.state = self.protocol, None, IDLE
            protocol.transport.loseConnection()

    def close(self) -> None:
        """Close for good; calls that run end with UNAVAILABLE."""
        self.closed = True
        self._cancel_timer()
        if self._dialling is not None:
            dialling, self._dialling = self._dialling, None
            dialling.addErrback(lambda failure: None)
            dialling.cancel()
        queue, self._queue = self._queue, deque()
        for call in queue:
            call._conclude(Status(Code.UNAVAILABLE, "channel is closed", unprocessed=True))
        if self.protocol is not None:
            self.protocol.transport.abortConnection()
