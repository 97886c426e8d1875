"""Graceful shutdown of a relay node, in memory."""

import h11
import pytest
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

from myrtlehub.platform_settings import earliest_kill_delay
from myrtlehub.relay.process.graceful_shutdown import GracefulShutdown


def test_sigterm_answers_accepted_and_late_requests_and_then_ends_the_process() -> None:
    rig = RelayRig("w1")
    idle = rig.request("a0")
    rig.engines["w1"].script = never_respond
    accepted = rig.request("a1")
    ended_at: list[float] = []
    stopped_at: list[float] = []
    shutdown = GracefulShutdown(
        rig.clock,
        rig.node.listener,
        rig.node.is_busy,
        lambda: stopped_at.append(rig.clock.seconds()),
        lambda: ended_at.append(rig.clock.seconds()),
    )
    started_at = rig.clock.seconds()
    shutdown.start()
    shutdown.start()
    rig.run(0.2)
    assert idle.lost and not accepted.lost
    late = rig.request("a2")  # the load balancer has not noticed the shutdown yet
    rig.run(2.0)
    assert stopped_at and stopped_at[0] - started_at >= 0.5 and not ended_at
    for connection in rig.engines["w1"].connections:
        connection.send(COMPLETE_STREAM) if not connection.lost else None
    rig.run(1.0)
    assert accepted.statuses == late.statuses == [200] and b"Connection: close" in accepted.received
    assert accepted.lost and late.lost and ended_at


def test_a_request_that_is_complete_in_time_after_sigterm_is_served() -> None:
    """Later ones are rejected, because their answers might not be complete before SIGKILL."""
    rig = RelayRig("w1")
    early, late = rig.client(), rig.client()
    for client, sequence_id in ((early, "a1"), (late, "a2")):
        client.send(chat_request(sequence_id)[:-5])
    rig.run(0.01)
    rig.node.begin_shutdown()
    rig.node.listener.drain()
    rig.run(0.45)
    early.send(chat_request("a1")[-5:])
    rig.run(0.1)
    late.send(chat_request("a2")[-5:])
    rig.run(0.1)
    assert early.statuses == [200] and late.statuses == [503]
    assert b"Connection: close" in late.received
    assert [request.headers[b"x-txn"] for request in rig.engines["w1"].chat_requests()] == [b"a1"]


def test_the_earliest_sigkill_follows_from_the_longest_deadline() -> None:
    def earliest(*deadlines_ms: float) -> float:
        return earliest_kill_delay({"Classes": [{"GiveUpMs": deadline} for deadline in deadlines_ms]})

    assert earliest(400.0, 900.0) == pytest.approx(1.6)
    assert earliest(400.0, 10000.0) == pytest.approx(3.7)
    assert earliest() == pytest.approx(3.7)


def test_a_stream_that_ends_after_sigterm_closes_its_connection() -> None:
    """Its head was sent without `Connection: close`, so the client may send another request."""
    rig = RelayRig("w1")
    streams: list[PeerConnection] = []

    def begin_stream(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        connection.send(STREAM_HEAD + chunk(EVENT))
        streams.append(connection)

    rig.engines["w1"].script = begin_stream
    client = rig.request("a1")
    ended_at: list[float] = []
    shutdown = GracefulShutdown(
        rig.clock,
        rig.node.listener,
        rig.node.is_busy,
        lambda: None,
        lambda: ended_at.append(rig.clock.seconds()),
    )
    assert client.received.endswith(chunk(EVENT)) and b"Connection: close" not in client.received
    shutdown.start()
    rig.run(1.5)
    streams[0].send(chunk(EVENT) + chunk(DONE) + LAST_CHUNK)
    rig.run(0.01)
    client.send(chat_request("a2"))  # is in transit during the close, or arrives after it
    rig.run(1.0)
    assert stream_of(client.received).endswith(DONE + b"<end>") and client.lost
    assert len(streams) == 1 and ended_at and rig.node.executor.accepted_count == 1
