"""Races in the relay on real sockets; each test forces two events to overlap."""

import time

import pytest
from relaymessages import LAST_CHUNK, LONG_PROMPT, STREAM_HEAD, chat_request, chunk
from socketpeers import TIMEOUT_S, never_respond
from socketrig import Client, RelayProcess, SocketRig, let_time_pass, wait_for_file

from myrtlehub.log_events import LogEvent

DEPARTED_CLIENTS = 8


def test_a_disconnect_behind_many_buffered_bytes_is_noticed(rig: SocketRig) -> None:
    """The client's FIN arrives behind bytes that are buffered while its request is open."""
    node = rig.start("w1 w2")
    rig.discovery.change_health(w1="leaving", w2="leaving")
    node.wait_for_log(LogEvent.ENGINE_STATE_CHANGED, engine="w2", engine_state="draining")
    Client(node.address).send(chat_request("a1", remaining_ms=12000) + b"x" * 400_000).close()
    node.wait_for_log(LogEvent.SEQUENCE_ANSWERED, sequence_id="a1", answer="left")
    rig.discovery.change_health(w1="active", w2="active")
    node.wait_for_log(LogEvent.ENGINE_STATE_CHANGED, engine="w2", engine_state="serving")
    assert Client(node.address).send(chat_request("a2")).read_status() == 200
    assert rig.engines["w1"].sequence_ids() + rig.engines["w2"].sequence_ids() == ["a2"]


def test_pipelined_requests_are_answered_in_turn_and_a_flood_behind_them_with_413(rig: SocketRig) -> None:
    node = rig.start("w1")
    client = Client(node.address)
    node.suspend()
    client.send(
        chat_request("a1") + chat_request("a2") + b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 200000\r\n\r\n" + b"x" * 60_000
    )
    node.resume()
    assert client.read_status() == 200
    client.read_until(LAST_CHUNK)
    client.send(b"x" * 140_000 + b"y" * 600_000)
    assert client.read_status() == 200
    client.read_until(LAST_CHUNK)
    assert 400 <= client.read_status() <= 413
    assert client.read_rest() == b""
    assert rig.engines["w1"].sequence_ids() == ["a1", "a2"]


def send_and_leave(node: RelayProcess, requests: list[bytes]) -> None:
    """Let clients send the requests b0, b1 and so on to a suspended node and leave; resume the node."""
    departed = [Client(node.address).send(request) for request in requests]
    for client in departed:
        client.close()
    let_time_pass(0.2)
    node.resume()
    for i in range(len(requests)):
        node.wait_for_log(LogEvent.SEQUENCE_ANSWERED, sequence_id=f"b{i}", answer="left")


def test_a_client_that_left_while_the_node_was_stopped_gets_no_attempt(rig: SocketRig) -> None:
    """Requests and FINs wait in the kernel together, and an idle connection to the engine could be reused."""
    node = rig.start("w1")
    first = Client(node.address).send(chat_request("a0"))
    first.read_until(LAST_CHUNK)
    node.suspend()
    send_and_leave(node, [chat_request(f"b{i}") for i in range(DEPARTED_CLIENTS)])
    assert Client(node.address).send(chat_request("a1")).read_status() == 200
    assert rig.engines["w1"].sequence_ids() == ["a0", "a1"]


# Guards against attempts for clients that left, whose end is hidden behind data that is not read yet.
@pytest.mark.parametrize("unread_bytes", [60_000, 250_000, 1_000_000])
@pytest.mark.parametrize("prompt", [100, LONG_PROMPT], ids=["write", "read"])
def test_a_client_that_left_with_much_unread_gets_no_attempt(
    rig: SocketRig, unread_bytes: int, prompt: int
) -> None:
    node = rig.start("r1 w1 w2")
    node.suspend()
    unread = b"x" * unread_bytes
    send_and_leave(node, [chat_request(f"b{i}", prompt, "post") + unread for i in range(DEPARTED_CLIENTS)])
    assert Client(node.address).send(chat_request("a1")).read_status() == 200
    assert [name for engine in rig.engines.values() for name in engine.sequence_ids()] == ["a1"]


def test_a_client_that_sends_much_behind_its_request_and_stays_is_served(rig: SocketRig) -> None:
    node = rig.start("w1")
    client = Client(node.address).send(chat_request("a1") + b"x" * 250_000)
    assert client.read_status() == 200
    client.read_until(LAST_CHUNK)
    assert rig.engines["w1"].sequence_ids() == ["a1"]


def test_an_engine_that_drains_between_a_decision_and_its_first_byte_gets_nothing(rig: SocketRig) -> None:
    """A draining notice older than the grace period waits in the kernel together with a request."""
    node = rig.start("w1")
    client = Client(node.address).send(chat_request("a0"))
    client.read_until(LAST_CHUNK)
    node.suspend()
    client.send(chat_request("a1", remaining_ms=1500))
    rig.discovery.change_health(w1="leaving")
    let_time_pass(0.4)
    node.resume()
    assert client.read_status() == 503
    assert rig.engines["w1"].sequence_ids() == ["a0"]


def test_a_deadline_that_passed_while_the_node_was_stopped_is_answered_at_once(rig: SocketRig) -> None:
    """The deadline of a sent attempt passes while the process is suspended."""
    node = rig.start("w1")
    rig.engines["w1"].script = never_respond
    client = Client(node.address).send(chat_request("a1", remaining_ms=600))
    rig.engines["w1"].next_request(b"POST")
    node.suspend()
    let_time_pass(0.8)
    resumed_at = time.monotonic()
    node.resume()
    assert client.read_status() == 503
    assert time.monotonic() - resumed_at < 0.5  # a client gives up 0.5 s after its deadline


