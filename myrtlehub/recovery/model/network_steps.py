"""Messages that arrive, engines that work, and faults."""

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
    """Deliver any one message that is on its way."""
    for update in state.updates:
        if str(state.incarnations[update.replica]) == update.incarnation:
            yield _deliver_update(parameters, state, update)
        # Otherwise its connection broke with the process.
    for reply in state.replies:
        yield _deliver_reply(parameters, state, reply)
    for sent in state.sends:
        yield from _deliver_attempt(parameters, state, sent)


def _deliver_update(parameters: ModelParameters, state: ModelState, update: RecordUpdate) -> Step:
    record, reply = parameters.merge_update(state.records[update.replica], update.record)
    replies = state.replies
    if state.owners[update.owner].phase == Phase.WAITING:
        replies |= {UpdateReply(update.owner, update.replica, update.incarnation, update.version, reply)}
    after = state._replace(updates=state.updates - {update}, replies=replies)
    label = f"k{update.replica} hears {update.version} of {update.owner}"
    return Step(label, after.with_record(update.replica, record))


def _deliver_reply(parameters: ModelParameters, state: ModelState, reply: UpdateReply) -> Step:
    owner = state.owners[reply.owner]
    owned = parameters.acknowledge(
        owner.owned, replica_name(reply.replica), reply.incarnation, reply.version, reply.reply
    )
    rest = state._replace(replies=state.replies - {reply})
    after = send_if_allowed(parameters, rest, reply.owner, owner._replace(owned=owned))
    return Step(f"{reply.owner} hears {reply.reply} {reply.version} of k{reply.replica}", after)


def _deliver_attempt(parameters: ModelParameters, state: ModelState, sent: SentAttempt) -> Iterator[Step]:
    rest = state._replace(sends=state.sends - {sent})
    engine = state.engines[sent.engine]
    if not parameters.admits(engine.fence, sent.ownership):
        yield Step(f"e{sent.engine} refuses {sent.attempt} by {sent.ownership}", rest)
        return
    fence = engine.fence._replace(ownership=sent.ownership)
    for attempt_state in (AttemptState.REFUSED, AttemptState.WAITING):
        attempt = EngineAttempt(sent.attempt, attempt_state, sent.ownership)
        after = engine._replace(fence=fence, attempts=(*engine.attempts, attempt))
        label = f"e{sent.engine} has {sent.attempt} {attempt_state}"
        yield Step(label, rest.with_engine(sent.engine, after))


def run_attempts(state: ModelState) -> Iterator[Step]:
    """Run any one attempt that waits at an engine: the sequence has its effect."""
    for engine_index, engine in enumerate(state.engines):
        for place, attempt in enumerate(engine.attempts):
            if attempt.state != AttemptState.WAITING:
                continue
            ended = attempt._replace(state=AttemptState.ENDED)
            attempts = (*engine.attempts[:place], ended, *engine.attempts[place + 1 :])
            after = state.with_engine(engine_index, engine._replace(attempts=attempts))
            label = f"e{engine_index} runs {attempt.attempt}"
            yield Step(label, after._replace(effects=state.effects + 1))


def restart_processes(parameters: ModelParameters, state: ModelState) -> Iterator[Step]:
    """Restart any one replica or engine."""
    state = state._replace(faults=state.faults + 1)
    for replica in range(parameters.replicas):
        yield Step(f"k{replica} restarts", state.with_restarted_replica(replica))
    for engine in range(len(state.engines)):
        yield Step(f"e{engine} restarts", _restart_engine(parameters, state, engine))


def _restart_engine(parameters: ModelParameters, state: ModelState, engine: int) -> ModelState:
    """Lose what is on its way to an engine with its connections; what waited there never runs."""
    sends = frozenset(sent for sent in state.sends if sent.engine != engine)
    after = state.with_engine(engine, ModelEngine(restarted=True))._replace(sends=sends)
    for index, owner in enumerate(after.owners):
        if owner.phase == Phase.WAITING:
            # It takes longer than an acknowledgement stays fresh (`node.replication`): replicas are told
            # anew.
            owned = owner.owned._replace(version=owner.owned.version + 1)
            after = update_replicas(parameters, after, index, owner._replace(owned=owned))
    return after
