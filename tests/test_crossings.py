"""Rare moments of the relay on real sockets: each test forces two things to cross, and says which."""

import json
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from relayrig import DONE, EVENT, HEAD, RELEASED, SETTINGS, USAGE, WHOLE, chat, chunk
from socketrig import ROOT, WITHIN, Client, Crowd, Incoming, Rig, Wire, line_of, run_line, until

LONG = 2000  # prompt tokens from which a reader is used
LAST = b"0\r\n\r\n"


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path)
    yield made
    made.close()


def stalled(seconds: float) -> None:
    """The time for which a stopped process is held: what is tried, not what is waited for."""
    time.sleep(seconds)


def deaf(wire: Wire, request: Incoming) -> None:
    """An engine that takes all and answers nothing."""


# -- clients that leave -------------------------------------------------------------------------------


def test_a_client_that_sends_much_behind_its_request_and_goes_is_seen_to_go(rig: Rig) -> None:
    """Crossing: its end lies behind bytes that wait for an open request."""
    node = rig.peopled("w1 w2")
    rig.discovery.change(w1="leaving", w2="leaving")
    node.said("engine", engine="w2", standing="draining")
    Client(node.address).say(chat("a1", left=12000) + b"x" * 400_000).close()
    node.said("answer", seq="a1", answer="left")
    rig.discovery.change(w1="active", w2="active")
    node.said("engine", engine="w2", standing="serving")
    assert Client(node.address).say(chat("a2")).status() == 200
    assert rig.engines["w1"].labels() + rig.engines["w2"].labels() == ["a2"]


def test_whole_requests_ahead_are_answered_in_turn_and_a_flood_behind_them_with_413(rig: Rig) -> None:
    node = rig.peopled("w1")
    client = Client(node.address)
    node.stop()
    client.say(
        chat("a1") + chat("a2") + b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 200000\r\n\r\n" + b"x" * 60_000
    )
    node.go_on()
    assert client.status() == 200
    client.until(LAST)
    client.say(b"x" * 140_000 + b"y" * 600_000)
    assert client.status() == 200
    client.until(LAST)
    assert 400 <= client.status() <= 413
    assert client.rest() == b""
    assert rig.engines["w1"].labels() == ["a1", "a2"]


def test_a_client_that_left_while_the_node_was_held_up_gets_no_attempt(rig: Rig) -> None:
    """Crossing: its request and its end lie in the kernel together, beside a kept connection."""
    node = rig.peopled("w1")
    first = Client(node.address).say(chat("a0"))
    first.until(LAST)
    node.stop()
    gone = [Client(node.address).say(chat(f"b{i}")) for i in range(8)]
    for client in gone:
        client.close()
    stalled(0.2)
    node.go_on()
    for i in range(8):
        node.said("answer", seq=f"b{i}", answer="left")
    assert Client(node.address).say(chat("a1")).status() == 200
    assert rig.engines["w1"].labels() == ["a0", "a1"]


def test_an_engine_that_drains_between_a_decision_and_its_first_byte_gets_nothing(rig: Rig) -> None:
    """Crossing: word that it drains lies in the kernel, older than the grace, beside a request."""
    node = rig.peopled("w1")
    client = Client(node.address).say(chat("a0"))
    client.until(LAST)
    node.stop()
    client.say(chat("a1", left=1500))
    rig.discovery.change(w1="leaving")
    stalled(0.4)
    node.go_on()
    assert client.status() == 503
    assert rig.engines["w1"].labels() == ["a0"]


def test_what_was_due_while_the_node_was_held_up_is_answered_at_once(rig: Rig) -> None:
    """Crossing: its abandon time passes while the process is stopped."""
    node = rig.peopled("w1")
    rig.engines["w1"].script = deaf
    client = Client(node.address).say(chat("a1", left=600))
    rig.engines["w1"].next(b"POST")
    node.stop()
    stalled(0.8)
    at = time.monotonic()
    node.go_on()
    assert client.status() == 503
    assert time.monotonic() - at < 0.5  # half a second after its time a request is lost


# -- answers under a close ----------------------------------------------------------------------------


def test_the_last_answer_is_read_by_a_client_that_still_sends(rig: Rig) -> None:
    """Crossing: bytes lie unread, and more come, as the connection is closed."""
    node = rig.peopled("w1")
    client = Client(node.address)
    node.stop()
    client.say(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 200_000
    )
    node.go_on()
    assert client.status() == 413
    client.say(b"x" * 100_000)
    assert client.rest(stays=True) == b""  # an end, and no reset
    client.say(b"x" * 1000)
    assert client.sock.getsockopt(1, 4) == 0  # SOL_SOCKET, SO_ERROR: nor after it


