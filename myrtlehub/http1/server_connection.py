"""Server side of a client connection: its requests, responses, timeouts and close."""

from http import HTTPStatus

import h11

from myrtlehub.http1.bounds import (
    DRAINING_FIRST_BYTE_TIMEOUT_S,
    FIRST_REQUEST_GRACE_S,
    IDLE_TIMEOUT_S,
    LINGER_TIMEOUT_S,
    MAX_HEAD_BYTES,
    REQUEST_TIMEOUT_S,
    STALLED_WRITE_TIMEOUT_S,
    UNPARSED_EXTENSION_S,
)
from myrtlehub.http1.client_presence import ClientPresence
from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.headers import Header, Headers
from myrtlehub.http1.request_reader import PART_READ, ContinueExpected, RequestReader, RequestRejection
from myrtlehub.http1.response_head import response_head
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.http1.server_interfaces import ConnectionRegistry
from myrtlehub.http1.server_request import ServerRequest
from myrtlehub.http1.tcp_transport import TcpProtocol, abort_once_written, unread_bytes
from myrtlehub.http1.timeout import Timeout
from myrtlehub.http1.timeout_extension import TimeoutExtension

HTTP_1_0 = b"1.0"


class ServerConnection(TcpProtocol):
    """Client connection that handles one request at a time.

    Attributes:
        exchange: Request that awaits the end of its response, if any.
        idle_since: Clock time in seconds since which the connection has been idle or lingering.
        has_received_request: Whether at least one complete request was received.
        is_closing: Whether the connection is lingering or aborted, so that no further request is read.
        is_lost: Whether the connection is closed.
        is_dropped: Whether the connection was aborted to free its file descriptor; the transport closes it
            within a reactor turn.
    """

    def __init__(self, listener: ConnectionRegistry) -> None:
        self.listener = listener
        self.clock = listener.clock
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.exchange: ServerExchange | None = None
        self.idle_since = self.clock.seconds()
        self.has_received_request = False
        self.is_closing = False
        self.is_lost = False
        self.is_dropped = False
        self._reader = RequestReader(self.http, listener.memory)
        self._presence = ClientPresence()
        self._input_paused_at = self.idle_since
        self._extension = TimeoutExtension(self.clock)
        self._is_parsing_deferred = False
        self._is_output_full = False
        self._accept_queued_since = listener.accept_queued_since
        self._timeout = Timeout(self.clock)  # limits a request, an idle period or a lingering close
        self._stall_timeout = Timeout(self.clock)

    def connectionMade(self) -> None:  # noqa: N802
        """Start the timeout for the first request, and register with the listener."""
        super().connectionMade()
        self.transport.registerProducer(self, True)
        self._restart_request_timeout()
        if self.listener.is_draining:
            self._restart_timeout(DRAINING_FIRST_BYTE_TIMEOUT_S)
        self.listener.connection_opened(self)

    def _restart_timeout(self, delay: float) -> None:
        self._timeout.restart(delay, self._on_timeout)

    def _restart_request_timeout(self) -> None:
        self._extension.restart()
        self._restart_timeout(REQUEST_TIMEOUT_S)

    def _restart_next_timeout(self) -> None:
        """Limit the next request, if data of it was read, or else the time without one."""
        if self._reader.has_read_ahead:
            self._restart_request_timeout()
        else:
            self._restart_timeout(IDLE_TIMEOUT_S)

    def _on_timeout(self) -> None:
        """Handle the timeout of an incomplete request, an idle connection or a lingering close.

        A request is not incomplete while this process has data of it to parse: it is read first, and then
        its own deadline counts.
        """
        if self.is_closing:
            self._abort(CloseReason.LINGER_TIMEOUT)
        elif self._is_parsing_deferred and self._extension.may_extend():
            self._restart_timeout(UNPARSED_EXTENSION_S)
        elif self._reader.has_partial_request:
            self.reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.linger(CloseReason.DRAINING if self.listener.is_draining else CloseReason.IDLE_TIMEOUT)

    @property
    def has_open_request(self) -> bool:
        """Whether a request awaits the end of its response."""
        return self.exchange is not None

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has arrived since the last response."""
        return self.exchange is None and not self._reader.has_partial_request

    @property
    def incomplete_bytes(self) -> int:
        """Bytes held of an incomplete request that can be rejected; 0 if there is none."""
        may_reject = self.exchange is None and not self.is_closing and not self.is_lost
        return self._reader.read_ahead_bytes if may_reject else 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests one at a time, and buffer or discard the data after an open request."""
        if self.is_closing:
            return  # read and discarded: closing a socket with unread data sends a reset
        reader = self._reader
        if self.exchange is not None:
            self._presence.record_surplus(self.clock.seconds())
        if reader.is_discarding or (self.exchange is not None and not reader.may_buffer(len(data))):
            reader.discard(len(data))
            if reader.exceeds_discard_limit:
                self._abort(CloseReason.PIPELINE_FLOOD)
            return
        if self.is_idle:
            self._restart_request_timeout()
        self._extension.record_data()
        arrived_at = self._arrival_time()
        reader.receive_data(data, arrived_at)
        if self.exchange is None:
            self.listener.parse_scheduler.data_received(self)
        if reader.has_partial_request and not self.is_lost:
            reader.record_unread(unread_bytes(self.transport), arrived_at)
            self.listener.limit_incomplete_requests()

    def _arrival_time(self) -> float:
        """Return the earliest time at which the data that is being read can have arrived.

        The first data on a connection may have arrived while the connection waited in the accept queue.
        Test: `test_the_time_of_a_request_includes_its_wait_to_be_accepted`.
        """
        now = self.clock.seconds()
        queued_since, self._accept_queued_since = self._accept_queued_since, None
        if queued_since is not None and now - self.idle_since <= FIRST_REQUEST_GRACE_S:
            return queued_since
        return now

    def parse_step(self) -> bool:
        """Parse one element of a request; return False if nothing can be parsed at present."""
        if self.exchange is not None or self.is_closing or self.is_lost or self._is_output_full:
            return False
        event = self._reader.next_event()
        if event is PART_READ:
            return True
        if event is None:
            return False
        if isinstance(event, RequestRejection):
            self.reject(event.status)
        elif isinstance(event, ContinueExpected):
            self._write_event(h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[]))
        elif isinstance(event, ServerRequest):
            self._open_exchange(event)
        return self.exchange is None and not self.is_closing

    def pause_input(self) -> None:
        """Stop reading from the socket until the received data is parsed."""
        self._is_parsing_deferred = True
        self._input_paused_at = self.clock.seconds()
        self.transport.pauseProducing()

    def resume_input(self) -> None:
        """Read from the socket again.

        Data that has arrived meanwhile counts from the pause, the earliest possible time.
        Test: `test_data_that_arrives_while_reading_is_paused_counts_from_the_pause`.
        """
        self._is_parsing_deferred = False
        if not self.is_lost:
            self._reader.record_unread(unread_bytes(self.transport), self._input_paused_at)
            self._resume_reading()

    def _resume_reading(self) -> None:
        if not (self.is_lost or self._is_parsing_deferred or self._is_output_full):
            self.transport.resumeProducing()

    def abort_parsing(self) -> None:
        """Close the connection, because a request could not be handled."""
        self.transport.abortConnection()

    def _open_exchange(self, request: ServerRequest) -> None:
        self.has_received_request = True
        self._timeout.cancel()
        memory = self.listener.memory
        if not memory.may_open(len(request.body)):
            self.reject_for_memory()
            return
        memory.open_bytes += len(request.body)
        if self._reader.has_read_ahead:
            self._presence.record_surplus(self.clock.seconds())
        self.exchange = ServerExchange(self, request)
        self.listener.on_request(self.exchange)

    def is_client_certain(self) -> bool:
        """Return whether nothing is unread that may end the connection; a loss was reported already."""
        return self.is_lost or self._presence.is_certain(self.transport, self.clock.seconds())

    def _close_exchange(self) -> ServerExchange | None:
        """Remove and return the open request, if any."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.listener.memory.open_bytes -= len(exchange.request.body)
        return exchange

    def _read_pipelined(self) -> None:
        if not self.is_lost and self.exchange is None:
            self.listener.parse_scheduler.data_received(self)

    def _write_event(self, event: h11.Event) -> None:
        data = self.http.send(event)
        if data and not self.is_lost:
            self.transport.write(data)

    def _write_head(self, status: int, headers: Headers, must_close: bool) -> None:
        self._write_event(response_head(status, headers, must_close or self.listener.is_draining))

    def respond(self, status: int, headers: Headers, body: bytes, must_close: bool) -> None:
        """Write a complete response."""
        if self.is_lost or self.is_closing:
            return
        self._write_head(status, headers, must_close)
        if body:
            self._write_event(h11.Data(data=body))
        self.finish()

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a streamed response."""
        if not self.is_lost:
            self._write_head(status, headers, False)

    def write(self, data: bytes) -> None:
        """Write a part of a streamed response."""
        if not (self.is_lost or self.is_closing):
            self._write_event(h11.Data(data=data))

    def finish(self) -> None:
        """End the response, then read the next request.

        If the listener began to drain after the head of a stream was written, that head has no
        `Connection: close`. Such a connection is closed here, since the client would otherwise send its next
        request to a process that is about to exit.
        Test: `test_a_stream_that_ends_after_sigterm_closes_its_connection`.
        """
        if self.is_lost or self.is_closing:
            return
        self._write_event(h11.EndOfMessage())
        self._close_exchange()
        is_complete = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        has_read_ahead = self._reader.has_read_ahead
        if not is_complete or (self.listener.is_draining and not has_read_ahead):
            self.linger(CloseReason.LAST_RESPONSE)
            return
        self.http.start_next_cycle()
        self.idle_since = self.clock.seconds()
        if self._is_output_full:
            self._pause_requests()
            return
        self._restart_next_timeout()
        if has_read_ahead or self._reader.is_discarding:
            # Pipelined requests are read in the next reactor turn, to avoid recursion.
            self.clock.callLater(0, self._read_pipelined)

    def reject_for_memory(self) -> None:
        """Respond with 503 and close, because the requests of all clients take too much memory."""
        self.reject(HTTPStatus.SERVICE_UNAVAILABLE, CloseReason.MEMORY_LIMIT)

    def reject(self, status: int, reason: CloseReason = CloseReason.MALFORMED_REQUEST) -> None:
        """Respond with the status of an error, and close the connection."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            try:
                self._write_head(status, [Header(b"Content-Length", b"0")], True)
                self._write_event(h11.EndOfMessage())
            except h11.LocalProtocolError:
                pass  # the state of the parser allows no response; the connection is closed without one
        self.linger(reason)

    def abort_response(self) -> None:
        """Close the connection without the end of the response, which marks it as incomplete.

        A response to HTTP/1.0 has no chunks and ends with its connection, so only a reset shows that it is
        incomplete. Test: `test_a_broken_stream_looks_incomplete_to_an_http_1_0_client`.
        """
        self._close_exchange()
        if self.http.their_http_version != HTTP_1_0:
            self.linger(CloseReason.STREAM_FAILED)
        elif not (self.is_closing or self.is_lost):
            self.is_closing = True
            self.idle_since = self.clock.seconds()
            self.listener.connection_closing(CloseReason.STREAM_FAILED, None)
            abort_once_written(self.transport, self.clock)

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the open stream, or the reading of requests: the client does not read its responses."""
        self._is_output_full = True
        self._stall_timeout.start_once(STALLED_WRITE_TIMEOUT_S, self._on_stall_timeout)
        if self.exchange is not None:
            self.exchange.on_pause()
        else:
            self._pause_requests()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the open stream, or the reading of requests: the client has read its responses."""
        self._is_output_full = False
        self._stall_timeout.clear()
        if self.exchange is not None:
            self.exchange.on_resume()
        elif not (self.is_closing or self.is_lost):
            self._restart_next_timeout()
            self._resume_reading()
            self._read_pipelined()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` is called as well and handles the loss."""

    def _pause_requests(self) -> None:
        """Read no further request until the client has read the responses to the earlier ones.

        The responses would add up in memory. The stall timeout takes the place of the others.
        Test: `test_requests_of_a_client_that_reads_no_response_are_not_answered_without_end`.
        """
        self._timeout.cancel()
        self.transport.pauseProducing()

    def _on_stall_timeout(self) -> None:
        self._abort(CloseReason.WRITE_TIMEOUT)

    def _abort(self, reason: CloseReason) -> None:
        # No open request is reported: the client has abandoned its response, if there is one.
        self.listener.connection_closing(reason, None)
        self.transport.abortConnection()

    def linger(self, reason: CloseReason) -> None:
        """Shut down the sending side after the last response, and read until the client closes as well.

        If a socket is closed while data is unread or still arriving, the kernel sends a reset, and the client
        may lose the part of the last response that it has not read. Data that is read from now on is ignored.
        Test: `test_a_client_that_still_sends_can_read_the_last_response`.
        """
        if self.is_closing or self.is_lost:
            return
        self.is_closing = True
        self.listener.connection_closing(reason, self.exchange)
        self.idle_since = self.clock.seconds()
        self._reader.discard_input()
        self.transport.unregisterProducer()
        if self._is_output_full:
            self._is_output_full = False
            self._stall_timeout.clear()
            self._resume_reading()
        self.transport.loseWriteConnection()
        self._restart_timeout(LINGER_TIMEOUT_S)

    def drop(self) -> None:
        """Abort the connection to free its file descriptor; it must not have an open request."""
        self.listener.connection_closing(CloseReason.CONNECTION_LIMIT, self.exchange)
        self.is_closing = True
        self.is_dropped = True
        self.transport.abortConnection()

    def drain(self) -> None:
        """Close the connection if no request has begun; a new connection first gets time to send one."""
        if self.is_closing or not self.is_idle:
            return
        time_left = 0.0
        if not self.has_received_request:
            time_left = DRAINING_FIRST_BYTE_TIMEOUT_S - (self.clock.seconds() - self.idle_since)
        if time_left > 0.0:
            self._restart_timeout(time_left)
        else:
            self.linger(CloseReason.DRAINING)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Stop all timers, and report the loss to the listener and to the open request, if any."""
        self.is_lost = True
        self._timeout.clear()
        self._stall_timeout.clear()
        self._reader.close()
        self.listener.parse_scheduler.remove(self)
        self.listener.connection_closed(self)
        exchange = self._close_exchange()
        if exchange is not None:
            exchange.is_finished = True
            exchange.on_lost()
