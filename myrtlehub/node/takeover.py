"""Takes over what another node had in hand, when its client comes back here. A thin shell.

Keepers are asked for the record, all engines in it are claimed, `recovery.course` says what becomes of it. A
stream that its writer still makes is passed on from here; what has to be read or written anew goes through
the module like any arrival.
"""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred, succeed

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.keeping import Keeping, unpacked
from myrtlehub.node.links import SERVICE, TOKENS, Links
from myrtlehub.node.protocols import ResponseSink
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery import course, fence
from myrtlehub.recovery.course import Doing, Standing
from myrtlehub.recovery.keepers import keepers, node_of
from myrtlehub.recovery.records import Intent, Record, joined
from myrtlehub.routing import contract
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Code, Status
from myrtlehub.state.lives import LATE, Life, table

CLAIM_WITHIN = 0.5  # seconds for an engine's answer to a claim; one that says nothing counts as unknown
AGE_SLACK = 0.5  # seconds by which two machines may differ on how long ago an attempt was sent

# What one takeover is about. `found`, `none`: keepers have answered; `stood`: engines have; `go on`, `again`,
# `give up`: what `course` says; `lost`: another node has it by a higher claim; `left`: its client went away.
EVENTS = "found none stood goon again giveup tokens whole broke lost left"
TAKEOVER = table(
    "takeover",
    "asking",
    "answered handed lost left",
    """
asking: found -> claiming / claim; none again -> handed / hand; giveup -> answered / answer; lost -> lost / tell; left -> left / nothing; stood goon tokens whole broke -> = / breach
claiming: stood -> claiming / decide; goon -> attaching / attach; again -> handed / hand; giveup -> answered / answer; lost -> lost / tell; left -> left / nothing; found none tokens whole broke -> = / breach
attaching: tokens -> streaming / pass; whole -> answered / answer; broke giveup -> answered / answer; lost -> lost / tell; left -> left / nothing; found none stood goon again -> = / breach
streaming: tokens -> = / pass; whole -> answered / answer; broke giveup -> answered / answer; lost -> lost / tell; left -> left / nothing; found none stood goon again -> = / breach
""",
    EVENTS,
)


class Wanted(NamedTuple):
    """What a client came back for."""

    sequence: str
    seen: int  # tokens that it has
    asked: object  # the request, as at the first time
    arrival: contract.Arrival


