"""Parsing of requests from one client connection, with limits on the data that is read ahead."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

import h11

from myrtlehub.http1.bounds import (
    MAX_DISCARDED_BYTES,
    MAX_INCOMPLETE_LINES,
    MAX_READ_AHEAD_BYTES,
)
from myrtlehub.http1.byte_arrivals import ByteArrivals
from myrtlehub.http1.input_buffer import InputBuffer
from myrtlehub.http1.partial_request import PartialRequest, head_error
from myrtlehub.http1.request_memory import RequestMemory
from myrtlehub.http1.server_request import ServerRequest


class RequestRejection(NamedTuple):
    """The client's data is no valid request: the server has to respond with `status` and close."""

    status: int


@dataclass(frozen=True, slots=True)
class ContinueExpected:
    """The client waits for `100 Continue` before it sends the body."""


@dataclass(frozen=True, slots=True)
class PartRead:
    """A part of a request was parsed, and there may be more."""


PART_READ = PartRead()
ReadEvent = ServerRequest | RequestRejection | ContinueExpected | PartRead


class RequestReader:
    """Parses received data into requests, one at a time.

    Data that follows an open request is buffered, up to MAX_READ_AHEAD_BYTES for the connection and up to the
    limit of `RequestMemory` for all connections. Data beyond that is read and discarded. If it were left
    unread in the socket, the end of the connection after it would not be detected, and the open request would
    continue long after its client has disconnected.
    Test: `test_a_disconnect_behind_many_buffered_bytes_is_noticed`.
    """

    def __init__(self, http: h11.Connection, memory: RequestMemory) -> None:
        self._http = http
        self._memory = memory
        self._input = InputBuffer()
        self._partial: PartialRequest | None = None
        self._arrivals = ByteArrivals()
        self._read_ahead_bytes = 0
        self._discarded_bytes = 0

    @property
    def read_ahead_bytes(self) -> int:
        """Bytes held that are not part of a complete request yet."""
        return self._read_ahead_bytes

    @property
    def has_read_ahead(self) -> bool:
        """Whether data was received that is not part of a complete request yet."""
        return self._read_ahead_bytes > 0

    @property
    def has_partial_request(self) -> bool:
        """Whether an incomplete request has been received."""
        return self._partial is not None or self._read_ahead_bytes > 0

    @property
    def is_discarding(self) -> bool:
        """Whether data was discarded, in which case all later data has to be discarded as well."""
        return self._discarded_bytes > 0

    @property
    def exceeds_discard_limit(self) -> bool:
        """Whether more than MAX_DISCARDED_BYTES were discarded, so that the client is to be disconnected."""
        return self._discarded_bytes > MAX_DISCARDED_BYTES

    def may_buffer(self, size: int) -> bool:
        """Return whether `size` more bytes may be buffered."""
        return self._read_ahead_bytes + size <= MAX_READ_AHEAD_BYTES and self._memory.may_read_ahead(size)

    def receive_data(self, data: bytes, arrived_at: float) -> None:
        """Buffer data for `next_event`.

        Args:
            data: Bytes from the client.
            arrived_at: Clock time in seconds at which they arrived.
        """
        self._set_read_ahead(self._read_ahead_bytes + len(data))
        self._arrivals.add(len(data), arrived_at)
        self._input.append(data)

    def record_unread(self, size: int, arrived_at: float) -> None:
        """Record that `size` further bytes, which are not read yet, have arrived by `arrived_at`.

        Args:
            size: Number of bytes in the socket's receive buffer.
            arrived_at: Clock time in seconds.
        """
        self._arrivals.add_unread(size, arrived_at)

    def discard(self, size: int) -> None:
        """Count `size` bytes that the caller has discarded."""
        self._discarded_bytes += size

    def next_event(self) -> ReadEvent | None:
        """Parse the next element of the received data; return None if more data is needed."""
        partial = self._partial
        if partial is not None and partial.framing_progress.expects_size_line:
            status = partial.read_size_line(self._http.trailing_data[0])
            if status is not None:
                return RequestRejection(status)
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            return RequestRejection(error.error_status_hint or HTTPStatus.BAD_REQUEST)
        if type(event) is h11.Data and partial is not None:
            status = partial.add(event.data, event.chunk_end)
            return RequestRejection(status) if status else PART_READ
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return self._pass_next_piece()
        if type(event) is h11.Request:
            return self._begin_request(event)
        if type(event) is h11.EndOfMessage and partial is not None:
            return self._complete_request(partial)
        return PART_READ

    def _pass_next_piece(self) -> ReadEvent | None:
        """Pass more data to the parser, which has an incomplete element or none."""
        incomplete = self._http.trailing_data[0]
        self._update_read_ahead(len(incomplete))
        if incomplete.count(b"\n") > MAX_INCOMPLETE_LINES:
            return RequestRejection(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if self._input:
            self._http.receive_data(self._input.take_piece())
            return PART_READ
        # An incomplete request can't be completed any more once data was discarded.
        return RequestRejection(HTTPStatus.REQUEST_ENTITY_TOO_LARGE) if self.is_discarding else None

    def _begin_request(self, head: h11.Request) -> ReadEvent:
        self._partial = PartialRequest(head)
        status = head_error(head)
        if status:
            return RequestRejection(status)
        return ContinueExpected() if self._http.they_are_waiting_for_100_continue else PART_READ

    def _complete_request(self, partial: PartialRequest) -> ServerRequest:
        self._partial = None
        unparsed = len(self._http.trailing_data[0])
        request = partial.complete(self._arrivals.consume(unparsed + len(self._input)))
        self._update_read_ahead(unparsed)
        return request

    def discard_input(self) -> None:
        """Free the data received so far, because no further request is read from this connection."""
        self._input.clear()
        if self._partial is not None:
            self._partial.discard_body()
        self._set_read_ahead(0)

    def close(self) -> None:
        """Remove this connection's bytes from the shared counter."""
        self._set_read_ahead(0)

    def _update_read_ahead(self, unparsed: int) -> None:
        """Count the data held, of which the parser has `unparsed` bytes."""
        body_bytes = self._partial.body_bytes if self._partial is not None else 0
        self._set_read_ahead(len(self._input) + unparsed + body_bytes)

    def _set_read_ahead(self, size: int) -> None:
        self._memory.incomplete_bytes += size - self._read_ahead_bytes
        self._read_ahead_bytes = size