def test_a_client_that_still_sends_can_read_the_last_response(rig: SocketRig) -> None:
    """There are unread bytes when the node closes the connection, and more arrive afterwards."""
    node = rig.start("w1")
    client = Client(node.address)
    node.suspend()
    client.send(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 200_000
    )
    node.resume()
    assert client.read_status() == 413
    client.send(b"x" * 100_000)
    assert client.read_rest(keep_open=True) == b""  # a FIN, not a reset
    client.send(b"x" * 1000)
    assert client.socket_error() == 0  # no reset afterwards (SO_ERROR)


def test_a_request_on_a_draining_connection_is_never_forwarded(rig: SocketRig) -> None:
    """The client sends it after reading the node's FIN on an idle connection."""
    node = rig.start("w1")
    client = Client(node.address).send(chat_request("a1"))
    client.read_until(LAST_CHUNK)
    node.signal("TERM")
    assert client.read_rest(keep_open=True) == b""
    client.send(chat_request("a2"))
    assert client.socket_error() == 0  # no reset, so earlier responses can still be read
    client.close()
    node.assert_clean_exit()
    assert rig.engines["w1"].sequence_ids() == ["a1"]


def test_lingering_connections_count_as_descriptors_and_are_closed(rig: SocketRig) -> None:
    """Rejected clients keep their side of the connection open, more than there are descriptors."""
    node = rig.start("w1", descriptors=128)
    base = node.descriptor_count()
    rejected = []
    for _ in range(200):
        rejected.append(Client(node.address).send(b"nonsense\r\n\r\n"))
        assert rejected[-1].read_status() == 400
        assert node.descriptor_count() <= 128
    valid_client = Client(node.address).send(chat_request("a1"))
    assert valid_client.read_status() == 200
    wait_for_file(
        lambda: f"/proc/{node.process.pid}/limits", lambda text: node.descriptor_count() <= base + 3
    )
    node.signal("TERM")
    node.assert_clean_exit()


def test_an_at_most_once_request_whose_last_byte_left_is_not_retried(rig: SocketRig) -> None:
    """The engine reads the complete request and resets the connection without a response."""
    node = rig.start("w1 w2")
    for name in ("w1", "w2"):
        rig.engines[name].script = lambda connection, request: connection.reset()
    client = Client(node.address).send(chat_request("a1", traffic="post"))
    assert client.read_status() == 502
    assert len(rig.engines["w1"].sequence_ids() + rig.engines["w2"].sequence_ids()) == 1


def test_a_late_second_response_is_never_the_next_requests_response(rig: SocketRig) -> None:
    """A second response arrives on an idle connection in the same reactor turn as the next request."""
    node = rig.start("w1")
    first = Client(node.address).send(chat_request("a0"))
    first.read_until(LAST_CHUNK)
    node.suspend()
    rig.engines["w1"].connections[0].send(STREAM_HEAD + chunk(b"data: other\n\n") + LAST_CHUNK)
    second = Client(node.address).send(chat_request("a1"))
    let_time_pass(0.1)
    node.resume()
    assert b"other" not in second.read_until(LAST_CHUNK)
    assert rig.engines["w1"].sequence_ids() == ["a0", "a1"] and len(rig.engines["w1"].connections) == 2


def test_an_endless_response_ends_as_possibly_run_and_its_connection_is_closed(rig: SocketRig) -> None:
    node = rig.start("w1")
    rig.engines["w1"].script = lambda connection, request: connection.send(
        b"HTTP/1.1 200 OK\r\nX-Y: " + b"z" * 4_000_000
    )
    client = Client(node.address).send(chat_request("a1", traffic="post"))
    assert client.read_status() == 502
    assert rig.engines["w1"].connections[0].closed.wait(TIMEOUT_S)


def test_bad_requests_get_their_4xx_and_free_descriptors_and_memory(rig: SocketRig) -> None:
    node = rig.start("w1", descriptors=200)
    assert Client(node.address).send(chat_request("a0")).read_status() == 200
    base, memory = node.descriptor_count(), node.memory_mb()
    chunked = chat_request().partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    deep = b'{"messages":' + b"[" * 60_000
    status_by_data = {
        b"nonsense\r\n\r\n": 400,
        chat_request(body=b"[" * 60_000): 400,
        chat_request(body=deep): 400,
        chat_request(headers=b"X-A: " + b"y" * 30_000 + b"\r\n"): 431,
        chunked + chunk(b"x" * 200_000) * 2: 413,
        chat_request()[:-3]: 408,
        b"POST /v1/ch": 408,
    }
    for _ in range(4):
        bad_clients = [(Client(node.address).send(data), status) for data, status in status_by_data.items()]
        valid_client = Client(node.address).send(chat_request(f"a{time.monotonic()}"))
        assert valid_client.read_status() == 200
        for client, status in bad_clients:
            assert client.read_status() == status
            client.close()
        valid_client.close()
    wait_for_file(lambda: "/proc/self/stat", lambda text: node.descriptor_count() <= base + 2)
    assert node.memory_mb() < memory + 12.0  # memory of rejected requests is freed
    node.signal("TERM")
    node.assert_clean_exit()
