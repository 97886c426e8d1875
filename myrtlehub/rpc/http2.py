"""One HTTP/2 connection under Twisted: h2 speaks the protocol, this moves bytes, windows and bounds.

`Http2Protocol` is shared by both ends; `server` and `channel` add what a request or a call is. Writes are
gathered and leave once a turn of the reactor, so messages that were read together leave together.
"""

from collections import deque
from collections.abc import Callable
from struct import Struct

from h2.config import H2Configuration
from h2.connection import ConnectionState, H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    PingAckReceived,
    PingReceived,
    PriorityUpdated,
    RemoteSettingsChanged,
    StreamEnded,
    StreamReset,
    WindowUpdated,
)
from h2.exceptions import H2Error, StreamClosedError
from h2.settings import SettingCodes, Settings
from h2.stream import StreamState
from hyperframe.frame import Frame, GoAwayFrame
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.interfaces import IConsumer, IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from myrtlehub.rpc.guards import AbuseMeter, TransportBounds
from myrtlehub.rpc.headers import PlainEncoder

EVERY_STREAM = 2**31 - 1
PREFACE = 24  # bytes that a client sends ahead of its first frame
# h2 formats each frame for a trace log even where nobody reads that; it came to a tenth of a node's work.
Frame.__repr__ = object.__repr__
_HEAD = Struct(">HBBBI")  # of a frame: length, type, flags, stream
_RECEIVES = (StreamState.OPEN, StreamState.HALF_CLOSED_LOCAL)
_SENDS = (StreamState.OPEN, StreamState.HALF_CLOSED_REMOTE)


class LiveConnection(H2Connection):
    """h2's connection, but one that lives on after GOAWAY, as graceful shutdown needs.

    h2 takes a GOAWAY for the end of the connection; RFC 9113 section 6.8 lets streams below the named one
    finish. Streams are counted by us, so that one too many is refused and not an error of the connection.
    """

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list, list]:
        event = ConnectionTerminated()
        event.error_code, event.last_stream_id = frame.error_code, frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]

    def _open_streams(self, remainder: int) -> int:
        return 0

    def go_away(self, last_stream_id: int, error: int = 0, why: bytes = b"") -> None:
        """Announce GOAWAY and leave the connection open."""
        frame = GoAwayFrame(0, last_stream_id=last_stream_id, error_code=error, additional_data=why)
        self._prepare_for_sending([frame])

    def room(self, stream_id: int) -> int:
        """Bytes that one DATA frame on this stream may carry now."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return 0
        return min(
            stream.outbound_flow_control_window,
            self.outbound_flow_control_window,
            self.max_outbound_frame_size,
        )

    def quick_receive(self, stream_id: int, size: int) -> bool:
        """Account for a plain DATA frame on a stream that is open; False where h2 has to judge it.

        h2's way costs ten times as much, and nearly all frames of token streams are of this kind.
        """
        stream = self.streams.get(stream_id)
        if stream is None or stream._expected_content_length is not None:
            return False
        machine, mine, all_ = (
            stream.state_machine,
            stream._inbound_window_manager,
            self._inbound_flow_control_window_manager,
        )
        if machine.state not in _RECEIVES or not machine.headers_received or machine.trailers_received:
            return False
        if size > mine.current_window_size or size > all_.current_window_size:
            return False
        mine.window_consumed(size)
        all_.window_consumed(size)
        return True

    def quick_send(self, stream_id: int, data: bytes) -> bool:
        """Send a plain DATA frame that the windows allow; False where h2 has to judge it."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.state_machine.state not in _SENDS:
            return False
        size = len(data)
        self._data_to_send += _HEAD.pack(size >> 8, size & 255, 0, 0, stream_id) + data
        stream.outbound_flow_control_window -= size
        self.outbound_flow_control_window -= size
        return True

    def forget(self, stream_id: int) -> None:
        """Drop a closed stream, but for how it was closed."""
        stream = self.streams.pop(stream_id, None)
        if stream is not None:
            self._closed_streams[stream_id] = stream.closed_by


