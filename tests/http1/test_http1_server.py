"""The HTTP/1.1 server of a relay node: malformed requests, pipelining, read-ahead, connection limits."""

import pytest
from relaymessages import COMPLETE_STREAM, chat_request, chunk
from relayrig import RawClient, RawClientFactory, RelayRig, never_respond

from myrtlehub.http1.bounds import MAX_INCOMPLETE_BYTES, STALLED_WRITE_TIMEOUT_S


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (chat_request(traffic="none"), 400),
        (chat_request().replace(b"X-Txn: a1\r\n", b""), 400),
        (chat_request(headers=b"X-Txn: a2\r\n"), 400),
        (chat_request("a%2F1"), 400),
        (chat_request().replace(b"X-Remaining-Ms: 4000", b"X-Remaining-Ms: soon"), 400),
        (chat_request().replace(b"X-Remaining-Ms: 4000", b"X-Remaining-Ms: -5"), 400),
        (chat_request().replace(b"X-Remaining-Ms: 4000", b"X-Remaining-Ms: 1e3"), 400),
        (chat_request().replace(b"prompt_len=100", b"prompt_len=many"), 400),
        (chat_request().replace(b"X-Org: acme", b"X-Org: nobody"), 400),
        (chat_request(body=b"not json"), 400),
        (chat_request(body=b'{"model":"chat"}'), 400),
        (chat_request().replace(b"POST", b"GET", 1), 405),
        (chat_request().replace(b"/v1/chat", b"/v2/chat", 1), 404),
        (
            chat_request().replace(
                b"Content-Length: 30", b"Content-Length: 30\r\nTransfer-Encoding: chunked"
            ),
            400,
        ),
        (chat_request().replace(b"Content-Length: 30", b"Content-Length: 30\r\nContent-Length: 31"), 400),
        (chat_request().replace(b"Content-Length: 30", b"Content-Length: -1"), 400),
        (chat_request().replace(b"Content-Length: 30", b"Content-Length: 60000000"), 413),
        (chat_request().replace(b"Content-Length: 30", b"Content-Length: 99999999999999999999"), 413),
        (chat_request(headers=b"X-A: " + b"y" * 30000 + b"\r\n"), 431),
        (b"\x16\x03\x01 what is this\r\n\r\n", 400),
    ],
)
def test_a_malformed_request_is_rejected_closes_the_connection_and_is_never_forwarded(
    data: bytes, status: int
) -> None:
    rig = RelayRig("w1")
    client = rig.client()
    client.send(data)
    rig.run(0.1)
    assert client.statuses == [status] and client.lost
    assert not rig.engines["w1"].requests and not rig.node.executor.in_flight


def test_a_request_after_one_with_an_ambiguous_length_is_not_read() -> None:
    rig = RelayRig("w1")
    client = rig.client()
    client.send(
        chat_request().replace(b"Content-Length: 30", b"Content-Length: 5\r\nTransfer-Encoding: chunked")
        + b"0\r\n\r\n"
        + chat_request("hidden")
    )
    rig.run(0.5)
    assert client.statuses == [400] and not rig.engines["w1"].requests


def test_a_chunked_body_is_forwarded_with_its_length_or_rejected_if_too_large() -> None:
    rig = RelayRig("w1")
    body = b'{"model":"chat","messages":[]}'
    head = chat_request().partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    client = rig.client()
    client.send(head + chunk(body[:7]) + chunk(body[7:]) + b"0\r\n\r\n")
    rig.run(0.1)
    assert client.statuses == [200] and rig.engines["w1"].requests[0].body == body
    client = rig.client()
    client.send(head + chunk(b"x" * 200_000))
    client.send(chunk(b"x" * 200_000))
    rig.run(0.1)
    assert client.statuses == [413] and client.lost


@pytest.mark.parametrize("headers", [b"", b"X-A: y\r\n"], ids=["", "one more line"])
@pytest.mark.parametrize("packet_bytes", [1, 3, 5, 15, 10_000])
def test_content_of_hexadecimal_digits_is_not_read_as_the_size_of_a_chunk(
    packet_bytes: int, headers: bytes
) -> None:
    rig = RelayRig("w1")
    body = b'{"model":"chat","messages":[],"user":"%s"}' % (b"f" * 1000)
    head = (
        chat_request(headers=headers).partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    )
    chunks = [chunk(body[start : start + 10]) for start in range(0, len(body), 10)]
    data = head + b"".join(chunks) + b"0\r\n\r\n"
    client = rig.client()
    for start in range(0, len(data), packet_bytes):
        client.send(data[start : start + packet_bytes])
        rig.run(0.0)
    rig.run(0.1)
    assert client.statuses == [200] and rig.engines["w1"].requests[0].body == body


@pytest.mark.parametrize("data", [b"", b"POST /v1/chat", chat_request()[:-5]])
def test_silent_connections_and_incomplete_requests_are_closed_within_3_s(data: bytes) -> None:
    rig = RelayRig("w1")
    client = rig.client()
    if data:
        client.send(data)
    rig.run(2.5)
    assert client.lost and client.statuses == ([408] if data else [])


def test_a_disconnect_within_a_request_leaves_no_state() -> None:
    rig = RelayRig("w1")
    client = rig.client()
    client.send(chat_request()[:-5])
    client.transport.loseConnection()
    rig.run(0.1)
    assert not rig.node.listener.connections and not rig.node.executor.in_flight


