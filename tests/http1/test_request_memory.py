"""Memory of the requests of all clients together: incomplete ones and open ones."""

from relaymessages import COMPLETE_STREAM, chat_request
from relayrig import RelayRig, never_respond

from myrtlehub.relay.process.memory_budget import request_memory_limits

MEMORY_MB = 64.0
LIMITS = request_memory_limits(MEMORY_MB)
BODY = b'{"messages":["' + b"x" * 200_000 + b'"]}'


def test_incomplete_requests_of_all_clients_are_limited_and_the_largest_is_rejected() -> None:
    """Guards against bodies that are each below their limit and together take the node over its memory."""
    rig = RelayRig("w1", descriptors=400, max_memory_mb=MEMORY_MB)
    clients = [rig.client() for _ in range(60)]
    for client in clients:
        client.send(chat_request("a", body=BODY)[:-1])
        rig.run(0.01)
        assert rig.node.listener.memory.incomplete_bytes <= LIMITS.incomplete_bytes
    assert rig.request("b").statuses == [200]
    statuses = [client.statuses for client in clients]
    assert statuses.count([503]) >= 60 - LIMITS.incomplete_bytes // len(BODY) and [] in statuses
    for client in clients:
        client.transport.loseConnection()
    rig.run(0.1)
    assert rig.node.listener.memory.incomplete_bytes == 0


def test_open_requests_of_all_clients_are_limited_and_their_memory_is_counted_until_the_answer() -> None:
    """Guards against complete requests that together take the node over its memory limit."""
    rig = RelayRig("w1", descriptors=400, max_memory_mb=MEMORY_MB)
    rig.engines["w1"].script = never_respond
    memory = rig.node.listener.memory
    clients = [rig.client() for _ in range(100)]
    for number, client in enumerate(clients):
        client.send(chat_request(f"a{number}", body=BODY))
        rig.run(0.002)
        assert memory.open_bytes <= LIMITS.open_bytes
    statuses = [client.statuses for client in clients]
    assert statuses.count([503]) >= 100 - LIMITS.open_bytes // len(BODY)
    assert len(rig.engines["w1"].chat_requests()) > 0
    clients[0].transport.loseConnection()
    for connection in rig.engines["w1"].connections:
        connection.send(COMPLETE_STREAM) if not connection.lost else None
    rig.run(6.0)
    assert memory.open_bytes == 0
