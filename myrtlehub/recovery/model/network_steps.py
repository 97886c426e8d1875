"""Steps of the network, of engines, and faults."""

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
    """Yield one step for each message in transit: its delivery."""
    for update in state.updates:
        # An update to a former incarnation is lost with the connection to it.
        if str(state.incarnations[update.replica]) == update.incarnation:
            yield _deliver_update(parameters, state, update)
    for reply in state.replies:
        yield _deliver_reply(parameters, state, reply)
    for sent in state.sends:
        yield from _deliver_attempt(parameters, state, sent)


def _deliver_update(parameters: ModelParameters, state: ModelState, update: RecordUpdate) -> Step:
    record, reply = parameters.merge_update(state.records[update.replica], update.record)
    replies = state.replies
    if state.owners[update.owner].phase == Phase.WAITING:
        replies |= {UpdateReply(update.owner, update.replica, update.incarnation, update.version, reply)}
    next_state = state._replace(updates=state.updates - {update}, replies=replies)
    label = f"replica {update.replica} receives version {update.version} of node {update.owner}"
    return Step(label, next_state.with_record(update.replica, record))


def _deliver_reply(parameters: ModelParameters, state: ModelState, reply: UpdateReply) -> Step:
    owner = state.owners[reply.owner]
    owned = parameters.acknowledge(
        owner.sequence, replica_name(reply.replica), reply.incarnation, reply.version, reply.reply
    )
    without_reply = state._replace(replies=state.replies - {reply})
    next_state = send_if_allowed(parameters, without_reply, reply.owner, owner._replace(owned=owned))
    label = f"node {reply.owner} receives {reply.reply} to version {reply.version} of replica {reply.replica}"
    return Step(label, next_state)


def _deliver_attempt(parameters: ModelParameters, state: ModelState, sent: SentAttempt) -> Iterator[Step]:
    without_send = state._replace(sends=state.sends - {sent})
    engine = state.engines[sent.engine]
    if not parameters.admits(engine.fence, sent.ownership):
        yield Step(f"engine {sent.engine} refuses attempt {sent.attempt} by {sent.ownership}", without_send)
        return
    fence = engine.fence._replace(ownership=sent.ownership)
    for attempt_state in (AttemptState.REJECTED, AttemptState.WAITING):
        attempt = EngineAttempt(sent.attempt, attempt_state, sent.ownership)
        next_engine = engine._replace(fence=fence, attempts=(*engine.attempts, attempt))
        label = f"engine {sent.engine} has attempt {sent.attempt} {attempt_state}"
        yield Step(label, without_send.with_engine(sent.engine, next_engine))


def run_attempts(state: ModelState) -> Iterator[Step]:
    """Yield one step for each attempt that waits at an engine: the engine executes the sequence."""
    for engine_index, engine in enumerate(state.engines):
        for attempt_index, attempt in enumerate(engine.attempts):
            if attempt.state != AttemptState.WAITING:
                continue
            ended = attempt._replace(state=AttemptState.ENDED)
            attempts = (*engine.attempts[:attempt_index], ended, *engine.attempts[attempt_index + 1 :])
            next_state = state.with_engine(engine_index, engine._replace(attempts=attempts))
            label = f"engine {engine_index} runs attempt {attempt.attempt}"
            yield Step(label, next_state._replace(effect_count=state.effect_count + 1))


def restart_processes(parameters: ModelParameters, state: ModelState) -> Iterator[Step]:
    """Yield one step for each replica and each engine: its restart."""
    state = state._replace(fault_count=state.fault_count + 1)
    for replica in range(parameters.replicas):
        yield Step(f"replica {replica} restarts", state.with_restarted_replica(replica))
    for engine in range(len(state.engines)):
        yield Step(f"engine {engine} restarts", _restart_engine(parameters, state, engine))


def _restart_engine(parameters: ModelParameters, state: ModelState, engine: int) -> ModelState:
    """Restart an engine: attempts in transit to it and attempts that wait there never run."""
    sends = frozenset(sent for sent in state.sends if sent.engine != engine)
    next_state = state.with_engine(engine, ModelEngine(has_restarted=True))._replace(sends=sends)
    for index, owner in enumerate(next_state.owners):
        if owner.phase == Phase.WAITING:
            # A restart takes longer than `MAX_ACKNOWLEDGEMENT_AGE` of `node.replication.record_publisher`:
            # the owner has to update its replicas again before it may send.
            owned = owner.sequence._replace(version=owner.sequence.version + 1)
            next_state = update_replicas(parameters, next_state, index, owner._replace(owned=owned))
    return next_state
