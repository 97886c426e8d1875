"""The relay as a process on real sockets: signals, settings files, discovery and restarts."""

import json
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from relaymessages import (
    COMPLETE_STREAM,
    DONE,
    EVENT,
    LAST_CHUNK,
    LONG_PROMPT,
    READ_RESPONSE,
    RELEASE_RESPONSE,
    SETTINGS,
    STREAM_HEAD,
    USAGE,
    chat_request,
    chunk,
)
from socketpeers import PeerConnection, ReceivedRequest, entry_of, never_respond
from socketrig import ROOT, Client, SilentClients, SocketRig, deployed_argv, let_time_pass, wait_for_file

from myrtlehub.log_events import LogEvent


def test_a_request_that_is_incomplete_at_sigterm_is_answered(rig: SocketRig) -> None:
    """The node reads the start of a request before the signal, and the rest after its port has closed.

    The rest arrives too late for an answer that is complete before the earliest SIGKILL, so the request is
    rejected; `test_a_request_that_is_complete_in_time_after_sigterm_is_served` covers an earlier one.
    """
    node = rig.start("w1")
    client = Client(node.address).send(chat_request("a1")[:-5])
    node.wait_for_unread(client, 0)
    node.signal("TERM")
    node.wait_for_closed_port()
    # Without the partial request, the process would exit 0.3 s after its port was closed.
    assert node.exit_code(timeout=0.45) is None
    client.send(chat_request("a1")[-5:])
    assert client.read_status() == 503
    client.read_rest()
    assert not rig.engines["w1"].all_requests
    node.assert_clean_exit()


def test_a_process_that_is_busy_shortly_before_the_earliest_sigkill_logs_its_pending_work(
    rig: SocketRig,
) -> None:
    """The longest deadline in the settings is 0.4 s, so SIGKILL may follow 1.1 s after SIGTERM."""
    classes = [{**traffic, "GiveUpMs": 400.0} for traffic in SETTINGS["Classes"]]
    node = rig.start("r1 w1", Classes=classes)
    rig.engines["w1"].script = lambda connection, request: connection.send(STREAM_HEAD + chunk(EVENT))
    client = Client(node.address).send(chat_request("a1", remaining_ms=400))
    client.read_until(chunk(EVENT))
    node.signal("TERM")
    logged = node.wait_for_log(LogEvent.SHUTDOWN_UNFINISHED)
    assert logged["sequences"] == {"streaming": 1} and logged["connections"] == {"request_open": 1}
    assert logged["releases"] == 0
    assert node.exit_code(timeout=0.0) is None


def test_clients_accepted_as_the_port_closes_are_answered(rig: SocketRig) -> None:
    """They connect while the node is suspended, and are accepted in the reactor turn that closes the port."""
    node = rig.start("w1")
    early_client = Client(node.address).send(chat_request("a0", remaining_ms=3000))
    early_client.read_until(LAST_CHUNK)
    node.signal("TERM")
    assert early_client.read_rest() == b""
    early_client.close()
    node.suspend()
    late_clients = [Client(node.address).send(chat_request(f"b{i}")) for i in range(5)]
    let_time_pass(0.7)
    node.resume()
    assert [client.read_status() for client in late_clients] == [200] * 5
    node.assert_clean_exit()


def test_the_process_exits_only_once_an_engine_has_answered_its_releases(rig: SocketRig) -> None:
    """The last client disconnects after the port has closed; engines do not answer releases for some time."""
    node = rig.start("r1 w1")
    answers_releases = threading.Event()
    releases: list[ReceivedRequest] = []

    def read_or_collect_release(connection: PeerConnection, request: ReceivedRequest) -> None:
        """Answer reads immediately, and releases only after `answers_releases` is set."""
        if request.method == b"DELETE":
            releases.append(request)
            if answers_releases.is_set():
                connection.send(RELEASE_RESPONSE)
        elif connection.peer is rig.engines["r1"]:
            connection.send(READ_RESPONSE)

    for engine in rig.engines.values():
        engine.script = read_or_collect_release
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT))
    rig.engines["w1"].next_request(b"POST")
    node.signal("TERM")
    node.wait_for_closed_port()
    client.close()
    # A round sends a release twice to the reader and once to the writer; request 9 ends the third round.
    node.wait_for_log(LogEvent.RELEASE_SENT, sequence_id="a1", engine="w1", request=9)
    assert node.exit_code(timeout=0.3) is None
    answers_releases.set()
    node.assert_clean_exit()
    assert {request.target for request in releases} == {b"/state/a1"}
    assert {request.connection.peer for request in releases} == set(rig.engines.values())


