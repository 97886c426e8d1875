"""Requests whose id comes again, on another connection or the same one."""

import h11
import pytest
from relaymessages import (
    EVENT,
    LONG_PROMPT,
    READ_RESPONSE,
    RELEASE_RESPONSE,
    SETTINGS,
    STREAM_HEAD,
    chat_request,
    chunk,
    response,
)
from relayrig import PeerConnection, RawClient, RelayRig, Script, never_respond

TOKENED = {
    "Name": "keyed",
    "Effect": "deduplicated",
    "DedupScope": "cell",
    "WindowMs": 3000.0,
    "AimMs": 2000.0,
    "GiveUpMs": 5000.0,
    "Credit": 1.0,
}
WRITERS = ("w1", "w2")


def begin_stream(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
    """Act as an engine that sends a first event and no more."""
    connection.send(STREAM_HEAD + chunk(EVENT) if head.method == b"POST" else RELEASE_RESPONSE)


def run_count(rig: RelayRig) -> int:
    """Return how many writes the engines have received."""
    return sum(len(rig.engines[name].chat_requests()) for name in WRITERS if name in rig.engines)


def set_writers(rig: RelayRig, script: Script) -> None:
    """Let all writers run a script."""
    for name in WRITERS:
        if name in rig.engines:
            rig.engines[name].script = script


def leave(rig: RelayRig, client: RawClient, seconds: float = 0.2) -> None:
    """Let a client close its connection, and time pass."""
    client.transport.loseConnection()
    rig.run(seconds)


# Guards against a second effect of a request that is sent again after its client has left.
@pytest.mark.parametrize("can_cancel", [True, False])
@pytest.mark.parametrize("script", [never_respond, begin_stream], ids=["before", "after the first event"])
@pytest.mark.parametrize("seconds", [0.02, 1.0, 30.0])
def test_an_id_that_ran_does_not_run_again_after_its_client_left(
    script: Script, can_cancel: bool, seconds: float
) -> None:
    rig = RelayRig("w1 w2", Caps={**SETTINGS["Caps"], "Cancel": can_cancel})
    set_writers(rig, script)
    leave(rig, rig.request("a1", traffic="post"), seconds)
    assert run_count(rig) == 1
    set_writers(rig, rig.default_script)
    again = rig.request("a1", traffic="post")
    rig.run(0.5)
    assert run_count(rig) == 1
    assert again.statuses in ([409], [502])  # failed, and not refused: trying again is not harmless


def test_an_id_that_was_answered_does_not_run_again() -> None:
    rig = RelayRig("w1")
    client = rig.request("a1", traffic="post")
    assert client.statuses == [200]
    rig.request("a1", traffic="post", client=client)
    assert client.statuses == [200, 502] and run_count(rig) == 1
    assert rig.request("a2", traffic="post", client=client).statuses == [200, 502, 200]


def test_an_id_whose_attempt_timed_out_does_not_run_again() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    client = rig.request("a1", traffic="post", remaining_ms=300)
    rig.run(0.5)
    assert client.statuses == [502]
    assert rig.request("a1", traffic="post").statuses == [502] and run_count(rig) == 1


def test_an_id_that_may_have_run_is_not_refused_as_harmless_while_the_node_is_full() -> None:
    rig = RelayRig("w1")
    rig.request("a1", traffic="post")
    rig.node.front.max_in_flight = 0
    assert rig.request("a1", traffic="post").statuses == [502]
    assert rig.request("a2", traffic="post").statuses == [503]


def test_an_id_that_was_only_read_is_served() -> None:
    rig = RelayRig("r1 w1")
    rig.engines["r1"].script = lambda connection, head, body: (
        connection.send(RELEASE_RESPONSE) if head.method == b"DELETE" else None
    )
    leave(rig, rig.request("a1", LONG_PROMPT, traffic="post"))
    assert run_count(rig) == 0
    rig.engines["r1"].script = lambda connection, head, body: connection.send(
        READ_RESPONSE if head.method == b"POST" else RELEASE_RESPONSE
    )
    assert rig.request("a1", LONG_PROMPT, traffic="post").statuses == [200] and run_count(rig) == 1


def test_an_id_that_all_engines_turned_away_is_served() -> None:
    rig = RelayRig("w1 w2")
    set_writers(rig, lambda connection, head, body: connection.send(response(503, rejected=True)))
    client = rig.request("a1", traffic="post", remaining_ms=300)
    rig.run(1.0)
    assert client.statuses == [503]
    set_writers(rig, rig.default_script)
    rig.run(25.0)
    before = run_count(rig)
    assert rig.request("a1", traffic="post").statuses == [200] and run_count(rig) == before + 1


def test_an_id_whose_client_left_before_the_first_byte_of_its_attempt_is_served() -> None:
    rig = RelayRig("w1")
    client = rig.client()
    client.transport.other.protocol.dataReceived(chat_request("a1", traffic="post"))
    client.transport.other.protocol.connectionLost(None)  # while the attempt's connection is being made
    rig.run(0.2)
    assert run_count(rig) == 0
    assert rig.request("a1", traffic="post").statuses == [200] and run_count(rig) == 1


def test_an_id_that_may_be_repeated_is_served_again() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    leave(rig, rig.request("a1"))
    rig.engines["w1"].script = rig.default_script
    assert rig.request("a1").statuses == [200] and run_count(rig) == 2


@pytest.mark.parametrize(("seconds", "statuses"), [(0.2, [200]), (3.0, [502])], ids=["within", "after"])
def test_a_deduplicated_id_runs_again_only_in_its_group_and_window(
    seconds: float, statuses: list[int]
) -> None:
    rig = RelayRig("w1", Classes=[SETTINGS["Classes"][0], TOKENED])
    rig.engines["w1"].script = never_respond
    leave(rig, rig.request("a1", traffic="keyed"), seconds)
    rig.engines["w1"].script = rig.default_script
    again = rig.request("a1", traffic="keyed")
    rig.run(0.1)
    assert again.statuses == statuses and run_count(rig) == 1 + statuses.count(200)


def test_a_deduplicated_id_does_not_run_in_another_group() -> None:
    rig = RelayRig("w1 w2", Classes=[SETTINGS["Classes"][0], TOKENED])
    first = rig.entries["w1"]
    rig.update_list(w2=rig.entry("w2", block=1))
    set_writers(rig, never_respond)
    leave(rig, rig.request("a1", traffic="keyed"))
    ran_at = next(name for name in WRITERS if rig.engines[name].chat_requests())
    rig.update_list(**{ran_at: rig.entry(ran_at, "leaving", block=first["block"] if ran_at == "w1" else 1)})
    set_writers(rig, rig.default_script)
    again = rig.request("a1", traffic="keyed")
    rig.run(5.0)
    assert run_count(rig) == 1 and again.statuses == [502]


def test_possible_runs_take_bounded_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("myrtlehub.relay.engines.run_history.MAX_RUNS", 10)
    rig = RelayRig("w1")
    for number in range(30):
        assert rig.request(f"a{number}", traffic="post").statuses == [200]
    history = rig.node.engine_client.run_history
    assert len(history._runs) == 10 and not history._running
    assert history.find("a29") is not None and history.find("a0") is None
