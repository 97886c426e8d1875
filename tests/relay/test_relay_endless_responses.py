"""Responses of which something never ends: a claim, a part of the framing, or what stands between events.

On a relay process and real sockets, for clients of HTTP/1.1 and 1.0, before and after the first event.
"""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from relaymessages import DONE, EVENT, LAST_CHUNK, STREAM_HEAD, USAGE, chunk, stream_of
from response_forms import BEGIN, HTTP_1_0, Form, Stream, Writes, in_chunks, receive, write_form
from socketpeers import PeerConnection, ReceivedRequest
from socketrig import RelayProcess, SocketRig, in_parallel

from myrtlehub.log_events import LogEvent

ENGINES = 60  # so many that none is ejected for its failures
NODES = 4  # so that none rejects requests while many of its streams are open
REMAINING_MS = 2500
MAX_LATE_S = 0.5
MAX_WAIT_S = 5.0  # from the latest sound event to the end of the client's stream
TRICKLE_S = 0.3
REJECTIONS = (b"429", b"503")  # status codes of requests that were not forwarded
ENDLESS = 60  # pieces, so that a response goes on for 15 s and more
HEAD = Writes(STREAM_HEAD)
COMPLETE_CONTENT = USAGE + DONE


def with_length(length: int) -> bytes:
    """Return the head of a stream that claims this length."""
    return STREAM_HEAD.replace(b"Transfer-Encoding: chunked", b"Content-Length: %d" % length)


def trickled(data: bytes, pause_s: float = TRICKLE_S) -> Writes:
    """Return data that is written byte by byte."""
    return Writes(data, pause_s, 1)


def repeated(data: bytes, pause_s: float = TRICKLE_S) -> Writes:
    """Return data that is written again and again."""
    return Writes(data * ENDLESS, pause_s, len(data))


EVENTS = repeated(EVENT)
SIZES = (
    b"40000000",
    b"3b9aca00",
    b"7fffffff",
    b"80000000",
    b"c0000000",
    b"FFFFFFFF",
    b"100000000",
    b"7fffffffffffffff",
    b"ffffffffffffffff",
    b"f" * 20,
    b"000000000c0000000",
    b"c0000000;name=value",
    b'c0000000 ; name="\\"quoted\\""',
)
CLAIMS: dict[str, Form] = {
    f"a chunk of {size.decode()} with events": [Writes(size + b"\r\n"), EVENTS] for size in SIZES
} | {
    "a chunk of 3 GB with events at once": [Writes(b"c0000000\r\n" + EVENT * 200), EVENTS],
    "a chunk of 3 GB in one packet with its first event": [Writes(b"c0000000\r\n" + EVENT), EVENTS],
    "a chunk of 3 GB with an event in bytes": [Writes(b"c0000000\r\n"), trickled(EVENT[:-1] * 2)],
    "a chunk of 3 GB with comments": [Writes(b"c0000000\r\n"), repeated(b": ping\n\n")],
    "a chunk of 3 GB with nothing": [Writes(b"c0000000\r\n")],
    "a chunk of 3 GB whose size line comes slowly": [trickled(b"c0000000;name=value\r\n", 0.1), EVENTS],
    "a chunk of 3 GB without the end of its size line": [
        Writes(b"c0000000"),
        Writes(b"0" * 20, TRICKLE_S, 1),
    ],
    "a chunk of 3 GB after a sound one": [Writes(in_chunks(EVENT, EVENT) + b"c0000000\r\n"), EVENTS],
}
FRAMING: dict[str, Form] = {
    "the zeros of a size": [trickled(b"0" * ENDLESS)],
    "an extension": [trickled(b"4d;" + b"x" * ENDLESS)],
    "an extension over 256 bytes": [Writes(b"4d;" + b"x" * 300), trickled(b"x" * ENDLESS)],
    "a quoted extension": [trickled(b'4d;x="' + b"y" * ENDLESS)],
    "spaces after a size": [trickled(b"4d" + b" " * ENDLESS)],
    "an extension of the last chunk": [trickled(b"0;" + b"x" * ENDLESS)],
    "a trailer": [Writes(b"0\r\n"), trickled(b"Digest: " + b"x" * ENDLESS)],
    "fields of a trailer": [Writes(b"0\r\n"), repeated(b"Digest: x\r\n")],
    "half the line end of a size": [trickled(b"4d\r")],
    "line ends in chunks": [repeated(chunk(b"\n"))],
    "line ends in one chunk": [Writes(b"fff\r\n"), trickled(b"\n" * ENDLESS)],
    "line ends of Windows": [repeated(chunk(b"\r\n"))],
    "half line ends": [repeated(chunk(b"\r"))],
    "blank lines": [repeated(chunk(b"\n\n"))],
    "an extension within an event": [
        Writes(chunk(EVENT[:30]), 0.2),
        trickled(b"%x;" % len(EVENT[30:]) + b"x" * ENDLESS),
    ],
}
# The wait is measured from a stream's first event, so its further events are in the same write.
SEVERAL_EVENTS: dict[str, Form] = {
    "half the line end after a chunk, after an event": [Writes(BEGIN.data + chunk(EVENT)[:-1])],
    "the zeros of a size after the end mark": [
        Writes(BEGIN.data + chunk(COMPLETE_CONTENT)),
        trickled(b"0" * ENDLESS),
    ],
    "a trailer after the end mark": [
        Writes(BEGIN.data + chunk(COMPLETE_CONTENT) + b"0\r\n"),
        trickled(b"Digest: " + b"x" * ENDLESS),
    ],
    "the rest of a chunk after the end mark": [
        Writes(BEGIN.data + b"ffff\r\n" + EVENT + COMPLETE_CONTENT),
        EVENTS,
    ],
}


