"""More requests than the node has time to place: placements advance the clock of an in-memory network."""

import pytest
from relaymessages import LONG_PROMPT, chat_request
from relayrig import RawClient, RelayRig

from myrtlehub.http1.bounds import MAX_LATE_DATA_EXTENSION_S, REQUEST_TIMEOUT_S
from myrtlehub.routing.policy.admission import MAX_WAIT_SHARE
from myrtlehub.routing.policy.router import MAX_PLACEMENT_TIME_SHARE
from myrtlehub.routing.records import Engine, NotPlaced, Sequence

REMAINING_S = 1.0
FULL_RESPONSE = b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
LATE_LIMIT_S = 0.5  # after its time, from which the platform counts a request as lost
STEP_S = 0.01
PARSE_STEP_S = 0.1


class SlowParser:
    """Another connection whose data takes a while to parse."""

    def __init__(self, rig: RelayRig) -> None:
        self.rig = rig

    def parse_step(self) -> bool:
        """Parse all of the data."""
        self.rig.clock.rightNow += PARSE_STEP_S
        return False

    def pause_input(self) -> None:
        """Do nothing."""

    def resume_input(self) -> None:
        """Do nothing."""

    def abort_parsing(self) -> None:
        """Do nothing."""


def delay_parsing(rig: RelayRig, seconds: float) -> None:
    """Let other connections delay the parsing of data that arrives now."""
    for _ in range(round(seconds / PARSE_STEP_S)):
        rig.node.listener.parse_scheduler.data_received(SlowParser(rig))


def receive(client: RawClient, data: bytes) -> None:
    """Let the node receive data from a client now, without a turn of the event loop before it."""
    client.transport.other.protocol.dataReceived(data)


def slow_down_placements(rig: RelayRig, seconds: float) -> None:
    """Let each placement that compares engines take some time of the node."""
    router = rig.node.executor.router
    run_stages = router._run_stages

    def run_slowly(sequence: Sequence, now: float) -> Engine | NotPlaced:
        if sequence.state_engine is None:
            rig.clock.rightNow += seconds
        return run_stages(sequence, now)

    router._run_stages = run_slowly


def seconds_until_answered(rig: RelayRig, clients: list[RawClient]) -> list[float]:
    """Run until each client has an answer or its request is lost; return the seconds until its first byte."""
    sent_at = rig.clock.seconds()
    answered_after: dict[RawClient, float] = {}
    while rig.clock.seconds() - sent_at < REMAINING_S + 2 * LATE_LIMIT_S:
        rig.run(STEP_S)
        for client in clients:
            if client.received:
                answered_after.setdefault(client, rig.clock.seconds() - sent_at)
    return [answered_after.get(client, float("inf")) for client in clients]


# Guards against requests that are read and answered late, since placing others takes all of the node's time.
@pytest.mark.parametrize("placement_s", [0.03, 0.1])
def test_requests_are_answered_in_time_however_long_a_placement_takes(placement_s: float) -> None:
    rig = RelayRig("r1 r2 w1 w2", descriptors=1024)
    slow_down_placements(rig, placement_s)
    clients = [rig.client() for _ in range(100)]
    for number, client in enumerate(clients):
        client.send(chat_request(f"a{number}", LONG_PROMPT, remaining_ms=int(REMAINING_S * 1000)))
    seconds = seconds_until_answered(rig, clients)
    assert max(seconds) < REMAINING_S + LATE_LIMIT_S
    served = sum(200 in client.statuses for client in clients)
    time_for_placements = MAX_PLACEMENT_TIME_SHARE * MAX_WAIT_SHARE * REMAINING_S
    assert served >= 0.5 * time_for_placements / placement_s
    assert {status for client in clients for status in client.statuses} == {200, 503}


# Guards against idle time in a burst: postponed sequences have to be placed as soon as there is time again.
def test_a_burst_is_placed_in_little_more_than_the_time_that_it_takes() -> None:
    rig = RelayRig("w1 w2", descriptors=1024)
    slow_down_placements(rig, 0.002)
    clients = [rig.client() for _ in range(60)]
    for number, client in enumerate(clients):
        client.send(chat_request(f"a{number}"))
    seconds = seconds_until_answered(rig, clients)
    assert max(seconds) < 60 * 0.002 / MAX_PLACEMENT_TIME_SHARE + 2 * STEP_S
    assert rig.node.placement_budget.refused_count > 0


# Guards against sequences that wait for an engine: placing them again and again must not delay new requests.
def test_requests_are_read_in_time_while_many_sequences_wait() -> None:
    rig = RelayRig("r1 w1", descriptors=1024)
    rig.engines["w1"].script = lambda connection, head, body: connection.send(FULL_RESPONSE)
    slow_down_placements(rig, 0.03)
    clients = [rig.request(f"a{number}", LONG_PROMPT, remaining_ms=1000) for number in range(100)]
    last = rig.client()
    last.send(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n")
    assert seconds_until_answered(rig, [last])[0] < 0.2
    assert all(client.statuses == [503] for client in clients)


# Guards against a 408 for a request that has arrived completely and waits to be parsed behind others.
def test_a_request_that_arrived_in_time_is_not_rejected_as_incomplete() -> None:
    rig = RelayRig("w1")
    client = rig.client()
    delay_parsing(rig, 1.5 * REQUEST_TIMEOUT_S)
    receive(client, chat_request("a1", remaining_ms=4000))
    rig.run(2 * REQUEST_TIMEOUT_S)
    assert client.statuses == [200]


# Guards against clients that stop within a request and stay, whose timeout must not be extended for ever.
def test_an_incomplete_request_is_rejected_although_it_was_parsed_late() -> None:
    rig = RelayRig("w1")
    client = rig.client()
    delay_parsing(rig, 1.2 * REQUEST_TIMEOUT_S)
    receive(client, chat_request("a1")[:-1])
    rig.run(1.5 * REQUEST_TIMEOUT_S)
    assert client.statuses == [408]


# Guards against a body that never ends and always leaves something to parse, which extended its timeout.
def test_a_body_without_end_that_takes_long_to_parse_is_rejected() -> None:
    rig = RelayRig("w1")
    client = rig.client()
    head = chat_request("a1").partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    receive(client, head)
    began_at = rig.clock.seconds()
    while not client.received and rig.clock.seconds() < began_at + 3 * REQUEST_TIMEOUT_S:
        delay_parsing(rig, 4 * PARSE_STEP_S)
        receive(client, b"1\r\nx\r\n")
        rig.run(PARSE_STEP_S)
    assert client.statuses == [408]
    late_s = rig.clock.seconds() - began_at - REQUEST_TIMEOUT_S
    assert late_s < MAX_LATE_DATA_EXTENSION_S + 8 * PARSE_STEP_S
