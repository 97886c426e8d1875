"""The discovery client: list changes, invalid entries, missing responses, and the start of a node."""

import json
import tracemalloc
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import pytest
from relaymessages import LAST_CHUNK, chunk
from relayrig import PeerConnection, RelayRig
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from myrtlehub.log_events import LogEvent
from myrtlehub.relay.discovery.discovery_client import RETRY_INTERVAL_S

Dial = Callable[[Factory], Deferred]
Dialer = Callable[..., Dial]


def test_a_change_is_applied_and_the_watch_renewed_at_once() -> None:
    rig = RelayRig("w1 w2")
    rig.update_list(w1=rig.entry("w1", "leaving"))
    assert len(rig.open_watches) == 1  # the next watch has been sent
    for i in range(6):
        rig.request(f"a{i}")
    assert not rig.engines["w1"].chat_requests() and len(rig.engines["w2"].chat_requests()) == 6
    assert b"since=2" in rig.discovery.requests[-1].target


def test_an_engine_whose_address_changed_is_reached_at_the_new_one() -> None:
    rig = RelayRig("w1")
    rig.request("a0")
    rig.net.listen("new:1", rig.engines["w1"])
    old = rig.engines["w1"].connections[0]
    rig.update_list(w1=rig.entry("w1", dial="new:1"))
    rig.run(0.1)
    assert old.lost
    assert rig.request("a1").statuses == [200]


def test_invalid_entries_do_not_end_the_watch() -> None:
    rig = RelayRig("w1")
    connection = rig.open_watches.pop()
    hosts = [{"host": 5}, None, rig.entry("x9"), rig.entry("w2")]
    rig.send_list(connection, {"seq": 2, "whole": False, "hosts": hosts})
    rig.run(0.05)
    assert len(rig.open_watches) == 1 and set(rig.node.decoder.engines.index_by_address) == {"w1", "w2"}


@pytest.mark.parametrize(
    "invalid_fields",
    [{"dial": 7}, {"class": "x"}, {"site": None}, {"share": "much"}, {"block": "b"}, {"born_ms": []}],
    ids=str,
)
@pytest.mark.parametrize("health", ["leaving", "left"])
def test_an_engine_that_leaves_gets_nothing_although_its_entry_is_invalid(
    invalid_fields: dict[str, Any], health: str
) -> None:
    rig = RelayRig("w1 w2")
    rig.update_list(w1=rig.entry("w1", health, **invalid_fields))
    for i in range(6):
        assert rig.request(f"a{i}").statuses == [200]
    assert not rig.engines["w1"].chat_requests() and len(rig.engines["w2"].chat_requests()) == 6
    connection = rig.open_watches.pop()
    # The invalid entry does not say that the engine leaves, so it is only skipped.
    rig.send_list(connection, {"seq": 9, "whole": False, "hosts": [rig.entry("w2", **invalid_fields)]})
    rig.run(0.02)
    assert rig.request("b").statuses == [200]


@pytest.mark.parametrize("health", ["leaving", "left"])
def test_an_engine_that_leaves_during_a_connect_gets_nothing(health: str) -> None:
    rig = RelayRig("w1 w2")
    delayed: list[str] = []
    dialer = rig.net.dialer

    def slow_dialer(address: str, who: str = "client") -> Dial:
        """Delay connections by 0.2 s if they are to the engine that is dialled first."""
        dial = dialer(address, who)
        if address[0] != "w" or (delayed and delayed[0] != address):
            return dial
        delayed.append(address)

        def dial_later(factory: Factory) -> Deferred:
            done = task.deferLater(rig.clock, 0.2, lambda: None)
            return done.addCallback(lambda none: dial(factory))

        return dial_later

    rig.net.dialer = slow_dialer
    client = rig.request("a1", traffic="post")
    first = delayed[0][:2]
    assert not client.statuses and not rig.engines[first].chat_requests()
    rig.update_list(**{first: rig.entry(first, health)})
    rig.run(0.4)
    assert client.statuses == [200]  # nothing was sent to the first engine, so the other one gets a retry
    assert not rig.engines[first].chat_requests() and rig.node.executor.router.estimates.engines
    other = next(name for name in ("w1", "w2") if name != first)
    assert len(rig.engines[other].chat_requests()) == 1
    assert (LogEvent.ATTEMPT_FAILED, "not_sent") in [
        (event, fields.get("reason")) for event, fields in rig.logged
    ]


def test_a_silent_discovery_is_polled_again() -> None:
    rig = RelayRig("w1")
    count = len(rig.discovery.requests)
    rig.run(8.0)
    assert len(rig.discovery.requests) > count + 1
    assert rig.request("a1").statuses == [200]


