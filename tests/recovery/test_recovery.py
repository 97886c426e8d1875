"""Recovery: the model keeps its rules, the checker finds seeded faults, and unit tests of each module."""

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
        ModelParameters(replicas=1, successors=1, attempts=2, faults=1),
        ModelParameters(replicas=1, successors=2, attempts=1, faults=0),
    ],
    ids=["paused, one fault", "two successors"],
)
def test_a_sequence_runs_at_most_once_whichever_node_takes_it_over(parameters: ModelParameters) -> None:
    """Visit all states; with one replica there are few enough."""
    found = check_model(initial_state(parameters), RecoveryModel(parameters), 200, 200_000)
    assert found.is_complete and not found.violation, (found.violation, found.trace)
    assert found.states > 5000


@pytest.mark.parametrize(
    "parameters",
    [
        ModelParameters(successors=1, attempts=2, faults=1),
        ModelParameters(successors=2, attempts=1, faults=0),
    ],
    ids=["paused, one fault", "two successors"],
)
def test_a_sequence_runs_at_most_once_with_two_replicas_in_a_part_of_the_states(
    parameters: ModelParameters,
) -> None:
    """Visit the states up to a limit; with two replicas there are too many for all of them."""
    found = check_model(initial_state(parameters), RecoveryModel(parameters), 200, 30_000)
    assert not found.violation and found.depth > 8, (found.violation, found.trace)


def _store_any_update(stored: SequenceRecord | None, update: SequenceRecord) -> MergeResult:
    return MergeResult(update, ReplicaReply.STORED)


def _send_unless(
    may_skip_waiting: Callable[[OwnedSequence], bool],
) -> Callable[[OwnedSequence], SendDecision]:
    return lambda owned: SendDecision.SEND if may_skip_waiting(owned) else owned.send_decision()


def _decide_as_if_never_sent(
    *states: AttemptState,
) -> Callable[[str, list[AttemptReport], int, bool], RecoveryDecision]:
    """Make a decision that counts attempts in these states as attempts that were never sent."""

    def wrong_decide(
        retry_semantics: str,
        reports: list[AttemptReport],
        client_token_count: int,
        is_record_complete: bool = True,
    ) -> RecoveryDecision:
        changed = [
            report._replace(state=AttemptState.NEVER_RAN) if report.state in states else report
            for report in reports
        ]
        return decide(retry_semantics, changed, client_token_count, is_record_complete)

    return wrong_decide


def _acknowledge_by_any_process(
    owned: OwnedSequence, replica: str, incarnation: str, version: int, reply: str
) -> OwnedSequence:
    return owned.acknowledge(replica, dict(owned.replicas).get(replica, incarnation), version, reply)


def _grant_any_claim(fence: Fence, ownership: Ownership, close: bool) -> ClaimResult:
    return ClaimResult(Fence(ownership, fence.is_closed or close), is_granted=True)


def _grant_claims_to_a_closed_fence(fence: Fence, ownership: Ownership, close: bool) -> ClaimResult:
    if ownership < fence.ownership:
        return ClaimResult(fence, is_granted=False)
    return ClaimResult(Fence(ownership, close), is_granted=True)


