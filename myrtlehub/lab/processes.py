"""Starts, signals and ends child processes on loopback, and waits for the events that they log."""

import contextlib
import itertools
import os
import signal
import socket
import sys
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypeAlias

import msgspec
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import ProcessExitedAlready, ProcessTerminated
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from myrtlehub.clock import Timer
from myrtlehub.lab.interfaces import ProcessTransport, Reactor
from myrtlehub.log_events import LogEvent

HOST = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 30_000  # the system uses ports from 32,768 on for outgoing connections
PORTS_BETWEEN_PROCESSES = 199  # so that concurrent runs begin the search at different ports
OUTPUT_TAIL = 2000  # bytes of a process's last output, for the message of ProcessFailedError
END_WITHIN = 15.0  # seconds after SIGTERM until a process is killed

LogLine: TypeAlias = dict[str, Any]  # a JSON line that a program logged; its `event` names the other fields


class ProcessFailedError(Exception):
    """A process ended before it logged an event that was waited for.

    Attributes:
        name: The name of the process.
        event: The event that was waited for.
        output: The end of the process's output.
    """

    def __init__(self, name: str, event: str, output: str) -> None:
        what = "did not start" if event == LogEvent.READY else f"ended before it said {event!r}"
        super().__init__(f"{name} {what}: {output}")
        self.name = name
        self.event = event
        self.output = output


class _Waiter(NamedTuple):
    """A Deferred that fires with the first line of an event that has these fields."""

    event: str
    fields: Mapping[str, object]
    done: Deferred[LogLine]

    def matches(self, event: str, line: LogLine) -> bool:
        return self.event == event and _has_fields(line, self.fields)


class Process(ProcessProtocol):
    """A child process, one of our programs: its standard output has JSON lines with an `event`.

    Attributes:
        ended: Fires with the exit code, which is the negative signal number if a signal ended the process.
        ready: Fires with the line of the event `ready`.
        exit_code: As above; None while the process runs.
        on_line: Called with each JSON line.
    """

    transport: ProcessTransport  # type: ignore[assignment]  # zope's interface has methods without `self`

    def __init__(self, name: str, log: Path) -> None:
        self.name = name
        self.ended: Deferred[int] = Deferred()
        self.ready: Deferred[LogLine] = Deferred()
        self.exit_code: int | None = None
        self.on_line: Callable[[LogLine], None] = lambda line: None
        self._log = log.open("ab")
        self._tail = b""
        self._unfinished_line = b""
        self._last_lines: dict[str, LogLine] = {}  # by event
        self._waiters: list[_Waiter] = []
        self.wait_for(LogEvent.READY).chainDeferred(self.ready)

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.exit_code is None

    def wait_for(self, event: str, **fields: object) -> Deferred[LogLine]:
        """Return a Deferred that fires with a line of an event that has these fields.

        If the last line of the event has them, it fires at once; otherwise with the next line that has them.
        It fails with ProcessFailedError if the process ends before.
        """
        done: Deferred[LogLine] = Deferred()
        last = self._last_lines.get(event)
        if last is not None and _has_fields(last, fields):
            done.callback(last)
        elif self.exit_code is not None:
            done.errback(self._failure(event))
        else:
            self._waiters.append(_Waiter(event, fields, done))
        return done

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Store standard output, and process its complete lines."""
        self._write_log(data)
        *lines, self._unfinished_line = (self._unfinished_line + data).split(b"\n")
        for line in lines:
            self._line_received(line)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Store standard error."""
        self._write_log(data)
        self._tail = (self._tail + data)[-OUTPUT_TAIL:]

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        """Record the exit code, and fail what still waits for an event."""
        exit_code = _exit_code(reason)
        self.exit_code = exit_code
        self._log.close()
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            waiter.done.errback(self._failure(waiter.event))
        self.ended.callback(exit_code)

    def signal(self, name: str) -> None:
        """Send a signal, for example KILL, if the process still runs."""
        with contextlib.suppress(ProcessExitedAlready):
            self.transport.signalProcess(int(signal.Signals[f"SIG{name}"]))

    def _write_log(self, data: bytes) -> None:
        self._log.write(data)
        self._log.flush()

    def _line_received(self, line: bytes) -> None:
        try:
            fields = msgspec.json.decode(line)
        except msgspec.DecodeError:
            self._tail = (self._tail + line + b"\n")[-OUTPUT_TAIL:]
            return
        event = fields.get("event", "") if isinstance(fields, dict) else ""
        self._last_lines[event] = fields
        self.on_line(fields)
        matching = [waiter for waiter in self._waiters if waiter.matches(event, fields)]
        self._waiters = [waiter for waiter in self._waiters if waiter not in matching]
        for waiter in matching:
            waiter.done.callback(fields)

    def _failure(self, event: str) -> ProcessFailedError:
        output = (self._tail + self._unfinished_line).decode(errors="replace").strip()
        return ProcessFailedError(self.name, event, output)


