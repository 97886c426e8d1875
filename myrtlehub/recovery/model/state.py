"""The state of the model, its parameters, and messages that are on their way."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Self, TypeVar

from myrtlehub.recovery import fencing, recovery_decision, sequence_records
from myrtlehub.recovery.fencing import AttemptState, ClaimResult, Fence
from myrtlehub.recovery.ownership import OwnedSequence, SendDecision
from myrtlehub.recovery.recovery_decision import AttemptReport, RecoveryDecision
from myrtlehub.recovery.sequence_records import (
    FIRST_EPOCH,
    MergeResult,
    Ownership,
    RetrySemantics,
    SequenceRecord,
)

Item = TypeVar("Item")

FIRST_OWNER = 0  # index of the node that accepted the sequence; those that may take it over follow
OWNER_NAMES = "ACD"
NO_ATTEMPT = -1


class ModelParameters(NamedTuple):
    """How large the model is, which faults occur, and which functions its parts run."""

    retry_semantics: RetrySemantics = RetrySemantics.AT_MOST_ONCE
    takers: int = 2
    replicas: int = 2
    engines: int = 2
    attempts: int = 2  # by the first owner; a taker has one
    faults: int = 1  # whom a taker does not reach, restarts of replicas and engines, in one history together
    merge_update: Callable[[SequenceRecord | None, SequenceRecord], MergeResult] = (
        sequence_records.merge_update
    )
    transfer: Callable[[SequenceRecord, str, int], SequenceRecord] = sequence_records.transfer
    admits: Callable[[Fence, Ownership], bool] = fencing.admits
    claim_fence: Callable[[Fence, Ownership, bool], ClaimResult] = fencing.claim_fence
    send_decision: Callable[[OwnedSequence], SendDecision] = OwnedSequence.send_decision
    acknowledge: Callable[[OwnedSequence, str, str, int, str], OwnedSequence] = OwnedSequence.acknowledge
    decide: Callable[[str, list[AttemptReport], int, bool], RecoveryDecision] = recovery_decision.decide


class Phase(StrEnum):
    """What an owner does at present."""

    IDLE = "idle"
    ASKING_REPLICAS = "asking replicas"
    CLAIMING_ENGINES = "claiming engines"
    INTENDING = "intending"
    WAITING = "waiting"  # for replicas, before a send
    SENT = "sent"
    DONE = "done"


class Answer(StrEnum):
    """What an owner's client was answered."""

    NONE = ""
    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    ATTACHED = "attached"
    LOST = "lost"  # another node owns the sequence


class FoundRecord(NamedTuple):
    """What a replica had when it was asked."""

    replica: int
    record: SequenceRecord | None


class EngineReport(NamedTuple):
    """What an engine reported when it was claimed, and of which attempt."""

    engine: int
    state: AttemptState
    attempt: int


class ModelOwner(NamedTuple):
    """One node that has, had or may have the sequence."""

    owned: OwnedSequence | None = None
    phase: Phase = Phase.IDLE
    found: tuple[FoundRecord, ...] = ()
    unreached: frozenset[int] = frozenset()  # replicas that did not answer
    reports: tuple[EngineReport, ...] = ()
    answer: Answer = Answer.NONE

    def end(self, answer: Answer) -> Self:
        """Answer the client."""
        return self._replace(phase=Phase.DONE, answer=answer)


class EngineAttempt(NamedTuple):
    """An attempt that reached an engine, and by which ownership."""

    attempt: int
    state: AttemptState
    ownership: Ownership


class ModelEngine(NamedTuple):
    """One engine, and what is true there."""

    fence: Fence = Fence()
    attempts: tuple[EngineAttempt, ...] = ()
    restarted: bool = False

    def report(self, engine: int) -> EngineReport:
        """Say what the engine, by its index, knows of the sequence."""
        if self.restarted:
            return EngineReport(engine, AttemptState.UNKNOWN, NO_ATTEMPT)
        accepted = [attempt for attempt in self.attempts if attempt.state != AttemptState.REFUSED]
        if accepted:
            return EngineReport(engine, accepted[-1].state, accepted[-1].attempt)
        if self.attempts:
            return EngineReport(engine, AttemptState.REFUSED, self.attempts[-1].attempt)
        return EngineReport(engine, AttemptState.NEVER, NO_ATTEMPT)


class RecordUpdate(NamedTuple):
    """An update on its way from an owner to a replica."""

    owner: int
    replica: int
    incarnation: str
    record: SequenceRecord
    version: int


class UpdateReply(NamedTuple):
    """A replica's reply on its way to the owner."""

    owner: int
    replica: int
    incarnation: str
    version: int
    reply: str


class SentAttempt(NamedTuple):
    """An attempt on its way to an engine."""

    owner: int
    engine: int
    attempt: int
    ownership: Ownership


class ModelState(NamedTuple):
    """All of the model."""

    owners: tuple[ModelOwner, ...]
    records: tuple[SequenceRecord | None, ...]  # by replica
    incarnations: tuple[int, ...]  # by replica: how often it restarted
    engines: tuple[ModelEngine, ...]
    updates: frozenset[RecordUpdate] = frozenset()
    replies: frozenset[UpdateReply] = frozenset()
    sends: frozenset[SentAttempt] = frozenset()
    effects: int = 0
    faults: int = 0

    def with_owner(self, index: int, owner: ModelOwner) -> Self:
        """Change an owner.

        What it knew, and what is on its way to it, makes no difference once it is done.
        """
        if owner.phase == Phase.DONE:
            owner = ModelOwner(phase=Phase.DONE, answer=owner.answer)
        replies = self.replies
        if owner.phase != Phase.WAITING:
            replies = frozenset(reply for reply in replies if reply.owner != index)
        return self._replace(owners=_replaced(self.owners, index, owner), replies=replies)

    def with_engine(self, index: int, engine: ModelEngine) -> Self:
        """Change an engine."""
        return self._replace(engines=_replaced(self.engines, index, engine))

    def with_record(self, replica: int, record: SequenceRecord | None) -> Self:
        """Change what a replica holds."""
        return self._replace(records=_replaced(self.records, replica, record))

    def with_restarted_replica(self, replica: int) -> Self:
        """Restart a replica: it holds nothing any more."""
        incarnations = _replaced(self.incarnations, replica, self.incarnations[replica] + 1)
        return self.with_record(replica, None)._replace(incarnations=incarnations)


class Step(NamedTuple):
    """One thing that can happen next, and the state after it."""

    label: str
    state: ModelState


def replica_name(index: int) -> str:
    """Return the name of a replica."""
    return f"k{index}"


def engine_name(index: int) -> str:
    """Return the address of an engine."""
    return f"e{index}"


def index_of(name: str) -> int:
    """Return the index of a replica or an engine by its name."""
    return int(name[1:])


def initial_state(parameters: ModelParameters) -> ModelState:
    """Return the state in which the first owner has accepted the sequence, and nothing was sent."""
    record = SequenceRecord(
        "s", Ownership(FIRST_EPOCH, OWNER_NAMES[FIRST_OWNER]), parameters.retry_semantics, 9.0
    )
    incarnations = {replica_name(index): "0" for index in range(parameters.replicas)}
    first = ModelOwner(OwnedSequence.begin(record, incarnations), Phase.INTENDING)
    return ModelState(
        (first, *(ModelOwner(),) * parameters.takers),
        (None,) * parameters.replicas,
        (0,) * parameters.replicas,
        (ModelEngine(),) * parameters.engines,
    )


def _replaced(items: tuple[Item, ...], index: int, item: Item) -> tuple[Item, ...]:
    return (*items[:index], item, *items[index + 1 :])
