"""Time slices for parsing: bounded turns of the event loop, order of connections, arrival times."""

import socket
import tracemalloc
from collections.abc import Callable

import pytest
from relaymessages import EVENT, STREAM_HEAD, chat_request, chunk
from relayrig import RelayRig
from twisted.internet.task import Clock

from myrtlehub.http1.bounds import MAX_HEADERS
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.http1.parse_scheduler import SLICE_S, TURN_BUDGET_S, ParseScheduler
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.node.sequences import Attempt

STEP_S = SLICE_S / 10
# A step cannot be divided, so the last slice of a turn ends with the step in which its time is over.
MAX_TURN_S = TURN_BUDGET_S + SLICE_S + STEP_S + 1e-9
TINY_CHUNKED_HEAD = chat_request().partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"


class TurnClock(Clock):
    """A clock whose timers run in turns, as those of the reactor: one started in a turn runs in the next."""

    def __init__(self) -> None:
        super().__init__()
        self.due: list[Callable[[], object]] = []

    def callLater(self, delay: float, callback: Callable[..., object], *args: object) -> None:  # type: ignore[override] # noqa: N802
        """Run a callback in the next turn."""
        self.due.append(lambda: callback(*args))

    def run_turn(self) -> float:
        """Run the timers of one turn; return its duration in seconds."""
        due, self.due = self.due, []
        started_at = self.seconds()
        for callback in due:
            callback()
        return self.seconds() - started_at


class CountingParser:
    """A connection that needs a number of steps of STEP_S each for its data."""

    def __init__(self, clock: TurnClock, steps: int, order: list["CountingParser"] | None = None) -> None:
        self.clock = clock
        self.steps = steps
        self.is_paused = False
        self.is_aborted = False
        self.fails = False
        self.order = order if order is not None else []

    def parse_step(self) -> bool:
        if self.steps == 0:
            return False
        if self.fails:
            raise ValueError
        self.clock.rightNow += STEP_S  # the step takes this time; no timer fires within it
        self.steps -= 1
        if self.steps == 0:
            self.order.append(self)
        return True

    def pause_input(self) -> None:
        self.is_paused = True

    def resume_input(self) -> None:
        self.is_paused = False

    def abort_parsing(self) -> None:
        self.is_aborted = True


@pytest.mark.parametrize("count", [1, 300])
def test_parsing_takes_a_bounded_time_of_a_turn_for_any_number_of_connections(count: int) -> None:
    clock = TurnClock()
    scheduler = ParseScheduler(clock)
    parsers = [CountingParser(clock, 1000) for _ in range(count)]
    started_at = clock.seconds()
    for parser in parsers:
        scheduler.data_received(parser)
    assert clock.seconds() - started_at <= MAX_TURN_S
    assert all(parser.is_paused for parser in parsers)
    turns = [clock.run_turn() for _ in range(int(count * 1000 * STEP_S / TURN_BUDGET_S) + 2)]
    assert max(turns) <= MAX_TURN_S
    assert not any(parser.steps or parser.is_paused for parser in parsers)


def test_a_short_message_is_parsed_before_the_rest_of_long_ones() -> None:
    clock = TurnClock()
    scheduler = ParseScheduler(clock)
    order: list[CountingParser] = []
    for _ in range(300):
        scheduler.data_received(CountingParser(clock, 1000, order))
    while scheduler._without_slice:
        clock.run_turn()
    short = CountingParser(clock, 3, order)
    scheduler.data_received(short)
    clock.run_turn()
    assert order == [short] and not short.is_paused


def test_a_long_message_is_parsed_while_short_ones_keep_coming() -> None:
    """Guards against streams that stopped for a second while thousands of clients connected."""
    clock = TurnClock()
    scheduler = ParseScheduler(clock)
    long = CountingParser(clock, 30)
    scheduler.data_received(long)
    for _ in range(20):
        for _ in range(300):
            scheduler.data_received(CountingParser(clock, 3))
        clock.run_turn()
    assert long.steps == 0 and not long.is_paused


