"""Connection to a peer that carries one request at a time."""

import h11

from myrtlehub.http1.bounds import (
    DISCARD_TIMEOUT_S,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_INCOMPLETE_LINES,
    MAX_INFORMATIONAL_RESPONSES,
)
from myrtlehub.http1.client_interfaces import ConnectionOwner, OutstandingRequest
from myrtlehub.http1.client_request import ClientRequest, RequestFailure
from myrtlehub.http1.close_reason import PeerCloseReason
from myrtlehub.http1.framing_progress import FramingProgress
from myrtlehub.http1.headers import Header
from myrtlehub.http1.input_buffer import InputBuffer
from myrtlehub.http1.tcp_transport import TcpProtocol, abortive_close, is_orderly_close
from myrtlehub.http1.timeout import Timeout

CHUNK_END_BYTES = 2  # the line end after a chunk, which the parser reads with the next chunk
_ParserEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class ClientConnection(TcpProtocol):
    """Connection to a peer; see `client_interfaces.PooledConnection` for its attributes.

    While a request is being sent, the connection is registered with its transport as a pull producer. The
    transport asks a pull producer for more data once all written data has been passed to the kernel. This
    call shows that the last byte of the request was sent.
    """

    def __init__(self, pool: ConnectionOwner, peer: str) -> None:
        self.pool = pool
        self.peer = peer
        self.clock = pool.clock
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.pending: OutstandingRequest | None = None
        self.idle_since = 0.0
        self.is_request_sent = False
        self.is_closed = False
        self.has_completed_request = False
        self.framing_progress = FramingProgress()
        self._input = InputBuffer()
        self._is_parsing_deferred = False
        self._is_response_paused = False
        self._has_response_begun = False
        self._informational_count = 0
        self._has_unread_line = False  # the parser has data that may begin with a size line
        self._is_at_end = False  # the parser has got all data and the end of the connection
        self._unwritten_data: bytes | None = None
        self._discard_timeout = Timeout(self.clock)

    def send_request(self, pending: OutstandingRequest) -> None:
        """Send a request; the connection has to be idle."""
        self.pending = pending
        self.is_request_sent = False
        self._is_response_paused = False
        self._has_response_begun = False
        self._informational_count = 0
        self.framing_progress = FramingProgress()
        self._unwritten_data = self._serialize(pending.request, pending.address)
        self.transport.registerProducer(self, False)

    def _serialize(self, request: ClientRequest, address: str) -> bytes:
        headers: list[tuple[bytes, bytes]] = [Header(b"Host", address.encode()), *request.headers]
        if request.body or request.method == b"POST":
            headers.append(Header(b"Content-Length", b"%d" % len(request.body)))
        events: list[h11.Event] = [h11.Request(method=request.method, target=request.target, headers=headers)]
        if request.body:
            events.append(h11.Data(data=request.body))
        events.append(h11.EndOfMessage())
        return b"".join([self.http.send(event) or b"" for event in events])

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the request; when called again, record that its last byte was passed to the kernel."""
        if self._unwritten_data is not None:
            data, self._unwritten_data = self._unwritten_data, None
            self.transport.write(data)
        else:
            self.is_request_sent = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` is called as well and handles the loss."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received data as a response; close the connection if no request is pending."""
        if self.pending is None:
            self.close(PeerCloseReason.SURPLUS_DATA)
            return
        self._input.append(data)
        self.pool.parse_scheduler.data_received(self)

    def parse_step(self) -> bool:
        """Parse the next element of a response, and those after it that need no more data.

        Returns:
            Whether there is more data; without any, the connection must not be deferred.
        """
        while (pending := self.pending) is not None and not self._is_response_paused:
            if self._has_unread_line and not self._read_size_line(pending):
                return False
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                self._fail(
                    RequestFailure.RESPONSE_FAILED if self._is_at_end else RequestFailure.MALFORMED_RESPONSE
                )
                return False
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return self._pass_next_piece()
            if not self._handle_event(event, pending):
                return False
            if self._unparsed_bytes() > CHUNK_END_BYTES:
                self._has_unread_line = True
                return True
        return False

    def _read_size_line(self, pending: OutstandingRequest) -> bool:
        """Read a size line that is next, as far as it has come; return False if it made the request fail."""
        self._has_unread_line = False
        if not self.framing_progress.expects_size_line:
            return True
        self.framing_progress.read_size_line(self.http.trailing_data[0])
        return not self._fails_for_size(pending)

    def _fails_for_size(self, pending: OutstandingRequest) -> bool:
        """Fail the request if its response announces too much; return whether it does."""
        is_oversized = self._announces_too_much(pending)
        if is_oversized:
            self._fail(RequestFailure.OVERSIZED_RESPONSE)
        return is_oversized

    def _announces_too_much(self, pending: OutstandingRequest) -> bool:
        return self.framing_progress.announced_bytes > pending.handler.max_announced_bytes

    def _unparsed_bytes(self) -> int:
        return len(self._input) + len(self.http.trailing_data[0])

    def _pass_next_piece(self) -> bool:
        """Pass more data to the parser, which has an incomplete element or none."""
        incomplete = self.http.trailing_data[0]
        self.framing_progress.incomplete_bytes = len(incomplete)
        if incomplete.count(b"\n") > MAX_INCOMPLETE_LINES:
            self._fail(RequestFailure.MALFORMED_RESPONSE)
            return False
        if not self._input:
            return False
        self.http.receive_data(self._input.take_piece())
        self._has_unread_line = True
        return True

    def pause_input(self) -> None:
        """Stop reading from the socket until the received data is parsed."""
        self._is_parsing_deferred = True
        self.transport.pauseProducing()

    def resume_input(self) -> None:
        """Read from the socket again, unless the response is paused."""
        self._is_parsing_deferred = False
        self._resume_reading()

    def abort_parsing(self) -> None:
        """Close the connection, because a response could not be handled."""
        self.close(PeerCloseReason.REQUEST_FAILED)

    def pause_response(self) -> None:
        """Stop reading and parsing the response."""
        self._is_response_paused = True
        self.transport.pauseProducing()

    def resume_response(self) -> None:
        """Read and parse the response again."""
        self._is_response_paused = False
        self._resume_reading()
        self.pool.parse_scheduler.data_received(self)

    def _resume_reading(self) -> None:
        if not (self.is_closed or self._is_parsing_deferred or self._is_response_paused):
            self.transport.resumeProducing()

    def _handle_event(self, event: _ParserEvent, pending: OutstandingRequest) -> bool:
        """Handle one event of the parser; return False if it made the request fail."""
        self._has_response_begun = True
        if type(event) is h11.Data:
            self.framing_progress.content_received(len(event.data), event.chunk_end)
            pending.handler.on_data(bytes(event.data))
        elif (
            isinstance(event, (h11.Response, h11.InformationalResponse)) and len(event.headers) > MAX_HEADERS
        ):
            self._fail(RequestFailure.MALFORMED_RESPONSE)
            return False
        elif type(event) is h11.Response:
            headers = [Header(name, value) for name, value in event.headers]
            self.framing_progress.begin(dict(headers))
            pending.handler.on_head(event.status_code, headers)
            return self.pending is pending and not self._fails_for_size(pending)
        elif type(event) is h11.InformationalResponse:
            self._informational_count += 1
            if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
                self._fail(RequestFailure.MALFORMED_RESPONSE)
                return False
        elif type(event) is h11.EndOfMessage:
            self._complete(pending)
        else:
            self._fail(RequestFailure.MALFORMED_RESPONSE)
            return False
        return True

    def _is_reusable(self) -> bool:
        http = self.http
        return (
            self.is_request_sent
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and self._unparsed_bytes() == 0
            and not self.is_closed
            and self.pool.is_reuse_allowed()
        )

    def discard_response(self) -> None:
        """Close the connection unless the rest of the response, which nobody needs, arrives soon.

        Test: `test_a_rejection_whose_body_does_not_end_frees_its_connection`.
        """
        if self.pending is not None:
            self._discard_timeout.restart(DISCARD_TIMEOUT_S, self._on_discard_timeout)

    def _on_discard_timeout(self) -> None:
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.mark_finished()
            self.close(PeerCloseReason.REQUEST_FAILED)

    def _complete(self, pending: OutstandingRequest) -> None:
        self.pending = None
        self._discard_timeout.clear()
        if self._is_reusable():
            self.http.start_next_cycle()
            self.has_completed_request = True
            self.pool.add_idle(self)
        else:
            self.close(PeerCloseReason.NOT_REUSABLE)
        pending.mark_finished()
        pending.handler.on_complete()

    def _fail(self, failure: RequestFailure = RequestFailure.RESPONSE_FAILED) -> None:
        pending, self.pending = self.pending, None
        self.close(PeerCloseReason.REQUEST_FAILED)
        if pending is not None:
            if self.has_completed_request and not self._has_response_begun:
                self.pool.suspend_reuse()
            pending.mark_finished()
            pending.handler.on_failure(failure if self.is_request_sent else RequestFailure.SEND_FAILED)

    def close(self, reason: PeerCloseReason) -> None:
        """Abort the connection; data that is not sent yet is discarded."""
        if not self.is_closed:
            self.is_closed = True
            self._release_input()
            self.pool.remove(self, reason)
            abortive_close(self.transport)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Remove the connection from the pool, and complete or fail its pending request, if any."""
        self.is_closed = True
        is_orderly = is_orderly_close(reason)
        try:
            if self.pending is not None and is_orderly:
                self._parse_end()
        finally:  # the pool must not count this connection any more, even if a handler raised
            self._release_input()
            self.pool.remove(self, PeerCloseReason.CLOSED_BY_PEER if is_orderly else PeerCloseReason.LOST)
            if self.pending is not None:
                self._fail()

    def _parse_end(self) -> None:
        """Parse what is left, and the end of the connection.

        A response without a length ends with its connection (RFC 9112, section 6.3); to any other one, the
        end is an error. A reset connection ends no response, because data may be missing.
        Test: `test_a_response_ends_in_each_form_that_http_has`.
        """
        self.pool.parse_scheduler.remove(self)
        while self.parse_step():
            pass
        self._is_at_end = True
        self.http.receive_data(b"")
        self.parse_step()

    def _release_input(self) -> None:
        self._discard_timeout.clear()
        self._input.clear()
        self.pool.parse_scheduler.remove(self)
