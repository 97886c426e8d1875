"""One connection of a node to an emulated engine: reads, streams and their faults."""

import random
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

import h11

from myrtlehub.lab.fault_proxy import FaultProxy
from myrtlehub.lab.fault_soak.engine_responses import (
    INVALID_CHUNKS,
    READ_BODY,
    RELEASED,
    response,
)
from myrtlehub.lab.fault_soak.records import AttemptEnd, AttemptRecord, ReadStateRecord, RunRecords
from myrtlehub.lab.fault_soak.state_store import StateStore
from myrtlehub.lab.fault_soak.stream_plan import Ending, StreamFaults, StreamPlan, draw_plan
from myrtlehub.lab.fault_soak.tcp_peer import TcpPeer
from myrtlehub.lab.interfaces import Reactor

READ_DURATION_S = (0.02, 0.25)
FIRST_EVENT_DELAY_S = (0.01, 0.15)  # from the last byte of a request to the first event of its stream
ERROR_DELAY_S = 0.02
STREAM_FAULT_SHARE = 0.5  # chance of a fault at each event while streams are faulty
SECOND_RESPONSE_DELAY_S = 0.003
STATE_EXPIRY_S = 8.0  # after which an engine frees a state by itself
# A read may complete although its connection is lost this shortly before: the cancellation arrives too late.
CANCELLATION_DELAY_S = 0.05


@dataclass(slots=True)
class EngineFaults:
    """The faults that are active at an engine."""

    is_full: bool = False
    returns_errors: bool = False
    hangs: bool = False
    resets_connections: bool = False
    sends_invalid_streams: bool = False
    streams: StreamFaults = field(default_factory=StreamFaults)


class EngineOfConnection(Protocol):
    """What a connection needs of its engine."""

    reactor: Reactor
    name: str
    store: StateStore
    records: RunRecords
    random: random.Random
    faults: EngineFaults
    proxy: FaultProxy
    connections: "set[EngineConnection]"

    @property
    def is_reader(self) -> bool:
        """Whether the engine reads prompts; otherwise it writes answers."""


