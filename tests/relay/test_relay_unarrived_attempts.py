"""Attempts and releases that were sent but never arrived, on a relay process and real sockets.

The tests guard against read states that fill the memory of readers without an error to users or in the log
(`docs/incidents/2026-12-02-unarrived-writes.md`). The network to a writer was cut off after the node had
established a connection to it. The node sent the write to its own kernel, which accepted the last byte, but
the writer has no record of the request. The node took the write as arrived and in flight until the client's
deadline, and it releases no read state while an attempt is in flight. The same happens here with a writer
that accepts connections and receives nothing.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from relaymessages import LONG_PROMPT, READ_RESPONSE, SETTINGS, chat_request
from socketpeers import HOST, TIMEOUT_S, PeerConnection, ReceivedRequest
from socketrig import Client, SocketRig, let_time_pass

from myrtlehub.http1.tcp_transport import unacknowledged_bytes
from myrtlehub.log_events import LogEvent

# Longest time in seconds for which a state may be held: the limit of the settings and the tolerance of the
# platform.
HOLD_LIMIT_S = SETTINGS["Specifics"]["LetGoByMs"] / 1000 + 0.05 + 0.3
RELEASE_ROUND_S = 2.1  # time to send a release to five engines, each of which receives nothing


class SocketTransport:
    """A transport that only provides its socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def getHandle(self) -> socket.socket:  # noqa: N802
        """Return the socket."""
        return self._sock


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.001)


def test_a_state_is_released_in_time_although_its_write_never_arrives(rig: SocketRig) -> None:
    node = rig.start("r1 w1")
    rig.engines["w1"].cut_off()
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT, remaining_ms=4000))
    read = rig.engines["r1"].next_request(b"POST")
    node.wait_for_log(LogEvent.ATTEMPT_SENT, sequence_id="a1", fetches_state=True)
    released = rig.engines["r1"].next_request(b"DELETE")
    assert released.target == b"/state/a1"
    assert released.received_at - read.received_at < HOLD_LIMIT_S
    assert (
        client.read_status() == 503
    )  # at its deadline, as the node cannot know whether the write has arrived


def test_a_state_of_a_broken_read_is_released_in_time_although_the_next_read_never_arrives(
    rig: SocketRig,
) -> None:
    """The first reader stores the state, and its connection breaks before it has responded."""
    node = rig.start("r1 r2 w1")
    readers = {name: rig.engines[name] for name in ("r1", "r2")}

    def store_and_reset(connection: PeerConnection, request: ReceivedRequest) -> None:
        """Reset the connection of the first read, and cut off the other reader."""
        if request.method == b"DELETE":
            connection.peer.default_script(connection, request)
            return
        for reader in readers.values():
            if reader is not connection.peer:
                reader.cut_off()
        connection.reset()

    for reader in readers.values():
        reader.script = store_and_reset
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT, remaining_ms=4000))
    node.wait_for_log(LogEvent.ATTEMPT_SENT, sequence_id="a1", attempt=1)
    first = next(reader for reader in readers.values() if not reader.is_cut_off)
    read = first.next_request(b"POST")
    released = first.next_request(b"DELETE")
    assert released.received_at - read.received_at < HOLD_LIMIT_S
    assert client.read_status() == 503


def test_a_state_is_kept_for_a_write_that_has_arrived_and_waits(rig: SocketRig) -> None:
    """A busy writer responds late but answers the arrival check, so the state is not released."""
    node = rig.start("r1 w1")
    writer = rig.engines["w1"]
    may_respond = threading.Event()

    def respond_late(connection: PeerConnection, request: ReceivedRequest) -> None:
        """Respond to an attempt when `may_respond` is set, and to everything else at once."""
        if request.method == b"POST":
            may_respond.wait(TIMEOUT_S)
        writer.default_script(connection, request)

    writer.script = respond_late
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT, remaining_ms=4000))
    arrived = node.wait_for_log(LogEvent.ATTEMPT_ARRIVED, sequence_id="a1", engine="w1")
    assert arrived["since_sent_s"] < HOLD_LIMIT_S
    let_time_pass(HOLD_LIMIT_S)
    assert not rig.engines["r1"].sequence_ids(b"DELETE")
    may_respond.set()
    assert client.read_status() == 200
    assert not node.find_logged(LogEvent.INVARIANT_VIOLATED)


def test_bytes_that_the_peer_has_not_acknowledged_are_counted() -> None:
    """The peer's receive buffer is full, which looks like a cut-off peer; then the peer reads everything."""
    with socket.create_server((HOST, 0)) as listener, socket.socket() as sender:
        sender.connect(listener.getsockname())
        receiver, _ = listener.accept()
        with receiver:
            transport = SocketTransport(sender)
            assert unacknowledged_bytes(transport) == 0
            sender.setblocking(False)
            sent = 0
            with contextlib.suppress(BlockingIOError):
                while True:
                    sent += sender.send(bytes(65536))
            assert 0 < unacknowledged_bytes(transport) <= sent
            while sent:
                sent -= len(receiver.recv(65536))
            wait_until(lambda: unacknowledged_bytes(transport) == 0)


def test_a_release_that_never_arrived_is_sent_again_once_engines_can_be_reached(rig: SocketRig) -> None:
    """All engines are cut off for longer than a round of requests takes."""
    node = rig.start("r1 w1")
    rig.engines["r1"].script = lambda connection, request: connection.send(READ_RESPONSE)
    rig.engines["w1"].script = lambda connection, request: None
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT))
    rig.engines["w1"].next_request(b"POST")
    for engine in rig.engines.values():
        engine.cut_off()
    client.close()
    node.wait_for_log(LogEvent.RELEASE_SENT, sequence_id="a1")
    let_time_pass(RELEASE_ROUND_S)
    for engine in rig.engines.values():
        engine.script = engine.default_script
        engine.restore()
    node.wait_for_log(LogEvent.RELEASE_ENDED, sequence_id="a1", result="confirmed")
    assert "a1" in rig.engines["r1"].sequence_ids(b"DELETE") + rig.engines["w1"].sequence_ids(b"DELETE")
