"""Responses that an engine writes in pieces with pauses, and their receipt by clients on real sockets."""

import time
from collections.abc import Callable
from typing import NamedTuple

from relaymessages import EVENT, STREAM_HEAD, chat_request, chunk
from socketpeers import PeerConnection
from socketrig import Client, RelayProcess, let_time_pass

CLIENT_TIMEOUT_S = 40.0  # of tests that fail
HTTP_1_0 = "http10"  # the end of the id of a request that is sent by this version
LAST_CHUNK_OF_CLIENT = b"\r\n0\r\n\r\n"


class Writes(NamedTuple):
    """A part of a response, written in pieces with a pause in seconds before each."""

    data: bytes
    pause_s: float = 0.0
    piece_bytes: int = 1 << 20


Form = list[Writes]


def in_chunks(*parts: bytes) -> bytes:
    """Return parts of a body, each as a chunk."""
    return b"".join(chunk(part) for part in parts)


BEGIN = Writes(STREAM_HEAD + chunk(EVENT))
CLOSE_HEAD = STREAM_HEAD.replace(b"Transfer-Encoding: chunked", b"Connection: close")


def write_form(connection: PeerConnection, form: Form) -> None:
    """Write a response until it ends or its connection is closed."""
    for writes in form:
        for start in range(0, len(writes.data), writes.piece_bytes):
            if connection.closed.is_set():
                return
            let_time_pass(writes.pause_s)
            connection.send(writes.data[start : start + writes.piece_bytes])
    if form[0].data.startswith(CLOSE_HEAD):
        connection.close()


class Stream(NamedTuple):
    """A response as its client received it.

    Attributes:
        data: All received bytes.
        duration_s: Seconds from its first event to its end; to the latter alone without an event.
        answered_s: Seconds from the request to the first byte of the response.
        is_complete: Whether its end shows the client that it is complete.
    """

    data: bytes
    duration_s: float
    answered_s: float
    is_complete: bool


def receive(
    node: RelayProcess,
    request_id: str,
    traffic: str = "post",
    remaining_ms: int = 4900,
    on_event: Callable[[], None] | None = None,
) -> Stream:
    """Send a request, by HTTP/1.0 if its id ends so, and receive its response.

    Args:
        node: The node.
        request_id: The id of the request.
        traffic: Its traffic type.
        remaining_ms: The time in ms after which the client gives up.
        on_event: Called for the first whole event, and for each part received after it.
    """
    client = Client(node.address)
    client.sock.settimeout(CLIENT_TIMEOUT_S)
    is_http_1_0 = request_id.endswith(HTTP_1_0)
    request = chat_request(request_id, traffic=traffic, remaining_ms=remaining_ms, session=request_id)
    sent_at = time.monotonic()
    client.send(request.replace(b"HTTP/1.1", b"HTTP/1.0", 1) if is_http_1_0 else request)
    data, answered_s, began_at, was_reset = b"", 0.0, sent_at, False
    try:
        while LAST_CHUNK_OF_CLIENT not in data[-4096:] and (part := client.sock.recv(65536)):
            if not data:
                answered_s = time.monotonic() - sent_at
            if EVENT[:6] not in data[:4096]:
                began_at = time.monotonic()
            data += part
            if on_event is not None and EVENT in data:
                on_event()
            if b"\r\n\r\n" in data and b" 200 OK\r\n" not in data[:20]:
                break  # an error, after which the connection may stay open
    except ConnectionResetError:
        was_reset = True
    has_end = not was_reset if is_http_1_0 else LAST_CHUNK_OF_CLIENT in data
    return Stream(data, time.monotonic() - began_at, answered_s, has_end and b" 200 OK\r\n" in data)
