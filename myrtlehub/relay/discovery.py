"""Follows the list of engines at the platform's discovery: the whole of it first, then a watch."""

from collections.abc import Callable
from random import Random

import msgspec

from myrtlehub.http1.client import Asking, Call, Pool, Watcher
from myrtlehub.relay.told import BadNews, Desk, News

PATH = b"/discovery/hosts"
WATCH = 2.0  # seconds that a watch may wait: an agent that went silent is noticed that soon
ANSWER_WITHIN = 1.0  # seconds for an answer beyond that wait
BACK_OFF = (0.1, 1.0)  # seconds until a failed call is made again, the first and the longest
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
    """`tell(news)` is called with each whole list and each change, in order."""

    def __init__(self, clock: object, pool: Pool, address: str, desk: Desk, tell: Callable[[News], None],
                 random: Random, log: Callable[..., None] = lambda event, **more: None) -> None:
        self.clock, self.pool, self.address, self.desk, self.tell = clock, pool, address, desk, tell
        self.random, self.log = random, log
        self.version: int | None = None  # None: the whole list is to be read next
        self.heard = False
        self._fails = 0
        self._asking: Asking | None = None
        self._timer = None
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
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._asking is not None:
            self._asking.cancel()
            self._asking = None

    def _call(self) -> None:
        wait, target = 0.0, PATH
        if self.version is not None:
            wait = WATCH
            target += b"?since=%d&timeout_ms=%d" % (self.version, WATCH * 1000)
        self._timer = self.clock.callLater(wait + ANSWER_WITHIN, self._late)
        self._asking = self.pool.ask(self.address, self.address, Call(b"GET", target, []),
                                     _Answer(self._answered))

    def _late(self) -> None:
        self._asking.cancel()
        self._answered(None)

    def _answered(self, body: bytes | None) -> None:
        self._asking = None
        if self._timer.active():
            self._timer.cancel()
        if self._closed:
            return
        try:
            if body is None:
                raise BadNews("no answer")
            news = self.desk.news(msgspec.json.decode(body), self.clock.seconds())
            if self.version is None and not news.whole:
                raise BadNews("whole: the first answer has to be the whole list")
        except (BadNews, msgspec.DecodeError) as fault:
            self._failed(str(fault))
            return
        if self._fails:
            self.log("discovery is back", after=self._fails)
        self._fails, self.version, self.heard = 0, news.version, True
        if news.lines or news.whole:
            self.tell(news)
        # a turn later, so that answers at once are no recursion; a watch is renewed well within its 200 ms
        self._timer = self.clock.callLater(0, self._call)

    def _failed(self, why: str) -> None:
        self.version = None
        self._fails += 1
        if self._fails == 1:
            self.log("discovery does not answer", why=why)
        pause = min(BACK_OFF[1], BACK_OFF[0] * 2 ** min(self._fails - 1, 8))
        self._timer = self.clock.callLater(pause * (0.5 + self.random.random()), self._call)
