"""Takeover with nodes, engines and clients on an in-memory network; nodes are killed at every message."""

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

RETRY_SEMANTICS = {"ask": "repeatable", "post": "once-only", "note": "tokened"}
MAX_OUTPUT_TOKENS = 40


class ReplicatedFleet(Fleet):
    """A fleet whose nodes replicate their sequence records to each other."""

    def __init__(
        self, engines: str = "R0 W0 W0", nodes: int = 4, claims: bool = True, **engine_options: object
    ) -> None:
        self.claims = claims
        engine_options.setdefault("read_rate", 30000.0)
        engine_options.setdefault("stream_bound", "6s" if claims else "0s")
        super().__init__(engines, nodes, **engine_options)
        self.counter = iter(range(10**9))

    def settings_text(self, index: int) -> str:
        peers = ", ".join(f'{{name: n{i}, address: "n{i}:3", zone: north}}' for i in range(self.node_count))
        return super().settings_text(index) + (
            f"engines_may: {{claims: {'yes' if self.claims else 'no'}}}\n"
            f'takeover: {{listen: "n{index}:3", peers: [{peers}], comes_back: 1500ms}}\n'
        )

    def start_node(self, index: int, run: str = "1", text: str = "", **options: object) -> Node:
        node = super().start_node(index, run, text, **options)
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

    def client_library(self, first_node: str = "n0") -> Client:
        """Return a client that calls `first_node`, and after its failure the other nodes."""
        names = [first_node, *(name for name in sorted(self.channels) if name != first_node)]
        limits = TransportLimits(keepalive_interval=0.4, keepalive_timeout=0.4)
        channels = [Channel(self.clock, self.net.dialer(f"{name}:1"), name, limits) for name in names]
        return Client(channels[0], self.clock, lambda: next(self.counter) * 0.37 % 1.0, channels[1:])


class ClientSequence:
    """One sequence sent with the client library, and all that its caller received."""

    def __init__(
        self,
        fleet: ReplicatedFleet,
        traffic: str,
        first_node: str = "n0",
        timeout: float = 9.0,
        **options: object,
    ) -> None:
        self.fleet = fleet
        self.token_ids: list[int] = []
        self.token_times: list[float] = []
        self.mark = f"{traffic}{next(fleet.counter)}"
        request = ChatRequest(
            traffic,
            3000,
            MAX_OUTPUT_TOKENS,
            retry_semantics=RetrySemantics(RETRY_SEMANTICS[traffic]),
            idempotency_key=self.mark,
            first_token_timeout=4.0,
            timeout=timeout,
            **options,
        )
        self.result: object = None  # `Generated`, or the error; None until the answer
        self.stream: ChatStream = fleet.client_of(first_node).generate(request, self._tokens_received)
        self.stream.done.addCallbacks(self._ended, self._failed)

    def _tokens_received(self, ids: tuple[int, ...]) -> None:
        self.token_ids += ids
        self.token_times.append(self.fleet.clock.seconds())

    def _ended(self, generated: Generated) -> None:
        self.result = generated

    def _failed(self, failure: Failure) -> None:
        self.result = failure.value

    def check(self) -> str:
        """Check that it ran as often as allowed and got one attempt's tokens; return its outcome."""
        fleet = self.fleet
        executions = [record for record in fleet.records("ran") if record.more["mark"] == self.mark]
        if RETRY_SEMANTICS[self.mark.rstrip("0123456789")] == "once-only":
            assert len(executions) <= 1, [(record.who, record.more) for record in executions]
        if self.token_ids:
            expected_token_ids = [
                [
                    token_id(record.who, record.more["seq"], record.more["attempt"], i)
                    for i in range(len(self.token_ids))
                ]
                for record in executions
            ]
            assert self.token_ids in expected_token_ids, (self.token_ids, executions)
        if isinstance(self.result, Generated):
            token_counts = [
                record.more["tokens"]
                for record in fleet.records("ended")
                if any(record.more["seq"] == execution.more["seq"] for execution in executions)
            ]
            assert len(self.token_ids) in token_counts
            return "generated"
        assert isinstance(self.result, AnswerError), self.result
        if isinstance(self.result, RejectedError):
            assert not executions or RETRY_SEMANTICS[self.mark.rstrip("0123456789")] != "once-only"
        return str(self.result.outcome)


