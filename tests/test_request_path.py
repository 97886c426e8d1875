"""The whole request path on a driven clock: hard cases, rules by the checker, executors broken on purpose."""

import pytest
from fleet import Fleet

from myrtlehub.lab.rule_checker.checker import RuleChecker, check_records
from myrtlehub.lab.rule_checker.findings import RULE_NAMES
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.records import Record
from myrtlehub.routing import contract
from myrtlehub.rpc.transport_limits import TransportLimits
from myrtlehub.state.answer import AnswerEvent

ROWS = [
    {"name": "ask", "repeats": "repeatable", "dedup_group": "all", "dedup_window": 0.0},
    {"name": "post", "repeats": "once-only", "dedup_group": "all", "dedup_window": 0.0},
    {"name": "note", "repeats": "tokened", "dedup_group": "cell", "dedup_window": 5.0},
]


def check_rules(fleet: Fleet) -> RuleChecker:
    fleet.day.note("ends")
    terms = {
        "traffic": ROWS,
        "let_go": 0.5,
        "slack": 0.05,
        "engines": [(r["address"], r["cell"], r["zone"]) for r in fleet.rows.values()],
    }
    return check_records([Record(0.0, "day", "terms", terms), *fleet.log])


def assert_rules_kept(fleet: Fleet) -> RuleChecker:
    checker = check_rules(fleet)
    assert not checker.breaches, "\n".join(b.text for b in checker.breaches)
    return checker


def assert_nothing_left(f: Fleet) -> None:
    """Every node and engine that lives has let go of everything."""
    assert all(
        not n.executor.in_flight and not n.executor.outstanding_attempt_count() for n in f.nodes.values()
    )
    for stand in f.stands.values():
        m = stand.model
        if not m.has_crashed:
            assert not m.prefill.read_states and not m.decode.running
            assert not m.decode.queue and not m.prefill.running
            assert abs(m.resources.used_memory) < 1e-6


def test_prompt_is_read_its_state_fetched_and_tokens_streamed() -> None:
    f = Fleet()
    split, short = (
        f.ask(prompt=3000, session="s", shared_prefix="p", shared_tokens=900),
        f.ask("post", prompt=200),
    )
    f.run(4.0)
    assert (split.answer, short.answer) == ("generated", "generated") and split.tokens > 5
    assert [r.who for r in f.what("got")][:1] == ["R0a:1"] and len(f.what("ran")) == 2
    assert [r.more["why"] for r in f.what("freed")] == ["fetched"]
    checker = assert_rules_kept(f)
    assert checker.counts[1] == 2 and checker.counts[2] == 2 and checker.counts[5] == 1
    assert_nothing_left(f)


def test_malformed_requests_are_refused_with_the_field_and_not_accepted() -> None:
    f = Fleet()
    for more, said in [
        ({"traffic": "nope"}, "not one of ask, note, post"),
        ({"prompt": 0}, "prompt_tokens"),
        ({"output": 0}, "most_output"),
        ({"shared_tokens": 5000}, "shared_tokens"),
        ({"traffic": "note", "mark": "x" * 201}, "longer than 200"),
    ]:
        caller = f.ask(**more)
        f.run(0.1)
        assert caller.status.code.name == "INVALID_ARGUMENT" and said in caller.status.message
    assert f.nodes["n0"].executor.accepted_count == 0
    assert_rules_kept(f)


def test_writer_lost_mid_stream_aborts_an_at_most_once_sequence_without_retry() -> None:
    f = Fleet()
    post, ask = f.ask("post", prompt=200, output=400), f.ask(prompt=200, output=400)
    f.run(0.3)
    writers = {r.who for r in f.what("ran")}
    assert post.tokens and ask.tokens
    for writer in writers:
        f.kill(writer[:-2])
    f.run(5.0)
    assert (post.answer, ask.answer) == ("aborted", "aborted") and len(f.what("ran")) == 2
    assert_rules_kept(f)
    assert not f.nodes["n0"].executor.in_flight


