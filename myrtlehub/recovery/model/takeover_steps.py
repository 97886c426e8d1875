"""What a node does that takes over: it asks replicas, claims engines, and decides."""

from collections.abc import Iterator

from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.model.state import (
    NO_ATTEMPT,
    OWNER_NAMES,
    Answer,
    EngineReport,
    FoundRecord,
    ModelOwner,
    ModelParameters,
    ModelState,
    Phase,
    Step,
    index_of,
    replica_name,
)
from myrtlehub.recovery.ownership import OwnedSequence
from myrtlehub.recovery.recovery_decision import AttemptReport, RecoveryAction
from myrtlehub.recovery.sequence_records import AttemptIntent, RetrySemantics, merge_copies


def ask_replicas(
    parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Ask the next replica for its record."""
    asked = {found.replica for found in owner.found} | owner.unreached
    remaining = [replica for replica in range(parameters.replicas) if replica not in asked]
    if not remaining:
        yield _take_ownership(parameters, state, index, owner)
        return
    replica = remaining[0]
    record = state.records[replica]
    after = state
    if record is not None:
        record = parameters.transfer(record, OWNER_NAMES[index], 0)
        after = state.with_record(replica, record)
    found = owner._replace(found=(*owner.found, FoundRecord(replica, record)))
    yield Step(f"{index} asks k{replica}", after.with_owner(index, found))
    if state.faults < parameters.faults:
        unreached = owner._replace(unreached=owner.unreached | {replica})
        faults = state.faults + 1
        lost_request = state.with_owner(index, unreached)._replace(faults=faults)
        yield Step(f"{index} does not reach k{replica}", lost_request)
        lost_reply = after.with_owner(index, unreached)._replace(faults=faults)
        yield Step(f"{index} hears nothing of k{replica}", lost_reply)


def _take_ownership(parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner) -> Step:
    """Own the sequence by the record that the replicas had, or abort if there is none."""
    records = [found.record for found in owner.found if found.record is not None]
    if not records:
        decision = parameters.decide(parameters.retry_semantics, [], 0, False)
        is_idempotent = parameters.retry_semantics == RetrySemantics.IDEMPOTENT
        assert decision.action == RecoveryAction.ABORT or is_idempotent
        return Step(f"{index} aborts", state.with_owner(index, owner.end(Answer.ABORTED)))
    record = merge_copies(records)
    incarnations = {
        replica_name(replica): str(state.incarnations[replica]) for replica in range(parameters.replicas)
    }
    owned = OwnedSequence.begin(record, incarnations, was_taken_over=True)
    for replica in owner.unreached:
        owned = owned.mark_uncertain(replica_name(replica))
    after = state.with_owner(index, owner._replace(owned=owned, phase=Phase.CLAIMING_ENGINES))
    return Step(f"{index} claims as {record.ownership}", after)


def claim_engines(
    parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Claim the sequence at the next engine of the record."""
    ownership = owner.owned.record.ownership
    claimed = {report.engine for report in owner.reports}
    remaining = {index_of(intent.engine) for intent in owner.owned.record.intents} - claimed
    if not remaining:
        yield _recover(parameters, state, index, owner)
        return
    engine_index = min(remaining)
    engine = state.engines[engine_index]
    fence, granted = parameters.claim_fence(engine.fence, ownership, False)
    if not granted:
        after = state.with_owner(index, owner.end(Answer.LOST))
        yield Step(f"{index} is refused by e{engine_index}", after)
    else:
        claimed_state = state.with_engine(engine_index, engine._replace(fence=fence))
        reported = owner._replace(reports=(*owner.reports, engine.report(engine_index)))
        yield Step(f"{index} claims at e{engine_index}", claimed_state.with_owner(index, reported))
    if state.faults < parameters.faults:
        unknown = EngineReport(engine_index, AttemptState.UNKNOWN, NO_ATTEMPT)
        unreached = state.with_owner(index, owner._replace(reports=(*owner.reports, unknown)))
        yield Step(f"{index} does not reach e{engine_index}", unreached._replace(faults=state.faults + 1))


def _recover(parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner) -> Step:
    """Do what the recovery decision says."""
    reports = {report.engine: report for report in owner.reports}
    record = owner.owned.record
    attempts = [_attempt_report(intent, reports[index_of(intent.engine)]) for intent in record.intents]
    decision = parameters.decide(parameters.retry_semantics, attempts, 0, True)
    if decision.action == RecoveryAction.ATTACH:
        fence = state.engines[index_of(decision.engine)].fence
        if parameters.admits(fence, record.ownership):
            return Step(f"{index} attaches", state.with_owner(index, owner.end(Answer.ATTACHED)))
        return Step(f"{index} is refused", state.with_owner(index, owner.end(Answer.LOST)))
    if decision.action == RecoveryAction.ABORT:
        return Step(f"{index} aborts", state.with_owner(index, owner.end(Answer.ABORTED)))
    after = state.with_owner(index, owner._replace(phase=Phase.INTENDING))
    return Step(f"{index} sends again", after)


def _attempt_report(intent: AttemptIntent, report: EngineReport) -> AttemptReport:
    """Turn an engine's report into one of an attempt that was intended there."""
    without_attempt = (AttemptState.NEVER, AttemptState.UNKNOWN, AttemptState.REFUSED)
    if report.state not in without_attempt and report.attempt != intent.attempt:
        return AttemptReport(intent, AttemptState.NEVER)  # the engine reports another attempt
    return AttemptReport(intent, report.state)