def test_the_return_of_a_silent_discovery_is_noticed_within_the_drain_grace() -> None:
    """Discovery never answers requests received while it was silent; the grace starts when it returns."""
    for silence in (3.3, 4.0, 5.21, 6.77, 8.05):
        rig = RelayRig("w1 w2")
        rig.discovery_is_silent = True
        rig.run(silence)
        rig.discovery_is_silent = False
        rig.open_watches.clear()
        rig.entries["w1"] = rig.entry("w1", "leaving")
        rig.run(0.2)
        engines = rig.node.decoder.engines
        assert engines.endpoints[engines.index_by_address["w1"]].state == "draining", silence
        count = len(rig.discovery.requests)
        assert count < 10 + 9 * silence  # a request every 120 ms
        rig.run(1.0)
        assert len(rig.discovery.requests) == count  # a watch is open, and no other request is sent


def _send_partial_response(rig: RelayRig, connection: PeerConnection) -> None:
    connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"seq":')


def _send_endless_response(rig: RelayRig, connection: PeerConnection) -> None:
    connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n{")

    def send_more() -> None:
        connection.send(b" " * 1000)
        rig.clock.callLater(0.1, send_more)

    send_more()


WATCH_FAULTS = {
    "silent": lambda rig, connection: None,
    "partial response": _send_partial_response,
    "endless response": _send_endless_response,
    "reset": lambda rig, connection: connection.transport.abortConnection(),
    "not JSON": lambda rig, connection: connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{"s'),
    "nested too deeply": lambda rig, connection: connection.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"[" * 100_000
    ),
}


@pytest.mark.parametrize("fault", WATCH_FAULTS)
@pytest.mark.parametrize("connect_time", [0.0, 0.97])
def test_a_change_is_applied_within_6_s_in_the_worst_phase_of_a_watch(
    fault: str, connect_time: float
) -> None:
    """The watch fails in different ways after it was sent, and connections to discovery are slow."""
    for phase in (0.0, 0.7, 1.9):
        rig = RelayRig("w1 w2")
        rig.update_list(w2=rig.entry("w2"))  # the next watch has just been sent
        dialer = rig.net.dialer

        def slow_dialer(
            address: str, who: str = "client", rig: RelayRig = rig, dialer: Dialer = dialer
        ) -> Dial:
            dial = dialer(address, who)
            if address != "disco:1":
                return dial
            return lambda factory: task.deferLater(rig.clock, connect_time, lambda: None).addCallback(
                lambda none: dial(factory)
            )

        rig.net.dialer = slow_dialer
        respond_at_once = rig.discovery.script
        rig.discovery.script = lambda connection, head, body, rig=rig, answer=respond_at_once: (
            rig.clock.callLater(0.05, answer, connection, head, body)
        )
        rig.run(phase)
        rig.entries["w1"] = rig.entry("w1", "leaving")  # discovery has the change from now on
        rig.version += 1
        watch = rig.open_watches.pop()
        for connection in rig.discovery.connections:
            if connection is not watch and not connection.lost:
                connection.transport.abortConnection()  # no idle connection can be reused
        WATCH_FAULTS[fault](rig, watch)
        changed_at, engines = rig.clock.seconds(), rig.node.decoder.engines
        while engines.endpoints[engines.index_by_address["w1"]].state != "draining":
            rig.run(0.05)
            assert rig.clock.seconds() < changed_at + 6.0, (fault, phase)
        assert rig.node.discovery.pool.count <= 18


def test_a_node_is_ready_with_a_fresh_list_with_or_without_a_fallback_list() -> None:
    def ready_status(rig: RelayRig) -> int:
        client = rig.client()
        client.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        rig.run(0.02)
        return client.statuses[0]

    assert ready_status(RelayRig("w1")) == 200
    rig = RelayRig("w1", with_fallback_list=False)
    assert ready_status(rig) == 200
    rig.net.kill("disco:1")


def test_a_restarted_node_does_not_use_the_fallback_list_while_discovery_has_a_newer() -> None:
    rig = RelayRig("w1 w2", silent_discovery=True)
    opened_at = []
    rig.node.on_open = lambda: opened_at.append(rig.clock.seconds())
    waiting = rig.request("a1")  # waits until the node accepts clients
    rig.run(0.3)
    assert not opened_at and not rig.engines["w1"].chat_requests() and not rig.engines["w2"].chat_requests()
    rig.entries["w1"] = rig.entry("w1", "leaving")
    rig.resume_discovery()
    rig.run(0.2)
    assert len(opened_at) == 1 and waiting.statuses == [200]
    assert not rig.engines["w1"].chat_requests() and len(rig.engines["w2"].chat_requests()) == 1


def test_a_silent_discovery_makes_a_node_use_the_fallback_list() -> None:
    rig = RelayRig("w1", silent_discovery=True)
    opened_at = []
    rig.node.on_open = lambda: opened_at.append(rig.clock.seconds())
    waiting = rig.request("a1")
    rig.run(1.2)
    assert len(opened_at) == 1 and waiting.statuses == [200]


def test_a_wall_clock_set_back_keeps_no_engine_in_slow_start_for_an_hour() -> None:
    """The wall clock was stepped back before the process started, so an engine seems to start later."""
    rig = RelayRig("w1")
    rig.update_list(w1=rig.entry("w1", born_ms=(rig.clock.seconds() + 3600.0) * 1000))
    rig.run(15.0)  # slow start ends after 10 s
    assert [rig.request(f"a{number}", remaining_ms=500).statuses for number in range(6)] == [[200]] * 6


def test_watches_that_are_answered_at_once_without_a_change_are_not_repeated_without_a_pause() -> None:
    """Guards against a discovery service that takes all of the node's time with responses without content."""
    rig = RelayRig("w1 w2")

    def respond_at_once(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        rig.send_list(connection, {"seq": rig.version, "whole": False, "hosts": []})

    default_script = rig.discovery.script
    rig.discovery.script = respond_at_once
    respond_at_once(
        rig.open_watches.pop(), h11.Request(method="GET", target="/", headers=[("Host", "x")]), b""
    )
    requests_before = len(rig.discovery.requests)
    rig.run(1.0)
    assert len(rig.discovery.requests) - requests_before <= 1.0 / RETRY_INTERVAL_S + 1
    rig.discovery.script = default_script
    rig.run(0.2)  # a watch continues if the next one comes within 200 ms of the last response
    rig.update_list(w1=rig.entry("w1", "leaving"))
    for number in range(4):
        rig.request(f"a{number}")
    assert not rig.engines["w1"].chat_requests() and len(rig.engines["w2"].chat_requests()) == 4


def test_a_list_in_tiny_chunks_takes_little_more_memory_than_its_size_and_is_applied() -> None:
    """Guards against an object for each chunk: 200 KB of a list took 8.4 MB of memory."""
    rig = RelayRig("w1")
    connection = rig.open_watches.pop()
    body = json.dumps({"seq": 2, "whole": False, "hosts": [rig.entry("w2")]}).encode()
    padding = b" " * 200_000
    connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    rig.run(0.01)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for position in range(0, len(padding), 1000):
        connection.send(b"".join(chunk(b"%c" % byte) for byte in padding[position : position + 1000]))
        rig.run(0.002)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    connection.send(chunk(body) + LAST_CHUNK)
    rig.run(0.05)
    assert after - before < 2 * len(padding)
    assert set(rig.node.decoder.engines.index_by_address) == {"w1", "w2"}


class SlowDiscovery:
    """Discovery that answers as the protocol says, but sends each response late."""

    def __init__(self, rig: RelayRig, delay: float) -> None:
        self.rig = rig
        self.delay = delay
        self.watches: dict[PeerConnection, int] = {}  # the version since which changes are requested
        rig.discovery.script = self.respond

    def respond(self, connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        """Respond with the complete list, or to a watch."""
        query = parse_qs(urlsplit(head.target.decode()).query)
        if "since" not in query:
            self.send_late(connection, {**self.rig.complete_list(), "seq": self.rig.version})
            return
        self.watches[connection] = int(query["since"][0])
        if self.watches[connection] < self.rig.version:
            self.end_watch(connection)
        else:
            self.rig.clock.callLater(int(query["timeout_ms"][0]) / 1000, self.end_watch, connection)

    def end_watch(self, connection: PeerConnection) -> None:
        """Respond to a watch with all entries if the list has changed, else with none."""
        since = self.watches.pop(connection, None)
        if since is not None:
            hosts = list(self.rig.entries.values()) if since < self.rig.version else []
            self.send_late(connection, {"seq": self.rig.version, "whole": False, "hosts": hosts})

    def change(self, **entries: dict[str, object]) -> None:
        """Change entries of the list."""
        self.rig.entries.update(entries)
        self.rig.version += 1
        for connection in list(self.watches):
            self.end_watch(connection)

    def send_late(self, connection: PeerConnection, message: dict[str, object]) -> None:
        """Send a message, composed now, after the delay."""

        def send() -> None:
            if not connection.lost:
                self.rig.send_list(connection, message)

        self.rig.clock.callLater(self.delay, send)


# Guards against a discovery whose responses are late, so that none is ever used and no drain is heard of.
@pytest.mark.parametrize("delay", [0.9, 1.1, 1.5, 2.5, 3.0])
def test_a_change_is_applied_within_6_s_although_each_response_is_late(delay: float) -> None:
    for phase in (0.0, 0.3, 1.0, 1.9, 2.1, 2.9, 3.1, 4.2, 6.5):
        rig = RelayRig("w1 w2")
        discovery = SlowDiscovery(rig, delay)
        rig.update_list(w2=rig.entry("w2"))
        rig.run(10.0 + phase)
        discovery.change(w1=rig.entry("w1", "leaving"))
        changed_at, engines = rig.clock.seconds(), rig.node.decoder.engines
        while engines.endpoints[engines.index_by_address["w1"]].state != "draining":
            rig.run(0.05)
            assert rig.clock.seconds() < changed_at + 6.0, phase
        assert rig.node.discovery.pool.count <= 18


def test_a_slow_discovery_is_asked_for_few_complete_lists() -> None:
    rig = RelayRig("w1")
    SlowDiscovery(rig, 1.5)
    rig.update_list(w1=rig.entry("w1"))
    rig.run(60.0)
    complete = [request for request in rig.discovery.requests if b"since" not in request.target]
    assert len(complete) < 120
