"""Recovery: the model satisfies its invariants, the checker finds seeded faults, and each module works."""

from collections.abc import Callable

import pytest

from myrtlehub.recovery.failure_detector import HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, FailureDetector
from myrtlehub.recovery.fencing import AttemptState, ClaimResult, Fence, FenceTable
from myrtlehub.recovery.model import ModelParameters, RecoveryModel, initial_state
from myrtlehub.recovery.ownership import OwnedSequence, SendDecision
from myrtlehub.recovery.recovery_decision import (
    STREAMING_STATES,
    AttemptReport,
    RecoveryAction,
    RecoveryDecision,
    decide,
)
from myrtlehub.recovery.replica_placement import origin_node, rank_nodes, replicas_of
from myrtlehub.recovery.replica_store import ReplicaStore
from myrtlehub.recovery.sequence_records import (
    AttemptIntent,
    MergeResult,
    Ownership,
    ReplicaReply,
    RetrySemantics,
    SequenceRecord,
    merge_update,
)
from myrtlehub.state.model_checker import check_model, replay

IDEMPOTENT = RetrySemantics.IDEMPOTENT
IDEMPOTENCY_KEY = RetrySemantics.IDEMPOTENCY_KEY
AT_MOST_ONCE = RetrySemantics.AT_MOST_ONCE


@pytest.mark.parametrize(
    "parameters",
    [
        ModelParameters(replica_count=1, successor_count=1, max_first_owner_attempts=2, max_faults=1),
        ModelParameters(replica_count=1, successor_count=2, max_first_owner_attempts=1, max_faults=0),
    ],
    ids=["paused, one fault", "two successors"],
)
def test_a_sequence_runs_at_most_once_whichever_node_takes_it_over(parameters: ModelParameters) -> None:
    """Visit all states; with one replica there are few enough for that."""
    result = check_model(initial_state(parameters), RecoveryModel(parameters), 200, 200_000)
    assert result.is_complete and not result.violation, (result.violation, result.trace)
    assert result.states > 5000


@pytest.mark.parametrize(
    "parameters",
    [
        ModelParameters(successor_count=1, max_first_owner_attempts=2, max_faults=1),
        ModelParameters(successor_count=2, max_first_owner_attempts=1, max_faults=0),
    ],
    ids=["paused, one fault", "two successors"],
)
def test_a_sequence_runs_at_most_once_with_two_replicas_in_a_part_of_the_states(
    parameters: ModelParameters,
) -> None:
    """Visit a limited number of states; with two replicas there are too many to visit all."""
    result = check_model(initial_state(parameters), RecoveryModel(parameters), 200, 30_000)
    assert not result.violation and result.depth > 8, (result.violation, result.trace)


def _store_any_update(stored: SequenceRecord | None, update: SequenceRecord) -> MergeResult:
    return MergeResult(update, ReplicaReply.STORED)


def _send_early_if(
    may_send_early: Callable[[OwnedSequence], bool],
) -> Callable[[OwnedSequence], SendDecision]:
    return lambda owned: SendDecision.SEND if may_send_early(owned) else owned.send_decision()


def _decide_as_if_never_sent(
    *states: AttemptState,
) -> Callable[[str, list[AttemptReport], int, bool], RecoveryDecision]:
    """Return a variant of `decide` that treats attempts in these states as never sent."""

    def faulty_decide(
        retry_semantics: str,
        reports: list[AttemptReport],
        client_token_count: int,
        is_record_complete: bool = True,
    ) -> RecoveryDecision:
        altered_reports = [
            report._replace(state=AttemptState.NEVER_RAN) if report.state in states else report
            for report in reports
        ]
        return decide(retry_semantics, altered_reports, client_token_count, is_record_complete)

    return faulty_decide


def _acknowledge_any_incarnation(
    owned: OwnedSequence, replica: str, incarnation: str, version: int, reply: str
) -> OwnedSequence:
    return owned.acknowledge(replica, dict(owned.replicas).get(replica, incarnation), version, reply)


def _grant_any_claim(fence: Fence, ownership: Ownership, close: bool) -> ClaimResult:
    return ClaimResult(Fence(ownership, fence.is_closed or close), is_granted=True)