def make_fleet(*args: object, **options: object) -> ReplicatedFleet:
    """Make a fleet, and open its connections by running one sequence."""
    fleet = ReplicatedFleet(*args, **options)
    clients: dict[str, Client] = {}
    fleet.client_of = lambda node: clients.setdefault(node, fleet.client_library(node))
    warm_up = ClientSequence(fleet, "ask")
    fleet.run(2.5)
    assert warm_up.check() == "generated"
    return fleet


def check_nothing_is_left(fleet: ReplicatedFleet) -> None:
    """Check that no node or engine has a sequence, a record or a read state left."""
    for node in fleet.nodes.values():
        assert not node.executor.in_flight and not node.executor.outstanding_attempt_count()
        assert not node.replication.publisher.sequences and not node.replication.publisher.send_gate.waiting
        assert not node.replication.store.records, node.replication.store.records
    for name, engine in fleet.engines.items():
        model = engine.model
        assert model.has_crashed or not (
            model.prefill.read_states or model.decode.running or model.prefill.running or model.decode.queue
        ), name


@pytest.mark.parametrize("traffic", RETRY_SEMANTICS)
def test_a_stream_continues_without_a_missing_or_repeated_token(traffic: str) -> None:
    fleet = make_fleet()
    sequence = ClientSequence(fleet, traffic)
    while len(sequence.token_ids) < 5:
        fleet.run(0.02)
    fleet.kill("n0")
    killed_at = fleet.clock.seconds()
    fleet.run(8.0)
    assert sequence.check() == "generated" and len(sequence.token_ids) > 5
    assert len([record for record in fleet.records("ran") if record.more["mark"] == sequence.mark]) == 1
    assert len(fleet.records("attached")) == 1 and max(b - a for a, b in pairwise(sequence.token_times)) < 0.5
    assert next(time for time in sequence.token_times if time > killed_at) - killed_at < 0.5
    check_nothing_is_left(fleet)


def test_a_sequence_that_began_without_a_replica_is_replicated_once_one_is_reachable() -> None:
    fleet = make_fleet(step="60ms")
    replica_hosts = {f"n{i}:3": fleet.net.hosts.pop(f"n{i}:3") for i in (1, 2, 3)}
    for pipe in [pipe for pipe in fleet.net.pipes if pipe.host in replica_hosts]:
        fleet.net.cut(pipe)
    fleet.run(0.5)
    counters = fleet.nodes["n0"].replication.publisher.counters
    unprotected_before = counters.unreplicated
    sequence = ClientSequence(fleet, "post")
    while len(sequence.token_ids) < 2:
        fleet.run(0.02)
    assert counters.unreplicated == unprotected_before + 1
    fleet.net.hosts.update(replica_hosts)
    while not any(node.replication.store.records for node in fleet.nodes.values()):
        fleet.run(0.1)
    assert sequence.result is None
    fleet.kill("n0")
    fleet.run(8.0)
    assert sequence.check() == "generated"
    check_nothing_is_left(fleet)


@pytest.mark.parametrize("traffic", RETRY_SEMANTICS)
def test_a_read_state_is_used_and_its_prompt_not_read_again(traffic: str) -> None:
    fleet = make_fleet()
    sequence = ClientSequence(fleet, traffic)
    while not [
        record
        for record in fleet.records("held")
        if record.more["seq"] == sequence.stream.retries.sequence != ""
    ]:
        fleet.run(0.0)
        fleet.net.run(0.002)
    fleet.kill("n0")
    fleet.run(8.0)
    sequence_id = sequence.stream.retries.sequence
    assert sequence.check() == "generated" and sequence_id.startswith("n0."), sequence_id
    are_reads = [record.more["reads"] for record in fleet.records("got") if record.more["seq"] == sequence_id]
    are_whole_fetches = [
        record.more["whole"] for record in fleet.records("fetched") if record.more["seq"] == sequence_id
    ]
    assert are_reads.count(True) == 1 and any(are_whole_fetches)
    check_nothing_is_left(fleet)


def test_without_claims_the_same_loss_ends_the_stream() -> None:
    fleet = make_fleet(claims=False)
    sequence = ClientSequence(fleet, "post")
    while len(sequence.token_ids) < 5:
        fleet.run(0.02)
    fleet.kill("n0")
    fleet.run(8.0)
    assert sequence.check() == "aborted" and len(sequence.token_ids) == 5
    check_nothing_is_left(fleet)


