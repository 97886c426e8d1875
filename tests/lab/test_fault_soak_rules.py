"""The rules of the fault soak: sound records break none, and a planted breach breaks its rule."""

import pytest

from myrtlehub.lab.fault_soak.findings import Rule
from myrtlehub.lab.fault_soak.fleet_settings import TERMS
from myrtlehub.lab.fault_soak.oracle import judge_run
from myrtlehub.lab.fault_soak.records import (
    AttemptEnd,
    AttemptRecord,
    EngineChange,
    EngineCut,
    EngineHealth,
    NodeExit,
    ReadStateRecord,
    RequestRecord,
    ResponseEnd,
    RunRecords,
    TrafficType,
)

STREAM_EVENTS = 5


def sound_records(traffic: TrafficType = TrafficType.IDEMPOTENT) -> RunRecords:
    """Return records of one request that was read, written and answered without a breach."""
    records = RunRecords()
    records.requests["a"] = RequestRecord(
        "a",
        0,
        traffic,
        10.0,
        2.0,
        True,
        ended_at=11.0,
        status=200,
        event_count=STREAM_EVENTS,
        end=ResponseEnd.COMPLETE,
    )
    records.attempts = [
        AttemptRecord("a", "r0", True, 10.01, 10.01, 1900, 0, 10.2, AttemptEnd.COMPLETE),
        AttemptRecord("a", "w1", False, 10.21, 10.21, 1700, STREAM_EVENTS, 11.0, AttemptEnd.COMPLETE),
    ]
    records.states = [ReadStateRecord("a", "r0", 10.2, 10.3)]
    return records


def broken_rules(records: RunRecords) -> list[Rule]:
    return [finding.rule for finding in judge_run(records, TERMS)]


@pytest.mark.parametrize(
    "traffic", [TrafficType.IDEMPOTENT, TrafficType.AT_MOST_ONCE, TrafficType.DEDUPLICATED]
)
def test_sound_records_break_no_rule(traffic: TrafficType) -> None:
    assert broken_rules(sound_records(traffic)) == []


def test_a_request_without_an_answer_is_a_breach() -> None:
    records = sound_records()
    request = records.requests["a"]
    request.status, request.event_count = None, 0
    request.end = ResponseEnd.UNANSWERED
    assert broken_rules(records) == [Rule.FINAL_ANSWER]
    request.is_first_on_connection = False  # the node closed an idle connection while a request was under way
    assert broken_rules(records) == [Rule.FINAL_ANSWER]  # it had been forwarded
    records.attempts = []
    assert broken_rules(records) == []
    request.end = ResponseEnd.OPEN
    assert broken_rules(records) == [Rule.FINAL_ANSWER]


def test_a_rejection_may_be_half_a_second_late() -> None:
    records = sound_records()
    request = records.requests["a"]
    request.status, request.event_count = 503, 0
    records.attempts = []
    records.states = []
    request.ended_at = request.deadline + 0.45
    assert broken_rules(records) == []
    request.ended_at = request.deadline + 0.6
    assert broken_rules(records) == [Rule.FINAL_ANSWER]


def test_an_answer_that_differs_from_all_streams_and_one_that_is_cut_are_breaches() -> None:
    records = sound_records()
    records.requests["a"].event_count = STREAM_EVENTS - 1
    assert broken_rules(records) == [Rule.UNCHANGED_STREAM]
    records.requests["a"].end = ResponseEnd.CUT
    assert broken_rules(records) == [Rule.FINAL_ANSWER]


@pytest.mark.parametrize(
    ("last_byte_at", "is_spoilt", "broken"),
    [
        (10.9, False, [Rule.FINAL_ANSWER]),  # the node broke off what the engine still wrote
        (9.0, False, []),  # the engine had been silent
        (10.9, True, []),
    ],
)
def test_a_stream_that_is_cut_while_its_engine_writes_it_is_a_breach(
    last_byte_at: float, is_spoilt: bool, broken: list[Rule]
) -> None:
    records = sound_records()
    records.requests["a"].end = ResponseEnd.CUT
    write = records.attempts[1]
    write.end, write.last_byte_at, write.is_spoilt = AttemptEnd.LOST, last_byte_at, is_spoilt
    assert broken_rules(records) == broken
    records.cuts = [EngineCut("w1", 10.8, 11.0)]
    assert broken_rules(records) == []


def test_a_stream_that_is_kept_although_something_in_it_never_ends_is_a_breach() -> None:
    records = sound_records()
    request, write = records.requests["a"], records.attempts[1]
    request.end, request.ended_at = ResponseEnd.CUT, 15.6
    write.end, write.ended_at, write.is_spoilt, write.last_byte_at = AttemptEnd.LOST, 15.6, True, 15.5
    write.endless_since = 10.7
    assert broken_rules(records) == []
    write.endless_since = 10.5
    assert broken_rules(records) == [Rule.FINAL_ANSWER]
    write.ended_at = 11.0  # the node gave this attempt up, and the client got another one's stream
    assert broken_rules(records) == []