def test_an_answered_release_lets_the_process_exit(rig: SocketRig) -> None:
    node = rig.start("r1 w1")
    rig.engines["w1"].script = lambda connection, request: (
        connection.send(RELEASE_RESPONSE) if request.method == b"DELETE" else None
    )
    client = Client(node.address).send(chat_request("a1", LONG_PROMPT))
    rig.engines["w1"].next_request(b"POST")
    node.signal("TERM")
    node.wait_for_closed_port()
    client.close()
    node.assert_clean_exit()
    # One while the write is unanswered, and two after the disconnect, because the write was cancelled.
    assert rig.engines["r1"].sequence_ids(b"DELETE") == ["a1", "a1", "a1"]


def test_a_slow_client_gets_the_end_of_its_response(rig: SocketRig) -> None:
    """The node has buffered the complete stream when SIGTERM arrives."""
    node = rig.start("w1")
    large_event = b'data: {"choices":[{"delta":{"content":"' + b"y" * 60_000 + b'"}}]}\n\n'
    rig.engines["w1"].script = lambda connection, request: connection.send(
        STREAM_HEAD + chunk(large_event) * 120 + chunk(USAGE + DONE) + LAST_CHUNK
    )
    client = Client(node.address, window=4096).send(chat_request("a1"))
    received = b""
    while not node.find_logged(LogEvent.SEQUENCE_ANSWERED, sequence_id="a1", answer="generated"):
        received += client.sock.recv(16384)
    node.signal("TERM")
    assert node.exit_code(timeout=1.2) is None
    received += client.read_rest()
    assert received.endswith(chunk(USAGE + DONE) + LAST_CHUNK) and len(received) > 120 * len(large_event)
    assert received.count(chunk(large_event)) == 120
    node.assert_clean_exit()


def test_a_stream_continues_to_its_end_after_sigterm(rig: SocketRig) -> None:
    node = rig.start("w1")
    rig.engines["w1"].script = lambda connection, request: connection.send(STREAM_HEAD + chunk(EVENT))
    client = Client(node.address).send(chat_request("a1"))
    client.read_until(EVENT)
    node.signal("TERM")
    node.wait_for_closed_port()
    for _ in range(3):
        rig.engines["w1"].connections[0].send(chunk(EVENT))
        client.read_until(EVENT)  # forwarded before the next one is sent: not delayed or merged
    rig.engines["w1"].connections[0].send(chunk(DONE) + LAST_CHUNK)
    assert client.read_rest().endswith(LAST_CHUNK)
    node.assert_clean_exit()


def test_sigterm_before_the_first_endpoint_list_answers_clients_in_the_accept_queue(rig: SocketRig) -> None:
    """No client has been accepted yet, because discovery does not respond."""
    node = rig.start("w1", silent=True)
    listening = f":{int(node.address.rpartition(':')[2]):04X} 00000000:0000 0A "  # 0A: state LISTEN
    wait_for_file(lambda: "/proc/net/tcp", lambda text: listening in text)
    client = Client(node.address).send(chat_request("a1", remaining_ms=1500))
    rig.discovery.next_request()
    node.signal("TERM")
    assert client.read_status() == 503
    assert client.read_rest() == b""
    node.assert_clean_exit()


def test_further_signals_during_a_shutdown_do_not_interrupt_it(rig: SocketRig) -> None:
    node = rig.start("w1")
    rig.engines["w1"].script = never_respond
    client = Client(node.address).send(chat_request("a1", remaining_ms=4500))
    rig.engines["w1"].next_request(b"POST")
    node.signal("TERM", "TERM", "INT")
    node.wait_for_closed_port()
    node.path.write_text("{")
    node.signal("HUP")
    assert "not JSON" in node.wait_for_log(LogEvent.SETTINGS_RELOAD_FAILED)["reason"]
    node.signal("TERM")
    rig.engines["w1"].connections[0].send(COMPLETE_STREAM)
    assert client.read_status() == 200
    assert client.read_rest().endswith(LAST_CHUNK)
    node.assert_clean_exit()


def test_sighup_to_a_process_that_has_just_started_does_not_end_it(rig: SocketRig) -> None:
    """The signal arrives before the program has executed any code."""
    rig.start("w1")
    node = rig.start_relay(argv=deployed_argv())
    wait_for_file(lambda: f"/proc/{node.process.pid}/cmdline", lambda text: not text.startswith("/bin/sh"))
    node.signal("HUP")
    node.wait_for_log(LogEvent.READY)
    node.signal("TERM")
    node.assert_clean_exit()


