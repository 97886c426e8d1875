"""Settings changed in a running node, and orders to leave: by real nodes on an in-memory network."""

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


class Admin:
    """An operator's program at a node's admin address."""

    def __init__(self, fleet: Fleet, node: str = "n0", controller: str = "c1") -> None:
        self.fleet, self.controller = fleet, controller
        self.channel = Channel(fleet.clock, fleet.net.dialer(f"{node}:2"), node)

    def say(self, method: str, message: object = None) -> bytes | tuple[Code, str]:
        """The reply, or code and words."""
        got: list = []
        data = message.SerializeToString() if message else b""
        done = self.channel.unary(SERVICE + method, data, timeout=5.0)
        done.addCallbacks(got.append, lambda f: got.append((f.value.status.code, f.value.status.message)))
        self.fleet.run(0.05)
        return got[0]

    def order(self, generation: int = 1, **more: object) -> pb.Order:
        return pb.Order(format=FORMAT_VERSION, generation=generation, controller=self.controller, **more)

    def stage(self, text: str, generation: int = 1) -> bytes | tuple[Code, str]:
        return self.say("Stage", pb.StagedSettings(order=self.order(generation), text=text))

    def change(self, text: str) -> pb.OrderTaken:
        digest = pb.OrderTaken.FromString(self.stage(text)).settings
        return pb.OrderTaken.FromString(self.say("Apply", self.order(settings=digest)))

    def show(self) -> pb.NodeState:
        return pb.NodeState.FromString(self.say("Show"))


def new_text(fleet: Fleet, was: str = "max_wait: 2s", now: str = "max_wait: 1s") -> str:
    text = fleet.settings_text(0)
    assert was in text
    return text.replace(was, now)


def test_in_flight_sequences_end_by_the_settings_that_they_began_with() -> None:
    fleet = Fleet()
    admin, node = Admin(fleet), fleet.nodes["n0"]
    before = admin.show()
    early = fleet.generate("ask", output=200)
    fleet.run(0.5)
    assert early.tokens and not early.answer
    old = node.executor
    # the new settings know the traffic type no more, and another in its place
    text = fleet.settings_text(0).replace("name: ask", "name: query")
    taken = admin.change(text)
    assert taken.changed and node.executor is not old and old.in_flight
    state = admin.show()
    assert (state.program, state.settings) == (before.program, taken.settings)
    assert state.settings != before.settings
    assert state.by_old == 1 and not state.proven
    late, strange = fleet.generate("query"), fleet.generate("ask")
    fleet.run(6.0)
    assert early.answer == late.answer == "generated"
    assert strange.status.code == Code.INVALID_ARGUMENT and "'ask' is not one of" in strange.status.message
    labels = {r.more["seq"] for r in fleet.records("seq")}
    assert len(labels) == 2 and not node.replaced_runtimes and admin.show().proven
    again = admin.say("Apply", admin.order(settings=taken.settings))  # the same order once more
    assert not pb.OrderTaken.FromString(again).changed


def test_a_change_in_place_makes_no_new_connections_and_list_updates_reach_both() -> None:
    fleet = Fleet("R0 W0 W0")
    admin, node = Admin(fleet), fleet.nodes["n0"]
    for _ in range(4):
        fleet.generate("ask", output=300)
    fleet.run(0.6)
    channels = dict(node.transport.channels)
    admin.change(new_text(fleet))
    old = node.replaced_runtimes[0]
    fleet.generate("ask")
    fleet.run(0.5)
    assert node.transport.channels == channels
    fleet.push_list_event("W0b", "draining")
    fleet.run(0.1)
    for host in (old.executor, node.executor):
        index = host.decoder.engines.index_of["W0b:1"]
        assert host.decoder.engines.rows[index].state == "draining"
    fleet.run(8.0)
    assert {c.answer for c in fleet.calls} == {"generated"} and not node.replaced_runtimes


@pytest.mark.parametrize(
    ("was", "now", "said"),
    [
        ("name: writer, writes: yes", "name: writer, reads: yes", "could end a sequence of 'ask'"),
        ("name: writer, writes: yes", "name: scribe, writes: yes", "kind 'writer' is not among kinds"),
        ("zones: [north]", "zones: [north, south]\nrules_: 1", "rules_: is not known here"),
        ('listen: "n0:1"', 'listen: "n0:7"', "cannot change from 'n0:1' to 'n0:7' in place"),
        ("{pushed: yes", "{pushed: no", "where the list comes from cannot change in place"),
    ],
)
def test_settings_that_the_router_cannot_use_are_rejected_when_staged(was: str, now: str, said: str) -> None:
    fleet = Fleet()
    admin = Admin(fleet)
    before = admin.show().settings
    code, text = admin.stage(new_text(fleet, was, now))
    assert said in text and code in (Code.INVALID_ARGUMENT, Code.FAILED_PRECONDITION)
    assert (admin.show().settings, admin.show().staged) == (before, "")
    caller = fleet.generate("ask")
    fleet.run(4.0)
    assert caller.answer == "generated"


