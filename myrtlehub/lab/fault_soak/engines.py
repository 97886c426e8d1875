"""Engines that read, hold state and write streams, over HTTP/1.1, with faults on demand."""

import random
import time
from collections.abc import Callable

import h11
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory, Protocol

from myrtlehub.lab.fault_proxy import HOST, FaultProxy
from myrtlehub.lab.fault_soak.fleet_settings import READER
from myrtlehub.lab.fault_soak.records import AttemptEnd, AttemptRecord, HeldState, RunRecords
from myrtlehub.lab.interfaces import Reactor

READ_S = (0.02, 0.25)  # that a read takes
FIRST_EVENT_S = (0.01, 0.15)  # from the last byte of a request to the first event of its stream
EVENT_INTERVAL_S = (0.01, 0.12)
EVENT_COUNT = (2, 8)
ENGINE_KEEPS_STATE_S = 8.0  # after which an engine frees a state by itself
CROSSING_S = 0.05  # in which a read that is given up may still end well
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":2}}\n\n'
DONE = b"data: [DONE]\n\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
READ_BODY = b'{"cached_tokens":0}'
HALF_EVENT = b"40\r\ndata: {"
SPOILT = (HALF_EVENT, b"zz\r\n", b"4\r\nnope\r\n")


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def response(status: int, turned_away: bool = False, body: bytes = b"") -> bytes:
    """Return a small response."""
    mark = b"X-Turned-Away: 1\r\n" if turned_away else b""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, mark, len(body), body)


class StateStore:
    """What all readers hold, by request; a writer fetches it, a release at any engine frees all of it."""

    def __init__(self, records: RunRecords) -> None:
        self._records = records
        self._held: dict[str, list[HeldState]] = {}
        self._was_read: set[str] = set()

    def hold(self, request_id: str, engine: str) -> HeldState:
        """Hold what a read has left."""
        state = HeldState(request_id, engine, time.monotonic())
        self._held.setdefault(request_id, []).append(state)
        self._records.states.append(state)
        self._was_read.add(request_id)
        return state

    def free(self, request_id: str) -> bool:
        """Free all that is held for a request; returns whether anything was."""
        held = self._held.pop(request_id, [])
        for state in held:
            state.until = time.monotonic()
        return bool(held)

    def free_engine(self, engine: str) -> None:
        """Free what an engine holds: it has ended."""
        for request_id, held in list(self._held.items()):
            if any(state.engine == engine for state in held):
                self.free(request_id)

    def is_missing(self, request_id: str) -> bool:
        """Tell whether a request's prompt was read, and nothing is held of it any more."""
        return request_id in self._was_read and request_id not in self._held


class Engine(Factory):
    """One engine behind a fault proxy; the flags are faults, which begin and end with their troubles."""

    noisy = False

    def __init__(
        self, reactor: Reactor, name: str, store: StateStore, records: RunRecords, seed: int
    ) -> None:
        self.reactor = reactor
        self.name = name
        self.store = store
        self.records = records
        self.random = random.Random(seed)
        self.connections: set[EngineConnection] = set()
        self.born_ms = 0.0
        self.is_full = False
        self.fails = False
        self.hangs = False
        self.resets = False
        self.spoils = False
        self._port: IListeningPort = reactor.listenTCP(0, self, interface=HOST)
        self.proxy = FaultProxy(reactor, f"{HOST}:{self._port.getHost().port}").listen()

    @property
    def reads(self) -> bool:
        """Whether it reads, and does not write."""
        return self.name.startswith(READER)

    def buildProtocol(self, addr: object) -> "EngineConnection":  # noqa: N802
        """Return the protocol of a new connection."""
        return EngineConnection(self)

    def stop(self) -> None:
        """End: all that runs and is held is lost, and nobody is let in."""
        self.proxy.cut()
        self.reset_connections()
        self.store.free_engine(self.name)

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def start(self) -> None:
        """Begin anew, cold."""
        self.born_ms = time.time() * 1000
        self.proxy.restore()


