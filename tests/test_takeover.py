"""Takeover: nodes, engines and clients on an in-memory network; a node is lost at every message."""

from collections import Counter
from collections.abc import Callable
from itertools import pairwise
from unittest.mock import patch

import pytest
from fleet import Fleet
from memnet import Pipe
from twisted.python.failure import Failure

from myrtlehub.client import (
    AbortedError,
    AnswerError,
    ChatRequest,
    Generated,
    RejectedError,
    RetrySemantics,
)
from myrtlehub.client.twisted_client import ChatStream, Client
from myrtlehub.emulator.tokens import token_id
from myrtlehub.node.node import Node
from myrtlehub.recovery.replica_placement import replicas_of
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.transport_limits import TransportLimits

REPEATS = {"ask": "repeatable", "post": "once-only", "note": "tokened"}
STREAM = 40  # most tokens of an answer


class ReplicatedFleet(Fleet):
    """Nodes that are replicas of each other."""

    def __init__(
        self, engines: str = "R0 W0 W0", nodes: int = 4, claims: bool = True, **machine: object
    ) -> None:
        self.claims = claims
        machine.setdefault("read_rate", 30000.0)
        machine.setdefault("stream_bound", "6s" if claims else "0s")
        super().__init__(engines, nodes, **machine)
        self.draws = iter(range(10**9))

    def text(self, index: int) -> str:
        peers = ", ".join(f'{{name: n{i}, address: "n{i}:3", zone: north}}' for i in range(self.nodes_count))
        return super().text(index) + (
            f"engines_may: {{claims: {'yes' if self.claims else 'no'}}}\n"
            f'takeover: {{listen: "n{index}:3", peers: [{peers}], comes_back: 1500ms}}\n'
        )

    def node(self, index: int, run: str = "1", text: str = "", **more: object) -> Node:
        node = super().node(index, run, text, **more)
        self.net.listen(f"n{index}:3", node.replication.server)
        return node

    def kill(self, name: str) -> None:
        node = self.nodes.get(name)
        super().kill(name)
        if node is not None:
            self.net.kill(f"{name}:3")
            node.replication.close()
            node.replication.publisher.send_gate.waiting.clear()
            node.replication.server.methods.clear()

    def library(self, first: str = "n0") -> Client:
        names = [first, *(n for n in sorted(self.channels) if n != first)]
        bounds = TransportLimits(keepalive_interval=0.4, keepalive_timeout=0.4)
        channels = [Channel(self.clock, self.net.dialer(f"{n}:1"), n, bounds) for n in names]
        return Client(channels[0], self.clock, lambda: next(self.draws) * 0.37 % 1.0, channels[1:])


class ClientSequence:
    """One sequence sent with the client library, and all that its caller saw."""

    def __init__(
        self, fleet: ReplicatedFleet, traffic: str, first: str = "n0", within: float = 9.0, **more: object
    ) -> None:
        self.fleet, self.ids, self.at = fleet, [], []
        self.mark = f"{traffic}{next(fleet.draws)}"
        request = ChatRequest(
            traffic,
            3000,
            STREAM,
            retry_semantics=RetrySemantics(REPEATS[traffic]),
            idempotency_key=self.mark,
            first_token_timeout=4.0,
            timeout=within,
            **more,
        )
        self.end: object = None
        self.stream: ChatStream = fleet.asker(first).generate(request, self._tokens)
        self.stream.done.addCallbacks(self._ended, self._failed)

    def _tokens(self, ids: tuple[int, ...]) -> None:
        self.ids += ids
        self.at.append(self.fleet.clock.seconds())

    def _ended(self, end: Generated) -> None:
        self.end = end

    def _failed(self, failure: Failure) -> None:
        self.end = failure.value

    def check(self) -> str:
        """Check that it had its effect once and no token of another; return what became of it."""
        fleet = self.fleet
        ran = [r for r in fleet.what("ran") if r.more["mark"] == self.mark]
        if REPEATS[self.mark.rstrip("0123456789")] == "once-only":
            assert len(ran) <= 1, [(r.who, r.more) for r in ran]
        if self.ids:
            made = [
                [token_id(r.who, r.more["seq"], r.more["attempt"], i) for i in range(len(self.ids))]
                for r in ran
            ]
            assert self.ids in made, (self.ids, ran)
        if isinstance(self.end, Generated):
            ended = [
                r.more["tokens"]
                for r in fleet.what("ended")
                if any(r.more["seq"] == x.more["seq"] for x in ran)
            ]
            assert len(self.ids) in ended
            return "generated"
        assert isinstance(self.end, AnswerError), self.end
        if isinstance(self.end, RejectedError):
            assert not ran or REPEATS[self.mark.rstrip("0123456789")] != "once-only"
        return str(self.end.outcome)