def test_sighup_changes_the_address_of_discovery_and_logs_what_needs_a_restart(rig: SocketRig) -> None:
    node = rig.start("w1")
    former_discovery = rig.discovery
    rig.start("w2")
    settings = {**node.config["settings"], "OverShareWorth": 0.7}
    node.write_config(discovery=rig.discovery.address, settings=settings, limits={"sockets": 300})
    node.signal("HUP")
    line = node.wait_for_log(LogEvent.SETTINGS_RELOADED)
    assert line["discovery"] == rig.discovery.address and line["not_applied"] == ["limits", "settings"]
    node.wait_for_log(LogEvent.ENGINE_STATE_CHANGED, engine="w2", engine_state="serving")
    node.wait_for_log(LogEvent.ENGINE_STATE_CHANGED, engine="w1", engine_state="gone")
    former_discovery.change_health(w1="active")
    client = Client(node.address)
    assert client.send(chat_request("a1")).read_status() == 200
    assert rig.engines["w2"].sequence_ids() == ["a1"]


def test_an_incomplete_settings_file_at_sighup_is_ignored_and_a_complete_one_applied(rig: SocketRig) -> None:
    node = rig.start("w1")
    complete = node.path.read_text()
    node.path.write_text(complete[: len(complete) // 2])
    node.signal("HUP")
    node.wait_for_log(LogEvent.SETTINGS_RELOAD_FAILED)
    node.path.write_text(complete)
    node.signal("HUP")
    assert node.wait_for_log(LogEvent.SETTINGS_RELOADED)["not_applied"] == []
    assert Client(node.address).send(chat_request("a1")).read_status() == 200


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ({"limits": [1]}, "limits"),
        ({"limits": {"sockets": 10}}, "limits.sockets"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {"Classes": "all"}}, "settings"),
        ({"settings": {"Caps": 5}}, "settings"),
        ({"settings": {"Classes": [{}]}}, "settings"),
        ({"discovery": 5}, "discovery"),
        ({"listen": "x"}, "listen"),
    ],
)
def test_invalid_settings_are_reported_on_one_line_with_file_key_and_remedy(
    tmp_path: Path, fields: dict[str, Any], key: str
) -> None:
    path = tmp_path / "config.json"
    if isinstance(fields.get("settings"), dict):
        fields = {"settings": {**SETTINGS, **fields["settings"]}}
    base = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    path.write_text(json.dumps({**base, **fields}))
    result = subprocess.run(
        [sys.executable, "-m", "myrtlehub.relay"],
        capture_output=True,
        text=True,
        check=False,
        env={"RELAY_CONFIG": str(path)},
        cwd=ROOT,
    )
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1, result.stderr
    assert f"{path}: {key}" in result.stderr and "; " in result.stderr  # file, key, fault and remedy


def test_the_return_of_discovery_is_noticed_while_idle_clients_fill_the_descriptors(rig: SocketRig) -> None:
    """Silent connections use all file descriptors of the process, and more are in the accept queue."""
    node = rig.start("w1 w2", descriptors=128)
    rig.discovery.stop_responding()
    node.wait_for_log(LogEvent.DISCOVERY_UNREACHABLE)
    silent_clients = SilentClients(node.address, 300)
    wait_for_file(lambda: f"/proc/{node.process.pid}/stat", lambda text: node.descriptor_count() > 60)
    rig.discovery.entries["w1"] = entry_of(rig.engines["w1"], "leaving")
    rig.discovery.version += 1
    resumed_at = rig.discovery.resume_responding()
    node.wait_for_log(LogEvent.ENGINE_STATE_CHANGED, engine="w1", engine_state="draining")
    assert time.monotonic() - resumed_at < 6.0
    ids = [f"a{i}" for i in range(10)]
    requests = [chat_request(sequence_id, remaining_ms=3000) for sequence_id in ids]
    assert [Client(node.address).send(request).read_status() for request in requests] == [200] * 10
    assert rig.engines["w2"].sequence_ids() == ids and not rig.engines["w1"].sequence_ids()
    silent_clients.close()
    node.signal("TERM")
    node.assert_clean_exit()


def test_nine_of_ten_processes_restarted_together_are_ready_within_10_s(rig: SocketRig) -> None:
    rig.start("w1")
    first_nodes = [rig.start_relay() for _ in range(9)]
    for node in first_nodes:
        node.wait_for_log(LogEvent.READY)
    for node in rig.relays:
        node.kill()
    killed_at = time.monotonic()
    restarted_nodes = [
        rig.start_relay(listen=node.address, fallback_list=rig.discovery.complete_list())
        for node in list(rig.relays)
    ]
    durations = []
    for node in restarted_nodes:
        node.wait_for_log(LogEvent.READY)
        durations.append(time.monotonic() - killed_at)
    assert len(durations) == 10 and sorted(durations)[8] < 10.0
    for node in restarted_nodes:
        assert Client(node.address).send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").read_status() == 200
