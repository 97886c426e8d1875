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


def add_intent(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Yield a step for each engine: the owner adds the intent to send to it and updates the replicas."""
    intents = owner.sequence.record.intents
    # The model has no clock, so `intended_at` is the index of the owner that added the intent.
    own_intents = sum(intent.intended_at == owner_index for intent in intents)
    if own_intents >= (parameters.max_first_owner_attempts if owner_index == FIRST_OWNER else 1):
        yield from answer_without_retry(parameters, state, owner_index, owner)
        return
    # Engines are interchangeable, so the first attempt goes to the first engine without loss of generality.
    for engine in range(parameters.engine_count if intents else 1):
        attempt = len(intents)
        intent = AttemptIntent(attempt, engine_name(engine), False, float(owner_index))
        waiting = owner._replace(owned=owner.sequence.add_intent(intent), phase=Phase.WAITING)
        next_state = update_replicas(parameters, state, owner_index, waiting)
        yield Step(f"node {owner_index} intends to send attempt {attempt} to engine {engine}", next_state)


def update_replicas(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> ModelState:
    """Send the record to all replicas, and the waiting attempt to its engine if it may be sent already."""
    owned = owner.sequence
    replicas = [index_of(replica.node) for replica in owned.replicas]
    # The update is addressed to the current incarnation of a replica. An earlier update of this sequence may
    # have reached a former one.
    updates = frozenset(
        RecordUpdate(owner_index, replica, str(state.incarnations[replica]), owned.record, owned.version)
        for replica in replicas
    )
    return send_if_allowed(
        parameters, state._replace(updates_in_transit=state.updates_in_transit | updates), owner_index, owner
    )


def send_if_allowed(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> ModelState:
    """Replace the owner in the state, and send its waiting attempt if the acknowledgements allow it."""
    if owner.phase == Phase.WAITING and parameters.send_decision(owner.sequence) == SendDecision.SEND:
        record = owner.sequence.record
        intent = record.intents[-1]
        sent = SentAttempt(owner_index, index_of(intent.engine), intent.attempt, record.ownership)
        state = state._replace(attempts_in_transit=state.attempts_in_transit | {sent})
        owner = owner._replace(phase=Phase.SENT)
    return state.with_owner(owner_index, owner)


def wait_for_replicas(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Abandon an attempt that may no longer be sent, or stop waiting for late replicas."""
    if parameters.send_decision(owner.sequence) == SendDecision.ABANDON:
        yield from answer_without_retry(parameters, state, owner_index, owner)
    owned = owner.sequence
    for replica in set(owned.lagging_replicas()) - owned.uncertain_replicas:
        owned = owned.mark_uncertain(replica)
    if owned != owner.sequence:
        # Late replies may still arrive.
        next_state = send_if_allowed(parameters, state, owner_index, owner._replace(owned=owned))
        yield Step(f"node {owner_index} stops waiting for replicas", next_state)


def observe_attempt(state: ModelState, owner_index: int, owner: ModelOwner) -> Iterator[Step]:
    """Yield the possible outcomes of the owner's last attempt: rejected, generated, or connection lost."""
    record = owner.sequence.record
    intent = record.intents[-1]
    engine = state.engines[index_of(intent.engine)]
    attempt_state = next(
        (
            attempt.state
            for attempt in engine.attempts
            if attempt.attempt == intent.attempt and attempt.ownership == record.ownership
        ),
        None,
    )
    if attempt_state == AttemptState.REJECTED:
        next_state = state.with_owner(owner_index, owner._replace(phase=Phase.INTENDING))
        yield Step(f"node {owner_index} learns that attempt {intent.attempt} was rejected", next_state)
    elif attempt_state == AttemptState.ENDED and engine.fence.ownership <= record.ownership:
        generated = state.with_owner(owner_index, owner.finish(Answer.GENERATED))
        yield Step(f"node {owner_index} answers: generated", generated)
    next_state = state.with_owner(owner_index, owner.finish(Answer.ABORTED))
    yield Step(f"node {owner_index} loses the connection of attempt {intent.attempt}", next_state)


def answer_without_retry(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> Iterator[Step]:
    """Answer without a further attempt: abort, or reject if it is certain that no attempt ran.

    The first owner may reject only while its client has not resumed at another node. A successor closes the
    fences at all engines before it rejects.
    """
    yield Step(
        f"node {owner_index} answers: aborted", state.with_owner(owner_index, owner.finish(Answer.ABORTED))
    )
    if owner_index != FIRST_OWNER:
        yield _close_fences(parameters, state, owner_index, owner)
        return
    others_are_idle = all(other.phase == Phase.IDLE for other in state.owners[1:])
    if others_are_idle and _all_were_rejected(state, owner):
        rejected = state.with_owner(owner_index, owner.finish(Answer.REJECTED))
        yield Step(f"node {owner_index} answers: rejected", rejected)


def _all_were_rejected(state: ModelState, owner: ModelOwner) -> bool:
    return all(
        any(
            attempt.attempt == intent.attempt and attempt.state == AttemptState.REJECTED
            for attempt in state.engines[index_of(intent.engine)].attempts
        )
        for intent in owner.sequence.record.intents
    )


def _close_fences(
    parameters: ModelParameters, state: ModelState, owner_index: int, owner: ModelOwner
) -> Step:
    """Close the fences at all engines, and reject if every engine reports that no attempt ran."""
    record = owner.sequence.record
    no_attempt_ran = True
    for engine_index in sorted({index_of(intent.engine) for intent in record.intents}):
        engine = state.engines[engine_index]
        fence, is_granted = parameters.claim_fence(engine.fence, record.ownership, True)
        had_no_effect = engine.report(engine_index).state in (AttemptState.NEVER_RAN, AttemptState.REJECTED)
        no_attempt_ran = no_attempt_ran and is_granted and had_no_effect
        if is_granted:
            state = state.with_engine(engine_index, engine._replace(fence=fence))
    answer = Answer.REJECTED if no_attempt_ran else Answer.ABORTED
    label = f"node {owner_index} closes all fences and answers: {answer}"
    return Step(label, state.with_owner(owner_index, owner.finish(answer)))