def test_a_late_first_event_and_a_late_end_of_a_stream_are_breaches() -> None:
    records = sound_records()
    request, write = records.requests["a"], records.attempts[1]
    request.first_event_at, write.last_byte_at = request.deadline + 0.4, 11.0
    request.ended_at = 15.9
    assert broken_rules(records) == []
    request.first_event_at = request.deadline + 0.6
    assert broken_rules(records) == [Rule.FINAL_ANSWER]
    request.first_event_at, request.ended_at = 10.5, 16.1
    assert broken_rules(records) == [Rule.FINAL_ANSWER]


@pytest.mark.parametrize(
    ("traffic", "first_end", "gap", "broken"),
    [
        (TrafficType.IDEMPOTENT, AttemptEnd.LOST, 0.1, []),
        (TrafficType.AT_MOST_ONCE, AttemptEnd.LOST, 0.1, [Rule.SINGLE_EXECUTION]),
        (TrafficType.AT_MOST_ONCE, AttemptEnd.FAILED, 0.1, [Rule.SINGLE_EXECUTION]),
        (TrafficType.AT_MOST_ONCE, AttemptEnd.REJECTED, 0.1, []),
        (TrafficType.DEDUPLICATED, AttemptEnd.LOST, 0.5, []),
        (TrafficType.DEDUPLICATED, AttemptEnd.LOST, 1.2, [Rule.SINGLE_EXECUTION]),
    ],
)
def test_a_retry_after_a_possible_run_respects_the_retry_semantics(
    traffic: TrafficType, first_end: AttemptEnd, gap: float, broken: list[Rule]
) -> None:
    records = sound_records(traffic)
    records.states = []
    write = records.attempts[1]
    write.arrived_at = write.first_byte_at = 10.05 + gap
    write.remaining_ms = 500
    records.attempts[0] = AttemptRecord("a", "w2", False, 10.05, 10.05, 1900, 0, 10.06, first_end)
    assert broken_rules(records) == broken


def test_a_retry_whose_arrival_has_an_earlier_time_than_the_rejection_is_no_breach() -> None:
    """The kernel's clock has ticks of some milliseconds."""
    records = sound_records(TrafficType.AT_MOST_ONCE)
    records.states = []
    records.attempts[0] = AttemptRecord(
        "a", "w2", False, 10.052, 10.052, 1900, 0, 10.053, AttemptEnd.REJECTED
    )
    records.attempts[1].arrived_at = records.attempts[1].first_byte_at = 10.05
    assert broken_rules(records) == []


def test_an_attempt_after_a_disconnect_and_too_much_remaining_time_are_breaches() -> None:
    records = sound_records()
    request = records.requests["a"]
    request.end, request.disconnected_at = ResponseEnd.CLIENT_DISCONNECTED, 10.05
    assert broken_rules(records) == [Rule.CLIENT_PRESENT]
    request.disconnected_at = 10.15
    assert broken_rules(records) == []
    records.attempts[1].remaining_ms = 2500
    assert broken_rules(records) == [Rule.REMAINING_TIME]


def test_an_attempt_to_a_draining_engine_after_the_grace_time_is_a_breach() -> None:
    records = sound_records()
    records.changes = [EngineChange("w1", EngineHealth.DRAINING, 9.95, {0: 9.95})]
    assert broken_rules(records) == []
    records.changes = [EngineChange("w1", EngineHealth.DRAINING, 9.5, {0: 9.5})]
    assert broken_rules(records) == [Rule.DRAINING]
    records.changes.append(EngineChange("w1", EngineHealth.SERVING, 9.9, {0: 9.9}))
    assert broken_rules(records) == []


def test_a_state_retained_for_long_with_no_attempt_in_flight_is_a_breach() -> None:
    records = sound_records()
    records.states = [ReadStateRecord("a", "r0", 10.2, 11.9)]
    assert broken_rules(records) == []  # 0.9 s after the write ended
    records.states = [ReadStateRecord("a", "r0", 10.2, 12.2)]
    assert broken_rules(records) == [Rule.STATE_RELEASED]


def test_an_unrequested_exit_and_a_traceback_are_crashes() -> None:
    records = sound_records()
    records.exits = [NodeExit(0, 12.0, 0, True, ""), NodeExit(1, 12.0, 1, False, "")]
    assert broken_rules(records) == [Rule.NO_CRASH]
    records.exits = [NodeExit(0, 12.0, 0, True, "Traceback")]
    assert broken_rules(records) == [Rule.NO_CRASH]


def test_rules_are_printed_by_the_names_that_operators_type() -> None:
    assert [rule.value for rule in Rule] == [
        "lost",
        "spoilt",
        "twice",
        "after the client",
        "time told",
        "drain",
        "pinned",
        "half request",
        "crash",
        "invariant",
        "not recovered",
    ]
