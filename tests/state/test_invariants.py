"""Invariants of a node: the check functions, and injected violations that a relay must count."""

from collections.abc import Callable

import pytest
from relaymessages import COMPLETE_STREAM, LONG_PROMPT
from relayrig import RelayRig, never_respond

from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.log_events import LogEvent
from myrtlehub.state.answer import AnswerState
from myrtlehub.state.invariants import (
    Invariant,
    InvariantCounter,
    SendPreconditions,
    violated_by_answer,
    violated_by_close,
    violated_by_overdue_answer,
    violated_by_removal,
    violated_by_send,
    violated_by_state_retention,
    violated_by_timer,
)

ALL_SATISFIED = SendPreconditions(
    client_is_present=True,
    time_left=1.0,
    engine_is_serving=True,
    is_in_slow_start_share=True,
    may_run=True,
)


@pytest.mark.parametrize(
    ("changed_preconditions", "violated"),
    [
        ({}, None),
        ({"client_is_present": False}, Invariant.CLIENT_PRESENT),
        ({"time_left": 0.0}, Invariant.TIME_LEFT),
        ({"engine_is_serving": False}, Invariant.ENGINE_SERVING),
        ({"is_in_slow_start_share": False}, Invariant.SLOW_START),
        ({"may_run": False}, Invariant.MAY_RUN),
        ({"may_run": False, "client_is_present": False}, Invariant.CLIENT_PRESENT),
    ],
)
def test_a_send_is_allowed_only_if_all_preconditions_hold(
    changed_preconditions: dict[str, object], violated: Invariant | None
) -> None:
    assert violated_by_send(ALL_SATISFIED._replace(**changed_preconditions)) is violated


def test_each_check_returns_the_invariant_that_is_violated() -> None:
    assert violated_by_close(has_open_request=False) is None
    assert violated_by_close(has_open_request=True) is Invariant.ANSWER_BEFORE_CLOSE
    assert violated_by_answer(False) is None and violated_by_answer(True) is Invariant.ONE_FINAL_ANSWER
    assert violated_by_removal(True, False) is None
    assert violated_by_removal(False, False) is Invariant.ONE_FINAL_ANSWER
    assert violated_by_removal(True, True) is Invariant.STATE_RELEASED
    assert (
        violated_by_overdue_answer(0.1, 0.1) is None
        and violated_by_overdue_answer(0.11, 0.1) is Invariant.ANSWER_IN_TIME
    )
    assert (
        violated_by_state_retention(0.5, 0.5) is None
        and violated_by_state_retention(0.51, 0.5) is Invariant.STATE_IN_TIME
    )
    assert violated_by_timer(True) is None and violated_by_timer(False) is Invariant.TIMER_ARMED


def test_violations_are_counted_by_invariant_and_reported_with_the_sequence_id() -> None:
    reported: list[tuple[Invariant, str]] = []
    counter = InvariantCounter(lambda invariant, sequence_id: reported.append((invariant, sequence_id)))
    assert counter.check(None, "a1")
    assert not counter.check(Invariant.STATE_RELEASED, "a2")
    assert not counter.check(Invariant.STATE_RELEASED, "a3")
    assert counter.violations == {"state released": 2}
    assert reported == [(Invariant.STATE_RELEASED, "a2"), (Invariant.STATE_RELEASED, "a3")]


def test_a_client_that_disconnects_during_its_request_violates_no_invariant() -> None:
    rig = RelayRig("r1 w1")
    rig.engines["w1"].script = never_respond
    client = rig.request("a1")
    client.transport.loseConnection()
    rig.run(0.1)
    assert rig.node.executor.answer_counts == {"left": 1}
    assert not rig.node.monitor.counter.violations


# -- injected violations, each counted by a running node --------------------------------------------


def inject_second_answer(rig: RelayRig) -> None:
    """Send two final answers for a sequence."""
    rig.engines["w1"].script = never_respond
    rig.request("a1")
    sink = rig.node.front.open_sinks["a1"]
    sink.rejected(0.0)
    sink.generated(1)


def inject_removal_without_answer(rig: RelayRig) -> None:
    """Remove a sequence that has no final answer."""
    rig.engines["w1"].script = never_respond
    rig.request("a1")
    (sequence,) = rig.node.executor.in_flight.values()
    rig.node.monitor.sequence_forgotten(sequence)