def test_a_request_on_a_connection_that_drains_is_never_sent_on(rig: Rig) -> None:
    """Crossing: it is written after the node's end of a resting connection was read, before it closed."""
    node = rig.peopled("w1")
    client = Client(node.address).say(chat("a1"))
    client.until(LAST)
    node.signal("TERM")
    assert client.rest(stays=True) == b""
    client.say(chat("a2"))
    assert client.sock.getsockopt(1, 4) == 0  # no reset: what was answered before stays readable
    client.close()
    node.ends_well()
    assert rig.engines["w1"].labels() == ["a1"]


def test_connections_that_linger_count_and_leave(rig: Rig) -> None:
    """Crossing: clients that were told off keep their ends open, as many as there are descriptors."""
    node = rig.peopled("w1", descriptors=128)
    base = node.descriptors()
    bad = []
    for _ in range(200):
        bad.append(Client(node.address).say(b"nonsense\r\n\r\n"))
        assert bad[-1].status() == 400
        assert node.descriptors() <= 128
    good = Client(node.address).say(chat("a1"))
    assert good.status() == 200
    until(lambda: f"/proc/{node.process.pid}/limits", lambda text: node.descriptors() <= base + 3)
    node.signal("TERM")
    node.ends_well()


# -- SIGTERM ------------------------------------------------------------------------------------------


def test_half_a_request_at_sigterm_is_still_owed_its_answer(rig: Rig) -> None:
    """Crossing: its first bytes were read before the signal, its last one comes after the port has closed."""
    node = rig.peopled("w1")
    client = Client(node.address).say(chat("a1")[:-5])
    node.unread(client, 0)
    node.signal("TERM")
    node.refuses()
    assert node.ended(within=0.45) is None  # it would have ended 0.3 s after its port; half of 2 s are left
    client.say(chat("a1")[-5:])
    assert client.status() == 200
    assert client.rest().endswith(LAST)
    node.ends_well()


def test_who_is_accepted_as_the_port_closes_is_heard(rig: Rig) -> None:
    """Crossing: it connects while the node is held up, and is accepted in the turn that closes the port."""
    node = rig.peopled("w1")
    held = Client(node.address).say(chat("a0", left=3000))
    held.until(LAST)
    node.signal("TERM")
    assert held.rest() == b""
    held.close()
    node.stop()
    late = [Client(node.address).say(chat(f"b{i}")) for i in range(5)]
    stalled(0.7)
    node.go_on()
    assert [c.status() for c in late] == [200] * 5
    node.ends_well()


def test_releases_are_told_to_their_end_before_the_process_goes(rig: Rig) -> None:
    """Crossing: the last client leaves after the port has closed, and no engine answers the word of it."""
    node = rig.peopled("r1 w1")
    told = []
    rig.engines["w1"].script = lambda wire, request: (
        told.append(request) if request.method == b"DELETE" else None
    )
    read = rig.engines["r1"].by_default
    rig.engines["r1"].script = lambda wire, request: (
        told.append(request) if request.method == b"DELETE" else read(wire, request)
    )
    client = Client(node.address).say(chat("a1", LONG))
    rig.engines["w1"].next(b"POST")
    node.signal("TERM")
    node.refuses()
    client.close()
    node.ends_well()
    # the word itself, at the reader twice and then at the writer, and all of it again: it may have come early
    assert len(told) == 6 and {r.target for r in told} == {b"/state/a1"}


def test_a_release_that_is_answered_lets_the_process_go(rig: Rig) -> None:
    node = rig.peopled("r1 w1")
    rig.engines["w1"].script = lambda wire, request: (
        wire.say(RELEASED) if request.method == b"DELETE" else None
    )
    client = Client(node.address).say(chat("a1", LONG))
    rig.engines["w1"].next(b"POST")
    node.signal("TERM")
    node.refuses()
    client.close()
    node.ends_well()
    assert rig.engines["r1"].labels(b"DELETE") == ["a1", "a1"]


def test_a_client_that_takes_its_answer_slowly_gets_the_end_of_it(rig: Rig) -> None:
    """Crossing: its stream is whole at the node and lies in the process, as SIGTERM comes."""
    node = rig.peopled("w1")
    big = b'data: {"choices":[{"delta":{"content":"' + b"y" * 60_000 + b'"}}]}\n\n'
    rig.engines["w1"].script = lambda wire, request: wire.say(
        HEAD + chunk(big) * 120 + chunk(USAGE + DONE) + LAST
    )
    client = Client(node.address, window=4096).say(chat("a1"))
    taken = 0
    while not node.has_said("answer", seq="a1", answer="generated"):
        taken += len(client.sock.recv(16384))
    node.signal("TERM")
    assert node.ended(within=1.2) is None
    tail = client.rest()
    assert tail.endswith(chunk(USAGE + DONE) + LAST) and taken + len(tail) > 120 * len(big)
    node.ends_well()


