"""The owner's side of replication: records of this node's sequences are published to its replicas.

What may be sent when is decided in `recovery.ownership`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.replication.former_ownerships import FormerOwnerships
from myrtlehub.node.replication.peer_connections import PeerConnections, PendingUpdate
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.recovery.ownership import OwnedSequence, SendDecision
from myrtlehub.recovery.replica_store import ReplicaStore
from myrtlehub.recovery.sequence_records import FIRST_EPOCH, AttemptIntent, Ownership, SequenceRecord

MAX_LIFETIME = 60.0  # seconds for which a record is held at most beyond its sequence's abandon time
MAX_UPDATE_AGE = 0.25  # seconds after an update within which a send may follow; later replicas are told anew

DecisionCallback = Callable[[SendDecision], None]


@dataclass(slots=True)
class PublishedSequence:
    """One sequence that this node owns."""

    owned: OwnedSequence
    executor: ActionExecutor
    updated_at: float  # when its replicas were last told


class WaitingSend(NamedTuple):
    """An attempt that waits for acknowledgements of its intent."""

    attempt: Attempt
    on_decision: DecisionCallback
    timer: Timer


@dataclass(slots=True)
class PublisherCounters:
    """What happened since the start."""

    taken_over: int = 0
    unprotected: int = 0  # sequences that began without a replica
    never_sent: int = 0  # attempts that were given up for lack of acknowledgements


class RecordPublisher:
    """Publishes the records of one node's sequences, and holds attempts back until replicas know of them."""

    def __init__(
        self,
        owner: str,
        replicas: list[str],
        patience: float,
        connections: PeerConnections,
        local_store: ReplicaStore,
        clock: Clock,
        log: Log,
    ) -> None:
        """Make a publisher.

        Args:
            owner: this node's name and incarnation, as records have it.
            replicas: nodes that are replicas of this one.
            patience: seconds that a send waits for replicas at most.
            connections: to all other nodes.
            local_store: this node is a replica itself of sequences that it took over.
            clock: time and timers.
            log: takes an event and its fields.
        """
        self.owner = owner
        self.replicas = replicas
        self.patience = patience
        self.connections = connections
        self.local_store = local_store
        self.clock = clock
        self.log = log
        self.sequences: dict[str, PublishedSequence] = {}
        self.waiting_sends: dict[str, WaitingSend] = {}  # by sequence
        self.former = FormerOwnerships()
        self.counters = PublisherCounters()

    # -- sequences --------------------------------------------------------------------------------

    def ownership_of(self, sequence_id: str) -> Ownership:
        """Return by which ownership this node has or had a sequence; epoch 0: it has no record."""
        published = self.sequences.get(sequence_id)
        if published is not None:
            return published.owned.record.ownership
        return self.former.of(sequence_id)

    def adopt(
        self,
        executor: ActionExecutor,
        record: SequenceRecord,
        incarnations: dict[str, str],
        unreached: set[str],
    ) -> None:
        """Own a sequence that was taken over; `incarnations`: of the replicas that may have its record."""
        owned = OwnedSequence.begin(record, incarnations, was_taken_over=True)
        for replica in unreached:
            owned = owned.mark_uncertain(replica)
        if record.sequence_id in self.sequences:
            self._superseded(record.sequence_id)  # it was this node's own: the client came back to it
        self.sequences[record.sequence_id] = PublishedSequence(owned, executor, self.clock.seconds())
        self.former.clear_moved(record.sequence_id)
        self.counters.taken_over += 1

    def answer_started(self, sequence: InFlightSequence) -> None:
        """Note that an answer streams: replicas hear so with the next heartbeat."""
        published = self.sequences.get(sequence.sequence_id)
        if published is None or published.owned.record.is_streaming:
            return
        owned = published.owned
        owned = owned._replace(record=owned.record._replace(is_streaming=True))
        published.owned = owned
        for replica in owned.replicas:
            outbox = self.connections.peer(replica.node).outbox
            outbox.setdefault(sequence.sequence_id, PendingUpdate(owned.version, owned.record, False))

    def answered(self, sequence_id: str) -> None:
        """Drop the record: the final answer was given."""
        if sequence_id in self.sequences:
            self._publish(sequence_id, is_ended=True)
            self._forget(sequence_id)

    def leave(self, sequence_id: str) -> None:
        """Leave a sequence to another node: the replicas still hold its record."""
        if sequence_id in self.sequences:
            self._forget(sequence_id)
            self.former.set_moved(sequence_id)

    def _forget(self, sequence_id: str) -> None:
        published = self.sequences.pop(sequence_id)
        self.former.add(sequence_id, published.owned.record.ownership)
        self.cancel_waiting_send(sequence_id)

    def _superseded(self, sequence_id: str) -> None:
        """End a sequence that another node has, as its client went there: nothing more is owed here."""
        published = self.sequences[sequence_id]
        executor = published.executor
        self.leave(sequence_id)
        self.log(
            LogEvent.OWNERSHIP_SUPERSEDED,
            sequence_id=sequence_id,
            epoch=published.owned.record.ownership.epoch,
        )
        for sequence in [row for row in executor.in_flight.values() if row.sequence_id == sequence_id]:
            # What it has at engines is the other node's now: a reset from here could come before its claim.
            executor.hand_over(sequence)
            sequence.client.superseded("another node has this sequence now")

    # -- sends ------------------------------------------------------------------------------------

    def intend(
        self, executor: ActionExecutor, attempt: Attempt, on_decision: DecisionCallback
    ) -> SendDecision:
        """Publish that an attempt is to be sent; after `WAIT`, `on_decision` gets the decision once."""
        sequence = attempt.sequence
        sequence_id = sequence.sequence_id
        now = self.clock.seconds()
        published = self.sequences.get(sequence_id)
        if published is None:
            if attempt.number:
                return SendDecision.SEND  # it began by settings without takeover
            published = PublishedSequence(self._begin(executor, sequence, now), executor, now)
        engine = executor.decoder.engines.rows[attempt.engine].address
        number = sequence.earlier_attempts + attempt.number
        owned = published.owned.add_intent(AttemptIntent(number, engine, attempt.reads, now))
        published.owned = owned
        self.sequences[sequence_id] = published
        self._publish(sequence_id)
        decision = owned.send_decision()
        if decision == SendDecision.WAIT:
            timer = self.clock.callLater(self.patience, self._out_of_patience, sequence_id)
            self.waiting_sends[sequence_id] = WaitingSend(attempt, on_decision, timer)
        return decision

    def _begin(self, executor: ActionExecutor, sequence: InFlightSequence, now: float) -> OwnedSequence:
        incarnations = self.connections.reachable_incarnations(self.replicas)
        self.counters.unprotected += not incarnations
        lifetime = min(sequence.request.deadline_in, MAX_LIFETIME)
        record = SequenceRecord(
            sequence.sequence_id,
            Ownership(FIRST_EPOCH, self.owner),
            executor.decoder.rows[sequence.arrival.traffic].repeats,
            now + max(sequence.arrival.time_left, lifetime),
        )
        return OwnedSequence.begin(record, incarnations)

    def cancel_waiting_send(self, sequence_id: str) -> None:
        """Drop an attempt that waits, if there is one: it is not wanted any more."""
        waiting = self.waiting_sends.pop(sequence_id, None)
        if waiting is not None and waiting.timer.active():
            waiting.timer.cancel()

    def _out_of_patience(self, sequence_id: str) -> None:
        """Count on no reply of the replicas that are late, for this sequence."""
        published = self.sequences.get(sequence_id)
        if published is None:
            return
        for replica in published.owned.lagging_replicas():
            published.owned = published.owned.mark_uncertain(replica)
        self._reconsider(sequence_id, published)

    def _reconsider(self, sequence_id: str, published: PublishedSequence) -> None:
        """Send or drop an attempt that waits, now that more is known of the replicas."""
        owned = published.owned
        if owned.is_superseded:
            self._superseded(sequence_id)
            return
        decision = owned.send_decision()
        waiting = self.waiting_sends.get(sequence_id)
        if waiting is None or decision == SendDecision.WAIT:
            return
        update_age = self.clock.seconds() - published.updated_at
        if decision == SendDecision.SEND and update_age > MAX_UPDATE_AGE + self.patience:
            # Guards against a process that was paused since: another node may have claimed all engines, and
            # one of them have restarted and forgotten it.
            published.owned = owned._replace(version=owned.version + 1)
            self._publish(sequence_id)
            return
        self.cancel_waiting_send(sequence_id)
        self.counters.never_sent += decision == SendDecision.NEVER
        if waiting.attempt.is_outstanding:
            waiting.on_decision(decision)

    # -- replicas ---------------------------------------------------------------------------------

    def send_heartbeats(self) -> None:
        """Send a heartbeat, with the updates that wait, to each replica of any sequence of this node."""
        names = {
            replica.node for published in self.sequences.values() for replica in published.owned.replicas
        }
        for name in sorted(names.union(self.replicas) - {self.connections.node}):
            self.connections.flush(self.connections.peer(name))

    def assign_missing_replicas(self) -> None:
        """Publish sequences that began while no replica was reachable."""
        incarnations = self.connections.reachable_incarnations(self.replicas)
        if not incarnations:
            return
        for sequence_id, published in list(self.sequences.items()):
            if not published.owned.replicas:
                published.owned = published.owned.assign_replicas(incarnations)
                self._publish(sequence_id)

    def _publish(self, sequence_id: str, is_ended: bool = False) -> None:
        published = self.sequences[sequence_id]
        published.updated_at = self.clock.seconds()
        owned = published.owned
        for replica in owned.replicas:
            if replica.node == self.connections.node:
                self._publish_here(published, replica.incarnation, is_ended)
                continue
            peer = self.connections.peer(replica.node)
            peer.outbox[sequence_id] = PendingUpdate(owned.version, owned.record, is_ended)
            self.connections.schedule_flush(peer, is_urgent=not is_ended)

    def _publish_here(self, published: PublishedSequence, incarnation: str, is_ended: bool) -> None:
        """Update this node's own store: it is a replica of what it took over."""
        owned = published.owned
        record = owned.record
        if is_ended:
            self.local_store.end(record.sequence_id, record.ownership)
            return
        reply = self.local_store.store(record)
        published.owned = owned.acknowledge(self.connections.node, incarnation, owned.version, reply)

    def update_answered(
        self, replica: str, incarnation: str, sequence_id: str, version: int, reply: str
    ) -> None:
        """See `peer_connections.UpdateObserver`."""
        published = self.sequences.get(sequence_id)
        if published is not None:
            published.owned = published.owned.acknowledge(replica, incarnation, version, reply)
            self._reconsider(sequence_id, published)

    def update_failed(self, replica: str, sequence_id: str) -> None:
        """See `peer_connections.UpdateObserver`."""
        published = self.sequences.get(sequence_id)
        if published is not None:
            published.owned = published.owned.mark_uncertain(replica)
            self._reconsider(sequence_id, published)