def _grant_claims_to_a_closed_fence(fence: Fence, ownership: Ownership, close: bool) -> ClaimResult:
    if ownership < fence.ownership:
        return ClaimResult(fence, is_granted=False)
    return ClaimResult(Fence(ownership, close), is_granted=True)


SEEDED_FAULTS = {
    "a replica accepts updates of a superseded owner": ModelParameters(merge_update=_store_any_update),
    "a successor gets the record without a higher epoch": ModelParameters(
        transfer_ownership=lambda stored, new_owner, min_epoch: stored
    ),
    "an engine accepts attempts with any ownership": ModelParameters(admits=lambda fence, ownership: True),
    "an engine grants claims with any ownership": ModelParameters(claim_fence=_grant_any_claim),
    "attempts are sent without acknowledgements": ModelParameters(
        send_decision=_send_early_if(lambda owned: not owned.is_superseded)
    ),
    "a later attempt is sent although some replicas did not reply": ModelParameters(
        send_decision=_send_early_if(
            lambda owned: (
                not owned.is_superseded and set(owned.lagging_replicas()) <= owned.uncertain_replicas
            )
        )
    ),
    "an owner continues after it was superseded": ModelParameters(
        send_decision=_send_early_if(lambda owned: owned.is_superseded)
    ),
    "a restarted engine counts as one that received no attempt": ModelParameters(
        decide_recovery=_decide_as_if_never_sent(AttemptState.UNKNOWN)
    ),
    "an attempt that has run is sent again": ModelParameters(
        decide_recovery=_decide_as_if_never_sent(*STREAMING_STATES)
    ),
    "a closed fence grants the claims of other owners": ModelParameters(
        claim_fence=_grant_claims_to_a_closed_fence
    ),
    "the reply of another incarnation of a replica is accepted": ModelParameters(
        acknowledge=_acknowledge_any_incarnation
    ),
}


@pytest.mark.parametrize("name", SEEDED_FAULTS)
def test_a_seeded_fault_is_found_and_its_trace_replays(name: str) -> None:
    for size in (
        {"replica_count": 1, "successor_count": 1, "max_faults": 0},
        {"replica_count": 1, "successor_count": 1, "max_faults": 1},
        {"replica_count": 1, "successor_count": 2, "max_faults": 0},
        {"successor_count": 1, "max_faults": 1},
        {"successor_count": 2, "max_first_owner_attempts": 1, "max_faults": 0},
    ):
        parameters = SEEDED_FAULTS[name]._replace(**size)
        result = check_model(initial_state(parameters), RecoveryModel(parameters), 200, 120_000)
        if result.violation:
            break
    assert result.violation, name
    _, violation = replay(initial_state(parameters), RecoveryModel(parameters), result.trace)
    assert violation == result.violation


# -- unit tests ----------------------------------------------------------------------------------------


def make_record(
    sequence_id: str,
    retry_semantics: str = AT_MOST_ONCE,
    epoch: int = 1,
    expires_at: float = 9.0,
    intents: tuple[AttemptIntent, ...] = (),
    is_streaming: bool = False,
) -> SequenceRecord:
    ownership = Ownership(epoch, "a")
    return SequenceRecord(sequence_id, ownership, retry_semantics, expires_at, intents, is_streaming)


def test_replicas_are_the_same_for_all_nodes_and_change_little_when_a_node_leaves() -> None:
    zones = {f"n{i}": "xyz"[i % 3] for i in range(60)}
    for node in zones:
        replicas = replicas_of(node, zones, 2)
        assert node not in replicas and zones[node] not in {zones[replica] for replica in replicas}
        assert (
            len({zones[replica] for replica in replicas}) == 2
            and rank_nodes(node, dict(reversed(zones.items())))[:2] == replicas
        )
    remaining_zones = {node: zone for node, zone in zones.items() if node != "n7"}
    changed = [
        node
        for node in remaining_zones
        if replicas_of(node, remaining_zones, 2) != replicas_of(node, zones, 2)
    ]
    assert all("n7" in replicas_of(node, zones, 2) for node in changed) and len(changed) < 10
    replicated_counts = [sum(replica in replicas_of(node, zones, 2) for node in zones) for replica in zones]
    assert max(replicated_counts) <= 9 and sum(replicated_counts) == 120
    assert replicas_of("a", {"a": "z", "b": "z"}, 2) == ["b"] and origin_node("n.1.run~2.77") == "n.1"