def test_settings_staged_while_a_writer_served_are_rejected_once_the_list_has_none_of_their_kind() -> None:
    fleet = Fleet()
    admin = Admin(fleet)
    digest = pb.OrderTaken.FromString(admin.stage(new_text(fleet))).settings
    for name in ("W0b", "W0c"):
        fleet.push_list_event(name, "gone")
    fleet.run(0.2)
    code, text = admin.say("Apply", admin.order(settings=digest))
    assert code == Code.FAILED_PRECONDITION and "could end a sequence" in text


def test_an_older_controller_is_rejected_and_a_newer_one_accepted() -> None:
    fleet = Fleet()
    old, new = Admin(fleet), Admin(fleet, controller="c2")
    assert isinstance(old.stage(new_text(fleet), 1), bytes)
    assert isinstance(new.stage(new_text(fleet), 2), bytes)
    for generation in (1, 2):
        code, text = old.stage(new_text(fleet), generation)
        assert code == Code.PERMISSION_DENIED and ("obeys 2" in text or "controller c2's" in text)
    code, text = new.say("Leave", new.order(3, run="another"))
    assert "for process another" in text and not fleet.nodes["n0"].is_draining
    code, text = new.say("Apply", pb.Order(format=FORMAT_VERSION + 1, generation=9, controller="c9"))
    assert f"knows formats up to {FORMAT_VERSION}" in text
    assert (new.show().generation, new.show().controller) == (2, "c2")


def test_a_leave_call_and_sigterm_at_once_drain_once_with_old_settings_in_use() -> None:
    fleet = Fleet()
    admin, node = Admin(fleet), fleet.nodes["n0"]
    early = fleet.generate("ask", output=60)
    fleet.run(0.4)
    admin.change(new_text(fleet))
    late = fleet.generate("post", output=60)
    fleet.run(0.3)
    ends: list[float] = []

    def drain() -> None:
        node.drain().addCallback(lambda none: ends.append(fleet.clock.seconds()))

    node.on_drain_requested = drain
    admin.say("Leave", admin.order(run=node.incarnation))
    drain()  # SIGTERM comes as well
    assert admin.show().leaving and not ends
    fleet.run(5.0)
    assert early.answer == late.answer == "generated"
    assert len(ends) == 2 and ends[0] == ends[1]


def test_what_a_node_counts_of_itself() -> None:
    fleet = Fleet()
    admin = Admin(fleet)
    for i in range(6):
        fleet.generate("post" if i % 3 == 0 else "ask")
    gone = fleet.generate("ask", output=400)
    fleet.run(0.5)
    fleet.cancel(gone)
    fleet.run(5.0)
    figures = pb.NodeFigures.FromString(admin.say("Figures"))
    sums = {t.name: t for t in figures.traffic}
    assert (sums["ask"].asked, sums["post"].asked) == (5, 2)
    assert dict(sums["ask"].answers) == {"generated": 4, "left": 1}
    assert (sums["ask"].utility, sums["ask"].served) == (4.0, 4.0)
    assert (sums["post"].utility, sums["post"].served) == (6.0, 6.0)  # of utility 3 each
    assert sums["ask"].begun == sum(sums["ask"].first.values()) == 4 and sums["ask"].attempts >= 5
    assert dict(figures.engines) == {"north": 3} and figures.memory > 10**6 and figures.run == "1"
    fleet.nodes["n0"].front.is_closed = True
    fleet.generate("ask")
    fleet.run(0.2)
    figures = pb.NodeFigures.FromString(admin.say("Figures"))
    assert {t.name: t.answers["rejected"] for t in figures.traffic}["ask"] == 1


def test_a_revision_is_the_same_for_all_nodes_of_a_fleet_and_not_for_other_settings() -> None:
    fleet = Fleet(nodes=2)
    sheets = [parse_settings(fleet.settings_text(i)) for i in range(2)]
    assert settings_digest(sheets[0]) == settings_digest(sheets[1])
    assert settings_digest(sheets[0]) != settings_digest(parse_settings(new_text(fleet)))
    fleet.push_list_event("W0b", "draining")
    fleet.run(0.1)
    assert isinstance(fleet.nodes["n0"], Node) and fleet.nodes["n0"].program == program_digest()
    assert len(program_digest()) == 16
