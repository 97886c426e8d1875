"""The complete request path on a simulated clock: edge cases, and broken executors that the checker finds."""

import pytest
from fleet import Fleet
from fleet_checks import assert_nothing_left, assert_rules_kept, check_rules

from myrtlehub.lab.rule_checker.findings import RULE_NAMES
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.routing import contract
from myrtlehub.rpc.transport_limits import TransportLimits
from myrtlehub.state.answer import AnswerEvent


def test_prompt_is_read_its_state_fetched_and_tokens_streamed() -> None:
    fleet = Fleet()
    split, short = (
        fleet.generate(prompt=3000, session="s", shared_prefix="p", shared_tokens=900),
        fleet.generate("post", prompt=200),
    )
    fleet.run(4.0)
    assert (split.answer, short.answer) == ("generated", "generated") and split.tokens > 5
    assert [record.who for record in fleet.records("got")][:1] == ["R0a:1"] and len(fleet.records("ran")) == 2
    assert [record.more["why"] for record in fleet.records("freed")] == ["fetched"]
    checker = assert_rules_kept(fleet)
    assert checker.counts[1] == 2 and checker.counts[2] == 2 and checker.counts[5] == 1
    assert_nothing_left(fleet)


def test_malformed_requests_are_rejected_with_the_field_and_not_accepted() -> None:
    fleet = Fleet()
    for fields, message_part in [
        ({"traffic": "nope"}, "not one of ask, note, post"),
        ({"prompt": 0}, "prompt_tokens"),
        ({"output": 0}, "most_output"),
        ({"shared_tokens": 5000}, "shared_tokens"),
        ({"traffic": "note", "mark": "x" * 201}, "longer than 200"),
    ]:
        caller = fleet.generate(**fields)
        fleet.run(0.1)
        assert caller.status.code.name == "INVALID_ARGUMENT" and message_part in caller.status.message
    assert fleet.nodes["n0"].executor.accepted_count == 0
    assert_rules_kept(fleet)


def test_writer_lost_mid_stream_aborts_an_at_most_once_sequence_without_retry() -> None:
    fleet = Fleet()
    post, ask = fleet.generate("post", prompt=200, output=400), fleet.generate(prompt=200, output=400)
    fleet.run(0.3)
    writers = {record.who for record in fleet.records("ran")}
    assert post.tokens and ask.tokens
    for writer in writers:
        fleet.kill(writer[:-2])
    fleet.run(5.0)
    assert (post.answer, ask.answer) == ("aborted", "aborted") and len(fleet.records("ran")) == 2
    assert_rules_kept(fleet)
    assert not fleet.nodes["n0"].executor.in_flight


def test_reader_lost_between_read_and_fetch_leads_to_a_retry() -> None:
    fleet = Fleet("R0 R0 W0", slots=1)
    fleet.generate(prompt=300, output=100)  # occupies the writer's only slot
    fleet.run(0.1)
    late_call = fleet.generate("post", prompt=3000, output=20, time_left=4.0)
    fleet.run(0.35)
    held_states = fleet.records("held")
    assert held_states and late_call.answer == ""
    fleet.kill(held_states[0].who[:-2])
    fleet.run(8.0)
    assert [record.more["no_state"] for record in fleet.records("refused")] == [True]
    assert late_call.answer == "generated"  # it certainly did not run, so it is read again elsewhere
    assert_rules_kept(fleet)