def test_a_replica_store_evicts_in_the_stated_order_and_never_what_was_handed_out() -> None:
    store = ReplicaStore(4)
    records = [
        make_record("once"),
        make_record("token", IDEMPOTENCY_KEY),
        make_record("streams", IDEMPOTENT, is_streaming=True),
        make_record("plain", IDEMPOTENT),
    ]
    assert [store.store(record) for record in records] == [ReplicaReply.STORED] * 4
    assert store.store(make_record("more")) == ReplicaReply.STORED and "plain" not in store.records
    assert store.store(make_record("late", IDEMPOTENT)) == ReplicaReply.FULL  # lowest eviction rank
    assert store.store(make_record("two")) == ReplicaReply.STORED and "streams" not in store.records
    assert (
        store.hand_out("once", "b").ownership == Ownership(2, "b") and store.hand_out("unknown", "b") is None
    )
    for i in range(6):
        store.store(make_record(f"x{i}"))
    assert "once" in store.records and len(store.records) == 4
    assert (
        store.store(make_record("once"))
        == ReplicaReply.SUPERSEDED
        == store.complete("once", Ownership(1, "a"))
    )
    assert store.complete("once", Ownership(2, "b")) == ReplicaReply.STORED and "once" not in store.records
    assert store.remove_expired(8.9) == [] and len(store.remove_expired(9.0)) == 3


def test_a_late_update_removes_no_intent() -> None:
    first, second = AttemptIntent(0, "w1", False, 1.0), AttemptIntent(1, "w2", False, 2.0)
    merged, reply = merge_update(
        make_record("s", intents=(first, second), is_streaming=True), make_record("s", intents=(first,))
    )
    assert reply == ReplicaReply.STORED and merged.intents == (first, second) and merged.is_streaming


def test_what_an_owner_may_send_after_the_replies_of_its_replicas() -> None:
    first, second = AttemptIntent(0, "w1", False, 0.0), AttemptIntent(1, "w2", False, 0.0)
    stored, full, superseded = ReplicaReply.STORED, ReplicaReply.FULL, ReplicaReply.SUPERSEDED
    send, wait, abandon = SendDecision.SEND, SendDecision.WAIT, SendDecision.ABANDON
    owned = OwnedSequence.begin(make_record("s"), {"k1": "r", "k2": "r"}).add_intent(first)
    assert owned.send_decision() == wait
    one_acknowledged = owned.acknowledge("k1", "r", 1, stored)
    # The attempt of the first intent may be sent although a replica did not reply.
    assert (
        one_acknowledged.send_decision() == wait
        and one_acknowledged.mark_uncertain("k2").send_decision() == send
    )
    assert one_acknowledged.acknowledge("k2", "r", 1, full).send_decision() == send
    second_attempt = (
        one_acknowledged.mark_uncertain("k2").add_intent(second).acknowledge("k1", "r", 2, stored)
    )
    assert (
        second_attempt.send_decision() == abandon
        and second_attempt.acknowledge("k2", "r", 2, stored).send_decision() == send
    )
    assert second_attempt.acknowledge("k2", "other", 2, stored).send_decision() == abandon  # k2 has restarted
    assert owned.acknowledge("k1", "r", 1, superseded).send_decision() == abandon
    idempotent = OwnedSequence.begin(make_record("s", IDEMPOTENT), {"k1": "r"}).add_intent(first)
    assert idempotent.send_decision() == send