def test_reader_lost_between_read_and_fetch_leads_to_a_retry() -> None:
    f = Fleet("R0 R0 W0", slots=1)
    f.ask(prompt=300, output=100)  # keeps the writer's only slot
    f.run(0.1)
    late = f.ask("post", prompt=3000, output=20, left=4.0)
    f.run(0.35)
    held = f.what("held")
    assert held and late.answer == ""
    f.kill(held[0].who[:-2])
    f.run(8.0)
    assert [r.more["no_state"] for r in f.what("refused")] == [True]
    assert late.answer == "generated"  # known not to have run: read anew elsewhere
    assert_rules_kept(f)


def test_hung_writer_leads_to_a_final_answer_at_the_deadline() -> None:
    f = Fleet("R0 W0")
    f.misbehave("W0b", "hang")
    f.run(0.05)
    post, ask = f.ask("post", prompt=200, left=2.0), f.ask(prompt=3000, left=2.0)
    f.run(1.9)
    assert not post.answer
    f.run(0.2)
    assert (post.answer, ask.answer) == ("aborted", "rejected")
    f.misbehave("W0b", "well")
    f.run(3.0)
    assert not f.what("ran")
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_refusing_writers_lead_to_retries_elsewhere() -> None:
    f = Fleet("R0 W0 W0")
    f.misbehave("W0b", "refuse", 1.0)
    f.run(0.05)
    calls = [f.ask("post" if i % 2 else "ask", prompt=200, output=40) for i in range(12)]
    f.run(8.0)
    assert [c.answer for c in calls] == ["generated"] * 12 and f.what("refused")
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_draining_engine_ends_its_streams_and_gets_no_new_ones() -> None:
    f = Fleet("R0 W0 W0")
    calls = [f.ask(prompt=200, output=200) for _ in range(6)]
    f.run(0.2)
    assert {r.who for r in f.what("ran")} == {"W0b:1", "W0c:1"}
    f.tell("W0b", "draining")
    f.run(0.3)
    drained_from = f.clock.seconds()
    calls += [f.ask(prompt=200, output=20) for _ in range(6)]
    f.run(8.0)
    assert all(c.answer == "generated" for c in calls)
    assert not [r for r in f.what("got", "W0b") if r.at > drained_from]
    assert_rules_kept(f)
    f.tell("W0b", "gone")
    f.run(0.5)
    assert "W0b:1" not in f.nodes["n0"].transport.channels
    f.tell("W0b", "serving")
    f.run(0.1)
    assert f.nodes["n0"].executor.list_version == 4


