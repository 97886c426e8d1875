"""Graceful shutdown of a node whose clients read the GOAWAY late or never."""

from fleet import Fleet
from fleet_checks import assert_rules_kept
from memnet import Pipe

NODE = "n0:1"


def connected_fleet() -> tuple[Fleet, Pipe]:
    """Return a fleet with an idle client connection, and the node's end of that connection."""
    fleet = Fleet("W0")
    first = fleet.generate(prompt=100, output=1)
    fleet.run(1.0)
    assert first.answer == "generated"
    (node_end,) = [pipe for pipe in fleet.net.pipes if pipe.host == NODE and pipe.other.host == "client"]
    return fleet, node_end


def test_a_request_sent_before_its_client_has_read_the_goaway_is_answered() -> None:
    """Guards against an idle node that exits 0.05 s after SIGTERM although a request is in transit."""
    fleet, node_end = connected_fleet()
    node_end.stalled = True
    fleet.nodes["n0"].drain().addCallback(lambda _: fleet.net.kill(NODE))
    fleet.run(0.01)
    late_caller = fleet.generate("post", prompt=100)
    fleet.run(0.3)
    node_end.stalled = False
    node_end.producer.resumeProducing()
    fleet.run(0.5)
    assert late_caller.answer == "rejected" and NODE not in fleet.net.hosts
    assert_rules_kept(fleet)


def test_a_client_that_reads_nothing_delays_the_end_no_longer_than_drain_within() -> None:
    fleet, node_end = connected_fleet()
    node_end.stalled = True
    ended: list[None] = []
    fleet.nodes["n0"].drain().addCallback(ended.append)
    fleet.run(2.9)
    assert not ended
    fleet.run(0.2)  # drain_within is 3 s
    assert ended