def test_hung_writer_leads_to_a_final_answer_at_the_deadline() -> None:
    fleet = Fleet("R0 W0")
    fleet.inject_fault("W0b", "hang")
    fleet.run(0.05)
    post, ask = fleet.generate("post", prompt=200, time_left=2.0), fleet.generate(prompt=3000, time_left=2.0)
    fleet.run(1.9)
    assert not post.answer
    fleet.run(0.2)
    assert (post.answer, ask.answer) == ("aborted", "rejected")
    fleet.inject_fault("W0b", "well")
    fleet.run(3.0)
    assert not fleet.records("ran")
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_rejecting_writers_lead_to_retries_elsewhere() -> None:
    fleet = Fleet("R0 W0 W0")
    fleet.inject_fault("W0b", "refuse", 1.0)
    fleet.run(0.05)
    calls = [fleet.generate("post" if i % 2 else "ask", prompt=200, output=40) for i in range(12)]
    fleet.run(8.0)
    assert [call.answer for call in calls] == ["generated"] * 12 and fleet.records("refused")
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_draining_engine_ends_its_streams_and_gets_no_new_ones() -> None:
    fleet = Fleet("R0 W0 W0")
    calls = [fleet.generate(prompt=200, output=200) for _ in range(6)]
    fleet.run(0.2)
    assert {record.who for record in fleet.records("ran")} == {"W0b:1", "W0c:1"}
    fleet.push_list_event("W0b", "draining")
    fleet.run(0.3)
    drained_from = fleet.clock.seconds()
    calls += [fleet.generate(prompt=200, output=20) for _ in range(6)]
    fleet.run(8.0)
    assert all(call.answer == "generated" for call in calls)
    assert not [record for record in fleet.records("got", "W0b") if record.at > drained_from]
    assert_rules_kept(fleet)
    fleet.push_list_event("W0b", "gone")
    fleet.run(0.5)
    assert "W0b:1" not in fleet.nodes["n0"].transport.channels
    fleet.push_list_event("W0b", "serving")
    fleet.run(0.1)
    assert fleet.nodes["n0"].executor.list_version == 4


@pytest.mark.parametrize("after", [0.0, 0.05, 0.2, 0.25, 0.6])
def test_client_that_disconnects_at_each_stage_frees_everything(after: float) -> None:
    fleet = Fleet(read_rate=15000.0)
    caller = fleet.generate("post", prompt=3000, output=300)  # read by 0.2 s, fetched by 0.22 s
    fleet.run(after)
    fleet.cancel(caller)
    fleet.run(3.0)
    assert caller.answer == "" and fleet.nodes["n0"].executor.answer_counts == (
        {"left": 1} if fleet.records("got") else {}
    )
    assert not fleet.records("ended")
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_back_pressure_of_a_client_pauses_its_own_stream_only() -> None:
    # No minimum rate, as the stalled client would be disconnected for it.
    fleet = Fleet("W0", step="2ms", slots=8, more_settings="limits: {least_rate: 0}")
    engine_limits = fleet.nodes["n0"].transport.transport_limits = TransportLimits(stream_window=16384)
    fleet.channels["n0"].limits = TransportLimits(stream_window=4096)
    stalled = fleet.generate(prompt=100, output=190000, time_left=4.0)
    stalled.call.pauseProducing()
    others = [fleet.generate(prompt=100, output=200) for _ in range(3)]
    fleet.run(60.0)
    assert all(call.answer == "generated" for call in others) and stalled.answer == ""
    (client_call,) = fleet.nodes["n0"].server.calls
    engine_stream = next(
        iter(fleet.nodes["n0"].executor.in_flight.values())
    ).streaming_attempt.transport_call.stream
    buffered_at_node = client_call.buffered + sum(map(len, engine_stream._received))
    buffered_at_writer = sum(job.call.buffered for job in fleet.engines["W0a"].jobs)
    assert 65536 < buffered_at_node <= 65536 + 2 * engine_limits.stream_window
    assert buffered_at_writer > 20000  # the rest stays at the writer
    fleet.cancel(stalled)
    fleet.run(1.0)
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_final_answer_that_races_with_a_cancel_is_sent_once() -> None:
    fleet = Fleet("R0 W0")
    fleet.inject_fault("W0b", "hang", seconds=1.95)
    fleet.run(0.02)
    calls = [fleet.generate("post", prompt=200, time_left=1.9 + 0.005 * i, output=3) for i in range(16)]
    fleet.run(6.0)
    answers = [call.answer for call in calls]
    assert set(answers) == {"aborted", "generated"} or set(answers) == {"aborted"}
    assert len(fleet.records("final")) == 16
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_restarted_node_never_repeats_an_at_most_once_sequence() -> None:
    fleet = Fleet("R0 W0 W0", nodes=2)
    calls = [fleet.generate("post", prompt=200 + 2000 * (i % 2), output=300, node="n0") for i in range(6)]
    fleet.run(0.3)
    fleet.kill("n0")
    fleet.run(0.2)
    assert all(call.status is not None and not call.answer for call in calls)
    fleet.nodes["n0"] = fleet.start_node(0, run="2")
    restarted_call = fleet.generate("ask", prompt=200, node="n0")
    other = fleet.generate("ask", prompt=200, node="n1")
    fleet.run(6.0)
    assert (restarted_call.answer, other.answer) == ("generated", "generated")
    checker = assert_rules_kept(fleet)
    assert checker.counts[2] >= 6
    # The engines released the work and read states of the crashed node when its connections were lost.
    for engine in fleet.engines.values():
        assert not engine.model.decode.running and not engine.model.prefill.read_states


def test_restarted_engine_gets_load_again_during_its_slow_start() -> None:
    fleet = Fleet("R0 R0 W0 W0", nodes=3, slots=4)
    for i in range(200):
        fleet.generate(prompt=200 + 1500 * (i % 2), output=60, node=f"n{i % 3}")
        fleet.run(0.03)
        if i == 60:
            fleet.kill("W0c")
        if i == 70:
            fleet.start_engine("W0c", cold=True)
            fleet.push_list_event("W0c", "serving", age=0.001)
    fleet.run(6.0)
    assert len(fleet.records("up", "W0c")) == 2 and [
        record for record in fleet.records("got", "W0c") if record.at > fleet.records("up", "W0c")[1].at
    ]
    assert_rules_kept(fleet)


def test_call_deadline_aborts_a_stream_that_has_begun() -> None:
    fleet = Fleet("W0", step="100ms")
    caller = fleet.generate("post", prompt=100, output=5000, timeout=2.0)
    fleet.run(1.9)
    assert caller.tokens > 10 and not caller.answer
    fleet.run(0.3)
    assert caller.answer == "aborted" and caller.status.code.name == "OK"
    fleet.run(1.0)
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_drain_ends_streams_within_drain_within() -> None:
    fleet = Fleet("W0")
    short, long = fleet.generate(prompt=100, output=40), fleet.generate("post", prompt=100, output=4000)
    fleet.run(0.2)
    drain_ends = []
    fleet.nodes["n0"].drain().addCallback(drain_ends.append)
    fleet.net.hosts.pop("n0:1")
    fleet.run(2.5)
    late_call = fleet.generate(prompt=100)
    fleet.run(0.1)
    assert late_call.status.unprocessed and short.answer == "generated"
    assert not long.answer and not drain_ends
    fleet.run(1.0)
    assert long.answer == "aborted" and drain_ends  # drain_within is 3 s
    assert_rules_kept(fleet)


def test_pushed_endpoint_list_is_accepted_completely_or_not_at_all() -> None:
    fleet = Fleet()
    fleet.endpoints["X0z"] = {"address": "X0z:1", "kind": "mixer", "zone": "north", "cell": 0}
    fleet.push_list_event("X0z", "serving")
    fleet.run(0.1)
    assert fleet.nodes["n0"].executor.list_version == 1 and not fleet.records("told")


def test_writer_that_rejects_after_its_fetch_leads_to_a_new_read() -> None:
    fleet = Fleet("R0 W0 W0", mishaps={"full_after_fetch": 0.5})
    calls = [fleet.generate("post", prompt=2500, output=10) for _ in range(12)]
    fleet.run(6.0)
    rejected_after_fetch = [record for record in fleet.records("refused") if not record.more["no_state"]]
    # The reader has freed a state that was fetched, so a second write of the same state is rejected.
    rejected_without_state = [record for record in fleet.records("refused") if record.more["no_state"]]
    assert rejected_after_fetch and rejected_without_state
    assert sum(call.answer == "generated" for call in calls) > 6 and all(call.answer for call in calls)
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_broken_fetch_counts_as_not_run() -> None:
    fleet = Fleet("R0 W0", mishaps={"lose_fetch": 0.5})
    calls = [fleet.generate("post", prompt=2500, output=10) for _ in range(8)]
    fleet.run(8.0)
    assert fleet.records("fetch lost") and all(call.answer for call in calls)
    assert sum(call.answer == "generated" for call in calls) >= 4
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