FAULTS = {
    "a replica accepts updates of a superseded owner": ModelParameters(merge_update=_store_any_update),
    "a successor gets the record without a higher epoch": ModelParameters(
        transfer_ownership=lambda stored, new_owner, min_epoch: stored
    ),
    "an engine accepts work with any ownership": ModelParameters(admits=lambda fence, ownership: True),
    "an engine grants claims with any ownership": ModelParameters(claim_fence=_grant_any_claim),
    "attempts are sent without acknowledgements": ModelParameters(
        send_decision=_send_unless(lambda owned: not owned.is_superseded)
    ),
    "a later attempt is sent without the replicas that did not reply": ModelParameters(
        send_decision=_send_unless(
            lambda owned: (
                not owned.is_superseded and set(owned.lagging_replicas()) <= owned.uncertain_replicas
            )
        )
    ),
    "an owner continues after it was superseded": ModelParameters(
        send_decision=_send_unless(lambda owned: owned.is_superseded)
    ),
    "an engine that restarted counts as one that received nothing": ModelParameters(
        decide=_decide_as_if_never_sent(AttemptState.UNKNOWN)
    ),
    "an attempt that has run is sent again": ModelParameters(
        decide=_decide_as_if_never_sent(*STREAMING_STATES)
    ),
    "a closed fence grants the claims of other owners": ModelParameters(
        claim_fence=_grant_claims_to_a_closed_fence
    ),
    "the reply of another incarnation of a replica counts": ModelParameters(
        acknowledge=_acknowledge_by_any_process
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_seeded_fault_is_found_and_its_trace_replays(name: str) -> None:
    for size in (
        {"replicas": 1, "successors": 1, "faults": 0},
        {"replicas": 1, "successors": 1, "faults": 1},
        {"replicas": 1, "successors": 2, "faults": 0},
        {"successors": 1, "faults": 1},
        {"successors": 2, "attempts": 1, "faults": 0},
    ):
        parameters = FAULTS[name]._replace(**size)
        found = check_model(initial_state(parameters), RecoveryModel(parameters), 200, 120_000)
        if found.violation:
            break
    assert found.violation, name
    _, violation = replay(initial_state(parameters), RecoveryModel(parameters), found.trace)
    assert violation == found.violation


# -- unit tests ----------------------------------------------------------------------------------------


def record(
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
        first = replicas_of(node, zones, 2)
        assert node not in first and zones[node] not in {zones[replica] for replica in first}
        assert (
            len({zones[replica] for replica in first}) == 2
            and rank_nodes(node, dict(reversed(zones.items())))[:2] == first
        )
    without = {node: zone for node, zone in zones.items() if node != "n7"}
    changed = [node for node in without if replicas_of(node, without, 2) != replicas_of(node, zones, 2)]
    assert all("n7" in replicas_of(node, zones, 2) for node in changed) and len(changed) < 10
    load = [sum(replica in replicas_of(node, zones, 2) for node in zones) for replica in zones]
    assert max(load) <= 9 and sum(load) == 120
    assert replicas_of("a", {"a": "z", "b": "z"}, 2) == ["b"] and origin_node("n.1.run~2.77") == "n.1"


def test_a_replica_store_evicts_in_the_stated_order_and_never_what_was_handed_out() -> None:
    store = ReplicaStore(4)
    records = [
        record("once"),
        record("token", IDEMPOTENCY_KEY),
        record("streams", IDEMPOTENT, is_streaming=True),
        record("plain", IDEMPOTENT),
    ]
    assert [store.store(r) for r in records] == [ReplicaReply.STORED] * 4
    assert store.store(record("more")) == ReplicaReply.STORED and "plain" not in store.records
    assert store.store(record("late", IDEMPOTENT)) == ReplicaReply.FULL  # it ranks below every stored record
    assert store.store(record("two")) == ReplicaReply.STORED and "streams" not in store.records
    assert (
        store.hand_out("once", "b").ownership == Ownership(2, "b") and store.hand_out("unknown", "b") is None
    )
    for i in range(6):
        store.store(record(f"x{i}"))
    assert "once" in store.records and len(store.records) == 4
    assert store.store(record("once")) == ReplicaReply.SUPERSEDED == store.complete("once", Ownership(1, "a"))
    assert store.complete("once", Ownership(2, "b")) == ReplicaReply.STORED and "once" not in store.records
    assert store.remove_expired(8.9) == [] and len(store.remove_expired(9.0)) == 3


def test_a_late_update_removes_no_intent() -> None:
    first, second = AttemptIntent(0, "w1", False, 1.0), AttemptIntent(1, "w2", False, 2.0)
    merged, reply = merge_update(
        record("s", intents=(first, second), is_streaming=True), record("s", intents=(first,))
    )
    assert reply == ReplicaReply.STORED and merged.intents == (first, second) and merged.is_streaming


def test_what_an_owner_may_send_after_the_replies_of_its_replicas() -> None:
    one, two = AttemptIntent(0, "w1", False, 0.0), AttemptIntent(1, "w2", False, 0.0)
    stored, full, superseded = ReplicaReply.STORED, ReplicaReply.FULL, ReplicaReply.SUPERSEDED
    send, wait, abandon = SendDecision.SEND, SendDecision.WAIT, SendDecision.ABANDON
    owned = OwnedSequence.begin(record("s"), {"k1": "r", "k2": "r"}).add_intent(one)
    assert owned.send_decision() == wait
    half = owned.acknowledge("k1", "r", 1, stored)
    # The first intent may be sent without the replicas that did not reply.
    assert half.send_decision() == wait and half.mark_uncertain("k2").send_decision() == send
    assert half.acknowledge("k2", "r", 1, full).send_decision() == send
    later = half.mark_uncertain("k2").add_intent(two).acknowledge("k1", "r", 2, stored)
    assert (
        later.send_decision() == abandon and later.acknowledge("k2", "r", 2, stored).send_decision() == send
    )
    assert later.acknowledge("k2", "other", 2, stored).send_decision() == abandon  # it restarted meanwhile
    assert owned.acknowledge("k1", "r", 1, superseded).send_decision() == abandon
    idempotent = OwnedSequence.begin(record("s", IDEMPOTENT), {"k1": "r"}).add_intent(one)
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
    tail_only = [AttemptReport(write, AttemptState.WRITING, 40, first_token=10)]
    # The engine has dropped the tokens before the tenth.
    assert decide(IDEMPOTENT, tail_only, 4).action == RecoveryAction.ABORT
    assert decide(IDEMPOTENT, tail_only, 10).action == RecoveryAction.ATTACH


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
        silent = detector.check(now)
    assert silent == [("a", "1")] and detector.record_heartbeat("b", "2", now) == "1"
    detector.forget("a")
    late = now + 60.0
    assert detector.check(late) == [] and detector.check(late + HEARTBEAT_INTERVAL) == []  # it was paused
    for i in range(8):
        silent = detector.check(late + HEARTBEAT_INTERVAL * (2 + i))
    assert silent == [("b", "2")]