def make_fleet(*args: object, **more: object) -> ReplicatedFleet:
    """Make a fleet whose connections are open."""
    fleet = ReplicatedFleet(*args, **more)
    clients: dict[str, Client] = {}
    fleet.asker = lambda first: clients.setdefault(first, fleet.library(first))
    warm = ClientSequence(fleet, "ask")
    fleet.run(2.5)
    assert warm.check() == "generated"
    return fleet


def settled(fleet: ReplicatedFleet) -> None:
    """Check that nothing is left behind anywhere."""
    for node in fleet.nodes.values():
        assert not node.executor.in_flight and not node.executor.attempts_out()
        assert not node.replication.publisher.sequences and not node.replication.publisher.send_gate.waiting
        assert not node.replication.store.records, node.replication.store.records
    for name, stand in fleet.stands.items():
        model = stand.model
        assert model.has_crashed or not (
            model.prefill.read_states or model.decode.running or model.prefill.running or model.decode.queue
        ), name


@pytest.mark.parametrize("traffic", REPEATS)
def test_a_stream_continues_without_a_missing_or_repeated_token(traffic: str) -> None:
    fleet = make_fleet()
    asked = ClientSequence(fleet, traffic)
    while len(asked.ids) < 5:
        fleet.run(0.02)
    fleet.kill("n0")
    lost_at = fleet.clock.seconds()
    fleet.run(8.0)
    assert asked.check() == "generated" and len(asked.ids) > 5
    assert len([r for r in fleet.what("ran") if r.more["mark"] == asked.mark]) == 1
    assert len(fleet.what("attached")) == 1 and max(b - a for a, b in pairwise(asked.at)) < 0.5
    assert next(t for t in asked.at if t > lost_at) - lost_at < 0.5
    settled(fleet)


def test_a_sequence_begun_without_a_replica_is_replicated_once_one_is_reachable() -> None:
    fleet = make_fleet(step="60ms")
    others = {f"n{i}:3": fleet.net.hosts.pop(f"n{i}:3") for i in (1, 2, 3)}
    for pipe in [p for p in fleet.net.pipes if p.host in others]:
        fleet.net.cut(pipe)
    fleet.run(0.5)
    counters = fleet.nodes["n0"].replication.publisher.counters
    before = counters.unprotected
    asked = ClientSequence(fleet, "post")
    while len(asked.ids) < 2:
        fleet.run(0.02)
    assert counters.unprotected == before + 1
    fleet.net.hosts.update(others)
    while not any(n.replication.store.records for n in fleet.nodes.values()):
        fleet.run(0.1)
    assert asked.end is None
    fleet.kill("n0")
    fleet.run(8.0)
    assert asked.check() == "generated"
    settled(fleet)


@pytest.mark.parametrize("traffic", REPEATS)
def test_a_read_state_is_used_and_its_prompt_not_read_again(traffic: str) -> None:
    fleet = make_fleet()
    asked = ClientSequence(fleet, traffic)
    while not [r for r in fleet.what("held") if r.more["seq"] == asked.stream.retries.sequence != ""]:
        fleet.run(0.0)
        fleet.net.run(0.002)
    fleet.kill("n0")
    fleet.run(8.0)
    seq = asked.stream.retries.sequence
    assert asked.check() == "generated" and seq.startswith("n0."), seq
    got = [r.more["reads"] for r in fleet.what("got") if r.more["seq"] == seq]
    fetched = [r.more["whole"] for r in fleet.what("fetched") if r.more["seq"] == seq]
    assert got.count(True) == 1 and any(fetched)
    settled(fleet)


