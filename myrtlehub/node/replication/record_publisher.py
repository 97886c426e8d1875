"""The owner's side of replication: sends the records of this node's sequences to replicas.

`recovery.ownership` decides which acknowledgements a send needs.
"""

from dataclasses import dataclass

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.replication.former_ownerships import FormerOwnerships
from myrtlehub.node.replication.peer_connections import PeerConnections
from myrtlehub.node.replication.published_sequence import PublishedSequence, UnsupportedSequenceError
from myrtlehub.node.replication.record_fetch import FetchedRecord
from myrtlehub.node.replication.replica_updater import ReplicaUpdater
from myrtlehub.node.replication.send_gate import DecisionCallback, SendGate
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.recovery.ownership import OwnedSequence, SendDecision
from myrtlehub.recovery.replica_store import ReplicaStore
from myrtlehub.recovery.sequence_records import FIRST_EPOCH, AttemptIntent, Ownership, SequenceRecord

MAX_RECORD_LIFETIME = 60.0  # seconds; applies to calls with a later deadline or none
# Seconds in addition to the acknowledgement timeout; acknowledgements of an older update allow no send.
MAX_ACKNOWLEDGEMENT_AGE = 0.25


@dataclass(slots=True)
class PublisherCounters:
    """Counters since the start of the process."""

    taken_over: int = 0
    unreplicated: int = 0  # sequences that began while no replica was reachable


