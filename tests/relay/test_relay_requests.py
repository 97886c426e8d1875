"""Requests through a relay node: forwarding, outcomes of attempts, retries."""

import h11
import pytest
from memnet import Pipe
from relaymessages import (
    COMPLETE_STREAM,
    DONE,
    EVENT,
    LAST_CHUNK,
    LONG_PROMPT,
    STREAM_HEAD,
    USAGE,
    chat_request,
    chunk,
    response,
    stream_of,
)
from relayrig import PeerConnection, RelayRig, never_respond

from myrtlehub.relay.engines.response_outcomes import (
    ATTEMPT_END_BY_HEAD,
    attempt_end_of_failure,
    attempt_end_of_response,
)
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.routing import contract


def test_a_short_prompt_is_sent_to_a_writer_and_its_stream_forwarded_unchanged() -> None:
    rig = RelayRig()
    client = rig.request("a1", 100)
    assert client.statuses == [200]
    assert stream_of(client.received) == EVENT + EVENT + USAGE + DONE + b"<end>"
    request = rig.engines["w1"].requests[0]
    assert (request.method, request.target) == (b"POST", b"/v1/chat/completions?v=1")
    assert request.body == b'{"model":"chat","messages":[]}'
    assert request.headers[b"x-txn"] == b"a1"
    assert 3900 <= int(request.headers[b"x-remaining-ms"]) <= 4000
    assert not rig.engines["r1"].requests and not client.lost and not rig.node.executor.in_flight


def test_all_but_hop_by_hop_headers_are_forwarded_to_engines() -> None:
    """At site ribeira-alta, the Idempotency-Key, by which engines recognise a retry, was not forwarded."""
    rig = RelayRig()
    rig.request(
        "a1",
        LONG_PROMPT,
        headers=b"Idempotency-Key: k7\r\nAuthorization: Bearer t\r\n"
        b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n"
        b"TE: trailers\r\nX-Note: one\r\nX-Note: two\r\n",
    )
    for engine in ("r1", "w1"):
        request = rig.engines[engine].requests[0]
        received = request.connection.last_headers
        assert request.headers[b"idempotency-key"] == b"k7"
        assert request.headers[b"authorization"] == b"Bearer t"
        assert not {b"connection", b"x-hop", b"keep-alive", b"te"} & set(request.headers)
        assert [value for name, value in received if name == b"x-note"] == [b"one", b"two"]
        assert [name for name, _ in received].count(b"x-remaining-ms") == 1


def test_a_long_prompt_is_read_first_and_the_same_request_sent_to_the_writer() -> None:
    rig = RelayRig()
    client = rig.request("a1", LONG_PROMPT)
    assert stream_of(client.received).endswith(b"<end>")
    read, written = rig.engines["r1"].chat_requests(), rig.engines["w1"].chat_requests()
    assert len(read) == len(written) == 1
    assert (read[0].target, read[0].body) == (written[0].target, written[0].body)
    assert rig.engines["r1"].released_paths() == []  # the writer fetched the read state


def test_load_reports_in_response_heads_and_stream_ends_reach_the_router() -> None:
    rig = RelayRig()
    reports = []
    rig.node.executor.router.estimates.record_load_report = lambda engine, load: reports.append(load)
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        STREAM_HEAD
        + chunk(EVENT + USAGE)
        + chunk(DONE + b': X-Pressure: {"x0":0.25,"x1":1.5}\n\n')
        + LAST_CHUNK
    )
    rig.request("a1", LONG_PROMPT)
    assert [load.memory_share for load in reports] == [0.5, 0.25]
    assert [load.unread for load in reports] == [2000.0, 1500.0]
    for unreadable in (b"{not json", b'{"x0":"much"}', b"[]"):
        assert parse_load_report(unreadable) is None


def test_responses_have_the_listed_outcome_and_all_others_are_errors() -> None:
    for head, end in ATTEMPT_END_BY_HEAD.items():
        assert attempt_end_of_response(*head) == end
    for is_read in (True, False):
        for status in (201, 204, 301, 400, 404, 410, 429, 500, 502, 503, 504):
            # Without X-Turned-Away, the request may have been executed.
            assert attempt_end_of_response(is_read, status, False).outcome == contract.Outcome.ERROR
        assert attempt_end_of_response(is_read, 500, True).outcome == contract.Outcome.ERROR
    assert attempt_end_of_response(True, 200, False).outcome == contract.Outcome.ERROR
    assert attempt_end_of_response(False, 202, False).outcome == contract.Outcome.ERROR
    assert attempt_end_of_failure(False).outcome == contract.Outcome.UNREACHED
    assert attempt_end_of_failure(True).outcome == contract.Outcome.RESET