class Case(NamedTuple):
    """What an engine sends, and whether the first event of its stream comes before what never ends."""

    form: Form
    has_begun: bool


CASES = (
    {f"{name}, after an event": Case([BEGIN, *form], True) for name, form in (CLAIMS | FRAMING).items()}
    | {f"{name}, before any event": Case([HEAD, *form], False) for name, form in (CLAIMS | FRAMING).items()}
    | {name: Case(form, True) for name, form in SEVERAL_EVENTS.items()}
    | {"half the line end after a chunk, before any event": Case([HEAD, Writes(chunk(EVENT)[:-1])], False)}
    | {
        f"a length of {length}": Case([Writes(with_length(length) + EVENT, 0.0), EVENTS], False)
        for length in (10**9, 3 * 2**30, 2**63 - 1, 2**64)
    }
)
LONG_CONTENT = EVENT * 40_000
SOUND: dict[str, list[Writes]] = {
    "a chunk of 3 MB": [Writes(STREAM_HEAD + chunk(LONG_CONTENT + COMPLETE_CONTENT) + LAST_CHUNK)],
    "a chunk of 3 MB, slowly": [
        Writes(STREAM_HEAD),
        Writes(chunk(LONG_CONTENT + COMPLETE_CONTENT), 0.2, 100_000),
        Writes(LAST_CHUNK),
    ],
    "a length of 3 MB": [
        Writes(with_length(len(LONG_CONTENT + COMPLETE_CONTENT)) + LONG_CONTENT + COMPLETE_CONTENT)
    ],
    "a size with zeros in front": [
        Writes(STREAM_HEAD + b"0" * 18 + chunk(EVENT) + chunk(COMPLETE_CONTENT) + LAST_CHUNK)
    ],
    "an extension of 1 KB": [
        Writes(STREAM_HEAD + b"%x;%s\r\n%s\r\n" % (len(EVENT), b"x" * 1000, EVENT)),
        Writes(chunk(COMPLETE_CONTENT) + LAST_CHUNK),
    ],
    "a trailer that looks like a size": [
        Writes(STREAM_HEAD + chunk(EVENT + COMPLETE_CONTENT) + b"0\r\n"),
        Writes(b"Feedbeeff00d: x\r\nDigest: x\r\n\r\n", 0.1, 3),
    ],
    "sizes in pieces": [
        Writes(STREAM_HEAD),
        Writes(in_chunks(EVENT, COMPLETE_CONTENT) + LAST_CHUNK, 0.05, 3),
    ],
}
NAMES = [*CASES, *(f"{name}, {HTTP_1_0}" for name in CASES), *SOUND]


def form_of(name: str) -> Form:
    """Return what the engine sends in the case of this name."""
    return SOUND[name] if name in SOUND else CASES[name.removesuffix(f", {HTTP_1_0}")].form


def respond(connection: PeerConnection, request: ReceivedRequest) -> None:
    """Respond in the form that the id of the request states, by the position of its name."""
    write_form(connection, form_of(NAMES[int(request.sequence_id[1:].partition("-")[0])]))


def play(node: RelayProcess, name: str) -> Stream:
    """Receive the stream of a case."""
    suffix = f"-{HTTP_1_0}" if name.endswith(HTTP_1_0) else ""
    return receive(node, f"f{NAMES.index(name)}{suffix}", remaining_ms=REMAINING_MS)


class Played(NamedTuple):
    """The streams of all cases by name, and how often each request id came to an engine."""

    streams: dict[str, Stream]
    attempts: Counter[str]


@pytest.fixture(name="played", scope="module")
def played_cases(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Played]:
    """Yield the results of all cases, which are played at the same time."""
    rig = SocketRig(tmp_path_factory.mktemp("endless"))
    nodes = [rig.start_writers(ENGINES, respond), *(rig.start_relay() for _ in range(NODES - 1))]
    for node in nodes:
        node.wait_for_log(LogEvent.READY)
    streams = in_parallel(lambda name: play(nodes[NAMES.index(name) % NODES], name), NAMES, len(NAMES))
    attempts = Counter(each for engine in rig.engines.values() for each in engine.sequence_ids())
    yield Played(streams, attempts)
    rig.close()


def fault_of(case: Case, stream: Stream) -> str:
    """Return what is wrong with a stream of which something never ends; empty if nothing is."""
    if not stream.data:
        return "gets no answer"
    if stream.data.split(b" ")[1] in REJECTIONS:
        return "was rejected"
    if stream.is_complete:
        return "looks complete"
    if stream.duration_s >= MAX_WAIT_S:
        return f"is kept for {stream.duration_s:.1f} s"
    if not case.has_begun and stream.answered_s > REMAINING_MS / 1e3 + MAX_LATE_S:
        return f"is answered after {stream.answered_s:.1f} s"
    return ""


def test_nothing_that_an_engine_claims_or_begins_and_never_ends_keeps_a_client_waiting(
    played: Played,
) -> None:
    faults = [
        f"{name}: {fault}"
        for name, stream in played.streams.items()
        if name not in SOUND and (fault := fault_of(CASES[name.removesuffix(f", {HTTP_1_0}")], stream))
    ]
    assert faults == [], "\n".join(faults)


@pytest.mark.parametrize("name", SOUND)
def test_a_large_or_slowly_framed_answer_is_passed_on_byte_for_byte(played: Played, name: str) -> None:
    content = (LONG_CONTENT if "3 MB" in name else EVENT) + COMPLETE_CONTENT
    assert stream_of(played.streams[name].data) == content + b"<end>"


def test_a_once_only_request_whose_answer_never_ends_runs_once(played: Played) -> None:
    assert set(played.attempts.values()) == {1}
    assert len(played.attempts) == len(NAMES)