@pytest.mark.parametrize("answer_first", [True, False])
def test_answer_and_timeout_in_one_turn_give_one_final_answer(answer_first: bool) -> None:
    fleet = Fleet("W0")
    fleet.inject_fault("W0a", "hang")
    fleet.run(0.02)
    caller = fleet.generate("post", prompt=100)
    fleet.run(0.1)
    executor = fleet.nodes["n0"].executor
    attempt = executor.in_flight[0].attempts[0]
    events = [
        lambda: executor.attempt_ended(attempt, contract.Outcome.GENERATED, tokens=0),
        lambda: executor._handle_timeout(attempt),
    ]
    for event in events if answer_first else reversed(events):
        event()
    fleet.run(5.0)
    assert caller.answer == ("generated" if answer_first else "aborted") and len(fleet.records("final")) == 1
    assert executor.answer_counts.total() == 1 and not executor.in_flight


def test_engine_does_not_start_what_is_past_its_deadline() -> None:
    fleet = Fleet("W0", slots=1)
    fleet.generate(prompt=100, output=200)
    fleet.run(0.1)
    # Queued behind the first, it cannot start before its deadline.
    late_call = fleet.generate(prompt=100, output=10, time_left=0.5)
    fleet.run(0.05)
    fleet.net.silent.add("n0:1")  # the engine does not get the node's reset either
    fleet.run(6.0)
    assert (
        late_call.answer != "generated"
        and len(fleet.records("expired")) == 1
        and len(fleet.records("ran")) == 1
    )


def test_client_retry_at_another_node_runs_once() -> None:
    fleet = Fleet("R0 W0 W0", nodes=2)
    fleet.inject_fault("W0b", "hang", seconds=3.0)
    fleet.inject_fault("W0c", "hang", seconds=3.0)
    fleet.run(0.05)
    first = fleet.generate("post", prompt=200, time_left=1.0, mark="inv-1", node="n0")
    read = fleet.generate("ask", prompt=200, time_left=1.0, mark="q-1", node="n0")
    fleet.run(3.2)
    assert (first.answer, read.answer) == ("aborted", "rejected")
    retry = fleet.generate("ask", prompt=200, mark="q-1", node="n1", repeated=True)
    fleet.run(4.0)
    assert retry.answer == "generated" and not [
        record for record in fleet.records("ran") if record.more["mark"] == "inv-1"
    ]
    assert_rules_kept(fleet)


# -- broken executors: the checker must report the rule that each of them breaks --------------------------


class SendsRejectionTwice(ActionExecutor):
    """Sends a rejection twice."""

    def _reject(self, action: contract.Reject) -> None:
        client = self.in_flight[action.sequence].response_sink
        client.call.finish = lambda *args: None
        super()._reject(action)
        client.rejected(action.retry_after)


class SendsNoRejection(ActionExecutor):
    """Never sends a rejection."""

    def _reject(self, action: contract.Reject) -> None:
        self.in_flight[action.sequence].answer.step(AnswerEvent.REJECT)


class ReportsRunAsNotRun(ActionExecutor):
    """Reports an attempt that was reset as one that did not run."""

    def attempt_ended(self, attempt: Attempt, outcome: str, *args: object, **options: object) -> None:
        super().attempt_ended(
            attempt, contract.Outcome.FULL if outcome == contract.Outcome.RESET else outcome, *args, **options
        )


class RejectsAborted(ActionExecutor):
    """Rejects sequences that may have run instead of aborting them."""

    def _abort(self, action: contract.Abort) -> None:
        self._reject(contract.Reject(action.sequence, 0.0))


