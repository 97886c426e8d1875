"""The state of the model, its parameters, and messages in transit."""

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

ItemT = TypeVar("ItemT")

FIRST_OWNER = 0  # index of the node that accepted the sequence; the nodes that may take it over follow
OWNER_NAMES = "ACD"
EXPIRES_AT = 9.0  # seconds; the model has no clock, so no record expires


class ModelParameters(NamedTuple):
    """The size of the model, the number of faults, and the functions that its processes call."""

    retry_semantics: RetrySemantics = RetrySemantics.AT_MOST_ONCE
    successor_count: int = 2  # nodes that may take the sequence over
    replica_count: int = 2
    engine_count: int = 2
    max_first_owner_attempts: int = 2  # every successor may make one attempt
    max_faults: int = 1  # in one run: restarts, and requests of successors that are lost
    merge_update: Callable[[SequenceRecord | None, SequenceRecord], MergeResult] = (
        sequence_records.merge_update
    )
    transfer_ownership: Callable[[SequenceRecord, str, int], SequenceRecord] = (
        sequence_records.transfer_ownership
    )
    admits: Callable[[Fence, Ownership], bool] = fencing.admits
    claim_fence: Callable[[Fence, Ownership, bool], ClaimResult] = fencing.claim_fence
    send_decision: Callable[[OwnedSequence], SendDecision] = OwnedSequence.send_decision
    acknowledge: Callable[[OwnedSequence, str, str, int, str], OwnedSequence] = OwnedSequence.acknowledge
    decide_recovery: Callable[[str, list[AttemptReport], int, bool], RecoveryDecision] = (
        recovery_decision.decide
    )


class Phase(StrEnum):
    """What an owner is doing."""

    IDLE = "idle"
    FETCHING_RECORD = "fetching record"  # from replicas
    CLAIMING_ENGINES = "claiming engines"
    INTENDING = "intending"
    WAITING = "waiting"  # for acknowledgements, before a send
    SENT = "sent"
    DONE = "done"


class Answer(StrEnum):
    """How an owner answered its client."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    ATTACHED = "attached"
    SUPERSEDED = "superseded"  # no answer: another node owns the sequence


class NotAnOwnerError(Exception):
    """A step read the owned sequence of a node that owns none; this is a defect of the model."""

    def __init__(self, phase: Phase) -> None:
        super().__init__(f"a node in phase {phase!r} does not own the sequence")
        self.phase = phase


class FetchedRecord(NamedTuple):
    """The reply of a replica that a successor queried."""

    replica: int
    record: SequenceRecord | None


class EngineReport(NamedTuple):
    """What an engine reported in reply to a claim."""

    engine: int
    state: AttemptState
    attempt: int | None  # the attempt with this state; None if the engine has none


class ModelOwner(NamedTuple):
    """A node that owns the sequence, has owned it, or may take it over."""

    owned: OwnedSequence | None = None
    phase: Phase = Phase.IDLE
    fetched_records: tuple[FetchedRecord, ...] = ()
    unreached_replicas: frozenset[int] = frozenset()  # replicas that did not reply
    engine_reports: tuple[EngineReport, ...] = ()
    answer: Answer | None = None

    @property
    def sequence(self) -> OwnedSequence:
        """The sequence that the node owns.

        Raises:
            NotAnOwnerError: it owns none in its current phase.
        """
        if self.owned is None:
            raise NotAnOwnerError(self.phase)
        return self.owned

    def finish(self, answer: Answer) -> Self:
        """Answer the client."""
        return self._replace(phase=Phase.DONE, answer=answer)


class EngineAttempt(NamedTuple):
    """An attempt that reached an engine, and the ownership with which it was sent."""

    attempt: int
    state: AttemptState
    ownership: Ownership


class ModelEngine(NamedTuple):
    """One engine."""

    fence: Fence = Fence()
    attempts: tuple[EngineAttempt, ...] = ()
    has_restarted: bool = False

    def report(self, engine_index: int) -> EngineReport:
        """Return what this engine, which has index `engine_index`, reports in reply to a claim."""
        if self.has_restarted:
            return EngineReport(engine_index, AttemptState.UNKNOWN, None)
        accepted = [attempt for attempt in self.attempts if attempt.state != AttemptState.REJECTED]
        if accepted:
            return EngineReport(engine_index, accepted[-1].state, accepted[-1].attempt)
        if self.attempts:
            return EngineReport(engine_index, AttemptState.REJECTED, self.attempts[-1].attempt)
        return EngineReport(engine_index, AttemptState.NEVER_RAN, None)


class RecordUpdate(NamedTuple):
    """An update in transit from an owner to a replica."""

    owner: int
    replica: int
    incarnation: str
    record: SequenceRecord
    version: int


class UpdateReply(NamedTuple):
    """A replica's reply in transit to the owner."""

    owner: int
    replica: int
    incarnation: str
    version: int
    reply: str


