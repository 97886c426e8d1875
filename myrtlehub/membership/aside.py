"""The reading process from the node's side: asked, answered, replaced when it dies."""

import os
import sys
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec
from twisted.internet.protocol import ProcessProtocol
from twisted.internet.task import cooperate
from twisted.python.failure import Failure

from myrtlehub.config.sheets import EngineRow
from myrtlehub.membership.files import Reading
from myrtlehub.membership.reader import Reply, Request, pack

AT_ONCE = 250  # rows made in one turn
TRIES = 3  # processes that may die on one request before it is answered with a fault

Then = Callable[[Reading], None]


class _Pipe(ProcessProtocol):
    def __init__(self, aside: "ReadAside") -> None:
        self.aside, self.data = aside, bytearray()

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        self.data += data
        if len(self.data) >= 4:
            size = int.from_bytes(self.data[:4])
            if len(self.data) >= 4 + size:
                reply, self.data = bytes(self.data[4 : 4 + size]), self.data[4 + size :]
                self.aside.replied(reply)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        self.aside.said = (self.aside.said + data)[-500:]

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        self.aside.ended(self)


class ReadAside:
    """Reads files of engines in another process, one request at a time."""

    def __init__(self, reactor: object) -> None:
        self.reactor = reactor
        self.said = b""
        self.started = 0  # processes so far
        self._pipe: _Pipe | None = None
        self._asked: tuple[bytes, Then] | None = None
        self._tries = 0
        self._rows: dict[str, EngineRow] = {}  # of the last reading: what has not changed is the same object
        self._closed = False

    def read(self, patterns: Iterable[str], base: Path, end_marked: bool, then: Then) -> None:
        """Ask; `then` is called with the reading, later. The one before has to be answered first."""
        if self._asked is not None:
            raise RuntimeError("the last request is still out")
        self._asked = pack(Request(list(patterns), str(base), end_marked)), then
        self._tries = 0
        self._ask()

    def start(self) -> "ReadAside":
        """Have the process ready: to fork a node in service holds it up."""
        if self._pipe is None:
            self._pipe, self.started, self.said = _Pipe(self), self.started + 1, b""
            self.reactor.spawnProcess(
                self._pipe, sys.executable, [sys.executable, "-m", "myrtlehub.membership.reader"], os.environ
            )
        return self

    def _ask(self) -> None:
        self.start()
        self._pipe.transport.write(self._asked[0])

    def replied(self, data: bytes) -> None:
        """A whole reply."""
        (_, then), self._asked = self._asked, None
        reply = msgspec.msgpack.decode(data, type=Reply)
        cooperate(self._made(reply, then)).whenDone().addErrback(self._broke, then)

    def _made(self, reply: Reply, then: Then) -> Iterator[None]:
        """Rows a few at a time, so that no turn of the node is long."""
        rows, known = [], self._rows
        for i, figures in enumerate(reply.rows):
            row = known.get(figures[0])
            if row is None or row.figures != figures:
                row = EngineRow.of(figures)
            rows.append(row)
            if i % AT_ONCE == AT_ONCE - 1:
                yield
        self._rows = {r.address: r for r in rows}
        yield
        then(
            Reading(
                tuple(rows),
                tuple(reply.files),
                tuple(reply.faults),
                reply.digest,
                reply.missing,
                reply.content,
            )
        )

    def _broke(self, failure: Failure, then: Then) -> None:
        then(Reading((), (), (f"files could not be read: {failure.getErrorMessage()}",), "", False))

    def ended(self, pipe: _Pipe) -> None:
        """The process is gone; what it was asked is asked again of a new one."""
        if self._pipe is not pipe:
            return
        self._pipe = None
        if self._asked is None or self._closed:
            return
        self._tries += 1
        if self._tries < TRIES:
            self._ask()
            return
        (_, then), self._asked = self._asked, None
        said = self.said.decode(errors="replace").strip().splitlines()
        then(
            Reading(
                (),
                (),
                (
                    f"files could not be read: the reading process died {TRIES} times: "
                    f"{said[-1] if said else 'it said nothing'}",
                ),
                "",
                False,
            )
        )

    def close(self) -> None:
        """End the process."""
        self._closed = True
        if self._pipe is not None:
            self._pipe.transport.closeStdin()
