"""Local failures on real sockets: lack of ports or descriptors, and a log that is full or not read."""

import fcntl
import os
from collections.abc import Iterator
from pathlib import Path

import pytest
from faultcontrol import FaultControlFile
from relaymessages import LONG_PROMPT, READ_RESPONSE, RELEASE_RESPONSE, chat_request
from socketpeers import PeerConnection, ReceivedRequest, never_respond
from socketrig import Client, RelayProcess, SocketRig, let_time_pass

from myrtlehub.log_events import LogEvent

LOCAL_ERRORS = ("EADDRNOTAVAIL", "ENOBUFS", "ENFILE", "EMFILE", "ENOMEM", "EACCES", "ENETUNREACH")


@pytest.fixture(name="faults")
def fault_control(tmp_path: Path) -> FaultControlFile:
    return FaultControlFile(tmp_path)


def wait_for_watch(rig: SocketRig, since: float) -> None:
    """Wait for a watch sent after `since`, when the node has applied the list of that time."""
    while True:
        request = rig.discovery.next_request()
        if request.received_at > since and b"since" in request.target:
            return


def respond_and_close(connection: PeerConnection, request: ReceivedRequest) -> None:
    """Act as a reader that closes each connection after its response."""
    connection.send(READ_RESPONSE if request.method == b"POST" else RELEASE_RESPONSE)
    connection.close()


def test_a_state_is_released_after_connects_failed_locally(rig: SocketRig, faults: FaultControlFile) -> None:
    """The client disconnects while no local port is free."""
    node = rig.start("r1 w1", argv=faults.argv())
    rig.engines["r1"].script = respond_and_close
    rig.engines["w1"].script = never_respond
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT))
    rig.engines["w1"].next_request(b"POST")
    faults.set(connect="EADDRNOTAVAIL")
    client.close()
    # The requests of one round of both releases, and those of the discovery client.
    faults.wait_for_injected("connect", 12)
    assert not rig.engines["r1"].sequence_ids(b"DELETE")
    faults.set()
    assert rig.engines["r1"].next_request(b"DELETE").target == b"/state/a1"
    node.signal("TERM")
    node.assert_clean_exit()


@pytest.mark.parametrize("name", LOCAL_ERRORS)
def test_an_at_most_once_request_survives_a_local_error_of_connect(
    rig: SocketRig, faults: FaultControlFile, name: str
) -> None:
    """The request has not been executed, and the failure is not attributed to an engine."""
    node = rig.start("w1 w2", argv=faults.argv())
    faults.set(connect=name)
    client = Client(node.address).send(chat_request("a1", traffic="post"))
    faults.wait_for_injected("connect", 3)
    faults.set()
    assert client.read_status() == 200
    assert not [
        line for line in node.find_logged(LogEvent.ATTEMPT_ENDED) if line["state"] in ("unreached", "failed")
    ]
    assert len(rig.engines["w1"].sequence_ids() + rig.engines["w2"].sequence_ids()) == 1


def test_a_socket_that_cannot_be_created_is_not_attributed_to_the_engine(
    rig: SocketRig, faults: FaultControlFile
) -> None:
    node = rig.start("w1", argv=faults.argv())
    faults.set(socket="ENFILE")
    client = Client(node.address).send(chat_request("a1", traffic="post"))
    faults.wait_for_injected("socket", 3)
    faults.set()
    assert client.read_status() == 200


@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED"])
def test_a_client_is_accepted_after_accepts_failed(
    rig: SocketRig, faults: FaultControlFile, name: str
) -> None:
    node = rig.start("w1", argv=faults.argv())
    faults.set(accept=name)
    client = Client(node.address).send(chat_request("a1"))
    faults.wait_for_injected("accept", 2)
    faults.set()
    assert client.read_status() == 200


def test_short_reads_and_writes_change_nothing(rig: SocketRig, faults: FaultControlFile) -> None:
    node = rig.start("r1 w1", argv=faults.argv())
    faults.set(send="short", recv="short", share=0.7)
    statuses = []
    for number in range(4):
        client = Client(node.address).send(chat_request(f"a{number}", LONG_PROMPT if number % 2 else 100))
        statuses.append(client.read_status())
        client.read_until(b"[DONE]")
        client.close()
    assert statuses == [200] * 4