@pytest.mark.parametrize("after", [0.0, 0.05, 0.2, 0.25, 0.6])
def test_client_that_leaves_at_each_stage_frees_everything(after: float) -> None:
    f = Fleet(read_rate=15000.0)
    caller = f.ask("post", prompt=3000, output=300)  # read until 0.2, fetched by 0.22, then streams
    f.run(after)
    f.leave(caller)
    f.run(3.0)
    assert caller.answer == "" and f.nodes["n0"].executor.answer_counts == (
        {"left": 1} if f.what("got") else {}
    )
    assert not f.what("ended")
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_back_pressure_of_a_client_pauses_its_own_stream_only() -> None:
    f = Fleet("W0", step="2ms", slots=8, more="limits: {least_rate: 0}")  # else it would be cut off
    link = f.nodes["n0"].transport.transport_limits = TransportLimits(stream_window=16384)
    f.channels["n0"].limits = TransportLimits(stream_window=4096)
    stuck = f.ask(prompt=100, output=190000, left=4.0)
    stuck.call.pauseProducing()
    others = [f.ask(prompt=100, output=200) for _ in range(3)]
    f.run(60.0)
    assert all(c.answer == "generated" for c in others) and stuck.answer == ""
    (waiting,) = f.nodes["n0"].server.calls
    pulled = next(iter(f.nodes["n0"].executor.in_flight.values())).streaming_attempt.call.stream
    here = waiting.buffered + sum(map(len, pulled._received))
    poured = sum(job.call.buffered for job in f.stands["W0a"].jobs)
    assert 65536 < here <= 65536 + 2 * link.stream_window and poured > 20000  # it stays at the writer
    f.leave(stuck)
    f.run(1.0)
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_final_answer_that_races_with_a_cancel_is_sent_once() -> None:
    f = Fleet("R0 W0")
    f.misbehave("W0b", "hang", seconds=1.95)
    f.run(0.02)
    calls = [f.ask("post", prompt=200, left=1.9 + 0.005 * i, output=3) for i in range(16)]
    f.run(6.0)
    answers = [c.answer for c in calls]
    assert set(answers) == {"aborted", "generated"} or set(answers) == {"aborted"}
    assert len(f.what("final")) == 16
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_restarted_node_never_repeats_an_at_most_once_sequence() -> None:
    f = Fleet("R0 W0 W0", nodes=2)
    calls = [f.ask("post", prompt=200 + 2000 * (i % 2), output=300, node="n0") for i in range(6)]
    f.run(0.3)
    f.kill("n0")
    f.run(0.2)
    assert all(c.status is not None and not c.answer for c in calls)
    f.nodes["n0"] = f.node(0, run="2")
    again = f.ask("ask", prompt=200, node="n0")
    other = f.ask("ask", prompt=200, node="n1")
    f.run(6.0)
    assert (again.answer, other.answer) == ("generated", "generated")
    checker = assert_rules_kept(f)
    assert checker.counts[2] >= 6
    for stand in f.stands.values():  # what the dead node's streams held was let go as their connection broke
        assert not stand.model.decode.running and not stand.model.prefill.read_states


def test_cold_engine_gets_load_again_after_its_restart() -> None:
    f = Fleet("R0 R0 W0 W0", nodes=3, slots=4)
    for i in range(200):
        f.ask(prompt=200 + 1500 * (i % 2), output=60, node=f"n{i % 3}")
        f.run(0.03)
        if i == 60:
            f.kill("W0c")
        if i == 70:
            f.engine("W0c", cold=True)
            f.tell("W0c", "serving", age=0.001)
    f.run(6.0)
    assert len(f.what("up", "W0c")) == 2 and [
        r for r in f.what("got", "W0c") if r.at > f.what("up", "W0c")[1].at
    ]
    assert_rules_kept(f)


def test_call_deadline_aborts_a_stream_that_has_begun() -> None:
    f = Fleet("W0", step="100ms")
    caller = f.ask("post", prompt=100, output=5000, timeout=2.0)
    f.run(1.9)
    assert caller.tokens > 10 and not caller.answer
    f.run(0.3)
    assert caller.answer == "aborted" and caller.status.code.name == "OK"
    f.run(1.0)
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_drain_ends_streams_within_drain_within() -> None:
    f = Fleet("W0")
    short, long = f.ask(prompt=100, output=40), f.ask("post", prompt=100, output=4000)
    f.run(0.2)
    gone = []
    f.nodes["n0"].drain().addCallback(gone.append)
    f.net.hosts.pop("n0:1")
    f.run(2.5)
    late = f.ask(prompt=100)
    f.run(0.1)
    assert late.status.unprocessed and short.answer == "generated" and not long.answer and not gone
    f.run(1.0)
    assert long.answer == "aborted" and gone  # within drain_within, 3 s
    assert_rules_kept(f)


def test_pushed_endpoint_list_is_accepted_whole_or_not_at_all() -> None:
    f = Fleet()
    f.rows["X0z"] = {"address": "X0z:1", "kind": "mixer", "zone": "north", "cell": 0}
    f.tell("X0z", "serving")
    f.run(0.1)
    assert f.nodes["n0"].executor.list_version == 1 and not f.what("told")


