"""Engines that write their streams slowly, on a relay process and real sockets."""

import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from relaymessages import DONE, EVENT, LAST_CHUNK, STREAM_HEAD, USAGE, chat_request, chunk
from socketpeers import PeerConnection, ReceivedRequest
from socketrig import Client, RelayProcess, SocketRig, in_parallel, let_time_pass

ENGINES = 40  # so many that none is ejected for its failures
CLIENT_TIMEOUT_S = 40.0  # of tests that fail
REST = USAGE + DONE
LONG_EVENT = EVENT.replace(b"ab", b"ab" * 100_000)
PING = b": ping\n\n"


class Writes(NamedTuple):
    """A part of a response, written in pieces with a pause in seconds before each."""

    data: bytes
    pause_s: float = 0.0
    piece_bytes: int = 1 << 20


def in_chunks(*parts: bytes) -> bytes:
    """Return parts of a body, each as a chunk."""
    return b"".join(chunk(part) for part in parts)


BEGIN = Writes(STREAM_HEAD + chunk(EVENT))
END = Writes(chunk(REST) + LAST_CHUNK)
LENGTH_HEAD = STREAM_HEAD.replace(
    b"Transfer-Encoding: chunked", b"Content-Length: %d" % len(EVENT * 2 + REST)
)
CLOSE_HEAD = STREAM_HEAD.replace(b"Transfer-Encoding: chunked", b"Connection: close")
RUNNING = {
    "events with long pauses": [BEGIN, Writes(in_chunks(EVENT, EVENT), 4.5, len(chunk(EVENT))), END],
    "an event in bytes": [BEGIN, Writes(chunk(EVENT), 0.1, 1), END],
    "an event in chunks of a byte": [
        BEGIN,
        Writes(in_chunks(*(EVENT[i : i + 1] for i in range(len(EVENT)))), 0.1, 6),
        END,
    ],
    "an event in pieces with pauses of 1 s": [BEGIN, Writes(chunk(EVENT), 1.0, 12), END],
    "an event in pieces with pauses of 2 s": [BEGIN, Writes(chunk(EVENT), 2.0, 20), END],
    "an event in pieces with pauses of 4 s": [BEGIN, Writes(chunk(EVENT), 4.0, 30), END],
    "a chunk size in bytes": [BEGIN, Writes(b"%018x\r\n" % len(EVENT), 0.4, 1), Writes(EVENT + b"\r\n"), END],
    "an extension of a chunk in bytes": [
        BEGIN,
        Writes(b"%x;extension=of-the-chunk\r\n" % len(EVENT), 0.3, 1),
        Writes(EVENT + b"\r\n"),
        END,
    ],
    "comments": [BEGIN, Writes(in_chunks(PING, PING, PING), 2.0, len(chunk(PING))), END],
    "a comment in bytes": [BEGIN, Writes(chunk(PING), 0.5, 1), END],
    "the first event in bytes": [Writes(STREAM_HEAD), Writes(chunk(EVENT), 0.04, 1), END],
    "the first event with a pause": [
        Writes(STREAM_HEAD + b"%x\r\n" % len(EVENT) + EVENT[:30]),
        Writes(EVENT[30:] + b"\r\n", 3.5),
        END,
    ],
    "the head in bytes": [Writes(STREAM_HEAD, 0.03, 1), Writes(chunk(EVENT)), END],
    "its last events in bytes": [BEGIN, Writes(chunk(REST), 0.05, 1), Writes(LAST_CHUNK)],
    "a long event": [BEGIN, Writes(chunk(LONG_EVENT), 0.1, 3000), END],
    "a chunk of 300 KB": [
        Writes(STREAM_HEAD),
        Writes(chunk(EVENT * 4000 + REST), 0.05, 20_000),
        Writes(LAST_CHUNK),
    ],
    "with a length": [Writes(LENGTH_HEAD + EVENT), Writes(EVENT, 0.1, 1), Writes(REST)],
    "to the end of its connection": [Writes(CLOSE_HEAD + EVENT), Writes(EVENT, 0.1, 1), Writes(REST)],
}
SPOILT = {
    "silence": [BEGIN],
    "half an event": [BEGIN, Writes(chunk(EVENT[:30]), 0.3)],
    "a chunk without end": [BEGIN, Writes(b"fffff\r\ndata: "), Writes(b"x" * 100, 0.1, 1)],
    "events in one line without end": [BEGIN, Writes(b"fffff\r\n" + b"data: xxxx" * 60, 0.1, 10)],
    "comments after the end mark": [
        Writes(STREAM_HEAD + chunk(EVENT + REST)),
        Writes(in_chunks(*(PING for _ in range(20))), 0.5, len(chunk(PING))),
    ],
    "line ends after the end mark": [
        Writes(STREAM_HEAD + chunk(EVENT + REST)),
        Writes(in_chunks(*(b"\n" for _ in range(60))), 0.1, 6),
    ],
    "an extension of the last chunk": [
        Writes(STREAM_HEAD + chunk(EVENT + REST)),
        Writes(b"0;" + b"x" * 100, 0.1, 1),
    ],
    "a trailer": [Writes(STREAM_HEAD + chunk(EVENT + REST)), Writes(b"0\r\nDigest: " + b"x" * 100, 0.1, 1)],
}
FORMS = list((RUNNING | SPOILT).values())


def respond(connection: PeerConnection, request: ReceivedRequest) -> None:
    """Respond in the form that the id of the request states, by its position."""
    form = FORMS[int(request.sequence_id[1:])]
    for writes in form:
        for start in range(0, len(writes.data), writes.piece_bytes):
            if connection.closed.is_set():
                return
            let_time_pass(writes.pause_s)
            connection.send(writes.data[start : start + writes.piece_bytes])
    if CLOSE_HEAD in form[0].data:
        connection.close()


class Stream(NamedTuple):
    """A response as its client received it, and the seconds from its first event to its end."""

    data: bytes
    duration_s: float


def receive(node: RelayProcess, request_id: str) -> Stream:
    """Send a request, and receive its response."""
    client = Client(node.address)
    client.sock.settimeout(CLIENT_TIMEOUT_S)
    client.send(chat_request(request_id, traffic="post", remaining_ms=4900, session=request_id))
    data, began_at = b"", time.monotonic()
    while b"\r\n0\r\n\r\n" not in data and (part := client.sock.recv(65536)):
        began_at = began_at if EVENT in data else time.monotonic()
        data += part
    return Stream(data, time.monotonic() - began_at)


@pytest.fixture(name="streams", scope="module")
def received_streams(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Stream]]:
    """Yield the streams of all forms, as clients of one node received them at the same time."""
    rig = SocketRig(tmp_path_factory.mktemp("streams"))
    node = rig.start_writers(ENGINES, respond)
    names = [*RUNNING, *SPOILT]
    yield in_parallel(lambda name: receive(node, f"f{names.index(name)}"), names)
    rig.close()


@pytest.mark.parametrize("name", RUNNING)
def test_a_stream_that_its_engine_still_writes_is_not_cut_off(streams: dict[str, Stream], name: str) -> None:
    assert streams[name].data.endswith(b"\r\n0\r\n\r\n"), (
        streams[name].duration_s,
        streams[name].data[-300:],
    )
    assert DONE in streams[name].data


@pytest.mark.parametrize("name", SPOILT)
def test_a_stream_that_its_engine_does_not_go_on_writing_ends_within_5_s(
    streams: dict[str, Stream], name: str
) -> None:
    assert not streams[name].data.endswith(b"\r\n0\r\n\r\n")
    assert streams[name].duration_s < 5.0
