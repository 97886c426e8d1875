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

Item = TypeVar("Item")

FIRST_OWNER = 0  # index of the node that accepted the sequence; the nodes that may take it over follow
OWNER_NAMES = "ACD"
EXPIRES_AT = 9.0  # seconds; the model has no clock, so no record expires


class ModelParameters(NamedTuple):
    """The size of the model, the number of faults, and the functions that its processes run."""

    retry_semantics: RetrySemantics = RetrySemantics.AT_MOST_ONCE
    successors: int = 2  # nodes that may take the sequence over
    replicas: int = 2
    engines: int = 2
    attempts: int = 2  # that the first owner may make; every successor may make one
    faults: int = 1  # at most, in one run: restarts plus requests of successors that are lost
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
    decide: Callable[[str, list[AttemptReport], int, bool], RecoveryDecision] = recovery_decision.decide


class Phase(StrEnum):
    """What an owner does at present."""

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
    """The sequence of a node was read in a phase in which the node does not own it: the model is wrong."""

    def __init__(self, phase: Phase) -> None:
        super().__init__(f"a node in the phase {phase!r} does not own the sequence")
        self.phase = phase


class FetchedRecord(NamedTuple):
    """What a replica returned to a successor."""

    replica: int
    record: SequenceRecord | None


class EngineReport(NamedTuple):
    """What an engine reported when it was claimed."""

    engine: int
    state: AttemptState
    attempt: int | None  # the attempt of this state; None if the engine knows of none


class ModelOwner(NamedTuple):
    """A node that owns the sequence, owned it, or may take it over."""

    owned: OwnedSequence | None = None
    phase: Phase = Phase.IDLE
    fetched: tuple[FetchedRecord, ...] = ()
    unreached: frozenset[int] = frozenset()  # replicas that did not reply
    reports: tuple[EngineReport, ...] = ()
    answer: Answer | None = None

    @property
    def sequence(self) -> OwnedSequence:
        """The sequence that the node owns.

        Raises:
            NotAnOwnerError: it owns none in its present phase.
        """
        if self.owned is None:
            raise NotAnOwnerError(self.phase)
        return self.owned

    def finish(self, answer: Answer) -> Self:
        """Answer the client."""
        return self._replace(phase=Phase.DONE, answer=answer)


class EngineAttempt(NamedTuple):
    """An attempt that reached an engine, and the ownership that it was sent with."""

    attempt: int
    state: AttemptState
    ownership: Ownership


class ModelEngine(NamedTuple):
    """One engine."""

    fence: Fence = Fence()
    attempts: tuple[EngineAttempt, ...] = ()
    has_restarted: bool = False

    def report(self, engine: int) -> EngineReport:
        """Return what this engine, whose index is `engine`, reports to a claim."""
        if self.has_restarted:
            return EngineReport(engine, AttemptState.UNKNOWN, None)
        accepted = [attempt for attempt in self.attempts if attempt.state != AttemptState.REJECTED]
        if accepted:
            return EngineReport(engine, accepted[-1].state, accepted[-1].attempt)
        if self.attempts:
            return EngineReport(engine, AttemptState.REJECTED, self.attempts[-1].attempt)
        return EngineReport(engine, AttemptState.NEVER_RAN, None)


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
    incarnations: tuple[int, ...]  # by replica: its number of restarts
    engines: tuple[ModelEngine, ...]
    updates: frozenset[RecordUpdate] = frozenset()
    replies: frozenset[UpdateReply] = frozenset()
    sends: frozenset[SentAttempt] = frozenset()
    effect_count: int = 0  # how often the sequence had its effect
    fault_count: int = 0

    def with_owner(self, index: int, owner: ModelOwner) -> Self:
        """Return the state with an owner replaced.

        Details that cannot affect any further step are removed, so that the checker visits equivalent states
        only once: a node that is done keeps only its answer, and replies to a node that no longer waits are
        dropped.
        """
        if owner.phase == Phase.DONE:
            owner = ModelOwner(phase=Phase.DONE, answer=owner.answer)
        replies = self.replies
        if owner.phase != Phase.WAITING:
            replies = frozenset(reply for reply in replies if reply.owner != index)
        return self._replace(owners=_with_item(self.owners, index, owner), replies=replies)

    def with_engine(self, index: int, engine: ModelEngine) -> Self:
        """Return the state with an engine replaced."""
        return self._replace(engines=_with_item(self.engines, index, engine))

    def with_record(self, replica: int, record: SequenceRecord | None) -> Self:
        """Return the state with the record of a replica replaced."""
        return self._replace(records=_with_item(self.records, replica, record))

    def with_restarted_replica(self, replica: int) -> Self:
        """Return the state after the restart of a replica, which loses its record."""
        incarnations = _with_item(self.incarnations, replica, self.incarnations[replica] + 1)
        return self.with_record(replica, None)._replace(incarnations=incarnations)


class Step(NamedTuple):
    """A possible step, and the state after it."""

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
    incarnations = {replica_name(index): "0" for index in range(parameters.replicas)}
    first = ModelOwner(OwnedSequence.begin(record, incarnations), Phase.INTENDING)
    return ModelState(
        (first, *(ModelOwner(),) * parameters.successors),
        (None,) * parameters.replicas,
        (0,) * parameters.replicas,
        (ModelEngine(),) * parameters.engines,
    )


def _with_item(items: tuple[Item, ...], index: int, item: Item) -> tuple[Item, ...]:
    return (*items[:index], item, *items[index + 1 :])