def test_a_stream_that_is_written_goes_on_to_its_end_after_sigterm(rig: Rig) -> None:
    node = rig.peopled("w1")
    rig.engines["w1"].script = lambda wire, request: wire.say(HEAD + chunk(EVENT))
    client = Client(node.address).say(chat("a1"))
    client.until(EVENT)
    node.signal("TERM")
    node.refuses()
    for _ in range(3):
        rig.engines["w1"].wires[0].say(chunk(EVENT))
        client.until(EVENT)  # each is there before the next is written: nothing is held back or lumped
    rig.engines["w1"].wires[0].say(chunk(DONE) + LAST)
    assert client.rest().endswith(LAST)
    node.ends_well()


def test_sigterm_before_the_first_list_answers_who_already_waits(rig: Rig) -> None:
    """Crossing: nobody was accepted yet, as discovery is silent."""
    node = rig.peopled("w1", silent=True)
    until(lambda: "/proc/net/tcp", lambda text: f":{int(node.address.rpartition(':')[2]):04X} " in text)
    client = Client(node.address).say(chat("a1", left=1500))
    rig.discovery.next()
    node.signal("TERM")
    assert client.status() == 503
    assert client.rest() == b""
    node.ends_well()


def test_more_signals_during_a_drain_change_nothing_but_where_discovery_is(rig: Rig) -> None:
    node = rig.peopled("w1")
    rig.engines["w1"].script = deaf
    client = Client(node.address).say(chat("a1", left=4500))
    rig.engines["w1"].next(b"POST")
    node.signal("TERM", "TERM", "INT")
    node.refuses()
    node.path.write_text("{")
    node.signal("HUP")
    assert "not JSON" in node.said("configuration kept")["why"]
    node.signal("TERM")
    rig.engines["w1"].wires[0].say(WHOLE)
    assert client.status() == 200
    assert client.rest().endswith(LAST)
    node.ends_well()


# -- SIGHUP -------------------------------------------------------------------------------------------


def test_sighup_to_a_process_that_has_just_started_does_not_end_it(rig: Rig) -> None:
    """Crossing: it comes before any line of ours has run."""
    rig.peopled("w1")
    node = rig.relay(argv=run_line())
    until(lambda: f"/proc/{node.process.pid}/cmdline", lambda text: not text.startswith("/bin/sh"))
    node.signal("HUP")
    node.said("ready")
    node.signal("TERM")
    node.ends_well()


def test_sighup_follows_discovery_and_says_what_of_the_file_waits_for_a_restart(rig: Rig) -> None:
    node = rig.peopled("w1")
    there = rig.discovery
    rig.peopled("w2")
    settings = {**node.told["settings"], "OverShareWorth": 0.7}
    node.tell(discovery=rig.discovery.address, settings=settings, limits={"sockets": 300})
    node.signal("HUP")
    said = node.said("configuration read")
    assert said["discovery"] == rig.discovery.address and said["not_applied"] == ["limits", "settings"]
    node.said("engine", engine="w2", standing="serving")
    node.said("engine", engine="w1", standing="gone")
    there.change(w1="active")
    client = Client(node.address)
    assert client.say(chat("a1")).status() == 200
    assert rig.engines["w2"].labels() == ["a1"]