def count_messages(traffic: str) -> int:
    """Return the number of messages delivered for one sequence."""
    fleet = make_fleet()
    fleet.net.delivery_count = 0
    sequence = ClientSequence(fleet, traffic)
    while sequence.result is None:
        fleet.run(0.1)
    assert sequence.check() == "generated"
    return fleet.net.delivery_count


@pytest.mark.parametrize("traffic", RETRY_SEMANTICS)
@pytest.mark.parametrize("also_killed", ["", "a replica", "the successor"])
def test_a_node_killed_at_every_message(traffic: str, also_killed: str) -> None:
    """Kill the owner before and after each message: record, read, read state, write, tokens and answer.

    One of its replicas, or its successor, may be killed as well.
    """
    count = count_messages(traffic)
    assert count > 40
    outcomes: Counter[str] = Counter()
    step = 3 if also_killed else 1 if traffic == "post" else 2  # at-most-once: kill at every message
    for message in range(1, count + 1, step):
        fleet = make_fleet()
        fleet.net.delivery_count = 0
        sequence = ClientSequence(fleet, traffic)
        killed_at: list[str] = []

        def kill_owner(pipe: Pipe, fleet: ReplicatedFleet = fleet, killed_at: list[str] = killed_at) -> None:
            killed_at.append(f"{pipe.host} to {pipe.other.host}")
            fleet.kill("n0")
            if also_killed == "a replica":
                fleet.kill(replicas_of("n0", fleet.nodes["n1"].replication.zones, 2)[0])

        fleet.net.fault_at_delivery, fleet.net.inject_fault = message, kill_owner
        if also_killed == "the successor":
            while not killed_at and sequence.result is None:
                fleet.run(0.05)
            successor = sorted(fleet.channels)[1 + (sequence.stream.retries.node_index or 1) % 1]
            fleet.run(0.25)
            if successor in fleet.nodes and len(fleet.nodes) > 2:
                fleet.kill(successor)
        fleet.run(14.0)
        kill_point = f"message {message}: {killed_at}"
        assert sequence.result is not None, kill_point
        try:
            outcomes[sequence.check()] += 1
            check_nothing_is_left(fleet)
        except AssertionError as error:
            raise AssertionError(kill_point) from error
    total = sum(outcomes.values())
    # A client whose node fails before it has received the sequence id retries only an idempotent request.
    assert outcomes["generated"] >= (total if traffic == "ask" else 0.9 * total), outcomes


def pause_node(fleet: ReplicatedFleet, name: str) -> Callable[[], None]:
    """Pause a node and the delivery of messages to it; return a function that resumes it."""
    node = fleet.nodes[name]
    addresses = [f"{name}:{port}" for port in (1, 2, 3)]
    fleet.net.silent |= set(addresses)
    for pipe in fleet.net.pipes:
        if pipe.host in addresses:
            pipe.pauseProducing()
    hosts = {address: fleet.net.hosts.pop(address) for address in addresses}
    call_router, flush = node.executor._call_router, node.replication.connections.flush
    late_calls: list[tuple] = []
    node.executor._call_router = lambda *args: late_calls.append((call_router, args))
    node.replication.connections.flush = lambda *args: late_calls.append((flush, args))

    def resume() -> None:
        fleet.net.silent -= set(addresses)
        fleet.net.hosts.update(hosts)
        node.executor._call_router, node.replication.connections.flush = call_router, flush
        for pipe in fleet.net.pipes:
            if pipe.host in addresses:
                pipe.resumeProducing()
        for call, args in late_calls:
            call(*args)

    return resume


@pytest.mark.parametrize("traffic", RETRY_SEMANTICS)
def test_a_node_that_was_only_paused_undoes_and_repeats_nothing_when_it_resumes(traffic: str) -> None:
    fleet = make_fleet()
    sequence = ClientSequence(fleet, traffic)
    while len(sequence.token_ids) < 5:
        fleet.run(0.02)
    resume = pause_node(fleet, "n0")
    fleet.run(1.2)
    assert len(fleet.records("attached")) == 1
    resume()
    fleet.run(9.0)
    assert sequence.check() == "generated"
    assert not [
        record
        for record in fleet.records("stopped")
        if record.more["seq"] == sequence.stream.retries.sequence
    ]
    check_nothing_is_left(fleet)


