"""Steps of an owner: it updates its replicas, sends attempts and answers its client."""

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
    """Yield one step for each engine: the owner adds the intent to send to it, and updates the replicas."""
    intents = owner.sequence.record.intents
    # The model has no clock: `intended_at` is the index of the owner that added the intent.
    own_intents = sum(intent.intended_at == index for intent in intents)
    if own_intents >= (parameters.attempts if index == FIRST_OWNER else 1):
        yield from give_up(parameters, state, index, owner)
        return
    # All engines are alike, so the first attempt goes to the first engine without loss of generality.
    for engine in range(parameters.engines if intents else 1):
        attempt = len(intents)
        intent = AttemptIntent(attempt, engine_name(engine), False, float(index))
        waiting = owner._replace(owned=owner.sequence.add_intent(intent), phase=Phase.WAITING)
        next_state = update_replicas(parameters, state, index, waiting)
        yield Step(f"node {index} intends to send attempt {attempt} to engine {engine}", next_state)


def update_replicas(
    parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner
) -> ModelState:
    """Send the record to all replicas, and the waiting attempt to its engine if that is allowed already."""
    owned = owner.sequence
    replicas = [index_of(replica.node) for replica in owned.replicas]
    # The update is addressed to the present incarnation of a replica. An earlier update of this sequence may
    # have reached a former incarnation.
    updates = frozenset(
        RecordUpdate(index, replica, str(state.incarnations[replica]), owned.record, owned.version)
        for replica in replicas
    )
    return send_if_allowed(parameters, state._replace(updates=state.updates | updates), index, owner)


def send_if_allowed(
    parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner
) -> ModelState:
    """Set the state of an owner, and send its waiting attempt if the acknowledgements allow it."""
    if owner.phase == Phase.WAITING and parameters.send_decision(owner.sequence) == SendDecision.SEND:
        record = owner.sequence.record
        intent = record.intents[-1]
        sent = SentAttempt(index, index_of(intent.engine), intent.attempt, record.ownership)
        state = state._replace(sends=state.sends | {sent})
        owner = owner._replace(phase=Phase.SENT)
    return state.with_owner(index, owner)


def wait_for_replicas(
    parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Abandon an attempt that may not be sent any more, or stop waiting for replicas that are late."""
    if parameters.send_decision(owner.sequence) == SendDecision.ABANDON:
        yield from give_up(parameters, state, index, owner)
    owned = owner.sequence
    for replica in set(owned.lagging_replicas()) - owned.uncertain_replicas:
        owned = owned.mark_uncertain(replica)
    if owned != owner.sequence:
        # The late replies may still arrive.
        next_state = send_if_allowed(parameters, state, index, owner._replace(owned=owned))
        yield Step(f"node {index} stops waiting for replicas", next_state)


def observe_attempt(state: ModelState, index: int, owner: ModelOwner) -> Iterator[Step]:
    """Yield the possible outcomes of the owner's last attempt: refused, generated, or connection lost."""
    record = owner.sequence.record
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
    if attempt_state == AttemptState.REJECTED:
        next_state = state.with_owner(index, owner._replace(phase=Phase.INTENDING))
        yield Step(f"node {index} learns that attempt {intent.attempt} was refused", next_state)
    elif attempt_state == AttemptState.ENDED and engine.fence.ownership <= record.ownership:
        generated = state.with_owner(index, owner.finish(Answer.GENERATED))
        yield Step(f"node {index} answers: generated", generated)
    next_state = state.with_owner(index, owner.finish(Answer.ABORTED))
    yield Step(f"node {index} loses the connection of attempt {intent.attempt}", next_state)


def give_up(parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner) -> Iterator[Step]:
    """Answer without a further attempt: abort, or reject where it is certain that nothing ran.

    The first owner may reject only while its client has not resumed at another node. A successor closes the
    fences of all engines before it rejects.
    """
    yield Step(f"node {index} answers: aborted", state.with_owner(index, owner.finish(Answer.ABORTED)))
    if index != FIRST_OWNER:
        yield _close_engines(parameters, state, index, owner)
        return
    others_are_idle = all(other.phase == Phase.IDLE for other in state.owners[1:])
    if others_are_idle and _all_were_rejected(state, owner):
        rejected = state.with_owner(index, owner.finish(Answer.REJECTED))
        yield Step(f"node {index} answers: rejected", rejected)


def _all_were_rejected(state: ModelState, owner: ModelOwner) -> bool:
    return all(
        any(
            row.attempt == intent.attempt and row.state == AttemptState.REJECTED
            for row in state.engines[index_of(intent.engine)].attempts
        )
        for intent in owner.sequence.record.intents
    )


def _close_engines(parameters: ModelParameters, state: ModelState, index: int, owner: ModelOwner) -> Step:
    """Close the fences of all engines, and reject if every engine proves that nothing ran."""
    record = owner.sequence.record
    nothing_ran = True
    for engine_index in sorted({index_of(intent.engine) for intent in record.intents}):
        engine = state.engines[engine_index]
        fence, is_granted = parameters.claim_fence(engine.fence, record.ownership, True)
        is_harmless = engine.report(engine_index).state in (AttemptState.NEVER_RAN, AttemptState.REJECTED)
        nothing_ran = nothing_ran and is_granted and is_harmless
        if is_granted:
            state = state.with_engine(engine_index, engine._replace(fence=fence))
    answer = Answer.REJECTED if nothing_ran else Answer.ABORTED
    label = f"node {index} closes all engines and answers: {answer}"
    return Step(label, state.with_owner(index, owner.finish(answer)))
