"""Engine streams through a relay node: malformed, endless, silent and paused ones."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relaymessages import DONE, EVENT, LAST_CHUNK, STREAM_HEAD, USAGE, chunk, response, stream_of
from relayrig import RelayRig

from myrtlehub.log_events import LogEvent
from myrtlehub.relay.engines.event_stream import MAX_EVENT_BYTES, EventStreamParser
from myrtlehub.relay.errors import EventStreamError
from myrtlehub.routing import contract

COMMENT = b": accepted\n\n"


@pytest.mark.parametrize(
    "malformed",
    [b"zz\r\n", chunk(b"\x00\xffnoise"), b"ffff\r\n" + EVENT + b"\r\n" + chunk(EVENT), b"3\r\n" + EVENT],
)
def test_a_malformed_stream_ends_the_clients_connection_without_the_last_chunk(malformed: bytes) -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        STREAM_HEAD + chunk(EVENT) + malformed
    )
    client = rig.request("a1")
    rig.run(4.0)
    assert client.lost and not stream_of(client.received).endswith(b"<end>")
    assert stream_of(client.received).startswith(EVENT) and client.statuses == [200]
    assert len(rig.engines["w1"].chat_requests()) == 1  # a stream that has started is not retried


def test_an_endless_chunk_ends_the_stream_within_5_s() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        STREAM_HEAD + chunk(EVENT) + b"c0000000\r\n"
    )
    client = rig.request("a1")
    connection = rig.engines["w1"].connections[0]
    for _ in range(9):
        connection.send(b"data: xxxx")  # completes no event, so it does not count as progress
        rig.run(0.5)
    rig.run(0.45)
    assert client.lost and connection.lost


# Guards against a running engine's stream that is cut off because the engine pauses for less than 5 s.
@pytest.mark.parametrize("pause", [3.0, 4.3, 4.63, 4.85])
@pytest.mark.parametrize(
    "part", [b"", b"data: {", b"data: [DO"], ids=["between", "in an event", "in the end"]
)
def test_a_stream_that_pauses_for_less_than_5_s_is_not_ended(pause: float, part: bytes) -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        STREAM_HEAD + chunk(EVENT) + (chunk(part) if part else b"")
    )
    client = rig.request("a1", traffic="post")
    rig.run(pause - 0.02)  # the request took 0.02 s
    rest = (EVENT + USAGE + DONE) if part != b"data: [DO" else DONE
    rig.engines["w1"].connections[0].send(chunk(rest[len(part) :]) + LAST_CHUNK)
    rig.run(0.1)
    assert stream_of(client.received) == EVENT + rest + b"<end>"


def test_a_first_event_that_stays_incomplete_is_retried_elsewhere() -> None:
    rig = RelayRig("w1 w2")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(b"data: {"))
    rig.engines["w2"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(b"data: {"))
    client = rig.request("a1")
    for engine in rig.engines.values():
        engine.script = rig.default_script
    rig.run(3.0)
    assert client.statuses == [200]


def test_a_stream_with_a_pause_of_seconds_is_not_ended() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(EVENT))
    client = rig.request("a1")
    rig.run(3.0)
    rig.engines["w1"].connections[0].send(chunk(EVENT + USAGE + DONE) + LAST_CHUNK)
    rig.run(0.1)
    assert stream_of(client.received) == EVENT + EVENT + USAGE + DONE + b"<end>"


def test_a_silent_stream_is_ended() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(EVENT))
    client = rig.request("a1")
    rig.run(4.9)  # it must be ended within 5 s of the last event
    assert client.lost and not rig.node.executor.in_flight


def test_a_client_that_reads_nothing_pauses_its_own_writer_stream() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(EVENT))
    client = rig.request("a1")
    node_pipe = client.transport.other
    node_pipe.stalled = True
    engine = rig.engines["w1"].connections[0]
    engine.send(chunk(EVENT))
    rig.run(0.05)
    assert engine.transport.other.paused  # the node has stopped reading the engine's stream
    node_pipe.stalled = False
    node_pipe.producer.resumeProducing()
    engine.send(chunk(USAGE + DONE) + LAST_CHUNK)
    rig.run(0.05)
    assert stream_of(client.received) == EVENT + EVENT + USAGE + DONE + b"<end>"


@given(st.lists(st.integers(1, 40), max_size=30))
def test_events_are_split_the_same_for_any_segmentation(cuts: list[int]) -> None:
    text = EVENT + USAGE + b': X-Pressure: {"x0":0.5}\n\n' + DONE
    events = EventStreamParser()
    parsed = b""
    position = 0
    for cut in [*cuts, len(text)]:
        parsed += events.feed(text[position : position + cut])
        position += cut
    events.end()
    assert parsed == text and events.cached_tokens == 64.0 and events.completeness.has_content_end
    assert events.load == contract.LoadReport(memory_share=0.5)


@pytest.mark.parametrize(
    ("part", "may_go_on"),
    [
        (b"", True),
        (b"da", True),
        (b'data: {"choices":[{"del', True),
        (b'data: {"choices":[]}\r\n\r', True),
        (b"event: x\nid: 1\ndata: [DO", True),
        (b": half a comm", True),
        (b"data: xxxx", False),
        (b'data: {"a":1}data: {"a":1}', False),
        (b'data: {"a":1}\nnope', False),
    ],
)
def test_the_part_of_an_event_shows_whether_it_can_become_a_valid_one(part: bytes, may_go_on: bool) -> None:
    events = EventStreamParser()
    events.feed(EVENT + part)
    assert events.may_go_on() == may_go_on


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_lines_may_end_in_both_ways(line_end: bytes) -> None:
    events = EventStreamParser()
    text = (EVENT + USAGE + DONE).replace(b"\n", line_end)
    parsed = b"".join(events.feed(text[i : i + 1]) for i in range(len(text)))
    assert parsed == text and events.completeness.has_content_end and events.cached_tokens == 64.0


def test_an_oversized_event_and_an_incomplete_last_event_are_errors() -> None:
    events = EventStreamParser()
    with pytest.raises(EventStreamError):
        events.feed(b"data: " + b"x" * MAX_EVENT_BYTES)
    events = EventStreamParser()
    assert events.feed(EVENT + b"data: half") == EVENT
    with pytest.raises(EventStreamError):
        events.end()


def test_the_cost_of_a_part_of_an_event_does_not_grow_with_the_event() -> None:
    """Guards against a copy or a search of the whole event for each of its parts."""

    def cost_of_parts(event_bytes: int) -> float:
        parser = EventStreamParser()
        parser.feed(b"data: " + b"x" * event_bytes)
        started_at = time.process_time()
        for _ in range(1000):
            parser.feed(b"x")
        return time.process_time() - started_at

    small, large = (min(cost_of_parts(size) for _ in range(5)) for size in (10, MAX_EVENT_BYTES - 2000))
    assert large < 10 * small


def test_incomplete_events_of_all_streams_are_limited_and_a_usual_stream_is_complete() -> None:
    """Guards against events that are each below their limit and together take the node over its memory."""
    rig = RelayRig("w1", max_memory_mb=8.0)
    limit = rig.node.memory_limits.incomplete_bytes
    monitor = rig.node.engine_client.stream_monitor
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(EVENT))
    clients = [rig.request(f"a{number}") for number in range(21)]
    usual, *spoilt = rig.engines["w1"].connections
    for connection in spoilt:
        connection.send(chunk(b"data: " + b"x" * 100_000))
        rig.run(0.01)
        assert monitor.incomplete_bytes <= limit
    usual.send(chunk(EVENT + USAGE + DONE) + LAST_CHUNK)
    rig.run(0.1)
    assert stream_of(clients[0].received).endswith(DONE + b"<end>")
    assert sum(client.lost for client in clients) >= 20 - limit // 100_000
    rig.run(5.0)
    assert monitor.incomplete_bytes == 0 and not monitor.streams


def test_comments_before_the_first_event_are_passed_on_with_it() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(COMMENT))
    client = rig.request("a1", remaining_ms=4000)
    rig.run(3.0)
    assert client.statuses == []
    rig.engines["w1"].connections[0].send(chunk(EVENT + USAGE + DONE) + LAST_CHUNK)
    rig.run(0.1)
    assert stream_of(client.received) == COMMENT + EVENT + USAGE + DONE + b"<end>"


def test_the_log_says_why_and_after_what_a_stream_broke() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: (
        connection.send(STREAM_HEAD + chunk(EVENT)),
        rig.clock.callLater(0.01, rig.net.cut, connection.transport, True),
    )
    rig.request("a1")
    rig.run(0.1)
    broken = [logged.fields for logged in rig.logged if logged.event == LogEvent.STREAM_BROKEN]
    assert [fields["reason"] for fields in broken] == ["connection_failed"]
    assert broken[0].items() >= {"sequence_id": "a1", "engine": "w1", "framing": "chunked"}.items()
    assert broken[0].items() >= {"status": 200, "events": 1, "has_end_mark": False}.items()
    assert rig.node.attempt_failure_counts() == {"connection_failed": 1}
    closed = [logged.fields for logged in rig.logged if logged.event == LogEvent.PEER_CONNECTION_CLOSED]
    assert [fields["reason"] for fields in closed if fields["peer"] == "w1"] == ["closed_by_peer"]


def test_the_log_says_why_a_request_was_not_accepted() -> None:
    rig = RelayRig("w1")
    rig.node.begin_shutdown()
    rig.run(1.0)
    assert rig.request("a1").statuses == [503]
    rejected = [logged.fields for logged in rig.logged if logged.event == LogEvent.REQUEST_REJECTED]
    assert [fields["reason"] for fields in rejected] == ["the node shuts down"]


@pytest.mark.parametrize(
    ("data", "fields"),
    [
        (b"1000\r\n" + EVENT, {"announced_bytes": 4096 - len(EVENT), "incomplete_framing_bytes": 0}),
        (b"4d;name=", {"announced_bytes": 77, "incomplete_framing_bytes": 8}),
        (chunk(EVENT[:30]), {"incomplete_event_bytes": 30, "announced_bytes": 0}),
    ],
)
def test_the_log_says_what_a_stream_that_broke_had_begun(data: bytes, fields: dict[str, object]) -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        STREAM_HEAD + chunk(EVENT) + data
    )
    rig.request("a1")
    rig.run(10.0)
    (broken,) = [logged.fields for logged in rig.logged if logged.event == LogEvent.STREAM_BROKEN]
    assert broken.items() >= fields.items()


# Guards against a claim that is believed: a rejection stays one, other responses fail once it is read.
def test_a_rejection_that_claims_gigabytes_is_a_rejection() -> None:
    rig = RelayRig("w1")
    rejection = response(503, rejected=True).replace(b"Content-Length: 0", b"Content-Length: 3000000000")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(rejection)
    client = rig.request("a1", traffic="post", remaining_ms=500)
    rig.run(1.0)
    assert client.statuses == [503]
    assert all(connection.lost for connection in rig.engines["w1"].connections)
    failed = [logged.fields["reason"] for logged in rig.logged if logged.event == LogEvent.ATTEMPT_FAILED]
    assert failed == []


def test_the_log_names_a_claim_that_ended_a_stream() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        STREAM_HEAD + chunk(EVENT) + b"c0000000\r\n" + EVENT
    )
    rig.request("a1")
    (broken,) = [logged.fields for logged in rig.logged if logged.event == LogEvent.STREAM_BROKEN]
    assert broken.items() >= {"reason": "oversized_response", "announced_bytes": 3 << 30}.items()


# Guards against a stream that is kept by what is neither an event nor a comment.
@pytest.mark.parametrize("filler", [b"\n", b"\r\n", b"\n\n", b"\r"])
def test_line_ends_between_events_keep_no_stream_open(filler: bytes) -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(EVENT))
    client = rig.request("a1")
    for _ in range(49):
        rig.engines["w1"].connections[0].send(chunk(filler))
        rig.run(0.1)
    assert client.lost and not stream_of(client.received).endswith(b"<end>")


# Guards against comments without end, of which nothing but their size shows that no event will follow.
def test_comments_without_an_event_are_limited_as_an_event_is() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(EVENT))
    client = rig.request("a1")
    comment = chunk(b":" + b"x" * 1000 + b"\n\n")
    for _ in range(MAX_EVENT_BYTES // 1000 - 1):
        rig.engines["w1"].connections[0].send(comment)
        rig.run(0.02)
    assert not client.lost
    rig.engines["w1"].connections[0].send(comment * 2)
    rig.run(0.02)
    assert client.lost


# Guards against bytes that no event contains, which come within a text of an event that never ends.
@pytest.mark.parametrize(
    ("start", "junk"),
    [(EVENT[:50], b"\xff"), (EVENT[:50], b"\x00"), (EVENT[:50], b"\xe2\x28"), (b": accep", b"\xff")],
)
def test_bytes_that_no_event_contains_keep_no_stream_open(start: bytes, junk: bytes) -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        STREAM_HEAD + chunk(EVENT) + b"ffff\r\n" + start
    )
    client = rig.request("a1")
    for _ in range(49):
        rig.engines["w1"].connections[0].send(junk)
        rig.run(0.1)
    assert client.lost


def test_a_text_that_comes_byte_by_byte_is_passed_on_whatever_its_characters() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(EVENT))
    event = EVENT.replace(b"ab", "é€😀\\n\\u0000".encode())
    client = rig.request("a1")
    for position in range(len(event)):
        rig.engines["w1"].connections[0].send(chunk(event[position : position + 1]))
        rig.run(0.2)
    rig.engines["w1"].connections[0].send(chunk(USAGE + DONE) + LAST_CHUNK)
    rig.run(0.1)
    assert stream_of(client.received) == EVENT + event + USAGE + DONE + b"<end>"
