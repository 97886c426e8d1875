"""The host: calls the module with what happens, and carries out each result in the order it came.

It decides nothing. It owes every result of the contract in `interface.py`, knows no sockets (what it needs of
them is `Carrier`), and keeps one promise of its own: a client is answered at most once, and hears nothing
after.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from myrtlehub import interface as itf
from myrtlehub.config.sheets import EngineRow
from myrtlehub.node.door import Door

NEVER = float("inf")


class ContractBroken(Exception):
    """The module asked for what the terms say it may not ask for."""


class Client(Protocol):
    """Who waits for the answer of one sequence."""

    def tokens(self, raw: bytes) -> None:
        """A token message, as the engine sent it."""

    def generated(self, tokens: int) -> None:
        """Final."""

    def rejected(self, wait: float) -> None:
        """Final; `wait` in seconds."""

    def aborted(self, reason: str) -> None:
        """Final."""


class Carrier(Protocol):
    """Carries attempts to engines and says, through the host, what became of them."""

    def start(self, attempt: "Attempt") -> None:
        """Send it. May not call back before it returns control to the reactor."""

    def cancel(self, attempt: "Attempt") -> None:
        """Reset it at the engine; nothing of it is reported any more."""

    def release(self, engine: int, label: str) -> None:
        """Tell an engine to let go of what it holds for a sequence."""

    def close_idle(self, engine: int) -> None:
        """Close an unused connection."""

    def forget(self, address: str) -> None:
        """The engine is off the list and unused."""


class Attempt:
    """One schedule attempt that is out."""

    __slots__ = ("held", "number", "engine", "reads", "since", "until", "timer", "out", "begun", "state",
                 "call",
                 "paused")

    def __init__(self, held: "Held", number: int, engine: int, reads: bool, since: float,
                 until: float) -> None:
        self.held, self.number, self.engine, self.reads = held, number, engine, reads
        self.since, self.until = since, until
        self.timer = self.call = None
        self.out, self.begun, self.paused = True, False, False
        self.state: object = None  # a writer's: the state it is to fetch


class Held:
    """One sequence that the host holds for the module."""

    __slots__ = ("seq", "label", "asked", "arrival", "client", "since", "abandon_at", "answer", "attempts",
                 "states", "begun", "first_at", "tokens")

    def __init__(self, seq: int, label: str, asked: object, arrival: itf.Arrival, client: Client,
                 now: float) -> None:
        self.seq, self.label, self.asked, self.arrival, self.client = seq, label, asked, arrival, client
        self.since, self.abandon_at = now, now + arrival.time_left
        self.answer = ""  # generated, rejected, aborted or left: from then on nothing is owed
        self.attempts: list[Attempt] = []
        self.states: dict[int, object] = {}  # by engine: state, or None where a read may have left one
        self.begun: Attempt | None = None
        self.first_at = 0.0
        self.tokens = 0


class Host:
    """The module's host: `router` decides, `carrier` moves, `clock` is the node's only clock."""

    def __init__(self, router: object, door: Door, terms: itf.Terms, clock: object, carrier: Carrier,
                 prefix: str = "", log: Callable[..., None] = lambda event, **more: None) -> None:
        self.router, self.door, self.terms, self.clock = router, door, terms, clock
        self.carrier, self.prefix, self.log = carrier, prefix, log
        self.held: dict[int, Held] = {}
        self.answered: Counter[str] = Counter()
        self.taken = self.list_version = 0
        self._next = 0
        self._calls: deque[tuple] = deque()
        self._busy = False
        self._verbs = {name: getattr(self, "_" + name) for name in (
            "send", "release", "cancel", "reject", "abort", "wake", "close", "watch", "relist", "note",
            "done", "hold", "move", "probe", "tell")}
        self.on_idle: Callable[[], None] = lambda: None
        self.reread_list: Callable[[], None] = lambda: None

    # -- calls from outside -----------------------------------------------------------------------

    def start(self) -> None:
        """Once, before all others."""
        self._say("start")

    def list_news(self, rows: list[EngineRow], whole: bool) -> None:
        """A change to the list, or the whole of it, as one call to the module."""
        before = {a: self.door.engines.rows[i].state for a, i in self.door.engines.at.items()}
        listings = self.door.engines.listings(rows, whole, self.door.kinds, self.door.zones,
                                              self.clock.seconds())
        self.list_version += 1
        for row in rows:
            if before.get(row.address, "gone") != row.state:
                self.log("engine", engine=row.address, standing=row.state, list_version=self.list_version)
        if whole:
            for address in sorted(before.keys() - {r.address for r in rows}):
                self.log("engine", engine=address, standing="gone", list_version=self.list_version)
        self._say("engines", listings, whole)
        for address in self.door.engines.sweep():
            self.carrier.forget(address)

    def next_label(self) -> str:
        """The id by which the next sequence taken is known outside."""
        return f"{self.prefix}{self._next}"

    def take(self, asked: object, arrival: itf.Arrival, client: Client) -> Held:
        """A sequence came in. From here on one final answer is owed, before its time is over."""
        label, seq = self.next_label(), self._next
        self._next += 1
        held = self.held[seq] = Held(seq, label, asked, arrival, client, self.clock.seconds())
        self.taken += 1
        self._say("arrive", seq, arrival)
        return held

    def left(self, held: Held) -> None:
        """The client went away: nothing more is owed, and what runs for it is stopped."""
        if held.answer:
            return
        self._answer(held, "left")
        self._say("left", held.seq)
        if held.begun is not None and held.begun.out:
            self._stop(held.begun)

    def out_of_time(self, held: Held, reason: str) -> None:
        """The bound on the whole stream is due, or the node goes: abort what has no answer yet."""
        if held.answer:
            return
        self._answer(held, "aborted")
        held.client.aborted(reason)
        self._say("left", held.seq)
        if held.begun is not None and held.begun.out:
            self._stop(held.begun)

    def began(self, attempt: Attempt, raw: bytes) -> None:
        """The first token message of an attempt."""
        held = attempt.held
        if held.answer or held.begun is not None:
            self._stop(attempt)  # raced with a final answer, or with a copy: nobody reads it
            return
        attempt.begun, held.begun, held.first_at = True, attempt, self.clock.seconds()
        self._disarm(attempt)
        if attempt.state is not None:
            held.states.pop(attempt.state[0], None)
        self._say("began", held.seq, attempt.number, held.first_at - attempt.since)
        self.more(attempt, raw)

    def more(self, attempt: Attempt, raw: bytes) -> None:
        """Token messages go through as they are."""
        held = attempt.held
        if held.begun is attempt and not held.answer:
            held.tokens += 1
            held.client.tokens(raw)

    def ended(self, attempt: Attempt, outcome: str, kept: float = 0.0, load: itf.Load | None = None,
              state: object = None, tokens: int = 0) -> None:
        """How an attempt ended; said once, what comes later is dropped."""
        if not attempt.out:
            return
        held, now = attempt.held, self.clock.seconds()
        attempt.out = False
        self._disarm(attempt)
        if attempt.reads and outcome == itf.READ:
            held.states[attempt.engine] = state
        elif attempt.reads and outcome in (itf.FULL, itf.UNREACHED, itf.UNSENT):
            held.states.pop(attempt.engine, None)
        elif attempt.state is not None and outcome == itf.FULL and kept:
            held.states.pop(attempt.state[0], None)  # it was not there to fetch
        if not held.answer:
            if outcome == itf.GENERATED:
                self._answer(held, "generated", tokens=tokens)
                held.client.generated(tokens)
            elif attempt.begun:
                self._answer(held, "aborted")
                held.client.aborted(f"the stream broke: {outcome}")
        self._say("ended", held.seq, attempt.number, outcome, now - attempt.since, bool(held.answer), kept,
                  load)
        address = self.door.engines.unused(attempt.engine)
        if address:
            self.carrier.forget(address)

    def attempts_out(self) -> int:
        """Schedule attempts that are out."""
        return sum(a.out for h in self.held.values() for a in h.attempts)

    # -- to the module ----------------------------------------------------------------------------

    def _say(self, call: str, *args: object) -> None:
        """Call the module; what results cause is said after all results of this call, never between."""
        self._calls.append((call, args))
        if self._busy:
            return
        self._busy = True
        try:
            while self._calls:
                call, args = self._calls.popleft()
                for result in getattr(self.router, call)(self.clock.seconds(), *args):
                    self._verbs[result[0]](*result[1:])
        finally:
            self._busy = False
        if not self.held:
            self.on_idle()

    # -- results, one method each -----------------------------------------------------------------

    def _send(self, seq: int, engine: int, timeout: float) -> None:
        held, now = self.held[seq], self.clock.seconds()
        kind = self.door.kinds[self.door.engines.rows[engine].kind]
        reads = not self.terms.writes[kind]
        until = min(held.abandon_at, now + timeout if timeout else NEVER)
        attempt = Attempt(held, len(held.attempts), engine, reads, now, until)
        held.attempts.append(attempt)
        self.door.engines.used(engine)
        if reads:
            held.states[engine] = None
        else:
            known = [(e, s) for e, s in held.states.items() if s is not None]
            attempt.state = known[-1] if known else None
        if held.answer:
            self._later_unsent(attempt)
            return
        attempt.timer = self.clock.callLater(max(0.0, until - now), self._timed_out, attempt)
        self.carrier.start(attempt)

    def _later_unsent(self, attempt: Attempt) -> None:
        self.clock.callLater(0, self.ended, attempt, itf.UNSENT)

    def _release(self, seq: int) -> None:
        held = self.held[seq]
        used = {a.engine if a.reads else a.state[0] for a in held.attempts
                if a.out and (a.reads or a.state is not None)}
        for engine in [e for e in held.states if e not in used]:
            del held.states[engine]
            self.carrier.release(engine, held.label)

    def _cancel(self, seq: int, number: int) -> None:
        attempt = self.held[seq].attempts[number]
        if attempt.out and not attempt.begun:
            self._stop(attempt)

    def _reject(self, seq: int, wait: float) -> None:
        held = self.held[seq]
        if not held.answer:
            self._answer(held, "rejected", wait=wait)
            held.client.rejected(wait)

    def _abort(self, seq: int) -> None:
        held = self.held[seq]
        if not held.answer:
            self._answer(held, "aborted")
            held.client.aborted("no engine could answer in time, and it may have run")

    def _wake(self, delay: float, token: int) -> None:
        self.clock.callLater(delay, self._say, "wake", token)

    def _close(self, engine: int) -> None:
        self.carrier.close_idle(engine)

    def _watch(self, on: bool) -> None:
        """Sources hand over news without being asked; only terms with `ask_for_list` bring this result."""

    def _relist(self) -> None:
        self.reread_list()

    def _note(self, text: str) -> None:
        self.log("note", text=text)

    def _done(self, seq: int) -> None:
        del self.held[seq]

    def _hold(self, *args: object) -> None:
        raise ContractBroken(f"a result that the terms rule out: {args}")

    _move = _probe = _tell = _hold

    # -- small steps ------------------------------------------------------------------------------

    def _answer(self, held: Held, answer: str, **more: object) -> None:
        held.answer = answer
        self.answered[answer] += 1
        first = round(held.first_at - held.since, 4) if held.first_at else None
        row = self.door.rows[held.arrival.traffic]
        self.log("answer", seq=held.label, answer=answer, traffic_type=row.name, attempts=len(held.attempts),
                 first_token=first, took=round(self.clock.seconds() - held.since, 4), **more)

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.out:
            self.carrier.cancel(attempt)
            self.ended(attempt, itf.TIMEOUT)

    def _stop(self, attempt: Attempt) -> None:
        if attempt.out:
            self.carrier.cancel(attempt)
            self.ended(attempt, itf.CANCELLED)

    def _disarm(self, attempt: Attempt) -> None:
        if attempt.timer is not None and attempt.timer.active():
            attempt.timer.cancel()
        attempt.timer = None