def test_a_log_on_a_full_device_delays_no_answer_and_no_list_change(rig: SocketRig) -> None:
    """Writes to the log fail when the node starts to accept clients and when discovery fails."""
    with Path("/dev/full").open("wb") as full:
        node = rig.start("w1", stdout=full.fileno())
    assert Client(node.address).send(chat_request("a1")).read_status() == 200
    rig.discovery.stop_responding()
    rig.discovery.resume_responding()
    wait_for_watch(rig, rig.discovery.change_health(w1="leaving"))
    assert Client(node.address).send(chat_request("a2", remaining_ms=500)).read_status() == 503
    node.signal("TERM")
    assert node.exit_code() == 0


@pytest.fixture(name="full_pipe")
def unread_pipe() -> Iterator[int]:
    """Yield the write end of a small pipe that is not read."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    yield write_end
    os.close(read_end)
    os.close(write_end)


def test_a_log_pipe_that_is_not_read_delays_no_answer(rig: SocketRig, full_pipe: int) -> None:
    node: RelayProcess = rig.start("w1", stdout=full_pipe)
    statuses = []
    for number in range(60):
        client = Client(node.address).send(chat_request(f"a{number}"))
        statuses.append(client.read_status())
        client.close()
    assert statuses == [200] * 60
    node.signal("TERM")
    assert node.exit_code() == 0


def test_a_log_pipe_without_a_reader_delays_no_answer(rig: SocketRig) -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    node = rig.start("w1", stdout=write_end)
    os.close(write_end)
    assert Client(node.address).send(chat_request("a1")).read_status() == 200
    node.signal("TERM")
    assert node.exit_code() == 0


def test_the_time_of_a_request_includes_its_wait_to_be_accepted(
    rig: SocketRig, faults: FaultControlFile
) -> None:
    """Found by the fault soak: after failures of accept(), engines were sent the client's full time."""
    node = rig.start("w1", argv=faults.argv())
    faults.set(accept="ENFILE")
    client = Client(node.address).send(chat_request("a1", remaining_ms=4000))
    faults.wait_for_injected("accept", 1)
    let_time_pass(1.0)
    faults.set()
    assert client.read_status() == 200
    assert int(rig.engines["w1"].next_request(b"POST").headers[b"x-remaining-ms"]) <= 3150
    client.close()
    # A later client did not have to wait.
    assert Client(node.address).send(chat_request("a2", remaining_ms=4000)).read_status() == 200
    assert int(rig.engines["w1"].next_request(b"POST").headers[b"x-remaining-ms"]) >= 3500


def test_a_client_that_cannot_be_accepted_as_the_port_closes_is_answered_later(
    rig: SocketRig, faults: FaultControlFile
) -> None:
    """Found by the fault soak: accept() failed during a shutdown, and queued connections were dropped."""
    node = rig.start("w1", argv=faults.argv())
    faults.set(accept="ENFILE")
    client = Client(node.address).send(chat_request("a1", remaining_ms=4000))
    faults.wait_for_injected("accept", 1)
    node.signal("TERM")
    let_time_pass(0.7)  # longer than the port stays open without the fault
    assert node.exit_code(timeout=0.0) is None
    faults.set()
    assert client.read_status() == 200
    client.close()
    node.assert_clean_exit()


def test_bytes_that_are_read_late_count_from_when_they_were_in_the_system(
    rig: SocketRig, faults: FaultControlFile
) -> None:
    """Found by the fault soak: a connection was accepted late, and then each read returned few bytes.

    The wait was counted for the first bytes of the request but not for its last one, so engines were sent
    more time than the client had left.
    """
    node = rig.start("w1", argv=faults.argv())
    faults.set(accept="ENFILE")
    client = Client(node.address).send(chat_request("a1", remaining_ms=4000))
    faults.wait_for_injected("accept", 1)
    let_time_pass(1.0)
    faults.set(recv="short")
    assert client.read_status() == 200
    assert faults.injected_count("recv") > 2
    assert int(rig.engines["w1"].next_request(b"POST").headers[b"x-remaining-ms"]) <= 3150


def test_a_node_starts_after_sockets_briefly_could_not_be_created(
    rig: SocketRig, faults: FaultControlFile
) -> None:
    """Found by the fault soak: a node that was restarted during such a failure exited."""
    rig.start("w1")
    faults.set(socket="ENFILE")
    node = rig.start_relay(argv=faults.argv())
    faults.wait_for_injected("socket", 2)
    faults.set()
    node.wait_for_log(LogEvent.READY)
    assert Client(node.address).send(chat_request("a1")).read_status() == 200