def test_without_claims_the_same_loss_ends_the_stream() -> None:
    fleet = make_fleet(claims=False)
    asked = ClientSequence(fleet, "post")
    while len(asked.ids) < 5:
        fleet.run(0.02)
    fleet.kill("n0")
    fleet.run(8.0)
    assert asked.check() == "aborted" and len(asked.ids) == 5
    settled(fleet)


def boundaries(traffic: str) -> int:
    fleet = make_fleet()
    fleet.net.crossed = 0
    asked = ClientSequence(fleet, traffic)
    while asked.end is None:
        fleet.run(0.1)
    assert asked.check() == "generated"
    return fleet.net.crossed


@pytest.mark.parametrize("traffic", REPEATS)
@pytest.mark.parametrize("more", ["", "a replica", "the taker"])
def test_a_node_killed_at_every_message(traffic: str, more: str) -> None:
    """Before and after the record, the read, the state, the write, each token, the answer.

    With it one of its replicas is lost, or the node that takes over.
    """
    count = boundaries(traffic)
    assert count > 40
    ends: Counter[str] = Counter()
    step = 3 if more else 1 if traffic == "post" else 2  # what runs once is tried at each
    for at in range(1, count + 1, step):
        fleet = make_fleet()
        fleet.net.crossed = 0
        asked = ClientSequence(fleet, traffic)
        struck: list[str] = []

        def strike(pipe: Pipe, fleet: ReplicatedFleet = fleet, struck: list[str] = struck) -> None:
            struck.append(f"{pipe.host} to {pipe.other.host}")
            fleet.kill("n0")
            if more == "a replica":
                fleet.kill(replicas_of("n0", fleet.nodes["n1"].replication.zones, 2)[0])

        fleet.net.fault_at, fleet.net.fault = at, strike
        if more == "the taker":
            while not struck and asked.end is None:
                fleet.run(0.05)
            taker = sorted(fleet.channels)[1 + (asked.stream.retries.node_index or 1) % 1]
            fleet.run(0.25)
            if taker in fleet.nodes and len(fleet.nodes) > 2:
                fleet.kill(taker)
        fleet.run(14.0)
        where = f"{at}: {struck}"
        assert asked.end is not None, where
        try:
            ends[asked.check()] += 1
            settled(fleet)
        except AssertionError as fault:
            raise AssertionError(where) from fault
    whole = sum(ends.values())
    # Lost before its client knew by which id to come back: only what is repeatable is asked anew.
    assert ends["generated"] >= (whole if traffic == "ask" else 0.9 * whole), ends


def pause(fleet: ReplicatedFleet, name: str) -> Callable[[], None]:
    """Pause a node and all messages to it; return what resumes it."""
    node, mine = fleet.nodes[name], [f"{name}:{i}" for i in (1, 2, 3)]
    fleet.net.silent |= set(mine)
    for pipe in fleet.net.pipes:
        if pipe.host in mine:
            pipe.pauseProducing()
    kept = {h: fleet.net.hosts.pop(h) for h in mine}
    say, flush = node.executor._call_router, node.replication.connections.flush
    late: list[tuple] = []
    node.executor._call_router = lambda *args: late.append((say, args))
    node.replication.connections.flush = lambda *args: late.append((flush, args))

    def go_on() -> None:
        fleet.net.silent -= set(mine)
        fleet.net.hosts.update(kept)
        node.executor._call_router, node.replication.connections.flush = say, flush
        for pipe in fleet.net.pipes:
            if pipe.host in mine:
                pipe.resumeProducing()
        for call, args in late:
            call(*args)

    return go_on


@pytest.mark.parametrize("traffic", REPEATS)
def test_a_node_that_was_only_paused_undoes_and_repeats_nothing_when_it_resumes(traffic: str) -> None:
    fleet = make_fleet()
    asked = ClientSequence(fleet, traffic)
    while len(asked.ids) < 5:
        fleet.run(0.02)
    go_on = pause(fleet, "n0")
    fleet.run(1.2)
    assert len(fleet.what("attached")) == 1
    go_on()
    fleet.run(9.0)
    assert asked.check() == "generated"
    assert not [r for r in fleet.what("stopped") if r.more["seq"] == asked.stream.retries.sequence]
    settled(fleet)