def _exit_code(reason: Failure) -> int:
    """Return the exit code, or the negative number of the signal that ended the process."""
    status = reason.value
    if not isinstance(status, ProcessTerminated):
        return 0
    exit_code: int | None = status.exitCode
    return -(status.signal or 0) if exit_code is None else exit_code


def _has_fields(line: LogLine, fields: Mapping[str, object]) -> bool:
    return all(line.get(name) == value for name, value in fields.items())


class Processes:
    """All processes of one scenario; `on_end(process)` is called when a process has ended."""

    def __init__(
        self, reactor: Reactor, folder: Path, on_end: Callable[[Process], None] = lambda process: None
    ) -> None:
        self._reactor = reactor
        self._folder = folder
        self._on_end = on_end
        self._all: list[Process] = []

    def start(
        self,
        name: str,
        module_and_arguments: list[str],
        env: dict[str, str] | None = None,
        checkout: str | None = None,
    ) -> Process:
        """Start one of our programs; if `checkout` is given, the version in that folder."""
        process = Process(name, self._folder / f"{name}.log")
        self._all.append(process)
        process.ended.addCallback(self._ended, process)
        python_path = {"PYTHONPATH": checkout} if checkout else {}
        self._reactor.spawnProcess(
            process,
            sys.executable,
            [sys.executable, "-m", *module_and_arguments],
            {**os.environ, "PYTHONUNBUFFERED": "1", **python_path, **(env or {})},
            checkout,
        )
        return process

    def running(self) -> list[Process]:
        """Return the processes that have not ended."""
        return [process for process in self._all if process.is_running]

    def end(
        self, processes: list[Process], on_overdue: Callable[[Process], None]
    ) -> Deferred[list[tuple[bool, int]]]:
        """Send SIGTERM; the Deferred fires when all processes have ended.

        A process that has not ended within END_WITHIN is passed to `on_overdue` and killed.
        """
        for process in processes:
            process.signal("TERM")
            limit = self._reactor.callLater(END_WITHIN, self._kill_overdue, process, on_overdue)
            process.ended.addCallback(_cancel_and_pass, limit)
        return DeferredList([process.ended for process in processes])

    def _kill_overdue(self, process: Process, on_overdue: Callable[[Process], None]) -> None:
        if process.is_running:
            on_overdue(process)
            process.signal("KILL")

    def _ended(self, exit_code: int, process: Process) -> int:
        self._on_end(process)
        return exit_code


def _cancel_and_pass(exit_code: int, limit: Timer) -> int:
    if limit.active():
        limit.cancel()
    return exit_code


def _port_candidates() -> Iterator[int]:
    """Yield all ports of the range in turn, from a port that depends on this process's id."""
    first = os.getpid() * PORTS_BETWEEN_PROCESSES % (LAST_PORT - FIRST_PORT)
    for offset in itertools.count(first):
        yield FIRST_PORT + offset % (LAST_PORT - FIRST_PORT)


_CANDIDATES = _port_candidates()


_RESERVATIONS: list[socket.socket] = []  # UDP sockets, open until this process ends


def free_ports(count: int) -> list[int]:
    """Return free loopback ports that no other process gets from this function while this one runs.

    They are below the ports of outgoing connections. So neither a connection nor another run uses a port
    before its program listens.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_CANDIDATES)
        if _reserve(port):
            ports.append(port)
    return ports


def _reserve(port: int) -> bool:
    """Reserve a port by a UDP socket of the same number; return whether it was free.

    The searches of two processes may meet at a port before either of their programs listens.
    Test: `test_a_port_that_another_process_has_reserved_is_not_returned`.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind((HOST, port))
        with socket.socket() as candidate:
            candidate.bind((HOST, port))
    except OSError:
        reservation.close()
        return False
    _RESERVATIONS.append(reservation)
    return True
