"""Faults at each message boundary of a sequence: connection reset, stalled link, crash of a process."""

from collections import Counter

import pytest
from fleet import ChatCallWatcher, Fleet
from fleet_checks import check_rules
from memnet import Pipe

from myrtlehub.rpc.transport_limits import TransportLimits

FAULTS = ("reset", "stall", "crash")
READER_STATE_TIMEOUT = 3.0  # seconds after which a reader frees a read state that was not released


def start_sequence(traffic: str) -> tuple[Fleet, ChatCallWatcher]:
    """Send a sequence that needs a reader and a writer.

    The connections are established before, so that only the sequence's own messages count as boundaries.
    """
    fleet = Fleet("R0 W0 W0", read_rate=30000.0)
    first = fleet.generate("ask", prompt=3000, output=10)
    fleet.run(1.5)
    assert first.answer == "generated"
    fleet.net.delivery_count = 0
    return fleet, fleet.generate(traffic, prompt=3000, output=24, time_left=2.0, timeout=6.0)


def inject(fleet: Fleet, caller: ChatCallWatcher, fault: str, pipe: Pipe) -> str:
    """Inject a fault into the connection of a message, or crash its receiver; return the link as text."""
    hosts = {pipe.host, pipe.other.host}
    if fault == "crash" and pipe.other.host != "client":
        fleet.kill(pipe.other.host[:-2])
    elif fault == "stall":
        pipe.stalled = pipe.other.stalled = True
    else:
        fleet.net.cut(pipe)
    if ("client" in hosts and fault != "crash") or pipe.other.host == "client":
        # No node can reach this client any more, so the rules require no final answer.
        fleet.client_recorder.note("left", call=caller.name)
    return f"{pipe.host} to {pipe.other.host}"


def run_with_fault(traffic: str, fault: str, boundary: int) -> tuple[Fleet, ChatCallWatcher, list[str]]:
    """Run a sequence with a fault at one message boundary; also return the links where it was injected."""
    fleet, caller = start_sequence(traffic)
    links: list[str] = []
    fleet.net.fault_at_delivery = boundary
    fleet.net.inject_fault = lambda pipe: links.append(inject(fleet, caller, fault, pipe))
    fleet.run(9.0 if fault != "stall" else 45.0)
    return fleet, caller, links


def count_boundaries(traffic: str) -> int:
    """Return the number of messages of a sequence that meets no fault."""
    fleet, caller = start_sequence(traffic)
    fleet.run(8.0)
    assert caller.answer == "generated" and len(fleet.records("held")) == 2
    return fleet.net.delivery_count


def assert_no_work_left(fleet: Fleet, fault_site: str) -> None:
    """Assert that no node has a sequence in flight, and that no running engine has work or a read state."""
    for node in fleet.nodes.values():
        assert not node.executor.in_flight and not node.executor.outstanding_attempt_count(), fault_site
    for name, engine in fleet.engines.items():
        model = engine.model
        assert model.has_crashed or not (
            model.prefill.read_states or model.decode.running or model.prefill.running or model.decode.queue
        ), (fault_site, name)


@pytest.mark.parametrize("traffic", ["post", "ask", "note"])
@pytest.mark.parametrize("fault", FAULTS)
def test_all_rules_hold_with_a_fault_at_each_message_boundary(traffic: str, fault: str) -> None:
    count = count_boundaries(traffic)
    assert count > 15
    answers: Counter[str] = Counter()
    faults_by_link: Counter[str] = Counter()
    for boundary in range(1, count + 1):
        fleet, caller, links = run_with_fault(traffic, fault, boundary)
        if not links:
            continue
        faults_by_link[links[0]] += 1
        answers[caller.answer or "none"] += 1
        fault_site = f"{fault} at {boundary}, {links[0]}"
        breaches = [
            breach
            for breach in check_rules(fleet).breaches
            if not (fault == "stall" and breach.rule == 5 and "client" not in links[0])
        ]
        assert not breaches, (fault_site, [breach.text for breach in breaches])
        # A release does not cross a stalled link; the reader then frees the read state after its own timeout.
        held_at = {record.more["seq"]: record.at for record in fleet.records("held")}
        assert all(
            record.at - held_at[record.more["seq"]] < READER_STATE_TIMEOUT + 0.1
            for record in fleet.records("freed")
        ), fault_site
        if traffic == "post":
            runs = [record for record in fleet.records("ran") if record.more["mark"] == caller.mark]
            assert len(runs) <= 1, fault_site
        assert_no_work_left(fleet, fault_site)
    assert sum(faults_by_link.values()) >= count - 2 and len(faults_by_link) >= 6, faults_by_link
    assert answers["generated"] and (answers["aborted"] or fault != "reset" or traffic != "post"), answers


def test_keepalive_closes_a_silent_connection_within_30_seconds() -> None:
    limits = TransportLimits()
    assert limits.keepalive_interval + limits.keepalive_timeout <= 30.0


def run_with_writer_crash(crash_at: int) -> tuple[Fleet, ChatCallWatcher, int]:
    """Run an at-most-once sequence whose writer crashes after `crash_at` bytes of its stream.

    Returns:
        The fleet, the caller and the number of bytes that the writer sent, including any that were lost.
    """
    fleet = Fleet("W0", step="10ms")
    first = fleet.generate("ask", prompt=10, output=10)
    fleet.run(0.5)
    assert first.answer == "generated"
    caller = fleet.generate("post", prompt=10, output=10, time_left=1.0, timeout=3.0)
    link = next(pipe for pipe in fleet.net.pipes if pipe.host == "W0a:1")
    sent, deliver = 0, link.other.protocol.dataReceived

    def deliver_until_crash(data: bytes) -> None:
        nonlocal sent
        remaining = crash_at - sent
        sent += len(data)
        if remaining < len(data):
            if remaining > 0:
                deliver(data[:remaining])
            if not fleet.engines["W0a"].model.has_crashed:
                fleet.kill("W0a")
            return
        deliver(data)

    link.other.protocol.dataReceived = deliver_until_crash
    fleet.run(4.0)
    return fleet, caller, sent


def test_writer_lost_at_any_byte_never_repeats_an_at_most_once_sequence() -> None:
    _, caller, total = run_with_writer_crash(10**6)
    assert caller.answer == "generated" and 100 < total < 2000
    answers: Counter[str] = Counter()
    for crash_at in range(total + 1):
        fleet, caller, _ = run_with_writer_crash(crash_at)
        assert not check_rules(fleet).breaches, (
            crash_at,
            [breach.text for breach in check_rules(fleet).breaches],
        )
        answers[caller.answer] += 1
        assert sum(record.more["mark"] == caller.mark for record in fleet.records("ran")) <= 1
        assert not fleet.nodes["n0"].executor.in_flight
    assert set(answers) == {"aborted", "generated"} and answers["aborted"] > 80, answers
