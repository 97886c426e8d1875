"""Failures of the relay's own machine, on real sockets: no port, no descriptor, a log that takes nothing."""

import fcntl
import os
from collections.abc import Iterator
from pathlib import Path

import pytest
from faultcontrol import FaultControlFile
from relaymessages import LONG_PROMPT, READ_RESPONSE, RELEASE_RESPONSE, chat_request
from socketpeers import PeerConnection, ReceivedRequest, never_respond
from socketrig import Client, RelayProcess, SocketRig, stay_stopped

from myrtlehub.log_events import LogEvent

LOCAL_ERRORS = ("EADDRNOTAVAIL", "ENOBUFS", "ENFILE", "EMFILE", "ENOMEM", "EACCES", "ENETUNREACH")


@pytest.fixture(name="faults")
def fault_control(tmp_path: Path) -> FaultControlFile:
    return FaultControlFile(tmp_path)


def wait_for_watch(rig: SocketRig, since: float) -> None:
    """Wait for a watch that begins after that: the list as it was then has been applied."""
    while True:
        request = rig.discovery.next_request()
        if request.received_at > since and b"since" in request.target:
            return


def read_and_close(connection: PeerConnection, request: ReceivedRequest) -> None:
    """Be a reader that keeps no connection."""
    connection.send(READ_RESPONSE if request.method == b"POST" else RELEASE_RESPONSE)
    connection.close()


def test_a_state_is_released_after_connects_failed_locally(rig: SocketRig, faults: FaultControlFile) -> None:
    """Crossing: the client leaves while no local port is free."""
    node = rig.start("r1 w1", argv=faults.argv())
    rig.engines["r1"].script = read_and_close
    rig.engines["w1"].script = never_respond
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT))
    rig.engines["w1"].next_request(b"POST")
    faults.set(connect="EADDRNOTAVAIL")
    client.close()
    # as many as all tries of both releases came to, at once, and discovery's calls beside them
    faults.wait_for_injected("connect", 12)
    assert not rig.engines["r1"].sequence_ids(b"DELETE")
    faults.set()
    assert rig.engines["r1"].next_request(b"DELETE").target == b"/state/a1"
    node.signal("TERM")
    node.assert_clean_exit()


@pytest.mark.parametrize("name", LOCAL_ERRORS)
def test_an_at_most_once_request_outlasts_a_local_error_of_connect(
    rig: SocketRig, faults: FaultControlFile, name: str
) -> None:
    """It surely has not run, and no engine is to blame."""
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


def test_a_socket_that_cannot_be_made_is_no_fault_of_the_engine(
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


def test_a_log_on_a_full_device_costs_no_answer_and_no_change(rig: SocketRig) -> None:
    """Crossing: the device is full as the node opens, and as discovery fails."""
    with Path("/dev/full").open("wb") as full:
        node = rig.start("w1", stdout=full.fileno())
    assert Client(node.address).send(chat_request("a1")).read_status() == 200
    rig.discovery.fall_silent()
    rig.discovery.come_back()
    wait_for_watch(rig, rig.discovery.change(w1="leaving"))
    assert Client(node.address).send(chat_request("a2", remaining_ms=500)).read_status() == 503
    node.signal("TERM")
    assert node.exit_code() == 0


@pytest.fixture(name="full_pipe")
def undrained_pipe() -> Iterator[int]:
    """Return the end to write to of a small pipe that nobody drains."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, 4096)
    yield writing
    os.close(reading)
    os.close(writing)


def test_a_log_that_nobody_drains_costs_no_answer(rig: SocketRig, full_pipe: int) -> None:
    node: RelayProcess = rig.start("w1", stdout=full_pipe)
    statuses = []
    for number in range(60):
        client = Client(node.address).send(chat_request(f"a{number}"))
        statuses.append(client.read_status())
        client.close()
    assert statuses == [200] * 60
    node.signal("TERM")
    assert node.exit_code() == 0


def test_a_log_whose_reader_is_gone_costs_no_answer(rig: SocketRig) -> None:
    reading, writing = os.pipe()
    os.close(reading)
    node = rig.start("w1", stdout=writing)
    os.close(writing)
    assert Client(node.address).send(chat_request("a1")).read_status() == 200
    node.signal("TERM")
    assert node.exit_code() == 0


def test_a_request_that_waited_to_be_accepted_counts_from_its_coming(
    rig: SocketRig, faults: FaultControlFile
) -> None:
    """Found by the fault soak: accept failed for a while, and engines were told the client's whole time."""
    node = rig.start("w1", argv=faults.argv())
    faults.set(accept="ENFILE")
    client = Client(node.address).send(chat_request("a1", remaining_ms=4000))
    faults.wait_for_injected("accept", 1)
    stay_stopped(1.0)
    faults.set()
    assert client.read_status() == 200
    assert int(rig.engines["w1"].next_request(b"POST").headers[b"x-remaining-ms"]) <= 3150
    client.close()
    # who comes later has not waited
    assert Client(node.address).send(chat_request("a2", remaining_ms=4000)).read_status() == 200
    assert int(rig.engines["w1"].next_request(b"POST").headers[b"x-remaining-ms"]) >= 3500


def test_a_node_starts_though_sockets_cannot_be_made_for_a_moment(
    rig: SocketRig, faults: FaultControlFile
) -> None:
    """Found by the fault soak: a node that restarted in such a moment refused to start."""
    rig.start("w1")
    faults.set(socket="ENFILE")
    node = rig.start_relay(argv=faults.argv())
    faults.wait_for_injected("socket", 2)
    faults.set()
    node.wait_for_log(LogEvent.READY)
    assert Client(node.address).send(chat_request("a1")).read_status() == 200
