"""Runs a program with injected faults: its system calls and wall clock fail as a control file says.

`python -m myrtlehub.lab.fault_soak.fault_launcher CONTROL MODULE` runs MODULE as a program. CONTROL is a JSON
file with the fields of `CallFaults`. It is replaced in one step, and applies from the next call on:

    {"connect": "EADDRNOTAVAIL", "accept": "EMFILE", "socket": "ENFILE", "send": "short",
     "recv": "ETIMEDOUT", "write": "ENOSPC", "clock": -3600.0, "share": 0.5}

Which calls fail is drawn from the seed in $FAULT_SEED. Each injected fault is appended to CONTROL.injected,
so that a test can wait for it. Monotonic clocks are not changed.
"""

import errno
import os
import random
import runpy
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from myrtlehub.lab.fault_soak.fault_control import SHORT_CALL, CallFaults

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer

SHORT_CALL_BYTES = 64
FILENO_POSITION = 3  # position of `fileno` in a socket's arguments; with it, no socket system call is made
SEED_VARIABLE = "FAULT_SEED"
STANDARD_STREAMS = (1, 2)
_real_time = time.time
_real_write = os.write


class _FileVersion(NamedTuple):
    modified_at_ns: int
    inode: int


class FaultControl:
    """The active faults, read from the control file whenever it was replaced."""

    def __init__(self, path: Path, seed: int) -> None:
        self.path = path
        self.faults = CallFaults()
        self._version: _FileVersion | None = None
        self._random = random.Random(seed)
        self._injected = os.open(f"{path}.injected", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def read(self) -> CallFaults:
        """Return the active faults."""
        try:
            status = self.path.stat()
        except OSError:
            return self.faults
        version = _FileVersion(status.st_mtime_ns, status.st_ino)
        if version != self._version:
            descriptor = os.open(self.path, os.O_RDONLY)
            try:
                content = os.read(descriptor, status.st_size or 1)
            finally:
                os.close(descriptor)
            self.faults = msgspec.json.decode(content or b"{}", type=CallFaults)
            self._version = version
        return self.faults

    def draw(self, call: str) -> str | None:
        """Draw whether this call fails; return the errno name or SHORT_CALL, or None if it succeeds."""
        error: str | None = getattr(self.read(), call)
        if error is None or self._random.random() >= self.faults.share:
            return None
        _real_write(self._injected, f"{call} {error}\n".encode())
        return error

    def raise_fault(self, call: str) -> None:
        """Draw whether this call fails; if so, raise OSError."""
        error = self.draw(call)
        if error is not None:
            raise _os_error(error)


def _errno_number(name: str) -> int:
    number: int = getattr(errno, name)
    return number


def _os_error(name: str) -> OSError:
    number = _errno_number(name)
    return OSError(number, os.strerror(number))


class FaultySocket(socket.socket):
    """A socket whose calls fail as `control` says."""

    control: FaultControl

    def __init__(self, *arguments: Any, **more: Any) -> None:  # noqa: ANN401 - those of socket.socket
        if more.get("fileno") is None and len(arguments) <= FILENO_POSITION:
            self.control.raise_fault("socket")
        super().__init__(*arguments, **more)

    def connect_ex(self, address: Any) -> int:  # noqa: ANN401 - as in typeshed
        """Connect; return 0 or the number of an error."""
        error = self.control.draw("connect")
        if error is not None:
            return _errno_number(error)
        faults = self.control.faults
        if f"{address[0]}:{address[1]}" in faults.unreachable and faults.blackhole is not None:
            return super().connect_ex(faults.blackhole)
        return super().connect_ex(address)

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, or raise."""
        self.control.raise_fault("accept")
        return super().accept()

    def send(self, data: "ReadableBuffer", flags: int = 0, /) -> int:
        """Send all or a few bytes, or raise."""
        error = self.control.draw("send")
        if error is not None and error != SHORT_CALL:
            raise _os_error(error)
        return super().send(memoryview(data)[:SHORT_CALL_BYTES] if error else data, flags)

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive up to `size` or a few bytes, or raise."""
        error = self.control.draw("recv")
        if error is not None and error != SHORT_CALL:
            raise _os_error(error)
        return super().recv(SHORT_CALL_BYTES if error else size, flags)


def faulty_write(control: FaultControl) -> "Callable[[int, ReadableBuffer], int]":
    """Return an `os.write` that fails on the standard streams as the control file says."""

    def write(descriptor: int, data: "ReadableBuffer", /) -> int:
        if descriptor in STANDARD_STREAMS:
            control.raise_fault("write")
        return _real_write(descriptor, data)

    return write


def main() -> None:
    """Replace the calls, then run the program."""
    control = FaultControl(Path(sys.argv[1]), int(os.environ.get(SEED_VARIABLE, "0")))
    FaultySocket.control = control
    socket.socket = FaultySocket  # type: ignore[misc]  # the program makes its sockets by this name
    os.write = faulty_write(control)
    time.time = lambda: _real_time() + control.read().clock_step_s
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
