"""Checks and headers just before the first byte of an attempt is sent, after a slow connect."""

import pytest
from relaymessages import COMPLETE_STREAM, SETTINGS, chat_request
from relayrig import RelayRig, never_respond
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from myrtlehub.http1.connection_pool import Dial

SLOW_CONNECT_S = 0.2  # shorter than the connect timeout of the settings
CLIENT_TIME_MS = 1000
DEDUPLICATED = {"Name": "keep", "Effect": "deduplicated", "DedupScope": "all", "WindowMs": 1000.0}


def rig_with_slow_connects(
    engines: str = "w1", delay: float = SLOW_CONNECT_S, **settings: object
) -> RelayRig:
    """Return a rig in which it takes `delay` seconds to establish a connection to an engine."""
    rig = RelayRig(engines, **settings)
    dialer = rig.net.dialer

    def slow_dialer(address: str, who: str = "client") -> Dial:
        dial = dialer(address, who)
        if address[0] not in "rw":
            return dial

        def dial_later(factory: Factory) -> Deferred:
            done = task.deferLater(rig.clock, delay, lambda: None)
            return done.addCallback(lambda none: dial(factory))

        return dial_later

    rig.net.dialer = slow_dialer
    return rig


def test_the_remaining_time_stated_to_an_engine_is_that_at_the_first_byte() -> None:
    rig = rig_with_slow_connects()
    rig.request("a1", remaining_ms=CLIENT_TIME_MS)
    rig.run(0.5)
    stated_ms = int(rig.engines["w1"].chat_requests()[0].headers[b"x-remaining-ms"])
    left_ms = CLIENT_TIME_MS - SLOW_CONNECT_S * 1000
    assert left_ms - 60 <= stated_ms <= left_ms


def test_nothing_is_sent_after_the_deadline_although_its_timer_is_late() -> None:
    rig = rig_with_slow_connects()
    client = rig.request("a1", remaining_ms=150)
    for sequence in rig.node.executor.in_flight.values():
        sequence.attempts[0].stop_timer()
    rig.node.executor.router._place_waiting = lambda now: None  # the router's wake-ups have no effect
    rig.run(SLOW_CONNECT_S + 0.02)
    assert not rig.engines["w1"].chat_requests()
    assert rig.node.monitor.counter.withheld == {"time left": 1}
    rig.run(0.5)
    assert client.statuses == [503]


def test_nothing_is_sent_to_an_engine_that_is_found_to_be_in_slow_start() -> None:
    """Discovery reports the restart while a connection to the engine is being established."""
    rig = rig_with_slow_connects("w1 w2")
    rig.engines["w1"].script = rig.engines["w2"].script = never_respond
    for number in range(12):
        rig.request(f"a{number}", traffic="post")
    now_ms = rig.clock.seconds() * 1000
    restarted = {name: rig.entry(name, born_ms=now_ms) for name in ("w1", "w2")}
    rig.update_list(**restarted)
    rig.run(SLOW_CONNECT_S + 0.05)
    sent = len(rig.engines["w1"].chat_requests() + rig.engines["w2"].chat_requests())
    withheld = rig.node.monitor.counter.withheld["slow start"]
    assert withheld >= 6 and sent <= 3


@pytest.mark.parametrize(("suspended_s", "is_sent"), [(0.0, True), (0.6, False)])
def test_a_retry_is_not_sent_once_its_dedup_window_is_over(suspended_s: float, is_sent: bool) -> None:
    """The process is suspended after the decision to retry, before the connection is established."""
    deduplicated = {**SETTINGS["Classes"][0], **DEDUPLICATED}
    rig = rig_with_slow_connects("w1 w2", delay=0.01, Classes=[deduplicated, SETTINGS["Classes"][1]])
    engines = [rig.engines["w1"], rig.engines["w2"]]
    for engine in engines:
        engine.script = never_respond
    rig.request("a1", traffic="keep")
    rig.run(0.3)
    first = next(engine for engine in engines if engine.chat_requests())
    first.connections[-1].transport.abortConnection()
    rig.clock.advance(0)  # the node reads the reset and decides to retry
    rig.clock.rightNow += suspended_s
    rig.run(0.1)
    sent = sum(len(engine.chat_requests()) for engine in engines)
    assert sent == 1 + is_sent
    assert rig.node.monitor.counter.withheld["may run"] == (not is_sent)


def test_the_time_of_a_pipelined_request_counts_from_its_own_last_byte() -> None:
    """The second request waits at the node until the stream of the first one ends."""
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    client = rig.client()
    client.send(chat_request("a1", remaining_ms=3000) + chat_request("a2", remaining_ms=3000))
    rig.run(1.0)
    rig.engines["w1"].chat_requests()[0].connection.send(COMPLETE_STREAM)
    rig.run(0.3)
    second = rig.engines["w1"].chat_requests()[1]
    assert second.headers[b"x-txn"] == b"a2"
    assert int(second.headers[b"x-remaining-ms"]) <= 2000


def test_a_pipelined_request_past_its_deadline_is_rejected_unsent() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    client = rig.client()
    client.send(chat_request("a1", remaining_ms=3000) + chat_request("a2", remaining_ms=800))
    rig.run(1.0)
    rig.engines["w1"].chat_requests()[0].connection.send(COMPLETE_STREAM)
    rig.run(0.1)
    assert client.statuses == [200, 503] and len(rig.engines["w1"].chat_requests()) == 1