class EngineConnection(TcpPeer):
    """A connection that serves one request at a time.

    Attributes:
        attempt: The attempt that runs, if any.
    """

    def __init__(self, engine: EngineOfConnection) -> None:
        self.engine = engine
        self.attempt: AttemptRecord | None = None
        self._http = h11.Connection(h11.SERVER)
        self._is_lost = False
        self._head: h11.Request | None = None
        self._first_byte_at: float | None = None
        self._arrived_at = 0.0
        self._read_ends_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the engine."""
        super().connectionMade()
        self.engine.connections.add(self)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """End the attempt; a read that is about to complete completes nevertheless."""
        self._is_lost = True
        self.engine.connections.discard(self)
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        _end_attempt(attempt, AttemptEnd.LOST)
        remaining = self._read_ends_at - time.monotonic()
        if attempt.is_read and 0.0 < remaining < CANCELLATION_DELAY_S and not self.engine.proxy.is_cut:
            self.engine.reactor.callLater(remaining, self._store_state, attempt.request_id)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests; the next one is read after the response to the current one."""
        # The proxy's time is that of the kernel, which this process may read some turns of its loop later.
        self._arrived_at = self.engine.proxy.received_at.get(self.transport.getPeer().port, time.monotonic())
        if self._first_byte_at is None:
            self._first_byte_at = self._arrived_at
        self._http.receive_data(data)
        while self.attempt is None:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                self._handle_request(self._head, self._first_byte_at or self._arrived_at)
            elif not isinstance(event, h11.Event) or isinstance(event, h11.ConnectionClosed):
                return

    def _handle_request(self, head: h11.Request, first_byte_at: float) -> None:
        self._first_byte_at = None
        self._http = h11.Connection(h11.SERVER)
        engine = self.engine
        if head.method == b"DELETE":
            engine.store.free(head.target.decode().rpartition("/")[2])
            if not engine.faults.hangs:
                self.transport.write(RELEASED)
            return
        if head.method == b"GET":
            if not engine.faults.hangs:
                self.transport.write(response(HTTPStatus.NOT_FOUND))  # the settings allow no probes
            return
        headers = dict(head.headers)
        self.attempt = AttemptRecord(
            headers[b"x-txn"].decode(),
            engine.name,
            engine.is_reader,
            first_byte_at,
            self._arrived_at,
            int(headers[b"x-remaining-ms"]),
        )
        engine.records.attempts.append(self.attempt)
        self._respond(self.attempt)

    def _respond(self, attempt: AttemptRecord) -> None:
        engine, faults = self.engine, self.engine.faults
        if faults.is_full:
            self._reject(attempt, HTTPStatus.SERVICE_UNAVAILABLE)
        elif faults.hangs:
            return
        elif faults.returns_errors:
            error = response(HTTPStatus.INTERNAL_SERVER_ERROR)
            self.engine.reactor.callLater(ERROR_DELAY_S, self._answer, attempt, AttemptEnd.FAILED, error)
        elif attempt.is_read:
            duration = engine.random.uniform(*READ_DURATION_S)
            self._read_ends_at = time.monotonic() + duration
            self.engine.reactor.callLater(duration, self._complete_read, attempt)
        elif engine.store.is_missing(attempt.request_id):
            self._reject(attempt, HTTPStatus.GONE)
        else:
            self.engine.reactor.callLater(
                engine.random.uniform(*FIRST_EVENT_DELAY_S), self._begin_stream, attempt
            )

    def _reject(self, attempt: AttemptRecord, status: HTTPStatus) -> None:
        self._answer(attempt, AttemptEnd.REJECTED, response(status, is_rejection=True))

    def _complete_read(self, attempt: AttemptRecord) -> None:
        if self.attempt is not attempt:
            return
        self._store_state(attempt.request_id)
        if self.engine.faults.resets_connections:
            self.break_off()
            return
        self._answer(attempt, AttemptEnd.COMPLETE, response(HTTPStatus.ACCEPTED, body=READ_BODY))

    def _store_state(self, request_id: str) -> None:
        state = self.engine.store.store(request_id, self.engine.name)
        self.engine.reactor.callLater(STATE_EXPIRY_S, self._expire_state, state)

    def _expire_state(self, state: ReadStateRecord) -> None:
        if state.freed_at is None:
            self.engine.store.free(state.request_id)

    def _begin_stream(self, attempt: AttemptRecord) -> None:
        if self.attempt is not attempt:
            return
        self.engine.store.free(attempt.request_id)
        plan = draw_plan(self.engine.random, self.engine.faults.streams)
        attempt.is_spoilt = not plan.is_complete
        self._write(attempt, plan.head)
        self._write_piece(attempt, plan, 0)

    def _write_piece(self, attempt: AttemptRecord, plan: StreamPlan, position: int) -> None:
        """Write a piece of a stream, and schedule the next one or the end."""
        if self.attempt is not attempt:
            return
        draw, faults = self.engine.random, self.engine.faults
        if faults.resets_connections and draw.random() < STREAM_FAULT_SHARE:
            self.break_off()
        elif faults.sends_invalid_streams and draw.random() < STREAM_FAULT_SHARE:
            attempt.is_spoilt = True
            self._write(attempt, draw.choice(INVALID_CHUNKS))  # and nothing more: the stream does not end
        else:
            piece = plan.pieces[position]
            if position == plan.endless_from:
                attempt.endless_since = time.monotonic()
            attempt.event_count += piece.events
            self._write(attempt, piece.data)
            self._schedule_next(attempt, plan, position + 1)

    def _schedule_next(self, attempt: AttemptRecord, plan: StreamPlan, position: int) -> None:
        if position < len(plan.pieces):
            pause = plan.pieces[position].pause_s
            self.engine.reactor.callLater(pause, self._write_piece, attempt, plan, position)
        else:
            self._end_stream(attempt, plan)

    def _end_stream(self, attempt: AttemptRecord, plan: StreamPlan) -> None:
        if plan.is_complete:
            self._answer(attempt, AttemptEnd.COMPLETE, b"")
        elif plan.has_framing_end:
            self._end_attempt(AttemptEnd.BROKEN_OFF)  # the next request may follow
        if plan.ending is Ending.CLOSE:
            self._end_attempt(AttemptEnd.BROKEN_OFF)
            self.transport.loseConnection()
        elif plan.ending is Ending.RESET:
            self.break_off()
        elif plan.is_complete and self.engine.faults.sends_invalid_streams:
            second = response(HTTPStatus.OK, body=b"late")
            self.engine.reactor.callLater(SECOND_RESPONSE_DELAY_S, self._write_if_open, second)

    def _write(self, attempt: AttemptRecord, data: bytes) -> None:
        attempt.last_byte_at = time.monotonic()
        self.transport.write(data)

    def break_off(self) -> None:
        """Reset the connection; an attempt that runs on it ends without a complete response."""
        self._end_attempt(AttemptEnd.BROKEN_OFF)
        self.transport.abortConnection()

    def _end_attempt(self, end: AttemptEnd) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            _end_attempt(attempt, end)

    def _answer(self, attempt: AttemptRecord, end: AttemptEnd, data: bytes) -> None:
        """Write the end of a response, unless the attempt has ended meanwhile."""
        if self.attempt is not attempt:
            return
        self.attempt = None
        _end_attempt(attempt, end)
        self.transport.write(data)

    def _write_if_open(self, data: bytes) -> None:
        if not self._is_lost:
            self.transport.write(data)


def _end_attempt(attempt: AttemptRecord, end: AttemptEnd) -> None:
    attempt.end = end
    attempt.ended_at = time.monotonic()
