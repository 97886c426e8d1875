"""The host's EngineTransport over HTTP/1.1: attempts, releases and probes on connections to engines."""

from collections.abc import Callable

import msgspec

from myrtlehub.http1.bounds import SMALL_BODY
from myrtlehub.http1.client import Call, ConnectionPool, PendingRequest, Watcher
from myrtlehub.node.action_executor import ActionExecutor, Attempt
from myrtlehub.relay.bootstrap import load_of
from myrtlehub.relay.events import Events, Spoilt
from myrtlehub.relay.outcomes import End, of_break, of_head
from myrtlehub.routing import contract

LOOK = 0.25  # seconds between looks at streams that are silent
HALF_FOR = 2.5  # seconds for the rest of an event or chunk: engines write them whole; 5 s are owed
SILENT_FOR = 4.2  # seconds without an event, until a stream is ended: 5 s are owed after a last one
SURE_AFTER = 0.25  # seconds to a second word of release where an attempt may have ended after the first
GIVEN_UP_FOR = 60.0  # seconds for which a given up attempt is remembered: no sequence waits longer
OVER_LOOK = 0.1  # seconds from look to look at whether a sequence is over whose release nobody has answered
RELEASE_TRIES = (0.12, 0.2, 0.3, 0.6, 0.8)  # seconds from try to try of a release, each on a new connection


class _Kept(msgspec.Struct):
    cached_tokens: float = 0.0


_kept = msgspec.json.Decoder(_Kept)


class _Attempt(Watcher):
    """What an attempt's answer brings, told to the host."""

    def __init__(self, engines: "Engines", attempt: Attempt) -> None:
        self.engines, self.host, self.attempt = engines, engines.host, attempt
        self.end: End | None = None
        self.events: Events | None = None
        self.load: contract.LoadReport | None = None
        self.body = b""
        self.heard_at = self.gap = 0.0  # when an event last came; the longest pause between two
        self.half_since: float | None = None  # since when the rest of an event, chunk or stream is owed
        self.pending: PendingRequest | None = None

    def head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        fields = dict(headers)
        self.engines.note_heard(self.attempt.engine)
        self.end = of_head(self.attempt.reads, status, fields.get(b"x-turned-away") == b"1")
        if b"x-pressure" in fields:
            self.load = load_of(fields[b"x-pressure"])
        if self.end.outcome == contract.Outcome.GENERATED:
            self.events = Events()
            self.heard_at = self.host.clock.seconds()
            self.engines.streams[self] = None
        elif self.end.outcome != contract.Outcome.READ:
            self._tell(self.end)  # the body tells no more; its connection ends by itself

    def data(self, data: bytes) -> None:
        if self.pending is None:
            return  # its end was told by the head
        if self.events is not None:
            try:
                whole = self.events.feed(data)
            except Spoilt:
                self.spoil("no event")
                return
            if whole:
                now = self.host.clock.seconds()
                self.engines.note_heard(self.attempt.engine)
                self.gap, self.heard_at = max(self.gap, now - self.heard_at), now
                attempt = self.attempt
                if attempt.is_streaming:
                    self.host.tokens_received(attempt, whole)
                elif attempt.is_outstanding:
                    self.host.began(attempt, whole)
        else:
            self.body += data
            if len(self.body) > SMALL_BODY:
                self.spoil("a long body")

    def owes(self) -> bool:
        """Whether the engine has begun an event, a chunk or its end, and has not finished it."""
        connection = self.pending.connection
        return bool(self.events.rest) or self.events.done or (connection is not None and connection.owes())

    def spoil(self, why: str) -> None:
        """What comes can't be used: the attempt may have run, its connection has no further use."""
        self.pending.cancel()
        self._tell(of_break(True), why=why)

    def ended(self) -> None:
        if self.events is not None:
            try:
                self.events.end()
            except Spoilt:
                self._tell(of_break(True), why="half an event at the end")
                return
            if self.attempt.is_streaming:
                self._tell(self.end, self.events.kept, self.events.load or self.load, self.events.tokens)
            else:
                self._tell(of_break(True))  # a stream without an event answers nothing
        elif self.end is not None and self.end.outcome == contract.Outcome.READ:
            try:
                kept = _kept.decode(self.body).cached_tokens
            except (msgspec.DecodeError, ValueError, RecursionError):
                kept = 0.0
            self._tell(self.end, kept, self.load)

    def unwanted(self) -> None:
        self._tell(End(contract.Outcome.UNSENT), why="not sent")

    def broke(self, sent: bool) -> None:
        if sent:
            self.engines.note_unsure(self.attempt.sequence.sequence_id)
        self._tell(of_break(sent), why="broke")

    def _tell(
        self,
        end: End,
        kept: float = 0.0,
        load: contract.LoadReport | None = None,
        tokens: int = 0,
        why: str = "",
    ) -> None:
        self.engines.streams.pop(self, None)
        if why:
            self.engines.log(
                "broken", seq=self.attempt.sequence.sequence_id, number=self.attempt.number, why=why
            )
        kept = kept or float(end.no_state)
        handle = True if end.outcome == contract.Outcome.READ else None
        self.host.ended(self.attempt, end.outcome, kept, load or self.load, handle, tokens)