class SentAttempt(NamedTuple):
    """An attempt in transit to an engine."""

    owner: int
    engine: int
    attempt: int
    ownership: Ownership


class ModelState(NamedTuple):
    """The state of all processes and of the network."""

    owners: tuple[ModelOwner, ...]
    records: tuple[SequenceRecord | None, ...]  # by replica
    incarnations: tuple[int, ...]  # by replica: the number of its restarts
    engines: tuple[ModelEngine, ...]
    updates_in_transit: frozenset[RecordUpdate] = frozenset()
    replies_in_transit: frozenset[UpdateReply] = frozenset()
    attempts_in_transit: frozenset[SentAttempt] = frozenset()
    execution_count: int = 0  # how often engines executed the sequence
    fault_count: int = 0

    def with_owner(self, owner_index: int, owner: ModelOwner) -> Self:
        """Return the state with an owner replaced.

        Removes details that cannot affect any later step, so that the checker visits equivalent states only
        once: a node in phase `DONE` keeps only its answer, and replies to a node that no longer waits are
        dropped.
        """
        if owner.phase == Phase.DONE:
            owner = ModelOwner(phase=Phase.DONE, answer=owner.answer)
        replies = self.replies_in_transit
        if owner.phase != Phase.WAITING:
            replies = frozenset(reply for reply in replies if reply.owner != owner_index)
        return self._replace(owners=_with_item(self.owners, owner_index, owner), replies_in_transit=replies)

    def with_engine(self, index: int, engine: ModelEngine) -> Self:
        """Return the state with an engine replaced."""
        return self._replace(engines=_with_item(self.engines, index, engine))

    def with_record(self, replica: int, record: SequenceRecord | None) -> Self:
        """Return the state with the record of a replica replaced."""
        return self._replace(records=_with_item(self.records, replica, record))

    def with_restarted_replica(self, replica: int) -> Self:
        """Return the state after a restart of a replica, in which it loses its record."""
        incarnations = _with_item(self.incarnations, replica, self.incarnations[replica] + 1)
        return self.with_record(replica, None)._replace(incarnations=incarnations)


class Step(NamedTuple):
    """A possible step of the model, and the state after it."""

    label: str
    state: ModelState


def replica_name(index: int) -> str:
    """Return the name of a replica."""
    return f"r{index}"


def engine_name(index: int) -> str:
    """Return the address of an engine."""
    return f"e{index}"


def index_of(name: str) -> int:
    """Return the index of a replica or an engine from its name."""
    return int(name[1:])


def initial_state(parameters: ModelParameters) -> ModelState:
    """Return the state in which the first owner has accepted the sequence and sent nothing."""
    record = SequenceRecord(
        "s", Ownership(FIRST_EPOCH, OWNER_NAMES[FIRST_OWNER]), parameters.retry_semantics, EXPIRES_AT
    )
    incarnations = {replica_name(index): "0" for index in range(parameters.replica_count)}
    first = ModelOwner(OwnedSequence.begin(record, incarnations), Phase.INTENDING)
    return ModelState(
        (first, *(ModelOwner(),) * parameters.successor_count),
        (None,) * parameters.replica_count,
        (0,) * parameters.replica_count,
        (ModelEngine(),) * parameters.engine_count,
    )


def _with_item(items: tuple[ItemT, ...], index: int, item: ItemT) -> tuple[ItemT, ...]:
    return (*items[:index], item, *items[index + 1 :])