def test_a_stream_whose_data_is_parsed_is_read_again_at_once_although_its_slice_is_over() -> None:
    """Guards against streams that waited behind other connections for a slice that they did not need."""
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD + chunk(EVENT))
    rig.request("a1")
    executor = rig.node.executor
    forward = executor.tokens_received

    def forward_slowly(attempt: Attempt, events: bytes) -> None:
        rig.clock.rightNow += 2 * SLICE_S
        forward(attempt, events)

    executor.tokens_received = forward_slowly  # type: ignore[method-assign]
    node_pipe = rig.engines["w1"].connections[0].transport.other
    node_pipe.protocol.dataReceived(chunk(EVENT))
    assert not node_pipe.paused


def test_a_connection_whose_step_raises_is_closed_and_the_others_are_parsed() -> None:
    clock = TurnClock()
    scheduler = ParseScheduler(clock)
    parsers = [CountingParser(clock, 100) for _ in range(3)]
    for parser in parsers:
        scheduler.data_received(parser)
    parsers[0].fails = True
    with pytest.raises(ValueError):  # noqa: PT011 (the error of the step)
        clock.run_turn()
    for _ in range(10):
        clock.run_turn()
    assert [parser.steps == 0 for parser in parsers] == [False, True, True]
    assert [parser.is_aborted for parser in parsers] == [True, False, False]


def test_a_body_in_tiny_chunks_takes_little_more_memory_than_its_size() -> None:
    """Guards against an object for each chunk: 2 bytes of a body took 56 bytes of memory."""
    rig = RelayRig("w1")
    client = rig.client()
    client.send(TINY_CHUNKED_HEAD)
    rig.run(0.01)
    data = chunk(b"xx") * 1000
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(100):
        client.send(data)
        rig.run(0.002)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert rig.node.listener.memory.incomplete_bytes == 200_000
    assert after - before < 2 * 200_000


@pytest.mark.parametrize("piece_bytes", [1, 7, 100_000])
def test_a_head_or_trailer_of_thousands_of_lines_is_rejected_however_it_is_cut(piece_bytes: int) -> None:
    """Guards against a step that grows with the lines of a head: 3,900 lines of 4 bytes took 16 ms."""
    many_lines = b"a:\r\n" * 3900
    body = chunk(b'{"model":"chat","messages":[]}')
    for data in (
        chat_request(headers=many_lines),
        TINY_CHUNKED_HEAD + body + b"0\r\n" + many_lines + b"\r\n",
    ):
        rig = RelayRig("w1")
        client = rig.client()
        for position in range(0, len(data), piece_bytes):
            client.transport.other.protocol.dataReceived(data[position : position + piece_bytes])
        rig.run(0.1)
        assert client.statuses == [431] and not rig.engines["w1"].requests


def test_a_head_with_the_maximum_number_of_fields_is_accepted_and_one_more_is_not() -> None:
    usual_fields = chat_request().partition(b"\r\n\r\n")[0].count(b"\r\n")
    for surplus, status in ((0, 200), (1, 431)):
        rig = RelayRig("w1")
        client = rig.client()
        client.send(chat_request(headers=b"A: b\r\n" * (MAX_HEADERS - usual_fields + surplus)))
        rig.run(0.1)
        assert client.statuses == [status]


class SocketTransport:
    """A transport of a real socket, for the number of its unread bytes."""

    def __init__(self, handle: socket.socket) -> None:
        self.handle = handle
        self.is_reading = True

    def getHandle(self) -> socket.socket:  # noqa: N802
        return self.handle

    def pauseProducing(self) -> None:  # noqa: N802
        self.is_reading = False

    def resumeProducing(self) -> None:  # noqa: N802
        self.is_reading = True


def test_data_that_arrives_while_reading_is_paused_counts_from_the_pause() -> None:
    """Guards against a request whose time at the engine includes the time that the node left it unread."""
    clock = Clock()
    exchanges: list[ServerExchange] = []
    connection = ConnectionListener(clock, exchanges.append).buildProtocol(None)
    near, far = socket.socketpair()
    connection.transport = transport = SocketTransport(near)  # type: ignore[assignment] # a stand-in
    data = chat_request()
    clock.advance(1.0)
    connection.dataReceived(data[:40])
    connection.pause_input()
    far.sendall(data[40:])
    clock.advance(0.7)
    assert not transport.is_reading
    connection.resume_input()
    clock.advance(0.1)
    connection.dataReceived(near.recv(65536))
    assert transport.is_reading and [exchange.request.received_at for exchange in exchanges] == [1.0]
    near.close()
    far.close()