def test_writer_that_refuses_after_its_fetch_leads_to_a_new_read() -> None:
    f = Fleet("R0 W0 W0", mishaps={"full_after_fetch": 0.5})
    calls = [f.ask("post", prompt=2500, output=10) for _ in range(12)]
    f.run(6.0)
    refused = [r for r in f.what("refused") if not r.more["no_state"]]
    assert refused and [r for r in f.what("refused") if r.more["no_state"]]  # then its state is not there
    assert sum(c.answer == "generated" for c in calls) > 6 and all(c.answer for c in calls)
    assert_rules_kept(f)
    assert_nothing_left(f)


def test_broken_fetch_counts_as_not_run() -> None:
    f = Fleet("R0 W0", mishaps={"lose_fetch": 0.5})
    calls = [f.ask("post", prompt=2500, output=10) for _ in range(8)]
    f.run(8.0)
    assert f.what("fetch lost") and all(c.answer for c in calls)
    assert sum(c.answer == "generated" for c in calls) >= 4
    assert_rules_kept(f)
    assert_nothing_left(f)


@pytest.mark.parametrize("answer_first", [True, False])
def test_answer_and_timeout_in_one_turn_give_one_final_answer(answer_first: bool) -> None:
    f = Fleet("W0")
    f.misbehave("W0a", "hang")
    f.run(0.02)
    caller = f.ask("post", prompt=100)
    f.run(0.1)
    executor = f.nodes["n0"].executor
    attempt = executor.in_flight[0].attempts[0]
    steps = [
        lambda: executor.ended(attempt, contract.Outcome.GENERATED, tokens=0),
        lambda: executor._timed_out(attempt),
    ]
    for step in steps if answer_first else reversed(steps):
        step()
    f.run(5.0)
    assert caller.answer == ("generated" if answer_first else "aborted") and len(f.what("final")) == 1
    assert executor.answer_counts.total() == 1 and not executor.in_flight


def test_engine_does_not_start_what_is_past_its_deadline() -> None:
    f = Fleet("W0", slots=1)
    f.ask(prompt=100, output=200)
    f.run(0.1)
    late = f.ask(prompt=100, output=10, left=0.5)  # behind the first there is no time for it
    f.run(0.05)
    f.net.silent.add("n0:1")  # not even the node's reset arrives
    f.run(6.0)
    assert late.answer != "generated" and len(f.what("expired")) == 1 and len(f.what("ran")) == 1


def test_client_retry_at_another_node_runs_once() -> None:
    f = Fleet("R0 W0 W0", nodes=2)
    f.misbehave("W0b", "hang", seconds=3.0)
    f.misbehave("W0c", "hang", seconds=3.0)
    f.run(0.05)
    first = f.ask("post", prompt=200, left=1.0, mark="inv-1", node="n0")
    read = f.ask("ask", prompt=200, left=1.0, mark="q-1", node="n0")
    f.run(3.2)
    assert (first.answer, read.answer) == ("aborted", "rejected")
    again = f.ask("ask", prompt=200, mark="q-1", node="n1", repeated=True)
    f.run(4.0)
    assert again.answer == "generated" and not [r for r in f.what("ran") if r.more["mark"] == "inv-1"]
    assert_rules_kept(f)


# -- executors that are broken on purpose: each has to be caught, by its rule ------------------------------


class TellsTwice(ActionExecutor):
    """Sends a rejection twice."""

    def _reject(self, action: contract.Reject) -> None:
        client = self.in_flight[action.sequence].client
        client.call.finish = lambda *args: None
        super()._reject(action)
        client.rejected(action.retry_after)


class Forgets(ActionExecutor):
    """Never sends a rejection."""

    def _reject(self, action: contract.Reject) -> None:
        self.in_flight[action.sequence].answer.step(AnswerEvent.REJECT)


