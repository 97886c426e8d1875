"""The HTTP/1.1 client of a relay node: connection reuse, surplus data, cancelled connection attempts."""

import socket

import pytest
from relaymessages import (
    COMPLETE_STREAM,
    DONE,
    EVENT,
    LAST_CHUNK,
    STREAM_HEAD,
    USAGE,
    chat_request,
    chunk,
    stream_of,
)
from relayrig import RelayRig

from myrtlehub.http1.tcp_transport import abortive_close

PACKET_INTERVAL_S = 0.002  # so that each packet is received by itself


def test_connections_are_reused_for_the_next_request() -> None:
    rig = RelayRig()
    client = rig.request("a1")
    rig.run(0.2)
    rig.request("a2", client=client)
    assert client.statuses == [200, 200]
    assert len(rig.engines["w1"].connections) == 1 and rig.node.engine_connections.attempts.reuse_count == 1


def test_surplus_data_after_a_response_is_never_used_for_another_request() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        b"HTTP/1.1 103 Early Hints\r\n\r\n"
        + COMPLETE_STREAM
        + (STREAM_HEAD + chunk(b"data: other\n\n") + LAST_CHUNK)
    )
    client = rig.request("a1")
    assert stream_of(client.received).endswith(b"<end>") and b"other" not in client.received
    assert rig.engines["w1"].connections[0].lost
    rig.run(0.2)
    client = rig.request("a2")
    assert client.statuses == [200] and len(rig.engines["w1"].connections) == 2


@pytest.mark.parametrize("headers", [b"", b"X-A: y\r\n"], ids=["", "one more line"])
@pytest.mark.parametrize("packet_bytes", [1, 3, 5, 15, 10_000])
def test_content_of_hexadecimal_digits_is_not_read_as_the_size_of_a_chunk(
    packet_bytes: int, headers: bytes
) -> None:
    content = EVENT.replace(b"ab", b"f" * 400) + USAGE + DONE
    chunks = [chunk(content[start : start + 10]) for start in range(0, len(content), 10)]
    data = STREAM_HEAD[:-2] + headers + b"\r\n" + b"".join(chunks) + LAST_CHUNK
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: [
        rig.clock.callLater(PACKET_INTERVAL_S * number, connection.send, data[start : start + packet_bytes])
        for number, start in enumerate(range(0, len(data), packet_bytes))
    ]
    client = rig.request("a1")
    rig.run(PACKET_INTERVAL_S * len(data))
    assert stream_of(client.received) == content + b"<end>"


def test_late_surplus_data_closes_the_idle_connection() -> None:
    rig = RelayRig("w1")
    rig.request("a1")
    rig.engines["w1"].connections[0].send(COMPLETE_STREAM)
    rig.run(0.1)
    assert rig.engines["w1"].connections[0].lost


def test_too_many_informational_responses_fail_the_request() -> None:
    rig = RelayRig("w1")
    early = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50
    rig.engines["w1"].script = lambda connection, head, body: connection.send(early + COMPLETE_STREAM)
    assert rig.request("a1", traffic="post").statuses == [502]


def test_a_connection_established_while_it_is_cancelled_is_closed_with_nothing_written() -> None:
    """The client disconnects within three reactor turns after the connection attempt to the engine began."""
    for turns in (0, 1, 2, 3):
        rig = RelayRig("w1")
        client = rig.client()
        client.transport.other.protocol.dataReceived(
            chat_request("a1")
        )  # the connection attempt is in progress
        for _ in range(turns):
            rig.clock.advance(0)
        client.transport.other.protocol.connectionLost(None)
        rig.run(0.2)
        assert not rig.engines["w1"].chat_requests() and not rig.node.executor.in_flight, turns
        assert rig.node.engine_connections.attempts.count == len(rig.node.engine_connections.attempts.idle)


def test_reuse_is_suspended_after_a_reused_connection_failed() -> None:
    rig = RelayRig("w1 w2")
    for i in range(4):
        rig.request(f"a{i}")
    rig.run(0.2)
    idle = [
        connection for peer in rig.engines.values() for connection in peer.connections if not connection.lost
    ]
    assert idle
    for connection in idle:
        connection.dataReceived = lambda data, connection=connection: connection.transport.abortConnection()
    opened, reused = (
        rig.node.engine_connections.attempts.opened_count,
        rig.node.engine_connections.attempts.reuse_count,
    )
    assert rig.request("b1").statuses == [200]  # the reused connection fails; the retry uses a new one
    for i in range(3):
        rig.run(0.2)
        assert rig.request(f"c{i}").statuses == [200]
    assert (
        rig.node.engine_connections.attempts.reuse_count == reused + 1
        and rig.node.engine_connections.attempts.opened_count >= opened + 4
    )
    rig.run(31.0)
    rig.request("d1")
    rig.run(0.2)
    rig.request("d2")
    assert rig.node.engine_connections.attempts.reuse_count > reused + 1


@pytest.mark.parametrize("body_start", [b"", b"x", b"\r\n1\r\nx"], ids=["none", "part", "endless"])
def test_a_rejection_whose_body_does_not_end_frees_its_connection(body_start: bytes) -> None:
    """Guards against engines that take all connections of the node with responses that do not end."""
    rig = RelayRig("w1")
    length = b"Transfer-Encoding: chunked\r\n" if b"1" in body_start else b"Content-Length: 9\r\n"
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\n" + length + b"\r\n" + body_start.removeprefix(b"\r\n")
    )
    for number in range(5):
        rig.request(f"a{number}", remaining_ms=300)
    connections = rig.engines["w1"].connections
    for _ in range(10):
        for connection in connections:
            connection.send(b"\r\n1\r\nx") if b"1" in body_start and not connection.lost else None
        rig.run(0.1)
    rig.run(1.0)
    assert connections and all(connection.lost for connection in connections)
    assert rig.node.engine_connections.attempts.count == 0


def test_an_at_most_once_request_uses_a_new_connection() -> None:
    rig = RelayRig("w1")
    for i in range(3):
        rig.request(f"a{i}", traffic="post")
        rig.run(0.2)
    assert rig.node.engine_connections.attempts.reuse_count == 0 and len(rig.engines["w1"].connections) == 3


def test_a_peer_sees_an_abortive_close_before_data_written_later() -> None:
    """With real sockets, the peer reads the end of the connection while the local socket is still open."""

    class Transport:
        def __init__(self, near: socket.socket) -> None:
            self.near = near
            self.aborted = False

        def getHandle(self) -> socket.socket:  # noqa: N802
            return self.near

        def abortConnection(self) -> None:  # noqa: N802
            self.aborted = True  # the reactor closes the socket one turn later

    near, far = socket.socketpair()
    transport = Transport(near)
    abortive_close(transport)
    far.setblocking(False)
    assert far.recv(1) == b"" and transport.aborted
    near.close()
    abortive_close(transport)  # already closed: raises nothing
    far.close()
