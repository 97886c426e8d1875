"""One client's connection to a node, and how the client behaves on it."""

import random
import time
from collections import defaultdict
from enum import StrEnum
from typing import NamedTuple, Protocol

import h11

from myrtlehub.lab.fault_soak.chat_request import chat_request
from myrtlehub.lab.fault_soak.fleet_settings import SHORT_PROMPT_TOKENS
from myrtlehub.lab.fault_soak.records import (
    IncompleteRequest,
    RequestRecord,
    ResponseEnd,
    RunRecords,
    TrafficType,
)
from myrtlehub.lab.fault_soak.tcp_peer import TcpPeer
from myrtlehub.lab.interfaces import Reactor

PATIENCE_S = 8.0  # a client closes its connection this long after the deadline of an unanswered request
MAX_DISCONNECT_DELAY_S = 0.6  # from connecting until a disconnecting client closes its connection
IDLE_PERIOD_S = (0.0, 5.5)  # from a response to the next request; nodes close idle connections after 5 s
INCOMPLETE_REQUEST_PATIENCE_S = 6.0  # until the client of an incomplete request closes the connection
INCOMPLETE_REQUEST_TIME_LEFT_MS = 2000
BURST_REQUESTS = (1, 4)  # that a bursting client sends at once
MAX_BURSTS = 20  # of one connection, unless its node was terminated
# After SIGTERM to its node, until an idle client sends again.
HURRIED_START_S = (0.0, 0.4)
HURRIED_INTERVAL_S = 0.02  # from then on, from a response to the next request
PIPELINED_REQUESTS = (2, 4)
RESET_SHARE = 0.5  # of disconnects that reset the connection; the others close it gracefully
EVENT_BEGIN = b"data: "


class ClientBehavior(StrEnum):
    """How a client behaves on its connection."""

    PATIENT = "patient"  # waits for each answer, idles, and sends the next request
    DISCONNECTING = "disconnecting"  # closes the connection before or during the answer
    BURSTING = "bursting"  # sends one burst of requests after another, as long as the connection is open
    PIPELINING = "pipelining"  # sends several requests at once
    INCOMPLETE = "incomplete"  # sends a part of a request, and waits
    SILENT = "silent"  # sends nothing


class SentRequest(NamedTuple):
    """A request that is to be sent now."""

    record: RequestRecord
    data: bytes


class Population(Protocol):
    """The interface of the set of simulated clients that a connection uses."""

    reactor: Reactor
    records: RunRecords
    random: random.Random
    connections: "defaultdict[int, set[ClientConnection]]"

    def new_request(self, node: int, previous: RequestRecord | None, is_first: bool) -> SentRequest:
        """Make a request, and record it as sent now."""


