"""Many processes on loopback: started, waited for by what they say and not for time, signalled, ended."""

import os
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

HOST = "127.0.0.1"
TAIL = 2000  # bytes of a process's last words that are kept for whoever asks why it ended
END_WITHIN = 15.0  # seconds after SIGTERM until a process counts as one that does not end


class ProcessFailed(Exception):
    """A process did not do what was waited for; the text says why."""


class Process(ProcessProtocol):
    """One process. Its standard output is JSON lines with an `event`, as all programs of ours write."""

    def __init__(self, name: str, log: Path) -> None:
        self.name = name
        self.ended: Deferred = Deferred()  # fires with the exit code, less than 0 for a signal
        self.ready: Deferred = Deferred()
        self.code: int | None = None
        self.out = log.open("ab")
        self.tail = b""
        self._rest = b""
        self._said: dict[str, dict] = {}  # the last line of each event
        self._waiters: list[tuple[str, dict, Deferred]] = []
        self.on_line: Callable[[dict], None] = lambda said: None
        self.heard("ready").chainDeferred(self.ready)

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.code is None

    def heard(self, event: str, **fields: object) -> Deferred:
        """Fires with the first line of an event that has these fields, the last such line said included.

        Fails with ProcessFailed where the process ends before.
        """
        done, last = Deferred(), self._said.get(event)
        if last is not None and _has(last, fields):
            done.callback(last)
        elif self.code is not None:
            done.errback(self._why(event))
        else:
            self._waiters.append((event, fields, done))
        return done

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        self.out.write(data)
        self.out.flush()
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._line(line)

    def _line(self, line: bytes) -> None:
        try:
            said = msgspec.json.decode(line)
        except msgspec.DecodeError:
            self.tail = (self.tail + line + b"\n")[-TAIL:]
            return
        event = said.get("event", "") if isinstance(said, dict) else ""
        self._said[event] = said
        self.on_line(said)
        due = [w for w in self._waiters if w[0] == event and _has(said, w[1])]
        self._waiters = [w for w in self._waiters if w not in due]
        for _, _, done in due:
            done.callback(said)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        self.out.write(data)
        self.out.flush()
        self.tail = (self.tail + data)[-TAIL:]

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        status = reason.value
        self.code = status.exitCode if status.exitCode is not None else -(status.signal or 0)
        self.out.close()
        waiters, self._waiters = self._waiters, []
        for event, _, done in waiters:
            done.errback(self._why(event))
        self.ended.callback(self.code)

    def _why(self, event: str) -> ProcessFailed:
        said = (self.tail + self._rest).decode(errors="replace").strip()
        what = "did not start" if event == "ready" else f"ended before it said {event!r}"
        return ProcessFailed(f"{self.name} {what}: {said}")

    def signal(self, name: str) -> None:
        """Send a signal, as KILL, if it still runs."""
        try:
            self.transport.signalProcess(int(signal.Signals[f"SIG{name}"]))
        except ProcessExitedAlready:
            pass


def _has(said: dict, fields: dict) -> bool:
    return all(said.get(k) == v for k, v in fields.items())


class Processes:
    """All processes of one trial. `on_end(process)` is told of each end."""

    def __init__(
        self, reactor: object, folder: Path, on_end: Callable[[Process], None] = lambda process: None
    ) -> None:
        self.reactor, self.folder, self.on_end = reactor, folder, on_end
        self.all: list[Process] = []

    def start(
        self, name: str, argv: list[str], env: dict[str, str] | None = None, checkout: str | None = None
    ) -> Process:
        """Start a program of ours, `argv[0]` being its module; its `ready` fires once it says so.

        `checkout`: a folder with another version of the program, which is run instead.
        """
        process = Process(name, self.folder / f"{name}.log")
        self.all.append(process)
        process.ended.addCallback(self._ended, process)
        self.reactor.spawnProcess(
            process,
            sys.executable,
            [sys.executable, "-m", *argv],
            {
                **os.environ,
                "PYTHONUNBUFFERED": "1",
                **({"PYTHONPATH": checkout} if checkout else {}),
                **(env or {}),
            },
            checkout,
        )
        return process

    def _ended(self, code: int, process: Process) -> int:
        self.on_end(process)
        return code

    def alive(self) -> list[Process]:
        """Those that have not ended."""
        return [p for p in self.all if p.running]

    def end(self, some: list[Process], overdue: Callable[[Process], None]) -> Deferred:
        """SIGTERM; who has not ended within END_WITHIN is told to `overdue` and killed. Fires at the last
        end.
        """
        for process in some:
            process.signal("TERM")

            def late(process: Process = process) -> None:
                if process.running:
                    overdue(process)
                    process.signal("KILL")

            limit = self.reactor.callLater(END_WITHIN, late)
            process.ended.addCallback(lambda code, limit=limit: (limit.active() and limit.cancel(), code)[1])
        return DeferredList([p.ended for p in some])


def free_ports(count: int) -> list[int]:
    """Loopback ports that were free a moment ago."""
    held = [socket.socket() for _ in range(count)]
    for s in held:
        s.bind((HOST, 0))
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports
