"""A channel: calls to one address over a connection that is established on demand.

A failed connection attempt is followed by a backoff, during which calls fail immediately.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from random import Random
from typing import TypeAlias

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from myrtlehub.clock import Clock, Timer
from myrtlehub.rpc.backoff import Backoff
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.client_protocol import ClientProtocol, ClientProtocolFactory
from myrtlehub.rpc.framing import IDENTITY
from myrtlehub.rpc.reply_collector import ReplyCollector, single_reply
from myrtlehub.rpc.status import Code, MetadataItem, Status
from myrtlehub.rpc.transport_limits import TransportLimits

USER_AGENT = "grpc-python-myrtlehub/0.2"

Connect: TypeAlias = Callable[[Factory], Deferred[ClientProtocol]]  # connects to one fixed address
Dialer: TypeAlias = Callable[[str], Connect]  # returns the function that connects to an address


class ChannelState(StrEnum):
    """The state of a channel's connection, in gRPC's terms."""

    IDLE = "idle"
    CONNECTING = "connecting"
    READY = "ready"
    TRANSIENT_FAILURE = "transient failure"  # waiting for the backoff to end


class Channel:
    """Client calls to one address.

    During a backoff, calls fail immediately with UNAVAILABLE and are marked `unprocessed`. While a connection
    is being established, calls are queued for at most `connect_timeout` seconds. Calls that exceed the peer's
    MAX_CONCURRENT_STREAMS are queued too.
    """

    def __init__(
        self,
        clock: Clock,
        dial: Connect,
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
        self._pending_dial: Deferred[ClientProtocol] | None = None
        self._timer: Timer | None = None  # of the connect timeout or the backoff
        self._failure_reason = "no connection attempt yet"

    # -- calls ------------------------------------------------------------------------------------

    def call(
        self,
        path: str,
        watcher: CallWatcher,
        request_metadata: Iterable[MetadataItem] = (),
        timeout: float | None = None,
    ) -> ClientCall:
        """Start a call; the watcher's `ended` is never called before this method returns."""
        call = ClientCall(self, path, request_metadata, timeout, watcher)
        if self.closed or self.state == ChannelState.TRANSIENT_FAILURE:
            reason = "channel is closed" if self.closed else f"no connection: {self._failure_reason}"
            self.clock.callLater(0, call.end, Status(Code.UNAVAILABLE, reason, unprocessed=True))
            return call
        self._queue.append(call)
        if self.state == ChannelState.IDLE:
            self.connect()
        elif self.state == ChannelState.READY:
            self._start_queued_calls()
        return call

    def unary(
        self,
        path: str,
        request: bytes,
        request_metadata: Iterable[MetadataItem] = (),
        timeout: float | None = None,
    ) -> Deferred[bytes]:
        """Make a unary call; the Deferred fails with RpcError, and cancelling it cancels the call."""
        return self.collect(path, [request], request_metadata, timeout).addCallback(single_reply)

    def collect(
        self,
        path: str,
        requests: Sequence[bytes],
        request_metadata: Iterable[MetadataItem] = (),
        timeout: float | None = None,
    ) -> Deferred[list[bytes]]:
        """Send all requests and collect all replies of a short stream; errors as in `unary`."""
        deferred: Deferred[list[bytes]] = Deferred(lambda ignored: call.cancel())
        call = self.call(path, ReplyCollector(deferred), request_metadata, timeout)
        for request in requests:
            call.send(request)
        call.half_close()
        return deferred

    def start_calls(self, protocol: ClientProtocol) -> None:
        """Start queued calls up to the peer's stream limit; ignored for a connection that is not current."""
        if protocol is self.protocol:
            self._start_queued_calls()

    def _start_queued_calls(self) -> None:
        protocol = self.protocol
        if protocol is None or self.state != ChannelState.READY or protocol.close_reason:
            return
        max_streams = protocol.h2_connection.remote_settings.max_concurrent_streams
        while self._queue and len(protocol.streams) < max_streams:
            call = self._queue.popleft()
            if not call.over:
                call.start(protocol)

    def call_ended(self, call: ClientCall) -> None:
        """Remove a call that has ended from the queue."""
        if call.stream is None and call in self._queue:
            self._queue.remove(call)

    def _fail_queued_calls(self, reason: str) -> None:
        queue = self._queue
        self._queue = deque()
        for call in queue:
            call.end(Status(Code.UNAVAILABLE, reason, unprocessed=True))

    # -- the connection ---------------------------------------------------------------------------

    def connect(self) -> None:
        """Start connecting, unless the channel is closed, connected, connecting or in backoff."""
        if self.state != ChannelState.IDLE or self.closed:
            return
        self.state = ChannelState.CONNECTING
        self._pending_dial = self.dial(ClientProtocolFactory(self))
        self._timer = self.clock.callLater(self.connect_timeout, self._connect_timed_out)
        self._pending_dial.addCallbacks(self._dial_succeeded, self._dial_failed)

    def _dial_succeeded(self, protocol: ClientProtocol) -> None:
        self._pending_dial = None
        if self.closed or self.state != ChannelState.CONNECTING:
            protocol.transport.abortConnection()

    def _dial_failed(self, failure: Failure) -> None:
        self._pending_dial = None
        error = failure.value
        self._connect_failed(str(error) if isinstance(error, ConnectError) else failure.getErrorMessage())

    def _connect_timed_out(self) -> None:
        self._timer = None
        self._cancel_dial()
        self._connect_failed("connect timeout exceeded")

    def _cancel_dial(self) -> None:
        pending_dial = self._pending_dial
        self._pending_dial = None
        if pending_dial is not None:
            pending_dial.addErrback(lambda failure: None)
            pending_dial.cancel()

    def _connect_failed(self, reason: str) -> None:
        if self.state != ChannelState.CONNECTING:
            return
        self._failure_reason = reason
        self._cancel_timer()
        self.state = ChannelState.TRANSIENT_FAILURE
        self._timer = self.clock.callLater(self._backoff.next(), self._backoff_ended)
        self._fail_queued_calls(f"no connection: {reason}")

    def _backoff_ended(self) -> None:
        self._timer = None
        self.state = ChannelState.IDLE

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def settings_received(self, protocol: ClientProtocol, is_first: bool) -> None:
        """Start queued calls; the peer's first SETTINGS frame establishes the connection."""
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
        """Use a new connection for further calls, after a GOAWAY."""
        if protocol is self.protocol:
            self._failure_reason = protocol.goaway_reason or "peer sent GOAWAY"
            self._replace_connection()

    def connection_lost(self, protocol: ClientProtocol) -> None:
        """Replace a lost connection, or start a backoff if it had not been established."""
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
        """Close the connection if it has no open streams."""
        protocol = self.protocol
        if protocol is not None and not protocol.streams:
            self.protocol = None
            self.state = ChannelState.IDLE
            protocol.transport.loseConnection()

    def close(self) -> None:
        """Close the channel permanently; running and queued calls end with UNAVAILABLE."""
        self.closed = True
        self._cancel_timer()
        self._cancel_dial()
        self._fail_queued_calls("channel is closed")
        if self.protocol is not None:
            self.protocol.transport.abortConnection()
