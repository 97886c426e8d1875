"""Graceful shutdown of a relay node, in memory."""

import h11
from relaymessages import (
    COMPLETE_STREAM,
    DONE,
    EVENT,
    LAST_CHUNK,
    STREAM_HEAD,
    chat_request,
    chunk,
    stream_of,
)
from relayrig import PeerConnection, RelayRig, never_respond

from myrtlehub.relay.process.graceful_shutdown import GracefulShutdown


def test_sigterm_answers_accepted_and_late_requests_then_ends() -> None:
    rig = RelayRig("w1")
    idle = rig.request("a0")
    rig.engines["w1"].script = never_respond
    accepted = rig.request("a1")
    ended: list[float] = []
    stopped: list[float] = []
    shutdown = GracefulShutdown(
        rig.clock,
        rig.node.listener,
        rig.node.is_busy,
        lambda: stopped.append(rig.clock.seconds()),
        lambda: ended.append(rig.clock.seconds()),
    )
    at = rig.clock.seconds()
    shutdown.start()
    shutdown.start()
    rig.run(0.2)
    assert idle.lost and not accepted.lost
    late = rig.request("a2")  # the load balancer in front has not noticed the shutdown yet
    rig.run(2.0)
    assert stopped and stopped[0] - at >= 0.5 and not ended
    for connection in rig.engines["w1"].connections:
        connection.send(COMPLETE_STREAM) if not connection.lost else None
    rig.run(1.0)
    assert accepted.statuses == late.statuses == [200] and b"Connection: close" in accepted.received
    assert accepted.lost and late.lost and ended


def test_a_stream_that_ends_after_sigterm_closes_its_connection() -> None:
    """Its head was sent without `Connection: close`, so the client may send its next request."""
    rig = RelayRig("w1")
    streams: list[PeerConnection] = []

    def begin_stream(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        connection.send(STREAM_HEAD + chunk(EVENT))
        streams.append(connection)

    rig.engines["w1"].script = begin_stream
    client = rig.request("a1")
    ended: list[float] = []
    shutdown = GracefulShutdown(
        rig.clock,
        rig.node.listener,
        rig.node.is_busy,
        lambda: None,
        lambda: ended.append(rig.clock.seconds()),
    )
    assert client.received.endswith(chunk(EVENT)) and b"Connection: close" not in client.received
    shutdown.start()
    rig.run(1.5)
    streams[0].send(chunk(EVENT) + chunk(DONE) + LAST_CHUNK)
    rig.run(0.01)
    client.send(chat_request("a2"))  # crosses the close, or arrives after it
    rig.run(1.0)
    assert stream_of(client.received).endswith(DONE + b"<end>") and client.lost
    assert len(streams) == 1 and ended and rig.node.executor.accepted_count == 1
