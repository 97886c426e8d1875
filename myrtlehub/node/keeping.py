"""Word of the work in hand: told to this node's keepers, and kept for other nodes. A thin shell.

What may be sent when is `recovery.owner`'s, what is held and handed out `recovery.records`', who has fallen
silent `recovery.detect`'s. Here are the connections, the timers and the messages.
"""

from collections.abc import Callable
from functools import partial

from twisted.internet.defer import Deferred

from myrtlehub.config.sheets import TakeoverGroup
from myrtlehub.node.action_executor import ActionExecutor, Attempt, InFlightSequence
from myrtlehub.proto import peers_pb2 as pb
from myrtlehub.recovery import owner
from myrtlehub.recovery.detect import EVERY, Detector
from myrtlehub.recovery.keepers import keepers
from myrtlehub.recovery.owner import Owned
from myrtlehub.recovery.records import NOBODY, Book, Claim, Intent, Record
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.method_handlers import unary
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code, RpcError

SERVICE = "/myrtlehub.v1.Peers/"
FORMAT = 1  # of what nodes tell one another; a later one is refused in words
ANSWER_WITHIN = 0.5  # seconds for a peer's answer
FORMER_MOST = 20000  # claims of sequences that are over: releases follow answers within seconds
LONGEST = 60.0  # seconds for which a record is kept at most, beyond its sequence's abandon time
GATHER = 0.05  # seconds for which word that nothing waits for is gathered: messages cost more than records
STALE = 0.25  # seconds after keepers were told within which a send may follow; later they are told anew


def packed(r: Record, now: float, ended: bool = False) -> pb.Record:
    """A record as it travels: times as distances from now."""
    return pb.Record(
        sequence=r.sequence,
        epoch=r.claim.epoch,
        owner=r.claim.owner,
        repeats=r.repeats,
        left_ms=max(0, int((r.until - now) * 1000)),
        streams=r.streams,
        ended=ended,
        intents=[
            pb.Intent(
                number=i.number, engine=i.engine, reads=i.reads, age_ms=max(0, int((now - i.at) * 1000))
            )
            for i in r.intents
        ],
    )


def unpacked(m: pb.Record, now: float) -> Record:
    """A record as it came, on this node's clock."""
    return Record(
        m.sequence,
        Claim(m.epoch, m.owner),
        m.repeats,
        now + m.left_ms / 1000.0,
        tuple(Intent(i.number, i.engine, i.reads, now - i.age_ms / 1000.0) for i in m.intents),
        m.streams,
    )


class Peer:
    """Another node: its connection, the process that answers there, and what waits to be told."""

    def __init__(self, name: str, channel: Channel) -> None:
        self.name, self.channel = name, channel
        self.run = ""
        self.outbox: dict[str, tuple[int, Record, bool]] = {}  # by sequence: version, record, ended
        self.flushing = self.gathering = False