class RecordPublisher:
    """Replicates the records of one node's sequences, and delays attempts until replicas have stored them."""

    def __init__(
        self,
        owner: str,
        replicas: list[str],
        acknowledgement_timeout: float,
        connections: PeerConnections,
        local_store: ReplicaStore,
        clock: Clock,
        log: Log,
    ) -> None:
        """Create a publisher without sequences.

        Args:
            owner: the name of this node as an owner, NODE.INCARNATION.
            replicas: the replicas of this node.
            acknowledgement_timeout: the longest time, in seconds, that a send waits for replicas.
            connections: to all other nodes.
            local_store: this node's replica store; it may contain records of sequences that this node takes
                over.
            clock: time and timers.
            log: the operators' log.
        """
        self.owner = owner
        self.replicas = replicas
        self.connections = connections
        self.replica_updater = ReplicaUpdater(connections, local_store)
        self.clock = clock
        self.log = log
        self.sequences: dict[str, PublishedSequence] = {}
        self.send_gate = SendGate(acknowledgement_timeout, self._acknowledgements_timed_out, clock)
        self.former_ownerships = FormerOwnerships()
        self.counters = PublisherCounters()

    # -- sequences --------------------------------------------------------------------------------

    def ownership_of(self, sequence_id: str) -> Ownership:
        """Return this node's current or last ownership of a sequence; `UNOWNED` if it is not known."""
        published = self.sequences.get(sequence_id)
        if published is not None:
            return published.owned.record.ownership
        return self.former_ownerships.last_ownership(sequence_id)

    def take_ownership(self, executor: ActionExecutor, fetched: FetchedRecord) -> None:
        """Become the owner of a sequence that was taken over."""
        record = fetched.record
        owned = OwnedSequence.begin(record, fetched.incarnations, was_taken_over=True)
        for replica in fetched.unreached:
            owned = owned.mark_uncertain(replica)
        if record.sequence_id in self.sequences:
            # The client lost its connection and resumed at this same node, which ends its previous call.
            self._end_superseded(record.sequence_id)
        self.sequences[record.sequence_id] = PublishedSequence(owned, executor, self.clock.seconds())
        self.former_ownerships.clear_migrated(record.sequence_id)
        self.counters.taken_over += 1

    def answer_started(self, sequence: InFlightSequence) -> None:
        """Record that the answer has started to stream; replicas are notified with the next heartbeat."""
        published = self.sequences.get(sequence.sequence_id)
        if published is None or published.owned.record.is_streaming:
            return
        owned = published.owned
        published.owned = owned._replace(record=owned.record._replace(is_streaming=True))
        self.replica_updater.update_with_next_heartbeat(published.owned)

    def answered(self, sequence_id: str) -> None:
        """Drop the record of a sequence that has its final answer, or whose client has disconnected."""
        published = self.sequences.get(sequence_id)
        if published is not None:
            self.replica_updater.complete(published.owned)
            self._remove(sequence_id)

    def release_ownership(self, sequence_id: str) -> None:
        """Release a sequence to another node; its replicas retain the record."""
        if sequence_id in self.sequences:
            self._remove(sequence_id)
            self.former_ownerships.mark_migrated(sequence_id)

    def _remove(self, sequence_id: str) -> None:
        published = self.sequences.pop(sequence_id)
        self.former_ownerships.add(sequence_id, published.owned.record.ownership)
        self.send_gate.cancel(sequence_id)

    def _end_superseded(self, sequence_id: str) -> None:
        """End a sequence whose client has resumed at another node; it gets no final answer here."""
        published = self.sequences[sequence_id]
        self.release_ownership(sequence_id)
        self.log(
            LogEvent.OWNERSHIP_SUPERSEDED,
            sequence_id=sequence_id,
            epoch=published.owned.record.ownership.epoch,
        )
        published.end_superseded()

    # -- sends ------------------------------------------------------------------------------------

    def replicate_intent(
        self, executor: ActionExecutor, attempt: Attempt, on_decision: DecisionCallback
    ) -> SendDecision:
        """Replicate the intent to send an attempt.

        Returns:
            Whether the attempt may be sent. If this is `WAIT`, `on_decision` is called once with the final
            decision, unless the send is cancelled.
        """
        sequence = attempt.sequence
        sequence_id = sequence.sequence_id
        now = self.clock.seconds()
        published = self.sequences.get(sequence_id)
        if published is None:
            if attempt.number:
                return SendDecision.SEND  # its earlier attempts are in no record, so no record is created now
            published = PublishedSequence(self._begin(executor, sequence, now), executor, now)
        engine = executor.decoder.engines.endpoints[attempt.engine].address
        number = sequence.earlier_attempts + attempt.number
        owned = published.owned.add_intent(AttemptIntent(number, engine, attempt.is_read, now))
        published.owned = owned
        self.sequences[sequence_id] = published
        self._update_replicas(published)
        decision = owned.send_decision()
        if decision == SendDecision.WAIT:
            self.send_gate.wait(attempt, on_decision)
        return decision

    def _begin(self, executor: ActionExecutor, sequence: InFlightSequence, now: float) -> OwnedSequence:
        request = sequence.request
        if not isinstance(request, DecodedRequest):
            raise UnsupportedSequenceError(sequence.sequence_id, "its request has no deadline")
        incarnations = self.connections.reachable_incarnations(self.replicas)
        self.counters.unreplicated += not incarnations
        lifetime = min(request.deadline_in, MAX_RECORD_LIFETIME)
        record = SequenceRecord(
            sequence.sequence_id,
            Ownership(FIRST_EPOCH, self.owner),
            executor.config.traffic[sequence.arrival.traffic].retry_semantics,
            now + max(sequence.arrival.time_left, lifetime),
        )
        return OwnedSequence.begin(record, incarnations)

    def _acknowledgements_timed_out(self, sequence_id: str) -> None:
        """Mark the replicas that have not acknowledged this sequence's record as uncertain."""
        published = self.sequences.get(sequence_id)
        if published is None:
            return
        for replica in published.owned.lagging_replicas():
            published.owned = published.owned.mark_uncertain(replica)
        self._reevaluate_send(sequence_id, published)

    def _reevaluate_send(self, sequence_id: str, published: PublishedSequence) -> None:
        """Send or abandon the waiting attempt if the replies so far allow a decision."""
        owned = published.owned
        if owned.is_superseded:
            self._end_superseded(sequence_id)
            return
        decision = owned.send_decision()
        if not self.send_gate.is_waiting(sequence_id) or decision == SendDecision.WAIT:
            return
        if decision == SendDecision.SEND and self._are_acknowledgements_stale(published):
            # This process may have been paused since the update. Meanwhile another node may have claimed the
            # sequence at all engines, and one of them may have restarted and lost the claim: it would accept
            # this stale send. Therefore replicas have to acknowledge a new update first. The model checker
            # covers this case in `recovery.model.network_steps`.
            published.owned = owned._replace(version=owned.version + 1)
            self._update_replicas(published)
            return
        self.send_gate.decide(sequence_id, decision)

    def _are_acknowledgements_stale(self, published: PublishedSequence) -> bool:
        update_age = self.clock.seconds() - published.updated_at
        return update_age > MAX_ACKNOWLEDGEMENT_AGE + self.send_gate.acknowledgement_timeout

    # -- replicas ---------------------------------------------------------------------------------

    def send_heartbeats(self) -> None:
        """Send a heartbeat to this node's replicas, and to those of sequences that it took over."""
        replicas_in_use = {
            replica.node for published in self.sequences.values() for replica in published.owned.replicas
        }
        self.replica_updater.send_heartbeats(replicas_in_use.union(self.replicas))

    def assign_missing_replicas(self) -> None:
        """Assign replicas to the sequences that began while no replica was reachable."""
        incarnations = self.connections.reachable_incarnations(self.replicas)
        if not incarnations:
            return
        for published in list(self.sequences.values()):
            if not published.owned.replicas:
                published.owned = published.owned.assign_replicas(incarnations)
                self._update_replicas(published)

    def _update_replicas(self, published: PublishedSequence) -> None:
        published.updated_at = self.clock.seconds()
        published.owned = self.replica_updater.update(published.owned)

    def update_answered(
        self, replica: str, incarnation: str | None, sequence_id: str, version: int, reply: str
    ) -> None:
        """Implement `peer_connections.UpdateObserver`."""
        published = self.sequences.get(sequence_id)
        if published is not None:
            published.owned = published.owned.acknowledge(replica, incarnation, version, reply)
            self._reevaluate_send(sequence_id, published)

    def update_failed(self, replica: str, sequence_id: str) -> None:
        """Implement `peer_connections.UpdateObserver`."""
        published = self.sequences.get(sequence_id)
        if published is not None:
            published.owned = published.owned.mark_uncertain(replica)
            self._reevaluate_send(sequence_id, published)
