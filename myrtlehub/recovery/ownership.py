"""The owner's side of a record: what replicas must have acknowledged before an attempt may be sent.

Where a second execution does no harm, replicas are updated beside the send. Otherwise a send waits until
all replicas that were ever told of the sequence, each still in the same incarnation, have acknowledged its
intent. The very first intent may go with those that answered: a replica that did not answer has the whole
record so far or nothing, and either is right.
"""

from enum import StrEnum
from typing import NamedTuple, Self

from myrtlehub.recovery.sequence_records import (
    AttemptIntent,
    ReplicaReply,
    RetrySemantics,
    SequenceRecord,
)

NO_VERSION = -1  # a replica that is not known to have the record


class SendDecision(StrEnum):
    """Whether the newest intent may be carried out."""

    SEND = "go"
    WAIT = "wait"
    NEVER = "never"


class ReplicaIncarnation(NamedTuple):
    """A replica, and the process that answered there when it was first told of the sequence."""

    node: str
    incarnation: str


class OwnedSequence(NamedTuple):
    """One in-flight sequence of this node, and what its replicas have acknowledged."""

    record: SequenceRecord
    replicas: tuple[ReplicaIncarnation, ...]
    version: int = 0  # of the record; each intent makes a new one
    acknowledged: tuple[int, ...] = ()  # by replica: the version that it is known to have
    uncertain: frozenset[str] = frozenset()  # replicas of which it is unknown what they have
    is_superseded: bool = False

    @classmethod
    def begin(
        cls, record: SequenceRecord, incarnations: dict[str, str], was_taken_over: bool = False
    ) -> Self:
        """Own a sequence from now on; `incarnations` by replica.

        Where it was taken over, no intent is the very first.
        """
        return cls(
            record, _sorted_replicas(incarnations), int(was_taken_over), (NO_VERSION,) * len(incarnations)
        )

    def assign_replicas(self, incarnations: dict[str, str]) -> Self:
        """Give replicas to a sequence that had none so far.

        The record has all that was sent, and what comes next needs their acknowledgement.
        """
        return self._replace(
            replicas=_sorted_replicas(incarnations), acknowledged=(NO_VERSION,) * len(incarnations)
        )

    def add_intent(self, intent: AttemptIntent) -> Self:
        """Record that an attempt is to be sent."""
        record = self.record._replace(intents=(*self.record.intents, intent))
        return self._replace(record=record, version=self.version + 1)

    def acknowledge(self, replica: str, incarnation: str, version: int, reply: str) -> Self:
        """Take a replica's reply, a value of `ReplicaReply`, to a version of the record."""
        index = next((index for index, row in enumerate(self.replicas) if row.node == replica), None)
        if index is None:
            return self
        if reply == ReplicaReply.SUPERSEDED:
            return self._replace(is_superseded=True)
        if incarnation != self.replicas[index].incarnation:
            return self.mark_uncertain(replica)  # it may have handed the record out before it restarted
        if reply == ReplicaReply.FULL:
            # It has nothing that it could hand out, if it never had.
            never_had_it = self.acknowledged[index] == NO_VERSION
            return self._without_replica(index) if never_had_it else self.mark_uncertain(replica)
        newest = max(self.acknowledged[index], version)
        return self._replace(
            acknowledged=(*self.acknowledged[:index], newest, *self.acknowledged[index + 1 :])
        )

    def mark_uncertain(self, replica: str) -> Self:
        """Note that a replica did not answer in time, lost its connection or restarted."""
        return self._replace(uncertain=self.uncertain | {replica})

    def lagging_replicas(self) -> list[str]:
        """List the replicas that are not known to have the newest version."""
        return [
            replica.node
            for replica, version in zip(self.replicas, self.acknowledged, strict=True)
            if version < self.version
        ]

    def send_decision(self) -> SendDecision:
        """Decide whether the newest intent may be carried out: now, not yet, or never."""
        if self.is_superseded:
            return SendDecision.NEVER
        if self.record.retry_semantics == RetrySemantics.IDEMPOTENT:
            return SendDecision.SEND
        lagging = set(self.lagging_replicas())
        if self.version <= 1:
            return SendDecision.SEND if lagging <= self.uncertain else SendDecision.WAIT
        if lagging & self.uncertain:
            return SendDecision.NEVER
        return SendDecision.WAIT if lagging else SendDecision.SEND

    def _without_replica(self, index: int) -> Self:
        return self._replace(
            replicas=self.replicas[:index] + self.replicas[index + 1 :],
            acknowledged=self.acknowledged[:index] + self.acknowledged[index + 1 :],
        )


def _sorted_replicas(incarnations: dict[str, str]) -> tuple[ReplicaIncarnation, ...]:
    return tuple(ReplicaIncarnation(*item) for item in sorted(incarnations.items()))
