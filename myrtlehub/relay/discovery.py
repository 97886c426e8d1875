"""Follows the list of engines at the platform's discovery: the whole of it first, then a watch."""

from collections.abc import Callable
from random import Random

from myrtlehub.http1.client import Call, ConnectionPool, PendingRequest, Watcher
from myrtlehub.relay.bootstrap import Desk, ListUpdate, Malformed, read_json

PATH = b"/discovery/hosts"
# A change counts as told 6 s after discovery had it. At the worst a watch falls silent just after it was
# sent, and the next connection is slow: WATCH, ANSWER_WITHIN, CALL_AGAIN, DIAL_WITHIN and ANSWER_WITHIN, in
# all 5.12 s.
WATCH = 2.0  # seconds that a watch may wait: an agent that went silent is noticed that soon
ANSWER_WITHIN = 1.0  # seconds for an answer beyond that wait
DIAL_WITHIN = 1.0  # seconds for a connection to stand
# Seconds from call to call while there is no list: what the agent has counts as told from the moment at
# which it has it, a call that it took while it was silent is never answered, and the least grace is 250 ms.
CALL_AGAIN = 0.12
LIST_MOST = 4 * 1024 * 1024  # bytes of one answer


class _Answer(Watcher):
    def __init__(self, then: Callable[[bytes | None], None]) -> None:
        self.then, self.parts, self.size, self.status = then, [], 0, 0

    def head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.status = status

    def data(self, data: bytes) -> None:
        self.size += len(data)
        if self.size <= LIST_MOST:
            self.parts.append(data)

    def ended(self) -> None:
        self.then(b"".join(self.parts) if self.status == 200 and self.size <= LIST_MOST else None)

    def broke(self, sent: bool) -> None:
        self.then(None)


class Discovery:
    """`tell(update)` is called with each whole list and each change, in order."""

    def __init__(
        self,
        clock: object,
        pool: ConnectionPool,
        address: str,
        desk: Desk,
        tell: Callable[[ListUpdate], None],
        random: Random,
        log: Callable[..., None] = lambda event, **more: None,
    ) -> None:
        self.clock, self.pool, self.address, self.desk, self.tell = clock, pool, address, desk, tell
        self.random, self.log = random, log
        self.version: int | None = None  # None: the whole list is to be read next
        self.heard = False
        self._fails = 0
        self._pending: list[PendingRequest] = []  # calls that are out; more than one only while it is silent
        self._timers: list = []
        self._closed = False

    def start(self) -> None:
        """Call for the list, and go on from there."""
        self._call()

    def move(self, address: str) -> None:
        """From now on at another address: its first answer is the whole list."""
        if address == self.address:
            return
        self._stop()
        self.pool.close_idle(self.address)
        self.address, self.version, self._fails = address, None, 0
        self._call()

    def close(self) -> None:
        """The node ends."""
        self._closed = True
        self._stop()

    def _stop(self) -> None:
        """No call is out any more, and none is due."""
        timers, self._timers = self._timers, []
        for timer in timers:
            if timer.active():
                timer.cancel()
        requests, self._pending = self._pending, []
        for pending in requests:
            pending.cancel()

    def _later(self, delay: float, call: Callable, *args: object) -> None:
        self._timers = [t for t in self._timers if t.active()]
        self._timers.append(self.clock.callLater(delay, call, *args))

    def _call(self) -> None:
        wait, target = 0.0, PATH
        if self.version is not None:
            wait = WATCH
            target += b"?since=%d&timeout_ms=%d" % (self.version, WATCH * 1000)
        answer = _Answer(lambda body: self._answered(pending, body))
        pending = self.pool.ask(self.address, self.address, Call(b"GET", target, []), answer)
        self._pending.append(pending)
        self._later(wait + ANSWER_WITHIN, self._late, pending, wait)
        if self.version is None:
            # beside the one that is out, which is left its time: this process may itself be late to read
            self._later(CALL_AGAIN, self._call)

    def _late(self, pending: PendingRequest, wait: float) -> None:
        """Give it up once its connection has stood for as long as an answer may take.

        Guards against calls given up just as their connection stands, again and again, where each takes
        almost as long to stand as an answer may.
        """
        if pending not in self._pending:
            return
        left = pending.stands_since + wait + ANSWER_WITHIN - self.clock.seconds()
        if pending.dialing is not None or left > 0.001:
            self._later(max(left, CALL_AGAIN), self._late, pending, wait)
            return
        pending.cancel()
        self._answered(pending, None)

    def _answered(self, pending: PendingRequest, body: bytes | None) -> None:
        if self._closed or pending not in self._pending:
            return
        self._pending.remove(pending)
        try:
            if body is None:
                raise Malformed("no answer")
            update = self.desk.update(read_json(body), self.clock.seconds())
            if self.version is None and not update.whole:
                raise Malformed("whole: the first answer has to be the whole list")
        except Malformed as fault:
            self._failed(str(fault))
            return
        if self._fails:
            self.log("discovery is back", after=self._fails)
        self._stop()
        self._fails, self.version, self.heard = 0, update.version, True
        if update.lines or update.whole:
            self.tell(update)
        # a turn later, so that answers at once are no recursion; a watch is renewed well within its 200 ms
        self._later(0, self._call)

    def _failed(self, why: str) -> None:
        """Begin with the whole list, and call again and again until it is there."""
        self._fails += 1
        if self._fails == 1:
            self.log("discovery does not answer", why=why)
        if self.version is not None:
            self.version = None
            self._later(CALL_AGAIN * (0.5 + 0.5 * self.random.random()), self._call)