class IgnoresDraining(ActionExecutor):
    """Treats draining engines as serving ones."""

    def update_endpoints(
        self, endpoints: list, is_complete: bool, version: int = 0, digest: str = ""
    ) -> None:
        super().update_endpoints(
            [endpoint.with_fields(state="serving") for endpoint in endpoints], is_complete
        )


class IgnoresEngineAge(ActionExecutor):
    """Treats cold engines as warmed up."""

    def update_endpoints(
        self, endpoints: list, is_complete: bool, version: int = 0, digest: str = ""
    ) -> None:
        super().update_endpoints([endpoint.with_fields(age=0.0) for endpoint in endpoints], is_complete)


class ReleasesNoState(ActionExecutor):
    """Never releases a read state."""

    def _release(self, action: contract.Release) -> None:
        pass


def no_capacity(fleet: Fleet) -> None:
    fleet.inject_fault("W0b", "hang")
    fleet.run(0.05)
    for _ in range(3):
        fleet.generate(prompt=100, time_left=1.0)
    fleet.run(2.0)


def reset_streams(fleet: Fleet) -> None:
    fleet.inject_fault("W0b", "hang")
    fleet.inject_fault("W0c", "hang")
    fleet.run(0.05)
    fleet.generate("post", prompt=200)
    fleet.run(0.3)
    fleet.kill(fleet.records("got")[0].who[:-2])
    fleet.run(5.0)


def hung_writers(fleet: Fleet) -> None:
    fleet.inject_fault("W0b", "hang")
    fleet.inject_fault("W0c", "hang")
    fleet.run(0.05)
    fleet.generate("post", prompt=200, time_left=1.0)
    fleet.run(2.0)


def draining_writer(fleet: Fleet) -> None:
    fleet.push_list_event("W0b", "draining")
    fleet.run(0.5)
    for _ in range(12):
        fleet.generate(prompt=200, output=20)
    fleet.run(4.0)


def load_on_a_restarted_writer(fleet: Fleet) -> None:
    fleet.kill("W0c")
    fleet.run(0.1)
    fleet.start_engine("W0c", cold=True)
    fleet.push_list_event("W0c", "serving", age=0.001)
    fleet.run(0.1)
    for _ in range(240):
        fleet.generate(prompt=200, output=60)
        fleet.run(0.005)
    fleet.run(4.0)


def client_disconnects_after_read(fleet: Fleet) -> None:
    caller = fleet.generate(prompt=4000)
    fleet.inject_fault("W0b", "hang")
    fleet.inject_fault("W0c", "hang")
    fleet.run(0.4)
    fleet.cancel(caller)
    fleet.run(6.0)


@pytest.mark.parametrize(
    ("executor_class", "fault", "rule"),
    [
        (SendsRejectionTwice, no_capacity, 1),
        (SendsNoRejection, no_capacity, 1),
        (ReportsRunAsNotRun, reset_streams, 2),
        (RejectsAborted, hung_writers, 2),
        (IgnoresDraining, draining_writer, 3),
        (IgnoresEngineAge, load_on_a_restarted_writer, 4),
        (ReleasesNoState, client_disconnects_after_read, 5),
    ],
)
def test_broken_executor_is_caught_by_its_rule(
    executor_class: type[ActionExecutor], fault: object, rule: int
) -> None:
    for tested_class, broken_rules in ((ActionExecutor, set()), (executor_class, {rule})):
        engines = {no_capacity: "R0 W0", load_on_a_restarted_writer: "R0 W0 W0 W0 W0"}.get(fault, "R0 W0 W0")
        fleet = Fleet(engines, executor_class=tested_class, queue=200)
        fault(fleet)
        checker = check_rules(fleet)
        assert {breach.rule for breach in checker.breaches} == broken_rules, [
            breach.text for breach in checker.breaches
        ]
        assert set(checker.counts) == set(RULE_NAMES)


def test_a_sequence_in_flight_is_small() -> None:
    assert not hasattr(
        InFlightSequence(0, "x", None, contract.Arrival(0, None, 1, 1, 0, 0, 0, 1, 0), None, 0.0), "__dict__"
    )
