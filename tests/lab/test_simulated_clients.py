"""Simulated clients in one process with a node and emulated engines, and the records that they write."""

from random import Random

import pytest
from fleet import Fleet
from fleet_checks import assert_nothing_left, assert_rules_kept
from twisted.internet.task import Clock

from myrtlehub.config.loader import parse_config
from myrtlehub.lab.rule_checker.stored_records import FinalAnswer
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.simulated_clients.batch_clients import BatchClients
from myrtlehub.lab.simulated_clients.batch_plan import plan_batches
from myrtlehub.lab.simulated_clients.call_records import CallRecords, CountedTokens
from myrtlehub.lab.simulated_clients.chat_clients import ChatClients
from myrtlehub.lab.simulated_clients.sequence_plan import plan_sequences
from myrtlehub.records import Recorder
from myrtlehub.rpc.status import Code, Status

SCENARIO = """
length: 8s
rate: 12
batch_rate: 12
fleet: {nodes: 2, readers: 1, writers: 2, embedders: 1, rankers: 1, mixed: 1}
clients: {retries: 2, leave: 0.1, silent: 0.02, leave_on_token: 0.1, hurried: 0.1, whole: 15s}
traffic:
  - {name: ask, share: 3, repeats: repeatable, latency_slo: 1s, abandon_time: 4s, prompt: [50, 900],
     output: [5, 60], turns: 3}
  - {name: post, share: 1, repeats: once-only, latency_slo: 1s, abandon_time: 4s, prompt: [50, 900],
     output: [5, 60]}
  - {name: vec, front: embed, share: 2, repeats: repeatable, latency_slo: 1s, abandon_time: 4s,
     prompt: [5, 50], output: [1, 1]}
  - {name: sort, front: rank, share: 2, repeats: repeatable, latency_slo: 1s, abandon_time: 4s,
     prompt: [5, 50], output: [1, 1]}
rules: {drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 10s, fall_multiple: 2.5,
  fall_time: 1s}
"""
SEED = 5


class Load:
    """Clients of both fronts, and the fleet that serves them."""

    def __init__(self) -> None:
        self.scenario = parse_config(SCENARIO, Scenario)
        self.fleet = Fleet("R0 W0 W0 E0 K0 M0", nodes=2)
        random = Random(SEED)
        dials = {name: self.fleet.net.dialer(f"{name}:1") for name in self.fleet.nodes}
        common = (self.scenario, self.fleet.clock, dials, self.fleet.client_recorder, random)
        self.chats = ChatClients(*common, self.scenario.rate)
        self.batches = BatchClients(*common, self.scenario.batch_rate, self.chats.behind)
        self.quiet: list[str] = []
        self.chats.on_quiet = lambda: self.quiet.append("chat")
        self.batches.on_quiet = lambda: self.quiet.append("batch")

    def run(self) -> None:
        """Play the scenario to the end of the last call."""
        self.chats.start()
        self.batches.start()
        self.fleet.run(self.scenario.length)
        self.chats.stop()
        self.fleet.run(self.scenario.clients.whole)
        self.chats.close()
        self.batches.close()


@pytest.fixture(scope="module")
def load() -> Load:
    """Return a load that was played to its end."""
    load = Load()
    load.run()
    return load


def test_every_request_ends_and_no_rule_is_broken(load: Load) -> None:
    assert not load.chats.open and not load.batches.open
    assert load.quiet[-2:] and set(load.quiet) == {"chat", "batch"}
    assert_rules_kept(load.fleet)
    assert_nothing_left(load.fleet)


def test_each_request_is_counted_once_by_its_last_answer(load: Load) -> None:
    figures = {name: tally.figures() for name, tally in load.chats.tallies.items()}
    assert set(figures) == {"ask", "post"}
    for figure in figures.values():
        assert sum(figure["answers"].values()) == figure["sequences"] <= figure["tries"]
        assert figure["answers"]["generated"] > 0 and figure["goodput"] > 0.5
        assert figure["first_token"]["p50"] <= figure["first_token"]["p99"]
    assert sum(figure["sequences"] for figure in figures.values()) == load.chats.requested
    assert sum(figure["answers"].get("left", 0) for figure in figures.values()) > 0


def test_clients_that_disconnect_cancel_their_call_and_do_not_retry(load: Load) -> None:
    disconnected = {record.more["call"] for record in load.fleet.records("left")}
    assert disconnected
    ends = {record.more["call"]: record.more["code"] for record in load.fleet.records("over")}
    assert {ends[call] for call in disconnected} == {"CANCELLED"}
    requests = {record.more["call"] for record in load.fleet.records("ask")}
    assert not {_next_call(call) for call in disconnected} & requests


def _next_call(call: str) -> str:
    key, attempt = call.rsplit(".", 1)
    return f"{key}.{int(attempt) + 1}"


def test_all_items_of_batches_have_the_right_value_and_order(load: Load) -> None:
    figures = load.batches.figures()
    assert figures["faults"] == [] and figures["items"] > 500
    assert set(figures["answers"]) == {"vec", "sort"}
    assert sum(sum(counts.values()) for counts in figures["answers"].values()) == figures["batches"]


def test_items_with_a_wrong_value_are_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("myrtlehub.emulator.batch_results.vector_of", lambda *arguments: b"wrong")
    load = Load()
    load.run()
    assert load.batches.faults
    assert all("(vec, " in fault for fault in load.batches.faults)
    assert all("has not the value of any one version" in fault for fault in load.batches.faults)


def test_a_seed_gives_the_same_plan() -> None:
    scenario = parse_config(SCENARIO, Scenario)
    plans = [
        (plan_sequences(scenario, scenario.rate, random), plan_batches(scenario, scenario.batch_rate, random))
        for random in (Random(SEED), Random(SEED))
    ]
    assert plans[0] == plans[1]
    sequences, batches = plans[0]
    assert any(plan.disconnects_after is not None for plan in sequences)
    assert any(plan.disconnects_on_token is not None for plan in sequences)
    assert {plan.idempotency_key[0] for plan in batches} == {"b"}


def test_clients_write_the_stored_form_of_records() -> None:
    recorder = Recorder("client", Clock())
    records = CallRecords(recorder, "m.1")
    records.request_sent("n1", "post", "m", 5.0, 20.0)
    records.request_resumed("m.0", 4)
    records.sequence_named(None)
    records.token_received(0.25)
    records.stream_migrated()
    records.final_answer(FinalAnswer.REJECTED, 3, 0.5)
    records.final_answer(FinalAnswer.GENERATED, 5, 0.5, CountedTokens("n1.r.0", 9, 77))
    records.client_disconnected()
    records.call_ended(Status(Code.UNAVAILABLE, "", unprocessed=True))
    assert [(record.what, record.more) for record in recorder.kept] == [
        ("ask", {"call": "m.1", "node": "n1", "traffic": "post", "mark": "m", "left": 5.0, "whole": 20.0}),
        ("goes on", {"call": "m.1", "after": "m.0", "tokens": 4}),
        ("seq", {"call": "m.1", "seq": ""}),
        ("token", {"call": "m.1", "behind": 0.25}),
        ("moved", {"call": "m.1"}),
        ("final", {"call": "m.1", "answer": "rejected", "tokens": 3, "behind": 0.5}),
        (
            "final",
            {
                "call": "m.1",
                "answer": "generated",
                "tokens": 5,
                "behind": 0.5,
                "ids": 9,
                "sum": 77,
                "seq": "n1.r.0",
            },
        ),
        ("left", {"call": "m.1"}),
        ("over", {"call": "m.1", "code": "UNAVAILABLE", "unprocessed": True}),
    ]