def test_a_half_written_file_at_sighup_is_kept_out_and_the_whole_one_taken(rig: Rig) -> None:
    node = rig.peopled("w1")
    whole = node.path.read_text()
    node.path.write_text(whole[: len(whole) // 2])
    node.signal("HUP")
    node.said("configuration kept")
    node.path.write_text(whole)
    node.signal("HUP")
    assert node.said("configuration read")["not_applied"] == []
    assert Client(node.address).say(chat("a1")).status() == 200


@pytest.mark.parametrize(
    ("told", "key"),
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
def test_an_unusable_configuration_is_one_line_with_file_key_and_fix(
    tmp_path: Path, told: dict, key: str
) -> None:
    path = tmp_path / "config.json"
    if isinstance(told.get("settings"), dict):
        told = {"settings": {**SETTINGS, **told["settings"]}}
    here = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    path.write_text(json.dumps({**here, **told}))
    done = subprocess.run(
        [sys.executable, "-m", "myrtlehub.relay"],
        capture_output=True,
        text=True,
        check=False,
        env={"RELAY_CONFIG": str(path)},
        cwd=ROOT,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1, done.stderr
    assert f"{path}: {key}" in done.stderr and "; " in done.stderr  # where, what, and what to do


# -- discovery ----------------------------------------------------------------------------------------


def test_the_return_of_discovery_is_heard_while_idle_clients_fill_the_descriptors(rig: Rig) -> None:
    """Crossing: as many connections as the process may have descriptors, and more that wait, all silent."""
    node = rig.peopled("w1 w2", descriptors=128)
    rig.discovery.fall_silent()
    node.said("discovery does not answer")
    crowd = Crowd(node.address, 300)
    until(lambda: f"/proc/{node.process.pid}/stat", lambda text: node.descriptors() > 60)
    rig.discovery.lines["w1"] = line_of(rig.engines["w1"], "leaving")
    rig.discovery.version += 1
    back = rig.discovery.come_back()
    node.said("engine", engine="w1", standing="draining")
    assert time.monotonic() - back < 6.0
    assert [Client(node.address).say(chat(f"a{i}", left=3000)).status() for i in range(10)] == [200] * 10
    assert rig.engines["w2"].labels() == [f"a{i}" for i in range(10)] and not rig.engines["w1"].labels()
    crowd.close()
    node.signal("TERM")
    node.ends_well()


def test_nine_in_ten_processes_that_are_started_together_again_are_ready_within_10_s(rig: Rig) -> None:
    rig.peopled("w1")
    first = [rig.relay() for _ in range(9)]
    for node in first:
        node.said("ready")
    for node in rig.relays:
        node.kill()
    at = time.monotonic()
    again = [rig.relay(listen=node.address, known=rig.discovery.whole()) for node in list(rig.relays)]
    took = []
    for node in again:
        node.said("ready")
        took.append(time.monotonic() - at)
    assert len(took) == 10 and sorted(took)[8] < 10.0
    for node in again:
        assert Client(node.address).say(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200


# -- engines ------------------------------------------------------------------------------------------


def test_a_once_only_request_whose_last_byte_left_does_not_go_again(rig: Rig) -> None:
    """Crossing: the engine has read all of it, and breaks the connection without a word."""
    node = rig.peopled("w1 w2")
    for name in ("w1", "w2"):
        rig.engines[name].script = lambda wire, request: wire.reset()
    client = Client(node.address).say(chat("a1", traffic="post"))
    assert client.status() == 502
    assert len(rig.engines["w1"].labels() + rig.engines["w2"].labels()) == 1


def test_a_second_answer_that_comes_late_is_never_the_next_requests_answer(rig: Rig) -> None:
    """Crossing: it comes while the connection lies unused, and the next request comes in the same turn."""
    node = rig.peopled("w1")
    first = Client(node.address).say(chat("a0"))
    first.until(LAST)
    node.stop()
    rig.engines["w1"].wires[0].say(HEAD + chunk(b"data: other\n\n") + LAST)
    second = Client(node.address).say(chat("a1"))
    stalled(0.1)
    node.go_on()
    assert b"other" not in second.until(LAST)
    assert rig.engines["w1"].labels() == ["a0", "a1"] and len(rig.engines["w1"].wires) == 2


def test_an_endless_answer_ends_as_possibly_run_and_its_connection_closed(rig: Rig) -> None:
    node = rig.peopled("w1")
    rig.engines["w1"].script = lambda wire, request: wire.say(b"HTTP/1.1 200 OK\r\nX-Y: " + b"z" * 4_000_000)
    client = Client(node.address).say(chat("a1", traffic="post"))
    assert client.status() == 502
    assert rig.engines["w1"].wires[0].over.wait(WITHIN)


# -- what bad clients leave ---------------------------------------------------------------------------


def test_bad_requests_get_their_4xx_and_give_back_descriptors_and_memory(rig: Rig) -> None:
    node = rig.peopled("w1", descriptors=200)
    assert Client(node.address).say(chat("a0")).status() == 200
    base, memory = node.descriptors(), node.memory()
    chunked = chat().partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    deep = b'{"messages":' + b"[" * 60_000
    kinds = {
        b"nonsense\r\n\r\n": 400,
        chat(body=b"[" * 60_000): 400,
        chat(body=deep): 400,
        chat(more=b"X-A: " + b"y" * 30_000 + b"\r\n"): 431,
        chunked + chunk(b"x" * 200_000) * 2: 413,
        chat()[:-3]: 408,
        b"POST /v1/ch": 408,
    }
    for _ in range(4):
        crowd = [(Client(node.address).say(said), status) for said, status in kinds.items()]
        good = Client(node.address).say(chat(f"a{time.monotonic()}"))
        assert good.status() == 200
        for client, status in crowd:
            assert client.status() == status
            client.close()
        good.close()
    until(lambda: "/proc/self/stat", lambda text: node.descriptors() <= base + 2)
    assert node.memory() < memory + 12.0  # MB; what a thousand of the largest leave is not kept
    node.signal("TERM")
    node.ends_well()