class EngineConnection(Protocol):
    """One connection of a node."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.http = h11.Connection(h11.SERVER)
        self.attempt: AttemptRecord | None = None
        self.is_lost = False
        self._head: h11.Request | None = None
        self._first_byte_at: float | None = None
        self._read_ends_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Note it."""
        self.transport.setTcpNoDelay(True)
        self.engine.connections.add(self)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """End what runs; a read that is about to end may end well all the same."""
        self.is_lost = True
        self.engine.connections.discard(self)
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        self._end(attempt, AttemptEnd.LOST)
        remaining = self._read_ends_at - time.monotonic()
        if attempt.reads and 0.0 < remaining < CROSSING_S and not self.engine.proxy.is_cut:
            self._later(remaining, self._hold, attempt.id)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests, one at a time."""
        if self._first_byte_at is None:
            self._first_byte_at = time.monotonic()
        self.http.receive_data(data)
        while self.attempt is None:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or type(event) is h11.ConnectionClosed:
                return
            if type(event) is h11.Request:
                self._head = event
            elif type(event) is h11.EndOfMessage:
                self._take(self._head)

    def _take(self, head: h11.Request) -> None:
        first_byte_at, self._first_byte_at = self._first_byte_at, None
        self.http = h11.Connection(h11.SERVER)
        if head.method == b"DELETE":
            self.engine.store.free(head.target.decode().rpartition("/")[2])
            if not self.engine.hangs:
                self.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        fields = dict(head.headers)
        self.attempt = AttemptRecord(
            fields[b"x-txn"].decode(),
            self.engine.name,
            self.engine.reads,
            first_byte_at,
            time.monotonic(),
            int(fields[b"x-remaining-ms"]),
        )
        self.engine.records.attempts.append(self.attempt)
        self._respond(self.attempt)

    def _respond(self, attempt: AttemptRecord) -> None:
        engine = self.engine
        if engine.is_full:
            self._answer(attempt, AttemptEnd.TURNED_AWAY, response(503, turned_away=True))
        elif engine.hangs:
            return
        elif engine.fails:
            self._later(0.02, self._answer, attempt, AttemptEnd.FAILED, response(500))
        elif attempt.reads:
            delay = engine.random.uniform(*READ_S)
            self._read_ends_at = time.monotonic() + delay
            self._later(delay, self._read, attempt)
        elif engine.store.is_missing(attempt.id):
            self._answer(attempt, AttemptEnd.TURNED_AWAY, response(410, turned_away=True))
        else:
            self._later(engine.random.uniform(*FIRST_EVENT_S), self._begin_stream, attempt)

    def _read(self, attempt: AttemptRecord) -> None:
        if self.attempt is not attempt:
            return
        self._hold(attempt.id)
        if self.engine.resets:
            self.transport.abortConnection()
            return
        self._answer(attempt, AttemptEnd.FINISHED, response(202, body=READ_BODY))

    def _hold(self, request_id: str) -> None:
        state = self.engine.store.hold(request_id, self.engine.name)
        self._later(ENGINE_KEEPS_STATE_S, self._free_by_itself, state)

    def _free_by_itself(self, state: HeldState) -> None:
        if state.until is None:
            self.engine.store.free(state.id)

    def _begin_stream(self, attempt: AttemptRecord) -> None:
        if self.attempt is not attempt:
            return
        self.engine.store.free(attempt.id)
        self.transport.write(STREAM_HEAD)
        self._stream(attempt, self.engine.random.randint(*EVENT_COUNT))

    def _stream(self, attempt: AttemptRecord, left: int) -> None:
        if self.attempt is not attempt:
            return
        draw = self.engine.random
        if self.engine.resets and draw.random() < 0.5:
            self.transport.abortConnection()
        elif self.engine.spoils and draw.random() < 0.5:
            self.transport.write(draw.choice(SPOILT))  # and nothing more
        elif left:
            attempt.events += 1
            self.transport.write(chunk(EVENT))
            self._later(draw.uniform(*EVENT_INTERVAL_S), self._stream, attempt, left - 1)
        else:
            attempt.events += 2
            second = response(200, body=b"late") if self.engine.spoils else b""
            end = chunk(USAGE) + chunk(DONE) + LAST_CHUNK
            self._answer(attempt, AttemptEnd.FINISHED, end)
            if second:
                self._later(0.003, self._write, second)

    def _answer(self, attempt: AttemptRecord, end: AttemptEnd, data: bytes) -> None:
        if self.attempt is not attempt:
            return
        self.attempt = None
        self._end(attempt, end)
        self.transport.write(data)

    def _write(self, data: bytes) -> None:
        if not self.is_lost:
            self.transport.write(data)

    def _end(self, attempt: AttemptRecord, end: AttemptEnd) -> None:
        attempt.end = end
        attempt.ended_at = time.monotonic()

    def _later(self, delay: float, call: Callable[..., None], *arguments: object) -> None:
        self.engine.reactor.callLater(delay, call, *arguments)
