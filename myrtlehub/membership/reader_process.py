"""The node's side of the reader process: exchanges messages with it, and replaces it if it dies."""

import os
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import NamedTuple, Protocol, Self

import msgspec
from twisted.internet.protocol import ProcessProtocol
from twisted.internet.task import cooperate
from twisted.python.failure import Failure

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.reader_worker import LENGTH_BYTES, ReadReply, ReadRequest, encode_message
from myrtlehub.membership.snapshot import Snapshot

ENDPOINTS_PER_TURN = 250  # endpoints that are constructed per turn of the event loop
MAX_ATTEMPTS = 3  # processes that may die while they handle a request; then it fails
MAX_ERROR_OUTPUT = 500  # last bytes of the process's standard error, kept for the fault message
WORKER_MODULE = "myrtlehub.membership.reader_worker"

SnapshotCallback = Callable[[Snapshot], None]


class ReadInProgressError(RuntimeError):
    """A snapshot was requested while the previous request had no reply yet."""

    def __init__(self) -> None:
        super().__init__("the last request has no reply yet")


class UnexpectedReplyError(RuntimeError):
    """The reader process sent a reply without a request."""

    def __init__(self) -> None:
        super().__init__("the reader process sent a reply without a request")


class WorkerTransport(Protocol):
    """The pipes to a reader process: the part of Twisted's `IProcessTransport` that is used here."""

    def write(self, data: bytes) -> object:
        """Write to the process's standard input."""

    def closeStdin(self) -> object:  # noqa: N802
        """Close the process's standard input; the name is Twisted's."""


class ProcessSpawner(Protocol):
    """The part of a reactor that starts processes."""

    def spawnProcess(  # noqa: N802
        self, protocol: ProcessProtocol, program: str, args: list[str], env: Mapping[str, str]
    ) -> WorkerTransport:
        """Start a process; the name is Twisted's."""


class PendingRead(NamedTuple):
    """A request without a reply."""

    request: bytes
    callback: SnapshotCallback


class _WorkerProtocol(ProcessProtocol):
    """Splits the output of one reader process into replies."""

    def __init__(self, owner: "ReaderProcess") -> None:
        self._owner = owner
        self._received = bytearray()

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer a part of a reply, and deliver the reply once it is complete."""
        self._received += data
        if len(self._received) < LENGTH_BYTES:
            return
        end = LENGTH_BYTES + int.from_bytes(self._received[:LENGTH_BYTES])
        if len(self._received) >= end:
            reply = bytes(self._received[LENGTH_BYTES:end])
            self._received = self._received[end:]
            self._owner.reply_received(reply)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep the end of the process's standard error, which shows why it died."""
        self._owner.error_output = (self._owner.error_output + data)[-MAX_ERROR_OUTPUT:]

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        """Notify the owner that the process has ended."""
        self._owner.process_ended(self)


class _Worker(NamedTuple):
    """A running reader process."""

    protocol: _WorkerProtocol
    transport: WorkerTransport


class ReaderProcess:
    """Reads endpoint files in another process, one request at a time."""

    def __init__(self, reactor: ProcessSpawner) -> None:
        self.reactor = reactor
        self.error_output = b""
        self._worker: _Worker | None = None
        self._pending: PendingRead | None = None
        self._failed_attempts = 0  # processes that died while they handled the pending request
        # The endpoints of the last snapshot by address; the next snapshot reuses unchanged ones.
        self._endpoints: dict[str, EndpointConfig] = {}
        self._is_closed = False

    def read(
        self, patterns: Iterable[str], base: Path, requires_end_mark: bool, callback: SnapshotCallback
    ) -> None:
        """Request a snapshot, which is passed to `callback` later. For the arguments see `read_snapshot`.

        Raises:
            ReadInProgressError: the previous request has no reply yet.
        """
        if self._pending is not None:
            raise ReadInProgressError
        request = ReadRequest(list(patterns), str(base), requires_end_mark)
        self._pending = PendingRead(encode_message(request), callback)
        self._failed_attempts = 0
        self._send(self._pending)

    def start(self) -> Self:
        """Start the process now: a fork at the first request would block a node that serves clients."""
        self._running_worker()
        return self

    def _running_worker(self) -> _Worker:
        if self._worker is None:
            self.error_output = b""
            protocol = _WorkerProtocol(self)
            arguments = [sys.executable, "-m", WORKER_MODULE]
            transport = self.reactor.spawnProcess(protocol, sys.executable, arguments, os.environ)
            self._worker = _Worker(protocol, transport)
        return self._worker

    def _send(self, pending: PendingRead) -> None:
        self._running_worker().transport.write(pending.request)

    def reply_received(self, data: bytes) -> None:
        """Decode a complete reply, and pass the snapshot to the callback of the pending request.

        Raises:
            UnexpectedReplyError: no request is pending.
        """
        pending = self._pending
        if pending is None:
            raise UnexpectedReplyError
        self._pending = None
        reply = msgspec.msgpack.decode(data, type=ReadReply)
        made = cooperate(self._make_snapshot(reply, pending.callback)).whenDone()
        made.addErrback(lambda failure: pending.callback(_failed_snapshot(failure.getErrorMessage())))

    def _make_snapshot(self, reply: ReadReply, callback: SnapshotCallback) -> Iterator[None]:
        """Construct `ENDPOINTS_PER_TURN` endpoints per turn of the event loop, so that no turn takes long."""
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
                endpoints=tuple(endpoints),
                files=tuple(reply.files),
                faults=tuple(reply.faults),
                digest=reply.digest,
                is_missing=reply.is_missing,
                content_digest=reply.content_digest or None,
            )
        )

    def process_ended(self, protocol: _WorkerProtocol) -> None:
        """Send the pending request to a new process; report a fault after `MAX_ATTEMPTS` processes."""
        if self._worker is None or self._worker.protocol is not protocol:
            return
        self._worker = None
        if self._pending is None or self._is_closed:
            return
        self._failed_attempts += 1
        if self._failed_attempts < MAX_ATTEMPTS:
            self._send(self._pending)
            return
        callback = self._pending.callback
        self._pending = None
        lines = self.error_output.decode(errors="replace").strip().splitlines()
        last_line = lines[-1] if lines else "it said nothing"
        callback(_failed_snapshot(f"the reading process died {MAX_ATTEMPTS} times: {last_line}"))

    def close(self) -> None:
        """Close the process's standard input, which makes it exit."""
        self._is_closed = True
        if self._worker is not None:
            self._worker.transport.closeStdin()


def _failed_snapshot(reason: str) -> Snapshot:
    return Snapshot((), (), (f"files could not be read: {reason}",), digest=None, is_missing=False)
