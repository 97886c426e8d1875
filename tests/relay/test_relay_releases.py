"""Releases of read state: to which engines they are sent, and how often."""

import h11
from relaymessages import COMPLETE_STREAM, LONG_PROMPT, READ_RESPONSE, RELEASE_RESPONSE
from relayrig import PeerConnection, RelayRig, ScriptedPeer, never_respond
from twisted.internet import task
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from myrtlehub.http1.connection_pool import Dial
from myrtlehub.log_events import LogEvent


def test_a_client_that_disconnects_during_a_read_has_its_state_released() -> None:
    rig = RelayRig()
    rig.engines["r1"].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    client.transport.loseConnection()
    rig.run(0.3)
    assert rig.engines["r1"].chat_requests()[0].connection.lost  # closing the connection cancels the read
    # Twice, because the read may have completed after the first release.
    assert rig.engines["r1"].released_paths() == [b"/state/a1"] * 2
    assert not rig.node.executor.in_flight


def test_a_release_is_retried_on_a_new_connection_until_it_is_answered() -> None:
    rig = RelayRig()
    rig.engines["w1"].script = never_respond

    def confirm_second_release(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        if head.method == b"POST":
            connection.send(READ_RESPONSE)
        elif len(rig.engines["r1"].released_paths()) > 1:
            connection.send(RELEASE_RESPONSE)

    rig.engines["r1"].script = confirm_second_release
    client = rig.request("a1", LONG_PROMPT)
    client.transport.loseConnection()
    rig.run(0.2)
    assert rig.engines["r1"].released_paths() == [b"/state/a1"] * 2
    assert len({id(request.connection) for request in rig.engines["r1"].requests[1:]}) == 2


def test_a_cancelled_writer_has_the_state_released_twice() -> None:
    rig = RelayRig()
    rig.engines["w1"].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    client.transport.loseConnection()
    rig.run(1.0)
    assert rig.engines["r1"].released_paths() == [b"/state/a1"] * 2
    assert not rig.node.engine_client.releaser.has_outstanding_attempt("a1")


def test_a_state_whose_reader_has_ended_is_released_through_another_engine() -> None:
    """Seen in a run that replaced engines: a reader exited before a writer had fetched its state."""
    rig = RelayRig("r1 w1 w2")
    for name in ("w1", "w2"):
        rig.engines[name].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    rig.net.kill("r1:1")
    client.transport.loseConnection()
    rig.run(0.1)
    assert b"/state/a1" in rig.engines["w1"].released_paths() + rig.engines["w2"].released_paths()


def test_a_state_behind_a_partition_is_released_through_the_engine_of_latest_contact() -> None:
    """Seen in split+brink: the reader and the next three engines of the list were partitioned off."""
    for reachable in ("w2", "w5", "w6"):
        rig = RelayRig("r1 w1 w2 w3 w4 w5 w6")
        for peer in rig.engines.values():
            if peer is not rig.engines["r1"]:
                peer.script = never_respond
        client = rig.request("a1", LONG_PROMPT)
        rig.run(0.2)
        rig.engines[reachable].script = rig.default_script
        for other in rig.engines:
            if other != reachable:
                rig.net.silent.add(f"{other}:1")
        count = 0
        while not any(
            request.headers.get(b"x-txn", b"").startswith(b"b")
            for request in rig.engines[reachable].chat_requests()
        ):
            rig.request(f"b{count}", 50, remaining_ms=4000)
            count += 1
            assert count < 100
        client.transport.loseConnection()
        rig.run(0.4)
        assert b"/state/a1" in rig.engines[reachable].released_paths(), reachable


def test_a_release_unanswered_before_the_next_attempt_is_sent_again_at_the_end() -> None:
    """A state is released for lack of a writer, the reader does not respond, and a second read follows."""
    rig = RelayRig("r1 w1")
    confirms_releases = [False]

    def read(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        if head.method == b"POST":
            if len(rig.engines["r1"].chat_requests()) == 1:
                rig.update_list(w1=rig.entry("w1", "leaving"))
            connection.send(READ_RESPONSE)
        elif confirms_releases[0]:
            connection.send(RELEASE_RESPONSE)

    rig.engines["w1"].script = lambda connection, head, body: None
    rig.engines["r1"].script = read
    client = rig.request("a1", LONG_PROMPT)
    while not rig.engines["r1"].released_paths():
        rig.run(0.01)
    rig.update_list(w1=rig.entry("w1"))
    rig.run(0.5)  # the release waits for the outstanding write
    rig.engines["w1"].chat_requests()[0].connection.send(COMPLETE_STREAM)
    rig.run(0.01)
    assert client.statuses == [200] and len(rig.engines["r1"].chat_requests()) == 2
    count = len(rig.engines["r1"].released_paths())
    confirms_releases[0] = True
    rig.run(1.0)
    assert len(rig.engines["r1"].released_paths()) > count
    assert not rig.node.engine_client.releaser.is_busy() and not rig.node.executor.in_flight


def test_a_state_that_a_cut_off_reader_stores_late_is_released_once_it_can_be_reached() -> None:
    """The cancel of the read does not arrive either, and another engine confirms the releases meanwhile."""
    rig = RelayRig("r1 w1")
    rig.engines["r1"].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    reader = rig.net.hosts["r1:1"]
    rig.net.hosts["r1:1"] = ScriptedPeer(lambda connection, head, body: None)
    client.transport.loseConnection()
    rig.run(3.0)
    assert b"/state/a1" in rig.engines["w1"].released_paths()
    assert not rig.engines["r1"].released_paths() and not rig.node.engine_client.releaser.is_busy()
    rig.net.hosts["r1:1"] = reader
    rig.engines["r1"].script = rig.default_script
    rig.run(1.0)
    assert b"/state/a1" in rig.engines["r1"].released_paths()
    count = len(rig.engines["r1"].requests)
    rig.run(2.0)
    assert len(rig.engines["r1"].requests) == count  # the response of the reader ends the releases


def test_the_check_of_an_engine_that_never_answers_keeps_no_connection() -> None:
    """The engine never responds and the connection has no error, so the node must cancel the request."""
    rig = RelayRig("r1 w1")
    rig.engines["w1"].script = lambda connection, head, body: None
    rig.request("a1", LONG_PROMPT, remaining_ms=1000)
    rig.run(0.4)
    assert [request.method for request in rig.engines["w1"].requests] == [b"POST", b"GET"]
    rig.run(3.0)
    assert all(connection.lost for connection in rig.engines["w1"].connections)


def refuse_connections(rig: RelayRig, *names: str) -> dict[str, object]:
    """Make engines refuse all connections; return their peers by address, to restore them later."""
    hosts = {f"{name}:1": rig.net.hosts[f"{name}:1"] for name in names}
    for host in hosts:
        rig.net.kill(host)
    return hosts


def test_a_release_that_all_engines_reject_for_a_moment_is_sent_again() -> None:
    """The client disconnects while all engines restart and refuse connections."""
    rig = RelayRig("r1 w1")
    rig.engines["w1"].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    hosts = refuse_connections(rig, "r1", "w1")
    client.transport.loseConnection()
    rig.run(1.5)
    assert not rig.engines["r1"].released_paths() and rig.node.engine_client.releaser.is_busy()
    rig.net.hosts.update(hosts)
    rig.run(1.5)
    assert b"/state/a1" in rig.engines["r1"].released_paths() + rig.engines["w1"].released_paths()
    assert not rig.node.engine_client.releaser.is_busy()


def test_a_release_survives_a_lack_of_connections() -> None:
    """The client disconnects while all connections to engines are in use, also those for releases."""
    rig = RelayRig("r1 w1")
    rig.engines["w1"].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    rig.node.engine_connections.close_idle("r1")
    limits = [pool.max_connections for pool in rig.node.engine_connections]
    for pool in rig.node.engine_connections:
        pool.max_connections = 0
    client.transport.loseConnection()
    rig.run(1.0)
    assert not rig.engines["r1"].released_paths()
    for pool, limit in zip(rig.node.engine_connections, limits, strict=True):
        pool.max_connections = limit
    rig.run(2.0)
    assert b"/state/a1" in rig.engines["r1"].released_paths()


def never_respond_to_attempts(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
    """Act as an engine that responds to releases and arrival checks alone."""
    if head.method != b"POST":
        connection.send(RELEASE_RESPONSE)


def use_all_connections_of_attempts(rig: RelayRig, except_for: int = 0) -> None:
    """Send requests that engines do not answer, one for each connection of attempts but the last ones."""
    attempts = rig.node.engine_connections.attempts
    for number in range(attempts.max_connections - except_for):
        rig.request(f"s{number}")
    assert attempts.count == attempts.max_connections - except_for and not len(attempts.idle)


# Guards against read states that are held for seconds because streams use all connections to engines.
def test_a_state_is_released_while_attempts_use_all_connections() -> None:
    rig = RelayRig("r1 w1", descriptors=96)
    rig.engines["w1"].script = never_respond
    use_all_connections_of_attempts(rig)
    reader = rig.node.decoder.engines.index_by_address["r1"]
    rig.node.engine_client.release(reader, "a1")
    rig.run(0.05)
    assert rig.engines["r1"].released_paths() == [b"/state/a1"]
    assert not rig.node.engine_client.releaser.is_busy()


# Guards against states that are released although their write has arrived, since its check got no connection.
def test_an_arrival_is_checked_while_attempts_use_all_connections() -> None:
    rig = RelayRig("r1 w1", descriptors=96)
    rig.engines["w1"].script = never_respond_to_attempts
    use_all_connections_of_attempts(rig, except_for=1)
    rig.request("a1", LONG_PROMPT)
    rig.run(1.0)
    assert LogEvent.ATTEMPT_ARRIVED in [logged.event for logged in rig.logged]
    assert not rig.engines["r1"].released_paths()


# Guards against releases to engines that hang: they would take the connections of those to other engines.
def test_a_state_is_released_while_many_releases_are_unanswered() -> None:
    rig = RelayRig("r1 r2 w1", descriptors=96)
    rig.engines["r1"].script = rig.engines["w1"].script = lambda connection, head, body: None
    cleanup = rig.node.engine_connections.cleanup
    hanging, running = (rig.node.decoder.engines.index_by_address[name] for name in ("r1", "r2"))
    for number in range(cleanup.max_connections):
        rig.node.engine_client.release(hanging, f"h{number}")
    rig.run(0.05)
    assert cleanup.count == cleanup.max_connections
    rig.node.engine_client.release(running, "a1")
    rig.run(0.3)
    assert b"/state/a1" in rig.engines["r2"].released_paths()
    assert cleanup.count <= cleanup.max_connections


def test_a_release_that_all_engines_reject_expires_after_10_s() -> None:
    rig = RelayRig("r1 w1")
    rig.engines["w1"].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    refuse_connections(rig, "r1", "w1")
    client.transport.loseConnection()
    rig.run(9.0)
    assert rig.node.engine_client.releaser.is_busy()
    rig.run(3.0)
    assert not rig.node.engine_client.releaser.is_busy()


def test_a_state_is_released_in_time_although_its_writers_were_cut_off_unnoticed() -> None:
    """Found by the fault soak: a write that never arrives must not delay the release beyond its limit."""
    rig = RelayRig("r1 w1 w2")
    for number in range(4):
        rig.request(f"a{number}")
    rig.run(0.1)
    for pipe in rig.net.pipes:  # cut off the idle connections to writers without an error
        pipe.stalled = pipe.host == "client" and pipe.other.host in ("w1:1", "w2:1")
    dialer = rig.net.dialer

    def cut_off_dialer(address: str, who: str = "client") -> Dial:
        """Make new connections to writers fail after 0.25 s."""
        if address[0] != "w":
            return dialer(address, who)
        return lambda factory: task.deferLater(rig.clock, 0.25, Failure(ConnectError()).raiseException)

    rig.net.dialer = cut_off_dialer
    rig.request("b", LONG_PROMPT)
    rig.run(0.8)  # LetGoByMs of the settings plus 0.3 s
    assert rig.engines["r1"].chat_requests()
    assert b"/state/b" in rig.engines["r1"].released_paths()
