"""Clients of the nodes: patient ones, and such that leave, stop midway, pipeline, rest or stay idle."""

import random
import time
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple
from zlib import crc32

import h11
from twisted.internet.protocol import ClientFactory, Protocol

from myrtlehub.lab.fault_soak.fleet_settings import ASK, KEEP, LONG_PROMPT, POST, SHORT_PROMPT
from myrtlehub.lab.fault_soak.records import RequestRecord, ResponseEnd, RunRecords
from myrtlehub.lab.interfaces import Reactor

TIME_LEFT_MS = (600, 2500)
TRAFFIC = (ASK, ASK, POST, KEEP)
PATIENCE_S = 8.0  # after its deadline, until a client closes by itself
LEAVES_WITHIN_S = 0.6
RESTS_S = (0.0, 5.5)  # from a response to the next request: nodes close what lies unused for 5 s
HALF_REQUEST_PATIENCE_S = 6.0  # of a client that stops midway, to see its error or close
EVENT_END = b"\n\n"


class Manner(StrEnum):
    """How a client behaves."""

    PATIENT = "patient"
    LEAVES = "leaves"  # at some moment before its answer, or within it
    PIPELINES = "pipelines"  # sends some requests at once
    STOPS_MIDWAY = "stops midway"  # sends half a request, and stays
    IDLE = "idle"  # sends nothing


MANNERS = (Manner.PATIENT,) * 12 + (Manner.LEAVES,) * 5 + (Manner.PIPELINES, Manner.STOPS_MIDWAY, Manner.IDLE)


class HalfRequest(NamedTuple):
    """A request that its client left unfinished, and when the node had closed it."""

    node: int
    sent_at: float
    closed_at: float


def chat_request(request_id: str, traffic: str, prompt: int, time_left_ms: int) -> bytes:
    """Return the bytes of a request."""
    body = b'{"model":"chat","messages":[]}'
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: service\r\nX-Txn: %s\r\nX-Lane: %s\r\n"
        b"X-Entity: s%d\r\nX-Remaining-Ms: %d\r\nX-Labels: prompt_len=%d,max_out=60\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (
            request_id.encode(),
            traffic.encode(),
            crc32(request_id.encode()) % 50,
            time_left_ms,
            prompt,
            len(body),
            body,
        )
    )


class ClientPopulation:
    """All clients of all nodes: each node gets requests at random times."""

    def __init__(self, reactor: Reactor, records: RunRecords, seed: int, rate: float) -> None:
        self.reactor = reactor
        self.records = records
        self.random = random.Random(seed)
        self.rate = rate  # of clients that come to a node, a second
        self.half_requests: list[HalfRequest] = []
        self.is_stopped = False
        self._count = 0

    def serve_node(self, node: int, address: Callable[[], str | None]) -> None:
        """Send clients to a node; `address()` is None while none may come."""
        if self.is_stopped:
            return
        self.reactor.callLater(self.random.expovariate(self.rate), self.serve_node, node, address)
        place = address()
        if place is not None:
            self.connect(node, place, self.random.choice(MANNERS))

    def connect(self, node: int, address: str, manner: Manner) -> None:
        """Connect a client."""
        host, port = address.rsplit(":", 1)
        self.reactor.connectTCP(host, int(port), _ClientFactory(self, node, manner))

    def new_request(self, node: int, is_first: bool) -> tuple[RequestRecord, bytes]:
        """Make a request, and record it as sent now."""
        self._count += 1
        draw = self.random
        request_id = f"n{node}-{self._count}"
        traffic = draw.choice(TRAFFIC)
        time_left_ms = draw.randint(*TIME_LEFT_MS)
        record = RequestRecord(request_id, node, traffic, time.monotonic(), time_left_ms / 1e3, is_first)
        self.records.requests[request_id] = record
        prompt = draw.choice((SHORT_PROMPT, LONG_PROMPT))
        return record, chat_request(request_id, traffic, prompt, time_left_ms)