@implementer(IConsumer, IPushProducer)
class Stream:
    """One stream: an IConsumer for what we send and an IPushProducer of what we receive.

    Whoever owns the stream sets `on_data(bytes)`, `on_end()` and `on_lost(error code or None)`; the last is
    called once if the stream ends other than by both sides' END_STREAM. While paused, what arrives is held
    and no window is given back, so that the peer stops this stream and no other.
    """

    def __init__(self, protocol: "Http2Protocol", stream_id: int) -> None:
        self.protocol, self.id = protocol, stream_id
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_end: Callable[[], None] = lambda: None
        self.on_lost: Callable[[int | None], None] = lambda error: None
        self.on_headers: Callable[[list, bool], None] = lambda headers, ended: None
        self._out: deque[bytes] = deque()
        self.buffered = self.put = self.taken = self.dropped = 0  # bytes: waiting, and ever so far
        self._begun = False  # the first of what waits has left in part
        self._trailers: list | None = None
        self._ending = self.sent_end = self.received_end = self.closed = False
        self._producer: object | None = None
        self._streaming = self._producer_paused = False
        self.paused = self._end_held = False
        self._held: deque[bytes] = deque()
        self._credit = 0

    # -- sending ----------------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Queue bytes; past the bound the registered producer is paused."""
        if self.closed or self._ending:
            return
        self._out.append(data)
        self.buffered += len(data)
        self.put += len(data)
        self.protocol.mark(self)
        if self.buffered > self.protocol.bounds.send_buffer and self._producer and not self._producer_paused:
            self._producer_paused = True
            if self._streaming:
                self._producer.pauseProducing()

    def end(self, trailers: list | None = None) -> None:
        """Queue END_STREAM, with trailers if given."""
        if not (self.closed or self._ending):
            self._ending, self._trailers = True, trailers
            self.protocol.mark(self)

    def drop(self) -> int:
        """Forget what waits, but for the rest of a write that has left in part; bytes that were dropped."""
        rest = self._out.popleft() if self._begun and self._out else b""
        dropped = self.buffered - len(rest)
        self._out.clear()
        if rest:
            self._out.append(rest)
        self.buffered = len(rest)
        self.dropped += dropped
        return dropped

    def reset(self, error: int = ErrorCodes.CANCEL) -> None:
        """RST_STREAM now; what was queued is dropped."""
        if not self.closed:
            self.protocol.reset(self, error)

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Who is paused while the peer does not take what we send."""
        if self._producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.closed:
            producer.stopProducing()
            return
        self._producer, self._streaming, self._producer_paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Nothing more comes from the producer."""
        self._producer = None

    def drained(self) -> None:
        """Called as bytes left: the producer may go on."""
        if self._producer is None or self.buffered > self.protocol.bounds.send_buffer // 2:
            return
        if self._producer_paused or not self._streaming:
            self._producer_paused = False
            self._producer.resumeProducing()

    # -- receiving --------------------------------------------------------------------------------

    def receive(self, data: bytes, credit: int) -> None:
        self._credit += credit
        if self.paused:
            self._held.append(data)
        else:
            self.on_data(data)
            self._give_credit()

    def _give_credit(self) -> None:
        if self._credit * 2 >= self.protocol.bounds.stream_window and not self.received_end:
            self.protocol.give_window(self, self._credit)
            self._credit = 0

    def receive_end(self) -> None:
        if self._held or self.paused:
            self._end_held = True
        else:
            self.on_end()

    def pauseProducing(self) -> None:  # noqa: N802
        """Take nothing more: the peer may send what the window still allows."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Take what was held and go on."""
        self.paused = False
        while self._held and not self.paused and not self.closed:
            self.on_data(self._held.popleft())
        if self.paused or self.closed:
            return
        self._give_credit()
        if self._end_held:
            self._end_held = False
            self.on_end()
            self.protocol._tidy(self)

    def stopProducing(self) -> None:  # noqa: N802
        """Nobody wants this stream."""
        self.reset(ErrorCodes.CANCEL)

    def lose(self, error: int | None) -> None:
        """The stream is over; tell the owner and the producer."""
        if self.closed:
            return
        self.closed = True
        self._out.clear()
        self.dropped += self.buffered
        self.buffered = 0
        self._held.clear()
        producer, self._producer = self._producer, None
        if producer is not None:
            producer.stopProducing()
        self.on_lost(error)


