"""Starts a program whose system calls and wall clock fail as a control file says.

`python -m myrtlehub.lab.fault_soak.fault_launcher CONTROL MODULE` runs MODULE as a program. CONTROL holds a
JSON object, replaced whole by whoever drives the test; it counts from the next call on:

    {"connect": "EADDRNOTAVAIL", "accept": "EMFILE", "socket": "ENFILE", "send": "short",
     "recv": "ETIMEDOUT", "write": "ENOSPC", "clock": -3600.0, "share": 0.5}

`unreachable` lists addresses, HOST:PORT, to which no connection comes up: they are made to `blackhole`, a
host and a port whose queue is full.

`share` is the share of calls that fail, drawn from the seed in $FAULT_SEED. Each injected fault is written to
CONTROL.injected, so that a test can wait for it. Clocks that only advance are never touched.
"""

import errno
import json
import os
import random
import runpy
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

SHORT = "short"  # of sends and receives: some bytes at a time
SHORT_BYTES = 64
FILENO_POSITION = 4  # of the descriptor among a socket's arguments: it is none that is made
SEED_VARIABLE = "FAULT_SEED"
_real_time = time.time
_real_write = os.write


class FaultControl:
    """The faults that are active, read anew whenever the control file was replaced."""

    def __init__(self, path: Path, seed: int) -> None:
        self.path = path
        self.faults: dict[str, Any] = {}
        self._stamp: tuple[int, int] | None = None
        self._random = random.Random(seed)
        self._injected = os.open(f"{path}.injected", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def read(self) -> dict[str, Any]:
        """Return the active faults."""
        try:
            status = self.path.stat()
        except OSError:
            return self.faults
        stamp = (status.st_mtime_ns, status.st_ino)
        if stamp != self._stamp:
            descriptor = os.open(self.path, os.O_RDONLY)
            try:
                self.faults = json.loads(os.read(descriptor, status.st_size or 1) or b"{}")
            finally:
                os.close(descriptor)
            self._stamp = stamp
        return self.faults

    def draw(self, call: str) -> str | None:
        """Return the fault of this call, if it is to fail."""
        name = self.read().get(call)
        if name is None or self._random.random() >= self.faults.get("share", 1.0):
            return None
        _real_write(self._injected, f"{call} {name}\n".encode())
        return name

    def check(self, call: str) -> None:
        """Raise the fault of this call, if it is to fail."""
        name = self.draw(call)
        if name is not None:
            raise _error(name)


def _error(name: str) -> OSError:
    number = getattr(errno, name)
    return OSError(number, os.strerror(number))


class FaultySocket(socket.socket):
    """A socket whose calls fail as `control` says."""

    control: FaultControl

    def __init__(self, *arguments: Any, **more: Any) -> None:  # noqa: ANN401
        if more.get("fileno") is None and len(arguments) < FILENO_POSITION:
            self.control.check("socket")
        super().__init__(*arguments, **more)

    def connect_ex(self, address: Any) -> int:  # noqa: ANN401
        """Connect, or return the number of an error."""
        name = self.control.draw("connect")
        if name:
            return getattr(errno, name)
        faults = self.control.faults
        is_cut_off = f"{address[0]}:{address[1]}" in faults.get("unreachable", ())
        return super().connect_ex(tuple(faults["blackhole"]) if is_cut_off else address)

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept, or raise."""
        self.control.check("accept")
        return super().accept()

    def send(self, data: bytes, *flags: int) -> int:
        """Send all, a little, or raise."""
        name = self.control.draw("send")
        if name and name != SHORT:
            raise _error(name)
        return super().send(data[:SHORT_BYTES] if name else data, *flags)

    def recv(self, size: int, *flags: int) -> bytes:
        """Receive, a little at most, or raise."""
        name = self.control.draw("recv")
        if name and name != SHORT:
            raise _error(name)
        return super().recv(SHORT_BYTES if name else size, *flags)


def faulty_write(control: FaultControl) -> Callable[[int, bytes], int]:
    """Return `os.write` that fails on the standard streams as the control says."""

    def write(descriptor: int, data: bytes) -> int:
        if descriptor in (1, 2):
            control.check("write")
        return _real_write(descriptor, data)

    return write


def main() -> None:
    """Patch, then run the program."""
    control = FaultControl(Path(sys.argv[1]), int(os.environ.get(SEED_VARIABLE, "0")))
    FaultySocket.control = control
    socket.socket = FaultySocket
    os.write = faulty_write(control)
    time.time = lambda: _real_time() + control.read().get("clock", 0.0)
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