@pytest.mark.parametrize(
    ("traffic", "first_response", "status"),
    [
        ("ask", response(500), 200),  # idempotent: retried
        ("post", response(500), 502),  # may have run: aborted
        ("post", response(503, rejected=True), 200),  # did not run: retried
        ("post", response(503), 502),  # may have run, without X-Turned-Away
        ("post", b"\x00\x01noise\r\n\r\n", 502),
        ("ask", b"\x00\x01noise\r\n\r\n", 200),
        ("post", b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20000, 502),  # a head that does not end
        ("post", STREAM_HEAD + b"zz\r\n" + EVENT, 502),  # a malformed chunk size
        ("post", STREAM_HEAD + chunk(b"\x8a\x93 noise"), 502),
        ("post", STREAM_HEAD + LAST_CHUNK, 502),  # a stream without an event
    ],
)
def test_the_first_response_of_a_writer_decides_whether_a_sequence_is_retried(
    traffic: str, first_response: bytes, status: int
) -> None:
    rig = RelayRig("w1 w2")

    def attempts() -> int:
        return sum(len(peer.chat_requests()) for peer in rig.engines.values())

    def script(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        connection.send(first_response if attempts() == 1 else COMPLETE_STREAM)

    for peer in rig.engines.values():
        peer.script = script
    client = rig.request("a1", traffic=traffic)
    assert client.statuses == [status]
    assert attempts() == (2 if status == 200 else 1)


def test_refused_connections_end_in_a_rejection() -> None:
    rig = RelayRig("w1 w2")
    rig.net.kill("w1:1")
    rig.net.kill("w2:1")
    client = rig.request("a1", traffic="post")
    rig.run(5.0)
    assert client.statuses == [503]  # rejected, as nothing has run


def test_a_writer_without_the_read_state_is_distinguished_from_a_full_one() -> None:
    rig = RelayRig("r1 m1")
    rig.engines["m1"].script = lambda connection, head, body: connection.send(
        response(410, rejected=True) if len(rig.engines["m1"].chat_requests()) == 1 else COMPLETE_STREAM
    )
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.2)
    assert client.statuses == [200]
    assert len(rig.engines["r1"].chat_requests()) + len(rig.engines["m1"].chat_requests()) >= 3


def test_the_id_of_an_open_request_is_rejected_and_the_open_one_continues() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    first = rig.request("a1")
    second = rig.request("a1")
    assert second.statuses == [409] and second.lost and not first.lost
    rig.engines["w1"].connections[0].send(COMPLETE_STREAM)
    rig.run(0.1)
    assert first.statuses == [200]


def test_closed_connections_and_answered_sequences_leave_no_objects_in_the_node() -> None:
    rig = RelayRig("r1 w1")
    for i in range(300):
        rig.request(f"a{i}", LONG_PROMPT if i % 3 == 0 else 100).transport.loseConnection()
    rig.run(1.0)
    node = rig.node
    assert not node.executor.in_flight and not node.front.open_sinks and not node.listener.connections
    assert not node.engine_client.stream_monitor.streams and not node.executor.router.sequences
    assert node.engine_connections.attempts.count == len(node.engine_connections.attempts.idle)


def _leads_to_a_writer(pipe: Pipe) -> bool:
    return pipe.host == "client" and pipe.other.host in ("w1:1", "w2:1")


def test_an_at_most_once_request_whose_last_byte_never_left_is_retried_elsewhere() -> None:
    """Uses the in-memory network, because the buffer of a real socket accepts 256 KiB immediately."""
    rig = RelayRig("w1 w2")
    client = rig.client()
    client.send(chat_request("a1", traffic="post"))
    pipes_to_writers: list[Pipe] = []
    while not pipes_to_writers:
        rig.run(0.0)
        pipes_to_writers = [pipe for pipe in rig.net.pipes if _leads_to_a_writer(pipe)]
        for pipe in pipes_to_writers:
            pipe.stalled = True  # no byte is sent
    rig.run(0.1)
    rig.net.cut(pipes_to_writers[0])
    rig.run(0.3)
    assert client.statuses == [200]
    assert len(rig.engines["w1"].chat_requests() + rig.engines["w2"].chat_requests()) == 1


def test_a_lack_of_local_descriptors_is_not_attributed_to_engines() -> None:
    rig = RelayRig("w1 w2")
    rig.node.engine_connections.attempts.max_connections = 0
    client = rig.request("a1", traffic="post")
    assert not client.statuses  # each of the five attempts waits for a connection
    rig.run(2.0)
    assert client.statuses == [503]  # rejected, as nothing has run
    estimates = rig.node.executor.router.estimates
    assert all(not estimates.is_outlier(engine) for engine in estimates.engines[:2])
    assert not any(engine.failure_rate.value for engine in estimates.engines)


def test_a_retried_at_most_once_read_uses_a_new_connection() -> None:
    rig = RelayRig("r1 r2 w1")
    for i in range(4):
        rig.request(f"a{i}", LONG_PROMPT + i)
    rig.run(0.3)
    for name in ("r1", "r2"):
        rig.engines[name].script = never_respond
    rig.request("p1", LONG_PROMPT, traffic="post")
    readers = (rig.engines["r1"], rig.engines["r2"])
    first_reads = [request for reader in readers for request in reader.chat_requests()]
    rig.run(3.0)  # the read times out and is retried
    all_reads = [request for reader in readers for request in reader.chat_requests()]
    assert len(first_reads) == 4 + 1 and len(all_reads) == 4 + 2
    (retry,) = [request for request in all_reads if request not in first_reads]
    before = [request for request in retry.connection.peer.requests if request is not retry]
    assert retry.connection not in [request.connection for request in before]


def test_engines_are_not_asked_for_a_coding_in_which_the_relay_cannot_read_events() -> None:
    rig = RelayRig("w1")
    client = rig.request("a1", headers=b"Accept-Encoding: gzip, br\r\nAccept: text/event-stream\r\n")
    assert client.statuses == [200]
    sent = rig.engines["w1"].chat_requests()[0].headers
    assert b"accept-encoding" not in sent and sent[b"accept"] == b"text/event-stream"
