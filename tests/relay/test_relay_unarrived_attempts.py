"""Attempts and releases that were sent and never arrived, on a relay process and real sockets.

The story of the failure (`docs/incidents/2026-12-02-unarrived-writes.md`): users saw no error, but readers
kept read states for as long as clients were willing to wait, which fills their memory. In order: a reader
read a prompt; the node opened a connection to a writer, which was established; the network to the writer was
cut off without an error; the node sent the request on that connection. It counted the attempt as in flight
until the client's deadline, and releases no state while an attempt is in flight. The cause: the node treated
a request that its own system had accepted as one that had arrived. The evidence: the writer has no record of
the request although the node sent its last byte, the node logged no error, and the same happens here with a
writer that establishes connections and receives nothing.
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

# Longest time in seconds for which a state may be held: that of the settings, and the platform's tolerance.
HOLD_LIMIT_S = SETTINGS["Specifics"]["LetGoByMs"] / 1000 + 0.05 + 0.3
RELEASE_ROUND_S = 2.1  # in which a release is sent to five engines, each of which receives nothing


class HeldSocket:
    """A transport with nothing but its socket."""

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
    assert client.read_status() == 503  # at its deadline: the node may not know that the write did not arrive


def test_a_state_of_a_broken_read_is_released_in_time_although_the_next_read_never_arrives(
    rig: SocketRig,
) -> None:
    """The first reader stores the state, and its connection breaks before its response."""
    node = rig.start("r1 r2 w1")
    readers = {name: rig.engines[name] for name in ("r1", "r2")}

    def store_and_break(connection: PeerConnection, request: ReceivedRequest) -> None:
        """Break the connection of the first read, and cut the other reader off."""
        if request.method == b"DELETE":
            connection.peer.default_script(connection, request)
            return
        for reader in readers.values():
            if reader is not connection.peer:
                reader.cut_off()
        connection.reset()

    for reader in readers.values():
        reader.script = store_and_break
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT, remaining_ms=4000))
    node.wait_for_log(LogEvent.ATTEMPT_SENT, sequence_id="a1", attempt=1)
    first = next(reader for reader in readers.values() if not reader.is_cut_off)
    read = first.next_request(b"POST")
    released = first.next_request(b"DELETE")
    assert released.received_at - read.received_at < HOLD_LIMIT_S
    assert client.read_status() == 503


def test_a_state_is_kept_for_a_write_that_has_arrived_and_waits(rig: SocketRig) -> None:
    """A busy writer begins its answer late; meanwhile it answers the check, so its state is not released."""
    node = rig.start("r1 w1")
    writer = rig.engines["w1"]
    may_answer = threading.Event()

    def answer_late(connection: PeerConnection, request: ReceivedRequest) -> None:
        """Answer everything but an attempt at once, and the attempt when `may_answer` is set."""
        if request.method == b"POST":
            may_answer.wait(TIMEOUT_S)
        writer.default_script(connection, request)

    writer.script = answer_late
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT, remaining_ms=4000))
    arrived = node.wait_for_log(LogEvent.ATTEMPT_ARRIVED, sequence_id="a1", engine="w1")
    assert arrived["since_sent_s"] < HOLD_LIMIT_S
    let_time_pass(HOLD_LIMIT_S)
    assert not rig.engines["r1"].sequence_ids(b"DELETE")
    may_answer.set()
    assert client.read_status() == 200
    assert not node.find_logged(LogEvent.INVARIANT_VIOLATED)


def test_bytes_that_the_peer_has_not_acknowledged_are_counted() -> None:
    """Its receive buffer is full, as for a peer that is cut off; then it reads everything."""
    with socket.create_server((HOST, 0)) as listener, socket.socket() as sender:
        sender.connect(listener.getsockname())
        receiver, _ = listener.accept()
        with receiver:
            transport = HeldSocket(sender)
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
    """All engines are cut off for longer than a round of requests lasts."""
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
