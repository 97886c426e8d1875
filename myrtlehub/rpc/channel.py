"""A channel: calls to one address, over one connection that is made when needed, and again after backoff."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc.backoff import Backoff
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.client_protocol import ClientProtocol, ClientProtocolFactory
from myrtlehub.rpc.framing import IDENTITY
from myrtlehub.rpc.status import Code, RpcError, Status
from myrtlehub.rpc.transport_limits import TransportLimits

USER_AGENT = "grpc-python-myrtlehub/0.2"


class ChannelState(StrEnum):
    """The state of a channel's connection, in gRPC's terms."""

    IDLE = "idle"
    CONNECTING = "connecting"
    READY = "ready"
    TRANSIENT_FAILURE = "transient failure"  # in backoff


class _ReplyCollector(CallWatcher):
    """Collects the replies of a call for a Deferred."""

    def __init__(self, deferred: Deferred, is_stream: bool) -> None:
        self._deferred = deferred
        self._is_stream = is_stream
        self._replies: list[bytes] = []

    def message(self, data: bytes) -> None:
        """Take a reply."""
        self._replies.append(data)

    def ended(self, status: Status) -> None:
        """Fire the Deferred, unless it was cancelled."""
        if self._deferred.called:
            return
        count = len(self._replies)
        if status.code != Code.OK:
            self._deferred.errback(RpcError(status.code, status.message, status))
        elif self._is_stream:
            self._deferred.callback(self._replies)
        elif count == 1:
            self._deferred.callback(self._replies[0])
        else:
            self._deferred.errback(RpcError(Code.INTERNAL, f"{count} replies where one was due"))


class Channel:
    """Calls to one address.

    `dial(factory)` makes a connection and returns a Deferred of its protocol. During backoff, a call fails at
    once with UNAVAILABLE, `unprocessed`; while a connection is being made, calls wait for it at most
    `connect_timeout` seconds. Calls beyond the peer's MAX_CONCURRENT_STREAMS wait here.
    """

    def __init__(
        self,
        clock: Clock,
        dial: Callable[[Factory], Deferred],
        authority: str,
        limits: TransportLimits | None = None,
        random: Random | None = None,
        encoding: str = IDENTITY,
        connect_timeout: float = 1.0,
        user_agent: str = USER_AGENT,
    ) -> None:
        self.clock = clock
        self.dial = dial
        self.authority = authority
        self.limits = limits or TransportLimits()
        self.encoding = encoding
        self.connect_timeout = connect_timeout
        self.user_agent = user_agent
        self.state = ChannelState.IDLE
        self.protocol: ClientProtocol | None = None
        self.closed = False
        self._backoff = Backoff((random or Random()).random)
        self._queue: deque[ClientCall] = deque()
        self._dialling: Deferred | None = None
        self._timer: Timer | None = None  # of connecting, or of the backoff
        self._failure_reason = "never connected"

    # -- calls ------------------------------------------------------------------------------------

    def call(
        self,
        path: str,
        watcher: CallWatcher,
        meta: Iterable[tuple[str, str | bytes]] = (),
        timeout: float | None = None,
    ) -> ClientCall:
        """Start a call of any shape; the watcher is told that it `ended` only after this returns."""
        call = ClientCall(self, path, meta, timeout, watcher)
        if self.closed or self.state == ChannelState.TRANSIENT_FAILURE:
            reason = "channel is closed" if self.closed else f"no connection: {self._failure_reason}"
            self.clock.callLater(0, call.conclude, Status(Code.UNAVAILABLE, reason, unprocessed=True))
            return call
        self._queue.append(call)
        if self.state == ChannelState.IDLE:
            self.connect()
        elif self.state == ChannelState.READY:
            self.start_calls(self.protocol)
        return call

    def unary(
        self,
        path: str,
        request: bytes,
        meta: Iterable[tuple[str, str | bytes]] = (),
        timeout: float | None = None,
    ) -> Deferred:
        """Send one request for one reply; the Deferred fails with RpcError and may be cancelled."""
        return self._collect_replies(path, [request], meta, timeout, False)

    def collect(
        self,
        path: str,
        requests: Sequence[bytes],
        meta: Iterable[tuple[str, str | bytes]] = (),
        timeout: float | None = None,
    ) -> Deferred:
        """Send all requests and collect all replies; for short streams."""
        return self._collect_replies(path, requests, meta, timeout, True)

    def _collect_replies(
        self,
        path: str,
        requests: Sequence[bytes],
        meta: Iterable[tuple[str, str | bytes]],
        timeout: float | None,
        is_stream: bool,
    ) -> Deferred:
        deferred = Deferred(lambda ignored: call.cancel())
        call = self.call(path, _ReplyCollector(deferred, is_stream), meta, timeout)
        for request in requests:
            call.send(request)
        call.half_close()
        return deferred

    def start_calls(self, protocol: ClientProtocol) -> None:
        """Open streams for calls that wait, as far as the peer allows."""
        if protocol is not self.protocol or self.state != ChannelState.READY or protocol.close_reason:
            return
        max_streams = protocol.conn.remote_settings.max_concurrent_streams
        while self._queue and len(protocol.streams) < max_streams:
            call = self._queue.popleft()
            if not call.over:
                call.start(protocol)

    def call_ended(self, call: ClientCall) -> None:
        """Take note that a call is over."""
        if call.stream is None and call in self._queue:
            self._queue.remove(call)

    def _fail_waiting_calls(self, reason: str) -> None:
        queue = self._queue
        self._queue = deque()
        for call in queue:
            call.conclude(Status(Code.UNAVAILABLE, reason, unprocessed=True))

    # -- the connection ---------------------------------------------------------------------------

    def connect(self) -> None:
        """Make a connection now, if there is none and none is being made."""
        if self.state != ChannelState.IDLE or self.closed:
            return
        self.state = ChannelState.CONNECTING
        self._dialling = self.dial(ClientProtocolFactory(self))
        self._timer = self.clock.callLater(self.connect_timeout, self._connect_timed_out)
        self._dialling.addCallbacks(self._dialled, self._dial_failed)

    def _dialled(self, protocol: ClientProtocol) -> None:
        self._dialling = None
        if self.closed or self.state != ChannelState.CONNECTING:
            protocol.transport.abortConnection()

    def _dial_failed(self, failure: Failure) -> None:
        self._dialling = None
        error = failure.value
        self._connect_failed(str(error) if isinstance(error, ConnectError) else failure.getErrorMessage())

    def _connect_timed_out(self) -> None:
        self._timer = None
        self._cancel_dialling()
        self._connect_failed("no connection in time")

    def _cancel_dialling(self) -> None:
        dialling = self._dialling
        self._dialling = None
        if dialling is not None:
            dialling.addErrback(lambda failure: None)
            dialling.cancel()

    def _connect_failed(self, reason: str) -> None:
        if self.state != ChannelState.CONNECTING:
            return
        self._failure_reason = reason
        self._cancel_timer()
        self.state = ChannelState.TRANSIENT_FAILURE
        self._timer = self.clock.callLater(self._backoff.next(), self._backoff_over)
        self._fail_waiting_calls(f"no connection: {reason}")

    def _backoff_over(self) -> None:
        self._timer = None
        self.state = ChannelState.IDLE

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def settings_received(self, protocol: ClientProtocol, is_first: bool) -> None:
        """Take note of the peer's settings; with the first the connection is established."""
        if is_first:
            if self.state != ChannelState.CONNECTING:
                protocol.transport.abortConnection()
                return
            self._cancel_timer()
            self._backoff.reset()
            self.state = ChannelState.READY
            self.protocol = protocol
        self.start_calls(protocol)

    def connection_draining(self, protocol: ClientProtocol) -> None:
        """Take note of a GOAWAY: new calls need another connection."""
        if protocol is self.protocol:
            self._failure_reason = protocol.goaway_reason or "peer is going away"
            self._replace_connection()

    def connection_lost(self, protocol: ClientProtocol) -> None:
        """Take note that a connection is lost."""
        self._failure_reason = protocol.loss_reason
        if protocol is self.protocol:
            self._replace_connection()
        elif self.state == ChannelState.CONNECTING and not protocol.is_established:
            self._connect_failed(self._failure_reason)

    def _replace_connection(self) -> None:
        self.protocol = None
        self.state = ChannelState.IDLE
        if self._queue:
            self.connect()

    def close_idle(self) -> None:
        """Close the connection if no call uses it."""
        protocol = self.protocol
        if protocol is not None and not protocol.streams:
            self.protocol = None
            self.state = ChannelState.IDLE
            protocol.transport.loseConnection()

    def close(self) -> None:
        """Close for good; calls that run end with UNAVAILABLE."""
        self.closed = True
        self._cancel_timer()
        self._cancel_dialling()
        self._fail_waiting_calls("channel is closed")
        if self.protocol is not None:
            self.protocol.transport.abortConnection()
