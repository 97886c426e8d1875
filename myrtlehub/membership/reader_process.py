"""The node's side of the reader process: exchanges messages with the process, and restarts it if it dies."""

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

ENDPOINTS_PER_ITERATION = 250  # endpoints constructed per event loop iteration
MAX_READ_ATTEMPTS = 3  # a request fails once this many processes died while handling it
MAX_STDERR_TAIL = 500  # bytes kept from the end of the process's standard error, for the fault message
WORKER_MODULE = "myrtlehub.membership.reader_worker"

SnapshotCallback = Callable[[Snapshot], None]


class ReadInProgressError(RuntimeError):
    """A snapshot was requested while the previous request was still pending."""

    def __init__(self) -> None:
        super().__init__("the previous request has no reply yet")


class UnexpectedReplyError(RuntimeError):
    """The reader process sent a reply without a request."""

    def __init__(self) -> None:
        super().__init__("the reader process sent a reply without a request")


class WorkerTransport(Protocol):
    """The pipes to a reader process: the methods of Twisted's `IProcessTransport` that are used here."""

    def write(self, data: bytes) -> object:
        """Write to the process's standard input."""

    def closeStdin(self) -> object:  # noqa: N802
        """Close the process's standard input; the name is Twisted's."""


class ProcessSpawner(Protocol):
    """The method of a reactor that starts processes."""

    def spawnProcess(  # noqa: N802
        self, protocol: ProcessProtocol, program: str, args: list[str], env: Mapping[str, str]
    ) -> WorkerTransport:
        """Start a process; the name is Twisted's."""


class PendingRead(NamedTuple):
    """A request whose reply has not arrived yet."""

    request: bytes
    callback: SnapshotCallback


class _WorkerProtocol(ProcessProtocol):
    """Splits the standard output of one reader process into replies."""

    def __init__(self, owner: "ReaderProcess") -> None:
        self._owner = owner
        self._received = bytearray()

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer the data, and deliver the reply once it is complete."""
        self._received += data
        if len(self._received) < LENGTH_BYTES:
            return
        end = LENGTH_BYTES + int.from_bytes(self._received[:LENGTH_BYTES])
        if len(self._received) >= end:
            reply = bytes(self._received[LENGTH_BYTES:end])
            self._received = self._received[end:]
            self._owner.reply_received(reply)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep the end of the process's standard error, which may show why it died."""
        self._owner.stderr_tail = (self._owner.stderr_tail + data)[-MAX_STDERR_TAIL:]

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
        self.stderr_tail = b""
        self._worker: _Worker | None = None
        self._pending: PendingRead | None = None
        self._failed_attempts = 0  # processes that died while handling the pending request
        # The endpoints of the last snapshot by address; the next snapshot reuses unchanged ones.
        self._endpoints: dict[str, EndpointConfig] = {}
        self._is_closed = False

    def read(
        self, patterns: Iterable[str], base: Path, requires_end_mark: bool, callback: SnapshotCallback
    ) -> None:
        """Request a snapshot, which is passed to `callback` later. See `read_snapshot` for the arguments.

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
        """Start the process now, as a fork at the first request would block a node that serves clients."""
        self._ensure_worker()
        return self

    def _ensure_worker(self) -> _Worker:
        if self._worker is None:
            self.stderr_tail = b""
            protocol = _WorkerProtocol(self)
            arguments = [sys.executable, "-m", WORKER_MODULE]
            transport = self.reactor.spawnProcess(protocol, sys.executable, arguments, os.environ)
            self._worker = _Worker(protocol, transport)
        return self._worker

    def _send(self, pending: PendingRead) -> None:
        self._ensure_worker().transport.write(pending.request)

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
        construction = cooperate(self._make_snapshot(reply, pending.callback)).whenDone()
        construction.addErrback(lambda failure: pending.callback(_failed_snapshot(failure.getErrorMessage())))

    def _make_snapshot(self, reply: ReadReply, callback: SnapshotCallback) -> Iterator[None]:
        """Construct `ENDPOINTS_PER_ITERATION` endpoints per event loop iteration, so that none takes long."""
        endpoints = []
        for count, fields in enumerate(reply.endpoints, 1):
            endpoint = self._endpoints.get(fields[0])
            if endpoint is None or endpoint.field_values != fields:
                endpoint = EndpointConfig.from_values(fields)
            endpoints.append(endpoint)
            if count % ENDPOINTS_PER_ITERATION == 0:
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
        """Send the pending request to a new process; after `MAX_READ_ATTEMPTS` processes, report a fault."""
        if self._worker is None or self._worker.protocol is not protocol:
            return
        self._worker = None
        if self._pending is None or self._is_closed:
            return
        self._failed_attempts += 1
        if self._failed_attempts < MAX_READ_ATTEMPTS:
            self._send(self._pending)
            return
        callback = self._pending.callback
        self._pending = None
        lines = self.stderr_tail.decode(errors="replace").strip().splitlines()
        last_line = lines[-1] if lines else "it said nothing"
        callback(_failed_snapshot(f"the reading process died {MAX_READ_ATTEMPTS} times: {last_line}"))

    def close(self) -> None:
        """Close the process's standard input, which makes it exit."""
        self._is_closed = True
        if self._worker is not None:
            self._worker.transport.closeStdin()


def _failed_snapshot(reason: str) -> Snapshot:
    return Snapshot((), (), (f"files could not be read: {reason}",), digest=None, is_missing=False)