@pytest.mark.parametrize(
    ("retry_semantics", "state", "client_token_count", "action"),
    [
        (AT_MOST_ONCE, AttemptState.WRITING, 3, RecoveryAction.ATTACH),
        (AT_MOST_ONCE, AttemptState.ENDED, 0, RecoveryAction.ATTACH),
        (AT_MOST_ONCE, AttemptState.WAITING, 0, RecoveryAction.ATTACH),
        (AT_MOST_ONCE, AttemptState.UNKNOWN, 0, RecoveryAction.ABORT),
        (AT_MOST_ONCE, AttemptState.STOPPED, 0, RecoveryAction.ABORT),
        (AT_MOST_ONCE, AttemptState.REJECTED, 0, RecoveryAction.RETRY),
        (AT_MOST_ONCE, AttemptState.NEVER_RAN, 0, RecoveryAction.RETRY),
        (IDEMPOTENT, AttemptState.UNKNOWN, 0, RecoveryAction.RETRY),
        (IDEMPOTENT, AttemptState.UNKNOWN, 3, RecoveryAction.ABORT),
        (IDEMPOTENCY_KEY, AttemptState.STOPPED, 0, RecoveryAction.RETRY),
    ],
)
def test_how_a_sequence_continues_by_its_semantics_and_the_state_of_its_attempt(
    retry_semantics: RetrySemantics, state: AttemptState, client_token_count: int, action: RecoveryAction
) -> None:
    intent = AttemptIntent(0, "w1", False, 0.0)
    decision = decide(retry_semantics, [AttemptReport(intent, state, 20)], client_token_count)
    assert decision.action == action
    is_uncertain = retry_semantics != AT_MOST_ONCE and action == RecoveryAction.RETRY
    assert decision.uncertain_attempt == (intent if is_uncertain else None)


def test_a_read_state_is_used_and_a_missing_record_proves_nothing() -> None:
    read, write = AttemptIntent(0, "r1", True, 0.0), AttemptIntent(1, "w1", False, 0.0)
    reports = [
        AttemptReport(read, AttemptState.HAS_READ_STATE),
        AttemptReport(write, AttemptState.REJECTED),
    ]
    assert decide(AT_MOST_ONCE, reports, 0)[:2] == (RecoveryAction.USE_READ_STATE, read)
    assert decide(AT_MOST_ONCE, [], 0, is_record_complete=False).action == RecoveryAction.ABORT
    assert decide(IDEMPOTENT, [], 0, is_record_complete=False).action == RecoveryAction.RETRY
    truncated_stream = [AttemptReport(write, AttemptState.WRITING, 40, first_token=10)]
    # The engine no longer stores the tokens before index 10.
    assert decide(IDEMPOTENT, truncated_stream, 4).action == RecoveryAction.ABORT
    assert decide(IDEMPOTENT, truncated_stream, 10).action == RecoveryAction.ATTACH


def test_fences_reject_lower_ownership_and_forget_the_oldest() -> None:
    table = FenceTable(2, 0.0)
    first, second = Ownership(1, "a"), Ownership(2, "b")
    assert table.admit("s", first) and table.claim("s", second) and not table.admit("s", first)
    assert not table.claim("s", Ownership(2, "a")) and table.admit("s", second)
    assert table.claim("s", second, close=True) and not table.claim("s", Ownership(3, "c"))
    assert not table.admit("s", second) and table.claim("s", second, close=True)
    assert table.admit("t", first) and table.admit("u", first) and table.fence_of("s") == Fence()


def test_a_failure_detector_that_checks_late_suspects_no_node() -> None:
    detector = FailureDetector(0.0)
    assert detector.record_heartbeat("a", "1", 0.0) is None
    assert detector.record_heartbeat("b", "1", 0.0) is None
    now = 0.0
    while now < HEARTBEAT_TIMEOUT + 2 * HEARTBEAT_INTERVAL:
        now += HEARTBEAT_INTERVAL
        detector.record_heartbeat("b", "1", now)
        suspected = detector.check(now)
    assert suspected == [("a", "1")] and detector.record_heartbeat("b", "2", now) == "1"
    detector.forget("a")
    resumed_at = now + 60.0  # the detector was paused
    assert detector.check(resumed_at) == [] and detector.check(resumed_at + HEARTBEAT_INTERVAL) == []
    for i in range(8):
        suspected = detector.check(resumed_at + HEARTBEAT_INTERVAL * (2 + i))
    assert suspected == [("b", "2")]
