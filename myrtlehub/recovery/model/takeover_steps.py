"""Steps of a successor: it fetches the record from replicas, claims engines, and decides how to continue."""

from collections.abc import Iterator

from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.model.state import (
    OWNER_NAMES,
    Answer,
    EngineReport,
    FetchedRecord,
    ModelOwner,
    ModelParameters,
    ModelState,
    Phase,
    Step,
    index_of,
    replica_name,
)
from myrtlehub.recovery.ownership import OwnedSequence
from myrtlehub.recovery.recovery_decision import AttemptReport, RecoveryAction, RecoveryDecision
from myrtlehub.recovery.sequence_records import AttemptIntent, RetrySemantics, merge_copies


class UnsafeRetryError(Exception):
    """The recovery decision is to retry a sequence that may have run."""

    def __init__(self, decision: RecoveryDecision) -> None:
        super().__init__(f"a sequence that is not idempotent would be retried without its record: {decision}")
        self.decision = decision


def query_replicas(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Query the next replica for its record; the request or the reply may be lost."""
    queried = {fetched.replica for fetched in owner.fetched_records} | owner.unreached_replicas
    remaining = [replica for replica in range(parameters.replica_count) if replica not in queried]
    if not remaining:
        yield _take_ownership(parameters, state, owner_index, owner)
        return
    replica = remaining[0]
    record = state.records[replica]
    transferred = state
    if record is not None:
        record = parameters.transfer_ownership(record, OWNER_NAMES[owner_index], 0)
        transferred = state.with_record(replica, record)
    fetched = owner._replace(fetched_records=(*owner.fetched_records, FetchedRecord(replica, record)))
    yield Step(f"node {owner_index} queries replica {replica}", transferred.with_owner(owner_index, fetched))
    if state.fault_count < parameters.max_faults:
        unreached = owner._replace(unreached_replicas=owner.unreached_replicas | {replica})
        fault_count = state.fault_count + 1
        lost_request = state.with_owner(owner_index, unreached)._replace(fault_count=fault_count)
        yield Step(f"node {owner_index} does not reach replica {replica}", lost_request)
        lost_reply = transferred.with_owner(owner_index, unreached)._replace(fault_count=fault_count)
        yield Step(f"node {owner_index} gets no reply from replica {replica}", lost_reply)


def _take_ownership(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> Step:
    """Take ownership of the sequence with the merged record; abort if no replica returned one."""
    records = [fetched.record for fetched in owner.fetched_records if fetched.record is not None]
    if not records:
        return _recover_without_record(parameters, state, owner_index, owner)
    record = merge_copies(records)
    incarnations = {
        replica_name(replica): str(state.incarnations[replica]) for replica in range(parameters.replica_count)
    }
    owned = OwnedSequence.begin(record, incarnations, was_taken_over=True)
    for replica in owner.unreached_replicas:
        owned = owned.mark_uncertain(replica_name(replica))
    next_state = state.with_owner(owner_index, owner._replace(owned=owned, phase=Phase.CLAIMING_ENGINES))
    return Step(f"node {owner_index} claims as {record.ownership}", next_state)


def _recover_without_record(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> Step:
    """Abort, because no replica has a record.

    A real node would retry an idempotent sequence under a new id, which the model does not cover.

    Raises:
        UnsafeRetryError: the decision is to retry a sequence that is not idempotent.
    """
    decision = parameters.decide_recovery(parameters.retry_semantics, [], 0, False)
    is_idempotent = parameters.retry_semantics == RetrySemantics.IDEMPOTENT
    if decision.action != RecoveryAction.ABORT and not is_idempotent:
        raise UnsafeRetryError(decision)
    return Step(
        f"node {owner_index} aborts without a record",
        state.with_owner(owner_index, owner.finish(Answer.ABORTED)),
    )


def claim_engines(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Claim the sequence at the next engine in the record; the engine may be unreachable."""
    record = owner.sequence.record
    claimed = {report.engine for report in owner.engine_reports}
    remaining = {index_of(intent.engine) for intent in record.intents} - claimed
    if not remaining:
        yield _recover(parameters, state, owner_index, owner)
        return
    engine_index = min(remaining)
    engine = state.engines[engine_index]
    fence, is_granted = parameters.claim_fence(engine.fence, record.ownership, False)
    if not is_granted:
        superseded = state.with_owner(owner_index, owner.finish(Answer.SUPERSEDED))
        yield Step(f"engine {engine_index} rejects the claim of node {owner_index}", superseded)
    else:
        claimed_state = state.with_engine(engine_index, engine._replace(fence=fence))
        reported = owner._replace(engine_reports=(*owner.engine_reports, engine.report(engine_index)))
        yield Step(
            f"node {owner_index} claims at engine {engine_index}",
            claimed_state.with_owner(owner_index, reported),
        )
    if state.fault_count < parameters.max_faults:
        unknown = EngineReport(engine_index, AttemptState.UNKNOWN, None)
        unreached = state.with_owner(
            owner_index, owner._replace(engine_reports=(*owner.engine_reports, unknown))
        )
        yield Step(
            f"node {owner_index} does not reach engine {engine_index}",
            unreached._replace(fault_count=state.fault_count + 1),
        )


def _recover(parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner) -> Step:
    """Carry out the recovery decision."""
    report_by_engine = {report.engine: report for report in owner.engine_reports}
    record = owner.sequence.record
    attempt_reports = [
        _attempt_report(intent, report_by_engine[index_of(intent.engine)]) for intent in record.intents
    ]
    match parameters.decide_recovery(parameters.retry_semantics, attempt_reports, 0, True):
        case RecoveryDecision(action=RecoveryAction.ATTACH, target=AttemptIntent(engine=engine)):
            fence = state.engines[index_of(engine)].fence
            if parameters.admits(fence, record.ownership):
                attached = state.with_owner(owner_index, owner.finish(Answer.ATTACHED))
                return Step(f"node {owner_index} attaches", attached)
            superseded = state.with_owner(owner_index, owner.finish(Answer.SUPERSEDED))
            return Step(f"node {owner_index} attaches and is rejected", superseded)
        case RecoveryDecision(action=RecoveryAction.ABORT):
            return Step(
                f"node {owner_index} aborts", state.with_owner(owner_index, owner.finish(Answer.ABORTED))
            )
    next_state = state.with_owner(owner_index, owner._replace(phase=Phase.INTENDING))
    return Step(f"node {owner_index} retries", next_state)


def _attempt_report(intent: AttemptIntent, report: EngineReport) -> AttemptReport:
    """Return what an engine's report says about one attempt that was intended for that engine."""
    states_without_attempt = (AttemptState.NEVER_RAN, AttemptState.UNKNOWN, AttemptState.REJECTED)
    if report.state not in states_without_attempt and report.attempt != intent.attempt:
        return AttemptReport(intent, AttemptState.NEVER_RAN)  # the report is about another attempt
    return AttemptReport(intent, report.state)