def test_pipelined_requests_are_answered_in_order() -> None:
    rig = RelayRig("w1")
    client = rig.client()
    client.send(chat_request("a1") + chat_request("a2") + b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    rig.run(0.3)
    assert client.statuses == [200, 200, 200]
    assert [request.headers[b"x-txn"] for request in rig.engines["w1"].requests] == [b"a1", b"a2"]


def test_read_ahead_of_all_connections_is_limited_and_freed() -> None:
    rig = RelayRig("w1", descriptors=400)
    rig.engines["w1"].script = never_respond
    clients = [rig.request(f"a{i}") for i in range(60)]
    for client in clients:
        client.send(chat_request("b", body=b'{"messages":["' + b"x" * 200_000 + b'"]}'))
        rig.run(0.01)
    assert 7_500_000 < rig.node.listener.memory.incomplete_bytes <= MAX_INCOMPLETE_BYTES
    for connection in rig.engines["w1"].connections:
        connection.send(COMPLETE_STREAM) if not connection.lost else None
    rig.run(0.2)
    statuses = [client.statuses for client in clients]
    assert [200, 413] in statuses and all(first == 200 for first, *_ in statuses)
    for client in clients:
        client.transport.loseConnection()
    rig.run(0.5)
    assert rig.node.listener.memory.incomplete_bytes == 0 and not rig.node.listener.connections


def test_requests_of_a_client_that_reads_no_response_are_not_answered_without_end() -> None:
    """Guards against responses that add up in memory for a client that sends requests and reads nothing."""
    rig = RelayRig("w1")
    client = rig.client()
    node_pipe = client.transport.other
    node_pipe.stalled = True
    client.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n" * 1000)
    rig.run(3.0)
    assert 0 < b"".join(node_pipe.outgoing).count(b"HTTP/1.1 200") <= 2 and node_pipe.paused
    node_pipe.stalled = False
    node_pipe.producer.resumeProducing()
    rig.run(0.5)
    assert client.statuses == [200] * 1000 and not client.lost


def test_a_client_that_sends_requests_and_reads_no_response_is_disconnected() -> None:
    rig = RelayRig("w1")
    client = rig.client()
    client.transport.other.stalled = True
    client.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n" * 1000)
    rig.run(STALLED_WRITE_TIMEOUT_S + 1.0)
    assert client.lost and not rig.node.listener.connections


def test_many_silent_connections_leave_capacity_for_a_request() -> None:
    rig = RelayRig("w1", descriptors=100)
    silent_clients = [rig.client() for _ in range(90)]
    rig.run(0.3)
    assert len(rig.node.listener.connections) <= rig.node.listener.max_connections
    assert rig.request("a1").statuses == [200]
    rig.run(3.0)
    assert all(client.lost for client in silent_clients)


def test_a_request_during_a_burst_of_silent_connections_is_read() -> None:
    """A new connection must not be evicted before the request already sent on it was read."""
    rig = RelayRig("w1", descriptors=100)
    rig.engines["w1"].script = never_respond
    clients: list[RawClient] = []
    for i in range(400):
        if i % 50 == 0:
            rig.run(0.03)
        rig.net.dialer("node")(RawClientFactory()).addCallback(clients.append)
        if i % 50 == 25:
            rig.clock.advance(0)
            clients[-1].send(chat_request(f"a{i}"))
    rig.run(0.2)
    assert len(rig.node.front.open_sinks) == 8
    assert len(rig.node.listener.connections) <= rig.node.listener.max_connections


def test_a_connection_with_an_open_request_is_never_evicted() -> None:
    rig = RelayRig("w1", descriptors=140)
    rig.engines["w1"].script = never_respond
    open_clients = [rig.request(f"a{i}") for i in range(20)]
    for _ in range(60):
        rig.client()
    rig.run(1.0)
    assert not any(client.lost for client in open_clients)


def test_accepting_stops_while_all_connections_have_open_requests() -> None:
    """Further connections would exceed the limit, or be evicted before a request sent on them was read."""
    rig = RelayRig("w1", descriptors=100)
    rig.engines["w1"].script = never_respond
    listener = rig.node.listener
    full_states: list[bool] = []
    listener.on_full = full_states.append
    limit = listener.max_connections + listener.burst
    clients = [rig.request(f"a{number}", remaining_ms=9000) for number in range(limit)]
    assert not full_states
    late = rig.request("late", remaining_ms=9000)
    rig.run(0.5)
    assert full_states == [True] and not late.lost and len(rig.node.front.open_sinks) == limit + 1
    clients[0].transport.loseConnection()
    clients[1].transport.loseConnection()
    rig.run(0.2)
    assert full_states == [True, False]


@pytest.mark.parametrize("packet_bytes", [1, 2, 3, 7, 10_000])
@pytest.mark.parametrize("chunks", [b"", chunk(b"f"), chunk(b"f" * 20) * 40], ids=["first", "second", "41st"])
@pytest.mark.parametrize("size_line", [b"c0000000\r\n", b"c0000000", b"40001;name="])
def test_a_chunk_that_claims_more_than_a_body_may_have_is_rejected_at_its_size_line(
    size_line: bytes, chunks: bytes, packet_bytes: int
) -> None:
    rig = RelayRig()
    client = rig.client()
    head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + chunks + size_line
    for start in range(0, len(data), packet_bytes):
        client.send(data[start : start + packet_bytes])
        rig.run(0.0)
    rig.run(0.02)
    assert client.statuses == [413]
