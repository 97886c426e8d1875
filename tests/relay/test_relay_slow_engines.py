"""Engines that write their streams slowly, on a relay process and real sockets."""

from collections.abc import Iterator

import pytest
from relaymessages import DONE, EVENT, LAST_CHUNK, STREAM_HEAD, USAGE, chunk
from response_forms import BEGIN, CLOSE_HEAD, Stream, Writes, in_chunks, receive, write_form
from socketpeers import PeerConnection, ReceivedRequest
from socketrig import SocketRig, in_parallel

ENGINES = 40  # so many that none is ejected for its failures
REST = USAGE + DONE
LONG_EVENT = EVENT.replace(b"ab", b"ab" * 100_000)
DIGITS = b"f" * 40  # content that looks like the size of a chunk
PING = b": ping\n\n"
END = Writes(chunk(REST) + LAST_CHUNK)
LENGTH_HEAD = STREAM_HEAD.replace(
    b"Transfer-Encoding: chunked", b"Content-Length: %d" % len(EVENT * 2 + REST)
)
SOUND_LINE_S = 4.0  # for a size line after an event: less than the 5 s that a client may be left waiting
SIZE_LINE = b"%018x\r\n" % len(EVENT)
EXTENDED_SIZE_LINE = b"%x;extension=of-the-chunk\r\n" % len(EVENT)
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
    "a chunk size in bytes": [
        BEGIN,
        Writes(SIZE_LINE, SOUND_LINE_S / len(SIZE_LINE), 1),
        Writes(EVENT + b"\r\n"),
        END,
    ],
    "an extension of a chunk in bytes": [
        BEGIN,
        Writes(EXTENDED_SIZE_LINE, SOUND_LINE_S / len(EXTENDED_SIZE_LINE), 1),
        Writes(EVENT + b"\r\n"),
        END,
    ],
    "hexadecimal digits some time after their size line": [
        BEGIN,
        Writes(chunk(EVENT[:-30])),
        Writes(b"%x\r\n" % len(DIGITS)),
        Writes(DIGITS + b"\r\n", 0.5),
        Writes(chunk(EVENT[-30:])),
        END,
    ],
    "size lines in bytes, events in between": [
        BEGIN,
        *(Writes(SIZE_LINE, 0.15, 1), Writes(EVENT + b"\r\n")) * 3,
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
    "a chunk size in bytes, for 8 s": [BEGIN, Writes(SIZE_LINE, 0.4, 1), Writes(EVENT + b"\r\n"), END],
    "an extension of a chunk in bytes, for 8 s": [
        BEGIN,
        Writes(EXTENDED_SIZE_LINE, 0.3, 1),
        Writes(EVENT + b"\r\n"),
        END,
    ],
    "a trailer": [Writes(STREAM_HEAD + chunk(EVENT + REST)), Writes(b"0\r\nDigest: " + b"x" * 100, 0.1, 1)],
}
FORMS = list((RUNNING | SPOILT).values())


def respond(connection: PeerConnection, request: ReceivedRequest) -> None:
    """Respond in the form that the id of the request states, by its position."""
    write_form(connection, FORMS[int(request.sequence_id[1:])])


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