def inject_removal_with_unreleased_state(rig: RelayRig) -> None:
    """Remove a sequence whose read state was not released."""
    rig.engines["w1"].script = never_respond
    rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    (sequence,) = rig.node.executor.in_flight.values()
    sequence.answer.state = AnswerState.REJECTED
    rig.node.monitor.sequence_forgotten(sequence)


def inject_close_during_request(rig: RelayRig) -> None:
    """Close a connection with an open request, as if file descriptors ran out."""
    rig.engines["w1"].script = never_respond
    rig.request("a1")
    next(iter(rig.node.listener.connections)).linger(CloseReason.CONNECTION_LIMIT)


def inject_late_answer(rig: RelayRig) -> None:
    """Make the router ignore its wake-ups."""
    rig.engines["w1"].script = never_respond
    rig.node.executor.router._place_waiting = lambda now: None
    rig.request("a1", remaining_ms=300)
    (sequence,) = rig.node.executor.in_flight.values()
    sequence.attempts[0].stop_timer()
    rig.run(1.0)


def inject_stopped_timer(rig: RelayRig) -> None:
    """Cancel the discovery timers."""
    rig.node.discovery._cancel_all()
    rig.run(11.0)


def inject_retained_state(rig: RelayRig) -> None:
    """Make the router keep a read state for as long as a write is unanswered."""
    rig.engines["w1"].script = never_respond
    rig.node.executor.router.admission.expect_arrival = lambda sequence: None
    rig.request("a1", LONG_PROMPT)
    rig.run(1.0)


INJECTIONS: dict[Invariant, list[Callable[[RelayRig], None]]] = {
    Invariant.ONE_FINAL_ANSWER: [inject_second_answer, inject_removal_without_answer],
    Invariant.STATE_RELEASED: [inject_removal_with_unreleased_state],
    Invariant.ANSWER_BEFORE_CLOSE: [inject_close_during_request],
    Invariant.STATE_IN_TIME: [inject_retained_state],
    Invariant.ANSWER_IN_TIME: [inject_late_answer],
    Invariant.TIMER_ARMED: [inject_stopped_timer],
}
WITHHELD = (
    Invariant.CLIENT_PRESENT,
    Invariant.TIME_LEFT,
    Invariant.ENGINE_SERVING,
    Invariant.SLOW_START,
    Invariant.MAY_RUN,
)


def test_every_invariant_either_withholds_sends_or_has_an_injected_violation() -> None:
    assert set(INJECTIONS) | set(WITHHELD) == set(Invariant) and not set(INJECTIONS) & set(WITHHELD)


@pytest.mark.parametrize(
    ("invariant", "inject"),
    [(invariant, inject) for invariant, injections in INJECTIONS.items() for inject in injections],
)
def test_an_injected_violation_is_counted_and_logged(
    invariant: Invariant, inject: Callable[[RelayRig], None]
) -> None:
    rig = RelayRig("r1 w1")
    callback_calls: list[None] = []
    rig.node.monitor.on_violation = lambda: callback_calls.append(None)
    inject(rig)
    assert rig.node.monitor.counter.violations[invariant.value] >= 1
    assert callback_calls and [
        fields
        for event, fields in rig.logged
        if event == LogEvent.INVARIANT_VIOLATED and fields["invariant"] == invariant
    ]


def test_a_node_without_faults_violates_no_invariant_and_logs_its_counters() -> None:
    rig = RelayRig("r1 w1 w2")
    for request_number in range(10):
        rig.request(
            f"a{request_number}",
            LONG_PROMPT if request_number % 2 else 100,
            "post" if request_number % 3 else "ask",
        )
    rig.engines["w1"].script = rig.engines["w2"].script = never_respond
    client = rig.request("b", LONG_PROMPT)
    client.transport.loseConnection()
    rig.run(11.0)
    for connection in rig.engines["w1"].connections:
        connection.send(COMPLETE_STREAM) if not connection.lost else None
    counters = [fields for event, fields in rig.logged if event == LogEvent.COUNTERS]
    assert counters and counters[-1]["violations"] == {} and counters[-1]["in_flight"] == 0
    assert counters[-1]["answers"] == {"generated": 10, "left": 1}