class Http2Protocol(Protocol):
    """What client and server share: the reading, the writing, keep-alive and the guards."""

    client_side = False

    def __init__(self, clock: object, bounds: TransportBounds) -> None:
        self.clock, self.bounds = clock, bounds
        self.conn = LiveConnection(
            H2Configuration(
                client_side=self.client_side,
                header_encoding="latin-1",
                validate_outbound_headers=False,
                # A node chose the engines that it calls; a server checks whoever comes.
                validate_inbound_headers=not self.client_side,
                normalize_outbound_headers=False,
            )
        )
        self.conn.encoder = PlainEncoder()
        self.streams: dict[int, Stream] = {}
        self.ready = self.lost = False
        self._dirty: dict[Stream, None] = {}
        self._flush_call = self._timer = None
        self._choked = self._reading = False
        self._credit = 0
        self._abuse = AbuseMeter(bounds)
        self._rest, self._preface_read = b"", self.client_side
        self._heard_at = 0.0
        self._ping_out = False
        self.draining = False
        self.close_reason = ""

    # -- life of the connection -------------------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        b = self.bounds
        # As initial values: what is set later counts, to h2, only from the peer's acknowledgement.
        values = {
            SettingCodes.INITIAL_WINDOW_SIZE: b.stream_window,
            SettingCodes.MAX_FRAME_SIZE: b.frame,
            SettingCodes.MAX_HEADER_LIST_SIZE: b.header_list,
            SettingCodes.MAX_CONCURRENT_STREAMS: b.streams,
        }
        if self.client_side:
            values[SettingCodes.ENABLE_PUSH] = 0
        self.conn.local_settings = Settings(self.client_side, values)
        self.conn.max_inbound_frame_size = b.frame
        self.conn.initiate_connection()
        self.conn.decoder.max_header_list_size = b.header_list
        self.conn.increment_flow_control_window(b.connection_window - 65535)
        self._heard_at = self.clock.seconds()
        self._timer = self.clock.callLater(b.settings_timeout, self._no_settings)
        self.flush()

    def _no_settings(self) -> None:
        self._timer = None
        self.fail(ErrorCodes.SETTINGS_TIMEOUT, "no SETTINGS in time")

    def _settled(self) -> None:
        """The peer's first SETTINGS came: the connection stands."""
        self.ready = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.bounds.keepalive:
            self._timer = self.clock.callLater(self.bounds.keepalive, self._keep_alive)

    def _keep_alive(self) -> None:
        self._timer = None
        quiet = self.clock.seconds() - self._heard_at
        if self._ping_out and quiet >= self.bounds.keepalive_timeout:
            self.close_reason = "keep-alive ping not answered"
            self.transport.abortConnection()
            return
        if quiet >= self.bounds.keepalive - 0.001 and not self._ping_out:
            self._ping_out = True
            self.conn.ping(b"livetest")
            self.flush()
        wait = self.bounds.keepalive_timeout if self._ping_out else self.bounds.keepalive - quiet
        self._timer = self.clock.callLater(max(0.01, wait), self._keep_alive)

    def fail(self, error: int, why: str) -> None:
        """Say why by GOAWAY and close: the peer broke the protocol or its bounds."""
        if self.lost or self.close_reason:
            return
        self.close_reason = why
        try:
            self.conn.go_away(self.conn.highest_inbound_stream_id, error, why.encode()[:200])
            self.transport.write(self.conn.data_to_send())
        except H2Error:
            pass
        self._shut()

    def _shut(self) -> None:
        # Guards against a peer that floods us and reads nothing: what is queued for it must not keep the
        # connection, so a grace is given and then it is cut.
        self.transport.loseConnection()
        self.clock.callLater(1.0, lambda: None if self.lost else self.transport.abortConnection())

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self.lost = True
        if not self.close_reason and not reason.check(ConnectionDone, ConnectionAborted):
            self.close_reason = reason.getErrorMessage()
        for timer in (self._timer, self._flush_call):
            if timer is not None and timer.active():
                timer.cancel()
        self._dirty.clear()
        for stream in list(self.streams.values()):
            stream.lose(None)
        self.streams.clear()

    # -- reading ----------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.close_reason:
            return
        self._heard_at, self._ping_out = self.clock.seconds(), False
        self._reading = True
        try:
            self._read_frames(self._rest + data if self._rest else data)
        finally:
            self._reading = False
        if not self.close_reason:
            if self._credit * 2 >= self.bounds.connection_window:
                self.conn.increment_flow_control_window(self._credit)
                self._credit = 0
            self.flush()

    def _read_frames(self, data: bytes) -> None:
        """Whole frames: plain DATA goes straight to its stream, runs of all others through h2."""
        at, size = 0, len(data)
        if not self._preface_read:
            if size < PREFACE and b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".startswith(data):
                self._rest = data
                return
            at, self._preface_read = PREFACE, True
        run = 0  # from here on h2 has not been told
        while size - at >= 9:
            length = data[at] << 16 | data[at + 1] << 8 | data[at + 2]
            if length > self.bounds.frame:
                # Guards against a frame said to be huge: h2 would gather all of it before it says no.
                if self._through_h2(data[run:at]):
                    self.fail(ErrorCodes.FRAME_SIZE_ERROR, "frame over the announced size")
                return
            end = at + 9 + length
            if end > size:
                break
            if length and not data[at + 3] and not data[at + 4]:
                if run < at and not self._through_h2(data[run:at]):
                    return
                run = at
                stream_id = int.from_bytes(data[at + 5 : at + 9]) & EVERY_STREAM
                if not self.conn.incoming_buffer._headers_buffer and self.conn.quick_receive(
                    stream_id, length
                ):
                    self._credit += length
                    stream = self.streams.get(stream_id)
                    if stream is not None and not stream.closed:
                        stream.receive(data[at + 9 : end], length)
                        if self.close_reason:
                            return
                    run = end
            at = end
        self._rest = data[at:]
        if run < at:
            self._through_h2(data[run:at])

    def _through_h2(self, data: bytes) -> bool:
        """Let h2 read, and act on what it says; False once the connection is not to be read any more."""
        if not data:
            return True
        try:
            events = self.conn.receive_data(data)
        except (H2Error, ValueError, IndexError) as fault:
            self.close_reason = f"{type(fault).__name__}: {fault}"
            if self.conn.state_machine.state is not ConnectionState.CLOSED:
                # h2 queues the GOAWAY for faults in frames, not for a bad preface.
                self.conn.go_away(0, ErrorCodes.PROTOCOL_ERROR, self.close_reason.encode()[:200])
            self.transport.write(self.conn.data_to_send())
            self._shut()
            return False
        for event in events:
            handler = self.HANDLERS.get(type(event))
            if handler is not None:
                handler(self, event)
            if self.close_reason:
                return False
        return True

    def _abused(self, kind: str) -> bool:
        if self._abuse.count(kind, self.clock.seconds()):
            return False
        self.fail(ErrorCodes.ENHANCE_YOUR_CALM, f"too many {kind} frames")
        return True

    def _on_data(self, event: DataReceived) -> None:
        size = event.flow_controlled_length
        # The connection's window is given back at once: a stream that is not read holds up only itself.
        self._credit += size
        if not size and event.stream_ended is None and self._abused("empty DATA"):
            return
        stream = self.streams.get(event.stream_id)
        if stream is not None and not stream.closed and event.data:
            stream.receive(event.data, size)

    def _on_end(self, event: StreamEnded) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None and not stream.closed:
            stream.received_end = True
            stream.receive_end()
            self._tidy(stream)

    def _on_reset(self, event: StreamReset) -> None:
        if event.remote_reset and self._abused("RST_STREAM"):
            return
        stream = self.streams.pop(event.stream_id, None)
        if stream is not None:
            self._dirty.pop(stream, None)
            stream.lose(event.error_code)
        self.conn.forget(event.stream_id)
        self.stream_gone()

    def _on_window(self, event: WindowUpdated) -> None:
        if self._abused("WINDOW_UPDATE"):
            return
        if event.stream_id:
            stream = self.streams.get(event.stream_id)
            if stream is not None and (stream.buffered or stream._ending):
                self._dirty[stream] = None
        else:
            self._dirty.update((s, None) for s in self.streams.values() if s.buffered or s._ending)

    def _on_settings(self, event: RemoteSettingsChanged) -> None:
        first, self_ready = not self.ready, self.ready
        if self_ready and self._abused("SETTINGS"):
            return
        if first:
            self._settled()
        self._dirty.update((s, None) for s in self.streams.values() if s.buffered or s._ending)
        self.settings_changed(first)

    def _on_ping(self, event: PingReceived) -> None:
        self._abused("PING")

    def _on_ping_ack(self, event: PingAckReceived) -> None:
        self.ping_answered(event.ping_data)

    def _on_priority(self, event: PriorityUpdated) -> None:
        self._abused("PRIORITY")

    def _on_goaway(self, event: ConnectionTerminated) -> None:
        self.goaway_received(
            int(event.error_code),
            event.last_stream_id,
            (event.additional_data or b"").decode(errors="replace"),
        )

    # What each end adds.

    def settings_changed(self, first: bool) -> None:
        """The peer's settings came."""

    def ping_answered(self, data: bytes) -> None:
        """A ping of ours was answered."""

    def goaway_received(self, error: int, last: int, why: str) -> None:
        """The peer will take no stream above `last`."""

    def stream_gone(self) -> None:
        """A stream ended."""

    # -- writing ----------------------------------------------------------------------------------

    def mark(self, stream: Stream) -> None:
        """This stream has something to send; it leaves with the rest of this turn."""
        self._dirty[stream] = None
        self.soon()

    def soon(self) -> None:
        """Flush once this turn is over."""
        if self._flush_call is None and not self._reading and not self.lost:
            self._flush_call = self.clock.callLater(0, self._flush_now)

    def _flush_now(self) -> None:
        self._flush_call = None
        self.flush()

    def flush(self) -> None:
        """Send what windows and the transport allow, a frame a stream in turn."""
        if self.lost or self.close_reason:
            return
        conn, pending = self.conn, self._dirty
        while pending and not self._choked:
            self._dirty = {}
            for stream in pending:
                if not stream.closed and self._send_some(stream):
                    self._dirty[stream] = None
            pending = self._dirty
            if conn._data_to_send:
                self.transport.write(conn.data_to_send())
        data = conn.data_to_send()
        if data:
            self.transport.write(data)

    def _send_some(self, stream: Stream) -> bool:
        """One frame of a stream; True if more could be sent now."""
        conn = self.conn
        if stream.buffered:
            room = conn.room(stream.id)
            if room <= 0:
                return False
            chunk = stream._out.popleft()
            if stream._out and len(chunk) < room:
                parts, size = [chunk], len(chunk)
                while stream._out and size + len(stream._out[0]) <= room:
                    parts.append(stream._out.popleft())
                    size += len(parts[-1])
                chunk = b"".join(parts)
            stream._begun = len(chunk) > room
            if stream._begun:
                stream._out.appendleft(chunk[room:])
                chunk = chunk[:room]
            stream.buffered -= len(chunk)
            stream.taken += len(chunk)
            last = stream._ending and not stream.buffered and stream._trailers is None
            if last or not conn.quick_send(stream.id, chunk):
                conn.send_data(stream.id, chunk, end_stream=last)
            if last:
                self._sent_end(stream)
                return False
            stream.drained()
            if stream.buffered:
                return True
        if stream._ending and not stream.sent_end:
            if stream._trailers is None:
                conn.send_data(stream.id, b"", end_stream=True)
            else:
                conn.send_headers(stream.id, stream._trailers, end_stream=True)
            self._sent_end(stream)
        return False

    def _sent_end(self, stream: Stream) -> None:
        stream.sent_end = True
        self._tidy(stream)

    def _tidy(self, stream: Stream) -> None:
        if stream.sent_end and stream.received_end and not stream.closed and not stream._end_held:
            stream.closed = True
            self.streams.pop(stream.id, None)
            self.conn.forget(stream.id)
            self.stream_gone()

    def reset(self, stream: Stream, error: int) -> None:
        """RST_STREAM, and tell the stream."""
        try:
            self.conn.reset_stream(stream.id, error)
        except StreamClosedError:
            pass
        self.streams.pop(stream.id, None)
        self.conn.forget(stream.id)
        self._dirty.pop(stream, None)
        self.soon()
        stream.lose(error)
        self.stream_gone()

    def give_window(self, stream: Stream, size: int) -> None:
        """Let the peer send that much more on this stream."""
        try:
            self.conn.increment_flow_control_window(size, stream.id)
        except H2Error:
            return
        self.soon()

    # The transport tells us when it is full.

    def pauseProducing(self) -> None:  # noqa: N802
        self._choked = True

    def resumeProducing(self) -> None:  # noqa: N802
        self._choked = False
        self.soon()

    def stopProducing(self) -> None:  # noqa: N802
        self._choked = True

    HANDLERS = {
        DataReceived: _on_data,
        StreamEnded: _on_end,
        StreamReset: _on_reset,
        WindowUpdated: _on_window,
        RemoteSettingsChanged: _on_settings,
        PingReceived: _on_ping,
        PingAckReceived: _on_ping_ack,
        PriorityUpdated: _on_priority,
        ConnectionTerminated: _on_goaway,
    }
