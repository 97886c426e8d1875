"""Steps of the network and of engines, and faults."""

from collections.abc import Iterator

from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.model.owner_steps import send_if_allowed, update_replicas
from myrtlehub.recovery.model.state import (
    EngineAttempt,
    ModelEngine,
    ModelParameters,
    ModelState,
    Phase,
    RecordUpdate,
    SentAttempt,
    Step,
    UpdateReply,
    replica_name,
)


def deliver_messages(parameters: ModelParameters, state: ModelState) -> Iterator[Step]:
    """Yield the delivery of each message in transit."""
    for update in state.updates_in_transit:
        # Updates to a former incarnation are lost with its connection.
        if str(state.incarnations[update.replica]) == update.incarnation:
            yield _deliver_update(parameters, state, update)
    for reply in state.replies_in_transit:
        yield _deliver_reply(parameters, state, reply)
    for sent in state.attempts_in_transit:
        yield from _deliver_attempt(parameters, state, sent)


def _deliver_update(parameters: ModelParameters, state: ModelState, update: RecordUpdate) -> Step:
    record, reply = parameters.merge_update(state.records[update.replica], update.record)
    replies = state.replies_in_transit
    if state.owners[update.owner].phase == Phase.WAITING:
        replies |= {UpdateReply(update.owner, update.replica, update.incarnation, update.version, reply)}
    next_state = state._replace(
        updates_in_transit=state.updates_in_transit - {update}, replies_in_transit=replies
    )
    label = f"replica {update.replica} receives version {update.version} from node {update.owner}"
    return Step(label, next_state.with_record(update.replica, record))


def _deliver_reply(parameters: ModelParameters, state: ModelState, reply: UpdateReply) -> Step:
    owner = state.owners[reply.owner]
    owned = parameters.acknowledge(
        owner.sequence, replica_name(reply.replica), reply.incarnation, reply.version, reply.reply
    )
    without_reply = state._replace(replies_in_transit=state.replies_in_transit - {reply})
    next_state = send_if_allowed(parameters, without_reply, reply.owner, owner._replace(owned=owned))
    label = (
        f"node {reply.owner} receives {reply.reply} for version {reply.version} from replica {reply.replica}"
    )
    return Step(label, next_state)


def _deliver_attempt(parameters: ModelParameters, state: ModelState, sent: SentAttempt) -> Iterator[Step]:
    without_attempt = state._replace(attempts_in_transit=state.attempts_in_transit - {sent})
    engine = state.engines[sent.engine]
    if not parameters.admits(engine.fence, sent.ownership):
        yield Step(
            f"engine {sent.engine} rejects attempt {sent.attempt} of {sent.ownership}", without_attempt
        )
        return
    fence = engine.fence._replace(ownership=sent.ownership)
    for attempt_state in (AttemptState.REJECTED, AttemptState.WAITING):
        attempt = EngineAttempt(sent.attempt, attempt_state, sent.ownership)
        next_engine = engine._replace(fence=fence, attempts=(*engine.attempts, attempt))
        label = f"engine {sent.engine} receives attempt {sent.attempt}: {attempt_state}"
        yield Step(label, without_attempt.with_engine(sent.engine, next_engine))


def run_attempts(state: ModelState) -> Iterator[Step]:
    """Yield the execution of each attempt that waits at an engine."""
    for engine_index, engine in enumerate(state.engines):
        for attempt_index, attempt in enumerate(engine.attempts):
            if attempt.state != AttemptState.WAITING:
                continue
            ended = attempt._replace(state=AttemptState.ENDED)
            attempts = (*engine.attempts[:attempt_index], ended, *engine.attempts[attempt_index + 1 :])
            next_state = state.with_engine(engine_index, engine._replace(attempts=attempts))
            label = f"engine {engine_index} executes attempt {attempt.attempt}"
            yield Step(label, next_state._replace(execution_count=state.execution_count + 1))


def restart_processes(parameters: ModelParameters, state: ModelState) -> Iterator[Step]:
    """Yield the restart of each replica and of each engine."""
    state = state._replace(fault_count=state.fault_count + 1)
    for replica in range(parameters.replica_count):
        yield Step(f"replica {replica} restarts", state.with_restarted_replica(replica))
    for engine in range(len(state.engines)):
        yield Step(f"engine {engine} restarts", _restart_engine(parameters, state, engine))


def _restart_engine(parameters: ModelParameters, state: ModelState, engine: int) -> ModelState:
    """Restart an engine; attempts in transit to it and attempts that wait at it never run."""
    attempts = frozenset(sent for sent in state.attempts_in_transit if sent.engine != engine)
    next_state = state.with_engine(engine, ModelEngine(has_restarted=True))._replace(
        attempts_in_transit=attempts
    )
    for owner_index, owner in enumerate(next_state.owners):
        if owner.phase == Phase.WAITING:
            # A restart takes longer than `MAX_ACKNOWLEDGEMENT_AGE` of `node.replication.record_publisher`,
            # so the owner has to update its replicas again before it may send.
            owned = owner.sequence._replace(version=owner.sequence.version + 1)
            next_state = update_replicas(parameters, next_state, owner_index, owner._replace(owned=owned))
    return next_state
