"""Engines that read large requests slowly, on a relay process and real sockets."""

import itertools
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from http import HTTPStatus
from typing import NamedTuple

import pytest
from relaymessages import COMPLETE_STREAM, EVENT, LONG_PROMPT, STREAM_HEAD, chat_request, chunk, response
from socketpeers import Discovery, Engine
from socketrig import Client, RelayProcess, SocketRig, in_parallel, let_time_pass

from myrtlehub.log_events import LogEvent

LARGE_BODY = b'{"model":"chat","messages":["' + b"x" * 250_000 + b'"]}'
WINDOW_BYTES = 4096
PIECE_BYTES = 2048
READ_INTERVAL_S = 0.05  # so that a large request takes over 6 s
REMAINING_MS = 2000
MAX_LATE_S = 0.5
EARLY_PIECE = 10  # number of the piece of a request after which an engine answers early
ENGINES = "r0 r1 r2 r3 r4 r5 w0 w1 w2 w3 w4 w5 w6 w7 w8 w9"

# Given the number of the piece that was read, returns what is sent then; None to read no more.
Behavior = Callable[[int], bytes | None]


def early(answer: bytes) -> Behavior:
    """Return the behavior of an engine that answers before it has read the request."""
    return lambda piece: answer if piece == EARLY_PIECE else b""


BEHAVIORS: dict[str, Behavior] = {
    "reads on": lambda piece: b"",
    "reads no more": lambda piece: b"" if piece < EARLY_PIECE else None,
    "rejects early": early(response(503, rejected=True)),
    "fails early": early(response(500)),
    "sends the head early": early(STREAM_HEAD),
    "sends half an event early": early(STREAM_HEAD + b"ff\r\n" + EVENT[:20]),
    "sends an event in bytes": lambda piece: (
        STREAM_HEAD + b'ffff\r\ndata: {"x":"' if piece == 1 else b"a" * (piece > EARLY_PIECE)
    ),
    "sends the head in bytes": lambda piece: STREAM_HEAD[piece : piece + 1],
    "sends a comment early": early(STREAM_HEAD + chunk(b": accepted\n\n")),
    "sends comments": lambda piece: STREAM_HEAD * (piece == 1) + chunk(b": reading\n\n"),
    "sends line ends": lambda piece: STREAM_HEAD * (piece == 1) + chunk(b"\n\n"),
    "sends responses with status 100": lambda piece: b"HTTP/1.1 100 Continue\r\n\r\n" * (piece < 4),
    "answers early": early(COMPLETE_STREAM),
}
CASES = {
    " - ".join(map(str, case)): case
    for case in itertools.product(BEHAVIORS, ("ask", "post"), (100, LONG_PROMPT))
}


class SlowEngine(Engine):
    """An engine that reads a piece of a request at a time, and behaves as the id of the request states."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)

    def _accept(self) -> None:
        with suppress(OSError):  # the listener is closed
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve_slowly, args=(sock,), daemon=True).start()

    def _serve_slowly(self, sock: socket.socket) -> None:
        with suppress(OSError):
            data = sock.recv(PIECE_BYTES)
            found = re.search(rb"(?i)x-txn: f(\d+)", data)
            if found is None:  # a release or an arrival check
                sock.sendall(response(204))
                return
            behavior = BEHAVIORS[list(CASES.values())[int(found[1])][0]]
            for piece in itertools.count(1):
                answer = behavior(piece)
                if answer is None or not data:
                    return
                sock.sendall(answer)
                let_time_pass(READ_INTERVAL_S)
                data = sock.recv(PIECE_BYTES)


class Answer(NamedTuple):
    """The status that a client received, and the seconds by which it came after the client's deadline."""

    status: int
    late_s: float


def ask(node: RelayProcess, case: str) -> Answer:
    """Send a large request, and wait for the first event or for the end of its response."""
    client = Client(node.address)
    request_id = f"f{list(CASES).index(case)}"
    _, traffic, prompt = CASES[case]
    client.send(chat_request(request_id, prompt, traffic, REMAINING_MS, body=LARGE_BODY, session=request_id))
    sent_at = time.monotonic()
    status = client.read_status()
    if status == HTTPStatus.OK:
        with suppress(AssertionError):  # the response ends before its first event
            client.read_until(b"data: ")
    return Answer(status, time.monotonic() - sent_at - REMAINING_MS / 1e3)


@pytest.fixture(name="answers", scope="module")
def received_answers(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Answer]]:
    """Yield the answers to all cases, as clients of one node received them at the same time."""
    rig = SocketRig(tmp_path_factory.mktemp("answers"))
    rig.engines = {name: SlowEngine(name) for name in ENGINES.split()}
    rig.discovery = Discovery(*rig.engines.values())
    rig.peers += [*rig.engines.values(), rig.discovery]
    node = rig.start_relay(descriptors=512)
    node.wait_for_log(LogEvent.READY)
    yield in_parallel(lambda case: ask(node, case), list(CASES))
    rig.close()


@pytest.mark.parametrize("case", CASES)
def test_a_large_request_that_is_read_slowly_gets_its_final_answer_in_time(
    answers: dict[str, Answer], case: str
) -> None:
    assert answers[case].late_s < MAX_LATE_S, answers[case]
