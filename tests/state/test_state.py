"""State machines of a sequence: tables are complete, the model keeps the rules, seeded faults are found."""

from enum import StrEnum
from typing import NamedTuple

import pytest
from paths import ROOT

from myrtlehub.routing.contract import Outcome, RetrySemantics
from myrtlehub.state.answer import ANSWER, AnswerEffect, AnswerEvent, AnswerState
from myrtlehub.state.attempt import ATTEMPT, AttemptEffect, AttemptEvent, AttemptState
from myrtlehub.state.model import ModelConfig, initial_state
from myrtlehub.state.model_checker import CheckResult, UnknownStepError, check_model, replay
from myrtlehub.state.model_transitions import ModelTransitions
from myrtlehub.state.read_state import (
    READ_STATE,
    ReadStateEvent,
    ReadStateStatus,
    event_of_write_end,
)
from myrtlehub.state.state_machine import (
    AmbiguousTransitionError,
    CommonEffect,
    InvalidTransitionError,
    StateMachine,
    Transition,
    TransitionTable,
    forbid,
    on,
)

DESIGN_PAGE = ROOT / "docs" / "design" / "sequence-life.md"
TABLES = (ATTEMPT, ANSWER, READ_STATE)
AT_MOST_ONCE = RetrySemantics.AT_MOST_ONCE
IDEMPOTENT = RetrySemantics.IDEMPOTENT
IDEMPOTENCY_KEY = RetrySemantics.IDEMPOTENCY_KEY


def check(config: ModelConfig, max_depth: int = 60, max_states: int = 10**6) -> CheckResult:
    return check_model(initial_state(config), ModelTransitions(config), max_depth, max_states)


def small_config(semantics: RetrySemantics) -> ModelConfig:
    return ModelConfig((semantics,), readers=1, max_faults=1, max_submissions=1)


@pytest.mark.parametrize("table", TABLES, ids=[table.name for table in TABLES])
def test_every_event_has_a_transition_in_every_state(table: TransitionTable) -> None:
    assert not table.missing_transitions()
    states = set(table.states())
    assert {t.next_state for t in table.transitions.values()} <= states and table.initial in states
    unvisited = [table.initial]
    if table is ATTEMPT:
        unvisited.append(AttemptState.READING)
    reached: set[StrEnum] = set(unvisited)
    while unvisited:
        state = unvisited.pop()
        for (from_state, _), transition in table.transitions.items():
            if from_state == state and transition.next_state not in reached:
                reached.add(transition.next_state)
                unvisited.append(transition.next_state)
    assert reached == states, "a state cannot be reached"
    assert all(
        table.transitions[final, event] == Transition(final, CommonEffect.LATE)
        for final in table.final_states
        for event in table.events()
    )


def test_a_forbidden_event_raises() -> None:
    with pytest.raises(InvalidTransitionError, match="read state: claim in state none"):
        StateMachine(READ_STATE).step(ReadStateEvent.CLAIM)
    with pytest.raises(InvalidTransitionError, match="attempt: no_such_event"):
        StateMachine(ATTEMPT).step("no_such_event")


def test_two_transitions_for_one_event_in_one_state_are_rejected() -> None:
    rows = {AnswerState.PENDING: (on(AnswerEvent.ABORT), forbid(AnswerEvent.ABORT))}
    with pytest.raises(AmbiguousTransitionError, match="example: pending has two transitions for abort"):
        TransitionTable.build("example", initial=AnswerState.PENDING, events=AnswerEvent, rows=rows)


def test_a_trace_with_an_impossible_step_is_rejected() -> None:
    config = small_config(AT_MOST_ONCE)
    with pytest.raises(UnknownStepError, match="engine 9 crashes"):
        replay(initial_state(config), ModelTransitions(config), ["engine 9 crashes"])


@pytest.mark.parametrize(
    ("outcome", "is_state_missing", "event"),
    [
        (AttemptEvent.FULL, True, ReadStateEvent.MISSING),
        (AttemptEvent.FULL, False, ReadStateEvent.NOT_FETCHED),
        (AttemptEvent.UNSENT, False, ReadStateEvent.NOT_FETCHED),
        (AttemptEvent.RESET, False, ReadStateEvent.FETCH_UNKNOWN),
        (AttemptEvent.GENERATED, False, ReadStateEvent.FETCHED),
    ],
)
def test_the_outcome_of_a_write_determines_the_event_of_the_claimed_read_state(
    outcome: AttemptEvent, is_state_missing: bool, event: ReadStateEvent
) -> None:
    assert event_of_write_end(outcome, is_state_missing=is_state_missing) == event


def test_every_outcome_of_the_routing_contract_is_an_event_of_an_attempt() -> None:
    assert {outcome.value for outcome in Outcome} == {event.value for event in AttemptEvent} - {"tokens"}


