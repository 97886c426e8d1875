"""Peers that send tiny chunks without end, on real sockets: usual clients are answered meanwhile."""

from pathlib import Path

import pytest
from floods import Flood
from relaymessages import EVENT, LAST_CHUNK, STREAM_HEAD, chat_request, chunk
from socketpeers import PeerConnection, ReceivedRequest
from socketrig import Client, SocketRig

CLIENT_COUNT = 100
STREAM_COUNT = 16
DESCRIPTORS = 1024
CHUNKED_HEAD = chat_request("flood").partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_REQUESTING_CLIENTS = DESCRIPTORS // 3  # clients hold at most a third of the descriptors for requests
MEMORY_LIMIT_MB = 112  # the smallest limit of a node with so many descriptors
# Memory in MB that the node may take for the flood, as three times as many clients may send at once; a node
# without clients takes some 30 MB.
MAX_FLOOD_MEMORY_MB = (MEMORY_LIMIT_MB - 30) / 3


def peak_memory_mb(process_id: int) -> float:
    """Return the peak of the resident memory of a process in MB."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1000


def test_usual_requests_are_answered_in_time_beside_bodies_in_tiny_chunks(rig: SocketRig) -> None:
    """Guards against one turn of the event loop that parses all that a hundred clients have sent."""
    node = rig.start("w1", descriptors=DESCRIPTORS)
    before_mb = peak_memory_mb(node.process.pid)
    flood = Flood(node.address, CLIENT_COUNT, CHUNKED_HEAD, chunk(b"xx") * 9400)
    statuses = []
    for number in range(5):
        client = Client(node.address).send(chat_request(f"a{number}", remaining_ms=2000))
        statuses.append(client.read_status())
        client.close()
    grown_mb = peak_memory_mb(node.process.pid) - before_mb
    flood.close()
    assert statuses == [200] * 5
    assert grown_mb < MAX_FLOOD_MEMORY_MB


def test_usual_requests_are_answered_in_time_beside_events_that_never_end(rig: SocketRig) -> None:
    """Guards against a turn of the event loop that lasts seconds, since each part of an event costs more."""
    node = rig.start("w1 w2")

    def respond(connection: PeerConnection, request: ReceivedRequest) -> None:
        engine = next(engine for engine in rig.engines.values() if engine is connection.peer)
        if not request.sequence_id.startswith("endless"):
            engine.default_script(connection, request)
            return
        connection.send(STREAM_HEAD + chunk(EVENT) + chunk(b"data: "))
        while not connection.closed.is_set():
            connection.send(chunk(b"x") * 10_000)

    for engine in rig.engines.values():
        engine.script = respond
    requests = [chat_request(f"endless{number}") for number in range(STREAM_COUNT)]
    endless_clients = [Client(node.address).send(request) for request in requests]
    assert [client.read_status() for client in endless_clients] == [200] * STREAM_COUNT
    statuses = []
    for number in range(5):
        client = Client(node.address).send(chat_request(f"a{number}", remaining_ms=2000))
        statuses.append(client.read_status())
        client.close()
    assert statuses == [200] * 5
    assert all(LAST_CHUNK not in client.read_rest() for client in endless_clients)


@pytest.mark.parametrize("is_complete", [False, True], ids=["incomplete", "complete"])
def test_large_requests_of_many_clients_stay_within_the_memory_limit(
    rig: SocketRig, is_complete: bool
) -> None:
    """Guards against requests that are each below their limit and together take the node over its memory."""
    node = rig.start(
        "w1", descriptors=DESCRIPTORS, limits={"sockets": DESCRIPTORS, "memory_mb": MEMORY_LIMIT_MB}
    )
    for engine in rig.engines.values():
        engine.script = lambda connection, request: None
    clients = []
    for number in range(MAX_REQUESTING_CLIENTS):
        request = chat_request(f"a{number}", body=b'{"messages":["' + b"x" * 255_000 + b'"]}')
        clients.append(Client(node.address).send(request if is_complete else request[:-1]))
    statuses = [client.read_status() for client in clients]
    assert peak_memory_mb(node.process.pid) < MEMORY_LIMIT_MB
    assert 503 in statuses
    for client in clients:
        client.close()
    assert Client(node.address).send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").read_status() == 200