def test_two_copies_of_a_client_get_one_answer() -> None:
    fleet = make_fleet()
    asked = ClientSequence(fleet, "post")
    while len(asked.ids) < 3:
        fleet.run(0.02)
    fleet.kill("n0")
    with patch.object(ChatStream, "_start_call", lambda stream: None):
        other = ClientSequence(fleet, "post", first="n2")
    other.mark, other.ids = asked.mark, list(asked.ids)
    retries = other.stream.retries
    retries.sequence, retries.resuming, retries.tokens = asked.stream.retries.sequence, True, len(asked.ids)
    other.stream._start_call()
    fleet.run(9.0)
    ends = sorted([asked.check(), other.check()])
    assert ends in (["aborted", "generated"], ["aborted", "aborted"]), ends
    assert len([r for r in fleet.what("ran") if r.more["mark"] == asked.mark]) == 1
    settled(fleet)


def test_a_sequence_whose_client_does_not_come_back_is_released() -> None:
    fleet = make_fleet(state_bound="60s", stream_bound="60s")
    asked = ClientSequence(fleet, "post", within=0.6)
    while len(asked.ids) < 2:
        fleet.run(0.02)
    fleet.kill("n0")
    asked.stream.retries.deadline = 0.0
    fleet.run(5.0)
    settled(fleet)
    assert any(r.more["why"] == "closed" for r in fleet.what("stopped")) or fleet.what("ended")


def test_a_draining_node_hands_over_its_streams_at_once() -> None:
    fleet = make_fleet()
    some = [ClientSequence(fleet, traffic) for traffic in REPEATS]
    while min(len(a.ids) for a in some) < 3:
        fleet.run(0.02)
    node, began, done = fleet.nodes["n0"], fleet.clock.seconds(), []
    node.drain().addCallback(lambda none: done.append(fleet.clock.seconds() - began))
    fleet.run(0.3)
    assert done and done[0] < 0.2, "it waited for its streams"
    fleet.kill("n0")
    fleet.run(9.0)
    assert [a.check() for a in some] == ["generated"] * 3
    settled(fleet)


def test_an_engine_that_restarted_meanwhile_counts_as_having_run() -> None:
    fleet = make_fleet("R0 W0")
    once, free = ClientSequence(fleet, "post"), ClientSequence(fleet, "ask")
    while not (once.ids and free.ids):
        fleet.run(0.02)
    fleet.kill("n0")
    fleet.kill("W0b")
    fleet.engine("W0b")
    fleet.run(10.0)
    assert isinstance(once.end, AbortedError) and isinstance(
        free.end, AbortedError
    )  # its tokens were handed out
    assert once.check() == "aborted"


def test_an_engine_that_has_forgotten_an_attempt_is_no_proof_that_it_never_ran() -> None:
    fleet = make_fleet(stream_bound="300ms", step="5ms")
    asked = ClientSequence(fleet, "post")
    # Of the warm-up, and its own: its writer has it, and has not begun.
    while len(fleet.what("fetching")) < 2:
        fleet.net.run(0.002)
    fleet.kill("n0")
    asked.stream.retries.resumes = 10  # it comes long after the answer was whole, and let go
    fleet.run(9.0)
    assert not asked.ids and asked.check() == "aborted"
    assert len([r for r in fleet.what("ran") if r.more["mark"] == asked.mark]) == 1


def test_an_unread_stream_continues_for_its_bound_and_no_longer() -> None:
    fleet = make_fleet(stream_bound="300ms", step="50ms")
    asked = ClientSequence(fleet, "post")
    while len(asked.ids) < 2:
        fleet.run(0.02)
    fleet.kill("n0")
    asked.stream.retries.resumes = 5  # it comes late
    fleet.run(8.0)
    assert asked.check() == "aborted" and any(r.more["why"] == "bound" for r in fleet.what("stopped"))
    settled(fleet)