class _Once(Watcher):
    """A small call: whether it was answered, with what."""

    def __init__(self, then: Callable[[bool, bytes], None]) -> None:
        self.then, self.body, self.status = then, b"", 0

    def head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.status = status

    def data(self, data: bytes) -> None:
        if len(self.body) < SMALL_BODY:
            self.body += data

    def ended(self) -> None:
        self.then(self.status // 100 == 2, self.body)

    def broke(self, sent: bool) -> None:
        self.then(False, b"")


class Engines:
    """Attempts, releases and probes. `dials` says where each engine is reached, by its name in the list."""

    def __init__(
        self, clock: object, pool: ConnectionPool, log: Callable[..., None] = lambda event, **more: None
    ) -> None:
        self.clock, self.pool, self.log = clock, pool, log
        self.host: ActionExecutor | None = None
        self.dials: dict[str, str] = {}
        self.streams: dict[_Attempt, None] = {}
        self.given_up: dict[str, float] = {}  # sequences by when an attempt was last given up or broke
        self.releases: set[_Release] = set()  # words of release that no engine has answered yet
        self.second_words = 0  # of those that are still to be sent again
        self.heard_at: dict[str, float] = {}  # by name: when an engine last said something
        clock.callLater(LOOK, self._look)

    def name(self, engine: int) -> str:
        """Its name in the list."""
        return self.host.decoder.engines.rows[engine].address

    def serves(self, engine: int) -> bool:
        """Whether the list has it for new work."""
        engines = self.host.decoder.engines
        return not engines.is_gone(engine) and engines.rows[engine].state == "serving"

    def note_heard(self, engine: int) -> None:
        """It says something: it can be reached."""
        self.heard_at[self.name(engine)] = self.clock.seconds()

    def moved(self, name: str, dial: str) -> None:
        """Where an engine is reached from now on."""
        if self.dials.get(name, dial) != dial:
            self.pool.close_idle(name)
        self.dials[name] = dial

    def ended(self, attempt: Attempt) -> None:
        """Any attempt's end, whoever caused it: a line for whoever asks for all of them."""
        watcher = attempt.call.watcher if attempt.call is not None else None
        self.log(
            "attempt",
            seq=attempt.sequence.sequence_id,
            number=attempt.number,
            engine=self.name(attempt.engine),
            kind=attempt.kind,
            reads=attempt.reads,
            state=attempt.state_machine.state,
            took=round(self.clock.seconds() - attempt.sent_at, 4),
            timed=self.clock.seconds() >= attempt.times_out_at,
            gap=round(watcher.gap, 2) if watcher is not None else 0.0,
        )
        if watcher is not None:
            # they refer to one another, and to the whole request: only the collector would free them
            attempt.call = watcher.pending = None

    # -- the host's EngineTransport -----------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        """See `EngineTransport`."""
        held, now = attempt.sequence, self.clock.seconds()
        asked, name = held.request, self.name(attempt.engine)
        wait = max(1, int((attempt.times_out_at - now) * 1000))
        call = Call(b"POST", asked.target, [*asked.headers, (b"x-remaining-ms", b"%d" % wait)], asked.body)
        watcher = _Attempt(self, attempt)
        # Guards against a kept connection that its peer closed unseen: what may not run twice would be lost.
        # And against a next attempt that is there before the end of one given up: a new one takes longer.
        once = self.host.decoder.rows[held.arrival.traffic].once and (
            not attempt.reads or held.sequence_id in self.given_up
        )
        # Guards against an engine that drains or goes while a connection to it comes up, which may take
        # longer than the grace, or while this process was held up: its standing is looked at once more before
        # the first byte.
        watcher.pending = attempt.call = self.pool.ask(
            name, self.dials[name], call, watcher, -1.0 if once else 0.0, lambda: self.serves(attempt.engine)
        )

    def cancel(self, attempt: Attempt) -> None:
        """See `EngineTransport`."""
        self.note_unsure(attempt.sequence.sequence_id)
        if attempt.call is not None:
            self.streams.pop(attempt.call.watcher, None)
            attempt.call.cancel()

    def note_unsure(self, label: str) -> None:
        """Remember for a while that an attempt of it may go on unseen, or end well."""
        self.given_up.pop(label, None)
        self.given_up[label] = now = self.clock.seconds()
        while next(iter(self.given_up.values())) < now - GIVEN_UP_FOR:
            del self.given_up[next(iter(self.given_up))]

    def release(self, engine: int, label: str) -> None:
        """See `EngineTransport`."""
        targets = self._told(engine, label)
        _Release(self, targets, label)
        if label in self.given_up:
            # Guards against a read that ended well as its connection closed, and was held after that word,
            # and against an engine that heard the word before it saw the writer's connection close.
            self.second_words += 1
            self.clock.callLater(SURE_AFTER, self._release_again, targets, label)

    def owes(self) -> bool:
        """Whether an engine is still to be told to let go of something."""
        return bool(self.releases) or self.second_words > 0

    def _told(self, engine: int, label: str) -> list[tuple[str, str]]:
        """Names and addresses that a release goes to, in turn: the holder, again, then engines that run.

        Any engine passes it on to all. Guards against a holder that drained and ended while its state had
        moved, or was on its way, to a writer; and, as those heard last come first, against a cut that holds
        off the holder and whoever is next to it in the list.
        """
        first = self.name(engine)
        attempts = next((h.attempts for h in self.host.in_flight.values() if h.sequence_id == label), [])
        names = [self.name(a.engine) for a in reversed(attempts)]
        names += [r.address for r in self.host.decoder.engines.rows if r.state == "serving"]
        others = [n for n in dict.fromkeys(names) if n != first]
        others.sort(key=lambda n: -self.heard_at.get(n, 0.0))
        order = [first, first, *others][: len(RELEASE_TRIES)]
        return [(n, self.dials[n]) for n in order if n in self.dials]

    def _release_again(self, targets: list[tuple[str, str]], label: str) -> None:
        self.second_words -= 1
        _Release(self, targets, label, again=True)

    def at_work(self, label: str) -> bool:
        """Whether an attempt of it is out: its state may be a new one, which a late word would take away."""
        return any(
            h.sequence_id == label and any(a.is_outstanding for a in h.attempts)
            for h in self.host.in_flight.values()
        )

    def probe(
        self, engine: int, timeout: float, then: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """See `EngineTransport`."""
        name, timer = self.name(engine), None

        def answered(sound: bool, body: bytes) -> None:
            if timer.active():
                timer.cancel()
                then(sound, load_of(body) if sound else None)

        def late() -> None:
            pending.cancel()
            then(False, None)

        timer = self.clock.callLater(timeout, late)
        pending = self.pool.ask(name, self.dials[name], Call(b"GET", b"/metrics/load", []), _Once(answered))

    def close_idle(self, engine: int) -> None:
        """See `EngineTransport`."""
        self.pool.close_idle(self.name(engine))

    def forget(self, address: str) -> None:
        """See `EngineTransport`."""
        self.pool.close_idle(address)
        self.dials.pop(address, None)
        self.heard_at.pop(address, None)

    # -- silent streams ---------------------------------------------------------------------------

    def _look(self) -> None:
        """End streams that stopped in the middle of an event, or on which nothing comes any more."""
        self.clock.callLater(LOOK, self._look)
        now = self.clock.seconds()
        for stream in list(self.streams):
            if stream.pending.paused:
                stream.half_since, stream.heard_at = None, now  # it is the client that takes nothing
            elif not stream.owes():
                stream.half_since = None
            elif stream.half_since is None:
                stream.half_since = now
            if stream.half_since is not None and now - stream.half_since > HALF_FOR:
                # Guards against bytes that go on and never become an event: they are no sign of life.
                stream.spoil("half an event")
            elif now - stream.heard_at > SILENT_FOR:
                stream.spoil("silence")


class _Release:
    """Tells engines to let go, one after another on new connections, until one has answered.

    While an attempt of the sequence is out nothing more is said, as its state may be a new one, which a late
    word would take away. What no engine has answered by then is said again once the sequence is over.
    """

    def __init__(
        self, engines: Engines, targets: list[tuple[str, str]], label: str, again: bool = False
    ) -> None:
        self.engines, self.targets, self.label = engines, targets, label
        self.call = Call(b"DELETE", b"/state/" + label.encode(), [])
        self.requests: list[PendingRequest] = []
        self.timer = None
        engines.releases.add(self)
        if again and engines.at_work(label):
            self._wait()
        else:
            self._try()

    def _try(self) -> None:
        engines, tried = self.engines, len(self.requests)
        if tried >= len(self.targets):
            self._over()
            return
        if tried and engines.at_work(self.label):
            self._give_up_tries()
            self._wait()
            return
        name, dial = self.targets[tried]
        self.timer = engines.clock.callLater(RELEASE_TRIES[tried], self._try)
        self.requests.append(
            engines.pool.ask(name, dial, self.call, _Once(self._answered), -1.0 if tried else 0.0)
        )

    def _wait(self) -> None:
        if any(h.sequence_id == self.label for h in self.engines.host.in_flight.values()):
            self.timer = self.engines.clock.callLater(OVER_LOOK, self._wait)
        else:
            self._try()

    def _answered(self, sound: bool, body: bytes) -> None:
        if sound:
            self._over()
        elif self.timer is not None and self.timer.active():
            self.timer.reset(0)  # refused or broken: the next one at once

    def _over(self) -> None:
        self.engines.releases.discard(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self._give_up_tries()

    def _give_up_tries(self) -> None:
        requests, self.requests = self.requests, []
        for pending in requests:
            pending.cancel()
