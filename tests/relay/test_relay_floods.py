"""Peers that send tiny chunks without end, on real sockets: usual clients are answered meanwhile."""

from pathlib import Path

from floods import Flood
from relaymessages import chat_request, chunk
from socketrig import Client, SocketRig

CLIENT_COUNT = 100
DESCRIPTORS = 1024
CHUNKED_HEAD = chat_request("flood").partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
# Memory in MB that the node may take for the flood. The smallest limit of a node with so many descriptors is
# 112 MB, and 300 clients may send at once; a node without clients takes some 30 MB.
MAX_FLOOD_MEMORY_MB = (112 - 30) / 3


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
