"""The owner's side of a record: which acknowledgements a send has to wait for.

Attempts of an idempotent sequence are sent at once, and the replicas are updated in parallel. Any other
attempt waits until every replica to which the record was ever sent has acknowledged the intent without a
restart in between. Only the attempt of the first intent may be sent with fewer acknowledgements: a replica
that did not reply has either this intent, which is the complete record, or no record that a successor could
fetch.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, Self

from myrtlehub.recovery.sequence_records import (
    AttemptIntent,
    ReplicaReply,
    RetrySemantics,
    SequenceRecord,
)

NO_VERSION = -1  # of a replica that has acknowledged no version yet; lower than any version


class SendDecision(StrEnum):
    """Whether the attempt of the newest intent may be sent."""

    SEND = "send"
    WAIT = "wait"
    ABANDON = "abandon"


class ReplicaIncarnation(NamedTuple):
    """A replica, and its incarnation when the record was first sent to it."""

    node: str
    incarnation: str | None  # None: the replica was not reached


class OwnedSequence(NamedTuple):
    """An in-flight sequence that this node owns, and what its replicas have acknowledged."""

    record: SequenceRecord
    replicas: tuple[ReplicaIncarnation, ...]
    version: int = 0  # of the record; every intent increments it
    acknowledged_versions: tuple[int, ...] = ()  # of each of `replicas`: the newest that it acknowledged
    uncertain_replicas: frozenset[str] = frozenset()  # may have any version of the record, or none
    is_superseded: bool = False

    @classmethod
    def begin(
        cls, record: SequenceRecord, incarnations: Mapping[str, str | None], was_taken_over: bool = False
    ) -> Self:
        """Return a sequence that this node owns from now on.

        Args:
            record: the record.
            incarnations: of each replica; None if it was not reached.
            was_taken_over: the record has intents of former owners, so this node adds no first intent.
        """
        return cls(
            record, _sorted_replicas(incarnations), int(was_taken_over), (NO_VERSION,) * len(incarnations)
        )

    def assign_replicas(self, incarnations: Mapping[str, str | None]) -> Self:
        """Assign replicas to a sequence that began without any.

        The record already lists all attempts that were sent. The next attempt waits for acknowledgements.
        """
        return self._replace(
            replicas=_sorted_replicas(incarnations),
            acknowledged_versions=(NO_VERSION,) * len(incarnations),
        )

    def add_intent(self, intent: AttemptIntent) -> Self:
        """Add the intent to send an attempt."""
        record = self.record._replace(intents=(*self.record.intents, intent))
        return self._replace(record=record, version=self.version + 1)

    def acknowledge(self, replica: str, incarnation: str | None, version: int, reply: str) -> Self:
        """Apply a replica's reply to an update.

        Args:
            replica: the node that replied.
            incarnation: its incarnation at the time of the reply.
            version: of the record in the update.
            reply: a value of `ReplicaReply`; an unknown one counts as `STORED`.
        """
        index = next((index for index, known in enumerate(self.replicas) if known.node == replica), None)
        if index is None:
            return self
        if reply == ReplicaReply.SUPERSEDED:
            return self._replace(is_superseded=True)
        if incarnation != self.replicas[index].incarnation:
            # A successor may have fetched the record from the former incarnation.
            return self.mark_uncertain(replica)
        if reply == ReplicaReply.FULL:
            # A replica that never stored the record has none that a successor could fetch.
            never_stored = self.acknowledged_versions[index] == NO_VERSION
            return self._without_replica(index) if never_stored else self.mark_uncertain(replica)
        newest = max(self.acknowledged_versions[index], version)
        return self._replace(
            acknowledged_versions=(
                *self.acknowledged_versions[:index],
                newest,
                *self.acknowledged_versions[index + 1 :],
            )
        )

    def mark_uncertain(self, replica: str) -> Self:
        """Mark a replica that did not reply in time, lost its connection or restarted."""
        return self._replace(uncertain_replicas=self.uncertain_replicas | {replica})

    def lagging_replicas(self) -> list[str]:
        """Return the replicas that are not known to have the newest version."""
        return [
            replica.node
            for replica, version in zip(self.replicas, self.acknowledged_versions, strict=True)
            if version < self.version
        ]

    def send_decision(self) -> SendDecision:
        """Decide whether the attempt of the newest intent may be sent: now, not yet, or not at all."""
        if self.is_superseded:
            return SendDecision.ABANDON
        if self.record.retry_semantics == RetrySemantics.IDEMPOTENT:
            return SendDecision.SEND
        lagging = set(self.lagging_replicas())
        if self.version <= 1:
            return SendDecision.SEND if lagging <= self.uncertain_replicas else SendDecision.WAIT
        if lagging & self.uncertain_replicas:
            return SendDecision.ABANDON
        return SendDecision.WAIT if lagging else SendDecision.SEND

    def _without_replica(self, index: int) -> Self:
        return self._replace(
            replicas=self.replicas[:index] + self.replicas[index + 1 :],
            acknowledged_versions=self.acknowledged_versions[:index]
            + self.acknowledged_versions[index + 1 :],
        )


def _sorted_replicas(incarnations: Mapping[str, str | None]) -> tuple[ReplicaIncarnation, ...]:
    return tuple(ReplicaIncarnation(node, incarnations[node]) for node in sorted(incarnations))
