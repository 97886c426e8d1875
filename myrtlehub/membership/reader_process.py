"""The node's side of the reader process: sends it requests, takes its replies, replaces it when it dies."""

import os
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import NamedTuple, Protocol

import msgspec
from twisted.internet.protocol import ProcessProtocol
from twisted.internet.task import cooperate
from twisted.python.failure import Failure

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.reader_worker import LENGTH_BYTES, ReadReply, ReadRequest, encode_message
from myrtlehub.membership.snapshot import Snapshot

ENDPOINTS_PER_TURN = 250  # made in one turn of the event loop
MAX_ATTEMPTS = 3  # processes that may die on one request before it is answered with a fault
MAX_ERROR_OUTPUT = 500  # bytes of the process's standard error that are remembered
WORKER_MODULE = "myrtlehub.membership.reader_worker"

SnapshotCallback = Callable[[Snapshot], None]


class ProcessSpawner(Protocol):
    """What is needed of a reactor."""

    def spawnProcess(  # noqa: N802
        self, protocol: ProcessProtocol, program: str, args: list[str], env: Mapping[str, str]
    ) -> object:
        """Start a process; the name is Twisted's."""


class PendingRead(NamedTuple):
    """A request without a reply."""

    request: bytes
    callback: SnapshotCallback


class _WorkerProtocol(ProcessProtocol):
    """One reader process's pipes."""

    def __init__(self, owner: "ReaderProcess") -> None:
        self._owner = owner
        self._received = bytearray()

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect a reply until it is complete."""
        self._received += data
        if len(self._received) < LENGTH_BYTES:
            return
        end = LENGTH_BYTES + int.from_bytes(self._received[:LENGTH_BYTES])
        if len(self._received) >= end:
            reply = bytes(self._received[LENGTH_BYTES:end])
            self._received = self._received[end:]
            self._owner.reply_received(reply)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Remember the end of what the process says of its faults."""
        self._owner.error_output = (self._owner.error_output + data)[-MAX_ERROR_OUTPUT:]

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        """Tell the owner."""
        self._owner.process_ended(self)


class ReaderProcess:
    """Reads endpoint files in another process, one request at a time."""

    def __init__(self, reactor: ProcessSpawner) -> None:
        self.reactor = reactor
        self.error_output = b""
        self.processes_started = 0
        self._worker: _WorkerProtocol | None = None
        self._pending: PendingRead | None = None
        self._failed_attempts = 0
        # Of the last snapshot, by address: an endpoint that has not changed is the same object in the next.
        self._endpoints: dict[str, EndpointConfig] = {}
        self._closed = False

    def read(self, patterns: Iterable[str], base: Path, end_marked: bool, callback: SnapshotCallback) -> None:
        """Ask for a snapshot; `callback` gets it later. The request before has to be answered first."""
        if self._pending is not None:
            raise RuntimeError("the last request has no reply yet")
        request = ReadRequest(list(patterns), str(base), end_marked)
        self._pending = PendingRead(encode_message(request), callback)
        self._failed_attempts = 0
        self._send()

    def start(self) -> "ReaderProcess":
        """Start the process ahead of the first request: to fork holds up a node in service."""
        if self._worker is None:
            self._worker = _WorkerProtocol(self)
            self.processes_started += 1
            self.error_output = b""
            arguments = [sys.executable, "-m", WORKER_MODULE]
            self.reactor.spawnProcess(self._worker, sys.executable, arguments, os.environ)
        return self

    def _send(self) -> None:
        self.start()
        self._worker.transport.write(self._pending.request)

    def reply_received(self, data: bytes) -> None:
        """Take a complete reply."""
        callback = self._pending.callback
        self._pending = None
        reply = msgspec.msgpack.decode(data, type=ReadReply)
        made = cooperate(self._make_snapshot(reply, callback)).whenDone()
        made.addErrback(lambda failure: callback(_failed_snapshot(failure.getErrorMessage())))

    def _make_snapshot(self, reply: ReadReply, callback: SnapshotCallback) -> Iterator[None]:
        """Make some endpoints in each turn of the event loop, so that none is long."""
        endpoints = []
        for count, fields in enumerate(reply.endpoints, 1):
            endpoint = self._endpoints.get(fields[0])
            if endpoint is None or endpoint.field_values != fields:
                endpoint = EndpointConfig.from_values(fields)
            endpoints.append(endpoint)
            if count % ENDPOINTS_PER_TURN == 0:
                yield
        self._endpoints = {endpoint.address: endpoint for endpoint in endpoints}
        yield
        callback(
            Snapshot(
                tuple(endpoints),
                tuple(reply.files),
                tuple(reply.faults),
                reply.digest,
                reply.missing,
                reply.content_digest,
            )
        )

    def process_ended(self, worker: _WorkerProtocol) -> None:
        """Send the pending request to a new process, as the one that had it is gone."""
        if self._worker is not worker:
            return
        self._worker = None
        if self._pending is None or self._closed:
            return
        self._failed_attempts += 1
        if self._failed_attempts < MAX_ATTEMPTS:
            self._send()
            return
        callback = self._pending.callback
        self._pending = None
        lines = self.error_output.decode(errors="replace").strip().splitlines()
        last_line = lines[-1] if lines else "it said nothing"
        callback(_failed_snapshot(f"the reading process died {MAX_ATTEMPTS} times: {last_line}"))

    def close(self) -> None:
        """End the process."""
        self._closed = True
        if self._worker is not None:
            self._worker.transport.closeStdin()


def _failed_snapshot(reason: str) -> Snapshot:
    return Snapshot((), (), (f"files could not be read: {reason}",), "", False)