class Takeover:
    """One sequence being taken over. `client` hears what a host's client hears; `hand` gives it to the
    host, as an arrival of this node; `lost` is called where another node has it.
    """

    def __init__(
        self,
        wanted: Wanted,
        keeping: Keeping,
        links: Links,
        host: ActionExecutor,
        client: ResponseSink,
        hand: Callable[..., None],
        lost: Callable[[str], None],
        claims: bool,
    ) -> None:
        self.wanted, self.keeping, self.links, self.host = wanted, keeping, links, host
        self.client, self.hand, self.lost, self.claims = client, hand, lost, claims
        self.life = Life(TAKEOVER)
        self.record: Record | None = None
        self.states: dict[str, object] = {}  # by engine: the handle of a state that it holds
        self.call = self.timer = None
        self.began = keeping.clock.seconds()
        self.asked_at = self.claimed_at = 0.0

    def start(self) -> None:
        """Ask the keepers of the node that took it first."""
        if not self.wanted.seen:
            left = max(0.0, self.wanted.arrival.time_left - self.host.config.answer_slack)
            self.timer = self.keeping.clock.callLater(left, self.out_of_time)
        names = keepers(node_of(self.wanted.sequence), self.keeping.zones, self.keeping.group.copies)
        asked = [self.keeping.ask(name, self.wanted.sequence) for name in names]
        self._gather(
            asked,
            lambda r: r is not None and r.HasField("record"),
            lambda replies: self._asked(names, replies),
        )

    def _gather(
        self, asked: list[Deferred], enough: Callable[[object], bool], then: Callable[[list], None]
    ) -> None:
        """Call `then` with all replies; once one is enough, those that are not there soon count as none."""
        got, over, left = [None] * len(asked), [], [len(asked)]

        def done() -> None:
            if not over:
                over.append(True)
                then(list(got))

        def heard(reply: object, i: int) -> None:
            got[i], left[0] = reply, left[0] - 1
            if not left[0]:
                done()
            elif enough(reply):
                self.keeping.clock.callLater(self.keeping.group.patience, done)

        for i, deferred in enumerate(asked):
            deferred.addCallback(heard, i)
            deferred.addErrback(lambda failure: self.keeping.log("fault", text=failure.getTraceback()))

    def left(self) -> None:
        """The client went away."""
        if self.life.step("left") != LATE:
            self._stop()

    def hand_over(self) -> None:
        """This node goes: the stream is left to whoever comes next."""
        if self.life.step("left") != LATE:
            self._disarm()
            self.keeping.leave(self.wanted.sequence)

    def out_of_time(self) -> None:
        """The bound on the whole is due."""
        if self.life.step("giveup") != LATE:
            self._stop()
            self.client.aborted("its time is over")

    def _stop(self) -> None:
        self._disarm()
        if self.call is not None:
            self.call.cancel()
        self.keeping.answered(self.wanted.sequence)

    def _disarm(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _asked(self, names: list[str], replies: list) -> None:
        if self.life.over:
            return
        now = self.keeping.clock.seconds()
        self.asked_at = now
        found = [unpacked(r.record, now) for r in replies if r is not None and r.HasField("record")]
        if not found:
            doing = course.decide(self._repeats(), [], self.wanted.seen, whole=False)
            if doing.do == course.AGAIN:
                self.life.step("none")
                self._disarm()
                self._log(doing)
                # Nobody knows by what claim engines had it: it is another sequence from here on.
                self.hand("", self.wanted.arrival, 0, None)
            else:
                self.life.step("giveup")
                self._disarm()
                self._log(doing)
                self.client.aborted(doing.why)
            return
        self.record = joined(found)
        runs = {name: r.run if r is not None else "" for name, r in zip(names, replies, strict=True)}
        unsure = {name for name, r in zip(names, replies, strict=True) if r is None}
        self.keeping.adopt(self.host, self.record, runs, unsure)
        self.life.step("found")
        engines = list(dict.fromkeys(i.engine for i in self.record.intents))
        self._gather(
            [self._claim(engine) for engine in engines],
            _streams,
            lambda replies: self._claimed(engines, replies),
        )

    def _claim(self, engine: str) -> Deferred:
        if not self.claims:
            return succeed(None)
        return claim(self.links, engine, self.record, False)

    def _claimed(self, engines: list[str], replies: list) -> None:
        if self.life.over:
            return
        self.claimed_at = self.keeping.clock.seconds()
        if any(r is not None and not r.granted for r in replies):
            self._superseded("another node has claimed it")
            return
        by_engine = dict(zip(engines, replies, strict=True))
        standings = [self._standing(i, by_engine[i.engine]) for i in self.record.intents]
        self.life.step("stood")
        doing = course.decide(self._repeats(), standings, self.wanted.seen)
        self._log(doing, standings)
        self._do(doing)

    def _standing(self, intent: Intent, reply: pb.ClaimReply | None) -> Standing:
        """What an engine said of one attempt."""
        if reply is None:
            return Standing(intent, fence.UNKNOWN)
        row = next((a for a in reply.attempts if a.number == intent.number), None)
        if row is None:
            before = self.keeping.clock.seconds() - intent.at + AGE_SLACK > reply.age
            return Standing(intent, fence.UNKNOWN if before else fence.NEVER)
        if row.says == fence.HELD and row.HasField("state"):
            self.states[intent.engine] = row.state
        return Standing(intent, row.says, row.tokens, row.first)

    def _repeats(self) -> str:
        return self.host.decoder.rows[self.wanted.arrival.traffic].repeats

    def _do(self, doing: Doing) -> None:
        sequence = self.wanted.sequence
        if doing.do == course.ATTACH:
            self.life.step("goon")
            self._attach(doing)
        elif doing.do in (course.AGAIN, course.HELD):
            self.life.step("again")
            self._disarm()
            at = self.host.decoder.engines.index_of
            arrival = self.wanted.arrival._replace(
                time_left=max(
                    0.0, self.wanted.arrival.time_left - (self.keeping.clock.seconds() - self.began)
                )
            )
            handle = None
            if doing.do == course.HELD and doing.engine in at:
                arrival = arrival._replace(state_held_by=at[doing.engine])
                handle = self.states.get(doing.engine)
            if doing.ran is not None and doing.ran.engine in at:
                ago = self.keeping.clock.seconds() - doing.ran.at
                arrival = arrival._replace(may_have_run_at=at[doing.ran.engine], may_have_run_ago=ago)
            self.hand(sequence, arrival, len(self.record.intents), handle)
        else:
            self.life.step("giveup")
            self._disarm()
            self.keeping.answered(sequence)
            self.client.aborted(doing.why)

    def _attach(self, doing: Doing) -> None:
        self.client.named(self.wanted.sequence)
        asked, claim_held = self.wanted.asked, self.record.claim
        work = pb.Work(
            sequence=self.wanted.sequence,
            attempt=doing.number,
            epoch=claim_held.epoch,
            owner=claim_held.owner,
            traffic_type=asked.traffic_type,
            mark=asked.mark,
        )
        request = pb.WriteRequest(work=work, attach=pb.Attach(**{"from": self.wanted.seen}))
        meta = (
            ("myrtle-seq", self.wanted.sequence),
            ("myrtle-attempt", str(doing.number)),
            ("myrtle-node", self.links.name),
        )
        self.call = self.links.to(doing.engine).call(SERVICE + "Write", _Stream(self), meta)
        self.call.send(request.SerializeToString())
        self.call.half_close()

    def _superseded(self, why: str) -> None:
        if self.life.step("lost") != LATE:
            self._disarm()
            if self.call is not None:
                self.call.cancel()
            self.keeping.leave(self.wanted.sequence)
            self.lost(why)

    def _log(self, doing: Doing, standings: list[Standing] = ()) -> None:
        now = self.keeping.clock.seconds()
        self.keeping.log(
            "takeover",
            seq=self.wanted.sequence,
            do=doing.do,
            why=doing.why,
            seen=self.wanted.seen,
            epoch=self.record.claim.epoch if self.record else 0,
            engine=doing.engine,
            stood=[f"{s.intent.number} {s.says} {s.tokens}" for s in standings],
            asked=round(self.asked_at - self.began, 4),
            took=round(now - self.began, 4),
        )


def _streams(reply: pb.ClaimReply | None) -> bool:
    """Whether an engine has what can be gone on with: no other one matters much then."""
    return reply is not None and any(a.says in course.GOES_ON for a in reply.attempts)


class _Stream(CallWatcher):
    """A stream that was attached to."""

    def __init__(self, takeover: Takeover) -> None:
        self.takeover = takeover
        self.final = False

    def message(self, data: bytes) -> None:
        t = self.takeover
        if self.final:
            return
        if data[0] == TOKENS:
            if t.life.step("tokens") == "pass":
                t._disarm()
                t.client.tokens(data)
            return
        self.final = True
        reply = pb.WriteReply.FromString(data)
        if reply.WhichOneof("reply") == "ended":
            if t.life.step("whole") != LATE:
                t._disarm()
                t.keeping.answered(t.wanted.sequence)
                t.client.generated(reply.ended.tokens)
        else:
            self._broke("the stream is not there any more")

    def _broke(self, why: str) -> None:
        t = self.takeover
        if t.life.step("broke") != LATE:
            t._disarm()
            t.keeping.answered(t.wanted.sequence)
            t.client.aborted(why)

    def ended(self, status: Status) -> None:
        if self.final:
            return
        self.final = True
        if status.code == Code.FAILED_PRECONDITION:
            self.takeover._superseded(status.message)
        else:
            self._broke(f"the stream broke: {status.code.name}")


def claim(links: Links, engine: str, record: Record, close: bool) -> Deferred:
    """Claim a sequence at an engine: fires with its reply, or None where nothing came."""
    request = pb.ClaimRequest(
        sequence=record.sequence, epoch=record.claim.epoch, owner=record.claim.owner, close=close
    )
    done = links.to(engine).unary(SERVICE + "Claim", request.SerializeToString(), timeout=CLAIM_WITHIN)
    return done.addCallbacks(pb.ClaimReply.FromString, lambda failure: None)


def let_go(links: Links, record: Record) -> None:
    """Nobody came back for it: stop what runs, let go of what is held."""
    for engine in dict.fromkeys(i.engine for i in record.intents):
        claim(links, engine, record, True)
