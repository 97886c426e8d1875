"""Changes of settings and drains that the admin service requests, at real nodes on an in-memory network."""

import pytest
from fleet import Fleet

from myrtlehub.node.node import Node
from myrtlehub.node.revision import program_digest, settings_digest
from myrtlehub.node.settings_change import parse_settings
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_orders import FORMAT_VERSION
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.status import Code

SERVICE = "/myrtlehub.v1.NodeAdmin/"


class AdminClient:
    """A client of a node's admin service."""

    def __init__(self, fleet: Fleet, node: str = "n0", controller: str = "c1") -> None:
        self.fleet, self.controller = fleet, controller
        self.channel = Channel(fleet.clock, fleet.net.dialer(f"{node}:2"), node)

    def call(self, method: str, message: object = None) -> bytes | tuple[Code, str]:
        """Return the reply to a call, or the code and message of its error."""
        results: list = []
        data = message.SerializeToString() if message else b""
        reply = self.channel.unary(SERVICE + method, data, timeout=5.0)
        reply.addCallbacks(
            results.append,
            lambda failure: results.append((failure.value.status.code, failure.value.status.message)),
        )
        self.fleet.run(0.05)
        return results[0]

    def order(self, generation: int = 1, **fields: object) -> pb.Order:
        return pb.Order(format=FORMAT_VERSION, generation=generation, controller=self.controller, **fields)

    def stage(self, text: str, generation: int = 1) -> bytes | tuple[Code, str]:
        return self.call("Stage", pb.StagedSettings(order=self.order(generation), text=text))

    def change(self, text: str) -> pb.OrderTaken:
        digest = pb.OrderTaken.FromString(self.stage(text)).settings
        return pb.OrderTaken.FromString(self.call("Apply", self.order(settings=digest)))

    def show(self) -> pb.NodeState:
        return pb.NodeState.FromString(self.call("Show"))


def changed_settings(fleet: Fleet, old: str = "max_wait: 2s", new: str = "max_wait: 1s") -> str:
    text = fleet.settings_text(0)
    assert old in text
    return text.replace(old, new)


def test_in_flight_sequences_end_by_the_settings_that_they_began_with() -> None:
    fleet = Fleet()
    admin, node = AdminClient(fleet), fleet.nodes["n0"]
    before = admin.show()
    early = fleet.generate("ask", output=200)
    fleet.run(0.5)
    assert early.tokens and not early.answer
    old_executor = node.executor
    # The new settings have another traffic type in place of the one that the sequence uses.
    text = fleet.settings_text(0).replace("name: ask", "name: query")
    taken = admin.change(text)
    assert taken.changed and node.executor is not old_executor and old_executor.in_flight
    state = admin.show()
    assert (state.program, state.settings) == (before.program, taken.settings)
    assert state.settings != before.settings
    assert state.by_old == 1 and not state.proven
    late, unknown = fleet.generate("query"), fleet.generate("ask")
    fleet.run(6.0)
    assert early.answer == late.answer == "generated"
    assert unknown.status.code == Code.INVALID_ARGUMENT and "'ask' is not one of" in unknown.status.message
    sequence_ids = {record.more["seq"] for record in fleet.records("seq")}
    assert len(sequence_ids) == 2 and not node.replaced_runtimes and admin.show().proven
    repeated = admin.call("Apply", admin.order(settings=taken.settings))
    assert not pb.OrderTaken.FromString(repeated).changed


def test_a_change_in_place_makes_no_new_connections_and_list_updates_reach_both() -> None:
    fleet = Fleet("R0 W0 W0")
    admin, node = AdminClient(fleet), fleet.nodes["n0"]
    for _ in range(4):
        fleet.generate("ask", output=300)
    fleet.run(0.6)
    channels = dict(node.transport.channels)
    admin.change(changed_settings(fleet))
    old_runtime = node.replaced_runtimes[0]
    fleet.generate("ask")
    fleet.run(0.5)
    assert node.transport.channels == channels
    fleet.push_list_event("W0b", "draining")
    fleet.run(0.1)
    for executor in (old_runtime.executor, node.executor):
        index = executor.decoder.engines.index_by_address["W0b:1"]
        assert executor.decoder.engines.endpoints[index].state == "draining"
    fleet.run(8.0)
    assert {caller.answer for caller in fleet.calls} == {"generated"} and not node.replaced_runtimes


@pytest.mark.parametrize(
    ("old", "new", "message_part"),
    [
        ("name: writer, writes: yes", "name: writer, reads: yes", "could end a sequence of 'ask'"),
        ("name: writer, writes: yes", "name: scribe, writes: yes", "kind 'writer' is not among kinds"),
        ("zones: [north]", "zones: [north, south]\nrules_: 1", "rules_: is not known here"),
        ('listen: "n0:1"', 'listen: "n0:7"', "cannot change from 'n0:1' to 'n0:7' in place"),
        ("{pushed: yes", "{pushed: no", "where the list comes from cannot change in place"),
    ],
)
def test_settings_that_the_router_cannot_use_are_rejected_when_staged(
    old: str, new: str, message_part: str
) -> None:
    fleet = Fleet()
    admin = AdminClient(fleet)
    before = admin.show().settings
    code, message = admin.stage(changed_settings(fleet, old, new))
    assert message_part in message and code in (Code.INVALID_ARGUMENT, Code.FAILED_PRECONDITION)
    assert (admin.show().settings, admin.show().staged) == (before, "")
    caller = fleet.generate("ask")
    fleet.run(4.0)
    assert caller.answer == "generated"


