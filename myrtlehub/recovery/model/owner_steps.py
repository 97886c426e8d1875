"""What an owner does: it updates its replicas, sends attempts and answers its client."""

from collections.abc import Iterator

from myrtlehub.recovery.fencing import AttemptState
from myrtlehub.recovery.model.state import (
    FIRST_OWNER,
    Answer,
    ModelOwner,
    ModelParameters,
    ModelState,
    Phase,
    RecordUpdate,
    SentAttempt,
    Step,
    engine_name,
    index_of,
)
from myrtlehub.recovery.ownership import SendDecision
from myrtlehub.recovery.sequence_records import AttemptIntent


def intend(parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner) -> Iterator[Step]:
    """Intend to send an attempt to any engine: its replicas are told first."""
    intents = owner.owned.record.intents
    own_intents = sum(intent.intended_at == index for intent in intents)
    if own_intents >= (parameters.attempts if index == FIRST_OWNER else 1):
        yield from give_up(parameters, state, index, owner)
        return
    # Engines are alike: the first one of all is the first one here.
    for engine in range(parameters.engines if intents else 1):
        attempt = len(intents)
        owned = owner.owned.add_intent(AttemptIntent(attempt, engine_name(engine), False, float(index)))
        after = update_replicas(parameters, state, index, owner._replace(owned=owned, phase=Phase.WAITING))
        yield Step(f"{index} intends {attempt} at e{engine}", after)


def update_replicas(
    parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner
) -> ModelState:
    """Tell all replicas; what may be sent now is sent in the same turn."""
    owned = owner.owned
    replicas = [index_of(replica.node) for replica in owned.replicas]
    # An update goes to whichever process is there now, which need not be the one that was told first.
    updates = frozenset(
        RecordUpdate(index, replica, str(state.incarnations[replica]), owned.record, owned.version)
        for replica in replicas
    )
    return send_if_allowed(parameters, state._replace(updates=state.updates | updates), index, owner)


def send_if_allowed(
    parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner
) -> ModelState:
    """Take over what an owner knows now: an attempt that waits is sent at once, if it may be."""
    if owner.phase == Phase.WAITING and parameters.send_decision(owner.owned) == SendDecision.SEND:
        intent = owner.owned.record.intents[-1]
        sent = SentAttempt(index, index_of(intent.engine), intent.attempt, owner.owned.record.ownership)
        state = state._replace(sends=state.sends | {sent})
        owner = owner._replace(phase=Phase.SENT)
    return state.with_owner(index, owner)


def wait_for_replicas(
    parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Wait before a send: it is given up where it may never go, and replicas may not answer."""
    if parameters.send_decision(owner.owned) == SendDecision.NEVER:
        yield from give_up(parameters, state, index, owner)
    owned = owner.owned
    for replica in set(owned.lagging_replicas()) - owned.uncertain:
        owned = owned.mark_uncertain(replica)
    if owned != owner.owned:
        # It waited in vain: their replies may still come, or not.
        after = send_if_allowed(parameters, state, index, owner._replace(owned=owned))
        yield Step(f"{index} waits no longer", after)


def observe_attempt(state: ModelState, index: int, owner: ModelOwner) -> Iterator[Step]:
    """Hear what became of the attempt that was sent last."""
    record = owner.owned.record
    intent = record.intents[-1]
    engine = state.engines[index_of(intent.engine)]
    attempt_state = next(
        (
            row.state
            for row in engine.attempts
            if row.attempt == intent.attempt and row.ownership == record.ownership
        ),
        None,
    )
    if attempt_state == AttemptState.REFUSED:
        after = state.with_owner(index, owner._replace(phase=Phase.INTENDING))
        yield Step(f"{index} hears that {intent.attempt} was refused", after)
    elif attempt_state == AttemptState.ENDED and engine.fence.ownership <= record.ownership:
        yield Step(f"{index} generates", state.with_owner(index, owner.end(Answer.GENERATED)))
    after = state.with_owner(index, owner.end(Answer.ABORTED))
    yield Step(f"{index} loses sight of {intent.attempt}", after)


def give_up(parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner) -> Iterator[Step]:
    """Send nothing more, and reject only where it is certain that nothing ran.

    The first owner's client may have gone to another node meanwhile; a node that took over closes all
    engines first.
    """
    yield Step(f"{index} aborts", state.with_owner(index, owner.end(Answer.ABORTED)))
    if index != FIRST_OWNER:
        yield _close_engines(parameters, state, index, owner)
        return
    others_are_idle = all(other.phase == Phase.IDLE for other in state.owners[1:])
    if others_are_idle and _all_were_refused(state, owner):
        yield Step(f"{index} rejects", state.with_owner(index, owner.end(Answer.REJECTED)))


def _all_were_refused(state: ModelState, owner: ModelOwner) -> bool:
    return all(
        any(
            row.attempt == intent.attempt and row.state == AttemptState.REFUSED
            for row in state.engines[index_of(intent.engine)].attempts
        )
        for intent in owner.owned.record.intents
    )


def _close_engines(parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner) -> Step:
    """Close the fences of all engines; reject if all of them prove that nothing ran."""
    record = owner.owned.record
    nothing_ran = True
    for engine_index in sorted({index_of(intent.engine) for intent in record.intents}):
        engine = state.engines[engine_index]
        fence, granted = parameters.claim_fence(engine.fence, record.ownership, True)
        harmless = engine.report(engine_index).state in (AttemptState.NEVER, AttemptState.REFUSED)
        nothing_ran = nothing_ran and granted and harmless
        if granted:
            state = state.with_engine(engine_index, engine._replace(fence=fence))
    answer = Answer.REJECTED if nothing_ran else Answer.ABORTED
    return Step(f"{index} closes", state.with_owner(index, owner.end(answer)))