@pytest.mark.parametrize(
    ("config", "states", "steps", "depth"),
    [
        (small_config(AT_MOST_ONCE), 19054, 59748, 12),
        (small_config(IDEMPOTENT), 39820, 133002, 12),
        (small_config(IDEMPOTENT)._replace(max_faults=0, may_cancel=False), 4705, 12899, 12),
        (small_config(IDEMPOTENCY_KEY), 45269, 161571, 13),
        (small_config(AT_MOST_ONCE)._replace(writers=1, max_attempts=3, max_faults=0), 6402, 19226, 15),
    ],
    ids=["at most once", "idempotent", "idempotent without cancels", "idempotency key", "three attempts"],
)
def test_a_small_model_is_explored_completely_and_violates_no_rule(
    config: ModelConfig, states: int, steps: int, depth: int
) -> None:
    result = check(config)
    assert result.is_complete and not result.violation, (result.violation, result.trace)
    assert (result.states, result.steps, result.depth) == (states, steps, depth)


def test_a_model_with_two_sequences_of_each_semantics_violates_no_rule_to_a_fixed_depth() -> None:
    config = ModelConfig((AT_MOST_ONCE,) * 2 + (IDEMPOTENCY_KEY,) * 2 + (IDEMPOTENT,) * 2)
    result = check(config, max_depth=2)
    assert not result.violation and result.depth == 2 and result.states > 500


class SeededFault(NamedTuple):
    """A transition replaced by a wrong one, and the rule whose violation the model checker must find."""

    field: str  # of ModelConfig
    table: TransitionTable
    state: StrEnum
    event: StrEnum
    faulty_transition: Transition
    violated_rule: str

    def config(self, semantics: RetrySemantics) -> ModelConfig:
        assert self.table.transitions[self.state, self.event] != self.faulty_transition
        transitions = {**self.table.transitions, (self.state, self.event): self.faulty_transition}
        faulty_table = self.table._replace(transitions=transitions)
        may_cancel = self.table is not ANSWER
        return small_config(semantics)._replace(**{self.field: faulty_table, "may_cancel": may_cancel})


NOTHING = CommonEffect.NOTHING
SEEDED_FAULTS = {
    "a reset counts as not run": SeededFault(
        "attempt_table",
        ATTEMPT,
        AttemptState.WRITING,
        AttemptEvent.RESET,
        Transition(AttemptState.HARMLESS, AttemptEffect.REPORT),
        "rule 2",
    ),
    "a timeout counts as not run": SeededFault(
        "attempt_table",
        ATTEMPT,
        AttemptState.WRITING,
        AttemptEvent.TIMEOUT,
        Transition(AttemptState.HARMLESS, AttemptEffect.REPORT),
        "rule 2",
    ),
    "an abort is not sent to the client": SeededFault(
        "answer_table",
        ANSWER,
        AnswerState.PENDING,
        AnswerEvent.ABORT,
        Transition(AnswerState.PENDING, NOTHING),
        "rule 1",
    ),
    "tokens after a rejection": SeededFault(
        "answer_table",
        ANSWER,
        AnswerState.REJECTED,
        AnswerEvent.FIRST_TOKENS,
        Transition(AnswerState.REJECTED, AnswerEffect.PASS),
        "rule 1",
    ),
    "a failed stream is not reported to the client": SeededFault(
        "answer_table",
        ANSWER,
        AnswerState.STREAMING,
        AnswerEvent.STREAM_FAILED,
        Transition(AnswerState.STREAMING, NOTHING),
        "rule 1",
    ),
    "a read without a result counts as leaving no state": SeededFault(
        "read_state_table",
        READ_STATE,
        ReadStateStatus.READING,
        ReadStateEvent.READ_UNKNOWN,
        Transition(ReadStateStatus.NONE, NOTHING),
        "rule 5",
    ),
    "a rejected second read removes the state of the first": SeededFault(
        "read_state_table",
        READ_STATE,
        ReadStateStatus.READING_AGAIN,
        ReadStateEvent.READ_REJECTED,
        Transition(ReadStateStatus.NONE, NOTHING),
        "rule 5",
    ),
    "a failed claim ignores a read that completes late": SeededFault(
        "read_state_table",
        READ_STATE,
        ReadStateStatus.CLAIMED_UNCERTAIN,
        ReadStateEvent.MISSING,
        Transition(ReadStateStatus.NONE, NOTHING),
        "rule 5",
    ),
}


@pytest.mark.parametrize("name", SEEDED_FAULTS)
def test_a_seeded_fault_is_found_and_its_trace_replays(name: str) -> None:
    fault = SEEDED_FAULTS[name]
    for semantics in (AT_MOST_ONCE, IDEMPOTENT):
        config = fault.config(semantics)
        result = check(config)
        if result.violation:
            break
    assert result.violation.startswith(fault.violated_rule), result
    start, steps = initial_state(config), ModelTransitions(config)
    assert replay(start, steps, result.trace)[1] == result.violation
    for length in range(len(result.trace)):  # no prefix of the trace violates a rule
        assert not replay(start, steps, result.trace[:length])[1]


def test_the_diagrams_of_the_design_page_match_the_tables() -> None:
    text = DESIGN_PAGE.read_text()
    for table in TABLES:
        assert f"```mermaid\n{table.to_mermaid()}\n```" in text, f"{DESIGN_PAGE.name} is stale: {table.name}"