def test_two_clients_that_resume_one_sequence_get_one_answer() -> None:
    fleet = make_fleet()
    sequence = ClientSequence(fleet, "post")
    while len(sequence.token_ids) < 3:
        fleet.run(0.02)
    fleet.kill("n0")
    with patch.object(ChatStream, "_start_call", lambda stream: None):
        second_client = ClientSequence(fleet, "post", first_node="n2")
    second_client.mark, second_client.token_ids = sequence.mark, list(sequence.token_ids)
    retries = second_client.stream.retries
    retries.sequence, retries.resuming, retries.tokens = (
        sequence.stream.retries.sequence,
        True,
        len(sequence.token_ids),
    )
    second_client.stream._start_call()
    fleet.run(9.0)
    outcomes = sorted([sequence.check(), second_client.check()])
    assert outcomes in (["aborted", "generated"], ["aborted", "aborted"]), outcomes
    assert len([record for record in fleet.records("ran") if record.more["mark"] == sequence.mark]) == 1
    check_nothing_is_left(fleet)


def test_a_sequence_whose_client_does_not_resume_is_released() -> None:
    fleet = make_fleet(state_bound="60s", stream_bound="60s")
    sequence = ClientSequence(fleet, "post", timeout=0.6)
    while len(sequence.token_ids) < 2:
        fleet.run(0.02)
    fleet.kill("n0")
    sequence.stream.retries.deadline = 0.0
    fleet.run(5.0)
    check_nothing_is_left(fleet)
    assert any(record.more["why"] == "closed" for record in fleet.records("stopped")) or fleet.records(
        "ended"
    )


def test_a_draining_node_hands_over_its_streams_at_once() -> None:
    fleet = make_fleet()
    sequences = [ClientSequence(fleet, traffic) for traffic in RETRY_SEMANTICS]
    while min(len(sequence.token_ids) for sequence in sequences) < 3:
        fleet.run(0.02)
    node, started_at, drain_times = fleet.nodes["n0"], fleet.clock.seconds(), []
    node.drain().addCallback(lambda none: drain_times.append(fleet.clock.seconds() - started_at))
    fleet.run(0.3)
    assert drain_times and drain_times[0] < 0.2, "the node waited for its streams to end"
    fleet.kill("n0")
    fleet.run(9.0)
    assert [sequence.check() for sequence in sequences] == ["generated"] * 3
    check_nothing_is_left(fleet)


def test_an_engine_that_restarted_meanwhile_counts_as_having_run() -> None:
    fleet = make_fleet("R0 W0")
    at_most_once, idempotent = ClientSequence(fleet, "post"), ClientSequence(fleet, "ask")
    while not (at_most_once.token_ids and idempotent.token_ids):
        fleet.run(0.02)
    fleet.kill("n0")
    fleet.kill("W0b")
    fleet.start_engine("W0b")
    fleet.run(10.0)
    # The idempotent sequence is aborted too, because its client has received tokens.
    assert isinstance(at_most_once.result, AbortedError) and isinstance(idempotent.result, AbortedError)
    assert at_most_once.check() == "aborted"


def test_an_engine_that_has_forgotten_an_attempt_is_no_proof_that_it_never_ran() -> None:
    fleet = make_fleet(stream_bound="300ms", step="5ms")
    sequence = ClientSequence(fleet, "post")
    # Two fetches of a read state, the warm-up's and this sequence's, whose writer has not run it yet.
    while len(fleet.records("fetching")) < 2:
        fleet.net.run(0.002)
    fleet.kill("n0")
    sequence.stream.retries.resumes = 10  # delays the resume until the engine has forgotten the attempt
    fleet.run(9.0)
    assert not sequence.token_ids and sequence.check() == "aborted"
    assert len([record for record in fleet.records("ran") if record.more["mark"] == sequence.mark]) == 1


def test_an_unread_stream_continues_until_its_timeout_and_no_longer() -> None:
    fleet = make_fleet(stream_bound="300ms", step="50ms")
    sequence = ClientSequence(fleet, "post")
    while len(sequence.token_ids) < 2:
        fleet.run(0.02)
    fleet.kill("n0")
    sequence.stream.retries.resumes = 5  # delays the resume until the stream has timed out
    fleet.run(8.0)
    assert sequence.check() == "aborted" and any(
        record.more["why"] == "bound" for record in fleet.records("stopped")
    )
    check_nothing_is_left(fleet)