class ClaimsNotRun(ActionExecutor):
    """Reports an attempt that was reset as one that did not run."""

    def ended(self, attempt: Attempt, outcome: str, *args: object, **more: object) -> None:
        super().ended(
            attempt, contract.Outcome.FULL if outcome == contract.Outcome.RESET else outcome, *args, **more
        )


class RejectsAll(ActionExecutor):
    """Rejects what may have run."""

    def _abort(self, action: contract.Abort) -> None:
        self._reject(contract.Reject(action.sequence, 0.0))


class IgnoresDrains(ActionExecutor):
    """Takes draining engines for serving ones."""

    def update_endpoints(self, rows: list, whole: bool, number: int = 0, digest: str = "") -> None:
        super().update_endpoints([r.with_fields(state="serving") for r in rows], whole)


class ForgetsAge(ActionExecutor):
    """Takes cold engines for warm ones."""

    def update_endpoints(self, rows: list, whole: bool, number: int = 0, digest: str = "") -> None:
        super().update_endpoints([r.with_fields(age=0.0) for r in rows], whole)


class KeepsStates(ActionExecutor):
    """Never releases a read state."""

    def _release(self, action: contract.Release) -> None:
        pass


def no_room(f: Fleet) -> None:
    f.misbehave("W0b", "hang")
    f.run(0.05)
    for _ in range(3):
        f.ask(prompt=100, left=1.0)
    f.run(2.0)


def broken_streams(f: Fleet) -> None:
    f.misbehave("W0b", "hang")
    f.misbehave("W0c", "hang")
    f.run(0.05)
    f.ask("post", prompt=200)
    f.run(0.3)
    f.kill(f.what("got")[0].who[:-2])
    f.run(5.0)


def hung_post(f: Fleet) -> None:
    f.misbehave("W0b", "hang")
    f.misbehave("W0c", "hang")
    f.run(0.05)
    f.ask("post", prompt=200, left=1.0)
    f.run(2.0)


def drained(f: Fleet) -> None:
    f.tell("W0b", "draining")
    f.run(0.5)
    for _ in range(12):
        f.ask(prompt=200, output=20)
    f.run(4.0)


def cold_rush(f: Fleet) -> None:
    f.kill("W0c")
    f.run(0.1)
    f.engine("W0c", cold=True)
    f.tell("W0c", "serving", age=0.001)
    f.run(0.1)
    for _ in range(240):
        f.ask(prompt=200, output=60)
        f.run(0.005)
    f.run(4.0)


def left_after_read(f: Fleet) -> None:
    caller = f.ask(prompt=4000)
    f.misbehave("W0b", "hang")
    f.misbehave("W0c", "hang")
    f.run(0.4)
    f.leave(caller)
    f.run(6.0)


@pytest.mark.parametrize(
    ("executor_class", "trouble", "rule"),
    [
        (TellsTwice, no_room, 1),
        (Forgets, no_room, 1),
        (ClaimsNotRun, broken_streams, 2),
        (RejectsAll, hung_post, 2),
        (IgnoresDrains, drained, 3),
        (ForgetsAge, cold_rush, 4),
        (KeepsStates, left_after_read, 5),
    ],
)
def test_broken_executor_is_caught_by_its_rule(
    executor_class: type[ActionExecutor], trouble: object, rule: int
) -> None:
    for kind, wanted in ((ActionExecutor, set()), (executor_class, {rule})):
        engines = {no_room: "R0 W0", cold_rush: "R0 W0 W0 W0 W0"}.get(trouble, "R0 W0 W0")
        f = Fleet(engines, executor_class=kind, queue=200)
        trouble(f)
        found = check_rules(f)
        assert {b.rule for b in found.breaches} == wanted, [b.text for b in found.breaches]
        assert set(found.counts) == set(RULE_NAMES)


def test_a_held_sequence_is_small() -> None:
    assert not hasattr(
        InFlightSequence(0, "x", None, contract.Arrival(0, None, 1, 1, 0, 0, 0, 1, 0), None, 0.0), "__dict__"
    )
