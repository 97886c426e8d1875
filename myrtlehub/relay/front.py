"""The front for clients: requests as arrivals, the host's word as answers. Decides nothing."""

from collections.abc import Callable

from myrtlehub.http1.server import Exchange
from myrtlehub.node.action_executor import ActionExecutor, InFlightSequence
from myrtlehub.relay.bootstrap import HELD_MOST, Desk, Refused

READY, CHAT = b"/up", b"/v1/chat/completions"
STREAM = ((b"Content-Type", b"text/event-stream"),)


class _Waiting:
    """One client whose sequence is held: the host's ResponseSink."""

    def __init__(self, front: "Front", exchange: Exchange, label: str) -> None:
        self.front, self.exchange, self.label = front, exchange, label
        self.held: InFlightSequence | None = None
        exchange.on_lost, exchange.on_pause, exchange.on_resume = self._lost, self._pause, self._resume

    def tokens(self, raw: bytes) -> None:
        if not self.exchange.begun:
            self.exchange.begin(200, STREAM)
        self.exchange.send(raw)

    def generated(self, tokens: int) -> None:
        self._over()
        self.exchange.finish()

    def rejected(self, wait: float) -> None:
        self._over()
        self.exchange.answer(503, ((b"Retry-After", b"%.3f" % wait),) if wait else ())

    def aborted(self, reason: str) -> None:
        self._over()
        if self.exchange.begun:
            self.exchange.cut()
        else:
            self.exchange.answer(502)

    def _over(self) -> InFlightSequence | None:
        """Nothing more is said; what was held.

        Guards against memory that only the collector would free, seconds to minutes later: exchange, this and
        what the host holds refer to one another, with the whole request.
        """
        self.front.open.pop(self.label, None)
        held, self.held = self.held, None
        self.exchange.let_go()
        return held

    def _lost(self) -> None:
        held = self._over()
        if held is not None:
            self.front.host.client_left(held)

    def _pause(self) -> None:
        attempt = self.held.streaming_attempt if self.held is not None else None
        if attempt is not None and attempt.is_outstanding:
            attempt.call.pause()

    def _resume(self) -> None:
        attempt = self.held.streaming_attempt if self.held is not None else None
        if attempt is not None and attempt.is_outstanding:
            attempt.call.resume()


class Front:
    """What is asked on any client's connection comes here."""

    def __init__(self, host: ActionExecutor, desk: Desk, most: int = HELD_MOST) -> None:
        self.host, self.desk, self.most = host, desk, most
        self.open: dict[str, _Waiting] = {}  # by the client's id
        self.ready: Callable[[], bool] = lambda: True
        self.refused = 0  # malformed requests so far

    def asked(self, exchange: Exchange) -> None:
        """A whole request."""
        request = exchange.request
        path = request.target.partition(b"?")[0]
        if path == READY:
            if request.method != b"GET":
                self._refuse(exchange, 405)
            else:
                exchange.answer(200 if self.ready() else 503)
        elif path != CHAT:
            self._refuse(exchange, 404)
        elif request.method != b"POST":
            self._refuse(exchange, 405)
        else:
            self._take(exchange)

    def _refuse(self, exchange: Exchange, status: int, why: str = "") -> None:
        """The client's error: said at once, and its connection is closed."""
        self.refused += 1
        self.host.log("refused", status=status, why=why)
        exchange.answer(status, close=True)

    def _take(self, exchange: Exchange) -> None:
        try:
            label, asked, arrival = self.desk.arrival(exchange.request, self.host.clock.seconds())
            if label in self.open:
                raise Refused(409, "X-Txn is that of an open request")
        except Refused as fault:
            self._refuse(exchange, fault.status, str(fault))
            return
        waiting = _Waiting(self, exchange, label)
        if len(self.host.in_flight) >= self.most:
            waiting.rejected(self.host.config.max_retry_after)  # not taken: nothing ran
            return
        self.open[label] = waiting
        held = self.host.accept(asked, arrival, waiting, label)
        if label in self.open:  # else it was answered at once
            waiting.held = held