class Keeping:
    """One node's part, as owner and as keeper. `lost(record)` is told of each record of a lost owner that
    nobody came for.
    """

    def __init__(
        self,
        group: TakeoverGroup,
        name: str,
        run: str,
        clock: object,
        dial: Callable[[str], Callable],
        log: Callable[..., None],
    ) -> None:
        self.group, self.name, self.run, self.clock, self.dial, self.log = group, name, run, clock, dial, log
        self.me = f"{name}.{run}"
        self.zones = {p.name: p.zone for p in group.peers}
        self.addresses = {p.name: p.address for p in group.peers}
        self.peers: dict[str, Peer] = {}
        self.owned: dict[str, Owned] = {}
        self.hosts: dict[str, ActionExecutor] = {}  # of sequences in hand here
        self.parked: dict[str, tuple[Attempt, Callable[[str], None], object]] = {}
        self.told_at: dict[str, float] = {}  # by sequence: when its keepers were last told
        self.former: dict[
            str, Claim
        ] = {}  # claims of sequences that are over here: late words still name them
        self.moved: set[str] = set()  # of those, that others go on with
        self.book = Book(group.keep)
        self.detector = Detector(clock.seconds())
        self.lost: Callable[[Record], None] = lambda record: None
        self.counts = {"taken over": 0, "handed out": 0, "unprotected": 0, "never sent": 0}
        self.mine = keepers(name, self.zones, group.copies)
        self.server = Server(clock)
        for method, run_it in (("Keep", self._keep), ("Take", self._take)):
            self.server.add(SERVICE + method, unary(run_it))
        clock.callLater(0, self._beat)

    # -- other nodes ------------------------------------------------------------------------------

    def peer(self, name: str) -> Peer:
        """Another node's connection, made at its first use."""
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = Peer(
                name,
                Channel(
                    self.clock,
                    self.dial(self.addresses[name]),
                    self.addresses[name],
                    connect_timeout=ANSWER_WITHIN,
                ),
            )
        return peer

    def _beat(self) -> None:
        """A sign of life to this node's keepers, with whatever there is to tell."""
        now = self.clock.seconds()
        self.clock.callLater(EVERY, self._beat)
        # who keeps word of what was taken over has to hear this node as well
        more = {name for owned in self.owned.values() for name, _ in owned.runs}
        for name in sorted(more.union(self.mine) - {self.name}):
            self._flush(self.peer(name))
        runs = {name: self.peers[name].run for name in self.mine if self.peers[name].run}
        for label, owned in list(self.owned.items()) if runs else ():
            if not owned.runs:
                self.owned[label] = owned.told_late(runs)
                self._tell(label)
        self.book.overdue(now)
        for node, run in self.detector.look(now):
            self.detector.forget(node)
            self._gone(node, run)

    def _gone(self, node: str, run: str) -> None:
        """An owner fell silent, or began anew: its clients have a while to come back elsewhere."""
        left = self.book.of(f"{node}.{run}")
        if left:
            self.log("owner lost", node=node, run=run, sequences=len(left))
            self.clock.callLater(self.group.comes_back, self._let_go, f"{node}.{run}")

    def _let_go(self, owner_name: str) -> None:
        """Nobody came: what is still held for it is let go, by a claim like any other's."""
        if self.detector.at.get(owner_name.rsplit(".", 1)[0], ("",))[0] == owner_name.rsplit(".", 1)[1]:
            return  # it is heard again
        for record in self.book.of(owner_name):
            self.lost(self.book.take(record.sequence, self.me))

    def _soon(self, peer: Peer, waits: bool) -> None:
        """Tell it once this turn is over, or a little later where nothing waits, all in one message."""
        if waits and not peer.flushing:
            peer.flushing = True
            self.clock.callLater(0, self._flush, peer)
        elif not waits and not peer.gathering:
            peer.gathering = True
            self.clock.callLater(GATHER, self._gathered, peer)

    def _gathered(self, peer: Peer) -> None:
        peer.gathering = False
        if peer.outbox:
            self._flush(peer)

    def _flush(self, peer: Peer) -> None:
        peer.flushing = False
        told, peer.outbox = peer.outbox, {}
        now = self.clock.seconds()
        request = pb.KeepRequest(
            format=FORMAT,
            node=self.name,
            run=self.run,
            records=[packed(record, now, ended) for _, record, ended in told.values()],
        )
        versions = {sequence: version for sequence, (version, _, _) in told.items()}
        done = peer.channel.unary(SERVICE + "Keep", request.SerializeToString(), timeout=ANSWER_WITHIN)
        done.addCallbacks(
            lambda data: self._told(peer, versions, pb.KeepReply.FromString(data)),
            lambda failure: self._untold(peer, versions),
        )
        done.addErrback(lambda failure: self.log("fault", text=failure.getTraceback()))

    def _told(self, peer: Peer, versions: dict[str, int], reply: pb.KeepReply) -> None:
        peer.run = reply.run
        for (sequence, version), word in zip(versions.items(), reply.words, strict=True):
            owned = self.owned.get(sequence)
            if owned is not None:
                self.owned[sequence] = owned.heard(peer.name, reply.run, version, word)
                self._look(sequence)

    def _untold(self, peer: Peer, versions: dict[str, int]) -> None:
        peer.run = ""
        for sequence in versions:
            if sequence in self.owned:
                self.owned[sequence] = self.owned[sequence].unheard(peer.name)
                self._look(sequence)

    # -- as owner ---------------------------------------------------------------------------------

    def claim_of(self, sequence: str) -> Claim:
        """By which claim this node has it; epoch 0: nobody keeps word of it."""
        owned = self.owned.get(sequence)
        return owned.record.claim if owned is not None else self.former.get(sequence, NOBODY)

    def adopt(self, host: ActionExecutor, record: Record, runs: dict[str, str], unsure: set[str]) -> None:
        """A sequence that was taken over is this node's from now on; `runs`: the keepers that may have it."""
        owned = Owned.begun(record, runs, taken=True)
        for keeper in unsure:
            owned = owned.unheard(keeper)
        before = self.owned.get(record.sequence)
        if before is not None:
            self._superseded(record.sequence)  # it was this node's own: the client came back to it
        self.owned[record.sequence], self.hosts[record.sequence] = owned, host
        self.moved.discard(record.sequence)
        self.told_at[record.sequence] = self.clock.seconds()
        self.counts["taken over"] += 1

    def intends(self, host: ActionExecutor, attempt: Attempt, then: Callable[[str], None]) -> str:
        """An attempt is to be sent: `go`, `never`, or `wait`, and `then` is told which of the two."""
        held, now = attempt.sequence, self.clock.seconds()
        label = held.sequence_id
        owned = self.owned.get(label)
        if owned is None:
            runs = {name: self.peer(name).run for name in self.mine if self.peer(name).run}
            if attempt.number:
                return owner.GO  # it was begun by settings without takeover
            self.counts["unprotected"] += not runs
            longest = held.request.deadline_in if held.request.deadline_in < LONGEST else LONGEST
            record = Record(
                label,
                Claim(1, self.me),
                host.decoder.rows[held.arrival.traffic].repeats,
                now + max(held.arrival.time_left, longest),
            )
            owned = Owned.begun(record, runs)
            self.hosts[label] = host
        engine = host.decoder.engines.rows[attempt.engine].address
        owned = owned.intends(Intent(held.earlier_attempts + attempt.number, engine, attempt.reads, now))
        self.owned[label] = owned
        self._tell(label)
        says = owned.may_send()
        if says == owner.WAIT:
            timer = self.clock.callLater(self.group.patience, self._impatient, label)
            self.parked[label] = attempt, then, timer
        return says

    def _tell(self, label: str, ended: bool = False) -> None:
        owned = self.owned[label]
        self.told_at[label] = self.clock.seconds()
        for name, run in owned.runs:
            if name == self.name:
                self._tell_here(label, run, ended)
                continue
            peer = self.peer(name)
            peer.outbox[label] = owned.version, owned.record, ended
            self._soon(peer, not ended)

    def _tell_here(self, label: str, run: str, ended: bool) -> None:
        """This node keeps word itself of what it took over."""
        owned = self.owned[label]
        if ended:
            self.book.end(label, owned.record.claim)
        else:
            self.owned[label] = owned.heard(self.name, run, owned.version, self.book.keep(owned.record))

    def _impatient(self, label: str) -> None:
        """Keepers that said nothing in time are given up on, for this sequence."""
        owned = self.owned.get(label)
        if owned is not None:
            for name in owned.behind():
                owned = owned.unheard(name)
            self.owned[label] = owned
            self._look(label)

    def unpark(self, label: str) -> bool:
        """An attempt that waits for word is not wanted any more; whether there was one."""
        parked = self.parked.pop(label, None)
        if parked is not None and parked[2].active():
            parked[2].cancel()
        return parked is not None

    def _look(self, label: str) -> None:
        """Word came: whether what waits may go now."""
        owned = self.owned.get(label)
        if owned is None:
            return
        if owned.superseded:
            self._superseded(label)
            return
        says = owned.may_send()
        if label in self.parked and says != owner.WAIT:
            if says == owner.GO and self.clock.seconds() - self.told_at[label] > STALE + self.group.patience:
                # Guards against a process that was paused since: another node may have claimed all engines,
                # and one of them have begun anew and forgotten it.
                self.owned[label] = owned._replace(version=owned.version + 1)
                self._tell(label)
                return
            attempt, then, _ = self.parked[label]
            self.unpark(label)
            self.counts["never sent"] += says == owner.NEVER
            if attempt.is_outstanding:
                then(says)

    def _superseded(self, label: str) -> None:
        """Another node has it, by its client's wish: nothing more is owed or done here."""
        host, epoch = self.hosts[label], self.owned[label].record.claim.epoch
        self.leave(label)
        self.log("superseded", seq=label, epoch=epoch)
        for held in [h for h in host.in_flight.values() if h.sequence_id == label]:
            # What it has at engines is the other one's now: a reset from here could come before its claim.
            host.hand_over(held)
            held.client.superseded("another node has this sequence now")

    def begun(self, held: InFlightSequence) -> None:
        """Its answer streams: keepers hear so with the next beat."""
        owned = self.owned.get(held.sequence_id)
        if owned is not None and not owned.record.streams:
            self.owned[held.sequence_id] = owned._replace(record=owned.record._replace(streams=True))
            for name, _ in owned.runs:
                self.peer(name).outbox.setdefault(
                    held.sequence_id, (owned.version, self.owned[held.sequence_id].record, False)
                )

    def answered(self, label: str) -> None:
        """The final answer was given: nothing is kept of it any more."""
        if label in self.owned:
            self._tell(label, ended=True)
            self._over(label)

    def leave(self, label: str) -> None:
        """Another node has it, or will: the keepers keep its record."""
        if label in self.owned:
            self._over(label)
            self.moved.add(label)

    def _over(self, label: str) -> None:
        self.former[label] = self.owned.pop(label).record.claim
        del self.hosts[label], self.told_at[label]
        self.unpark(label)
        if len(self.former) > FORMER_MOST:
            oldest = next(iter(self.former))
            del self.former[oldest]
            self.moved.discard(oldest)

    # -- as keeper --------------------------------------------------------------------------------

    def _keep(self, call: ServerCall, data: bytes) -> bytes:
        request, now = pb.KeepRequest.FromString(data), self.clock.seconds()
        if request.format > FORMAT:
            raise RpcError(
                Code.FAILED_PRECONDITION,
                f"word is in format {request.format}, and this node knows formats up to {FORMAT}",
            )
        before = self.detector.heard(request.node, request.run, now)
        if before:
            self._gone(request.node, before)
        words = [
            self.book.end(r.sequence, Claim(r.epoch, r.owner))
            if r.ended
            else self.book.keep(unpacked(r, now))
            for r in request.records
        ]
        return pb.KeepReply(format=FORMAT, run=self.run, words=words).SerializeToString()

    def _take(self, call: ServerCall, data: bytes) -> bytes:
        return self.take(pb.TakeRequest.FromString(data)).SerializeToString()

    def take(self, request: pb.TakeRequest) -> pb.TakeReply:
        """Hand a record out."""
        record = self.book.take(request.sequence, request.by, request.least)
        self.counts["handed out"] += record is not None
        return pb.TakeReply(
            run=self.run, record=packed(record, self.clock.seconds()) if record is not None else None
        )

    def ask(self, name: str, sequence: str) -> Deferred:
        """Ask a keeper for a record: fires with its reply, or with None where it was not reached."""
        request = pb.TakeRequest(sequence=sequence, by=self.me)
        if name == self.name:
            done = Deferred()
            done.callback(self.take(request))
            return done
        done = self.peer(name).channel.unary(
            SERVICE + "Take", request.SerializeToString(), timeout=ANSWER_WITHIN
        )
        return done.addCallbacks(pb.TakeReply.FromString, lambda failure: None)

    def close(self) -> None:
        """The node ends."""
        for peer in self.peers.values():
            peer.channel.close()


class Gate:
    """A carrier that sends an attempt once its keepers know of it; all else goes straight through."""

    def __init__(self, links: object, keeping: Keeping) -> None:
        self.links, self.keeping = links, keeping

    def start(self, attempt: Attempt) -> None:
        """See `host.EngineTransport`."""
        host = self.links.host
        says = self.keeping.intends(host, attempt, partial(self._then, attempt))
        if says == owner.GO:
            self.links.start(attempt)
        elif says == owner.NEVER:
            self.keeping.clock.callLater(0, self._then, attempt, says)

    def _then(self, attempt: Attempt, says: str) -> None:
        if not attempt.is_outstanding:
            return
        if says == owner.GO:
            self.links.start(attempt)
        else:
            self.links.host.ended(attempt, "unsent")

    def cancel(self, attempt: Attempt) -> None:
        """See `host.EngineTransport`."""
        if attempt.call is None:
            self.keeping.unpark(attempt.sequence.sequence_id)
        else:
            self.links.cancel(attempt)

    def release(self, engine: int, label: str) -> None:
        """See `host.EngineTransport`."""
        if label not in self.keeping.moved:  # what is held for it is for whoever goes on with it
            self.links.release(engine, label)

    def __getattr__(self, name: str) -> object:
        return getattr(self.links, name)