class _ClientFactory(ClientFactory):
    noisy = False

    def __init__(self, population: ClientPopulation, node: int, manner: Manner) -> None:
        self.population = population
        self.node = node
        self.manner = manner

    def buildProtocol(self, addr: object) -> "ClientPeer":  # noqa: N802
        return ClientPeer(self.population, self.node, self.manner)


class ClientPeer(Protocol):
    """One client's connection."""

    def __init__(self, population: ClientPopulation, node: int, manner: Manner) -> None:
        self.population = population
        self.node = node
        self.manner = manner
        self.open: list[RequestRecord] = []  # sent and not answered, in their order
        self.has_closed = False
        self.is_lost = False
        self._http = h11.Connection(h11.CLIENT)
        self._body = b""
        self._is_first = True
        self._half_sent_at: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Behave as this client does."""
        self.transport.setTcpNoDelay(True)
        draw = self.population.random
        if self.manner == Manner.IDLE:
            return
        if self.manner == Manner.STOPS_MIDWAY:
            data = chat_request(f"half{id(self)}", ASK, SHORT_PROMPT, 2000)
            self._half_sent_at = time.monotonic()
            self.transport.write(data[: draw.randint(1, len(data) - 1)])
            self._later(HALF_REQUEST_PATIENCE_S, self._close)
            return
        for _ in range(draw.randint(2, 4) if self.manner == Manner.PIPELINES else 1):
            self._send()
        if self.manner == Manner.LEAVES:
            self._later(draw.uniform(0.0, LEAVES_WITHIN_S), self._leave)

    def _send(self) -> None:
        if self.is_lost or self.has_closed:
            return
        record, data = self.population.new_request(self.node, self._is_first)
        record.before = self.open[-1] if self.open else None
        self._is_first = False
        self.open.append(record)
        self.transport.write(data)
        self._later(record.time_left + PATIENCE_S, self._give_up, record)

    def _later(self, delay: float, call: Callable[..., None], *arguments: object) -> None:
        self.population.reactor.callLater(delay, call, *arguments)

    def _leave(self) -> None:
        if self.is_lost or not self.open:
            return
        now = time.monotonic()
        for record in self.open:
            record.left_at = record.ended_at = now
            record.end = ResponseEnd.CLIENT_LEFT
        self.open = []
        self.has_closed = True
        if self.population.random.random() < 0.5:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def _give_up(self, record: RequestRecord) -> None:
        if record in self.open:
            self._close()

    def _close(self) -> None:
        self.has_closed = True
        if not self.is_lost:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read responses, each of which belongs to the first request that is open."""
        if self.has_closed or not self.open:
            return
        self._http.receive_data(data)
        while self.open:
            if self._http.our_state is h11.IDLE:
                self._http.send(h11.Request(method="POST", target="/", headers=[("Host", "s")]))
                self._http.send(h11.EndOfMessage())
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._close()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED or type(event) is h11.ConnectionClosed:
                return
            self._take(event)

    def _take(self, event: h11.Event) -> None:
        record = self.open[0]
        if type(event) is h11.Response:
            record.status = event.status_code
            self._body = b""
        elif type(event) is h11.Data:
            self._body += bytes(event.data)
            record.events = self._body.count(EVENT_END)
        elif type(event) is h11.EndOfMessage:
            record.ended_at = time.monotonic()
            record.end = ResponseEnd.COMPLETE
            del self.open[0]
            if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                self._http.start_next_cycle()
            if not self.open and self.manner == Manner.PATIENT:
                self._later(self.population.random.uniform(*RESTS_S), self._send)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Note how what is open has ended."""
        self.is_lost = True
        now = time.monotonic()
        if self._half_sent_at is not None:
            half = HalfRequest(self.node, self._half_sent_at, now)
            self.population.half_requests.append(half)
        if self.has_closed:
            return
        for record in self.open:
            record.ended_at = now
            record.end = ResponseEnd.CUT if record.status else ResponseEnd.UNANSWERED
        self.open = []