def test_settings_staged_while_a_writer_served_are_rejected_once_the_list_has_none_of_their_kind() -> None:
    fleet = Fleet()
    admin = AdminClient(fleet)
    digest = pb.OrderTaken.FromString(admin.stage(changed_settings(fleet))).settings
    for name in ("W0b", "W0c"):
        fleet.push_list_event(name, "gone")
    fleet.run(0.2)
    code, message = admin.call("Apply", admin.order(settings=digest))
    assert code == Code.FAILED_PRECONDITION and "could end a sequence" in message


def test_an_older_controller_is_rejected_and_a_newer_one_accepted() -> None:
    fleet = Fleet()
    old, new = AdminClient(fleet), AdminClient(fleet, controller="c2")
    assert isinstance(old.stage(changed_settings(fleet), 1), bytes)
    assert isinstance(new.stage(changed_settings(fleet), 2), bytes)
    for generation in (1, 2):
        code, message = old.stage(changed_settings(fleet), generation)
        assert code == Code.PERMISSION_DENIED and ("obeys 2" in message or "controller c2's" in message)
    code, message = new.call("Leave", new.order(3, run="another"))
    assert "for process another" in message and not fleet.nodes["n0"].is_draining
    code, message = new.call("Apply", pb.Order(format=FORMAT_VERSION + 1, generation=9, controller="c9"))
    assert f"knows formats up to {FORMAT_VERSION}" in message
    assert (new.show().generation, new.show().controller) == (2, "c2")


def test_a_leave_call_and_sigterm_at_once_drain_once_with_old_settings_in_use() -> None:
    fleet = Fleet()
    admin, node = AdminClient(fleet), fleet.nodes["n0"]
    early = fleet.generate("ask", output=60)
    fleet.run(0.4)
    admin.change(changed_settings(fleet))
    late = fleet.generate("post", output=60)
    fleet.run(0.3)
    drain_ends: list[float] = []

    def drain() -> None:
        node.drain().addCallback(lambda _: drain_ends.append(fleet.clock.seconds()))

    node.on_drain_requested = drain
    admin.call("Leave", admin.order(run=node.incarnation))
    drain()  # as for a SIGTERM
    assert admin.show().leaving and not drain_ends
    fleet.run(5.0)
    assert early.answer == late.answer == "generated"
    assert len(drain_ends) == 2 and drain_ends[0] == drain_ends[1]


def test_node_figures_count_requests_answers_and_utility() -> None:
    fleet = Fleet()
    admin = AdminClient(fleet)
    for i in range(6):
        fleet.generate("post" if i % 3 == 0 else "ask")
    disconnected = fleet.generate("ask", output=400)
    fleet.run(0.5)
    fleet.cancel(disconnected)
    fleet.run(5.0)
    figures = pb.NodeFigures.FromString(admin.call("Figures"))
    counters = {traffic.name: traffic for traffic in figures.traffic}
    assert (counters["ask"].asked, counters["post"].asked) == (5, 2)
    assert dict(counters["ask"].answers) == {"generated": 4, "left": 1}
    assert (counters["ask"].utility, counters["ask"].served) == (4.0, 4.0)
    assert (counters["post"].utility, counters["post"].served) == (6.0, 6.0)  # the utility of each is 3
    assert counters["ask"].begun == sum(counters["ask"].first.values()) == 4 and counters["ask"].attempts >= 5
    assert dict(figures.engines) == {"north": 3} and figures.memory > 10**6 and figures.run == "1"
    fleet.nodes["n0"].front.is_closed = True
    fleet.generate("ask")
    fleet.run(0.2)
    figures = pb.NodeFigures.FromString(admin.call("Figures"))
    assert {traffic.name: traffic.answers["rejected"] for traffic in figures.traffic}["ask"] == 1


def test_a_revision_is_the_same_for_all_nodes_of_a_fleet_and_not_for_other_settings() -> None:
    fleet = Fleet(nodes=2)
    settings = [parse_settings(fleet.settings_text(i)) for i in range(2)]
    assert settings_digest(settings[0]) == settings_digest(settings[1])
    assert settings_digest(settings[0]) != settings_digest(parse_settings(changed_settings(fleet)))
    fleet.push_list_event("W0b", "draining")
    fleet.run(0.1)
    assert isinstance(fleet.nodes["n0"], Node) and fleet.nodes["n0"].program_digest == program_digest()
    assert len(program_digest()) == 16