class ClientConnection(TcpPeer):
    """A client's connection to a node.

    Attributes:
        open_requests: Requests without a complete answer, in the order in which they were sent.
        has_closed: The client has closed the connection.
        is_lost: The connection is closed.
    """

    def __init__(self, population: Population, node: int, behavior: ClientBehavior) -> None:
        self.population = population
        self.node = node
        self.behavior = behavior
        self.open_requests: list[RequestRecord] = []
        self.has_closed = False
        self.is_lost = False
        self._http = h11.Connection(h11.CLIENT)
        self._body = b""
        self._is_first = True
        self._incomplete_sent_at: float | None = None
        self._burst_count = 0
        self._is_hurried = False
        self._abandoned: list[RequestRecord] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Start the client's behavior: send its first requests, or a part of one, or nothing."""
        super().connectionMade()
        self.population.connections[self.node].add(self)
        draw = self.population.random
        match self.behavior:
            case ClientBehavior.INCOMPLETE:
                self._send_incomplete()
            case ClientBehavior.PIPELINING:
                for _ in range(draw.randint(*PIPELINED_REQUESTS)):
                    self._send()
            case ClientBehavior.BURSTING:
                self._send_burst()
            case ClientBehavior.DISCONNECTING:
                self._send()
                self.population.reactor.callLater(draw.uniform(0.0, MAX_DISCONNECT_DELAY_S), self._disconnect)
            case ClientBehavior.PATIENT:
                self._send()

    def node_terminated(self) -> None:
        """Use the connection for as long as it is open: the node has got SIGTERM."""
        self._is_hurried = True
        if self.behavior == ClientBehavior.PATIENT and not self.open_requests:
            self.population.reactor.callLater(
                self.population.random.uniform(*HURRIED_START_S), self._send_unless_waiting
            )

    def _send_unless_waiting(self) -> None:
        if not self.open_requests:
            self._send()

    def _send_incomplete(self) -> None:
        data = chat_request(
            f"half{id(self)}", TrafficType.IDEMPOTENT, SHORT_PROMPT_TOKENS, INCOMPLETE_REQUEST_TIME_LEFT_MS
        )
        self._incomplete_sent_at = time.monotonic()
        self.transport.write(data[: self.population.random.randint(1, len(data) - 1)])
        self.population.reactor.callLater(INCOMPLETE_REQUEST_PATIENCE_S, self._close)

    def _send(self) -> None:
        if self.is_lost or self.has_closed:
            return
        previous = self.open_requests[-1] if self.open_requests else None
        request = self.population.new_request(self.node, previous, self._is_first)
        self._is_first = False
        self.open_requests.append(request.record)
        self.transport.write(request.data)
        self.population.reactor.callLater(
            request.record.time_left_s + PATIENCE_S, self._give_up, request.record
        )

    def _send_burst(self) -> None:
        if self._burst_count < MAX_BURSTS or self._is_hurried:
            self._burst_count += 1
            for _ in range(self.population.random.randint(*BURST_REQUESTS)):
                self._send()

    def _disconnect(self) -> None:
        if self.is_lost or not self.open_requests:
            return
        now = time.monotonic()
        self._abandoned = self.open_requests
        for record in self._abandoned:
            record.disconnected_at = now
        self._end_open_requests(now, ResponseEnd.CLIENT_DISCONNECTED)
        self.has_closed = True
        if self.population.random.random() < RESET_SHARE:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def _give_up(self, record: RequestRecord) -> None:
        if record in self.open_requests:
            self._close()

    def _close(self) -> None:
        self.has_closed = True
        if not self.is_lost:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse responses; each belongs to the oldest open request, as HTTP/1.1 pipelining requires."""
        if self.has_closed or not self.open_requests:
            return
        self._http.receive_data(data)
        while self.open_requests:
            if self._http.our_state is h11.IDLE:
                # The request was sent without h11, which must see it before it can parse the response.
                self._http.send(h11.Request(method="POST", target="/", headers=[("Host", "s")]))
                self._http.send(h11.EndOfMessage())
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._close()
                return
            if not isinstance(event, h11.Event) or isinstance(event, h11.ConnectionClosed):
                return
            self._handle_event(event)

    def _handle_event(self, event: h11.Event) -> None:
        record = self.open_requests[0]
        if isinstance(event, h11.Response):
            record.status = event.status_code
            self._body = b""
        elif isinstance(event, h11.Data):
            self._body += bytes(event.data)
            record.event_count = self._body.count(EVENT_BEGIN)
            if record.event_count and record.first_event_at is None:
                record.first_event_at = time.monotonic()
        elif isinstance(event, h11.EndOfMessage):
            self._end_response(record)

    def _end_response(self, record: RequestRecord) -> None:
        record.ended_at = time.monotonic()
        record.end = ResponseEnd.COMPLETE
        del self.open_requests[0]
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        if self.open_requests:
            return
        reactor = self.population.reactor
        if self.behavior == ClientBehavior.BURSTING and not self._is_hurried:
            self._send_burst()
        elif self.behavior == ClientBehavior.BURSTING:
            reactor.callLater(HURRIED_INTERVAL_S, self._send_burst)
        elif self.behavior == ClientBehavior.PATIENT:
            idle = HURRIED_INTERVAL_S if self._is_hurried else self.population.random.uniform(*IDLE_PERIOD_S)
            reactor.callLater(idle, self._send_unless_waiting)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Record how the open requests ended."""
        self.is_lost = True
        self.population.connections[self.node].discard(self)
        now = time.monotonic()
        for record in self._abandoned:
            record.disconnected_at = now  # the socket was closed just now
        if self._incomplete_sent_at is not None:
            incomplete = IncompleteRequest(self.node, self._incomplete_sent_at, now)
            self.population.records.incomplete_requests.append(incomplete)
        if not self.has_closed:
            self._end_open_requests(now, None)

    def _end_open_requests(self, now: float, end: ResponseEnd | None) -> None:
        """Record the end of all open requests; `end` of None means a lost connection."""
        for record in self.open_requests:
            has_begun = record.status is not None
            record.ended_at = now
            record.end = end or (ResponseEnd.CUT if has_begun else ResponseEnd.UNANSWERED)
        self.open_requests = []
